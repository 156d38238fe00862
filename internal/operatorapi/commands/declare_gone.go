package commands

import (
	"context"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/operatorapi/oas"
)

// DeclareSeatGone declares the occupant of a seat permanently gone.
func (c *Commands) DeclareSeatGone(ctx context.Context, params oas.DeclareSeatGoneParams) error {
	return c.Seats.DeclareGone(ctx, fleet.SeatID(params.ID))
}
