package main

import (
	"context"
	"fmt"
	"time"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/emulator/jobcell"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/shard"
	"samphirestile.example/samphirestile/internal/worker"
)

// jobsCommand runs jobs on an emulated store and emulated workers, and kills the owner
// of their shard while they run.
type jobsCommand struct {
	Jobs int `default:"20" help:"Number of jobs."`
}

const (
	jobsService      = fleet.ServiceID("quotes")
	jobsWorkers      = 4
	jobsTaskDuration = 150 * time.Millisecond
	// jobsTimeout covers the lease of the killed owner and the remaining work.
	jobsTimeout = 20 * time.Second
)

// Run returns nil only if every job completes and the history of task runs violates no rule.
func (c *jobsCommand) Run() error {
	s := cluster.NewStore()
	w := &cluster.Workers{Behaviour: func(string, int) cluster.Behaviour { return cluster.Behaviour{Duration: jobsTaskDuration} }}
	for i := range jobsWorkers {
		w.Add(worker.Worker{
			ID: worker.ID(fmt.Sprintf("w%d", i)), Service: jobsService, Capacity: worker.Resources{CPU: 16_000, MemMB: 64_000},
		})
	}
	first := jobcell.StartDaemon(s, w, jobsService, "first")
	defer first.Kill()
	if err := await(func() bool { return first.Owner() != nil && ready(first.Owner()) }); err != nil {
		return err
	}
	fmt.Printf("started the store, %d workers and the owner of the shard\n", jobsWorkers)
	second := jobcell.StartDaemon(s, w, jobsService, "second")
	defer second.Kill()
	for n := range c.Jobs {
		if err := first.Owner().Submit(context.Background(), demoJob(n)); err != nil {
			return &UnexpectedError{Step: "submit", Detail: err.Error()}
		}
	}
	fmt.Printf("%d jobs accepted; the owner is lost\n", c.Jobs)
	first.Kill()
	killedAt := time.Now()
	err := await(func() bool { return second.Owner() != nil && completed(second.Owner(), c.Jobs) })
	if err != nil {
		return err
	}
	if violations := cluster.Check(w.History.Events(), cluster.Expectation{}); len(violations) > 0 {
		return &UnexpectedError{Step: "history", Detail: violations[0].String()}
	}
	fmt.Printf("another daemon completed all jobs %d ms after the loss; no task ran twice\n", time.Since(killedAt).Milliseconds())
	return nil
}

// ready reports whether the owner accepts requests.
func ready(o *shard.Owner) bool {
	_, err := o.Waiting(context.Background(), shard.Queue{})
	return err == nil
}

func demoJob(n int) job.Job {
	step := func(after ...int) job.Step {
		return job.Step{Count: 4, Need: worker.Resources{CPU: 2000, MemMB: 1000}, Estimate: jobsTaskDuration, After: after}
	}
	return job.Job{
		ID: job.ID(fmt.Sprintf("%016x", n)), Queue: "quotes", Service: jobsService, Steps: []job.Step{step(), step(0)},
		Stretch: 2, Objective: jobsTimeout, MaxAttempts: 2,
	}
}

// completed reports whether all jobs have completed.
func completed(o *shard.Owner, jobs int) bool {
	for n := range jobs {
		if state, err := o.State(context.Background(), demoJob(n).ID); err != nil || state != job.Completed {
			return false
		}
	}
	return true
}

// await polls done until it returns true, for at most jobsTimeout.
func await(done func() bool) error {
	for deadline := time.Now().Add(jobsTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if done() {
			return nil
		}
	}
	return &UnexpectedError{Step: "wait", Detail: "condition not met within " + jobsTimeout.String()}
}
