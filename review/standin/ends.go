package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

func init() {
	scenarios["ends"] = scenario{bounds: bounds{stopGrace: 200 * time.Millisecond}, run: manyEnds}
}

const (
	smallJobs = 58
	// smallTasks is the width of a wide job of the site file.
	smallTasks = 24
	smallWork  = 2000 * time.Millisecond
)

// manyEnds kills the owner while many small tasks run. They end before the next owner has contacted the workers,
// so that each worker has more ends to list than one answer holds.
func manyEnds(c *cell, trouble bool) ([]string, error) {
	if err := c.addWorkers(2, nil); err != nil {
		return nil, err
	}
	if err := c.configure(0); err != nil {
		return nil, err
	}
	if err := c.startDaemons(3); err != nil {
		return nil, err
	}
	var ids []string
	for range smallJobs {
		id := newID()
		c.tasks.describe(id, 0, taskKind{cpu: 40, mem: 90, work: smallWork})
		job := map[string]any{"steps": []any{map[string]any{"count": smallTasks, "cpu": 40, "memMb": 90, "estimatedMs": smallWork.Milliseconds()}}}
		if err := c.submit(id, job); err != nil {
			return nil, err
		}
		ids = append(ids, id)
	}
	if !await(10*time.Second, func() bool { return c.tasks.started() >= smallJobs*smallTasks }) {
		return nil, fmt.Errorf("%d of %d tasks started", c.tasks.started(), smallJobs*smallTasks)
	}
	// The tasks end within a second from now.
	time.Sleep(time.Until(c.tasks.ofJob(ids[0])[0].began.Add(smallWork - 100*time.Millisecond)))
	if trouble {
		d, err := c.awaitOwner()
		if err != nil {
			return nil, err
		}
		if err := c.signal(d, syscall.SIGKILL); err != nil {
			return nil, err
		}
		if err := c.restart(d); err != nil {
			return nil, err
		}
	}
	for _, id := range ids {
		if !await(30*time.Second, func() bool { time.Sleep(clientPause / 10); return c.state(id) == "completed" }) {
			return nil, errors.New("a job is not completed")
		}
	}
	time.Sleep(2 * time.Second) // the last ends are taken note of
	return c.tasks.twice(), nil
}
