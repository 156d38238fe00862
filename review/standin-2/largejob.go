package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// largeJob hands in a scheduled job: 80 times, half a second apart, 1,000 short tasks and a last one of 17 s. With trouble, a rack
// of minions crashes for 7 s meanwhile. Then four other jobs of the queue are cancelled.
func largeJob(c *cell, trouble bool) (verdict, error) {
	const occurrences, tasks = 80, 1_000
	c.fleet.quiet = true
	other := func(i int) string { return fmt.Sprintf("aa0e7a21d94b%04x", i) }
	for i := range 4 {
		if !c.submit(other(i), []step{{Count: 1, CPU: 1000, MemMB: 256, EstimatedMS: 90_000, workMS: 90_000}}, nil) {
			return notRun, errNotAccepted
		}
	}
	steps := []step{
		{Count: tasks, CPU: 200, MemMB: 100, EstimatedMS: 100, workMS: 100},
		{Count: 1, CPU: 200, MemMB: 100, EstimatedMS: 17_000, After: []int{0}, workMS: 17_000},
	}
	if !c.submit(exampleID, steps, map[string]any{"maxRuns": occurrences, "startTimeMs": time.Now().UnixMilli(), "intervalMs": 500}) {
		return notRun, errNotAccepted
	}
	accepted := time.Now()
	time.Sleep(time.Until(accepted.Add(18 * time.Second)))
	if trouble {
		for _, m := range c.fleet.minions[:minionCount/2] {
			m.crash()
		}
		time.AfterFunc(7*time.Second, func() {
			if err := c.addMinions(minionCount / 2); err != nil {
				c.record.add("minions not added: %v", err)
			}
		})
	}
	v := held
	for time.Since(accepted) < 72*time.Second {
		if v = c.judgeIdle(exampleID, occurrences*(tasks+1), 5*time.Second); v == broken {
			break
		}
	}
	c.state(exampleID)
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() {
			sent := time.Now()
			for n := 0; time.Since(sent) < ackLimit; n++ {
				status, _ := c.call(c.nodes[(i+n)%len(c.nodes)], http.MethodDelete, 0, other(i), nil, clientDeadline)
				if status == http.StatusOK || status == http.StatusGone {
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
			c.record.add("judge: Acks: the cancel of %s has had no 2xx or 410 for %.1f s", other(i), time.Since(sent).Seconds())
		})
	}
	group.Wait()
	return v, nil
}
