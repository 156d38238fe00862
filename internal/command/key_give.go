package command

import (
	"samphirestile.example/samphirestile/internal/cli"
	"samphirestile.example/samphirestile/internal/operatorapi/oas"
)

// KeyGive creates a key for a team.
type KeyGive struct {
	Team     string `arg:"" help:"ID of the team."`
	ChangeID string `help:"ID of the change. Random by default." placeholder:"ID"`
}

// Run creates the key and prints it; its secret cannot be displayed again.
func (c *KeyGive) Run(e *cli.Environment) error {
	if err := cli.RequireArgument("<team>", c.Team, "the ID of a team"); err != nil {
		return err
	}
	client, err := e.Client()
	if err != nil {
		return err
	}
	id := c.ChangeID
	if id == "" {
		id = cli.NewChangeID()
	}
	key, err := client.GiveKey(e.Context, &oas.GiveKeyReq{Team: c.Team, ChangeID: id})
	if err != nil {
		return &cli.ChangeError{ID: id, Cause: err,
			Advice: "Run `samphirestile key list`; if the key was created but not shown, withdraw it and give another one."}
	}
	t := cli.Table{Header: []string{"ID", "TEAM", "KEY"}}
	t.Add(key.ID, key.Team, key.Key)
	return e.Print(key, t)
}
