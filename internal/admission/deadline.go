package admission

import (
	"time"

	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/share"
)

// Newcomer describes a job to be admitted among accepted ones.
type Newcomer struct {
	share.AcceptedJob
	// FirstAttempt is when the client first submitted the job, and Objective the time from then within which
	// it should be completed.
	FirstAttempt monotonic.Time
	Objective    time.Duration
	// AdvisorBacklog is the time that the advisor needs for the jobs accepted before.
	AdvisorBacklog time.Duration
}

// DecideByDeadline admits a job that can be in time beside all accepted ones. A job that cannot is accepted as
// Unpromised if the capacity that the others leave completes it before it is worthless, and rejected otherwise.
//
// Load pattern: the demand of a queue exceeds the capacity of its pool for some seconds, in jobs of very different sizes
// and deadlines. A job with an early deadline is served before most of the queue, so the length of the queue alone says
// little about it; but each job that is accepted beyond the capacity makes another one late.
func DecideByDeadline(accepted []share.AcceptedJob, n Newcomer, now monotonic.Time) Decision {
	limit := latestCompletion(n, now)
	if n.AdvisorBacklog > maxAdvisorWait {
		return Decision{Predicted: n.AdvisorBacklog + n.Remaining, Limit: limit, RetryAfter: retryAfter(n.AdvisorBacklog - maxAdvisorWait)}
	}
	inTime, wait := fits(accepted, n.AcceptedJob, now)
	d := Decision{Predicted: max(wait, n.AdvisorBacklog) + n.Remaining, Limit: limit}
	if inTime && d.Predicted <= n.Deadline.Sub(now) || len(accepted) == 0 && n.AdvisorBacklog == 0 {
		d.Accept = true
		return d
	}
	d.Unpromised = true
	d.Predicted = max(totalWork(accepted), n.AdvisorBacklog) + max(n.Work, n.Remaining)
	if d.Predicted <= limit {
		d.Accept = true
		return d
	}
	d.RetryAfter = retryAfter(d.Predicted - limit)
	return d
}

// latestCompletion returns the longest time from now in which the job is still worth completing.
func latestCompletion(n Newcomer, now monotonic.Time) time.Duration {
	factor := maxObjectiveFactor
	if n.OverShare {
		factor = overShareObjectiveFactor
	}
	return n.FirstAttempt.Add(time.Duration(factor * float64(n.Objective))).Sub(now)
}

// fits reports whether the job can be in time without making an accepted job late, and how long it waits for the jobs
// that are served before it. Jobs of accounts above their share may become late.
func fits(accepted []share.AcceptedJob, n share.AcceptedJob, now monotonic.Time) (inTime bool, wait time.Duration) {
	before := share.Yielding(accepted, now)
	all := append(append(make([]share.AcceptedJob, 0, len(accepted)+1), accepted...), n)
	after := share.Yielding(all, now)
	inTime = !after[len(accepted)]
	ahead := n.Work
	for i := range accepted {
		a := &accepted[i]
		if after[i] && !before[i] && (!a.OverShare || n.OverShare) {
			inTime = false
		}
		if !after[i] && (a.Priority < n.Priority || a.Priority == n.Priority && a.Deadline <= n.Deadline) {
			ahead += a.Work
		}
	}
	return inTime, max(0, ahead-n.Remaining)
}

func totalWork(jobs []share.AcceptedJob) time.Duration {
	var sum time.Duration
	for i := range jobs {
		sum += jobs[i].Work
	}
	return sum
}

func retryAfter(d time.Duration) time.Duration { return min(maxRetryAfter, max(minRetryAfter, d)) }
