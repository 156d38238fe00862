package query

import (
	"samphirestile.example/samphirestile/internal/cli"
	"samphirestile.example/samphirestile/internal/operatorapi/oas"
)

// Validate checks documents against the configuration in force without writing them.
type Validate struct{ cli.DocumentArgs }

// Run validates the documents and prints the revision they were checked against.
func (c *Validate) Run(e *cli.Environment) error {
	documents, client, current, err := loadDocumentsAndConfig(e, &c.DocumentArgs)
	if err != nil {
		return err
	}
	change := oas.Change{ChangeID: cli.NewChangeID(), ExpectedRevision: current.Revision, Documents: documents}
	accepted, err := client.ValidateConfig(e.Context, &change)
	if err != nil {
		return err
	}
	t := cli.Table{Header: []string{"VALID", "REVISION"}}
	t.Add(true, accepted.Revision)
	return e.Print(map[string]any{"valid": true, "revision": accepted.Revision}, t)
}
