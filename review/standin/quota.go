package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() {
	scenarios["quota"] = scenario{bounds: bounds{stopGrace: 200 * time.Millisecond}, run: cancelAndRestart}
}

const (
	limitCPU      = 32_000
	quotaOverage  = 0.1
	quotaTaskCPU  = 2_000
	quotaJobTasks = limitCPU / quotaTaskCPU
	quotaRounds   = 6
)

// cancelAndRestart cancels a job of a tenant at its limit and restarts the owner while the job's tasks
// are being stopped. Another job of the tenant waits for the limit.
func cancelAndRestart(c *cell, trouble bool) ([]string, error) {
	if err := c.addWorkers(4, nil); err != nil {
		return nil, err
	}
	if err := c.configure(limitCPU); err != nil {
		return nil, err
	}
	if err := c.startDaemons(3); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var broken []string
	c.tasks.mu.Lock()
	c.tasks.onRun = func(r *run) {
		if used := c.tasks.inUse(tenant); float64(used) > limitCPU*(1+quotaOverage)+quotaTaskCPU {
			mu.Lock()
			defer mu.Unlock()
			broken = append(broken, fmt.Sprintf("the start of %s brings the tenant to %d thousandths of a core, its limit is %d", r.task, used, limitCPU))
		}
	}
	c.tasks.mu.Unlock()
	for range quotaRounds {
		if err := cancelRound(c, trouble); err != nil {
			return nil, err
		}
	}
	mu.Lock()
	defer mu.Unlock()
	return broken, nil
}

func cancelRound(c *cell, trouble bool) error {
	first, second := newID(), newID()
	for _, id := range []string{first, second} {
		c.tasks.describe(id, 0, taskKind{tenant: tenant, cpu: quotaTaskCPU, mem: 1000, work: 4 * time.Second})
		job := map[string]any{"steps": []any{map[string]any{"count": quotaJobTasks, "cpu": quotaTaskCPU, "memMb": 1000, "estimatedMs": 4000}}}
		if err := c.submit(id, job); err != nil {
			return err
		}
	}
	if !await(10*time.Second, func() bool { return len(c.tasks.ofJob(first)) >= quotaJobTasks }) {
		return fmt.Errorf("the first job has %d runs", len(c.tasks.ofJob(first)))
	}
	time.Sleep(300 * time.Millisecond)
	d, err := c.awaitOwner()
	if err != nil {
		return err
	}
	if status, _ := c.repeat("DELETE", first, nil, 5*time.Second); status/100 != 2 {
		return fmt.Errorf("cancel answered %d", status)
	}
	if trouble {
		if err := c.signal(d, syscall.SIGTERM); err != nil {
			return err
		}
	}
	if !await(20*time.Second, func() bool { time.Sleep(clientPause); return c.state(second) == "completed" }) {
		return fmt.Errorf("job %s is not completed", second)
	}
	if trouble {
		return c.restart(d)
	}
	return nil
}
