package endpoint

import (
	"fmt"
	"math/rand"
	"net/http"
	"strconv"
	"time"
)

// Shape is a distribution of service times.
type Shape string

// Shapes of service times.
const (
	Fixed       Shape = "fixed"
	Exponential Shape = "exponential"
	// Bimodal takes SlowMS with probability SlowShare and MeanMS otherwise.
	Bimodal Shape = "bimodal"
)

// Overload is the behaviour above the capacity.
type Overload string

// Behaviours above the capacity.
const (
	// OverloadShare slows down all requests by processor sharing.
	OverloadShare Overload = "share"
	// OverloadQueue queues requests inside the endpoint.
	OverloadQueue Overload = "queue"
	// OverloadReject responds with 503 at once.
	OverloadReject Overload = "reject"
)

// Settings configures the normal behaviour of an endpoint.
type Settings struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Shape   Shape  `json:"shape"`
	// MeanMS is the fixed service time, the mean of the exponential one or the fast one of
	// the bimodal shape, in milliseconds.
	MeanMS float64 `json:"mean_ms"`
	// SlowMS is the slow service time of the bimodal shape, in milliseconds.
	SlowMS float64 `json:"slow_ms,omitempty"`
	// SlowShare is the probability of SlowMS, 0 to 1.
	SlowShare float64 `json:"slow_share,omitempty"`
	// Capacity is the number of requests that run at full speed at the same time; 0 means
	// unlimited. It may differ from the configured slots.
	Capacity int      `json:"capacity,omitempty"`
	Overload Overload `json:"overload,omitempty"`
	Seed     int64    `json:"seed,omitempty"`
}

// Faults are the injected faults.
type Faults struct {
	// FailStatus is the status of an immediate response to every request; 0 means off.
	FailStatus int `json:"fail_status,omitempty"`
	// FailPaths limits FailStatus to paths with these prefixes.
	FailPaths []string `json:"fail_paths,omitempty"`
	// Hang delays responses until the fault is cleared or the caller disconnects.
	Hang bool `json:"hang,omitempty"`
	// CloseMidBody closes the connection after half of the response body.
	CloseMidBody bool `json:"close_mid_body,omitempty"`
	// CloseBeforeResponse completes the work, then closes the connection without a response.
	CloseBeforeResponse bool `json:"close_before_response,omitempty"`
	// DelayHeaderMS delays the response header after the work is done.
	DelayHeaderMS int `json:"delay_header_ms,omitempty"`
	// WrongRequestID responds with an X-Request-Id that differs from that of the request.
	WrongRequestID bool `json:"wrong_request_id,omitempty"`
	// KeepWorking continues the work after the caller disconnected.
	KeepWorking bool `json:"keep_working,omitempty"`
}

// InvalidSettingsError reports an invalid field of Settings.
type InvalidSettingsError struct{ Field, Value string }

func (e *InvalidSettingsError) Error() string {
	return fmt.Sprintf("endpoint settings: %s has invalid value %q", e.Field, e.Value)
}

func (s Settings) validate() error {
	switch s.Shape {
	case "", Fixed, Exponential, Bimodal:
	default:
		return &InvalidSettingsError{"shape", string(s.Shape)}
	}
	switch s.Overload {
	case "", OverloadShare, OverloadQueue, OverloadReject:
	default:
		return &InvalidSettingsError{"overload", string(s.Overload)}
	}
	return nil
}

// Headers of requests and responses.
const (
	// HeaderServiceMS and the query parameter service_ms override the service time; the
	// parameter takes precedence.
	HeaderServiceMS = "X-Emulator-Service-Ms"
	// HeaderTeam is the team of a request, for the recorded events; it takes precedence
	// over the query parameter team.
	HeaderTeam = "X-Emulator-Team"
	// HeaderBodyHash carries the hex SHA-256 of the request body in the response.
	HeaderBodyHash = "X-Emulator-Body-Sha256"
)

// serviceTime returns the service time of one request.
func (s Settings) serviceTime(r *http.Request, rnd *rand.Rand) time.Duration {
	override := r.URL.Query().Get("service_ms")
	if override == "" {
		override = r.Header.Get(HeaderServiceMS)
	}
	if ms, err := strconv.ParseFloat(override, 64); err == nil {
		return milliseconds(ms)
	}
	switch s.Shape {
	case Exponential:
		return milliseconds(s.MeanMS * rnd.ExpFloat64())
	case Bimodal:
		if rnd.Float64() < s.SlowShare {
			return milliseconds(s.SlowMS)
		}
	}
	return milliseconds(s.MeanMS)
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
