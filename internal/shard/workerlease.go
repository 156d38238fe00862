package shard

import (
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	// clockRounding is the error of the difference of two clock readings in whole milliseconds.
	clockRounding = 2
)

// clockEstimate returns a lower bound of the worker's clock in milliseconds.
func (s *session) clockEstimate(now monotonic.Time) int64 {
	return s.clockMS + now.Sub(s.clockAt).Milliseconds()
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
	// The clock of a former incarnation is higher than any that a later one can show.
	if s.clockKnown && sent <= s.clockAt && clockMS > s.clockMS+received.Sub(s.clockSent).Milliseconds()+clockRounding {
		s.owner.Log.WithFields(logrus.Fields{
			"worker": s.ID, "shard": s.owner.Shard, "clock_ms": clockMS, "known_clock_ms": s.clockMS, "incarnation": s.incarnation,
			"took_ms": received.Sub(sent).Milliseconds(), "known_ms": received.Sub(s.clockAt).Milliseconds(),
		}).Info("clock of a former incarnation ignored")
		return
	}
	passed := sent.Sub(s.clockAt)
	if passed > 0 {
		passed = time.Duration((1 - maxClockDrift) * float64(passed))
	}
	if s.clockKnown && clockMS < s.clockMS+passed.Milliseconds()-clockRounding {
		// The clock belongs to another incarnation. Its completions must not be acknowledged by
		// sequence numbers of the previous one; the next status brings the rest.
		s.resetCompletions()
		s.owner.Log.WithFields(logrus.Fields{
			"worker": s.ID, "shard": s.owner.Shard, "clock_ms": clockMS, "former_clock_ms": s.clockMS, "passed_ms": passed.Milliseconds(),
			"runs": len(s.runs), "incarnation": s.incarnation,
		}).Warn("clock of a worker began anew")
		s.extendByLongestLease()
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
	left := min(time.Duration(grantedMS-clockMS)*time.Millisecond, s.owner.Bounds.MaxLease)
	s.leaseEnd = max(s.leaseEnd, now.Add(time.Duration((1+maxClockDrift)*float64(left))))
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
	return s.leaseUnanswered.Add(time.Duration((1+maxClockDrift)*float64(s.owner.Bounds.MaxLease)) + leaseSlack)
}

// inheritLease raises the believed end of the lease of a worker that answers this owner for the first time. A former owner
// may have granted it the longest lease by the clock of a former incarnation, if it restarted less than that ago. The caller
// holds mu.
func (s *session) inheritLease(clockMS int64, now monotonic.Time) {
	longest := s.owner.Bounds.MaxLease
	if _, former := s.owner.uncontacted[s.ID]; former && clockMS < longest.Milliseconds() {
		s.leaseUnanswered = now
		s.extendByLongestLease()
	}
}

// isNewIncarnation reports whether an entry of the worker names another incarnation than the last status. The caller
// holds mu.
func (s *session) isNewIncarnation(w worker.Worker) bool {
	return w.StartMS != 0 && s.incarnationStartMS != 0 && w.StartMS != s.incarnationStartMS
}

// grantLease returns the end of the lease to send with a command, in milliseconds of the worker's
// clock, or 0 if none may be granted.
func (s *session) grantLease(now monotonic.Time) int64 {
	end := min(now.Add(s.owner.lease()), s.owner.LatestWorkerLeaseEnd())
	if end.Sub(now) < minWorkerLease || !s.clockKnown {
		return 0
	}
	latest := end.Add(time.Duration(maxClockDrift*float64(end.Sub(now))) + leaseSlack)
	s.leaseEnd = max(s.leaseEnd, latest)
	return s.clockEstimate(now) + end.Sub(now).Milliseconds()
}
