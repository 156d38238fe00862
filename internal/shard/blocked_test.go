package shard_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/shard"
	"samphirestile.example/samphirestile/internal/worker"
)

var _ = Describe("a job without a worker", func() {
	const waitingJobs = 20

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

	// Guards against a pass that ends after a number of jobs without a worker, whatever they lack, and never
	// looks at the jobs behind them.
	simulatedIt("does not keep others from starting", func(f *fixture) {
		o := f.startOwner()
		spread := job.Step{Need: worker.Resources{CPU: 100, MemMB: 100}, MaxPerWorker: 1}
		submitLongRunning(f, o, waitingJobs, spread)
		Eventually(func() int { return f.worker("w0").Running() * f.worker("w1").Running() }, callTimeout).Should(Equal(waitingJobs * waitingJobs))
		f.worker("w0").SetFaults(cluster.WorkerFaults{Unresponsive: true})
		f.workers.Remove("w0")
		time.Sleep(shard.MaxWorkerLease + time.Second)
		completes(o, testJob(1, job.Step{Count: 2}))
	})

	// Guards against one job that lacks a worker, whatever it lacks, that stops all copies of slow runs.
	simulatedIt("does not prevent copies on workers that it cannot use", func(f *fixture) {
		o := f.startOwner()
		f.addWorker("w2").Labels = []string{"b"}
		labelled := testJob(2, job.Step{Count: 3, Need: worker.Resources{CPU: 4000}, LongRunning: true, RequiredLabel: "b"})
		for i := range 3 {
			f.setBehaviour(fmt.Sprintf("%s.0.0.%d", labelled.ID, i), cluster.Behaviour{Duration: time.Hour})
		}
		o.submit(labelled)
		Eventually(f.worker("w2").Running, callTimeout).Should(Equal(2))
		slow := testJob(3, job.Step{Speculative: true, Estimate: 200 * time.Millisecond, RequiredLabel: "a"})
		f.workers.Behaviour = func(t string, number int) cluster.Behaviour {
			if t == string(slow.ID)+".0.0.0" && number > 1 {
				return cluster.Behaviour{Duration: defaultDuration}
			}
			return cluster.Behaviour{Duration: time.Hour}
		}
		completes(o, slow)
	})

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

	// Guards against a count of the time without a worker that begins anew with each end of another task of the
	// job, so that no worker is ever requested.
	simulatedIt("requests workers although other tasks of it keep ending", func(f *fixture) {
		o := f.startOwner()
		j := testJob(1, job.Step{Count: 3, Need: worker.Resources{CPU: 5000, MemMB: 100}, LongRunning: true})
		for _, t := range []string{".0.0.0", ".0.0.2"} {
			f.setBehaviour(string(j.ID)+t, cluster.Behaviour{Duration: time.Hour})
		}
		f.setBehaviour(string(j.ID)+".0.0.1", cluster.Behaviour{Duration: 700 * time.Millisecond, Fails: true})
		o.submit(j)
		Eventually(o.Unplaced, callTimeout).Should(BeTrue())
		Consistently(o.Unplaced, 2*callTimeout).Should(BeTrue())
		f.addWorker("w2")
		Eventually(o.Unplaced, callTimeout).Should(BeFalse())
	})

	// Guards against a request to the other partitions that does not exceed the workers that they count for this one,
	// of which some are missing: it has no effect.
	simulatedIt("requests more workers than are listed, those included that are missing", func(f *fixture) {
		f.addWorker("w2").Missing = true
		f.worker("w2").SetFaults(cluster.WorkerFaults{Unreachable: true})
		o := f.startOwner()
		j := testJob(1, job.Step{Count: 3, Need: worker.Resources{CPU: 5000, MemMB: 100}, LongRunning: true})
		for i := range 3 {
			f.setBehaviour(fmt.Sprintf("%s.0.0.%d", j.ID, i), cluster.Behaviour{Duration: time.Hour})
		}
		o.submit(j)
		wanted := func() int {
			_, err := o.Demand(context.Background(), nil)
			Expect(err).NotTo(HaveOccurred())
			return o.Wanted()
		}
		Eventually(wanted, callTimeout).Should(BeNumerically(">", 3))
	})
})
