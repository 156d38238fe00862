package config

import (
	"context"
	"maps"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
)

// watchHosts reads the host list about once a second and marks endpoints whose
// host is leaving or gone. While the list cannot be read, the last marks stay; a
// host that is absent from the list is not marked, because the list lags.
func (m *Manager) watchHosts(ctx context.Context) {
	for {
		start := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, hostsTimeout)
		hosts, err := m.config.Hosts.Hosts(callCtx)
		cancel()
		if err == nil {
			m.markHosts(hosts)
		} else if ctx.Err() == nil {
			m.log.WithError(err).Debug("host list not read")
		}
		if !sleep(ctx, max(m.config.HostsEvery-time.Since(start), 0)) {
			return
		}
	}
}

func (m *Manager) markHosts(hosts []fleet.Host) {
	leaving := map[fleet.HostID]bool{}
	for _, h := range hosts {
		if h.State == fleet.HostLeaving || h.State == fleet.HostGone {
			leaving[h.ID] = true
		}
	}
	m.mu.Lock()
	m.hostsAge = time.Now()
	changed := m.setLeaving(leaving)
	m.mu.Unlock()
	if changed {
		m.noticeBlind()
	}
}

// setLeaving replaces the marks and reports whether they changed. The caller holds
// the mutex.
func (m *Manager) setLeaving(leaving map[fleet.HostID]bool) bool {
	if maps.Equal(m.leaving, leaving) {
		return false
	}
	m.leaving = leaving
	m.publish()
	return true
}
