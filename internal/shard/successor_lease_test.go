package shard_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
)

// Guards against a second run of a task while the first one holds a lease that the former owner granted by the clock of a
// former incarnation. The worker shortens it to the longest lease, which is longer than those that a successor expects.
var _ = Describe("a worker that restarted under its ID before a change of the owner", func() {
	simulatedIt("keeps the runs that hold a longer lease while the successor cannot reach it", func(f *fixture) {
		f.workers.Remove("w1")
		o := f.startOwner()
		first, second := testJob(1, job.Step{}), testJob(2, job.Step{})
		task := string(second.ID) + ".0.0.0"
		f.setBehaviour(task, cluster.Behaviour{Duration: time.Minute})
		o.submit(first)
		Eventually(o.state, callTimeout).WithArguments(first.ID).Should(Equal("completed"))
		// Idle workers get no heartbeats, so the restart is not known when the next start is sent.
		time.Sleep(20 * time.Second)
		w := f.worker("w0")
		w.Crash()
		o.submit(second)
		Eventually(w.Running, callTimeout).Should(Equal(1))
		time.Sleep(time.Second)
		o.Close()
		o.stop()
		f.addWorker("w1")
		f.startOwner()
		time.Sleep(time.Second)
		w.SetFaults(cluster.WorkerFaults{Unresponsive: true})
		time.Sleep(2 * maxLease)
		events := f.workers.History.Events()
		Expect(f.workers.History.Starts(task)).To(BeNumerically(">", 1))
		Expect(cluster.Check(events, cluster.Expectation{})).To(BeEmpty(), cluster.FormatTask(events, task))
	})
})

// Guards against the same after an owner that was killed: what it knew of the lease is lost with it.
var _ = Describe("a successor of a killed owner", func() {
	// restartBeside starts a run of a long task on w0 by the clock of a former incarnation. The start has no answer if lost is
	// set. It returns the task.
	restartBeside := func(f *fixture, lost bool) (o *owner, task string) {
		f.workers.ListsStarts = true
		f.hide("w1")
		o = f.startOwner()
		first, second := testJob(1, job.Step{}), testJob(2, job.Step{})
		task = string(second.ID) + ".0.0.0"
		f.setBehaviour(task, cluster.Behaviour{Duration: time.Minute})
		o.submit(first)
		time.Sleep(20 * time.Second)
		Expect(o.state(first.ID)).To(Equal("completed"))
		w := f.worker("w0")
		w.Crash()
		if lost {
			w.SetFaults(cluster.WorkerFaults{LoseStartReplies: 1})
		}
		o.submit(second)
		Eventually(w.Running, callTimeout).Should(Equal(1))
		return o, task
	}
	expectOneRun := func(f *fixture, task string) {
		GinkgoHelper()
		events := f.workers.History.Events()
		Expect(f.workers.History.Starts(task)).To(BeNumerically(">", 1))
		Expect(cluster.Check(events, cluster.Expectation{})).To(BeEmpty(), cluster.FormatTask(events, task))
	}
	for _, lost := range []bool{false, true} {
		for _, delay := range []time.Duration{0, 50 * time.Millisecond, 1200 * time.Millisecond} {
			name := fmt.Sprintf("killed %v after the start, answer lost %v", delay, lost)
			simulatedIt("keeps the run on a worker that it reached once, "+name, func(f *fixture) {
				o, task := restartBeside(f, lost)
				time.Sleep(delay)
				o.stop()
				time.Sleep(500 * time.Millisecond)
				f.list("w1")
				f.startOwner()
				time.Sleep(100 * time.Millisecond)
				f.worker("w0").SetFaults(cluster.WorkerFaults{Unresponsive: true})
				time.Sleep(3 * maxLease)
				expectOneRun(f, task)
			})
			simulatedIt("keeps the run on a worker that it does not reach, "+name, func(f *fixture) {
				o, task := restartBeside(f, lost)
				time.Sleep(delay)
				o.stop()
				time.Sleep(500 * time.Millisecond)
				f.worker("w0").SetFaults(cluster.WorkerFaults{Unresponsive: true})
				f.list("w1")
				f.startOwner()
				time.Sleep(3 * maxLease)
				expectOneRun(f, task)
			})
		}
	}
	// Guards against lost runs that wait for the longest lease on workers that did not restart.
	simulatedIt("starts the task of a silent worker that did not restart after the usual lease", func(f *fixture) {
		f.hide("w1")
		o := f.startOwner()
		j := testJob(1, job.Step{})
		task := string(j.ID) + ".0.0.0"
		f.setBehaviour(task, cluster.Behaviour{Duration: time.Minute})
		o.submit(j)
		time.Sleep(3 * time.Second)
		o.stop()
		f.list("w1")
		f.startOwner()
		time.Sleep(100 * time.Millisecond)
		f.worker("w0").SetFaults(cluster.WorkerFaults{Unresponsive: true})
		time.Sleep(leaseExpiryTimeout - 2*time.Second)
		Expect(f.workers.History.Starts(task)).To(Equal(2))
		expectOneRun(f, task)
	})
})
