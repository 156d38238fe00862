package command

import (
	"samphirestile.example/samphirestile/internal/cli"
	"samphirestile.example/samphirestile/internal/fleetapi/oas"
)

// JobCancel cancels a job permanently.
type JobCancel struct {
	ID string `arg:"" help:"Job ID."`
}

// Run sends the cancellation to a daemon. Repeating it is safe.
func (c *JobCancel) Run(e *cli.Environment) error {
	if err := cli.RequireArgument("ID", c.ID, "the ID of a job"); err != nil {
		return err
	}
	client, err := e.FleetClient()
	if err != nil {
		return err
	}
	if err := client.CancelJob(e.Context, oas.CancelJobParams{ID: c.ID}); err != nil {
		return &cli.ChangeError{Advice: "Run `samphirestile job show " + c.ID + "`; cancelling again changes nothing.", Cause: err}
	}
	return e.Print(map[string]string{"job": c.ID, "state": "cancelled"}, cli.Table{Rows: [][]string{{"job " + c.ID + " is cancelled"}}})
}
