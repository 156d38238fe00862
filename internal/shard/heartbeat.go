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
	// maxHeartbeatWait is how long a worker may wait for a completion before it responds to a
	// heartbeat. It allows several renewals within a worker's lease.
	maxHeartbeatWait = 1000 * time.Millisecond
	// pacedHeartbeatWait is the shorter wait of workers on which the pace of best-effort tasks is
	// adjusted to the tail latency of serving tasks.
	pacedHeartbeatWait = 450 * time.Millisecond
	// heartbeatDelay lets several completions share one response; every heartbeat of a worker has a
	// cost.
	heartbeatDelay = 50 * time.Millisecond
	// ackWait is how long a heartbeat is delayed for completions to be recorded, so that it can
	// acknowledge them.
	ackWait = 250 * time.Millisecond
	// unhealthyBackoff follows a command that a worker refused as unhealthy.
	unhealthyBackoff = 700 * time.Millisecond
	// lateStartRetryDelay is the delay before a heartbeat without an answer is repeated while a start may still take effect: the
	// first call that a restarted worker receives keeps it from carrying out that start.
	lateStartRetryDelay = 30 * time.Millisecond
	// emptiedRetryDelay is the delay before a heartbeat to an emptied worker is repeated. Most of those that do
	// not answer are gone for good.
	emptiedRetryDelay = time.Second
)

// heartbeatLoop extends the lease of the worker's runs and receives their completions.
func (s *session) heartbeatLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.waitUntilNeeded(ctx) {
			return
		}
		s.waitForRecords(ctx)
		o := s.owner
		o.mu.Lock()
		sent := monotonic.Now()
		command := worker.HeartbeatCommand{Token: s.token, Wait: s.heartbeatWait()}
		if last := s.lastAcknowledgeable(sent); last > s.acknowledged && s.incarnationKnown && s.startsInFlight == 0 {
			// A restarted worker numbers its completions from 1 again. Repeating the old number
			// would acknowledge completions of the new incarnation that were never received.
			command.Acknowledged = last
		}
		s.holdStarts(command.Acknowledged, sent)
		// The lease of an unreachable worker is not extended: every attempt may take effect, and
		// its runs would never count as finished.
		leaseEndBefore := s.leaseEnd
		if s.fenced && s.reachable && s.needsLease() {
			command.LeaseEndMS = s.grantLease(sent)
		}
		leaseEnd := s.leaseEnd
		call := heartbeatCall{command: command, sent: sent, incarnation: s.incarnation}
		overdue := s.heartbeatOverdue(command.Wait)
		// The lease and the acknowledgement are for the worker at the current address.
		conn := s.conn.conn()
		o.mu.Unlock()
		answer := s.heartbeat(ctx, conn, call, overdue)
		err, received := answer.err, answer.received
		if ctx.Err() != nil {
			return
		}
		o.mu.Lock()
		var pause time.Duration
		switch {
		case sent <= s.dialedAt:
			pause = heartbeatDelay
		case err != nil:
			if errors.As(err, new(*worker.RefusedError)) && s.leaseEnd == leaseEnd {
				// The worker has not taken the lease over.
				if s.leaseEnd != leaseEndBefore {
					o.Log.WithFields(logrus.Fields{
						"worker": s.ID, "shard": o.Shard, "runs": len(s.runs), "left_ms": s.leaseEnd.Sub(received).Milliseconds(),
						"former_left_ms": leaseEndBefore.Sub(received).Milliseconds(), "took_ms": received.Sub(sent).Milliseconds(),
					}).Info("lease not taken over by the worker")
				}
				s.leaseEnd = leaseEndBefore
			}
			if command.LeaseEndMS != 0 && !isDefinite(err) {
				s.leaseNotAnswered(call.incarnation, sent, received)
			}
			pause = s.heartbeatFailed(err, command.Token, sent, received)
		default:
			if answer.call.sent != sent && command.LeaseEndMS != 0 {
				s.leaseNotAnswered(call.incarnation, sent, max(received, sent.Add(command.Wait+heartbeatTransit)))
			}
			s.handleStatus(answer.status, answer.call.command, answer.call.incarnation, answer.call.sent, received)
			pause = heartbeatDelay
		}
		s.resumeStarts()
		o.mu.Unlock()
		monotonic.Sleep(ctx, pause)
	}
}

// needsLease reports whether any run is to go on, or will if its stop is withdrawn. The lease holds for all runs
// of the worker, so a run whose stop commands are lost ends with it only if it is not extended. The caller holds mu.
func (s *session) needsLease() bool {
	for _, r := range s.runs {
		if !r.stopping || r.withinLimit {
			return true
		}
	}
	return false
}

func (s *session) heartbeatWait() time.Duration {
	switch {
	case !s.fenced || !s.reachable || s.restarted || s.clockOutdated(monotonic.Now()) || s.startsResumed != nil || !s.answeredAtAddress() || s.processed > s.durable || s.anyWaitsForStatus() || (len(s.runs) == 0 && len(s.lateStarts) == 0):
		return 0
	case s.needsPacing():
		return pacedHeartbeatWait
	}
	return s.waitForMissing(monotonic.Now())
}

// waitForMissing returns how long a worker may wait so that the next heartbeat shows that a missing run has ended.
func (s *session) waitForMissing(now monotonic.Time) time.Duration {
	wait := maxHeartbeatWait
	for _, r := range s.runs {
		if r.missingSince != 0 && s.mayBeEnding(r) {
			wait = min(wait, max(0, s.stoppedBy(r).Sub(now)))
		}
	}
	return wait
}

func (s *session) anyWaitsForStatus() bool {
	for _, r := range s.runs {
		if r.waitsForStatus() || s.waitsForRepeat(r) {
			return true
		}
	}
	return false
}

// waitUntilNeeded waits until the worker needs a heartbeat. It returns false if ctx ends first.
func (s *session) waitUntilNeeded(ctx context.Context) bool {
	for {
		s.owner.mu.Lock()
		now := monotonic.Now()
		need := !s.fenced || !s.clockKnown || len(s.runs) > 0 || len(s.lateStarts) > 0 || s.processed > s.acknowledged || !s.reachable || s.restartListed != 0 ||
			(s.Missing && now.Sub(s.contact) > maxMissingContactAge) || (s.emptied && now >= s.cordonUntil) || s.clockRequested != nil
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

// waitForRecords gives the store time to record the completions that the next heartbeat
// acknowledges, and the worker time to answer the starts that keep it from doing so.
func (s *session) waitForRecords(ctx context.Context) {
	limit := time.NewTimer(ackWait)
	defer limit.Stop()
	for {
		s.owner.mu.Lock()
		ready := s.processed <= s.durable && !s.acknowledgementWaits(monotonic.Now())
		s.owner.mu.Unlock()
		if ready {
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

// shownSince reports whether the worker has shown a run, or accepted its stop, at a time or later. The caller holds mu.
func (s *session) shownSince(t monotonic.Time) bool {
	for _, r := range s.runs {
		if r.shown.made() && r.shown.at >= t || r.stopAccepted.made() && r.stopAccepted.at >= t {
			return true
		}
	}
	return false
}

// heartbeatFailed handles a heartbeat with a token that got no status, and returns the delay before the next.
func (s *session) heartbeatFailed(err error, token uint64, sent, now monotonic.Time) time.Duration {
	var refused *worker.RefusedError
	o := s.owner
	switch {
	case errors.As(err, new(*worker.GoneError)) && s.answeredAtAddress():
		if s.shownSince(sent) {
			o.Log.WithError(err).WithFields(logrus.Fields{
				"worker": s.ID, "shard": o.Shard, "address": s.Address, "runs": len(s.runs), "took_ms": now.Sub(sent).Milliseconds(),
			}).Info("worker answered itself meanwhile")
			return retryDelay
		}
		// A worker that has not answered at its new address may still be at the former one.
		o.recordGone(s, now)
		s.markAllLost("worker gone")
		o.closeSession(s)
		return 0
	case errors.As(err, &refused) && refused.Reason == worker.RefusedFence && token < s.token:
		// The token was raised on the way.
		return heartbeatDelay
	case errors.As(err, &refused):
		if refused.Reason == worker.RefusedFence {
			s.restartListed = 0
		}
		if refused.Reason == worker.RefusedFence && !s.lostOwnership {
			s.lostOwnership = true
			o.Log.WithFields(logrus.Fields{"worker": s.ID, "shard": o.Shard, "token": s.token}).Warn("worker has received a higher fencing token")
		}
		s.closedUntil = now.Add(unhealthyBackoff)
	default:
		s.incarnationKnown = false
		if s.reachable {
			o.Log.WithError(err).WithFields(logrus.Fields{"worker": s.ID, "shard": o.Shard, "runs": len(s.runs)}).Warn("worker does not answer")
		}
		s.reachable = false
	}
	if len(s.runs) > 0 && s.isNewIncarnation(s.Worker) {
		s.extendByLongestLease()
	}
	if len(s.runs) > 0 && now > s.leaseEnd {
		s.markAllLost("lease ended without contact")
	}
	s.stopLateStarts()
	if !s.listed && len(s.runs) == 0 && !s.hasLateStarts() && now.Sub(o.acquired) > o.formerLease(s.ID, o.uncontacted[s.ID])+retryDelay {
		o.closeSession(s)
	}
	if s.emptied && len(s.runs) == 0 && len(s.lateStarts) == 0 {
		return emptiedRetryDelay
	}
	return s.retryPause()
}

// retryPause returns the delay before a heartbeat without an answer is repeated. The caller holds mu.
func (s *session) retryPause() time.Duration {
	if len(s.lateStarts) > 0 {
		return lateStartRetryDelay
	}
	for _, r := range s.runs {
		if r.startUnanswered {
			return lateStartRetryDelay
		}
	}
	return retryDelay
}
