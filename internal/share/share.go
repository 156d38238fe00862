// Package share orders the jobs that wait for room.
package share

import (
	"sort"
	"time"

	"samphirestile.example/samphirestile/internal/monotonic"
)

// WaitingJob is what the order depends on for one job.
type WaitingJob struct {
	// LongRunning jobs hold their place until they are cancelled.
	LongRunning bool
	// Priority 0 comes first.
	Priority int
	// Deadline is the end of the job's objective.
	Deadline monotonic.Time
	// Remaining is the estimated longest path through what is left.
	Remaining time.Duration
	// Usage is what the job's client account has running, divided by its weight.
	Usage float64
	// Accepted breaks ties.
	Accepted monotonic.Time
}

// Order returns the indices of jobs in the order in which they get room.
//
// Load pattern: a queue asks for five times its mean for some seconds. Lasting
// tasks come first, because they wait for particular workers and must not be
// starved by a stream of short ones. Jobs that can still meet their objective
// come before those that cannot, and among each the one with the least slack
// first. Late jobs go in the order of their acceptance, so that none waits for ever.
func Order(jobs []WaitingJob, now monotonic.Time) []int {
	order := make([]int, len(jobs))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(x, y int) bool {
		a, b := &jobs[order[x]], &jobs[order[y]]
		if a.LongRunning != b.LongRunning {
			return a.LongRunning
		}
		if a.Priority != b.Priority {
			return a.Priority < b.Priority
		}
		slackA, slackB := a.slack(now), b.slack(now)
		lateA, lateB := slackA < 0, slackB < 0
		if lateA != lateB {
			return lateB
		}
		if lateA {
			return a.Accepted < b.Accepted
		}
		if slackA != slackB {
			return slackA < slackB
		}
		return a.Usage < b.Usage
	})
	return order
}

func (w *WaitingJob) slack(now monotonic.Time) time.Duration {
	return w.Deadline.Sub(now) - w.Remaining
}
