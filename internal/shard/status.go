package shard

import (
	"sort"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/worker"
)

// handleStatus processes a status. The caller holds mu.
func (s *session) handleStatus(status worker.Status, command worker.HeartbeatCommand, sent, received monotonic.Time) {
	o := s.owner
	if !s.reachable {
		o.Log.WithFields(logrus.Fields{"worker": s.ID, "shard": o.Shard}).Info("worker answers again")
		s.stops.restart(received)
		s.wakeStops()
	}
	s.reachable, s.lostOwnership, s.contact, s.incarnationKnown = true, false, received, true
	if sent > s.restartListed {
		s.restartListed = 0
	}
	if s.incarnationStartMS != 0 && status.IncarnationStartMS != 0 && status.IncarnationStartMS != s.incarnationStartMS {
		s.handleRestart(status, sent)
	}
	if status.IncarnationStartMS != 0 {
		s.incarnationStartMS = status.IncarnationStartMS
	}
	s.recordClock(status.ClockMS, sent, received)
	s.confirmLease(command.LeaseEndMS, status.ClockMS, received)
	if !s.fenced {
		s.fenced = true
		delete(o.uncontacted, s.ID)
		o.recordReturn(s)
		s.leaseEnd = max(s.leaseEnd, o.acquired.Add(o.lease()))
		o.schedule()
	}
	if s.emptied && sent >= s.cordonUntil {
		s.emptied = false
		o.schedule()
	}
	s.requestRecord()
	s.acknowledged = max(s.acknowledged, command.Acknowledged)
	sort.Slice(status.Finished, func(i, j int) bool { return status.Finished[i].Sequence < status.Finished[j].Sequence })
	listed := make(map[runKey]bool, len(status.Running))
	for _, finished := range status.Finished {
		if finished.Sequence > s.processed {
			s.processed = finished.Sequence
			s.handleFinishedRun(finished, received)
		}
		if t, err := job.ParseTaskID(finished.Task); err == nil {
			listed[runKey{t, finished.Number}] = true
		}
	}
	for _, r := range status.Running {
		t, err := job.ParseTaskID(r.Task)
		if err != nil {
			o.Log.WithError(err).WithField("worker", s.ID).Warn("worker reported a running task with an invalid task ID")
			continue
		}
		listed[runKey{t, r.Number}] = true
		s.handleRunning(runKey{t, r.Number}, r, sent, received)
	}
	if len(status.Finished) < worker.MaxFinishedPerStatus {
		s.detachUnlisted(listed, sent)
		s.stopUnlisted(listed, sent)
	}
	s.stopLateStarts()
	o.completePendingJobs()
	s.adjustPace()
	if s.processed > s.durable {
		o.requestCommit()
	}
}

// handleRestart handles a worker that restarted under the same ID: it has no runs.
func (s *session) handleRestart(status worker.Status, sent monotonic.Time) {
	o, now := s.owner, monotonic.Now()
	o.Log.WithFields(logrus.Fields{
		"worker": s.ID, "shard": o.Shard, "runs": len(s.runs), "born_ms": status.IncarnationStartMS, "former_born_ms": s.incarnationStartMS,
		"clock_ms": status.ClockMS, "listed": len(status.Running), "requested_ms": now.Sub(sent).Milliseconds(), "incarnation": s.incarnation,
	}).Warn("worker was born again")
	for _, r := range s.runs {
		switch {
		case r.state == runConfirmed:
			s.markLost(r, "worker restarted")
		case r.stopping:
			// The restarted worker has forgotten the stop.
			r.stopAnswered = false
			s.requestStop(r.key(), now)
		case r.state == runUnknown:
			// The restarted worker's clock begins anew, so the lease in a late start command does
			// not protect against it.
			s.stop(r, "worker restarted")
		}
		// The response to a start command in flight determines the state of the run.
	}
	// The intervals between stop commands have grown while the worker did not answer.
	s.stops.restart(now)
	s.resetCompletions()
	// The new incarnation may have accepted a lease already, so its believed end stays.
	s.clockKnown, s.clockAt, s.pace = false, 0, fullPace
	for _, l := range s.lateStarts {
		if l.stopAnswered != 0 {
			// The restarted worker has forgotten the stop.
			l.stopSent, l.stopAnswered, l.ended = false, 0, false
		}
	}
}

// handleRunning processes one running task of a status.
func (s *session) handleRunning(key runKey, row worker.Run, sent, now monotonic.Time) {
	o := s.owner
	r := s.runs[key]
	if r == nil {
		r = s.adopt(key, sent, now)
		if r == nil {
			return
		}
	}
	if r.state != runConfirmed {
		r.state = runConfirmed
		r.started = now
	}
	if sent.Sub(r.withdrawnAt) > o.Bounds.StopGrace+stopMargin {
		r.withdrawnAt = 0
	}
	r.reportedPercent, r.reportedUsage = row.Percent, row.Usage
	if row.Checkpoint != "" {
		o.setCheckpoint(r.entry, r.task, row.Checkpoint)
	}
	if r.entry.job.FinalState.IsFinal() {
		s.stop(r, "job ended")
	}
	r.logOverdue(now)
	s.repeatStop(r, sent)
}

// repeatStop stops a run again that the worker lists in a status requested after the answered stop
// should have taken effect. The caller holds mu.
func (s *session) repeatStop(r *run, sent monotonic.Time) {
	if r.stopAnswered && sent.Sub(r.lastResponse) > s.owner.Bounds.StopGrace+stopMargin {
		r.stopAnswered = false
		s.requestStop(r.key(), monotonic.Now())
	}
}

// adopt attaches a run that an earlier owner started, or whose start command took effect late. Runs
// that must not continue are stopped. sent is when the call was made whose answer shows the run.
func (s *session) adopt(key runKey, sent, now monotonic.Time) *run {
	o := s.owner
	e := o.jobs[key.task.Job]
	if e == nil || !e.job.Valid(key.task) {
		o.Log.WithFields(logrus.Fields{"worker": s.ID, "task": key.task.String(), "run": key.number}).Warn("stopping a run of an unknown job")
		s.addLateStart(key, now)
		return nil
	}
	late := s.lateStarts[key]
	delete(s.lateStarts, key)
	step := &e.job.Steps[key.task.Step]
	task := e.job.Task(key.task)
	r := &run{
		task: key.task, number: key.number, entry: e, step: step, session: s, state: runConfirmed, placedAt: now, started: now,
		lastResponse: now, commandedPace: unknownPace, startUnanswered: late != nil,
	}
	s.attach(r)
	task.LastRun = max(task.LastRun, key.number)
	e.job.Started = true
	o.Log.WithFields(logrus.Fields{
		"worker": s.ID, "task": key.task.String(), "run": key.number, "token": s.token, "incarnation": s.incarnation,
		"requested_ms": now.Sub(sent).Milliseconds(), "late": late != nil, "done": task.Done, "active": task.Active,
	}).Info("run adopted")
	switch {
	case task.Done || task.Active > maxConcurrentRuns(step):
		s.stop(r, "not needed any more")
	case late != nil && late.stopSent:
		s.stop(r, "was told to stop before it was listed")
	}
	return r
}

// detachUnlisted detaches runs that are missing from a complete status, if it was requested after
// the response to the last command for them. At equal times the order is not known.
func (s *session) detachUnlisted(listed map[runKey]bool, sent monotonic.Time) {
	for key, r := range s.runs {
		if listed[key] || r.lastResponse == 0 || r.lastResponse >= sent {
			continue
		}
		if r.state == runConfirmed || (r.stopping && r.stopAnswered) {
			s.owner.Log.WithFields(logrus.Fields{
				"worker": s.ID, "task": key.task.String(), "run": key.number, "stopped": r.stopAnswered, "incarnation": s.incarnation,
				"answered_ms": sent.Sub(r.lastResponse).Milliseconds(), "requested_ms": monotonic.Now().Sub(sent).Milliseconds(),
			}).Info("run not listed any more")
			s.detach(r)
		}
	}
}
