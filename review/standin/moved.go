package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() {
	scenarios["moved"] = scenario{bounds: bounds{stopGrace: 200 * time.Millisecond}, run: movedQueue}
}

const (
	newService  = "xano55b"
	otherPrefix = "/tije37/"
	movedTasks  = 8
	movedWork   = 9 * time.Second
	// applyTime is configApplyMs and visibleTime is visible_ms of the settings.
	applyTime   = 2 * time.Second
	visibleTime = 3 * time.Second
)

// movedQueue accepts a job, and then a configuration sends its queue to another service. The client asks
// for the job, and its submission arrives a second time.
func movedQueue(c *cell, trouble bool) ([]string, error) {
	services := []string{service, newService}
	for _, s := range services {
		if err := c.addWorkers(4, func(w *simWorker) { w.service = s }); err != nil {
			return nil, err
		}
	}
	other := queue{"r-2", otherPrefix, service}
	if err := c.writeConfiguration(7, 0, services, queue{"r-1", queuePrefix, service}, other); err != nil {
		return nil, err
	}
	if err := c.startDaemons(3); err != nil {
		return nil, err
	}
	id := newID()
	c.tasks.describe(id, 0, taskKind{cpu: 2000, mem: 2000, work: movedWork})
	job := map[string]any{"steps": []any{map[string]any{"count": movedTasks, "cpu": 2000, "memMb": 2000, "estimatedMs": movedWork.Milliseconds()}}}
	if err := c.submit(id, job); err != nil {
		return nil, err
	}
	accepted := time.Now()
	if !await(5*time.Second, func() bool { return len(c.tasks.ofJob(id)) >= movedTasks }) {
		return nil, fmt.Errorf("%d of %d tasks started", len(c.tasks.ofJob(id)), movedTasks)
	}
	if trouble {
		if err := c.writeConfiguration(8, 0, services, queue{"r-3", queuePrefix, newService}, other); err != nil {
			return nil, err
		}
	}
	time.Sleep(max(applyTime, time.Until(accepted.Add(visibleTime))) + 500*time.Millisecond)
	var broken []string
	for _, d := range c.daemons {
		if status, _ := c.call(d, http.MethodGet, id, nil); status == http.StatusGone {
			broken = append(broken, fmt.Sprintf("LOST: GET for the accepted job %s is answered 410 by %s, %v after the acknowledgement", id, d.name,
				time.Since(accepted).Round(time.Millisecond)))
		}
	}
	// The same submission arrives again, seconds after its 2xx.
	body, err := json.Marshal(job)
	if err != nil {
		return nil, err
	}
	c.call(c.daemons[0], http.MethodPost, id, body)
	time.Sleep(movedWork + 3*time.Second)
	c.state(id)
	for _, v := range c.tasks.twice() {
		broken = append(broken, "TWICE: "+v)
	}
	return broken, nil
}
