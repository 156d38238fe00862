package jobapi

import (
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
)

const (
	// openOutcomeRetention is how long a job with an open outcome is remembered. It exceeds
	// the time for which an owner usually goes on recording a job of a call that it did not answer.
	openOutcomeRetention = 30 * time.Second
	// maxOpenOutcomes bounds the remembered jobs.
	maxOpenOutcomes = 8192
)

// OpenOutcomes holds the jobs of submissions without a definite answer. The zero value is empty.
type OpenOutcomes struct {
	mu   sync.Mutex
	jobs map[job.ID]monotonic.Time
}

// Set records whether the outcome of a job is open.
func (o *OpenOutcomes) Set(id job.ID, open bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !open {
		delete(o.jobs, id)
		return
	}
	now := monotonic.Now()
	if o.jobs == nil || len(o.jobs) >= maxOpenOutcomes {
		kept := map[job.ID]monotonic.Time{}
		for id, at := range o.jobs {
			if now.Sub(at) < openOutcomeRetention && len(kept) < maxOpenOutcomes/2 {
				kept[id] = at
			}
		}
		o.jobs = kept
	}
	o.jobs[id] = now
}

// Has reports whether the outcome of a job is open.
func (o *OpenOutcomes) Has(id job.ID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, ok := o.jobs[id]
	return ok && monotonic.Now().Sub(at) < openOutcomeRetention
}
