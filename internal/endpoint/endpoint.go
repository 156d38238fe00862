// Package endpoint learns the concurrency and health of one endpoint from the
// requests that it serves.
package endpoint

import "time"

// Outcome is how one exchange with the endpoint ended.
type Outcome struct {
	Failed bool
	// Latency is the time to the response header; 0 when there was none.
	Latency time.Duration
	// Elapsed is the time from dispatch to the end of the exchange.
	Elapsed time.Duration
	// Signature groups requests that are expected to fail or succeed alike.
	Signature string
}

// Attempt is what Tracker.Start records about a request until Tracker.Finish.
type Attempt struct {
	// running counts the requests at the endpoint, this one included.
	running int
	sample  sampleID
}

// Tracker holds the statistics of one endpoint. It is not safe for concurrent
// use; the caller's lock guards it.
type Tracker struct {
	concurrency concurrency
	health      health
	elapsed     Mean
}

// NewTracker returns a tracker in slow start for an endpoint that declares the given slots.
func NewTracker(declared int, now time.Time) *Tracker {
	return &Tracker{concurrency: newConcurrency(declared, now)}
}

// SetDeclared changes the declared slots, the upper bound of Limit.
func (t *Tracker) SetDeclared(slots int, now time.Time) {
	if slots != t.concurrency.declared {
		experiments := t.concurrency.experiments
		t.concurrency = newConcurrency(slots, now)
		t.concurrency.experiments = experiments
	}
}

// Limit returns how many requests the endpoint may serve at once: 0 while it is
// ejected and 1 while it is probed.
func (t *Tracker) Limit() int {
	switch t.health.state {
	case Ejected:
		return 0
	case Probing:
		return min(1, t.concurrency.declared)
	default:
		return t.concurrency.current()
	}
}

// UrgentLimit returns the limit for urgent requests. It differs from Limit while
// an experiment runs at a smaller limit, which urgent requests do not wait for.
func (t *Tracker) UrgentLimit() int {
	if t.health.state != InUse {
		return t.Limit()
	}
	return max(t.concurrency.limit, t.concurrency.current())
}

// Start records that a request is sent; running counts the requests at the
// endpoint, this one included.
func (t *Tracker) Start(now time.Time, running int) Attempt {
	return Attempt{running: running, sample: t.concurrency.start(now, running)}
}

// Finish records how the attempt ended.
func (t *Tracker) Finish(now time.Time, a Attempt, o Outcome) {
	if !o.Failed {
		t.elapsed.Add(o.Elapsed.Seconds())
	}
	if t.concurrency.finish(now, a, o) {
		// The failures are explained by too many requests at once.
		t.health.reset()
		return
	}
	if t.health.finish(now, o) {
		t.concurrency.slowStart(now)
	}
}

// Cancel records that nothing was sent for the attempt.
func (t *Tracker) Cancel(a Attempt) { t.concurrency.cancel(a) }

// Tick performs what is due without a request.
func (t *Tracker) Tick(now time.Time) {
	t.health.tick(now)
	t.concurrency.tick(now, t.MeanDuration())
}

// State returns whether the endpoint is in use.
func (t *Tracker) State() State { return t.health.state }

// Failing reports whether an endpoint in use should be ejected.
func (t *Tracker) Failing() bool { return t.health.failing() }

// Eject takes the endpoint out of use until it is probed.
func (t *Tracker) Eject(now time.Time) { t.health.eject(now) }

// Readmit puts an ejected endpoint back in slow start.
func (t *Tracker) Readmit(now time.Time) {
	t.health.readmit()
	t.concurrency.slowStart(now)
}

// MeanDuration returns the mean time of successful exchanges; 0 when none is known.
func (t *Tracker) MeanDuration() time.Duration {
	return time.Duration(t.elapsed.Value() * float64(time.Second))
}
