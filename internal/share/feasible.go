package share

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"samphirestile.example/samphirestile/internal/monotonic"
)

// AcceptedJob holds the properties of an accepted job that determine whether it can still be in time.
type AcceptedJob struct {
	// Account is the job's client account; "" for queues open to all accounts.
	Account string
	// Priority is 0 for the highest priority.
	Priority int
	// Deadline is the end of the job's objective.
	Deadline monotonic.Time
	// Remaining is the estimated duration of the longest path through the remaining steps.
	Remaining time.Duration
	// Work is the time that the whole pool needs for the job's remaining work.
	Work time.Duration
	// Unpromised is set if the job was accepted although it was expected to be late.
	Unpromised bool
	// OverShare is set if the job's client account uses more than its share of the pool.
	OverShare bool
	// Started is set once a task of the job has started.
	Started bool
}

// Yielding marks the jobs that yield to the others: those that cannot be in time any more, and of the others so many that
// the rest can all be in time.
//
// Load pattern: the demand of a queue exceeds the capacity of its pool for some seconds. In order of increasing slack,
// every job would then be served a little too late; if some jobs yield, the rest are in time. Jobs that were expected to be
// late yield first, then those of accounts above their share, then those that have not started, and among equals those
// with the most remaining work, which make room for several others. Among equals this is the algorithm of Moore and
// Hodgson, which leaves the fewest jobs late.
func Yielding(jobs []AcceptedJob, now monotonic.Time) []bool {
	yields := make([]bool, len(jobs))
	order := make([]int, 0, len(jobs))
	for i := range jobs {
		if jobs[i].Deadline.Sub(now) < jobs[i].Remaining {
			yields[i] = true
			continue
		}
		order = append(order, i)
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(jobs[a].Priority, jobs[b].Priority), cmp.Compare(jobs[a].Deadline, jobs[b].Deadline))
	})
	kept := &yieldOrder{jobs: jobs}
	var end time.Duration
	for n, i := range order {
		if n > 0 && jobs[i].Priority != jobs[order[n-1]].Priority {
			// Jobs of a lower priority cannot make those of a higher one yield.
			kept.indices = kept.indices[:0]
		}
		heap.Push(kept, i)
		end += jobs[i].Work
		for end > jobs[i].Deadline.Sub(now) && kept.Len() > 0 {
			first, _ := heap.Pop(kept).(int)
			yields[first] = true
			end -= jobs[first].Work
		}
	}
	return yields
}

// yieldOrder is a heap of the indices of jobs, with the one that yields first at its root.
type yieldOrder struct {
	jobs    []AcceptedJob
	indices []int
}

func (y *yieldOrder) Len() int { return len(y.indices) }

func (y *yieldOrder) Less(i, j int) bool {
	a, b := &y.jobs[y.indices[i]], &y.jobs[y.indices[j]]
	switch {
	case a.Unpromised != b.Unpromised:
		return a.Unpromised
	case a.OverShare != b.OverShare:
		return a.OverShare
	case a.Started != b.Started:
		return b.Started
	}
	return a.Work > b.Work
}

func (y *yieldOrder) Swap(i, j int) { y.indices[i], y.indices[j] = y.indices[j], y.indices[i] }

func (y *yieldOrder) Push(x any) {
	if i, ok := x.(int); ok {
		y.indices = append(y.indices, i)
	}
}

func (y *yieldOrder) Pop() any {
	last := y.indices[len(y.indices)-1]
	y.indices = y.indices[:len(y.indices)-1]
	return last
}
