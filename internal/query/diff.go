// Package query implements the read-only subcommands.
package query

import (
	"fmt"

	"github.com/rogpeppe/go-internal/diff"

	"samphirestile.example/samphirestile/internal/cli"
)

// Diff compares documents with the configuration in force.
type Diff struct{ cli.DocumentArgs }

// difference is one changed document in the JSON output.
type difference struct {
	Document string `json:"document"`
	Diff     string `json:"diff"`
}

// Run prints the differences and the revision to pass to apply.
func (c *Diff) Run(e *cli.Environment) error {
	documents, _, current, err := loadDocumentsAndConfig(e, &c.DocumentArgs)
	if err != nil {
		return err
	}
	inForce := map[string]string{}
	for _, d := range current.Documents {
		inForce[d.Name] = d.Content.Or("")
	}
	differences := []difference{}
	for _, d := range documents {
		if text := diff.Diff("in force/"+d.Name, []byte(inForce[d.Name]), "yours/"+d.Name, []byte(d.Content.Or(""))); text != nil {
			differences = append(differences, difference{Document: d.Name, Diff: string(text)})
		}
	}
	if e.Format == cli.FormatJSON {
		return e.Print(map[string]any{"revision": current.Revision, "differences": differences}, cli.Table{})
	}
	for _, d := range differences {
		fmt.Fprint(e.Out, d.Diff)
	}
	_, err = fmt.Fprintf(e.Out, "%d documents differ from revision %d; apply them with --revision %d\n", len(differences), current.Revision, current.Revision)
	return err
}
