// Package command implements the subcommands that change state.
package command

import (
	"samphirestile.example/samphirestile/internal/cli"
	"samphirestile.example/samphirestile/internal/operatorapi/oas"
)

// Apply replaces or removes documents in one change.
type Apply struct {
	cli.DocumentArgs
	Revision *int64 `xor:"base" required:"" help:"Revision that the documents were edited from; diff prints it. The change is refused when one of its documents changed since then." placeholder:"N"`
	Latest   bool   `xor:"base" required:"" help:"Replace the documents whatever revision they have."`
	ChangeID string `help:"ID of the change; repeating a change with its ID is safe. Random by default." placeholder:"ID"`
}

// Run applies the change to the given revision, or with Latest to the current one.
func (c *Apply) Run(e *cli.Environment) error {
	documents, err := c.Load()
	if err != nil {
		return err
	}
	client, err := e.Client()
	if err != nil {
		return err
	}
	change := oas.Change{ChangeID: c.ChangeID, Documents: documents}
	if e.Operator != "" {
		change.Operator = oas.NewOptString(e.Operator)
	}
	if change.ChangeID == "" {
		change.ChangeID = cli.NewChangeID()
	}
	if c.Latest {
		current, err := client.GetConfig(e.Context)
		if err != nil {
			return err
		}
		change.ExpectedRevision = current.Revision
	} else {
		change.ExpectedRevision = *c.Revision
	}
	accepted, err := client.ApplyConfig(e.Context, &change)
	if err != nil {
		return &cli.ChangeError{ID: change.ChangeID, Cause: err,
			Advice: "Repeat the command with --change-id " + change.ChangeID + "; the change takes effect at most once."}
	}
	t := cli.Table{Header: []string{"REVISION", "CHANGE"}}
	t.Add(accepted.Revision, accepted.ChangeID)
	return e.Print(accepted, t)
}
