package shard_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/worker"
)

var _ = Describe("an emptied worker", func() {
	// cordon exceeds the time for which an emptied worker gets no runs.
	const cordon = 3500 * time.Millisecond

	empty := func(f *fixture, o *owner, id worker.ID) {
		Eventually(o.Idle, callTimeout).Should(ContainElement(id))
		ok, err := o.Empty(context.Background(), id)
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeTrue())
	}

	// Guards against a worker that is given to another partition after its host was taken away.
	simulatedIt("is idle again only if it answers after the cordon", func(f *fixture) {
		o := f.startOwner()
		empty(f, o, "w0")
		empty(f, o, "w1")
		f.worker("w1").SetFaults(cluster.WorkerFaults{Unreachable: true})
		Eventually(o.Idle, cordon, 10*time.Millisecond).Should(ConsistOf(worker.ID("w0")))
		Consistently(o.Idle, callTimeout, 10*time.Millisecond).Should(ConsistOf(worker.ID("w0")))
	})

	// Guards against a long-running task that is placed on workers that are gone, each of which ends the count of the
	// time that it lacks a worker, so that none is requested.
	simulatedIt("does not count as a worker for long-running tasks once it is gone", func(f *fixture) {
		o := f.startOwner()
		empty(f, o, "w1")
		f.worker("w1").SetFaults(cluster.WorkerFaults{Unreachable: true})
		j := testJob(1, job.Step{Count: 2, LongRunning: true, MaxPerWorker: 1})
		for _, t := range []string{".0.0.0", ".0.0.1"} {
			f.setBehaviour(string(j.ID)+t, cluster.Behaviour{Duration: time.Hour})
		}
		o.submit(j)
		Eventually(o.Unplaced, callTimeout).Should(BeTrue())
		Consistently(o.Unplaced, cordon, 5*time.Millisecond).Should(BeTrue())
	})

	// Guards against workers that stay closed after a request to empty them that came to nothing.
	simulatedIt("gets runs at once when it is reopened", func(f *fixture) {
		o := f.startOwner()
		empty(f, o, "w0")
		Expect(o.Reopen(context.Background(), "w0")).To(Succeed())
		Expect(o.Idle()).To(ContainElement(worker.ID("w0")))
	})
})
