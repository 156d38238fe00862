// Package dispatch queues requests at the owner of their service's endpoints and decides
// which request starts next on which endpoint. Teams share the slots of a service by
// weighted fair queueing.
package dispatch

import (
	"context"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
)

// Request describes a request that waits for an endpoint.
type Request struct {
	ID      string
	Service fleet.ServiceID
	Team    fleet.TeamID
	Urgent  bool
	// Deadline bounds the time in the queue.
	Deadline time.Time
	// Signature groups requests that are expected to fail or succeed alike: team, method and path.
	Signature string
	// Avoid lists endpoints on which this request has already failed.
	Avoid []fleet.EndpointID
	// NoReroute is set when the request was rerouted as often as allowed.
	NoReroute bool
}

// Result is the outcome of an exchange with an endpoint.
type Result struct {
	// Failed is set for connection errors, broken responses and status 500, 502, 503 and 504.
	Failed bool
	// FirstByte is the time from dispatch to the response header.
	FirstByte time.Duration
}

// Grant is the permission to start one request on one endpoint. Exactly one of Done and
// Cancel must be called, once.
type Grant interface {
	Endpoint() fleet.Endpoint
	// SendPermitted reports whether the request may still be sent. It is called right after the
	// request header was written.
	SendPermitted() bool
	// Done releases the slot and the team's unit after the exchange has ended.
	Done(Result)
	// Cancel releases them when nothing was sent to the endpoint.
	Cancel()
}

// Load is the load of one service at one owner, as reported to entry daemons.
type Load struct {
	// Slots is the estimated number of requests that the owned endpoints serve concurrently;
	// a failing endpoint counts as one.
	Slots int
	// Running and Queued count requests of the service at this owner. Running also counts
	// slots that stay occupied after a fast failure, so that entry daemons do not mistake a
	// failing endpoint for an idle one.
	Running int
	Queued  int
}

// Dispatcher grants endpoints to requests.
type Dispatcher interface {
	// Acquire waits until the request may start. It returns a *problem.Error with outcome
	// not-run when the request is refused, its deadline passes or ctx ends.
	Acquire(ctx context.Context, r Request) (Grant, error)
	// Load returns the load of a service; ok is false when none of its endpoints is owned here.
	Load(service fleet.ServiceID) (load Load, ok bool)
}
