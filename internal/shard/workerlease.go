package shard

import (
	"time"

	"samphirestile.example/samphirestile/internal/monotonic"
)

const (
	// clockRounding is the error of the difference of two clocks in whole milliseconds.
	clockRounding = 2
)

// clockEstimate is at most the worker's clock in milliseconds.
func (s *session) clockEstimate(now monotonic.Time) int64 {
	return s.clockMS + now.Sub(s.clockAt).Milliseconds()
}

// recordClock takes the worker's clock from the answer to a call.
func (s *session) recordClock(clockMS int64, sent, received monotonic.Time) {
	if clockMS <= 0 {
		return
	}
	// Answers on several connections may overtake each other.
	if s.clockKnown && received < s.clockAt {
		return
	}
	if s.clockKnown && sent > s.clockAt {
		passed := time.Duration((1 - maxClockDrift) * float64(sent.Sub(s.clockAt)))
		if clockMS < s.clockMS+passed.Milliseconds()-clockRounding {
			// The clock of another life. Its ends must not be acknowledged by the
			// numbers of the former one; the next status brings the rest.
			s.resetCompletions()
		}
	}
	s.clockKnown, s.clockMS, s.clockAt = true, clockMS, received
}

// resetCompletions drops what is known of the ends of a former life.
func (s *session) resetCompletions() {
	s.seen, s.durable, s.acknowledged = 0, 0, 0
	s.life++
}

// grantLease returns the end of the lease to send with an order, in
// milliseconds of the worker's clock, or 0 if none may be given.
func (s *session) grantLease(now monotonic.Time) int64 {
	end := min(now.Add(s.owner.lease()), s.owner.LatestWorkerLeaseEnd())
	if end.Sub(now) < minWorkerLease || !s.clockKnown {
		return 0
	}
	latest := end.Add(time.Duration(maxClockDrift*float64(end.Sub(now))) + leaseSlack)
	s.leaseEnd = max(s.leaseEnd, latest)
	return s.clockEstimate(now) + end.Sub(now).Milliseconds()
}
