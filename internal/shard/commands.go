package shard

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/pacing"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	// fullPace is in percent.
	fullPace = pacing.FullPace
	// unknownPace leads to a command at the next status.
	unknownPace = -1
	// failureScoreStep is added to a worker's failure score for each failure, and the score decays
	// with failureScoreHalfLife. A few failures in a row keep a worker from new tasks for some
	// seconds while others have capacity.
	failureScoreStep     = 0.5
	failureScoreHalfLife = 4 * time.Second
	// failureBackoff delays further starts of a job after one of its runs failed, so that a task
	// that always fails does not occupy a worker again at once.
	failureBackoff = 50 * time.Millisecond
	// maxStaleBackoff limits the delay of further starts of a job after starts that were refused as old. It
	// begins with failureBackoff and doubles with each of them.
	maxStaleBackoff = 800 * time.Millisecond
	// longRunningBackoff delays further starts of a job after a run of one of its long-running
	// tasks ended, for any cause.
	longRunningBackoff = 100 * time.Millisecond
)

// start issues the start command of a run. The caller holds mu and has attached the run.
func (s *session) start(r *run) {
	if !s.commands.add(func(ctx context.Context) { s.sendStart(ctx, r, 1) }, r.step.Gang) {
		s.detach(r)
	}
}

func (s *session) sendStart(ctx context.Context, r *run, attempt int) {
	o := s.owner
	if !s.waitForAcknowledgement(ctx) || !s.waitForClock(ctx, r) {
		return
	}
	o.mu.Lock()
	if !s.attached(r) || r.stopping || r.state == runConfirmed {
		o.mu.Unlock()
		return
	}
	now := monotonic.Now()
	leaseEnd := s.grantLease(now)
	approvalValue, allowed := r.entry.approvalFor(r.task, s, now)
	// The zone may have been evacuated since the run was placed.
	if s.evacuated() || !o.evacuationsConfirmed() {
		s.abandonStart(r)
		s.abandonGang(r)
		o.mu.Unlock()
		return
	}
	// The worker may have begun to drain, its address may have changed, or it may have fallen silent, since the start was queued. A
	// silent worker may have restarted, so its clock is not known.
	if leaseEnd == 0 || s.Draining || !s.reachable || !s.recorded() || !o.ownershipCertain(now) || attempt == 1 && !allowed {
		o.Log.WithFields(logrus.Fields{
			"worker": s.ID, "task": r.task.String(), "run": r.number, "attempt": attempt, "lease_granted": leaseEnd != 0, "draining": s.Draining,
			"reachable": s.reachable, "recorded": s.recorded(), "ownership_certain": o.ownershipCertain(now), "approved": allowed,
			"clock_known": s.clockKnown, "clock_age_ms": now.Sub(s.clockAt).Milliseconds(),
		}).Info("start given up")
		s.abandonStart(r)
		o.mu.Unlock()
		return
	}
	if !o.withinLoweredLimit(r) {
		o.Log.WithFields(logrus.Fields{
			"worker": s.ID, "task": r.task.String(), "run": r.number, "attempt": attempt, "account": r.entry.job.Account,
		}).Info("start withheld: the limit of the account was lowered")
		if attempt == 1 {
			s.detach(r)
		} else {
			// The first attempt may have taken effect: the run is stopped unless a status lists it.
			r.stopUnlistedAfter = now
		}
		o.mu.Unlock()
		return
	}
	if attempt == 1 {
		r.state = runStarting
	}
	r.startExpiry = min(s.leaseEnd, now.Add(lateStartWindow))
	command := worker.StartCommand{
		Token: s.token, Task: r.task.String(), Number: r.number, Spec: r.entry.job.Spec, LeaseEndMS: leaseEnd,
		Checkpoint: r.entry.checkpoint(r.task), Approval: approvalValue,
	}
	// The lease ends by the clock of the worker at the current address.
	conn, sent, incarnation := s.conn.conn(), monotonic.Now(), s.incarnation
	r.startInFlight = true
	s.startsInFlight++
	o.mu.Unlock()
	clock, err := conn.Start(ctx, command)
	if ctx.Err() != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	defer o.completePendingJobs()
	now = monotonic.Now()
	r.startInFlight = false
	s.startAnswered(err)
	sameIncarnation := s.incarnation == incarnation
	s.recordClock(clock, sent, now)
	shown := s.observe(now)
	if !sameIncarnation {
		// The answer may be from the former incarnation. The next status shows whether the present one has the run.
		shown.incarnation = incarnation
	}
	s.confirmLease(leaseEnd, clock, now)
	if err != nil && !isDefinite(err) {
		s.leaseNotAnswered(incarnation, sent, now)
		s.unansweredToken = max(s.unansweredToken, command.Token)
		s.fenceUnansweredStarts()
	}
	if !s.attached(r) {
		s.settleLateStart(r, err, s.incarnation == incarnation, sent, now)
	}
	if err == nil {
		s.logStart(r, attempt, command.Token, clock, incarnation, now.Sub(sent))
		r.entry.staleBackoff = 0
		r.entry.approvalUsed(r.task)
		r.shown = shown
		if r.state != runConfirmed {
			r.confirm(now)
		}
		return
	}
	s.startFailed(r, err, attempt, command, sent, now)
}

// logStart logs the answer to a start. clock is that of the worker in the answer, incarnation the one that
// was known when the command was sent.
func (s *session) logStart(r *run, attempt int, token uint64, clock int64, incarnation int, took time.Duration) {
	s.owner.Log.WithFields(logrus.Fields{
		"worker": s.ID, "task": r.task.String(), "run": r.number, "attempt": attempt, "token": token, "took_ms": took.Milliseconds(),
		"clock_ms": clock, "incarnation": s.incarnation, "incarnation_sent": incarnation, "born_ms": s.incarnationStartMS, "attached": s.attached(r),
	}).Info("start answered")
}

// withinLoweredLimit reports whether the limit of the account still allows a run that was placed under
// it. The members of a gang would wait in vain for one that is withheld, so they are always allowed. The
// caller holds mu.
func (o *Owner) withinLoweredLimit(r *run) bool {
	account := r.entry.job.Account
	return account == "" || r.step.Gang || o.ledger.Allows(account, o.limit(account), o.usage[account])
}

// startFailed handles a start command that was refused or got no response. The caller holds mu.
func (s *session) startFailed(r *run, err error, attempt int, command worker.StartCommand, sent, now monotonic.Time) {
	o := s.owner
	var refused *worker.RefusedError
	fields := logrus.Fields{
		"worker": s.ID, "task": r.task.String(), "run": r.number, "attempt": attempt, "token": command.Token, "took_ms": now.Sub(sent).Milliseconds(),
		"incarnation": s.incarnation,
	}
	// A refusal of a token that was raised on the way does not show that there is another owner.
	raised := command.Token < s.token
	switch {
	case errors.As(err, &refused):
		s.recordClock(refused.ClockMS, sent, now)
		if refused.Reason == worker.RefusedStaleRun || refused.Reason == worker.RefusedCapacity {
			// The worker takes the lease over all the same.
			s.confirmLease(command.LeaseEndMS, refused.ClockMS, now)
		}
		o.Log.WithFields(fields).WithField("reason", refused.Reason).Info("start refused")
		switch refused.Reason {
		case worker.RefusedCapacity:
			s.closedUntil = now.Add(capacityBackoff)
		case worker.RefusedFence:
			s.lostOwnership = s.lostOwnership || !raised
		case worker.RefusedUnhealthy:
			s.closedUntil = now.Add(unhealthyBackoff)
			s.recordFailure(now)
		case worker.RefusedStaleRun:
			// On a repeated start, the first attempt usually took effect and its run has finished,
			// possibly successfully: the next status lists the completion. A stopping run is refused
			// because its stop arrived first. Otherwise the worker has received this run number or a
			// higher one from another owner.
			if attempt == 1 && !r.stopping {
				r.entry.job.Task(r.task).LastRun += takeoverRunGap
				r.entry.delayAfterStale(now)
			}
			s.notify()
		case worker.RefusedApproval:
			r.entry.approvalRefused(r.task, s.ID, now)
		case worker.RefusedExpired:
			// The lease end had passed on the worker's clock, so the estimate of that clock is
			// discarded.
			s.clockKnown = false
		}
		if attempt > 1 && (refused.Reason != worker.RefusedFence || raised) {
			// The first attempt may have taken effect, or may still do so.
			s.stopUnanswered(r)
			return
		}
		s.detach(r)
	case errors.As(err, new(*worker.GoneError)):
		s.detach(r)
		s.notify()
	case errors.As(err, new(*worker.UnreachableError)) && attempt == 1:
		o.Log.WithError(err).WithFields(fields).Info("start not sent")
		s.reachable = false
		s.detach(r)
		s.notify()
	default:
		o.Log.WithError(err).WithFields(fields).Info("start without an answer")
		r.state, r.startUnanswered = runUnknown, true
		s.closedUntil = now.Add(capacityBackoff)
		if attempt < startAttempts && !r.stopping {
			if s.commands.add(func(ctx context.Context) { s.requestStatus(ctx, r) }, r.step.Gang) {
				r.repeatWaits = now
				return
			}
		}
		s.stopUnanswered(r)
	}
}

// requestStatus sends heartbeats until a status has decided whether the start of a run is repeated. They are sent beside those
// of heartbeatLoop, of which one may be waiting at the worker, grant no lease and acknowledge nothing. Without a status the run
// is stopped after maxRepeatWait.
func (s *session) requestStatus(ctx context.Context, r *run) {
	o := s.owner
	for ctx.Err() == nil {
		o.mu.Lock()
		sent := monotonic.Now()
		if !s.waitsForRepeat(r) {
			r.repeatWaits = 0
			o.mu.Unlock()
			return
		}
		if sent.Sub(r.repeatWaits) > maxRepeatWait {
			r.repeatWaits = 0
			s.stopUnanswered(r)
			o.mu.Unlock()
			return
		}
		command, incarnation, conn := worker.HeartbeatCommand{Token: s.token}, s.incarnation, s.conn.conn()
		o.mu.Unlock()
		status, err := conn.Heartbeat(ctx, command)
		if ctx.Err() != nil {
			return
		}
		received := monotonic.Now()
		o.mu.Lock()
		switch {
		case sent <= s.dialedAt:
		case err == nil:
			s.handleStatus(status, command, incarnation, sent, received)
		case !isDefinite(err):
			s.incarnationKnown = false
		}
		waits := s.waitsForRepeat(r)
		if !waits {
			r.repeatWaits = 0
		}
		o.mu.Unlock()
		if !waits {
			return
		}
		monotonic.Sleep(ctx, lateStartRetryDelay)
	}
}

// waitsForRepeat reports whether a status decides if the start of a run is repeated. The caller holds mu.
func (s *session) waitsForRepeat(r *run) bool {
	return r.repeatWaits != 0 && s.attached(r) && !r.stopping && r.state == runUnknown
}

// repeatStarts repeats the starts without an answer whose runs a complete status does not list, if the heartbeat was sent after
// the start was known to have no answer. Without that status the worker may have restarted: by the clock of its former
// incarnation the start would grant the longest lease, which the owner does not know of if the worker falls silent before it
// answers. The caller holds mu.
func (s *session) repeatStarts(listed map[runKey]bool, sent monotonic.Time) {
	for key, r := range s.runs {
		if !s.waitsForRepeat(r) || listed[key] || sent < r.repeatWaits {
			continue
		}
		r.repeatWaits = 0
		if !s.commands.add(func(ctx context.Context) { s.sendStart(ctx, r, startAttempts) }, r.step.Gang) {
			s.stopUnanswered(r)
		}
	}
}

// delayAfterStale delays further starts of a job after one was refused as old. Refusals of starts that were sent together
// count as one. The caller holds mu.
func (e *jobEntry) delayAfterStale(now monotonic.Time) {
	if now < e.retryAt {
		return
	}
	e.staleBackoff = min(max(2*e.staleBackoff, failureBackoff), maxStaleBackoff)
	e.retryAt = now.Add(e.staleBackoff)
}

// abandonStart gives up a start that may not be sent, or not be repeated, any more. The caller holds
// mu.
func (s *session) abandonStart(r *run) {
	if r.state == runQueued {
		s.detach(r)
		return
	}
	// The first attempt may have taken effect.
	s.stopUnanswered(r)
}

// stopUnanswered stops a run whose start command got no response. The run of a long-running task may
// be at work, so it is stopped only if the limit on unavailable tasks allows that or the worker does
// not list it. The caller holds mu.
func (s *session) stopUnanswered(r *run) {
	switch {
	case !r.step.LongRunning:
		s.stop(r, "start without an answer")
	case s.stopAllowed(r):
		s.stopWithinLimit(r, "start without an answer")
	default:
		r.stopUnlistedAfter = monotonic.Now()
	}
}

// stopUnlisted stops the runs for which stopUnanswered waits and that a status does not list.
func (s *session) stopUnlisted(listed map[runKey]bool, sent monotonic.Time) {
	for key, r := range s.runs {
		if r.waitsForStatus() && !listed[key] && sent > r.stopUnlistedAfter {
			r.unlistedAt = monotonic.Now()
			if r.step.LongRunning {
				s.stopWithinLimit(r, "start without an answer")
			} else {
				s.stop(r, "start without an answer")
			}
		}
	}
}

// stop requests that a run be stopped. The caller holds mu.
//
// The command does not wait for the response to an outstanding start: a worker that receives the stop
// first refuses the start.
func (s *session) stop(r *run, reason string) {
	r.withinLimit = false
	s.beginStop(r, reason)
}

// stopWithinLimit requests that the run of a long-running task be stopped, unless the limit on
// unavailable tasks has been reached when a stop command is sent and the run may be at work. The caller
// holds mu.
func (s *session) stopWithinLimit(r *run, reason string) {
	if r.stopping {
		return
	}
	r.withinLimit = true
	s.beginStop(r, reason)
}

func (s *session) beginStop(r *run, reason string) {
	if r.stopping || !s.attached(r) {
		return
	}
	s.owner.Log.WithFields(logrus.Fields{
		"worker": s.ID, "task": r.task.String(), "run": r.number, "reason": reason, "start_unanswered": r.state != runConfirmed,
	}).Info("run is stopped")
	if r.state == runQueued {
		s.detach(r)
		return
	}
	now := monotonic.Now()
	r.stopping, r.stopRequested = true, now
	s.requestStop(r.key(), now)
}

// handleFinishedRun processes the completion of one run. The caller holds mu.
func (s *session) handleFinishedRun(finished worker.FinishedRun, now monotonic.Time) {
	o := s.owner
	t, err := job.ParseTaskID(finished.Task)
	if err != nil {
		o.Log.WithError(err).WithField("worker", s.ID).Warn("worker reported a finished run with an invalid task ID")
		return
	}
	o.countFinishedRun(finished.Cause)
	key := runKey{t, finished.Number}
	r := s.runs[key]
	o.Log.WithFields(logrus.Fields{
		"worker": s.ID, "task": finished.Task, "run": finished.Number, "cause": finished.Cause, "sequence": finished.Sequence,
		"incarnation": s.incarnation, "attached": r != nil,
	}).Info("run ended")
	if r != nil {
		s.detach(r)
	}
	if l := s.lateStarts[key]; l != nil {
		l.stopAccepted, l.ended = s.observe(now), true
	}
	// A failed run may be the last attempt of its task, after which no copy may start either.
	if (finished.Cause == worker.FinishDone || finished.Cause == worker.FinishFailed) && o.startPending(t, now) {
		s.hold(finished, t)
	}
	e := o.jobs[t.Job]
	if e == nil || !e.job.Valid(t) || e.job.FinalState.IsFinal() {
		return
	}
	task := e.job.Task(t)
	task.LastRun = max(task.LastRun, finished.Number)
	if finished.Checkpoint != "" {
		o.setCheckpoint(e, t, finished.Checkpoint)
	}
	e.job.Begun = true
	e.dirty = true
	step := &e.job.Steps[t.Step]
	switch finished.Cause {
	case worker.FinishDone:
		o.handleCompletedTask(e, t, step, r, now)
	case worker.FinishFailed:
		s.handleFailedRun(e, t, step, finished.Number, now)
	}
	if step.LongRunning {
		e.retryAt = max(e.retryAt, now.Add(longRunningBackoff))
	}
	o.schedule()
}

func (o *Owner) handleCompletedTask(e *jobEntry, t job.TaskID, step *job.Step, r *run, now monotonic.Time) {
	if step.LongRunning {
		return
	}
	e.noReadyTasks = false
	e.doneRuns++
	// A run that was never confirmed has no known begin.
	if r != nil && r.started != 0 && e.job.Task(t).Checkpoint == "" {
		o.recordDuration(e.job.Queue, step, now.Sub(r.started))
	}
	for i := range step.Count {
		member := t
		if step.Gang {
			// The completion of one member completes the whole gang.
			member.Index = i
		} else if i > 0 {
			break
		}
		e.job.MarkDone(member)
		for other := range e.runs {
			if other.task == member {
				other.session.stop(other, "task is done")
			}
		}
	}
	if e.job.AllDone() {
		o.completeJob(e)
	}
}

func (s *session) handleFailedRun(e *jobEntry, t job.TaskID, step *job.Step, number int, now monotonic.Time) {
	o := s.owner
	s.recordFailure(now)
	e.failures++
	e.retryAt = max(e.retryAt, now.Add(failureBackoff))
	if step.LongRunning {
		return
	}
	if e.job.MarkFailed(t, number) {
		o.Log.WithFields(logrus.Fields{"job": e.job.ID, "shard": o.Shard, "task": t.String(), "failed_runs": e.job.Task(t).FailedRuns}).Info("job failed after its last attempt")
		o.finishJob(e, job.Failed)
	}
}

func (s *session) recordFailure(now monotonic.Time) {
	s.storedFailureScore, s.failureScoreAt = s.failureScore(now)+failureScoreStep, now
}

// failureScore returns the worker's failure score after decay.
func (s *session) failureScore(now monotonic.Time) float64 {
	if s.storedFailureScore == 0 {
		return 0
	}
	halfLives := float64(now.Sub(s.failureScoreAt)) / float64(failureScoreHalfLife)
	return s.storedFailureScore * halfLifeDecay(halfLives)
}

// checkpoint returns where a task resumes; the members of a gang share one checkpoint.
func (e *jobEntry) checkpoint(t job.TaskID) string {
	if e.job.Steps[t.Step].Gang {
		t.Index = 0
	}
	return e.job.Task(t).Checkpoint
}

func (o *Owner) setCheckpoint(e *jobEntry, t job.TaskID, checkpoint string) {
	if e.job.FinalState.IsFinal() {
		return
	}
	if e.job.Steps[t.Step].Gang {
		t.Index = 0
	}
	e.job.Task(t).Checkpoint = checkpoint
}

// needsPacing reports whether the worker runs both serving and best-effort tasks.
func (s *session) needsPacing() bool {
	k := s.countTaskKinds()
	return k.serving > 0 && k.bestEffort > 0
}

// taskKinds describes the tasks on a worker.
type taskKinds struct {
	serving, bestEffort, longRunning int
	// longRunningUse is what the long-running tasks use.
	longRunningUse worker.Resources
}

func (s *session) countTaskKinds() taskKinds {
	var k taskKinds
	for _, r := range s.runs {
		if r.step.TailLatencyTarget > 0 {
			k.serving++
		}
		if r.step.BestEffort {
			k.bestEffort++
		}
		if r.step.LongRunning {
			k.longRunning++
			k.longRunningUse = k.longRunningUse.Plus(r.step.RequiredResources())
		}
	}
	return k
}

// adjustPace changes the speed of best-effort tasks according to the tail latency of the serving
// tasks.
func (s *session) adjustPace() {
	var tails []pacing.TailLatency
	for _, r := range s.runs {
		if r.step.TailLatencyTarget > 0 && r.reportedPercent == fullPace {
			tails = append(tails, pacing.TailLatency{Observed: time.Duration(r.reportedUsage) * time.Millisecond, Target: r.step.TailLatencyTarget})
		}
	}
	next := pacing.Next(s.pace, tails)
	if next != s.pace {
		s.owner.Log.WithFields(logrus.Fields{"worker": s.ID, "from": s.pace, "to": next, "tails": tails}).Info("pace of best-effort tasks changed")
		s.pace = next
	}
	for _, r := range s.runs {
		if r.step.BestEffort && r.state == runConfirmed && !r.stopping && r.commandedPace != s.pace {
			s.sendPace(r)
		}
	}
}

// sendPace queues a command that sets a run to the pace that holds when the command is sent: commands that
// waited together may overtake each other. The caller holds mu.
func (s *session) sendPace(r *run) {
	o := s.owner
	queued := s.commands.add(func(ctx context.Context) {
		o.mu.Lock()
		if !s.attached(r) || r.stopping {
			// A later status triggers the command again if the stop is withdrawn.
			r.commandedPace = unknownPace
			o.mu.Unlock()
			return
		}
		token, percent := s.token, s.pace
		r.commandedPace = percent
		o.mu.Unlock()
		_, err := s.conn.Pace(ctx, token, r.task.String(), r.number, percent)
		if err == nil {
			return
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		// The next status triggers the command again.
		r.commandedPace = unknownPace
		err = fmt.Errorf("set the pace of run %d to %d percent: %w", r.number, percent, err)
		o.Log.WithError(err).WithFields(logrus.Fields{"worker": s.ID, "task": r.task.String()}).Info("pace command failed")
	}, false)
	if queued {
		r.commandedPace = s.pace
	}
}
