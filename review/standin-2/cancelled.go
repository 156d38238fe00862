package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	cancelledJobs = 80
	// slowAnswer is the time of an answer of the store that takes 60 times the usual 4 ms.
	slowAnswer = 240 * time.Millisecond
	// retentionSlack is how much longer than status_s the state of a job is kept.
	retentionSlack = 12 * time.Second
)

// cancelled cancels 80 jobs at once. With trouble the store is slow meanwhile and the owner is killed. After status_s the owner
// is restarted as planned.
func cancelled(c *cell, trouble bool) (verdict, error) {
	id := func(i int) string { return fmt.Sprintf("5c0e7a21d94b%04x", i) }
	accepted := make([]bool, cancelledJobs)
	forEachJob(func(i int) {
		accepted[i] = c.submit(id(i), []step{{Count: 1, CPU: 1000, MemMB: 256, EstimatedMS: 60_000, workMS: 60_000}}, nil)
	})
	time.Sleep(time.Second)
	if trouble {
		c.slowStore(slowAnswer)
	}
	var killed sync.WaitGroup
	if trouble {
		killed.Go(func() {
			time.Sleep(800 * time.Millisecond)
			if owner := c.owner(); owner != nil {
				owner.signal(syscall.SIGKILL)
				time.AfterFunc(time.Second, func() { _ = owner.start() })
			}
		})
	}
	acked := make([]time.Time, cancelledJobs)
	forEachJob(func(i int) {
		if i > 0 {
			// The record of the first cancel is on its way, so those of the others are written together.
			time.Sleep(50 * time.Millisecond)
		}
		if accepted[i] {
			acked[i] = c.cancel(id(i), i)
		}
	})
	killed.Wait()
	c.slowStore(0)
	last := time.Now()
	n := 0
	for _, at := range acked {
		if !at.IsZero() {
			n++
		}
	}
	c.record.add("judge: %d of %d cancels are acknowledged", n, cancelledJobs)
	c.recordCounts()
	// Small jobs go on until the state of the cancelled ones need not be kept any more.
	for i := 0; time.Since(last) < time.Duration(c.scene.statusS)*time.Second+retentionSlack; i++ {
		c.submit(fmt.Sprintf("aa0e7a21d94b%04x", i), []step{{Count: 1, CPU: 1000, MemMB: 256, EstimatedMS: 100, workMS: 100}}, nil)
		time.Sleep(time.Second)
	}
	if err := c.restartOwner(); err != nil {
		return notRun, err
	}
	time.Sleep(5 * time.Second)
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	v := held
	for i, at := range acked {
		task := id(i) + ".0.0.0"
		if late := c.fleet.lastStart[task].Sub(at); !at.IsZero() && late > cancelLimit {
			v = broken
			c.record.add("judge: UNASKED: %s was started %.1f s after the cancelling of its job was acknowledged", task, late.Seconds())
		}
	}
	return v, nil
}

// forEachJob calls f for all jobs at the same time.
func forEachJob(f func(i int)) {
	var group sync.WaitGroup
	for i := range cancelledJobs {
		group.Go(func() { f(i) })
	}
	group.Wait()
}

// cancel cancels a job, and repeats the call at other daemons until it is acknowledged. It returns when that was.
func (c *cell) cancel(id string, first int) time.Time {
	for try := range 20 {
		status, _ := c.call(c.nodes[(first+try)%len(c.nodes)], http.MethodDelete, 0, id, nil, clientDeadline)
		if status == http.StatusOK || status == http.StatusGone {
			return time.Now()
		}
		time.Sleep(300 * time.Millisecond)
	}
	return time.Time{}
}
