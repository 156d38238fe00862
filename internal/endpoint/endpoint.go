// Package endpoint estimates the concurrency and health of one endpoint from the requests that
// it serves.
package endpoint

import "time"

// Outcome is how one exchange with the endpoint ended.
type Outcome struct {
	Failed bool
	// Latency is the time to the response header; 0 if there was none.
	Latency time.Duration
	// Elapsed is the time from dispatch to the end of the exchange.
	Elapsed time.Duration
	// Signature groups requests that are expected to fail or succeed alike.
	Signature string
}

// Attempt carries the state of a request from Tracker.Start to Tracker.Finish.
type Attempt struct {
	// running counts the requests at the endpoint, including this one.
	running int
	sample  sampleID
	// period is the health period in which the request was sent.
	period int
}

// Tracker holds the statistics of one endpoint. It is not safe for concurrent use; callers
// must hold a lock.
type Tracker struct {
	concurrency  concurrency
	health       health
	meanDuration Mean
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

// Limit returns how many requests the endpoint may serve concurrently: 0 while it is ejected
// and at most 1 while it is probed.
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

// UrgentLimit returns the limit for urgent requests. It differs from Limit while an
// experiment runs at a smaller limit, which does not apply to urgent requests.
func (t *Tracker) UrgentLimit() int {
	if t.health.state != InUse {
		return t.Limit()
	}
	return max(t.concurrency.limit, t.concurrency.current())
}

// Start records that a request is about to be sent; running counts the requests at the endpoint,
// including this one.
func (t *Tracker) Start(now time.Time, running int) Attempt {
	return Attempt{running: running, sample: t.concurrency.start(now, running), period: t.health.period}
}

// Finish records the outcome of the attempt.
func (t *Tracker) Finish(now time.Time, a Attempt, o Outcome) {
	if !o.Failed {
		t.meanDuration.Add(o.Elapsed.Seconds())
	}
	if t.concurrency.finish(now, a, o) {
		// The failures are explained by excess concurrency.
		t.health.reset()
		return
	}
	if a.period != t.health.period {
		// The endpoint has changed its state since, and may have restarted.
		return
	}
	if t.health.finish(now, o) {
		t.concurrency.slowStart(now)
	}
}

// Cancel ends an attempt for which nothing was sent.
func (t *Tracker) Cancel(a Attempt) { t.concurrency.cancel(a) }

// Tick performs the time-based transitions.
func (t *Tracker) Tick(now time.Time) {
	t.health.tick(now)
	t.concurrency.tick(now, t.MeanDuration())
}

// State returns whether the endpoint is in use, ejected or being probed.
func (t *Tracker) State() State { return t.health.state }

// Failing reports whether an endpoint in use should be ejected.
func (t *Tracker) Failing() bool { return t.health.failing() }

// Eject takes the endpoint out of use until it is probed.
func (t *Tracker) Eject(now time.Time) { t.health.eject(now) }

// Readmit returns an ejected endpoint to use, in slow start.
func (t *Tracker) Readmit(now time.Time) {
	t.health.readmit()
	t.concurrency.slowStart(now)
}

// MeanDuration returns the mean duration of successful exchanges; 0 before the first one.
func (t *Tracker) MeanDuration() time.Duration {
	return time.Duration(t.meanDuration.Value() * float64(time.Second))
}
