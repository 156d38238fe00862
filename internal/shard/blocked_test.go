package shard_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/worker"
)

var _ = Describe("a job without a worker", func() {
	// submitLongRunning submits jobs with two tasks that run for an hour, and returns the IDs.
	submitLongRunning := func(f *fixture, o *owner, jobs int, step job.Step) {
		step.Count, step.LongRunning = 2, true
		for n := range jobs {
			j := testJob(100+n, step)
			for i := range step.Count {
				f.setBehaviour(fmt.Sprintf("%s.0.0.%d", j.ID, i), cluster.Behaviour{Duration: time.Hour})
			}
			o.submit(j)
		}
	}
	completes := func(o *owner, j job.Job) {
		o.submit(j)
		Eventually(o.state, callTimeout).WithArguments(j.ID).Should(Equal("completed"))
	}

	// Guards against long-running tasks that keep all workers from other tasks, although none can ever take them.
	simulatedIt("reserves no worker that has no room for it", func(f *fixture) {
		o := f.startOwner()
		submitLongRunning(f, o, 1, job.Step{Need: worker.Resources{CPU: 3000, MemMB: 100}, MaxPerWorker: 1})
		Eventually(func() int { return f.worker("w0").Running() * f.worker("w1").Running() }, callTimeout).Should(Equal(1))
		for n := range 3 {
			o.submit(testJob(10+n, job.Step{Need: worker.Resources{CPU: 6000}, LongRunning: true}))
		}
		time.Sleep(time.Second)
		completes(o, testJob(1, job.Step{Count: 2}))
	})
})
