package commands

import (
	"context"

	"samphirestile.example/samphirestile/internal/config"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/keys"
	"samphirestile.example/samphirestile/internal/operatorapi/oas"
	"samphirestile.example/samphirestile/internal/operatorapi/wire"
	"samphirestile.example/samphirestile/internal/template"
)

// GiveKey creates a key for a team. A retry with the same change ID fails, because
// the secret of the first key cannot be returned again.
func (c *Commands) GiveKey(ctx context.Context, req *oas.GiveKeyReq) (*oas.NewKey, error) {
	team := fleet.TeamID(req.Team)
	key, keyRecord := keys.Generate(team)
	_, err := c.Configuration.Modify(ctx, config.Modification{
		ID:     req.ChangeID,
		Digest: keyRecord.Hash,
		Edit: func(documents map[string][]byte) ([]config.DocumentChange, error) {
			return addKey(documents, keyRecord)
		},
	})
	if err != nil {
		return nil, err
	}
	return &oas.NewKey{ID: keyRecord.ID, Team: req.Team, Key: key}, nil
}

// addKey adds a key record to the key document of the team's account.
func addKey(documents map[string][]byte, record fleet.Key) ([]config.DocumentChange, error) {
	snapshot, err := template.Render(documents)
	if err != nil {
		return nil, err
	}
	team, ok := snapshot.Teams[record.Team]
	if !ok {
		return nil, &wire.NotFoundError{Kind: "team", ID: string(record.Team), Query: "team list"}
	}
	name, content, err := template.WithKey(documents, team.Account, record)
	if err != nil {
		return nil, err
	}
	return []config.DocumentChange{{Name: name, Content: content}}, nil
}
