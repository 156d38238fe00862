package commands

import (
	"context"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/operatorapi/oas"
)

// DeclareSeatGone passes on that the occupant of a seat is gone for good.
func (c *Commands) DeclareSeatGone(ctx context.Context, params oas.DeclareSeatGoneParams) error {
	return c.Seats.DeclareGone(ctx, fleet.SeatID(params.ID))
}
