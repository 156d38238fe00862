package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() {
	scenarios["orphan"] = scenario{bounds: bounds{stopGrace: 200 * time.Millisecond}, run: orphanedJobs}
}

const (
	orphanSteps = 5
	orphanTasks = 6
	orphanWork  = 3 * time.Second
)

// orphanedJobs accepts a job of some steps, and then a configuration sends its queue to another service, so that
// no queue is left for the first one. The daemons are restarted in turn.
func orphanedJobs(c *cell, trouble bool) ([]string, error) {
	services := []string{service, newService}
	for _, s := range services {
		if err := c.addWorkers(4, func(w *simWorker) { w.service = s }); err != nil {
			return nil, err
		}
	}
	if err := c.writeConfiguration(7, 0, services, queue{"r-1", queuePrefix, service}, queue{"r-2", otherPrefix, newService}); err != nil {
		return nil, err
	}
	if err := c.startDaemons(3); err != nil {
		return nil, err
	}
	id := newID()
	var steps []any
	for i := range orphanSteps {
		step := map[string]any{"count": orphanTasks, "cpu": 2000, "memMb": 2000, "estimatedMs": orphanWork.Milliseconds()}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		steps = append(steps, step)
		c.tasks.describe(id, i, taskKind{cpu: 2000, mem: 2000, work: orphanWork})
	}
	if err := c.submit(id, map[string]any{"steps": steps}); err != nil {
		return nil, err
	}
	if trouble {
		if err := c.writeConfiguration(8, 0, services, queue{"r-3", queuePrefix, newService}, queue{"r-2", otherPrefix, newService}); err != nil {
			return nil, err
		}
	}
	time.Sleep(applyTime)
	for _, d := range c.daemons {
		if err := c.signal(d, syscall.SIGTERM); err != nil {
			return nil, err
		}
		if err := c.restart(d); err != nil {
			return nil, err
		}
	}
	traffic := time.Now()
	time.Sleep(finishTime)
	before := len(c.tasks.ofJob(id))
	time.Sleep(idleTime)
	runs := c.tasks.ofJob(id)
	done := map[string]bool{}
	for _, r := range runs {
		if r.ended.IsZero() || len(runs) > before {
			return nil, nil // something runs
		}
		if r.how == "done" {
			done[r.task] = true
		}
	}
	status, text := c.call(c.daemons[0], http.MethodGet, id, nil)
	c.rec.note("%d of %d tasks have ended done; GET %d %s", len(done), orphanSteps*orphanTasks, status, text)
	if len(done) == orphanSteps*orphanTasks {
		return nil, nil
	}
	return []string{fmt.Sprintf("job %s has had nothing running for %v, %v after the last restart; %d of its %d tasks have ended done",
		id, idleTime, time.Since(traffic).Round(time.Second), len(done), orphanSteps*orphanTasks)}, nil
}
