package query

import (
	"time"

	"samphirestile.example/samphirestile/internal/cli"
)

// History lists recent changes, newest first.
type History struct{}

// Run prints a row for each change.
func (c *History) Run(e *cli.Environment) error {
	client, err := e.Client()
	if err != nil {
		return err
	}
	changes, err := client.GetHistory(e.Context)
	if err != nil {
		return err
	}
	t := cli.Table{Header: []string{"REVISION", "TIME", "OPERATOR", "CHANGE"}}
	for _, change := range changes {
		t.Add(change.Revision, change.Time.Format(time.RFC3339), change.Operator, change.ChangeID)
	}
	return e.Print(changes, t)
}
