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
			m.hostsFailed(err)
		}
		if !sleep(ctx, max(m.config.HostsInterval-time.Since(start), 0)) {
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
	m.hostsRead, m.marksNoticed = true, false
	changed := m.setLeaving(leaving)
	if changed {
		m.marks++
	}
	m.mu.Unlock()
	if changed {
		m.noticeBlind()
	}
}

func (m *Manager) hostsFailed(err error) {
	m.mu.Lock()
	first := m.hostsRead
	m.hostsRead = false
	m.mu.Unlock()
	if first {
		m.log.WithError(err).Warn("host list not read; the last leaving marks stay")
	}
	m.wantMarks()
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
