package forward

import (
	"sync"

	"samphirestile.example/samphirestile/internal/fleet"
)

const (
	// retryShare is the part of a team's requests that may be retries.
	retryShare = 0.1
	// maxRetryCredit bounds the retries saved up, so that a long quiet time does
	// not allow a storm of retries.
	maxRetryCredit = 100
)

// retryBudget limits the retries of each team to a tenth of its requests.
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
	// The tolerance absorbs the rounding of ten additions of 0.1.
	if b.credit[team] < 1-1e-9 {
		return false
	}
	b.credit[team]--
	return true
}
