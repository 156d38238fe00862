package shard

import (
	"time"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/share"
	"samphirestile.example/samphirestile/internal/worker"
)

// packingEfficiency is the share of a pool's capacity that tasks of mixed sizes can use.
const packingEfficiency = 0.8

// deadline returns the end of the job's objective, counted from the client's first attempt.
func (e *jobEntry) deadline() monotonic.Time {
	if e.firstAttempt != 0 {
		return e.firstAttempt.Add(e.objective)
	}
	return e.accepted.Add(e.objective)
}

// timed reports whether the job has an objective that the order of starts can meet: jobs without a schedule
// that end by themselves.
func (e *jobEntry) timed() bool { return !e.job.LongRunning() && !e.job.Scheduled() }

const (
	// yieldingInterval is the minimum time between two decisions on the jobs that yield. They look at all accepted jobs.
	yieldingInterval = maxBacklogAge
	// maxYield times its objective is how long a job without a running task yields before it is promoted, and
	// promotionInterval the time between two promotions: more would make the jobs late that can be in time.
	maxYield          = 3
	promotionInterval = 500 * time.Millisecond
)

// findYielding decides which jobs yield to jobs that can be in time. The caller holds mu.
func (o *Owner) findYielding(now monotonic.Time) {
	if !o.Policy.Admission.Enabled || o.yieldingAt != 0 && now.Sub(o.yieldingAt) < yieldingInterval {
		return
	}
	o.yieldingAt = now
	entries, jobs := o.acceptedJobs(now)
	for i, yields := range share.Yielding(jobs, now) {
		entries[i].yields = yields
	}
	o.promoteYielding(entries, now)
}

// promoteYielding promotes the job that has yielded for the longest time beyond the bound. The caller holds mu.
func (o *Owner) promoteYielding(entries []*jobEntry, now monotonic.Time) {
	if o.promoted != nil && o.active[o.promoted.job.ID] != o.promoted {
		o.promoted = nil
	}
	if o.promoted != nil || o.promotedAt != 0 && now.Sub(o.promotedAt) < promotionInterval {
		return
	}
	for _, e := range entries {
		waits := now.Sub(max(e.accepted, e.lastBegin))
		if e.late(now) && len(e.runs) == 0 && waits > time.Duration(maxYield*float64(e.objective)) && (o.promoted == nil || e.accepted < o.promoted.accepted) {
			o.promoted, o.promotedAt = e, now
		}
	}
}

// late reports whether the job yields to others.
func (e *jobEntry) late(now monotonic.Time) bool { return e.yields || now > e.deadline() }

// acceptedJobs describes the jobs that compete for the pool by their deadlines. The caller holds mu.
func (o *Owner) acceptedJobs(now monotonic.Time) ([]*jobEntry, []share.AcceptedJob) {
	pool := o.backlogAt(now).capacity
	entries := make([]*jobEntry, 0, len(o.active))
	jobs := make([]share.AcceptedJob, 0, len(o.active))
	for _, e := range o.active {
		if !e.timed() {
			continue
		}
		entries = append(entries, e)
		jobs = append(jobs, share.AcceptedJob{
			Account: e.job.Account, Priority: e.job.Priority, Deadline: e.deadline(), Remaining: o.remainingPath(e, now),
			Work: poolTime(o.remainingWork(e, now), pool), Unpromised: e.unpromised, Started: e.job.Begun,
		})
	}
	o.markOverShare(jobs)
	o.accepted, o.acceptedAt = jobs, now
	return entries, jobs
}

// recentlyAccepted describes the accepted jobs for an admission decision. Like the backlog it is not recomputed for each
// job. The caller holds mu.
func (o *Owner) recentlyAccepted(now monotonic.Time) []share.AcceptedJob {
	if o.acceptedAt == 0 || now.Sub(o.acceptedAt) > maxBacklogAge {
		o.acceptedJobs(now)
	}
	return o.accepted
}

// poolTime is the time that a pool needs for work in resource-milliseconds.
func poolTime(work, pool worker.Resources) time.Duration {
	return time.Duration(float64(drainTime(work, pool)) / packingEfficiency)
}

// backlogAt returns the backlog, recomputed if it is older than maxBacklogAge. The caller holds mu.
func (o *Owner) backlogAt(now monotonic.Time) backlog {
	if o.acceptedBacklog.at == 0 || now.Sub(o.acceptedBacklog.at) > maxBacklogAge {
		o.acceptedBacklog = o.currentBacklog(now)
	}
	return o.acceptedBacklog
}

// overShareFactor times its share is the load beyond which an account counts as above its share. Loads of accounts
// that keep to their shares differ by less.
const overShareFactor = 1.5

// markOverShare marks the jobs of accounts whose load exceeds their share, by weight, of the load of all jobs. The
// caller holds mu.
func (o *Owner) markOverShare(jobs []share.AcceptedJob) {
	c := o.Configuration()
	if c == nil || !o.Policy.Fairness.Enabled {
		return
	}
	loads := map[string]share.AccountLoad{}
	for i := range jobs {
		l := loads[jobs[i].Account]
		l.Weight = c.Accounts[jobs[i].Account].Weight
		l.Load += jobs[i].Work.Seconds()
		loads[jobs[i].Account] = l
	}
	over := share.OverShare(loads, overShareFactor)
	for i := range jobs {
		jobs[i].OverShare = over[jobs[i].Account]
	}
}

// firstAttempt returns when the job was first submitted, as far as this owner knows. The caller holds mu.
func (o *Owner) firstAttempt(id job.ID, now monotonic.Time) monotonic.Time {
	if !o.Policy.Admission.Enabled {
		return now
	}
	if first := o.countedArrivals[id]; first != 0 {
		return first
	}
	return now
}
