package main

import "time"

// slowClock submits a scheduled job to minions that have been up for an hour, with steady clocks that are 1% slow.
func slowClock(c *cell, _ bool) (verdict, error) {
	const times, tasks = 3, 2
	due := time.Now().Add(6 * time.Second)
	steps := []step{{Count: tasks, CPU: 1000, MemMB: 256, EstimatedMS: 300, workMS: 300}}
	if !c.submit(exampleID, steps, map[string]any{"maxRuns": times, "startTimeMs": due.UnixMilli(), "intervalMs": 1000}) {
		return notRun, errNotAccepted
	}
	trafficEnd := time.Now()
	time.Sleep(time.Until(trafficEnd.Add(finishDelay)))
	c.record.add("judge: %.1f s after the end of the traffic, %.1f s after the first due time", time.Since(trafficEnd).Seconds(), time.Since(due).Seconds())
	c.state(exampleID)
	v := c.judgeIdle(exampleID, times*tasks, 45*time.Second)
	c.state(exampleID)
	return v, nil
}
