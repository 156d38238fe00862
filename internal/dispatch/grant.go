package dispatch

import (
	"sync/atomic"
	"time"

	"samphirestile.example/samphirestile/internal/endpoint"
	"samphirestile.example/samphirestile/internal/fleet"
)

const (
	// maxFailurePenalty bounds how long a fast failure keeps its slot occupied, so that a few
	// failures do not block a service with very long requests.
	maxFailurePenalty = 5 * time.Second
	// defaultMeanDuration is assumed until a request of the service has succeeded.
	defaultMeanDuration = 50 * time.Millisecond
)

// grant implements Grant.
type grant struct {
	service *serviceQueue
	team    *teamQueue
	state   *endpointState
	// endpoint is a copy, because the configuration may change during the exchange.
	endpoint  fleet.Endpoint
	signature string
	urgent    bool
	attempt   endpoint.Attempt
	release   func()
	started   time.Time
	// startClock is the service's contended time at the start, in seconds.
	startClock float64
	// charged is the slot time charged so far, in seconds.
	charged float64
	// index is the position in serviceQueue.running.
	index    int
	finished atomic.Bool
}

// Endpoint implements Grant.
func (g *grant) Endpoint() fleet.Endpoint { return g.endpoint }

// SendPermitted implements Grant.
func (g *grant) SendPermitted() bool { return g.service.limiter.SendPermitted(g.team.id) }

// Done implements Grant.
func (g *grant) Done(r Result) {
	if g.finished.Swap(true) {
		return
	}
	g.release()
	s, now := g.service, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	s.finish(g)
	elapsed := now.Sub(g.started)
	g.state.tracker.Finish(now, g.attempt, endpoint.Outcome{
		Failed: r.Failed, Latency: r.FirstByte, Elapsed: elapsed, Signature: g.signature,
	})
	penalty := time.Duration(0)
	if r.Failed {
		penalty = s.penalizeFailure(g.state, elapsed)
	} else {
		s.meanSlotTime.Add(elapsed.Seconds())
		g.team.meanSlotTime(g.urgent).Add(elapsed.Seconds())
	}
	s.ejectIfFailing(g.state, now)
	g.team.charge(s.clock - g.startClock - g.charged + penalty.Seconds())
	s.dispatch(now)
}

// Cancel implements Grant.
func (g *grant) Cancel() {
	if g.finished.Swap(true) {
		return
	}
	g.release()
	s, now := g.service, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	s.finish(g)
	g.state.tracker.Cancel(g.attempt)
	g.team.charge(-g.charged)
	s.dispatch(now)
}

// penalizeFailure keeps a slot occupied until the mean service time has passed since the
// start of a request that failed early. Otherwise an endpoint that fails fast would
// always have free slots and attract most requests. It returns the remaining time, which is
// charged to the team.
func (s *serviceQueue) penalizeFailure(e *endpointState, elapsed time.Duration) time.Duration {
	meanDuration := e.tracker.MeanDuration()
	if meanDuration == 0 {
		meanDuration = seconds(s.meanSlotTime.Value())
	}
	if meanDuration == 0 {
		meanDuration = defaultMeanDuration
	}
	d := min(meanDuration-elapsed, maxFailurePenalty)
	if d <= 0 {
		return 0
	}
	e.penaltySlots++
	time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		e.penaltySlots--
		s.dispatch(time.Now())
	})
	return d
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
