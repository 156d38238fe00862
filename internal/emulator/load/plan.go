// Package load generates requests of many callers, in an open or a closed loop,
// and records what each caller learned.
package load

import (
	"time"
)

// Plan describes one bounded run.
type Plan struct {
	// Seed fixes the arrival times, the choice of targets and the marks of requests.
	Seed int64 `json:"seed"`
	// DurationMS bounds the time in which requests are sent.
	DurationMS int `json:"duration_ms"`
	// MaxRequests bounds the number of requests of all callers; 0 means unlimited.
	MaxRequests int `json:"max_requests,omitempty"`
	// MaxInFlight bounds the open requests of each open-loop caller; 0 means DefaultMaxInFlight.
	MaxInFlight int      `json:"max_in_flight,omitempty"`
	Callers     []Caller `json:"callers"`
}

// DefaultMaxInFlight keeps an overloaded open loop from exhausting the sockets of the machine.
const DefaultMaxInFlight = 4000

// Caller sends requests of one kind.
type Caller struct {
	Name    string `json:"name"`
	Team    string `json:"team"`
	KeyID   string `json:"key_id,omitempty"`
	Key     string `json:"key,omitempty"`
	Service string `json:"service"`
	Path    string `json:"path,omitempty"`
	// Targets are the base URLs of the daemons with their weights.
	Targets []Target `json:"targets"`
	// Balancer replaces Targets when set.
	Balancer *Balancer `json:"-"`
	// Rate makes the caller an open loop; Concurrency makes it a closed loop.
	Rate        *Rate `json:"rate,omitempty"`
	Concurrency int   `json:"concurrency,omitempty"`
	// RefusalPauseMS is the pause of a closed loop after a refusal.
	RefusalPauseMS int `json:"refusal_pause_ms,omitempty"`
	// NonIdempotent sends POST instead of GET.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// Keyed adds an Idempotency-Key that equals the op.
	Keyed bool `json:"keyed,omitempty"`
	// BodyBytes is the size of the request body; any size sends POST.
	BodyBytes int64 `json:"body_bytes,omitempty"`
	// ResponseBytes asks for a generated response body; Echo for the request body.
	ResponseBytes int64 `json:"response_bytes,omitempty"`
	Echo          bool  `json:"echo,omitempty"`
	// ServiceMS overrides the service time of the endpoint; 0 leaves it.
	ServiceMS float64 `json:"service_ms,omitempty"`
	// DeadlineMS is sent as the deadline; 0 sends none.
	DeadlineMS  int     `json:"deadline_ms,omitempty"`
	UrgentShare float64 `json:"urgent_share,omitempty"`
	// CancelShare of the requests are cancelled after an exponential time with this mean.
	CancelShare   float64 `json:"cancel_share,omitempty"`
	CancelAfterMS float64 `json:"cancel_after_ms,omitempty"`
	// TimeoutMS bounds one request; 0 means DefaultTimeout.
	TimeoutMS int `json:"timeout_ms,omitempty"`
}

// DefaultTimeout bounds one request.
const DefaultTimeout = 30 * time.Second

// Target is one daemon.
type Target struct {
	URL    string  `json:"url"`
	Weight float64 `json:"weight"`
}

// Rate is a request rate over time, in requests per second.
type Rate struct {
	Mean  float64 `json:"mean"`
	Burst *Burst  `json:"burst,omitempty"`
}

// Burst is the pattern of the design page, section 4: of Queues queues one
// after the other demands BurstFactor times its mean for LengthMS, and
// QuietFactor times its mean in between.
type Burst struct {
	Queue    int `json:"queue"`
	Queues   int `json:"queues"`
	LengthMS int `json:"length_ms"`
}

// Factors of the burst pattern. With five queues the mean over a whole cycle is
// (5 + 4/20)/5 = 1.04 times the nominal mean.
const (
	BurstFactor = 5
	QuietFactor = 1.0 / 20
)

// At returns the rate at a time since the start of the run.
func (r Rate) At(elapsed time.Duration) float64 {
	if r.Burst == nil {
		return r.Mean
	}
	turn := int(elapsed.Milliseconds()) / max(r.Burst.LengthMS, 1) % max(r.Burst.Queues, 1)
	if turn == r.Burst.Queue {
		return r.Mean * BurstFactor
	}
	return r.Mean * QuietFactor
}

// peak returns the highest rate.
func (r Rate) peak() float64 {
	if r.Burst == nil {
		return r.Mean
	}
	return r.Mean * BurstFactor
}
