package shard_test

import (
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
