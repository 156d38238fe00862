package endpoint

import (
	"fmt"
	"math/rand"
	"net/http"
	"strconv"
	"time"
)

// Shape names a distribution of service times.
type Shape string

// Shapes of service times.
const (
	Fixed       Shape = "fixed"
	Exponential Shape = "exponential"
	// Bimodal takes SlowMS with probability SlowShare and MeanMS otherwise.
	Bimodal Shape = "bimodal"
)

// Overload names what happens above the real capacity.
type Overload string

// Reactions above the real capacity.
const (
	// OverloadShare slows all requests down by processor sharing.
	OverloadShare Overload = "share"
	// OverloadQueue lets requests wait inside the endpoint.
	OverloadQueue Overload = "queue"
	// OverloadReject responds 503 at once.
	OverloadReject Overload = "reject"
)

// Settings is the normal behaviour of an endpoint.
type Settings struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Shape   Shape  `json:"shape"`
	// MeanMS is the service time in milliseconds.
	MeanMS    float64 `json:"mean_ms"`
	SlowMS    float64 `json:"slow_ms,omitempty"`
	SlowShare float64 `json:"slow_share,omitempty"`
	// Capacity is the real number of requests that run at full speed; 0 means unlimited.
	Capacity int      `json:"capacity,omitempty"`
	Overload Overload `json:"overload,omitempty"`
	Seed     int64    `json:"seed,omitempty"`
}

// Faults is the set of failure modes in effect.
type Faults struct {
	// FailStatus responds to every request with this status at once; 0 means off.
	FailStatus int `json:"fail_status,omitempty"`
	// FailPaths limits FailStatus to paths with these prefixes.
	FailPaths []string `json:"fail_paths,omitempty"`
	// Hang keeps requests without a response until the mode ends or the caller leaves.
	Hang bool `json:"hang,omitempty"`
	// CloseMidBody closes the connection after half of the response body.
	CloseMidBody bool `json:"close_mid_body,omitempty"`
	// CloseBeforeResponse does the work, then closes the connection without a response.
	CloseBeforeResponse bool `json:"close_before_response,omitempty"`
	// DelayHeaderMS delays the response header after the work was done.
	DelayHeaderMS int `json:"delay_header_ms,omitempty"`
	// WrongRequestID echoes an X-Request-Id of another request.
	WrongRequestID bool `json:"wrong_request_id,omitempty"`
	// KeepWorking continues the work after the caller left.
	KeepWorking bool `json:"keep_working,omitempty"`
}

// InvalidSettingsError reports settings that an endpoint does not accept.
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

// Headers and query parameters that a request may carry.
const (
	// HeaderServiceMS and the query parameter service_ms override the service time.
	HeaderServiceMS = "X-Emulator-Service-Ms"
	// HeaderTeam names the team of a request for the event record.
	HeaderTeam = "X-Emulator-Team"
	// HeaderBodyHash carries the hex SHA-256 of the request body in the response.
	HeaderBodyHash = "X-Emulator-Body-Sha256"
)

// serviceTime returns the service time of one request.
func (s Settings) serviceTime(r *http.Request, rnd *rand.Rand) time.Duration {
	text := r.URL.Query().Get("service_ms")
	if text == "" {
		text = r.Header.Get(HeaderServiceMS)
	}
	if ms, err := strconv.ParseFloat(text, 64); err == nil {
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
