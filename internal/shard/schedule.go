package shard

import (
	"context"
	"iter"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/placement"
	"samphirestile.example/samphirestile/internal/share"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	// minPassInterval is the minimum delay between scheduling passes.
	minPassInterval = 8 * time.Millisecond
	// passDelayFactor times the duration of a scheduling pass is the delay after it, up to
	// maxPassInterval, so that passes leave processor time to calls and commands.
	passDelayFactor = 3
	maxPassInterval = 100 * time.Millisecond
	// maxPathAge is the maximum age of a job's cached critical path, which is also recomputed when
	// a run of the job completes.
	maxPathAge = 500 * time.Millisecond
	// maxFruitlessScans bounds the workers that one scheduling pass examines for long-running jobs
	// without placing a task, and likewise for other jobs. The next pass starts with the jobs that
	// were skipped.
	maxFruitlessScans = 4096
)

func (o *Owner) scheduleLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.wake:
		}
		o.mu.Lock()
		began := monotonic.Now()
		if o.open && !o.closed {
			o.schedulingPass()
		}
		took := monotonic.Now().Sub(began)
		o.mu.Unlock()
		monotonic.Sleep(ctx, min(maxPassInterval, max(minPassInterval, passDelayFactor*took)))
	}
}

// readyTasks iterates over the tasks that could start now. The caller holds mu.
func (o *Owner) readyTasks(e *jobEntry, now monotonic.Time) iter.Seq2[job.TaskID, *job.Step] {
	return func(yield func(job.TaskID, *job.Step) bool) {
		if e.job.FinalState.IsFinal() || !e.stored || now < e.retryAt || e.noReadyTasks {
			return
		}
		var uncontacted uncontactedRuns
		if e.recovered {
			uncontacted = o.uncontactedRuns(now)
		}
		for t, s := range o.idleTasks(e, now, o.tasksInProgress()) {
			if (s.Copyable() || !uncontacted.mayInclude(t) && !o.mayBeStopping(t, now)) && !yield(t, s) {
				return
			}
		}
	}
}

// hasReadyTask reports whether a task could start now. The caller holds mu.
func (o *Owner) hasReadyTask(e *jobEntry, now monotonic.Time) bool {
	for range o.readyTasks(e, now) {
		return true
	}
	return false
}

// idleTasks iterates over the tasks of the steps whose turn has come that are neither done nor have a
// run of this owner, of the first due occurrences with the given number of tasks. The caller holds mu.
func (o *Owner) idleTasks(e *jobEntry, now monotonic.Time, inProgress int) iter.Seq2[job.TaskID, *job.Step] {
	return func(yield func(job.TaskID, *job.Step) bool) {
		due := o.dueAt(e, now)
		if e.job.Scheduled() && due < e.job.FirstDueMS {
			return
		}
		for k := range e.job.Startable(due, inProgress) {
			for i := range e.job.Ready(k) {
				for t := range e.job.Idle(k, i) {
					if !yield(t, &e.job.Steps[i]) {
						return
					}
				}
			}
		}
	}
}

// tasksInProgress returns how many tasks of one job may be in progress. While the jobs of the shard need more memory than they
// may, only one occurrence of each is. The caller holds mu.
func (o *Owner) tasksInProgress() int {
	if b := &o.acceptedBacklog; b.memoryBytes > b.maxMemoryBytes {
		return 0
	}
	return job.MaxTasksInProgress
}

// dueAt returns the Unix time in milliseconds by which the occurrences of a job are due, or 0 if it has no schedule.
func (o *Owner) dueAt(e *jobEntry, now monotonic.Time) int64 {
	if !e.job.Scheduled() {
		return 0
	}
	return o.unixMS(now)
}

// readyTask is one task that waits for capacity.
type readyTask struct {
	id   job.TaskID
	step *job.Step
}

// schedulingPass starts the tasks for which there is capacity. The caller holds mu.
func (o *Owner) schedulingPass() {
	now := monotonic.Now()
	if !o.ownershipCertain(now) {
		return
	}
	if o.Evacuations != nil {
		confirmed := o.evacuationsConfirmed()
		o.logConfirmation(confirmed)
		if !confirmed {
			return
		}
	}
	o.adviceRequests = o.adviceRequests[:0]
	o.adviceBacklog(now)
	var entries []*jobEntry
	for _, e := range o.active {
		if !o.hasReadyTask(e, now) {
			e.noReadyTasks = e.stored && now >= e.retryAt && !e.job.Scheduled() && !e.recovered
			e.limited.since = 0
			if now >= e.retryAt {
				e.unplaced = unplacedTasks{}
			}
			continue
		}
		entries = append(entries, e)
	}
	slow := o.runsToCopy(now)
	defer o.countUnplaced(now)
	if len(entries) == 0 && len(slow) == 0 {
		return
	}
	if len(entries) > 0 {
		o.findYielding(now)
	}
	waiting := make([]share.WaitingJob, len(entries))
	for i, e := range entries {
		waiting[i] = o.newWaitingJob(e, now)
	}
	o.findLimited(now)
	p := o.newPlacer(now)
	p.placeMoves()
	p.lookAhead = p.newLookAhead()
	skipped := 0
	for _, i := range p.promote(entries, share.Order(waiting, now)) {
		e := entries[i]
		if p.exhausted(e.job.LongRunning()) {
			e.skips++
			skipped++
			continue
		}
		e.skips = 0
		if p.lookAhead != nil && e == p.lookAhead.promoted {
			p.placePromoted(e)
			continue
		}
		p.placeJob(e)
	}
	o.logSkippedJobs(skipped, len(entries))
	if !p.exhausted(false) {
		p.placeCopies(slow)
	}
	o.wakeAdvice()
}

// logSkippedJobs logs when scheduling passes begin and cease to skip jobs. The caller holds mu.
func (o *Owner) logSkippedJobs(skipped, waiting int) {
	if (skipped > 0) == o.skippingJobs {
		return
	}
	o.skippingJobs = skipped > 0
	o.Log.WithFields(logrus.Fields{
		"shard": o.Shard, "token": o.Token, "skipped": skipped, "waiting": waiting, "sessions": len(o.sessions),
	}).Info("scheduling passes skip jobs")
}

func (o *Owner) newWaitingJob(e *jobEntry, now monotonic.Time) share.WaitingJob {
	return share.WaitingJob{
		LongRunning: e.job.LongRunning(), Skips: e.skips, Priority: e.job.Priority, Deadline: e.deadline(),
		Remaining: o.remainingPath(e, now), Accepted: e.accepted, Yields: e.yields, Promoted: e == o.promoted, Usage: o.weightedUsage(e.job.Account),
	}
}

// weightedUsage is the CPU need of an account's runs, in thousandths of a core, divided by the
// account's weight.
func (o *Owner) weightedUsage(account string) float64 {
	c := o.Configuration()
	if c == nil || c.Accounts[account].Weight <= 0 {
		return 0
	}
	return float64(o.usage[account].CPU) / c.Accounts[account].Weight
}

// remainingPath returns the cached critical path of the job's next occurrence. It is 0 for
// long-running jobs.
func (o *Owner) remainingPath(e *jobEntry, now monotonic.Time) time.Duration {
	if e.job.LongRunning() {
		return 0
	}
	if e.pathAt == 0 || e.pathDoneRuns != e.doneRuns || now.Sub(e.pathAt) > maxPathAge {
		e.path, e.pathAt, e.pathDoneRuns = o.nextOccurrencePath(e), now, e.doneRuns
	}
	return e.path
}

// nextOccurrencePath returns the critical path through the unfinished steps of the first unfinished
// occurrence.
func (o *Owner) nextOccurrencePath(e *jobEntry) time.Duration {
	for k := range e.job.Unfinished(e.job.Occurrences()) {
		step := -1
		return e.job.CriticalPath(func(s *job.Step) time.Duration {
			// The steps come in order.
			if step++; e.job.DoneInStep(k, step) == s.Count {
				return 0
			}
			return o.stepTime(&e.job.Job, s)
		})
	}
	return 0
}

// placer tracks the workers' free resources during one scheduling pass.
type placer struct {
	owner      *Owner
	now        monotonic.Time
	sessions   []*session
	candidates []placement.Candidate
	// index holds the position of each session in sessions and in candidates.
	index map[*session]int
	// inherited is what runs of earlier owners on workers that have not responded may use, by
	// account.
	inherited map[string]worker.Resources
	// unplaceable holds the needs for which no worker qualifies any more in this pass.
	unplaceable placement.Unplaceable
	// fruitlessScans is the number of workers examined for tasks that found none: for long-running
	// jobs and for others.
	fruitlessScans struct{ longRunning, other int }
	// lookAhead is nil if the look-ahead is disabled.
	lookAhead *lookAhead
}

// newPlacer returns the state of the workers at the beginning of a scheduling pass. The caller holds mu.
func (o *Owner) newPlacer(now monotonic.Time) *placer {
	p := &placer{owner: o, now: now, inherited: o.inheritedUsage(now), index: make(map[*session]int, len(o.sessions))}
	for _, s := range o.sessions {
		p.add(s)
	}
	return p
}

// scans returns the count of fruitless scans for a kind of jobs.
func (p *placer) scans(longRunning bool) *int {
	if longRunning {
		return &p.fruitlessScans.longRunning
	}
	return &p.fruitlessScans.other
}

// exhausted reports whether no further jobs of a kind are looked at in this pass.
func (p *placer) exhausted(longRunning bool) bool { return *p.scans(longRunning) >= maxFruitlessScans }

func (p *placer) add(s *session) {
	kinds := s.countTaskKinds()
	p.index[s] = len(p.sessions)
	p.sessions = append(p.sessions, s)
	p.candidates = append(p.candidates, placement.Candidate{
		Worker: s.Worker, Used: s.used, LongRunning: kinds.longRunning, LongRunningUse: kinds.longRunningUse, Serving: kinds.serving,
		BestEffort: kinds.bestEffort, FailureScore: s.failureScore(p.now),
		Closed: !s.usable(), Allowed: true, MaintenanceDue: p.owner.maintenanceDue[s.ID],
	})
}

// prepareCandidates sets, for each worker, how many tasks of the step it runs and whether it may run
// the step. It returns the rack of one of the step's runs, or "" if there is none or if the step is
// restricted neither to one rack nor in its tasks per worker.
func (p *placer) prepareCandidates(e *jobEntry, t readyTask) (rack string) {
	for i := range p.candidates {
		c := &p.candidates[i]
		c.StepTasks = 0
		_, c.Allowed = e.approvalFor(t.id, p.sessions[i], p.now)
	}
	if t.step.MaxPerWorker == 0 && !t.step.SameRack {
		return ""
	}
	for r := range e.runs {
		if r.task.Step != t.id.Step || r.task.Occurrence != t.id.Occurrence {
			continue
		}
		rack = r.session.Rack()
		if i, ok := p.index[r.session]; ok {
			p.candidates[i].StepTasks++
		}
	}
	return rack
}

// placeJob starts the job's ready tasks for which there is capacity.
func (p *placer) placeJob(e *jobEntry) {
	e.unplaced = unplacedTasks{}
	e.limited.refused = false
	starts := e.starts
	defer func() {
		if e.limited.update(e.starts > starts, p.now) {
			// The request for the job is withdrawn.
			p.owner.ledger.RequestUpdate()
		}
	}()
	var tasks []readyTask
	var covered *job.Step
	for t, s := range p.owner.readyTasks(e, p.now) {
		if s == covered {
			continue
		}
		if len(tasks) > 0 && (s != tasks[0].step || t.Occurrence != tasks[0].id.Occurrence) {
			p.placeStep(e, tasks)
			tasks = tasks[:0]
		}
		if p.covered(e, s) {
			p.markBlocked(e, s)
			covered = s
			continue
		}
		tasks = append(tasks, readyTask{t, s})
	}
	if len(tasks) > 0 {
		p.placeStep(e, tasks)
	}
}

// covered reports whether no worker qualifies for the step because none did for a smaller need. Steps
// that have to be looked at for another reason are not covered: the advisor's decisions may be missing,
// and workers are reserved and hosts requested for long-running tasks.
func (p *placer) covered(e *jobEntry, s *job.Step) bool {
	return !e.job.Advised && !s.LongRunning && !p.mayReserve(s) && p.unplaceable.Covers(s, p.expected(e, s))
}

func (p *placer) placeStep(e *jobEntry, tasks []readyTask) {
	if tasks[0].step.Gang {
		p.placeGang(e, tasks)
		return
	}
	// Many jobs may wait for an account at its limit, so this check precedes the scan of all
	// workers.
	if !p.withinAccountLimit(e, tasks[0].step, 1) {
		p.refuseByLimit(e, tasks[0].step, 1)
		return
	}
	rack := p.prepareCandidates(e, tasks[0])
	for n, t := range tasks {
		if !p.withinAccountLimit(e, t.step, 1) {
			p.refuseByLimit(e, t.step, 1)
			return
		}
		i := placement.Choose(p.candidates, p.request(e, t.step, rack))
		if i < 0 {
			p.recordShortage(e, t, rack, len(tasks)-n)
			return
		}
		p.startRun(e, t, i, 0)
		rack = p.candidates[i].Rack()
	}
}

// recordShortage records that no worker qualifies for the remaining tasks of a step: it queues a request
// to the advisor if that can help, and otherwise reserves a worker and requests hosts for long-running
// tasks.
func (p *placer) recordShortage(e *jobEntry, t readyTask, rack string, remaining int) {
	*p.scans(e.job.LongRunning()) += len(p.candidates)
	reserved := p.reserve(e, t, rack, remaining)
	if p.queueAdviceRequest(e, t, rack, remaining) {
		return
	}
	shortage := placement.FindShortage(p.candidates, t.step)
	if !e.job.Advised && !shortage.Spread {
		p.unplaceable.Add(t.step, p.expected(e, t.step))
	}
	if !t.step.LongRunning || t.step.Gang {
		return
	}
	if shortage.Room && !reserved && placement.Reserve(p.candidates, t.step) && p.lookAhead != nil {
		p.lookAhead.workers--
	}
	// Further hosts of this kind do not help a task that none can run.
	if shortage.Suitable || !shortage.Open {
		e.unplaced.add(t.step, remaining)
	}
}

// placeGang starts all members or none.
func (p *placer) placeGang(e *jobEntry, tasks []readyTask) {
	if len(tasks) < tasks[0].step.Count {
		return
	}
	if !p.withinAccountLimit(e, tasks[0].step, len(tasks)) {
		p.refuseByLimit(e, tasks[0].step, len(tasks))
		return
	}
	rack := p.prepareCandidates(e, tasks[0])
	saved := append([]placement.Candidate(nil), p.candidates...)
	chosen := make([]int, 0, len(tasks))
	for _, t := range tasks {
		i := placement.Choose(p.candidates, p.request(e, t.step, rack))
		if i < 0 {
			p.candidates = saved
			p.recordGangShortage(e, t, rack, len(tasks), len(chosen))
			return
		}
		p.assign(e, i, t.step)
		rack = p.candidates[i].Rack()
		chosen = append(chosen, i)
	}
	p.candidates = saved
	number := 0
	for _, t := range tasks {
		number = max(number, e.nextNumber(t.id))
	}
	for n, t := range tasks {
		p.startRun(e, t, chosen[n], number)
	}
}

// recordGangShortage records that a gang found workers only for some of its members.
func (p *placer) recordGangShortage(e *jobEntry, t readyTask, rack string, members, found int) {
	*p.scans(e.job.LongRunning()) += len(p.candidates) * found
	if found == 0 {
		p.recordShortage(e, t, rack, members)
		return
	}
	*p.scans(e.job.LongRunning()) += len(p.candidates)
	p.reserve(e, t, rack, members)
	if !p.queueAdviceRequest(e, t, rack, members) {
		placement.FindShortage(p.candidates, t.step)
	}
}

// withinAccountLimit reports whether the limit of the job's account allows the tasks. If not, it
// requests a larger grant.
func (p *placer) withinAccountLimit(e *jobEntry, s *job.Step, tasks int) bool {
	o := p.owner
	if e.job.Account == "" {
		return true
	}
	use := o.usage[e.job.Account].Plus(p.inherited[e.job.Account]).Plus(s.Need.Times(int64(tasks)))
	use = use.Plus(o.limited[e.job.Account].reservedFor(e, p.now))
	if o.ledger.AllowsStart(e.job.Account, o.limit(e.job.Account), use) {
		return true
	}
	o.ledger.RequestUpdate()
	return false
}

// refuseByLimit records that the limit of the job's account kept tasks from starting.
func (p *placer) refuseByLimit(e *jobEntry, s *job.Step, tasks int) {
	e.limited.refuse(s.Need.Times(int64(tasks)), p.owner.limit(e.job.Account), p.now)
}

func (p *placer) assign(e *jobEntry, i int, s *job.Step) {
	c := &p.candidates[i]
	c.Occupy(p.request(e, s, ""))
	c.Used = c.Used.Plus(s.RequiredResources())
	c.StepTasks++
	if s.LongRunning {
		c.LongRunning++
		c.LongRunningUse = c.LongRunningUse.Plus(s.RequiredResources())
	}
	if s.TailLatencyTarget > 0 {
		c.Serving++
	}
	if s.BestEffort {
		c.BestEffort++
	}
}

// nextNumber returns the number of a task's next run. Numbers increase across owners.
func (e *jobEntry) nextNumber(t job.TaskID) int {
	task := e.job.Task(t)
	if task.LastRun >= e.numberBase {
		return task.LastRun + 1
	}
	return task.LastRun + e.numberBase + 1
}

// startRun attaches one run and issues its start command; number 0 selects the task's next number.
func (p *placer) startRun(e *jobEntry, t readyTask, i, number int) {
	o := p.owner
	p.assign(e, i, t.step)
	s := p.sessions[i]
	task := e.job.Task(t.id)
	if number == 0 {
		number = e.nextNumber(t.id)
	}
	task.LastRun = number
	e.starts++
	if e == o.promoted {
		o.promoted = nil
	}
	r := &run{
		task: t.id, number: number, entry: e, step: t.step, session: s, placedAt: p.now, commandedPace: fullPace,
	}
	if !t.step.LongRunning {
		o.countStart(r, p.now)
	}
	s.attach(r)
	s.start(r)
	p.reservationMet(r, i)
	o.Log.WithFields(logrus.Fields{
		"task": t.id.String(), "run": number, "worker": s.ID, "free": freeResources(s), "suspicion": p.candidates[i].FailureScore,
	}).Debug("run placed")
}

func freeResources(s *session) worker.Resources { return s.Capacity.Minus(s.used) }
