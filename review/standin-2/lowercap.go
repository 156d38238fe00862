package main

import "time"

// lowerCap lowers the cap of the tenant from 24 cores to 12, and hands in a job with a task of 11 cores. Nothing else runs.
func lowerCap(c *cell, trouble bool) (verdict, error) {
	time.Sleep(settleTime)
	if trouble {
		c.capCPU = 12_000
		if err := c.configure(); err != nil {
			return notRun, err
		}
	}
	time.Sleep(settleTime)
	steps := []step{{Count: 1, CPU: 11_000, MemMB: 256, EstimatedMS: 500, workMS: 500}}
	if !c.submit(exampleID, steps, nil) {
		return notRun, errNotAccepted
	}
	time.Sleep(finishDelay)
	return c.judgeIdle(exampleID, 1, 20*time.Second), nil
}
