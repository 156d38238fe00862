package main

import (
	"errors"
	"fmt"
	"time"
)

func init() {
	scenarios["schedule"] = scenario{bounds: bounds{stopGrace: 200 * time.Millisecond}, run: slowClocks}
}

const (
	workerUptime  = time.Hour
	occurrences   = 3
	interval      = 2 * time.Second
	scheduledWork = 400 * time.Millisecond
	// finishTime is finish_s of the settings, idleTime how long a job may have nothing running after it.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// clockRates are the rates of the workers' clocks: a clock may be 2% slow.
var clockRates = []float64{1, 0.99, 0.985, 0.98}

// slowClocks hands in a scheduled job while the workers' clocks are slow within the limit of the pages.
func slowClocks(c *cell, trouble bool) ([]string, error) {
	rates := clockRates
	err := c.addWorkers(len(rates), func(w *simWorker) {
		w.uptime = workerUptime
		if trouble {
			w.rate, rates = rates[0], rates[1:]
		}
	})
	if err != nil {
		return nil, err
	}
	if err := c.configure(0); err != nil {
		return nil, err
	}
	if err := c.startDaemons(3); err != nil {
		return nil, err
	}
	id, due := newID(), time.Now().Add(2*time.Second)
	c.tasks.describe(id, 0, taskKind{cpu: 1000, mem: 1000, work: scheduledWork})
	err = c.submit(id, map[string]any{
		"maxRuns": occurrences, "startTimeMs": due.UnixMilli(), "intervalMs": interval.Milliseconds(),
		"steps": []any{map[string]any{"count": 2, "cpu": 1000, "memMb": 1000, "estimatedMs": 400}},
	})
	if err != nil {
		return nil, err
	}
	c.rec.note("the first occurrence is due in %v, the last %v later", time.Until(due).Round(time.Millisecond), (occurrences-1)*interval)
	// The rule asks for jobs finish_s after the end of the traffic, and then for 3 s.
	time.Sleep(time.Until(due.Add((occurrences-1)*interval + finishTime)))
	before := len(c.tasks.ofJob(id))
	time.Sleep(idleTime)
	after := c.tasks.ofJob(id)
	state := c.state(id)
	c.rec.note("state %s, %d runs", state, len(after))
	if state == "completed" {
		for _, r := range after {
			if late := r.began.Sub(due); late < -250*time.Millisecond {
				return nil, errors.New("a task was started too early")
			}
		}
		return nil, nil
	}
	for _, r := range after {
		if r.ended.IsZero() || len(after) > before {
			return nil, nil // something runs
		}
	}
	return []string{fmt.Sprintf("job %s has had nothing running for %v, %v after its last occurrence was due; %d runs in all, state %s",
		id, idleTime, finishTime, len(after), state)}, nil
}
