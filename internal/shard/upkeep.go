package shard

import (
	"context"
	"time"

	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/worker"
)

// cordonTime is how long a worker takes nothing new after a request to empty
// it. It outlasts the call to the platform that follows.
const cordonTime = 3 * time.Second

const (
	// orderTime is how long an order to a host may be on its way after its worker
	// was reported empty. The shard must not change hands meanwhile, because the
	// next owner does not know that the worker is closed.
	orderTime = time.Second
	// handOverPause is the same for a planned hand-over, which is rarely that close.
	handOverPause = 600 * time.Millisecond
)

// Empty closes a worker to new runs and frees it of its runs, within the bounds
// of tasks that may be unavailable. It reports whether the worker is empty; the
// caller repeats the request until it is.
func (o *Owner) Empty(_ context.Context, id worker.ID) (bool, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.open || o.closed {
		return false, &NotOwnerError{o.Shard}
	}
	now := monotonic.Now()
	if o.LatestWorkerLeaseEnd().Add(-o.lease()).Sub(now) < orderTime {
		return false, &NotOwnerError{o.Shard}
	}
	s := o.sessions[id]
	if s == nil || !s.fenced || !s.reachable {
		// What an earlier owner has started there is not known.
		return false, nil
	}
	s.cordonUntil = now.Add(cordonTime)
	s.evacuate()
	// Ends that are not recorded would be lost with the worker, and with them
	// failures that count against a task's attempts.
	empty := len(s.runs) == 0 && len(s.ghosts) == 0 && s.seen <= s.durable
	if empty {
		o.lastEmpty = now
	}
	return empty, nil
}

// Reopen opens a worker to new runs again.
func (o *Owner) Reopen(_ context.Context, id worker.ID) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.open || o.closed {
		return &NotOwnerError{o.Shard}
	}
	if s := o.sessions[id]; s != nil {
		s.cordonUntil = 0
		o.schedule()
	}
	return nil
}

// evacuate stops what will not end by itself soon. The caller holds mu.
//
// Load pattern: waves of upkeep empty half of the workers one after the other
// beside normal traffic. Short tasks end by themselves and are left alone; a
// task that lasts is moved when enough others of its step are at work.
func (s *session) evacuate() {
	for _, r := range s.runs {
		if r.stopping || r.state != runConfirmed {
			continue
		}
		switch {
		case r.step.LongRunning:
			if s.mayInterrupt(r) {
				s.stop(r, "worker is emptied")
			}
		case r.step.Checkpointing:
			s.stop(r, "worker is emptied")
		}
	}
}

// stopSlack is added to the time that a stop takes: for the order's way, and for the
// answers that were under way when it was sent.
const stopSlack = 600 * time.Millisecond

// mayInterrupt reports whether a lasting task can be stopped now.
func (s *session) mayInterrupt(r *run) bool {
	// Without contact the states of the other tasks are not known.
	if r.step.MaxUnavailable == 0 || s.Draining {
		return true
	}
	if monotonic.Now().Sub(s.owner.acquired) < s.owner.Bounds.StopGrace+stopSlack {
		// Runs that the former owner has told to stop are still listed as at work.
		return false
	}
	away := 0
	for index := range r.step.Count {
		if index == r.task.Index {
			continue
		}
		if !s.atWork(r, index) {
			away++
		}
	}
	return away < r.step.MaxUnavailable
}

// atWork reports whether another task of r's step is known to be at work.
func (s *session) atWork(r *run, index int) bool {
	for other := range r.entry.runs {
		t := other.task
		if t.Step != r.task.Step || t.Occurrence != r.task.Occurrence || t.Index != index {
			continue
		}
		if other.state == runConfirmed && !other.stopping && other.percent >= fullPace && other.session.reachable {
			return true
		}
	}
	return false
}
