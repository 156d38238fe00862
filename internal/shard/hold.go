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
	// maxHeartbeatWait is how long a worker may wait for an end. It leaves several
	// renewals within a worker's lease.
	maxHeartbeatWait = 1000 * time.Millisecond
	// pacedHeartbeatWait is the same where the tails of serving tasks are watched.
	pacedHeartbeatWait = 450 * time.Millisecond
	// heartbeatDelay lets several ends come in one answer; each look at a worker counts.
	heartbeatDelay = 50 * time.Millisecond
	// ackWait is how long a hold waits for ends to be recorded, so that it can
	// acknowledge them.
	ackWait = 250 * time.Millisecond
	// unhealthyBackoff follows an order that a worker refused as unhealthy.
	unhealthyBackoff = 700 * time.Millisecond
)

// heartbeatLoop extends the lease of the worker's runs and learns of their ends.
func (s *session) heartbeatLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.waitUntilNeeded(ctx) {
			return
		}
		s.waitForRecords(ctx)
		o := s.owner
		o.mu.Lock()
		sent := monotonic.Now()
		order := worker.HeartbeatCommand{Token: s.token, Wait: s.heartbeatWait()}
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
			pause = s.heartbeatFailed(err, received)
		} else {
			s.handle(status, order, sent, received)
			pause = heartbeatDelay
		}
		o.mu.Unlock()
		monotonic.Sleep(ctx, pause)
	}
}

func (s *session) heartbeatWait() time.Duration {
	switch {
	case !s.fenced || s.seen > s.durable || len(s.runs) == 0:
		return 0
	case s.needsPacing():
		return pacedHeartbeatWait
	}
	return maxHeartbeatWait
}

// waitUntilNeeded waits until there is something to ask the worker.
func (s *session) waitUntilNeeded(ctx context.Context) bool {
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

// waitForRecords gives the store time to record the ends that the next hold acknowledges.
func (s *session) waitForRecords(ctx context.Context) {
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

// heartbeatFailed handles a hold without a status and returns the pause before the next.
func (s *session) heartbeatFailed(err error, now monotonic.Time) time.Duration {
	var refused *worker.RefusedError
	o := s.owner
	switch {
	case errors.As(err, new(*worker.GoneError)):
		o.Log.WithFields(logrus.Fields{"worker": s.ID, "shard": o.Shard, "runs": len(s.runs)}).Warn("another worker answers at the address")
		s.markAllLost("worker gone")
		o.closeSession(s)
		return 0
	case errors.As(err, &refused):
		if refused.Reason == worker.RefusedFence && !s.deposed {
			s.deposed = true
			o.Log.WithFields(logrus.Fields{"worker": s.ID, "shard": o.Shard, "token": s.token}).Warn("worker has seen a higher token")
		}
		s.closedUntil = now.Add(unhealthyBackoff)
	default:
		if s.reachable {
			o.Log.WithError(err).WithFields(logrus.Fields{"worker": s.ID, "shard": o.Shard, "runs": len(s.runs)}).Warn("worker does not answer")
		}
		s.reachable = false
	}
	if len(s.runs) > 0 && now > s.leaseEnd {
		s.markAllLost("lease ended without contact")
	}
	if !s.listed && len(s.runs) == 0 && now.Sub(o.acquired) > o.lease()+leaseSlack+retryDelay {
		o.closeSession(s)
	}
	return retryDelay
}
