package shard

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	// holdWait is how long a worker may wait for an end. It leaves several
	// renewals within a worker's lease.
	holdWait = 1000 * time.Millisecond
	// pacingWait is the same where the tails of serving tasks are watched.
	pacingWait = 450 * time.Millisecond
	// holdGap lets several ends come in one answer; each look at a worker counts.
	holdGap = 50 * time.Millisecond
	// ackWait is how long a hold waits for ends to be recorded, so that it can
	// acknowledge them.
	ackWait = 250 * time.Millisecond
	// unhealthyPause follows an order that a worker refused as unhealthy.
	unhealthyPause = 700 * time.Millisecond
)

// holdLoop extends the lease of the worker's runs and learns of their ends.
func (s *session) holdLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.awaitNeed(ctx) {
			return
		}
		s.awaitRecorded(ctx)
		o := s.owner
		o.mu.Lock()
		sent := monotonic.Now()
		order := worker.HeartbeatCommand{Token: s.token, Wait: s.holdWait()}
		if s.durable > s.acknowledged {
			// A worker that was born again counts its ends anew. Repeating the number
			// would acknowledge ends of its new life that nobody has seen.
			order.Acknowledged = s.durable
		}
		// A worker that does not answer gets no longer lease: each attempt may be
		// carried out, and its runs would never count as ended.
		if s.fenced && s.reachable && len(s.runs) > 0 {
			order.LeaseEndMS = s.grantLease(sent)
		}
		o.mu.Unlock()
		status, err := s.conn.Heartbeat(ctx, order)
		if ctx.Err() != nil {
			return
		}
		received := monotonic.Now()
		o.mu.Lock()
		var pause time.Duration
		if err != nil {
			pause = s.holdFailed(err, received)
		} else {
			s.handle(status, order, sent, received)
			pause = holdGap
		}
		o.mu.Unlock()
		monotonic.Sleep(ctx, pause)
	}
}

func (s *session) holdWait() time.Duration {
	switch {
	case !s.fenced || s.seen > s.durable || len(s.runs) == 0:
		return 0
	case s.watched():
		return pacingWait
	}
	return holdWait
}

// awaitNeed waits until there is something to ask the worker.
func (s *session) awaitNeed(ctx context.Context) bool {
	for {
		s.owner.mu.Lock()
		need := !s.fenced || len(s.runs) > 0 || s.seen > s.acknowledged || !s.reachable ||
			(s.Missing && monotonic.Now().Sub(s.contact) > missingContact)
		s.owner.mu.Unlock()
		if need {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-s.wake:
		}
	}
}

// awaitRecorded gives the store time to record the ends that the next hold acknowledges.
func (s *session) awaitRecorded(ctx context.Context) {
	limit := time.NewTimer(ackWait)
	defer limit.Stop()
	for {
		s.owner.mu.Lock()
		recorded := s.seen <= s.durable
		s.owner.mu.Unlock()
		if recorded {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-limit.C:
			return
		case <-s.wake:
		}
	}
}

// holdFailed handles a hold without a status and returns the pause before the next.
func (s *session) holdFailed(err error, now monotonic.Time) time.Duration {
	var refused *worker.RefusedError
	o := s.owner
	switch {
	case errors.As(err, new(*worker.GoneError)):
		o.Log.WithFields(logrus.Fields{"worker": s.ID, "shard": o.Shard, "runs": len(s.runs)}).Warn("another worker answers at the address")
		s.loseRuns("worker gone")
		o.closeSession(s)
		return 0
	case errors.As(err, &refused):
		if refused.Reason == worker.RefusedFence && !s.deposed {
			s.deposed = true
			o.Log.WithFields(logrus.Fields{"worker": s.ID, "shard": o.Shard, "token": s.token}).Warn("worker has seen a higher token")
		}
		s.closedUntil = now.Add(unhealthyPause)
	default:
		if s.reachable {
			o.Log.WithError(err).WithFields(logrus.Fields{"worker": s.ID, "shard": o.Shard, "runs": len(s.runs)}).Warn("worker does not answer")
		}
		s.reachable = false
	}
	if len(s.runs) > 0 && now > s.leaseEnd {
		s.loseRuns("lease ended without contact")
	}
	if !s.listed && len(s.runs) == 0 && now.Sub(o.acquired) > o.lease()+leaseSlack+retryPause {
		o.closeSession(s)
	}
	return retryPause
}
