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
	status worker.Status
	err    error
}

const (
	// minOverdue is the shortest time after which the answer to a heartbeat counts as overdue. It allows for slow
	// links and busy daemons.
	minOverdue = 200 * time.Millisecond
	// overdueIntervals is the number of expected intervals between the completions on a worker after which a heartbeat
	// that waits for one counts as overdue. One heartbeat in twenty waits that long without a fault.
	overdueIntervals = 3
)

// heartbeat sends a heartbeat and returns the answer with the call that it answers: the heartbeat itself, or a query for
// the status that was sent because the answer was overdue and that shows what it should have reported.
//
// Fault: the answer to a call is lost while the worker is well. Until the call times out, all completions on the
// worker are unknown, and their jobs stand still.
func (s *session) heartbeat(ctx context.Context, conn worker.Conn, call heartbeatCall, overdue time.Duration) (worker.Status, heartbeatCall, error) {
	if overdue == 0 {
		status, err := conn.Heartbeat(ctx, call.command)
		return status, call, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := make(chan heartbeatResult, 1)
	go func() {
		status, err := conn.Heartbeat(ctx, call.command)
		answered <- heartbeatResult{status, err}
	}()
	late := call.command.Wait + minOverdue
	for _, after := range []time.Duration{min(overdue, late), late} {
		timer := time.NewTimer(max(0, after-monotonic.Now().Sub(call.sent)))
		select {
		case r := <-answered:
			timer.Stop()
			return r.status, call, r.err
		case <-timer.C:
		}
		query := s.newStatusQuery()
		status, err := conn.Heartbeat(ctx, query.command)
		select {
		case r := <-answered:
			return r.status, call, r.err
		default:
		}
		if err == nil && s.answerLost(status, call, after == late) {
			return status, query, nil
		}
	}
	r := <-answered
	return r.status, call, r.err
}

// newStatusQuery returns a heartbeat that grants no lease, acknowledges nothing and does not wait.
func (s *session) newStatusQuery() heartbeatCall {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	return heartbeatCall{command: worker.HeartbeatCommand{Token: s.token}, sent: monotonic.Now(), incarnation: s.incarnation}
}

// answerLost reports whether a status shows that the answer to a call is lost: the worker has completions to report, or
// had no reason to wait any longer.
func (s *session) answerLost(status worker.Status, call heartbeatCall, late bool) bool {
	o := s.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	lost := late
	for _, finished := range status.Finished {
		lost = lost || finished.Sequence > s.processed
	}
	if lost {
		o.Scope.Tagged(map[string]string{"shard": o.Shard}).Counter("heartbeats_overdue").Inc(1)
		o.Log.WithFields(logrus.Fields{
			"worker": s.ID, "shard": o.Shard, "runs": len(s.runs), "finished": len(status.Finished), "waited_ms": monotonic.Now().Sub(call.sent).Milliseconds(),
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
