package shard

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/monotonic"
)

// lateStartWindow is how long the start command of a detached run may still take effect.
const lateStartWindow = 15 * time.Second

// lateStart is a run that the owner does not track: a start command without a response may still take
// effect, or the worker lists the run and its job is unknown. The worker is told to stop it, which
// also keeps a later start from taking effect until the worker restarts. The worker is asked for its
// runs throughout lateStartWindow, because a restart is noticed in no other way.
type lateStart struct {
	since monotonic.Time
	// stopPending is set while a stop command is queued or in flight.
	stopPending bool
	// stopAnswered is when the worker accepted the stop command, or 0.
	stopAnswered monotonic.Time
	// ended is set once the worker has listed the end of the run. Until it restarts, it refuses to start the run.
	ended bool
}

// addLateStart records a detached run. The caller holds mu.
func (s *session) addLateStart(key runKey, now monotonic.Time) *lateStart {
	l := s.lateStarts[key]
	if l == nil {
		l = &lateStart{}
		s.lateStarts[key] = l
	}
	l.since = now
	if l.stopAnswered != 0 && now.Sub(l.stopAnswered) > s.owner.Bounds.StopGrace+stopMargin {
		// The worker lists the run in spite of the stop.
		l.stopAnswered = 0
	}
	return l
}

// hasLateStarts reports whether a detached run may still start or go on: its stop has no answer, or was
// answered less than the stop grace ago. The caller holds mu.
func (s *session) hasLateStarts() bool {
	now := monotonic.Now()
	for _, l := range s.lateStarts {
		if !l.ended && (l.stopAnswered == 0 || now.Sub(l.stopAnswered) <= s.owner.Bounds.StopGrace+stopMargin) {
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

// stopLateStarts sends the stop commands that are due. The caller holds mu.
func (s *session) stopLateStarts() {
	now := monotonic.Now()
	for key, l := range s.lateStarts {
		switch {
		case now.Sub(l.since) > lateStartWindow:
			if l.stopAnswered == 0 && !l.ended {
				s.owner.Log.WithFields(logrus.Fields{"worker": s.ID, "task": key.task.String(), "run": key.number}).Warn("stop of a detached run given up")
			}
			delete(s.lateStarts, key)
		case l.stopAnswered == 0 && !l.ended && !l.stopPending && s.reachable:
			l.stopPending = enqueue(s.stops, func(ctx context.Context) { s.stopLateStart(ctx, key, l) })
		}
	}
}

// stopLateStart sends one stop command.
func (s *session) stopLateStart(ctx context.Context, key runKey, l *lateStart) {
	o := s.owner
	o.mu.Lock()
	token, incarnation := s.token, s.incarnation
	o.mu.Unlock()
	_, err := s.conn.Stop(ctx, token, key.task.String(), key.number)
	if ctx.Err() != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	l.stopPending = false
	fields := logrus.Fields{"worker": s.ID, "task": key.task.String(), "run": key.number, "token": token, "detached": true}
	if err != nil {
		o.Log.WithError(err).WithFields(fields).Info("stop not answered")
	} else {
		o.Log.WithFields(fields).Info("stop answered")
		if s.incarnation == incarnation {
			l.stopAnswered = monotonic.Now()
			return
		}
	}
	time.AfterFunc(retryDelay, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if !s.ended() {
			s.stopLateStarts()
		}
	})
}
