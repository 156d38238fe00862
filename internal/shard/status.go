package shard

import (
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/worker"
)

// handleStatus processes a status, the answer to a command that was sent to an incarnation. The caller holds mu.
func (s *session) handleStatus(status worker.Status, command worker.HeartbeatCommand, incarnation int, sent, received monotonic.Time) {
	o := s.owner
	if s.isFormerClock(status.ClockMS, sent, received) {
		// Its completions have other numbers, and its runs have ended.
		o.Log.WithFields(logrus.Fields{
			"worker": s.ID, "shard": o.Shard, "clock_ms": status.ClockMS, "known_clock_ms": s.clockMS, "listed": len(status.Running),
			"finished": len(status.Finished), "requested_ms": received.Sub(sent).Milliseconds(), "incarnation": s.incarnation,
		}).Info("status of a former incarnation ignored")
		return
	}
	if sent < s.statusSent {
		// It may be of a former incarnation, or list runs that a later one showed as ended.
		s.confirmLease(command.LeaseEndMS, status.ClockMS, received)
		return
	}
	s.statusSent = sent
	if !s.reachable {
		o.Log.WithFields(logrus.Fields{"worker": s.ID, "shard": o.Shard}).Info("worker answers again")
		s.stops.restart(received)
		s.wakeStops()
	}
	s.reachable, s.lostOwnership, s.contact, s.incarnationKnown = true, false, received, true
	if sent > s.restartListed {
		s.restartListed = 0
	}
	s.restarted = s.incarnationStartMS != 0 && status.IncarnationStartMS != 0 && status.IncarnationStartMS != s.incarnationStartMS
	if s.restarted {
		s.handleRestart(status, sent)
	}
	if status.IncarnationStartMS != 0 {
		s.incarnationStartMS = status.IncarnationStartMS
	}
	if s.incarnationStartMS != o.recordedWorkers[s.ID].BornMS {
		o.requestCommit()
	}
	s.recordClock(status.ClockMS, sent, received)
	s.confirmLease(command.LeaseEndMS, status.ClockMS, received)
	if !s.fenced {
		s.fenced = true
		s.inheritLease(status.IncarnationStartMS, received)
		delete(o.uncontacted, s.ID)
		o.recordReturn(s)
		// A former owner may have granted a lease until the change of the owner.
		s.leaseEnd = max(s.leaseEnd, o.acquired.Add(atMost(o.lease())))
		o.schedule()
	}
	if s.emptied && sent >= s.cordonUntil {
		s.emptied = false
		o.schedule()
	}
	s.requestRecord()
	if s.incarnation == incarnation {
		s.acknowledged = max(s.acknowledged, command.Acknowledged)
	}
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
		s.detachUnlisted(listed, sent, received)
		s.stopUnlisted(listed, sent)
		s.repeatStarts(listed, sent)
	}
	s.stopLateStarts()
	o.completePendingJobs()
	s.adjustPace()
	if s.processed > s.durable {
		o.requestCommit()
	}
}

// handleRestart handles a worker that restarted under the same ID. It has none of the runs that its former incarnation
// showed and has forgotten the stops that it accepted. Which runs are lost is decided by detachUnlisted: the new incarnation
// may have accepted some of them before this status arrived.
func (s *session) handleRestart(status worker.Status, sent monotonic.Time) {
	o, now := s.owner, monotonic.Now()
	o.Log.WithFields(logrus.Fields{
		"worker": s.ID, "shard": o.Shard, "runs": len(s.runs), "born_ms": status.IncarnationStartMS, "former_born_ms": s.incarnationStartMS,
		"clock_ms": status.ClockMS, "listed": len(status.Running), "requested_ms": now.Sub(sent).Milliseconds(), "incarnation": s.incarnation,
	}).Warn("worker was born again")
	s.resetCompletions()
	// The new incarnation may have accepted a lease already, so its believed end stays.
	s.recordRestart(now)
	s.clockKnown, s.clockAt, s.pace = false, 0, fullPace
	// The intervals between stop commands have grown while the worker did not answer.
	s.stops.restart(now)
	for _, r := range s.runs {
		r.commandedPace = unknownPace
		switch {
		case r.stopping:
			s.requestStop(r.key(), now)
		case r.state == runUnknown:
			// The restarted worker's clock begins anew, so the lease in a late start command does
			// not protect against it.
			s.stop(r, "worker restarted")
		}
	}
	for _, l := range s.lateStarts {
		if l.stopAccepted.made() {
			l.stopSent, l.stopAccepted, l.ended = false, observation{}, false
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
		r.confirm(now)
	}
	r.missingSince = 0
	if !s.holds(r.shown) || r.shown.precedes(sent) {
		r.shown = s.observe(sent)
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

// repeatStop stops a run again that the worker lists although the stop should have taken effect by the time of the
// request, or although its former incarnation accepted the stop. The caller holds mu.
func (s *session) repeatStop(r *run, sent monotonic.Time) {
	if !r.stopping || s.holds(r.stopAccepted) && sent.Sub(r.stopAccepted.at) <= s.owner.Bounds.StopGrace+stopMargin {
		return
	}
	r.stopAccepted = observation{}
	s.requestStop(r.key(), monotonic.Now())
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
		shown: s.observe(now), commandedPace: unknownPace, startUnanswered: late != nil,
	}
	s.attach(r)
	task.LastRun = max(task.LastRun, key.number)
	e.job.Begun = true
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

// detachUnlisted detaches the runs that have ended according to a complete status that does not list them. The worker
// showed or stopped them before the status was requested. Runs that it showed in a former incarnation are lost.
func (s *session) detachUnlisted(listed map[runKey]bool, sent, received monotonic.Time) {
	for key, r := range s.runs {
		if listed[key] {
			continue
		}
		if r.missingSince == 0 && (r.shown.precedes(sent) || s.holds(r.stopAccepted)) {
			r.missingSince = received
		}
		if r.stopping && !s.holds(r.stopAccepted) {
			// Needed if the stop was accepted by a former incarnation, or at a former address.
			s.requestStop(key, received)
		}
		if !s.hasEnded(r, sent) {
			continue
		}
		if !s.holds(r.shown) && !s.holds(r.stopAccepted) {
			s.loseInRestart(r)
			continue
		}
		s.owner.Log.WithFields(logrus.Fields{
			"worker": s.ID, "task": key.task.String(), "run": key.number, "stopped": s.holds(r.stopAccepted), "incarnation": s.incarnation,
			"missing_ms": received.Sub(r.missingSince).Milliseconds(), "requested_ms": received.Sub(sent).Milliseconds(),
		}).Info("run not listed any more")
		s.detach(r)
	}
}

// mayBeEnding reports whether a run that a status does not list may be at work yet, because it was told to stop: it takes up
// to the stop grace to end and need not be listed as running meanwhile.
func (s *session) mayBeEnding(r *run) bool {
	return s.holds(r.stopAccepted) || r.state == runConfirmed && r.stopAttempts > 0
}

// hasEnded reports whether a run has ended, given a status that does not list it.
func (s *session) hasEnded(r *run, sent monotonic.Time) bool {
	if s.mayBeEnding(r) && sent <= s.stoppedBy(r) {
		return false
	}
	return s.holds(r.stopAccepted) || r.state == runConfirmed && r.shown.precedes(sent) && !r.startInFlight
}

// stoppedBy returns when a run that a status did not list has ended at the latest after a stop command. A command without
// an answer may have been carried out until that status arrived.
func (s *session) stoppedBy(r *run) monotonic.Time {
	if s.holds(r.stopAccepted) {
		return r.stopAccepted.at.Add(s.owner.stopTime())
	}
	return r.missingSince.Add(s.owner.stopTime())
}

// stopTime is the longest time that a run goes on after its worker accepted a stop command.
func (o *Owner) stopTime() time.Duration {
	return time.Duration((1+maxClockDrift)*float64(o.Bounds.StopGrace)) + clockRounding*time.Millisecond
}

// loseInRestart handles a run that ended with the former incarnation of its worker. If one of its start commands has no
// answer, the new incarnation may execute it yet, so the run is stopped there before its task starts again.
func (s *session) loseInRestart(r *run) {
	if !r.startUnanswered || monotonic.Now().Sub(r.placedAt) > lateStartWindow {
		s.markLost(r, "worker restarted")
		return
	}
	r.state, r.shown = runUnknown, observation{}
	s.stop(r, "worker restarted")
}
