package forward

import (
	"sync"

	"samphirestile.example/samphirestile/internal/fleet"
)

const (
	// retryShare is the maximum number of retries of a team, as a fraction of its requests.
	retryShare = 0.1
	// maxRetryCredit caps the accumulated credit, so that a long period without failures does
	// not permit a retry storm.
	maxRetryCredit = 100
)

// retryBudget limits the retries of each team to 10% of its requests (token bucket).
type retryBudget struct {
	mu     sync.Mutex
	credit map[fleet.TeamID]float64
}

func (b *retryBudget) recordRequest(team fleet.TeamID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit[team] = min(b.credit[team]+retryShare, maxRetryCredit)
}

func (b *retryBudget) tryAcquire(team fleet.TeamID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// The tolerance absorbs the floating-point error of adding 0.1 ten times.
	if b.credit[team] < 1-1e-9 {
		return false
	}
	b.credit[team]--
	return true
}
