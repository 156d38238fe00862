package command

import (
	"fmt"

	"samphirestile.example/samphirestile/internal/cli"
	"samphirestile.example/samphirestile/internal/operatorapi/oas"
)

// KeyWithdraw revokes a key permanently.
type KeyWithdraw struct {
	ID string `arg:"" help:"ID of the key; key list shows it."`
}

// Run revokes the key and prints the state of the revocation. Repeating it is safe.
func (c *KeyWithdraw) Run(e *cli.Environment) error {
	if err := cli.RequireArgument("<id>", c.ID, "the ID of a key"); err != nil {
		return err
	}
	client, err := e.Client()
	if err != nil {
		return err
	}
	r, err := client.RevokeKey(e.Context, oas.RevokeKeyParams{ID: c.ID})
	if err != nil {
		return &cli.ChangeError{Cause: err, Advice: "Repeat the command; withdrawing a key twice is safe."}
	}
	state := "recorded in the store"
	if !r.Durable {
		state = "in force, not yet recorded in the store; repeat the command to check"
	}
	t := cli.Table{Header: []string{"ID", "DAEMONS", "STATE"}}
	// The counts do not include the daemon that responded.
	t.Add(r.ID, fmt.Sprintf("%d of %d", r.Reached.Or(0)+1, r.Peers.Or(0)+1), state)
	return e.Print(r, t)
}
