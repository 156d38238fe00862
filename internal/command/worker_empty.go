package command

import (
	"fmt"
	"time"

	"samphirestile.example/samphirestile/internal/cli"
	"samphirestile.example/samphirestile/internal/fleetapi/oas"
)

// emptyInterval is the delay between two requests. Each request keeps the worker closed for
// 3 s.
const emptyInterval = time.Second

// WorkerEmpty closes a worker to new tasks and moves its runs to other workers.
type WorkerEmpty struct {
	ID     string        `arg:"" help:"Worker ID."`
	Pool   string        `required:"" help:"Pool of the worker."`
	Within time.Duration `default:"30s" help:"Time after which to give up."`
	Keep   time.Duration `help:"Time for which to keep the worker closed after it is empty."`
}

// NotEmptyError reports a worker that still runs tasks.
type NotEmptyError struct {
	Worker string
	After  time.Duration
}

func (e *NotEmptyError) Error() string {
	return fmt.Sprintf("worker %s is not empty after %v; it accepts tasks again in 3 s", e.Worker, e.After)
}

// Run repeats the request until the worker is empty and Keep has elapsed.
func (c *WorkerEmpty) Run(e *cli.Environment) error {
	client, err := e.FleetClient()
	if err != nil {
		return err
	}
	start := time.Now()
	var emptySince time.Time
	for {
		r, err := client.EmptyWorker(e.Context, oas.EmptyWorkerParams{ID: c.ID, Pool: c.Pool})
		if err != nil {
			return &cli.ChangeError{Advice: "Repeat the command; emptying a worker twice changes nothing.", Cause: err}
		}
		switch {
		case !r.Empty && time.Since(start) > c.Within+c.Keep:
			return &NotEmptyError{c.ID, c.Within}
		case r.Empty && emptySince.IsZero():
			emptySince = time.Now()
		}
		if r.Empty && time.Since(emptySince) >= c.Keep {
			return e.Print(r, cli.Table{Rows: [][]string{{"worker " + c.ID + " is empty"}}})
		}
		select {
		case <-e.Context.Done():
			return e.Context.Err()
		case <-time.After(emptyInterval):
		}
	}
}
