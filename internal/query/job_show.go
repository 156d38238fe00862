package query

import (
	"fmt"

	"samphirestile.example/samphirestile/internal/cli"
	"samphirestile.example/samphirestile/internal/fleetapi/oas"
)

// JobShow shows one job with its steps and runs.
type JobShow struct {
	ID string `arg:"" help:"Job ID."`
}

// Run prints a row for the job, for each step and for each run.
func (c *JobShow) Run(e *cli.Environment) error {
	if err := cli.RequireArgument("ID", c.ID, "the ID of a job"); err != nil {
		return err
	}
	client, err := e.FleetClient()
	if err != nil {
		return err
	}
	j, err := client.GetJob(e.Context, oas.GetJobParams{ID: c.ID})
	if err != nil {
		return err
	}
	t := cli.Table{Header: []string{"WHAT", "STATE", "DONE", "DETAIL"}}
	t.Add("job "+j.ID, j.State, fmt.Sprintf("%d/%d", j.TasksDone, j.Tasks),
		fmt.Sprintf("pool %s, queue %s, account %s, age %d ms, objective %d ms", j.Pool, j.Queue, j.ClientAccount.Or("-"), j.AgeMs, j.ObjectiveMs))
	for _, s := range j.Steps {
		state := "waits for earlier steps"
		if s.Ready {
			state = "ready"
		}
		t.Add(fmt.Sprintf("step %d.%d", s.Occurrence, s.Step), state, fmt.Sprintf("%d/%d", s.Done, s.Tasks), fmt.Sprintf("%d failed runs", s.FailedRuns))
	}
	for _, r := range j.Runs {
		state := "running"
		if r.Stopping {
			state = "stopping"
		}
		t.Add("run "+r.Task, state, fmt.Sprintf("%d%%", r.Percent), fmt.Sprintf("number %d on %s since %d ms", r.Number, r.Worker, r.AgeMs))
	}
	return e.Print(j, t)
}
