package shard

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/worker"
)

// lateStartWindow is how long the start command of a detached run may still take effect.
const lateStartWindow = 15 * time.Second

// lateStart is a run that the owner does not track: a start command without a response may still take
// effect, or the worker lists the run and its job is unknown. The worker is told to stop it, which
// also keeps a later start from taking effect until the worker restarts. The worker is asked for its
// runs throughout lateStartWindow, because a restart is noticed in no other way.
type lateStart struct {
	since monotonic.Time
	// stopSent is set once a stop command was sent: it may take effect although it has no answer.
	stopSent bool
	// stopAccepted is when the worker accepted the stop command or reported the end of the run. A restarted worker
	// has forgotten it, and a start command that was sent twice takes effect there.
	stopAccepted observation
	// ended is set if the worker reported the end of the run.
	ended bool
}

// inheritStop takes over what became of the stop of a run that was detached.
func (l *lateStart) inheritStop(r *run) {
	l.stopSent = r.stopAttempts > 0
	l.stopAccepted = r.stopAccepted
}

// addLateStart records a detached run. The caller holds mu.
func (s *session) addLateStart(key runKey, now monotonic.Time) *lateStart {
	l := s.lateStarts[key]
	if l == nil {
		l = &lateStart{}
		s.lateStarts[key] = l
	}
	l.since, l.ended = now, false
	if now.Sub(l.stopAccepted.at) > s.owner.Bounds.StopGrace+stopMargin {
		// The worker lists the run in spite of the stop.
		l.stopAccepted = observation{}
	}
	if s.needsStop(key) {
		s.requestStop(key, now)
	}
	s.notify()
	return l
}

// hasLateStarts reports whether a detached run may still start or go on without a restart of the worker: its
// stop has no answer, or was answered less than the stop grace ago and no end was reported. The caller holds mu.
func (s *session) hasLateStarts() bool {
	now := monotonic.Now()
	for _, l := range s.lateStarts {
		if !s.holds(l.stopAccepted) || !l.ended && now.Sub(l.stopAccepted.at) <= s.owner.Bounds.StopGrace+stopMargin {
			return true
		}
	}
	return false
}

// isEmpty reports whether nothing runs on the worker, all its completions are recorded, and none of
// them is held: the next owner of the worker would acknowledge a held one. The caller holds mu.
func (s *session) isEmpty() bool {
	return len(s.runs) == 0 && !s.hasLateStarts() && s.processed <= s.durable && s.lastAcknowledgeable(monotonic.Now()) == s.durable
}

// stopLateStarts requests the stops of all late starts and gives up the oldest ones. The caller holds mu.
func (s *session) stopLateStarts() {
	now := monotonic.Now()
	for key, l := range s.lateStarts {
		switch {
		case now.Sub(l.since) > lateStartWindow:
			if !s.holds(l.stopAccepted) {
				s.owner.Log.WithFields(logrus.Fields{"worker": s.ID, "task": key.task.String(), "run": key.number}).Warn("stop of a detached run given up")
			}
			delete(s.lateStarts, key)
		case s.needsStop(key):
			s.requestStop(key, now)
		}
	}
}

// stopLateStartsOf requests the stops of the late starts of a job that has ended. The caller holds mu.
func (s *session) stopLateStartsOf(id job.ID) {
	for key := range s.lateStarts {
		if key.task.Job == id && s.needsStop(key) {
			s.requestStop(key, monotonic.Now())
		}
	}
}

// mayContinue reports whether a late start is of a long-running task that still has to run. Its stop is not
// sent while the worker does not answer heartbeats: the next status may list the run, which is then adopted,
// and a stop that takes effect afterwards would make the task unavailable. The caller holds mu.
func (s *session) mayContinue(key runKey) bool {
	e := s.owner.jobs[key.task.Job]
	return e != nil && e.job.Valid(key.task) && !e.job.FinalState.IsFinal() && e.job.Steps[key.task.Step].LongRunning
}

// settleLateStart handles the outcome of a start command whose run was detached while it was in flight. The
// caller holds mu.
func (s *session) settleLateStart(r *run, err error, sameIncarnation bool, sent, now monotonic.Time) {
	key := r.key()
	if s.runs[key] != nil {
		// The worker has listed the run meanwhile.
		return
	}
	l := s.lateStarts[key]
	switch {
	case err == nil && (l == nil || !l.ended || !s.holds(l.stopAccepted) || !sameIncarnation):
		if adopted := s.adopt(key, sent, now); adopted != nil && adopted.entry.job.FinalState.IsFinal() {
			s.stop(adopted, "job ended")
		}
	case err == nil || isDefinite(err):
		if !r.startUnanswered {
			delete(s.lateStarts, key)
		}
	default:
		r.startUnanswered = true
		if l == nil {
			l = s.addLateStart(key, now)
		}
		l.since = now
	}
}

// isDefinite reports whether the error of a command shows that it has no effect, also later.
func isDefinite(err error) bool {
	return errors.As(err, new(*worker.RefusedError)) || errors.As(err, new(*worker.GoneError)) || errors.As(err, new(*worker.UnreachableError))
}
