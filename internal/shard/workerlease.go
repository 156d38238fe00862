package shard

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	// clockRounding is the error of the difference of two clock readings in whole milliseconds.
	clockRounding = 2
	// maxClockAge is the age from which on a clock is read again before a lease is granted by it. The clock of an idle worker
	// may be of any age, and a lease by the lower bound of its clock is shorter by the possible error.
	maxClockAge = 20 * time.Second
)

// earliestClock returns a lower bound of the worker's clock in milliseconds: the clock may be slow.
func (s *session) earliestClock(now monotonic.Time) int64 {
	return s.clockMS + time.Duration((1-maxClockDrift)*float64(now.Sub(s.clockAt))).Milliseconds()
}

// clockOutdated reports whether the worker's clock has to be read again before a lease is granted by it. The caller holds mu.
func (s *session) clockOutdated(now monotonic.Time) bool {
	return s.clockKnown && now.Sub(s.clockAt) > maxClockAge
}

// waitForClock waits for the outcome of one heartbeat if the worker's clock is outdated. It returns false if ctx ends first.
func (s *session) waitForClock(ctx context.Context, r *run) bool {
	s.owner.mu.Lock()
	now := monotonic.Now()
	if !s.clockOutdated(now) || !s.reachable || !s.attached(r) {
		s.owner.mu.Unlock()
		return true
	}
	if s.clockRequested == nil {
		s.clockRequested = make(chan struct{})
		s.owner.Log.WithFields(logrus.Fields{
			"worker": s.ID, "shard": s.owner.Shard, "task": r.task.String(), "run": r.number, "clock_age_ms": now.Sub(s.clockAt).Milliseconds(),
		}).Info("start waits for the clock of an idle worker")
	}
	answered := s.clockRequested
	s.owner.mu.Unlock()
	s.notify()
	select {
	case <-ctx.Done():
		return false
	case <-answered:
		return true
	}
}

// resumeStarts lets the starts go on that wait for the outcome of a heartbeat. The caller holds mu.
func (s *session) resumeStarts() {
	if s.clockRequested != nil {
		close(s.clockRequested)
		s.clockRequested = nil
	}
}

// isFormerClock reports whether a clock is that of a former incarnation, in the answer to a call that overlapped the one
// with the known clock. It is higher than any that a later incarnation can show.
func (s *session) isFormerClock(clockMS int64, sent, received monotonic.Time) bool {
	return s.clockKnown && sent <= s.clockAt && clockMS > s.clockMS+received.Sub(s.clockSent).Milliseconds()+clockRounding
}

// recordClock stores the worker's clock from the response to a call.
func (s *session) recordClock(clockMS int64, sent, received monotonic.Time) {
	if clockMS <= 0 || sent <= s.dialedAt {
		return
	}
	// Responses on different connections may arrive out of order.
	if s.clockKnown && received < s.clockAt {
		return
	}
	if s.isFormerClock(clockMS, sent, received) {
		s.owner.Log.WithFields(logrus.Fields{
			"worker": s.ID, "shard": s.owner.Shard, "clock_ms": clockMS, "known_clock_ms": s.clockMS, "incarnation": s.incarnation,
			"took_ms": received.Sub(sent).Milliseconds(), "known_ms": received.Sub(s.clockAt).Milliseconds(),
		}).Info("clock of a former incarnation ignored")
		// It may as well be ahead because it is that of a new one.
		s.incarnationKnown = false
		return
	}
	earliest, latest := sent.Sub(s.clockAt), received.Sub(s.clockSent)
	if earliest > 0 {
		earliest = time.Duration((1 - maxClockDrift) * float64(earliest))
	}
	latest = time.Duration((1 + maxClockDrift) * float64(latest))
	if s.clockKnown && (clockMS < s.clockMS+earliest.Milliseconds()-clockRounding || clockMS > s.clockMS+latest.Milliseconds()+clockRounding) {
		// The clock belongs to another incarnation. Its completions must not be acknowledged by
		// sequence numbers of the previous one; the next status brings the rest.
		s.resetCompletions()
		s.owner.Log.WithFields(logrus.Fields{
			"worker": s.ID, "shard": s.owner.Shard, "clock_ms": clockMS, "former_clock_ms": s.clockMS, "passed_ms": earliest.Milliseconds(),
			"passed_at_most_ms": latest.Milliseconds(), "runs": len(s.runs), "incarnation": s.incarnation,
		}).Warn("clock of a worker began anew")
		s.recordRestart(received)
	}
	s.clockKnown, s.clockMS, s.clockAt, s.clockSent = true, clockMS, received, sent
}

// resetCompletions discards the completion numbers of the previous incarnation.
func (s *session) resetCompletions() {
	s.processed, s.durable, s.acknowledged, s.held = 0, 0, 0, nil
	s.incarnation++
}

// confirmLease raises the believed end of the lease to the one that the worker has, given its clock in
// the response to a command that granted a lease. The two differ if the worker has restarted while
// it was idle: its new clock reaches the granted end later than the former one.
func (s *session) confirmLease(grantedMS, clockMS int64, now monotonic.Time) {
	if grantedMS == 0 || clockMS == 0 {
		return
	}
	left := min(time.Duration(grantedMS-clockMS+clockRounding)*time.Millisecond, s.owner.Bounds.MaxLease)
	s.leaseEnd = max(s.leaseEnd, now.Add(time.Duration(float64(left)/(1-maxClockDrift))))
}

// leaseNotAnswered handles a command without an answer that granted a lease while an incarnation was known. A new one may
// have taken the lease over from the clock of the former one. The caller holds mu.
func (s *session) leaseNotAnswered(incarnation int, sent, now monotonic.Time) {
	if sent <= s.dialedAt {
		return
	}
	s.leaseUnanswered = now
	if incarnation != s.incarnation {
		s.extendByLongestLease()
	}
}

// extendByLongestLease raises the believed end of the lease of a worker that has restarted: a command without an answer may
// have granted the new incarnation the longest lease. The caller holds mu.
func (s *session) extendByLongestLease() {
	if end := s.longestLeaseEnd(); end > s.leaseEnd {
		s.owner.Log.WithFields(logrus.Fields{
			"worker": s.ID, "shard": s.owner.Shard, "runs": len(s.runs), "incarnation": s.incarnation,
			"unanswered_ms": monotonic.Now().Sub(s.leaseUnanswered).Milliseconds(), "former_left_ms": s.leaseEnd.Sub(monotonic.Now()).Milliseconds(),
			"left_ms": end.Sub(monotonic.Now()).Milliseconds(),
		}).Info("lease of a new incarnation may be longer")
		s.leaseEnd = end
	}
}

// longestLeaseEnd returns when the longest lease has ended that a command without an answer may have granted, or 0.
func (s *session) longestLeaseEnd() monotonic.Time {
	if s.leaseUnanswered == 0 {
		return 0
	}
	return s.leaseUnanswered.Add(atMost(s.owner.Bounds.MaxLease))
}

// atMost returns the longest time for which a lease may hold on a worker's clock.
func atMost(lease time.Duration) time.Duration {
	return time.Duration((1+maxClockDrift)*float64(lease)) + leaseSlack
}

// A lease is an end on the worker's clock, and a new incarnation has another clock, so a command that was sent by the clock of
// a former one may grant it the longest lease. The owner knows which of its commands that can be. A successor does not, so the
// record of the workers names the incarnation whose clock the owner goes by, and whether such a lease may hold.

// recordRestart records that the worker has restarted. The caller holds mu.
func (s *session) recordRestart(now monotonic.Time) {
	s.restartKnown = now
	s.extendByLongestLease()
	s.owner.urgent = true
	s.owner.requestCommit()
}

// mayHoldLongLease reports whether a command with a lease by the clock of a former incarnation may take effect on the worker,
// or hold. The caller holds mu.
func (s *session) mayHoldLongLease(now monotonic.Time) bool {
	return s.restartKnown != 0 && now.Sub(s.restartKnown) <= lateStartWindow+atMost(s.owner.Bounds.MaxLease)
}

// needsUpdate reports whether the record of a worker does not show what a successor has to know. That a long lease has ended
// can be recorded later.
func (w recordedWorker) needsUpdate(current recordedWorker) bool {
	return w.Address != current.Address || current.BornMS != 0 && w.BornMS != current.BornMS || current.LongLease && !w.LongLease
}

// mayHoldLongLease reports whether a former owner's record leaves open that the worker holds the longest lease, given the start
// of its incarnation. Without one in the record, the former owner is an earlier version or had no answer yet.
func (w recordedWorker) mayHoldLongLease(bornMS int64) bool {
	return w.LongLease || w.BornMS == 0 || w.BornMS != bornMS
}

// inheritLease raises the believed end of the lease of a recorded worker that answers this owner for the first time, if a
// former owner may have granted it the longest one. The caller holds mu.
func (s *session) inheritLease(bornMS int64, now monotonic.Time) {
	former, ok := s.owner.uncontacted[s.ID]
	if !ok || !former.mayHoldLongLease(bornMS) {
		return
	}
	s.leaseUnanswered = now
	s.owner.Log.WithFields(logrus.Fields{
		"worker": s.ID, "shard": s.owner.Shard, "token": s.owner.Token, "born_ms": bornMS, "recorded_born_ms": former.BornMS, "long_lease": former.LongLease,
	}).Info("worker may hold a longer lease of a former owner")
	s.recordRestart(now)
}

// formerLease returns how long after the change of the owner runs of a former one may go on, on a recorded worker that has not
// answered. Its entry shows a restart since the record. The caller holds mu.
func (o *Owner) formerLease(id worker.ID, w recordedWorker) time.Duration {
	s := o.sessions[id]
	restarted := s != nil && s.StartMS != 0 && w.BornMS != 0 && s.StartMS != w.BornMS
	if w.LongLease || restarted {
		return atMost(o.Bounds.MaxLease)
	}
	return atMost(o.lease())
}

// isNewIncarnation reports whether an entry of the worker names another incarnation than the last status. The caller
// holds mu.
func (s *session) isNewIncarnation(w worker.Worker) bool {
	return w.StartMS != 0 && s.incarnationStartMS != 0 && w.StartMS != s.incarnationStartMS
}

// grantLease returns the end of the lease to send with a command, in milliseconds of the worker's
// clock, or 0 if none may be granted.
//
// The lease is granted by the lower bound of the clock, so no lease is longer than what the owner believes. A successor
// knows nothing else of the leases that a killed owner has granted.
func (s *session) grantLease(now monotonic.Time) int64 {
	end := min(now.Add(s.owner.lease()), s.owner.LatestWorkerLeaseEnd())
	if end.Sub(now) < minWorkerLease || !s.clockKnown || s.clockOutdated(now) {
		return 0
	}
	latest := end.Add(time.Duration(maxClockDrift*float64(end.Sub(now))) + leaseSlack)
	s.leaseEnd = max(s.leaseEnd, latest)
	return s.earliestClock(now) + end.Sub(now).Milliseconds()
}
