// Package ownership assigns endpoints to seats.
package ownership

import (
	"samphirestile.example/samphirestile/internal/fleet"
)

// Assignment maps each endpoint to the seat that owns it.
type Assignment map[fleet.EndpointID]fleet.SeatID
