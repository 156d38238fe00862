package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	scenarios["hang"] = scenario{bounds: bounds{stopGrace: 200 * time.Millisecond}, run: largeJob}
}

const (
	// largeTasks is the width of the large job, usualTasks that of the job without the disruption.
	largeTasks, usualTasks = 16_500, 8_000
	// largeCPU and largeMem let some thousand tasks run at the same time.
	largeCPU, largeMem = 64, 60
	// checkpointBytes is the length of the text that a worker returns as a checkpoint.
	checkpointBytes = 32
	otherJobs       = 4
	// ackTime is ackMs of the settings.
	ackTime = 4 * time.Second
	// stuckAttempts is how often the store has refused a value that is too large before the case goes on.
	stuckAttempts = 20
)

// largeJob hands in a large job of tasks that save checkpoints. Other jobs, accepted before, are cancelled
// once all of its tasks have ended.
func largeJob(c *cell, trouble bool) ([]string, error) {
	if err := c.addWorkers(8, nil); err != nil {
		return nil, err
	}
	if err := c.configure(0); err != nil {
		return nil, err
	}
	if err := c.startDaemons(3); err != nil {
		return nil, err
	}
	var others []string
	for range otherJobs {
		id := newID()
		c.tasks.describe(id, 0, taskKind{cpu: 100, mem: 100, lasts: true})
		job := map[string]any{"steps": []any{map[string]any{"count": 1, "cpu": 100, "memMb": 100, "longRunning": true}}}
		if err := c.submit(id, job); err != nil {
			return nil, err
		}
		others = append(others, id)
	}
	large := newID()
	width := usualTasks
	if trouble {
		width = largeTasks
	}
	c.tasks.describe(large, 0, taskKind{cpu: largeCPU, mem: largeMem, work: 1200 * time.Millisecond, savedBytes: checkpointBytes})
	job := map[string]any{"steps": []any{map[string]any{
		"count": width, "cpu": largeCPU, "memMb": largeMem, "estimatedMs": 1200, "checkpointing": true,
	}}}
	if err := c.submit(large, job); err != nil {
		return nil, err
	}
	done := func() int {
		n := 0
		for _, r := range c.tasks.ofJob(large) {
			if r.how == "done" {
				n++
			}
		}
		return n
	}
	state := ""
	await(70*time.Second, func() bool {
		time.Sleep(time.Second)
		state = c.state(large)
		return state == "completed" || done() >= width && c.refusedValues() >= stuckAttempts
	})
	c.rec.note("%d of %d tasks of the large job have ended done, its state is %s", done(), width, state)
	time.Sleep(ackTime)
	runs := c.tasks.ofJob(large)
	ended, noted := 0, 0
	for _, r := range runs {
		if !r.ended.IsZero() {
			ended++
			if r.noted {
				noted++
			}
		}
	}
	c.rec.note("large job: %s; %d runs have ended, %d ends were taken note of; the store refused %d transactions with a value that is too large",
		c.state(large), ended, noted, c.refusedValues())
	var unanswered atomic.Int32
	var group sync.WaitGroup
	for _, id := range others {
		group.Go(func() {
			if status, _ := c.repeat("DELETE", id, nil, ackTime+time.Second); status/100 != 2 && status != 410 {
				unanswered.Add(1)
			}
		})
	}
	group.Wait()
	var broken []string
	if unanswered.Load()*10 > otherJobs {
		broken = append(broken, fmt.Sprintf("%d of %d cancels of accepted jobs have no 2xx and no 410 after %v without any disruption of the store", unanswered.Load(), otherJobs, ackTime))
	}
	if (ended-noted)*5 > ended {
		broken = append(broken, fmt.Sprintf("%d of %d ends that the workers list are not taken note of", ended-noted, ended))
	}
	return broken, nil
}

// refusedValues returns how many transactions the store has refused because of a value that is too large.
func (c *cell) refusedValues() int {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.store.tooLarge
}
