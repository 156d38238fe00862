// Package idempotency remembers idempotency keys at their home daemons.
package idempotency

import (
	"context"

	"samphirestile.example/samphirestile/internal/fleet"
)

// State is what is known about a claimed request.
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
	// Status is the HTTP status of the first run; 0 while it is not known.
	Status int
}

// Claimer asks the homes of a key.
type Claimer interface {
	// Claim returns granted, or the existing claim of an earlier request. A
	// *problem.Error with outcome not-run means that a home could not be asked; a
	// *problem.Error with outcome unknown means that an earlier home is lost.
	Claim(ctx context.Context, team fleet.TeamID, key, requestID string) (granted bool, existing Claim, err error)
	// Settle records the outcome; Released frees the key of a request that did not run.
	Settle(team fleet.TeamID, key, requestID string, state State, status int)
}
