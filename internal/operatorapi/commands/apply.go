package commands

import (
	"context"

	"samphirestile.example/samphirestile/internal/operatorapi/oas"
	"samphirestile.example/samphirestile/internal/operatorapi/wire"
)

// ApplyConfig applies a change of documents.
func (c *Commands) ApplyConfig(ctx context.Context, req *oas.Change) (*oas.Accepted, error) {
	change, err := wire.Change(req)
	if err != nil {
		return nil, err
	}
	a, err := c.Configuration.Apply(ctx, change)
	if err != nil {
		return nil, err
	}
	return &oas.Accepted{Revision: wire.Revision(a.Revision), ChangeID: a.ChangeID}, nil
}
