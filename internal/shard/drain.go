package shard

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/worker"
)

// cordonDuration is how long a worker gets no new runs after a request to empty it. It outlasts the
// following call to the platform.
const cordonDuration = 3 * time.Second

const (
	// hostCommandDelay is how long a command to a host may be in flight after its worker was
	// reported empty. The shard must not change owners in this time, because the next owner does
	// not know that the worker is cordoned.
	hostCommandDelay = time.Second
	// handoverDelay is the minimum time between that report and a planned handover. It is shorter
	// because a planned handover rarely follows such a report that soon.
	handoverDelay = 600 * time.Millisecond
)

// Empty cordons a worker and removes its runs, within the limits on unavailable tasks. It reports
// whether the worker is empty; the caller repeats the request until it is.
func (o *Owner) Empty(_ context.Context, id worker.ID) (bool, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.open || o.closed {
		return false, &NotOwnerError{o.Shard}
	}
	now := monotonic.Now()
	if o.LatestWorkerLeaseEnd().Add(-o.lease()).Sub(now) < hostCommandDelay {
		return false, &NotOwnerError{o.Shard}
	}
	s := o.sessions[id]
	if s == nil || !s.fenced || !s.reachable {
		// The runs that an earlier owner started there are not known.
		return false, nil
	}
	s.cordonUntil = now.Add(cordonDuration)
	s.evacuate()
	// Unrecorded completions would be lost with the worker, including failures that count against a
	// task's attempts.
	empty := s.isEmpty()
	if empty {
		s.emptied, o.lastEmpty = true, now
	}
	return empty, nil
}

// Reopen allows new runs on a worker again.
func (o *Owner) Reopen(_ context.Context, id worker.ID) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.open || o.closed {
		return &NotOwnerError{o.Shard}
	}
	if s := o.sessions[id]; s != nil {
		s.cordonUntil, s.emptied = 0, false
		o.schedule()
	}
	return nil
}

// evacuate stops runs that will not finish by themselves soon. A draining worker may receive no start
// commands later than a bound, so those that were not sent are given up. The caller holds mu.
//
// Load pattern: maintenance waves empty half of the workers one after the other during normal
// traffic. Short tasks finish by themselves and are not stopped; a long-running task is moved when
// enough other tasks of its step are available.
func (s *session) evacuate() {
	for _, r := range s.runs {
		if r.state == runQueued && s.Draining {
			s.stop(r, "worker drains")
			continue
		}
		if r.stopping || r.state != runConfirmed {
			continue
		}
		switch {
		case r.step.LongRunning:
			if s.stopAllowed(r) {
				s.stopWithinLimit(r, "worker is emptied")
			}
		case r.step.Checkpointing && s.stopPays(r):
			s.stop(r, "worker is emptied")
		}
	}
}

// minStoppedTime is the remaining time of a short task on an emptied worker from which a stop and a restart elsewhere pay. The
// restart waits for room, which a pool at its demand peak does not have, and the task works up its last interval again.
const minStoppedTime = 3 * time.Second

// stopPays reports whether a checkpointing task should be stopped on a worker that is emptied, instead of ending by itself.
func (s *session) stopPays(r *run) bool {
	if !s.owner.Policy.Draining.Enabled || s.Draining {
		return true
	}
	return s.owner.estimate(r.entry.job.Queue, r.step)-monotonic.Now().Sub(r.started) > minStoppedTime
}

// stopMargin is added to the duration of a stop: for the transit of the command, and for responses
// in flight when it was sent.
const stopMargin = 600 * time.Millisecond

// stopAllowed reports whether a long-running task can be stopped now.
func (s *session) stopAllowed(r *run) bool {
	if r.step.MaxUnavailable == 0 || s.Draining {
		return true
	}
	if monotonic.Now().Sub(s.owner.acquired) < s.owner.Bounds.StopGrace+stopMargin {
		// Runs that the former owner has told to stop are still listed as running.
		return false
	}
	unavailable := 0
	for index := range r.step.Count {
		if index == r.task.Index {
			continue
		}
		if !s.isAvailable(r, index) {
			unavailable++
		}
	}
	return unavailable < r.step.MaxUnavailable
}

// maxUnlistedAge is how long a run without an answered start counts as not at work after a status that
// did not list it. It is shorter than the time after which a stop command is repeated.
const maxUnlistedAge = firstStopInterval / 2

// stopStillAllowed reports whether the decision to stop a run holds when the command is sent. Since
// then, the start of the run may have taken effect, and other tasks of its step may have become
// unavailable.
func (s *session) stopStillAllowed(r *run, now monotonic.Time) bool {
	if !r.withinLimit || s.stopAllowed(r) {
		return true
	}
	return r.state == runUnknown && r.unlistedAt != 0 && now.Sub(r.unlistedAt) <= maxUnlistedAge
}

// withdrawStop keeps a run for which stopStillAllowed does not hold. A run whose start has no answer is
// stopped as soon as a later status does not list it. The caller holds mu.
func (s *session) withdrawStop(r *run, now monotonic.Time) {
	s.owner.Log.WithFields(logrus.Fields{
		"worker": s.ID, "task": r.task.String(), "run": r.number, "requested_ms": now.Sub(r.stopRequested).Milliseconds(),
		"stops_sent": r.stopAttempts, "start_unanswered": r.state != runConfirmed,
	}).Info("stop is withdrawn")
	r.stopping, r.withinLimit = false, false
	s.stops.remove(r.key())
	if r.stopAttempts > 0 {
		r.withdrawnAt = now
	}
	if r.state == runUnknown {
		r.stopUnlistedAfter = now
	}
}

// isAvailable reports whether another task of r's step is known to be fully running.
// The state of a task on an unreachable worker is not known, so it counts as unavailable.
func (s *session) isAvailable(r *run, index int) bool {
	for other := range r.entry.runs {
		t := other.task
		if t.Step != r.task.Step || t.Occurrence != r.task.Occurrence || t.Index != index {
			continue
		}
		if other.state == runConfirmed && !other.stopping && other.withdrawnAt == 0 && other.reportedPercent >= fullPace && other.session.reachable {
			return true
		}
	}
	return false
}
