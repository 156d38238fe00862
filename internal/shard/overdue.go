package shard

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/worker"
)

// heartbeatCall is one heartbeat command as it was sent.
type heartbeatCall struct {
	command worker.HeartbeatCommand
	sent    monotonic.Time
	// incarnation is the incarnation of the worker that was known then.
	incarnation int
}

type heartbeatResult struct {
	call     heartbeatCall
	status   worker.Status
	err      error
	received monotonic.Time
}

const (
	// minOverdue is the shortest time after which the answer to a heartbeat counts as overdue. It allows for slow
	// links and busy daemons.
	minOverdue = 200 * time.Millisecond
	// overdueIntervals is the number of expected intervals between the completions on a worker after which a heartbeat
	// that waits for one counts as overdue. One heartbeat in twenty waits that long without a fault.
	overdueIntervals = 3
	// heartbeatTransit is how long after its wait a heartbeat without an answer times out. One that is given up for a query
	// counts as on its way until then.
	heartbeatTransit = 900 * time.Millisecond
)

// heartbeat sends a heartbeat and returns its answer, or that of a query for the status that was sent because the answer
// was overdue and that shows what it should have reported.
//
// Fault: the answer to a call is lost while the worker is well. Until the call times out, all completions on the
// worker are unknown, and their jobs stand still.
func (s *session) heartbeat(ctx context.Context, conn worker.Conn, call heartbeatCall, overdue time.Duration) heartbeatResult {
	if overdue == 0 {
		status, err := conn.Heartbeat(ctx, call.command)
		return heartbeatResult{call, status, err, monotonic.Now()}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	const maxCalls = 3
	answers := make(chan heartbeatResult, maxCalls)
	send := func(c heartbeatCall) {
		go func() {
			status, err := conn.Heartbeat(ctx, c.command)
			answers <- heartbeatResult{c, status, err, monotonic.Now()}
		}()
	}
	send(call)
	// From then on the worker has no reason to wait.
	late := call.command.Wait + minOverdue
	timer := time.NewTimer(min(overdue, late))
	defer timer.Stop()
	var known heartbeatResult // the last answer to a query
	for calls := 1; ; {
		select {
		case r := <-answers:
			switch {
			case r.call.sent == call.sent && r.err != nil && !isDefinite(r.err) && known.received != 0:
				return known
			case r.call.sent == call.sent:
				return r
			case r.err == nil && s.answerLost(r, call, r.call.sent.Sub(call.sent) >= late):
				return r
			case r.err == nil:
				known = r
			}
		case <-timer.C:
			send(s.newStatusQuery())
			if calls++; calls < maxCalls {
				timer.Reset(max(minOverdue, late-monotonic.Now().Sub(call.sent)))
			}
		}
	}
}

// newStatusQuery returns a heartbeat that grants no lease, acknowledges nothing and does not wait.
func (s *session) newStatusQuery() heartbeatCall {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	return heartbeatCall{command: worker.HeartbeatCommand{Token: s.token}, sent: monotonic.Now(), incarnation: s.incarnation}
}

// answerLost reports whether the answer to a query shows that the answer to a call is lost: the worker has completions to
// report, or had no reason to wait any longer.
func (s *session) answerLost(query heartbeatResult, call heartbeatCall, late bool) bool {
	o := s.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	lost := late
	for _, finished := range query.status.Finished {
		lost = lost || finished.Sequence > s.processed
	}
	if lost {
		o.Scope.Tagged(map[string]string{"shard": o.Shard}).Counter("heartbeats_overdue").Inc(1)
		o.Log.WithFields(logrus.Fields{
			"worker": s.ID, "shard": o.Shard, "runs": len(s.runs), "finished": len(query.status.Finished), "waited_ms": query.received.Sub(call.sent).Milliseconds(),
		}).Info("answer to a heartbeat is overdue; the status was queried")
	}
	return lost
}

// heartbeatOverdue returns the time after which the answer to a heartbeat counts as overdue; 0 means that it does not before
// the call times out. The caller holds mu.
func (s *session) heartbeatOverdue(wait time.Duration) time.Duration {
	if !s.owner.Policy.Heartbeats.Enabled || !s.fenced || !s.reachable || len(s.runs) == 0 {
		return 0
	}
	rate := 0.0 // completions per second
	for _, r := range s.runs {
		if !r.step.LongRunning {
			rate += 1 / max(minDuration, s.owner.estimate(r.entry.job.Queue, r.step)).Seconds()
		}
	}
	if rate == 0 {
		return wait + minOverdue
	}
	return max(minOverdue, time.Duration(overdueIntervals/rate*float64(time.Second)))
}
