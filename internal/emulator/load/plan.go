// Package load generates requests of many callers, in open or closed loops, and
// records the result of each request.
package load

import (
	"time"
)

// Plan describes one run of the load generator.
type Plan struct {
	// Seed determines the arrival times, targets, priorities and cancellations.
	Seed int64 `json:"seed"`
	// DurationMS is the time in which requests are sent.
	DurationMS int `json:"duration_ms"`
	// MaxRequests limits the total number of requests; 0 means unlimited.
	MaxRequests int `json:"max_requests,omitempty"`
	// MaxInFlight limits the open requests of each open-loop caller; 0 means DefaultMaxInFlight.
	MaxInFlight int      `json:"max_in_flight,omitempty"`
	Callers     []Caller `json:"callers"`
}

// DefaultMaxInFlight prevents an overloaded open loop from using up the sockets of the machine.
const DefaultMaxInFlight = 4000

// Caller describes a source of requests of one kind.
type Caller struct {
	Name    string `json:"name"`
	Team    string `json:"team"`
	KeyID   string `json:"key_id,omitempty"`
	Key     string `json:"key,omitempty"`
	Service string `json:"service"`
	Path    string `json:"path,omitempty"`
	// Targets are the base URLs of the daemons with their weights.
	Targets []Target `json:"targets"`
	// Balancer selects targets instead of Targets when set.
	Balancer *Balancer `json:"-"`
	// Rate makes the caller an open loop; Concurrency makes it a closed loop with that
	// many open requests. Exactly one of them must be set.
	Rate        *Rate `json:"rate,omitempty"`
	Concurrency int   `json:"concurrency,omitempty"`
	// RefusalPauseMS is the delay of a closed loop after a request without a complete
	// response from an endpoint; 0 means defaultRefusalPause.
	RefusalPauseMS int `json:"refusal_pause_ms,omitempty"`
	// NonIdempotent sends POST instead of GET.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// Keyed sends the op of the request, <caller name>-<seed>-<number>, as the
	// Idempotency-Key.
	Keyed bool `json:"keyed,omitempty"`
	// BodyBytes is the size of the request body; a size above 0 sends POST.
	BodyBytes int64 `json:"body_bytes,omitempty"`
	// ResponseBytes requests a generated response body of this size; Echo requests the
	// request body as the response.
	ResponseBytes int64 `json:"response_bytes,omitempty"`
	Echo          bool  `json:"echo,omitempty"`
	// ServiceMS overrides the service time of the endpoint; 0 means no override.
	ServiceMS float64 `json:"service_ms,omitempty"`
	// DeadlineMS is sent as the deadline; 0 means no deadline.
	DeadlineMS int `json:"deadline_ms,omitempty"`
	// UrgentShare is the fraction of requests, 0 to 1, that are sent as urgent.
	UrgentShare float64 `json:"urgent_share,omitempty"`
	// CancelShare is the fraction of requests, 0 to 1, that are cancelled, after an exponentially
	// distributed time with mean CancelAfterMS.
	CancelShare   float64 `json:"cancel_share,omitempty"`
	CancelAfterMS float64 `json:"cancel_after_ms,omitempty"`
	// TimeoutMS limits one request; 0 means DefaultTimeout.
	TimeoutMS int `json:"timeout_ms,omitempty"`
}

// DefaultTimeout limits a request whose caller sets no TimeoutMS.
const DefaultTimeout = 30 * time.Second

// Target is the base URL of a daemon and its relative weight.
type Target struct {
	URL    string  `json:"url"`
	Weight float64 `json:"weight"`
}

// Rate is a request rate over time, in requests per second.
type Rate struct {
	Mean  float64 `json:"mean"`
	Burst *Burst  `json:"burst,omitempty"`
}

// Burst is the load pattern of docs/design.md, section 4: Queues queues take turns with
// a demand peak. Each demands BurstFactor times its mean for LengthMS, and QuietFactor
// times its mean in between. Queue is the position of the queue in the cycle, from 0.
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

// At returns the rate when the given time has elapsed since the start of the run.
func (r Rate) At(elapsed time.Duration) float64 {
	if r.Burst == nil {
		return r.Mean
	}
	activeQueue := int(elapsed.Milliseconds()) / max(r.Burst.LengthMS, 1) % max(r.Burst.Queues, 1)
	if activeQueue == r.Burst.Queue {
		return r.Mean * BurstFactor
	}
	return r.Mean * QuietFactor
}

// peak returns the maximum rate.
func (r Rate) peak() float64 {
	if r.Burst == nil {
		return r.Mean
	}
	return r.Mean * BurstFactor
}
