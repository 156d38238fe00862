package shard

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/admission"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/placement"
	"samphirestile.example/samphirestile/internal/share"
	"samphirestile.example/samphirestile/internal/worker"
)

// admit decides whether to accept a new job. It is called before anything about the job is sent to
// the store, so a rejected job can never run.
func (o *Owner) admit(j *job.Job) (admission.Decision, error) {
	// Rejected jobs count as demand too: the pool must not release its hosts while a store outage
	// prevents their use.
	o.recordArrival(j)
	pending, failing := o.chain.PendingBatch()
	if failing || pending > maxStoreStall || !o.ownershipCertain(monotonic.Now()) {
		return admission.Decision{}, &RejectedError{Reason: "the store does not answer", RetryAfter: outageRetryAfter}
	}
	if err := o.checkMemory(j); err != nil {
		return admission.Decision{}, &RejectedError{Reason: err.Error(), RetryAfter: memoryRetryAfter, Overload: true, Cause: err}
	}
	if j.LongRunning() || j.Scheduled() {
		return admission.Decision{Accept: true}, nil
	}
	if len(o.sessions) == 0 {
		return admission.Decision{}, &RejectedError{Reason: "no worker is known", RetryAfter: outageRetryAfter}
	}
	if j.Advised && o.Advice == nil {
		return admission.Decision{}, &RejectedError{Reason: "no advisor is known", RetryAfter: outageRetryAfter}
	}
	if !o.hasSuitableWorkers(j) {
		return admission.Decision{}, &RejectedError{Reason: "no worker can run it", RetryAfter: outageRetryAfter}
	}
	d := o.decide(j)
	if !d.Accept {
		return d, &RejectedError{Reason: "queue is full", RetryAfter: d.RetryAfter, Overload: true}
	}
	return d, nil
}

// decide predicts when the job would be completed and decides on it by the policy.
func (o *Owner) decide(j *job.Job) admission.Decision {
	if !o.Policy.Admission.Enabled {
		return admission.Decide(o.queueLoad(j))
	}
	now := monotonic.Now()
	l := o.queueLoad(j)
	first := o.firstAttempt(j.ID, now)
	n := admission.Newcomer{
		AcceptedJob: share.AcceptedJob{
			Account: j.Account, Priority: j.Priority, Deadline: first.Add(l.Objective), Remaining: l.CriticalPath,
			Work: time.Duration(float64(l.JobTime) / packingEfficiency),
		},
		FirstAttempt: first, Objective: l.Objective, AdvisorBacklog: l.AdvisorBacklog,
	}
	accepted := o.recentlyAccepted(now)
	all := append(slices.Clone(accepted), n.AcceptedJob)
	o.markOverShare(all)
	n.OverShare = all[len(accepted)].OverShare
	d := admission.DecideByDeadline(all[:len(accepted)], n, now)
	if d.Accept {
		n.Unpromised = d.Unpromised
		o.accepted = append(accepted, n.AcceptedJob)
	}
	return d
}

// queueLoad describes the queue for the admission decision on one job.
func (o *Owner) queueLoad(j *job.Job) admission.Load {
	now := monotonic.Now()
	pool := o.backlogAt(now).capacity
	var jobWork worker.Resources
	for i := range j.Steps {
		jobWork = jobWork.Plus(resourceMilliseconds(j.Steps[i].RequiredResources(), j.Steps[i].Count, o.estimate(j.Queue, &j.Steps[i])))
	}
	stretch := j.Stretch
	if stretch <= 0 {
		stretch = 1
	}
	criticalPath := j.CriticalPath(func(s *job.Step) time.Duration { return o.stepTime(j, s) })
	l := admission.Load{
		Backlog: drainTime(o.acceptedBacklog.workMS, pool), JobTime: drainTime(jobWork, pool), CriticalPath: criticalPath,
		Objective: time.Duration(stretch*float64(criticalPath)) + j.Objective,
	}
	if j.Advised {
		l.AdvisorBacklog = o.adviceBacklog(now) + o.Advice.Backlog(o)
	}
	if c := o.Configuration(); c != nil && j.Account != "" {
		total := 0.0
		for _, a := range c.Accounts {
			total += a.Weight
		}
		if w := c.Accounts[j.Account].Weight; total > 0 && w > 0 {
			l.UsageShare = o.usage[j.Account].DominantShare(pool) / (w / total)
		}
	}
	return l
}

// backlog is the remaining work of the accepted jobs that are not long-running, in
// resource-milliseconds, and the resources that long-running jobs leave for it.
type backlog struct {
	at               monotonic.Time
	workMS, capacity worker.Resources
	// memoryBytes is the memory that the accepted jobs need, and maxMemoryBytes what they may need.
	memoryBytes, maxMemoryBytes int64
}

// maxBacklogAge is how old the backlog may be for an admission decision. It is not recomputed for
// each job, because many jobs arrive within a few milliseconds; jobs accepted in the meantime are
// added to it.
const maxBacklogAge = 40 * time.Millisecond

func (o *Owner) currentBacklog(now monotonic.Time) backlog {
	b := backlog{at: now, maxMemoryBytes: o.maxJobMemory()}
	for _, s := range o.sessions {
		// Workers that have not responded to a new owner yet count: they respond soon.
		if s.listed && !s.Missing && !s.Draining && s.reachable && !s.evacuated() {
			b.capacity = b.capacity.Plus(s.Capacity)
		}
	}
	for _, e := range o.active {
		b.memoryBytes += e.job.MemoryBytes(o.dueAt(e, now))
		if e.job.LongRunning() {
			for r := range e.runs {
				if r.session.evacuated() {
					continue
				}
				b.capacity = b.capacity.Minus(r.step.RequiredResources())
			}
			continue
		}
		b.workMS = b.workMS.Plus(o.remainingWork(e, now))
	}
	return b
}

// recordArrival adds the work of a job to the arrival rate, once even if the job is rejected and
// submitted again. Long-running and scheduled jobs are not counted.
func (o *Owner) recordArrival(j *job.Job) {
	now := monotonic.Now()
	if j.LongRunning() || j.Scheduled() {
		return
	}
	if o.countedArrivals[j.ID] != 0 {
		return
	}
	if len(o.countedArrivals) > maxCountedArrivals {
		clear(o.countedArrivals)
	}
	o.countedArrivals[j.ID] = now
	var work worker.Resources
	for i := range j.Steps {
		work = work.Plus(resourceMilliseconds(j.Steps[i].RequiredResources(), j.Steps[i].Count, o.estimate(j.Queue, &j.Steps[i])))
	}
	o.arrivals.Add(time.Duration(now), work)
}

// maxCountedArrivals bounds the memory for jobs whose arrival was counted.
const maxCountedArrivals = 4096

// resourceMilliseconds returns resources multiplied by milliseconds.
func resourceMilliseconds(required worker.Resources, tasks int, d time.Duration) worker.Resources {
	return required.Times(int64(tasks) * d.Milliseconds())
}

// drainTime is the time that a pool needs for work in resource-milliseconds, by its scarcest
// resource.
func drainTime(work, pool worker.Resources) time.Duration {
	pool = worker.Resources{CPU: max(1, pool.CPU), MemMB: max(1, pool.MemMB), GPU: pool.GPU}
	return time.Duration(work.DominantShare(pool) * float64(time.Millisecond))
}

// remainingWork returns the work of a job's unfinished tasks in resource-milliseconds. Occurrences that are not due do not
// compete for the pool yet.
func (o *Owner) remainingWork(e *jobEntry, now monotonic.Time) worker.Resources {
	var sum worker.Resources
	due := e.job.DueOccurrences(o.dueAt(e, now))
	if due == 0 {
		return sum
	}
	for i := range e.job.Steps {
		remaining := e.job.UnfinishedTasks(i, due)
		if remaining == 0 {
			continue
		}
		sum = sum.Plus(resourceMilliseconds(e.job.Steps[i].RequiredResources(), remaining, o.estimate(e.job.Queue, &e.job.Steps[i])))
	}
	for r := range e.runs {
		if r.state == runConfirmed {
			// The elapsed part of a run is no longer remaining work.
			done := min(now.Sub(r.started), o.estimate(e.job.Queue, r.step))
			sum = sum.Minus(resourceMilliseconds(r.step.RequiredResources(), 1, done))
		}
	}
	return sum
}

// hasSuitableWorkers reports whether each step could run on some worker.
func (o *Owner) hasSuitableWorkers(j *job.Job) bool {
	for i := range j.Steps {
		found := false
		for _, s := range o.sessions {
			if placement.CanRun(&s.Worker, &j.Steps[i]) {
				found = true
				break
			}
		}
		if !found {
			return false
		}
	}
	return true
}

func (o *Owner) usableWorkers() int {
	n := 0
	for _, s := range o.sessions {
		if s.usable() {
			n++
		}
	}
	return n
}

func (o *Owner) logAdmission(j *job.Job, d admission.Decision, workers int, err error) {
	pending, failing := o.chain.PendingBatch()
	fields := logrus.Fields{
		"job": j.ID, "queue": j.Queue, "account": j.Account, "shard": o.Shard, "token": o.Token, "accepted": err == nil,
		"predicted_ms": d.Predicted.Milliseconds(), "limit_ms": d.Limit.Milliseconds(), "workers": workers,
		"store_stalled_ms": pending.Milliseconds(), "store_failing": failing,
	}
	if err != nil {
		fields["reason"] = err.Error()
		fields["retry_after_ms"] = d.RetryAfter.Milliseconds()
	}
	o.countDecision(err)
	o.Log.WithFields(fields).Info("job decided")
}
