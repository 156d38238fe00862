package command

import (
	"samphirestile.example/samphirestile/internal/cli"
	"samphirestile.example/samphirestile/internal/fleetapi/oas"
)

// WorkerReopen reopens a worker to new tasks.
type WorkerReopen struct {
	ID   string `arg:"" help:"Worker ID."`
	Pool string `required:"" help:"Pool of the worker."`
}

// Run sends the request to a daemon. Repeating it is safe.
func (c *WorkerReopen) Run(e *cli.Environment) error {
	client, err := e.FleetClient()
	if err != nil {
		return err
	}
	if err := client.ReopenWorker(e.Context, oas.ReopenWorkerParams{ID: c.ID, Pool: c.Pool}); err != nil {
		return &cli.ChangeError{Advice: "Repeat the command; opening a worker twice changes nothing.", Cause: err}
	}
	return e.Print(map[string]string{"worker": c.ID}, cli.Table{Rows: [][]string{{"worker " + c.ID + " is open"}}})
}
