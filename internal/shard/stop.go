package shard

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/monotonic"
)

// requestStop lets stop commands be sent for a run until one is answered or the run needs none any more.
// The caller holds mu.
func (s *session) requestStop(key runKey, now monotonic.Time) {
	s.stops.request(key, now)
	s.wakeStops()
}

func (s *session) wakeStops() {
	select {
	case s.stopWake <- struct{}{}:
	default:
	}
}

// needsStop reports whether stop commands are to be sent for a run. The caller holds mu.
func (s *session) needsStop(key runKey) bool {
	if r := s.runs[key]; r != nil {
		return r.stopping && !s.holds(r.stopAccepted)
	}
	l := s.lateStarts[key]
	return l != nil && !s.holds(l.stopAccepted) && (s.reachable || !s.mayContinue(key))
}

// sendStops sends the stop commands to the worker.
func (s *session) sendStops(ctx context.Context) {
	o := s.owner
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		o.mu.Lock()
		now := monotonic.Now()
		attempts, next := s.stops.take(now, s.needsStop)
		o.mu.Unlock()
		for _, a := range attempts {
			o.group.Go(func() { s.sendStop(ctx, a) })
		}
		timer.Stop()
		if next != 0 {
			timer.Reset(next.Sub(now))
		}
		select {
		case <-ctx.Done():
			return
		case <-s.stopWake:
		case <-timer.C:
		}
	}
}

// sendStop sends one stop command.
func (s *session) sendStop(ctx context.Context, a stopAttempt) {
	o := s.owner
	o.mu.Lock()
	if r := s.runs[a.key]; r != nil && s.stops.isPending(a) && s.needsStop(a.key) && !s.stopStillAllowed(r, monotonic.Now()) {
		s.withdrawStop(r, monotonic.Now())
	}
	if !s.stops.isPending(a) || !s.needsStop(a.key) || o.handedOver && !s.stopSent(a.key) {
		s.stops.ended(a)
		s.wakeStops()
		o.mu.Unlock()
		return
	}
	token, incarnation := s.token, s.incarnation
	if r := s.runs[a.key]; r != nil {
		r.stopAttempts++
	} else if l := s.lateStarts[a.key]; l != nil {
		l.stopSent = true
	}
	conn, sent := s.conn.conn(), monotonic.Now()
	o.mu.Unlock()
	clock, err := conn.Stop(ctx, token, a.key.task.String(), a.key.number)
	if ctx.Err() != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := monotonic.Now()
	s.stops.ended(a)
	s.wakeStops()
	s.recordClock(clock, sent, now)
	r := s.runs[a.key]
	withdrawn := r != nil && r.withdrawnAt != 0
	if withdrawn {
		// The command may have been carried out until now.
		r.withdrawnAt = now
	}
	// A worker that accepts a stop ends the run, or refuses to start it, also after the stop was withdrawn.
	if !s.stops.isPending(a) && !(withdrawn && err == nil) {
		return
	}
	fields := logrus.Fields{
		"worker": s.ID, "task": a.key.task.String(), "run": a.key.number, "attempt": a.number, "token": token,
		"requested_ms": now.Sub(a.requested).Milliseconds(), "took_ms": now.Sub(sent).Milliseconds(),
	}
	if r == nil {
		fields["detached"] = true
	}
	if err != nil {
		// A silent worker is sent several commands within the timeout of the first one.
		if a.logged == 0 || now.Sub(a.logged) >= maxStopInterval {
			a.logged = now
			o.Log.WithError(err).WithFields(fields).Info("stop not answered")
		}
		return
	}
	o.Log.WithFields(fields).Info("stop answered")
	if s.incarnation != incarnation {
		// The answer may be from the worker's former incarnation.
		return
	}
	s.stops.remove(a.key)
	if r != nil {
		if !r.stopping {
			r.stopping, r.withinLimit = true, true
		}
		r.stopAccepted = s.observe(now)
	} else if l := s.lateStarts[a.key]; l != nil {
		l.stopAccepted = s.observe(now)
	}
	o.completePendingJobs()
}

// stopSent reports whether a stop command was sent for a run. The caller holds mu.
func (s *session) stopSent(key runKey) bool {
	if r := s.runs[key]; r != nil {
		return r.stopAttempts > 0
	}
	l := s.lateStarts[key]
	return l != nil && l.stopSent
}

// stoppingTasks returns the tasks of runs that were told to stop and may go on without being listed. The caller holds mu.
func (s *session) stoppingTasks() []string {
	now := monotonic.Now()
	seen := map[string]bool{}
	for key := range s.runs {
		if s.stopSent(key) {
			seen[key.task.String()] = true
		}
	}
	for key, l := range s.lateStarts {
		if !l.ended && (l.stopSent && !l.stopAccepted.made() || s.holds(l.stopAccepted) && now.Sub(l.stopAccepted.at) <= s.owner.stopTime()) {
			seen[key.task.String()] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}
