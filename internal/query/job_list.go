package query

import (
	"fmt"

	"samphirestile.example/samphirestile/internal/cli"
	"samphirestile.example/samphirestile/internal/fleetapi/oas"
)

// JobList lists unfinished jobs.
type JobList struct {
	Pool  string `help:"Only the jobs of this pool."`
	Limit int    `default:"100" help:"The most jobs of each pool, 1 to 1000."`
}

// Run prints a row for each job, oldest first.
func (c *JobList) Run(e *cli.Environment) error {
	client, err := e.FleetClient()
	if err != nil {
		return err
	}
	list, err := client.ListJobs(e.Context, oas.ListJobsParams{Pool: optString(c.Pool), Limit: oas.NewOptInt(c.Limit)})
	if err != nil {
		return err
	}
	t := cli.Table{Header: []string{"ID", "POOL", "QUEUE", "ACCOUNT", "STATE", "AGE_MS", "OBJECTIVE_MS", "DONE"}}
	for _, job := range list {
		t.Add(job.ID, job.Pool, job.Queue, job.ClientAccount.Or("-"), job.State, job.AgeMs, job.ObjectiveMs, fmt.Sprintf("%d/%d", job.TasksDone, job.Tasks))
	}
	return e.Print(list, t)
}
