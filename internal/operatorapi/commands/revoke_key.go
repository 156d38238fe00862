package commands

import (
	"context"
	"slices"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/operatorapi/oas"
	"samphirestile.example/samphirestile/internal/operatorapi/wire"
	"samphirestile.example/samphirestile/internal/template"
)

// RevokeKey revokes a key. Repeating it is safe and returns the current state of the
// revocation. An unknown ID is rejected, because it is probably mistyped.
func (c *Commands) RevokeKey(ctx context.Context, params oas.RevokeKeyParams) (*oas.Revocation, error) {
	known, err := c.keyExists(params.ID)
	if err != nil {
		return nil, err
	}
	if !known {
		return nil, &wire.NotFoundError{Kind: "key", ID: params.ID, Query: "key list"}
	}
	r, err := c.Configuration.Revoke(ctx, params.ID)
	if err != nil {
		return nil, err
	}
	return &oas.Revocation{
		ID: params.ID, Durable: r.Durable, Reached: oas.NewOptInt(r.Reached), Peers: oas.NewOptInt(r.Peers),
	}, nil
}

func (c *Commands) keyExists(id string) (bool, error) {
	if c.Configuration.IsRevoked(id) {
		return true, nil
	}
	_, documents, err := c.Configuration.Documents()
	if err != nil {
		return false, err
	}
	records, err := template.KeyRecords(documents)
	return slices.ContainsFunc(records, func(k fleet.Key) bool { return k.ID == id }), err
}
