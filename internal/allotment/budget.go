package allotment

import (
	"time"
)

// consumeBudget takes n from the budget of writes.
func (a *Allotments) consumeBudget(n float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refill(time.Now())
	if a.tokens < n {
		return false
	}
	a.tokens -= n
	return true
}

// hasSpareBudget reports whether half of the burst of writes is left. Moves that
// no request waits for must not delay those that some request waits for.
func (a *Allotments) hasSpareBudget(now time.Time) bool {
	a.refill(now)
	return a.tokens >= float64(a.cfg.WriteBurst)/2
}

// refill adds what the budget of writes gained since the last call.
func (a *Allotments) refill(now time.Time) {
	a.tokens += float64(now.Sub(a.refilled)) / float64(a.cfg.WriteInterval)
	a.tokens = min(a.tokens, float64(a.cfg.WriteBurst))
	a.refilled = now
}
