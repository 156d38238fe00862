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
	wideTasks = 1400
	wideWork  = 2000 * time.Millisecond
)

// manyEnds kills the owner while a wide step runs. The tasks end before the next owner has contacted the
// workers, so that each worker has more ends to list than one answer holds.
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
	id := newID()
	c.tasks.describe(id, 0, taskKind{cpu: 40, mem: 90, work: wideWork})
	if err := c.submit(id, map[string]any{"steps": []any{map[string]any{"count": wideTasks, "cpu": 40, "memMb": 90, "estimatedMs": 2000}}}); err != nil {
		return nil, err
	}
	started := func() int { return len(c.tasks.ofJob(id)) }
	if !await(10*time.Second, func() bool { return started() >= wideTasks }) {
		return nil, fmt.Errorf("%d of %d tasks started", started(), wideTasks)
	}
	// The tasks end within a second from now.
	time.Sleep(time.Until(c.tasks.ofJob(id)[0].began.Add(wideWork - 200*time.Millisecond)))
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
	if !await(40*time.Second, func() bool { time.Sleep(clientPause); return c.state(id) == "completed" }) {
		return nil, errors.New("the job is not completed")
	}
	time.Sleep(2 * time.Second) // the last ends are taken note of
	return c.tasks.twice(), nil
}
