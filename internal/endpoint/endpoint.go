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
	Elapsed   time.Duration
	Signature string
}

// Attempt is what Tracker.Start records about a request until Tracker.Finish.
type Attempt struct {
	// running counts the requests at the endpoint, this one included.
	running int
}

// Tracker holds the statistics of one endpoint. It is not safe for concurrent
// use; the caller's lock guards it.
type Tracker struct {
	declared int
	elapsed  Mean
}

// NewTracker returns a tracker for an endpoint that declares the given slots.
func NewTracker(declared int) *Tracker {
	return &Tracker{declared: declared}
}

// SetDeclared changes the declared slots, the upper bound of Limit.
func (t *Tracker) SetDeclared(slots int) { t.declared = slots }

// Limit returns how many requests the endpoint may serve at once.
func (t *Tracker) Limit() int { return t.declared }

// Start records that a request is sent; running counts the requests at the
// endpoint, this one included.
func (t *Tracker) Start(running int) Attempt { return Attempt{running: running} }

// Finish records how the attempt ended.
func (t *Tracker) Finish(_ Attempt, o Outcome) {
	if !o.Failed {
		t.elapsed.Add(o.Elapsed.Seconds())
	}
}

// Typical returns the mean time of successful exchanges; 0 when none is known.
func (t *Tracker) Typical() time.Duration {
	return time.Duration(t.elapsed.Value() * float64(time.Second))
}
