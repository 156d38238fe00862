// Package admission decides whether a job is accepted.
package admission

import "time"

// Load is the state of a shard's queue.
type Load struct {
	// Backlog is the worker-seconds of accepted work that is left, as the time
	// that the whole pool would take for it.
	Backlog time.Duration
	// AdvisorBacklog is the time that the advisor takes for what was accepted before.
	AdvisorBacklog time.Duration
	// JobTime is the time that the whole pool would take for the job itself.
	JobTime time.Duration
	// CriticalPath is the job's longest path of estimated durations.
	CriticalPath time.Duration
	// Objective is the time within which the job earns its whole worth.
	Objective time.Duration
	// UsageShare is the part of the pool that the account uses, divided by the
	// part that its weight gives it; 0 for queues open to all.
	UsageShare float64
}

// Decision is the outcome for one job.
type Decision struct {
	Accept bool
	// Predicted is the time after which the job is expected to end.
	Predicted time.Duration
	// Limit is the time after which a job is refused.
	Limit time.Duration
	// RetryAfter is when the queue will have room for it.
	RetryAfter time.Duration
}

const (
	// packing is the part of a pool's room that tasks of mixed sizes fill.
	packing = 0.8
	// patience is how far beyond the objective a job may be expected to end.
	// Beyond the objective it is worth little, and its room is worth more to others.
	patience = 3.0
	// greedyPatience is the same for an account that uses more than its share.
	greedyPatience = 2.4
	// minRetryAfter is the smallest step of the Retry-After header.
	minRetryAfter = time.Second
	// maxRetryAfter is about the length of a turn. A longer prediction comes from
	// a pool that is mostly away, which does not last.
	maxRetryAfter = 5 * time.Second
)

// Decide predicts when the job would end and refuses it if that is too late.
//
// Load pattern: each queue in turn asks for five times its mean for some
// seconds, which is more than its pool holds. Without refusals every job of the
// turn would end late; with them those accepted end in time, and the others
// learn at once when to come back. Accounts above their share are refused first.
// Where a policy restricts the workers, steps also queue for the one advisor.
func Decide(l Load) Decision {
	wait := max(time.Duration(float64(l.Backlog)/packing), l.AdvisorBacklog)
	predicted := wait + max(l.CriticalPath, time.Duration(float64(l.JobTime)/packing))
	limit := time.Duration(patience * float64(l.Objective))
	if l.UsageShare > 1 {
		limit = time.Duration(greedyPatience * float64(l.Objective))
	}
	if predicted <= limit || l.Backlog+l.AdvisorBacklog == 0 {
		return Decision{Accept: true, Predicted: predicted, Limit: limit}
	}
	return Decision{Predicted: predicted, Limit: limit, RetryAfter: min(maxRetryAfter, max(minRetryAfter, predicted-limit))}
}
