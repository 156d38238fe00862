package shard

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/admission"
	"samphirestile.example/samphirestile/internal/capacity"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/placement"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	// maxStoreStall is how long the current batch of records may wait for the store before new
	// jobs are rejected. A slow store responds within a quarter of a second, so a longer wait
	// indicates an outage. A job admitted during an outage would get no response, and its client
	// might never submit it again.
	maxStoreStall = 450 * time.Millisecond
	// recordTimeout bounds the wait for a job's record; after it the outcome is unknown.
	recordTimeout = 1500 * time.Millisecond
	// outageRetryAfter is the suggested retry delay after a rejection because the store or the
	// workers are unavailable.
	outageRetryAfter = 2 * time.Second
)

// RejectedError reports a job that was not accepted and never runs.
type RejectedError struct {
	Reason     string
	RetryAfter time.Duration
	// Overload distinguishes a full queue from an unavailable service.
	Overload bool
}

func (e *RejectedError) Error() string { return "job not accepted: " + e.Reason }

// NotOwnerError reports a call to a daemon that does not serve the shard.
type NotOwnerError struct{ Shard string }

func (e *NotOwnerError) Error() string { return fmt.Sprintf("shard %s is not served here", e.Shard) }

// UnknownOutcomeError reports a call that may or may not have taken effect.
type UnknownOutcomeError struct{ Cause error }

func (e *UnknownOutcomeError) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// UnknownJobError reports a job that does not exist.
type UnknownJobError struct{ ID job.ID }

func (e *UnknownJobError) Error() string { return fmt.Sprintf("no job %s", e.ID) }

// Submit accepts a job. It returns nil once the job is recorded.
func (o *Owner) Submit(ctx context.Context, j job.Job) error {
	o.mu.Lock()
	if !o.open || o.closed {
		o.mu.Unlock()
		return &NotOwnerError{o.Shard}
	}
	e, err := o.find(j.ID)
	if err != nil {
		o.mu.Unlock()
		return err
	}
	if e == nil {
		decision, err := o.admit(&j)
		workers := o.usableWorkers()
		if err != nil {
			o.mu.Unlock()
			o.logAdmission(&j, decision, workers, err)
			return err
		}
		j.AcceptedMS = time.Now().UnixMilli()
		e = newJobEntry(job.NewTrackedJob(j))
		o.setTimes(e)
		o.jobs[j.ID], o.active[j.ID] = e, e
		if !j.LongRunning() {
			o.acceptedBacklog.workMS = o.acceptedBacklog.workMS.Plus(o.remainingWork(e, monotonic.Now()))
		}
		o.urgent = true
		o.mu.Unlock()
		o.logAdmission(&j, decision, workers, nil)
		o.requestCommit()
	} else {
		o.mu.Unlock()
	}
	return wait(ctx, e.storedChan, recordTimeout)
}

// wait returns nil if done is closed within the limit.
func wait(ctx context.Context, done <-chan struct{}, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return &UnknownOutcomeError{ctx.Err()}
	}
}

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
	if j.LongRunning() || j.Scheduled() {
		return admission.Decision{Accept: true}, nil
	}
	if len(o.sessions) == 0 {
		return admission.Decision{}, &RejectedError{Reason: "no worker is known", RetryAfter: outageRetryAfter}
	}
	if j.Advised && o.Advisor == nil {
		return admission.Decision{}, &RejectedError{Reason: "no advisor is known", RetryAfter: outageRetryAfter}
	}
	if !o.hasSuitableWorkers(j) {
		return admission.Decision{}, &RejectedError{Reason: "no worker can run it", RetryAfter: outageRetryAfter}
	}
	d := admission.Decide(o.queueLoad(j))
	if !d.Accept {
		return d, &RejectedError{Reason: "queue is full", RetryAfter: d.RetryAfter, Overload: true}
	}
	return d, nil
}

// queueLoad describes the queue for the admission decision on one job.
func (o *Owner) queueLoad(j *job.Job) admission.Load {
	now := monotonic.Now()
	if o.acceptedBacklog.at == 0 || now.Sub(o.acceptedBacklog.at) > maxBacklogAge {
		o.acceptedBacklog = o.currentBacklog(now)
	}
	pool := o.acceptedBacklog.capacity
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
		l.AdvisorBacklog = o.adviceBacklog()
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
}

// maxBacklogAge is how old the backlog may be for an admission decision, because many jobs arrive
// within a few milliseconds. Jobs accepted in the meantime are added to it.
const maxBacklogAge = 40 * time.Millisecond

func (o *Owner) currentBacklog(now monotonic.Time) backlog {
	b := backlog{at: now}
	for _, s := range o.sessions {
		// Workers that have not responded to a new owner yet count: they respond soon.
		if s.listed && !s.Missing && !s.Draining && s.reachable {
			b.capacity = b.capacity.Plus(s.Capacity)
		}
	}
	for _, e := range o.active {
		if e.job.LongRunning() {
			for r := range e.runs {
				b.capacity = b.capacity.Minus(r.step.RequiredResources())
			}
			continue
		}
		b.workMS = b.workMS.Plus(o.remainingWork(e, now))
	}
	return b
}

// recordArrival adds the work of a job that is neither long-running nor scheduled to the arrival
// rate, once even if the job is rejected and submitted again.
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

// demandWarmup is how long a new owner cannot size its pool, because it does not know what arrived
// before it took over.
const demandWarmup = 1500 * time.Millisecond

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

// remainingWork returns the work of a job's unfinished tasks in resource-milliseconds.
func (o *Owner) remainingWork(e *jobEntry, now monotonic.Time) worker.Resources {
	var sum worker.Resources
	for k := range e.job.Occurrences() {
		occurrence := e.job.Occurrence(k)
		for i := range e.job.Steps {
			remaining := e.job.Steps[i].Count - occurrence.Steps[i].Done
			if remaining == 0 {
				continue
			}
			sum = sum.Plus(resourceMilliseconds(e.job.Steps[i].RequiredResources(), remaining, o.estimate(e.job.Queue, &e.job.Steps[i])))
		}
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
	stalled, failing := o.chain.PendingBatch()
	fields := logrus.Fields{
		"job": j.ID, "queue": j.Queue, "account": j.Account, "shard": o.Shard, "token": o.Token, "accepted": err == nil,
		"predicted_ms": d.Predicted.Milliseconds(), "limit_ms": d.Limit.Milliseconds(), "workers": workers,
		"store_stalled_ms": stalled.Milliseconds(), "store_failing": failing,
	}
	if err != nil {
		fields["reason"] = err.Error()
		fields["retry_after_ms"] = d.RetryAfter.Milliseconds()
	}
	o.countDecision(err)
	o.Log.WithFields(fields).Info("job decided")
}

// Cancel cancels a job. It returns nil once the cancellation is recorded.
func (o *Owner) Cancel(ctx context.Context, id job.ID) error {
	o.mu.Lock()
	if !o.open || o.closed {
		o.mu.Unlock()
		return &NotOwnerError{o.Shard}
	}
	e, err := o.find(id)
	if e == nil {
		o.mu.Unlock()
		if err == nil {
			err = &UnknownJobError{id}
		}
		return err
	}
	if !e.job.FinalState.IsFinal() {
		o.finishJob(e, job.Cancelled)
	}
	o.mu.Unlock()
	return wait(ctx, e.finalStoredChan, recordTimeout)
}

// finishJob sets a job's final state and stops its remaining runs. The caller holds mu.
func (o *Owner) finishJob(e *jobEntry, final job.State) {
	now := monotonic.Now()
	fields := logrus.Fields{
		"job": e.job.ID, "queue": e.job.Queue, "shard": o.Shard, "token": o.Token, "state": final,
		"took_ms": now.Sub(e.accepted).Milliseconds(), "objective_ms": e.objective.Milliseconds(), "recovered": e.recovered,
		"starts": e.starts, "failures": e.failures, "losses": e.losses,
	}
	if e.firstStart != 0 {
		fields["waited_ms"] = e.firstStart.Sub(e.accepted).Milliseconds()
	}
	o.Log.WithFields(fields).Info("job ended")
	o.countJob(final, now.Sub(e.accepted), max(0, e.firstStart.Sub(e.accepted)))
	e.job.FinalState = final
	e.job.EndedMS = time.Now().UnixMilli()
	e.dirty = true
	o.urgent = true
	delete(o.active, e.job.ID)
	for r := range e.runs {
		r.session.stop(r, "job ended")
	}
	o.requestCommit()
	o.schedule()
}

// State returns the state of a job as shown to clients.
func (o *Owner) State(_ context.Context, id job.ID) (job.State, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.open || o.closed {
		return "", &NotOwnerError{o.Shard}
	}
	e, err := o.find(id)
	if err != nil {
		return "", err
	}
	if e == nil || !e.stored {
		return "", &UnknownJobError{id}
	}
	return e.job.VisibleState(e.finalStored), nil
}

// Waiting returns how many jobs of a queue have no started task.
func (o *Owner) Waiting(_ context.Context, queue string) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.open || o.closed {
		return 0, &NotOwnerError{o.Shard}
	}
	n := 0
	for _, e := range o.active {
		if e.job.Queue == queue && !e.job.Started {
			n++
		}
	}
	return n, nil
}

// HostDemand is the shard's demand for hosts.
type HostDemand struct {
	// Wanted is how many hosts the pool needs.
	Wanted int
	// Settling is set until demandWarmup has passed since the owner took over: it does not know
	// the earlier arrivals.
	Settling bool
	// Releasable lists workers in increasing order of the cost of releasing them.
	Releasable []worker.ID
}

// Demand returns the shard's demand for hosts. maintenanceDue lists workers whose hosts go down for
// maintenance soon.
func (o *Owner) Demand(_ context.Context, maintenanceDue []worker.ID) (HostDemand, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	// An owner without a confirmed lease may have a successor with newer information.
	if !o.open || o.closed || !o.ownershipCertain(monotonic.Now()) {
		return HostDemand{}, &NotOwnerError{o.Shard}
	}
	o.maintenanceDue = map[worker.ID]bool{}
	for _, id := range maintenanceDue {
		o.maintenanceDue[id] = true
	}
	now := monotonic.Now()
	c := capacity.Demand{Rate: o.arrivals.PerSecond(time.Duration(now)).Plus(o.arrivals.PredictedGrowth(time.Duration(now)))}
	for _, e := range o.active {
		if !e.job.LongRunning() {
			o.forEachReadyTask(e, now, func(_ job.TaskID, s *job.Step) {
				c.Waiting = c.Waiting.Plus(resourceMilliseconds(s.RequiredResources(), 1, o.estimate(e.job.Queue, s)))
			})
			continue
		}
		for i := range e.job.Steps {
			step := &e.job.Steps[i]
			c.LongRunning = c.LongRunning.Plus(step.RequiredResources().Times(int64(step.Count)))
			if step.MaxPerWorker > 0 {
				c.SpreadHosts = max(c.SpreadHosts, (step.Count+step.MaxPerWorker-1)/step.MaxPerWorker)
			}
		}
	}
	for _, s := range o.sessions {
		c.Host = worker.Resources{CPU: max(c.Host.CPU, s.Capacity.CPU), MemMB: max(c.Host.MemMB, s.Capacity.MemMB), GPU: max(c.Host.GPU, s.Capacity.GPU)}
	}
	// Totals do not show whether any single host has sufficient capacity for a task.
	o.workersWanted = max(o.partitionWorkersWanted(c, now), o.workersForUnplaced(now, c.Host, partitionRequestDelay))
	wanted := max(capacity.HostsWanted(c), o.workersForUnplaced(now, c.Host, poolRequestDelay))
	if wanted != o.hostsWanted {
		o.hostsWanted = wanted
		o.Log.WithFields(logrus.Fields{
			"shard": o.Shard, "token": o.Token, "hosts": wanted, "sessions": len(o.sessions), "lasting_cpu": c.LongRunning.CPU,
			"arriving_cpu": c.Rate.CPU, "waiting_cpu_ms": c.Waiting.CPU, "owner_age_ms": now.Sub(o.acquired).Milliseconds(),
		}).Info("hosts wanted")
	}
	return HostDemand{Wanted: wanted, Settling: now.Sub(o.acquired) < demandWarmup, Releasable: o.releasable()}, nil
}

// workersForUnplaced returns how many workers the shard has plus those it lacks for long-running
// work that has been unplaced for at least minDuration, or 0 if there is no such work.
func (o *Owner) workersForUnplaced(now monotonic.Time, host worker.Resources, minDuration time.Duration) int {
	n := o.unplaced.additionalHosts(now, host, minDuration)
	if n == 0 {
		return 0
	}
	for _, s := range o.sessions {
		if s.listed && !s.Missing {
			n++
		}
	}
	return n
}

// unplacedWork is long-running work for which no worker has sufficient capacity.
type unplacedWork struct {
	since    monotonic.Time
	tasks    int
	required worker.Resources
}

const (
	// partitionRequestDelay is how long long-running work must be unplaced before workers are
	// requested from other partitions of the pool. Maintenance frequently moves such tasks, and
	// most are placed again within a second.
	partitionRequestDelay = time.Second
	// poolRequestDelay is the corresponding delay before hosts are requested from other pools. It
	// is longer because a pool that requests hosts releases none to other pools, and the
	// maintenance of its hosts is postponed.
	poolRequestDelay = 2500 * time.Millisecond
)

func (u *unplacedWork) add(s *job.Step, tasks int) {
	u.tasks += tasks
	u.required = u.required.Plus(s.RequiredResources().Times(int64(tasks)))
}

// finishPass completes the count of one scheduling pass.
func (u *unplacedWork) finishPass(now monotonic.Time) {
	switch {
	case u.tasks == 0:
		u.since = 0
	case u.since == 0:
		u.since = now
	}
}

// pendingFor reports whether there has been unplaced work for at least minDuration.
func (u *unplacedWork) pendingFor(now monotonic.Time, minDuration time.Duration) bool {
	return u.since != 0 && now.Sub(u.since) >= minDuration
}

// additionalHosts returns how many more hosts are needed for work that has been unplaced for at least
// minDuration.
//
// Load pattern: tasks that need half of a host or more, a few per host at most, beside other
// long-running tasks. Their sum fits into the pool, but no host has sufficient capacity for one.
func (u *unplacedWork) additionalHosts(now monotonic.Time, host worker.Resources, minDuration time.Duration) int {
	if !u.pendingFor(now, minDuration) || host.CPU <= 0 {
		return 0
	}
	return min(u.tasks, max(1, int(math.Ceil(u.required.DominantShare(host)))))
}

// partitionDrainTime is the time in which a partition should drain its queue with the workers that
// it requests from other partitions. Workers of other partitions arrive within a second, hosts of
// other pools within three.
const partitionDrainTime = time.Second

// partitionWorkersWanted returns how many of the pool's workers the partition needs. Few jobs
// arrive in each partition, so a short window would show random differences between partitions.
func (o *Owner) partitionWorkersWanted(c capacity.Demand, now monotonic.Time) int {
	c.Rate, c.DrainTime = o.arrivals.AveragePerSecond(time.Duration(now)), partitionDrainTime
	return capacity.HostsWanted(c)
}

// releasable returns the reachable workers that are listed and not draining, starting with those
// from which the least work would have to be moved.
func (o *Owner) releasable() []worker.ID {
	longRunning, used := map[worker.ID]int{}, map[worker.ID]float64{}
	var ids []worker.ID
	for id, s := range o.sessions {
		if s.listed && !s.Draining && s.reachable {
			ids, longRunning[id], used[id] = append(ids, id), s.countLongRunning(), s.used.DominantShare(s.Capacity)
		}
	}
	slices.SortFunc(ids, func(a, b worker.ID) int {
		return cmp.Or(cmp.Compare(longRunning[a], longRunning[b]), cmp.Compare(used[a], used[b]), cmp.Compare(a, b))
	})
	return ids
}

// countLongRunning returns the number of long-running tasks on the worker.
func (s *session) countLongRunning() int {
	n := 0
	for _, r := range s.runs {
		if r.step.LongRunning {
			n++
		}
	}
	return n
}
