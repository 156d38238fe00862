// Package share orders the jobs that wait for capacity.
package share

import (
	"sort"
	"time"

	"samphirestile.example/samphirestile/internal/monotonic"
)

// WaitingJob holds the properties of a waiting job that determine its position.
type WaitingJob struct {
	// LongRunning jobs keep their resources until they are cancelled.
	LongRunning bool
	// Skips is the number of consecutive scheduling passes, up to the last one, that ended before they
	// looked at the job.
	Skips int
	// Priority is 0 for the highest priority.
	Priority int
	// Deadline is the end of the job's objective.
	Deadline monotonic.Time
	// Remaining is the estimated duration of the longest path through the remaining steps.
	Remaining time.Duration
	// Usage is the resource usage of the job's client account, divided by its weight.
	Usage float64
	// Yields is set if the job yields to jobs that can be in time; see Yielding.
	Yields bool
	// Promoted is set for a job that comes first among those of its priority, because it has yielded for long.
	Promoted bool
	// Accepted is when the job was accepted; it orders late jobs.
	Accepted monotonic.Time
}

// Order returns the indices of the jobs in the order in which they get resources.
//
// Load pattern: a queue has a demand of five times its mean for some seconds. Long-running
// jobs come first, because their tasks wait for particular workers and must not be starved
// by a stream of short ones. Within each kind, jobs that scheduling passes have skipped come first,
// so that jobs without a worker cannot hide the others. Jobs that can still meet their objective come before those that
// cannot and those that yield, in order of increasing slack. The latter follow in the order of their
// acceptance, and one that has waited for long is promoted from time to time, so that none starves.
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
		if a.Skips != b.Skips {
			return a.Skips > b.Skips
		}
		if a.Priority != b.Priority {
			return a.Priority < b.Priority
		}
		if a.Promoted != b.Promoted {
			return a.Promoted
		}
		slackA, slackB := a.slack(now), b.slack(now)
		lateA, lateB := slackA < 0 || a.Yields, slackB < 0 || b.Yields
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
