package main

import (
	"syscall"
	"time"
)

// gang runs a job whose first step is a gang of two. With trouble, the machine of the owner loses power for 3.5 s while the gang
// works, and one of its two minions crashes after the gang has ended. Ten seconds later the owner is restarted as planned.
func gang(c *cell, trouble bool) (verdict, error) {
	const tasks = 5
	if !c.submit(exampleID, []step{
		{Count: 2, CPU: 1000, MemMB: 256, EstimatedMS: 2500, Gang: true, MaxPerServer: 1, workMS: 2500},
		{Count: 1, CPU: 1000, MemMB: 256, EstimatedMS: 14_000, After: []int{0}, workMS: 14_000},
		{Count: 2, CPU: 1000, MemMB: 256, EstimatedMS: 300, After: []int{0, 1}, workMS: 300},
	}, nil) {
		return notRun, errNotAccepted
	}
	accepted := time.Now()
	if trouble {
		time.Sleep(time.Until(accepted.Add(1700 * time.Millisecond)))
		owner := c.owner()
		if owner == nil {
			return notRun, errNoOwner
		}
		owner.signal(syscall.SIGKILL)
		time.AfterFunc(3500*time.Millisecond, func() { _ = owner.start() })
		time.Sleep(time.Until(accepted.Add(2700 * time.Millisecond)))
		c.crashMinionOf(exampleID + ".0.0.1")
	}
	time.Sleep(time.Until(accepted.Add(12 * time.Second)))
	if err := c.restartOwner(); err != nil {
		return notRun, err
	}
	time.Sleep(time.Until(accepted.Add(finishDelay + 10*time.Second)))
	v := c.judgeIdle(exampleID, tasks, 20*time.Second)
	c.state(exampleID)
	return v, nil
}
