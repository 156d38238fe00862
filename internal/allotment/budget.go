package allotment

import (
	"time"
)

// consumeBudget deducts n from the write budget and reports whether it was available.
func (a *Allotments) consumeBudget(n float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refill(time.Now())
	if a.writeBudget < n {
		return false
	}
	a.writeBudget -= n
	return true
}

// canAfford reports whether the write budget holds n, or its maximum if that is less.
func (a *Allotments) canAfford(n float64, now time.Time) bool {
	a.refill(now)
	return a.writeBudget >= min(n, float64(a.cfg.WriteBurst))
}

// hasSpareBudget reports whether at least half of the write burst is left. Transfers that
// no request is waiting for must not delay transfers that a request is waiting for.
func (a *Allotments) hasSpareBudget(now time.Time) bool {
	a.refill(now)
	return a.writeBudget >= float64(a.cfg.WriteBurst)/2
}

// refill adds the budget accrued since the last call.
func (a *Allotments) refill(now time.Time) {
	a.writeBudget += float64(now.Sub(a.budgetRefilledAt)) / float64(a.cfg.WriteInterval)
	a.writeBudget = min(a.writeBudget, float64(a.cfg.WriteBurst))
	a.budgetRefilledAt = now
}
