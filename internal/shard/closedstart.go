package shard

import (
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/worker"
)

// keepLateStarts keeps the late starts of a session that is closed. A worker that leaves the list may return
// under the same ID, restarted, and has then forgotten the stops that it answered. The caller holds mu.
func (o *Owner) keepLateStarts(s *session) {
	now := monotonic.Now()
	for id, starts := range o.closedLateStarts {
		if !anyCurrent(starts, now) {
			delete(o.closedLateStarts, id)
		}
	}
	if anyCurrent(s.lateStarts, now) {
		o.closedLateStarts[s.ID] = s.lateStarts
	}
}

// takeLateStarts returns the late starts of the worker's last session. Their stops count as sent, but not as answered. The caller
// holds mu.
func (o *Owner) takeLateStarts(id worker.ID) map[runKey]*lateStart {
	starts := map[runKey]*lateStart{}
	for key, l := range o.closedLateStarts[id] {
		starts[key] = &lateStart{since: l.since, stopSent: l.stopSent}
	}
	delete(o.closedLateStarts, id)
	return starts
}

// anyCurrent reports whether any of the late starts may still take effect.
func anyCurrent(starts map[runKey]*lateStart, now monotonic.Time) bool {
	for _, l := range starts {
		if now.Sub(l.since) <= lateStartWindow {
			return true
		}
	}
	return false
}
