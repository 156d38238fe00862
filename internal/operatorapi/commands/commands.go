// Package commands implements the operations of the operators' interface that change
// state.
package commands

import (
	"context"

	"samphirestile.example/samphirestile/internal/config"
	"samphirestile.example/samphirestile/internal/fleet"
)

// Configuration accepts changes; *config.Manager implements it.
type Configuration interface {
	Apply(ctx context.Context, c config.Change) (config.Accepted, error)
	Modify(ctx context.Context, c config.Modification) (config.Accepted, error)
	Revoke(ctx context.Context, keyID string) (config.Revocation, error)
	Documents() (revision uint64, documents map[string][]byte, err error)
	IsRevoked(keyID string) bool
}

// Seats receives an operator's declaration about a seat.
type Seats interface {
	// DeclareGone declares the occupant of a seat permanently gone.
	DeclareGone(ctx context.Context, seat fleet.SeatID) error
}

// Commands implements the operations of oas.Handler that change state.
type Commands struct {
	Configuration Configuration
	Seats         Seats
}
