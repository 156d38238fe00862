// Package idempotency implements at-most-once execution of requests with an idempotency key.
// Claims of a key are recorded at its home daemons, which are chosen by rendezvous hashing.
package idempotency

import (
	"context"

	"samphirestile.example/samphirestile/internal/fleet"
)

// State is the state of the request that holds a claim.
type State string

// States of a claim.
const (
	Running  State = "running"
	Done     State = "done"
	Unknown  State = "unknown"
	Released State = "released"
)

// Claim is the record of one idempotency key.
type Claim struct {
	RequestID string
	State     State
	// Status is the HTTP status of the first request's response; 0 while it is not known.
	Status int
}

// Claimer claims idempotency keys at their home daemons.
type Claimer interface {
	// Claim either grants the key or returns the existing claim of an earlier request. A
	// *problem.Error with outcome not-run means that a home could not be reached; a
	// *problem.Error with outcome unknown means that the homes under an earlier view have
	// failed.
	Claim(ctx context.Context, team fleet.TeamID, key, requestID string) (granted bool, existing Claim, err error)
	// Settle records the outcome of a request; Released frees the key of a request that did
	// not run.
	Settle(team fleet.TeamID, key, requestID string, state State, status int)
}
