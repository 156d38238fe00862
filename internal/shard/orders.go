package shard

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/pacing"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	fullPace = pacing.Full
	// failurePenalty and its half-life: a few failures in a row keep a worker
	// from new tasks for some seconds while others have room.
	failurePenalty  = 0.5
	penaltyHalfLife = 4 * time.Second
	// failureBackoff holds a task back after a failure, so that one that always
	// fails does not take a worker's time at once again.
	failureBackoff = 50 * time.Millisecond
	// longRunningBackoff is the same for a task that lasts.
	longRunningBackoff = 100 * time.Millisecond
)

// start orders a run. The caller holds mu and has attached the run.
func (s *session) start(r *run) {
	if !s.order(func(ctx context.Context) { s.sendStart(ctx, r, 1) }) {
		s.detach(r)
	}
}

func (s *session) sendStart(ctx context.Context, r *run, attempt int) {
	o := s.owner
	o.mu.Lock()
	now := monotonic.Now()
	leaseEnd := s.grantLease(now)
	ticket, allowed := r.entry.ticket(r.task, s, now)
	if attempt == 1 && (leaseEnd == 0 || r.stopping || !o.ownershipCertain(now) || !allowed) {
		// Nothing was sent, so the run cannot exist.
		s.detach(r)
		o.mu.Unlock()
		return
	}
	order := worker.StartCommand{
		Token: s.token, Task: r.task.String(), Number: r.number, Spec: r.entry.live.Spec, LeaseEndMS: leaseEnd,
		Checkpoint: r.entry.checkpoint(r.task), Approval: ticket,
	}
	o.mu.Unlock()
	if leaseEnd == 0 {
		s.abandonStart(r)
		return
	}
	sent := monotonic.Now()
	clock, err := s.conn.Start(ctx, order)
	if ctx.Err() != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now = monotonic.Now()
	s.recordClock(clock, sent, now)
	if err == nil {
		r.answered = now
		if r.state != runConfirmed {
			r.state, r.started = runConfirmed, now
		}
		if r.stopping {
			s.sendStop(r)
		}
		return
	}
	s.startFailed(r, err, attempt, sent, now)
}

// startFailed handles a start that was refused or got no answer. The caller holds mu.
func (s *session) startFailed(r *run, err error, attempt int, sent, now monotonic.Time) {
	o := s.owner
	var refused *worker.RefusedError
	fields := logrus.Fields{"worker": s.ID, "task": r.task.String(), "run": r.number, "attempt": attempt, "token": s.token}
	switch {
	case errors.As(err, &refused):
		s.recordClock(refused.ClockMS, sent, now)
		o.Log.WithFields(fields).WithField("reason", refused.Reason).Info("start refused")
		switch refused.Reason {
		case worker.RefusedCapacity:
			s.closedUntil = now.Add(roomPause)
		case worker.RefusedFence:
			s.deposed = true
		case worker.RefusedUnhealthy:
			s.closedUntil = now.Add(unhealthyBackoff)
			s.penalize(now)
		case worker.RefusedStaleRun:
			if attempt > 1 {
				// The first attempt was carried out and its run has ended, perhaps
				// done. The next status lists the end.
				r.state, r.stopping, r.stopAnswered, r.answered = runUnknown, true, true, now
				s.poke()
				return
			}
			// The worker has seen this number or a higher one, of another owner.
			task := r.entry.live.Task(r.task)
			task.LastRun += takeoverRunGap
		case worker.RefusedApproval:
			r.entry.dropPermit(r.task, s.ID)
		case worker.RefusedExpired:
			s.clockKnown = false
		}
		if attempt > 1 && refused.Reason != worker.RefusedFence {
			// The first attempt may still be carried out.
			s.stop(r, "start without an answer")
			return
		}
		s.detach(r)
	case errors.As(err, new(*worker.GoneError)):
		s.detach(r)
		s.poke()
	case errors.As(err, new(*worker.UnreachableError)) && attempt == 1:
		o.Log.WithError(err).WithFields(fields).Info("start not sent")
		s.reachable = false
		s.detach(r)
		s.poke()
	default:
		o.Log.WithError(err).WithFields(fields).Info("start without an answer")
		r.state = runUnknown
		s.closedUntil = now.Add(roomPause)
		if attempt < startAttempts && !r.stopping {
			if s.order(func(ctx context.Context) { s.sendStart(ctx, r, attempt+1) }) {
				return
			}
		}
		s.stop(r, "start without an answer")
	}
}

// abandonStart stops a run whose start may have been carried out.
func (s *session) abandonStart(r *run) {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	r.state = runUnknown
	s.stop(r, "start without an answer")
}

// stop ends a run. The caller holds mu.
func (s *session) stop(r *run, reason string) {
	if r.stopping {
		return
	}
	r.stopping = true
	s.owner.Log.WithFields(logrus.Fields{"worker": s.ID, "task": r.task.String(), "run": r.number, "reason": reason}).Info("run is stopped")
	if r.state != runStarting {
		s.sendStop(r)
	}
}

func (s *session) sendStop(r *run) {
	sent := s.order(func(ctx context.Context) {
		o := s.owner
		o.mu.Lock()
		token := s.token
		o.mu.Unlock()
		began := monotonic.Now()
		clock, err := s.conn.Stop(ctx, token, r.task.String(), r.number)
		if ctx.Err() != nil {
			return
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		now := monotonic.Now()
		s.recordClock(clock, began, now)
		if err == nil {
			r.stopAnswered = true
			// The stop takes up to StopGrace; until then the run is listed.
			r.answered = now
			return
		}
		if errors.As(err, new(*worker.GoneError)) || s.runs[runKey{r.task, r.number}] != r {
			return
		}
		time.AfterFunc(retryDelay, func() {
			o.mu.Lock()
			defer o.mu.Unlock()
			if ctx.Err() == nil && s.runs[runKey{r.task, r.number}] == r && !r.stopAnswered {
				s.sendStop(r)
			}
		})
	})
	if !sent {
		time.AfterFunc(retryDelay, func() {
			s.owner.mu.Lock()
			defer s.owner.mu.Unlock()
			s.sendStop(r)
		})
	}
}

// handleFinishedRun processes the end of one run. The caller holds mu.
func (s *session) handleFinishedRun(end worker.FinishedRun, now monotonic.Time) {
	o := s.owner
	t, err := job.ParseTaskID(end.Task)
	if err != nil {
		o.Log.WithError(err).WithField("worker", s.ID).Warn("end of something unknown")
		return
	}
	o.countFinishedRun(end.Cause)
	key := runKey{t, end.Number}
	r := s.runs[key]
	if r != nil {
		s.detach(r)
	}
	e := o.jobs[t.Job]
	if e == nil || !e.live.Valid(t) || e.live.Final.Final() {
		return
	}
	task := e.live.Task(t)
	task.LastRun = max(task.LastRun, end.Number)
	if end.Checkpoint != "" {
		o.setCheckpoint(e, t, end.Checkpoint)
	}
	e.dirty = true
	step := &e.live.Steps[t.Step]
	switch end.Cause {
	case worker.FinishDone:
		o.handleDone(e, t, step, r, now)
	case worker.FinishFailed:
		s.handleFailed(e, t, step, end.Number, now)
	}
	if step.LongRunning {
		e.retryAt = max(e.retryAt, now.Add(longRunningBackoff))
	}
	o.schedule()
}

func (o *Owner) handleDone(e *jobEntry, t job.TaskID, step *job.Step, r *run, now monotonic.Time) {
	if step.LongRunning {
		return
	}
	e.noReadyTasks = false
	e.doneRuns++
	if r != nil && e.live.Task(t).Checkpoint == "" {
		o.recordDuration(e.live.Queue, step, now.Sub(r.started))
	}
	for i := range step.Count {
		member := t
		if step.Gang {
			// The end of one member stands for the whole gang.
			member.Index = i
		} else if i > 0 {
			break
		}
		e.live.MarkDone(member)
		for other := range e.runs {
			if other.task == member {
				other.session.stop(other, "task is done")
			}
		}
	}
	if e.live.AllDone() {
		o.finishJob(e, job.Completed)
	}
}

func (s *session) handleFailed(e *jobEntry, t job.TaskID, step *job.Step, number int, now monotonic.Time) {
	o := s.owner
	s.penalize(now)
	e.failures++
	e.retryAt = max(e.retryAt, now.Add(failureBackoff))
	if step.LongRunning {
		return
	}
	if e.live.MarkFailed(t, number) {
		o.Log.WithFields(logrus.Fields{"job": e.live.ID, "shard": o.Shard, "task": t.String(), "failed_runs": e.live.Task(t).FailedRuns}).Info("attempts used up")
		o.finishJob(e, job.Failed)
	}
}

func (s *session) penalize(now monotonic.Time) {
	s.penalty, s.penaltyAt = s.failureScore(now)+failurePenalty, now
}

// failureScore is the penalty that is left after the time passed.
func (s *session) failureScore(now monotonic.Time) float64 {
	if s.penalty == 0 {
		return 0
	}
	halves := float64(now.Sub(s.penaltyAt)) / float64(penaltyHalfLife)
	return s.penalty * halfLifeDecay(halves)
}

// checkpoint returns where a task resumes; a gang's members share one.
func (e *jobEntry) checkpoint(t job.TaskID) string {
	if e.live.Steps[t.Step].Gang {
		t.Index = 0
	}
	return e.live.Task(t).Checkpoint
}

func (o *Owner) setCheckpoint(e *jobEntry, t job.TaskID, checkpoint string) {
	if e.live.Final.Final() {
		return
	}
	if e.live.Steps[t.Step].Gang {
		t.Index = 0
	}
	e.live.Task(t).Checkpoint = checkpoint
}

// needsPacing reports whether the worker has both tasks that serve and tasks that fill.
func (s *session) needsPacing() bool {
	serving, fillers := s.countTaskKinds()
	return serving > 0 && fillers > 0
}

func (s *session) countTaskKinds() (serving, fillers int) {
	for _, r := range s.runs {
		if r.step.TailLatencyTarget > 0 {
			serving++
		}
		if r.step.BestEffort {
			fillers++
		}
	}
	return serving, fillers
}

// adjustPace slows down or speeds up the fillers by the tails of the serving tasks.
func (s *session) adjustPace() {
	var tails []pacing.Tail
	for _, r := range s.runs {
		if r.step.TailLatencyTarget > 0 && r.percent == fullPace {
			tails = append(tails, pacing.Tail{Observed: time.Duration(r.usage) * time.Millisecond, Target: r.step.TailLatencyTarget})
		}
	}
	next := pacing.Next(s.pace, tails)
	if next != s.pace {
		s.owner.Log.WithFields(logrus.Fields{"worker": s.ID, "from": s.pace, "to": next, "tails": tails}).Info("pace of fillers changed")
		s.pace = next
	}
	for _, r := range s.runs {
		if r.step.BestEffort && r.state == runConfirmed && !r.stopping && r.pace != s.pace {
			s.sendPace(r, s.pace)
		}
	}
}

func (s *session) sendPace(r *run, percent int) {
	r.pace = percent
	token := s.token
	s.order(func(ctx context.Context) {
		_, err := s.conn.Pace(ctx, token, r.task.String(), r.number, percent)
		if err == nil {
			return
		}
		s.owner.mu.Lock()
		defer s.owner.mu.Unlock()
		// The next status repeats the order.
		r.pace = -1
		s.owner.Log.WithError(err).WithFields(logrus.Fields{"worker": s.ID, "task": r.task.String()}).Info("pace not set")
	})
}
