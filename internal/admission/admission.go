// Package admission decides whether a job is accepted.
package admission

import "time"

// Load describes a shard's queue and the job to be admitted.
type Load struct {
	// Backlog is the time that the whole pool needs for the remaining accepted work.
	Backlog time.Duration
	// AdvisorBacklog is the time that the advisor needs for the jobs accepted before.
	AdvisorBacklog time.Duration
	// JobTime is the time that the whole pool needs for the job itself.
	JobTime time.Duration
	// CriticalPath is the longest path through the job's steps by estimated duration.
	CriticalPath time.Duration
	// Objective is the time within which the job should be completed to have its full value.
	Objective time.Duration
	// UsageShare is the share of the pool that the account uses, divided by the share
	// that its weight entitles it to; 0 for queues open to all accounts.
	UsageShare float64
}

// Decision is the result of admission control for one job.
type Decision struct {
	Accept bool
	// Predicted is the expected time to the job's completion.
	Predicted time.Duration
	// Limit is the highest predicted time at which a job is still accepted.
	Limit time.Duration
	// RetryAfter is the time after which the queue is expected to accept the job.
	RetryAfter time.Duration
	// Unpromised is set if the job is expected to miss its objective.
	Unpromised bool
}

const (
	// packingEfficiency is the share of a pool's capacity that tasks of mixed sizes can use.
	packingEfficiency = 0.8
	// maxObjectiveFactor times the objective is the latest predicted completion at which a
	// job is accepted. A job that misses its objective has little value, and its resources
	// are worth more to others.
	maxObjectiveFactor = 3.0
	// overShareObjectiveFactor is the lower factor for an account that uses more than its share.
	overShareObjectiveFactor = 2.4
	// maxAdvisorWait is the longest expected wait for the advisor at which a job is accepted, whatever its objective: the
	// workers are idle meanwhile. The users' bound on idle jobs is 17 s (finish_s and 3 s).
	maxAdvisorWait = 10 * time.Second
	// minRetryAfter is the resolution of the Retry-After header.
	minRetryAfter = time.Second
	// maxRetryAfter is about the length of a demand peak. A longer prediction means that
	// most of the pool is temporarily missing.
	maxRetryAfter = 5 * time.Second
)

// Decide predicts when the job would be completed and rejects it if that is too late.
//
// Load pattern: one queue after the other has a demand of five times its mean for some
// seconds, which exceeds the capacity of its pool. Without rejections every job of the
// peak would be late; with them the accepted jobs are completed in time, and clients of
// the others learn at once when to retry. Accounts above their share are rejected first.
// Where a policy restricts the workers, steps also queue for the single advisor.
func Decide(l Load) Decision {
	wait := max(time.Duration(float64(l.Backlog)/packingEfficiency), l.AdvisorBacklog)
	predicted := wait + max(l.CriticalPath, time.Duration(float64(l.JobTime)/packingEfficiency))
	limit := time.Duration(maxObjectiveFactor * float64(l.Objective))
	if l.AdvisorBacklog > maxAdvisorWait {
		return Decision{Predicted: predicted, Limit: limit, RetryAfter: retryAfter(l.AdvisorBacklog - maxAdvisorWait)}
	}
	if l.UsageShare > 1 {
		limit = time.Duration(overShareObjectiveFactor * float64(l.Objective))
	}
	if predicted <= limit || l.Backlog+l.AdvisorBacklog == 0 {
		return Decision{Accept: true, Predicted: predicted, Limit: limit}
	}
	return Decision{Predicted: predicted, Limit: limit, RetryAfter: retryAfter(predicted - limit)}
}
