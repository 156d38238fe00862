package shard

import (
	"context"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/monotonic"
)

// The worker may have restarted unnoticed. A start without an answer may then have begun a run in the new incarnation, and
// an acknowledgement by a number of the former one would let the worker forget the end of that run. The answer to
// the start shows the restart, so no acknowledgement is sent before it.

// acknowledgementWaits reports whether only starts on their way keep completions from being acknowledged. The caller holds mu.
func (s *session) acknowledgementWaits(now monotonic.Time) bool {
	return s.startsInFlight > 0 && s.incarnationKnown && s.lastAcknowledgeable(now) > s.acknowledged
}

// startAnswered records that a start command was answered or has timed out. The caller holds mu.
func (s *session) startAnswered(err error) {
	s.startsInFlight--
	if err != nil && !isDefinite(err) {
		s.incarnationKnown = false
	}
	if s.startsInFlight == 0 {
		s.notify()
	}
}

// holdStarts delays further starts from a heartbeat that could not acknowledge completions until one can, so that a worker
// with a start always on its way gets acknowledgements too. acknowledged is the number in the heartbeat. The caller
// holds mu.
func (s *session) holdStarts(acknowledged int64, now monotonic.Time) {
	waits := acknowledged == 0 && s.acknowledgementWaits(now)
	switch {
	case waits && s.startsResumed == nil:
		s.startsResumed = make(chan struct{})
		s.owner.Log.WithFields(logrus.Fields{
			"worker": s.ID, "shard": s.owner.Shard, "starts_in_flight": s.startsInFlight, "acknowledged": s.acknowledged, "recorded": s.durable,
		}).Info("starts wait for an acknowledgement")
	case !waits && s.startsResumed != nil:
		close(s.startsResumed)
		s.startsResumed = nil
	}
}

// waitForAcknowledgement waits while holdStarts delays starts. It returns false if ctx ends first.
func (s *session) waitForAcknowledgement(ctx context.Context) bool {
	for {
		s.owner.mu.Lock()
		resumed := s.startsResumed
		s.owner.mu.Unlock()
		if resumed == nil {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-resumed:
		}
	}
}
