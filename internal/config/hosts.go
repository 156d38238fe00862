package config

import (
	"context"
	"maps"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
)

// watchHosts reads the host list every HostsInterval, by default once a second, and marks
// the endpoints of hosts that are leaving or gone. While the list cannot be read, the
// endpoints that were marked last stay marked. A host that is missing from the list is not
// marked, because the list lags behind.
func (m *Manager) watchHosts(ctx context.Context) {
	for {
		start := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, hostListTimeout)
		hosts, err := m.config.Hosts.Hosts(callCtx)
		cancel()
		if err == nil {
			m.applyHostList(hosts)
		} else if ctx.Err() == nil {
			m.handleHostListError(err)
		}
		if !sleep(ctx, max(m.config.HostsInterval-time.Since(start), 0)) {
			return
		}
	}
}

func (m *Manager) applyHostList(hosts []fleet.Host) {
	leaving := map[fleet.HostID]bool{}
	for _, h := range hosts {
		if h.State == fleet.HostLeaving || h.State == fleet.HostGone {
			leaving[h.ID] = true
		}
	}
	m.mu.Lock()
	m.hostListCurrent, m.leavingNoticed = true, false
	changed := m.setLeavingLocked(leaving)
	if changed {
		m.leavingVersion++
	}
	m.recordHostsKnownLocked()
	m.mu.Unlock()
	if changed {
		m.notifyPeersWithoutStore()
	}
}

func (m *Manager) handleHostListError(err error) {
	m.mu.Lock()
	wasCurrent := m.hostListCurrent
	m.hostListCurrent = false
	m.mu.Unlock()
	if wasCurrent {
		m.log.WithError(err).Warn("cannot read host list; keeping the last known set of leaving hosts")
	}
	m.requestLeavingHosts()
}

// setLeavingLocked replaces the set of leaving hosts and reports whether it changed.
// The caller must hold m.mu.
func (m *Manager) setLeavingLocked(leaving map[fleet.HostID]bool) bool {
	if maps.Equal(m.leaving, leaving) {
		return false
	}
	m.leaving = leaving
	m.publishLocked()
	return true
}
