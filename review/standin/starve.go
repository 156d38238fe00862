package main

import (
	"fmt"
	"time"
)

func init() {
	scenarios["starve"] = scenario{bounds: bounds{stopGrace: 200 * time.Millisecond}, run: starvedJobs}
}

const (
	spreadWorkers = 8
	// spreadJobs jobs last and have one task on each worker.
	spreadJobs = 12
	shortJobs  = 5
	shortTasks = 2
	// noticeTime is longer than the three heartbeats after which the entry of a silent worker is removed, and
	// than the lease of its runs.
	noticeTime = 8 * time.Second
)

// starvedJobs loses one worker for good. Jobs that last have a task on each worker, so that one task of each
// finds none any more. Then short jobs come.
func starvedJobs(c *cell, trouble bool) ([]string, error) {
	if err := c.addWorkers(spreadWorkers, nil); err != nil {
		return nil, err
	}
	if err := c.configure(0); err != nil {
		return nil, err
	}
	if err := c.startDaemons(3); err != nil {
		return nil, err
	}
	for range spreadJobs {
		id := newID()
		c.tasks.describe(id, 0, taskKind{cpu: 500, mem: 1000, lasts: true})
		job := map[string]any{"steps": []any{map[string]any{
			"count": spreadWorkers, "cpu": 500, "memMb": 1000, "longRunning": true, "maxPerServer": 1, "maxUnavailable": 1,
		}}}
		if err := c.submit(id, job); err != nil {
			return nil, err
		}
		if !await(10*time.Second, func() bool { return len(c.tasks.ofJob(id)) >= spreadWorkers }) {
			return nil, fmt.Errorf("%d of %d lasting tasks started", len(c.tasks.ofJob(id)), spreadWorkers)
		}
	}
	if trouble {
		c.lose(c.workers[0])
	}
	time.Sleep(noticeTime)
	var ids []string
	for range shortJobs {
		id := newID()
		c.tasks.describe(id, 0, taskKind{cpu: 500, mem: 500, work: 500 * time.Millisecond})
		job := map[string]any{"steps": []any{map[string]any{"count": shortTasks, "cpu": 500, "memMb": 500, "estimatedMs": 500}}}
		if err := c.submit(id, job); err != nil {
			return nil, err
		}
		ids = append(ids, id)
	}
	// The rule asks for jobs finish_s after the end of the traffic, and then for 3 s.
	time.Sleep(finishTime)
	before := map[string]int{}
	for _, id := range ids {
		before[id] = len(c.tasks.ofJob(id))
	}
	time.Sleep(idleTime)
	var broken []string
	for _, id := range ids {
		state := c.state(id)
		if runs := len(c.tasks.ofJob(id)); runs == before[id] && runs < shortTasks {
			broken = append(broken, fmt.Sprintf("job %s has had nothing running for %v, %v after it was accepted; %d runs in all, state %s", id, idleTime, finishTime, runs, state))
		}
	}
	cpu, capacity := c.inUse()
	c.rec.note("%d of %d thousandths of a core are in use", cpu, capacity)
	if cpu*2 >= capacity {
		return nil, fmt.Errorf("half of the capacity is in use")
	}
	return broken, nil
}

// lose ends a worker for good: nothing runs on it, it answers no more, and its entry is removed after three
// heartbeats.
func (c *cell) lose(w *simWorker) {
	c.rec.note("%s is lost for good", w.id)
	w.mu.Lock()
	w.lost = true
	for _, r := range w.runs {
		w.tasks.finish(r, "lost with its worker")
	}
	w.runs, w.ends, w.used, w.usedMem = map[string]*run{}, nil, 0, 0
	w.mu.Unlock()
	time.AfterFunc(3*heartbeat, func() { c.store.drop("servers/" + w.id) })
}

// inUse returns what the tasks on the workers use and the capacity of the workers, in thousandths of a core.
func (c *cell) inUse() (cpu, capacity int64) {
	for _, w := range c.workers {
		w.mu.Lock()
		if !w.lost {
			cpu, capacity = cpu+w.used, capacity+w.cpu
		}
		w.mu.Unlock()
	}
	return cpu, capacity
}
