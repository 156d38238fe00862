package shard_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
)

var _ = Describe("a run that a former owner has stopped and that its worker does not list while it stops", func() {
	const stopTime = stopGrace - 100*time.Millisecond

	// Guards against a second run of a task beside one that is being stopped when the owner changes.
	simulatedIt("is not replaced by the successor before its end", func(f *fixture) {
		o := f.startOwner()
		for _, id := range []string{"w0", "w1"} {
			f.worker(id).SetFaults(cluster.WorkerFaults{LoseStartReplies: 2, SlowStops: stopTime, HiddenStops: true})
		}
		j := testJob(1, job.Step{})
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: 2 * time.Second})
		o.submit(j)
		// Both start commands have no response, and the run is stopped.
		time.Sleep(100 * time.Millisecond)
		o.Close()
		o.stop()
		successor := f.startOwner()
		Eventually(successor.state, 10*time.Second).WithArguments(j.ID).Should(Equal("completed"))
		Expect(cluster.Check(f.workers.History.Events(), cluster.Expectation{})).To(BeEmpty(), cluster.FormatTask(f.workers.History.Events(), string(j.ID)+".0.0.0"))
	})
})
