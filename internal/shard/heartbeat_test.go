package shard_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/shard"
)

var _ = Describe("the lease of a worker", func() {
	// Guards against a run of a cancelled job that goes on for as long as the commands to stop it are lost.
	simulatedIt("is not extended for runs that are only to be stopped", func(f *fixture) {
		f.hide("w1")
		o, w, j := f.startOwner(), f.worker("w0"), testJob(1, job.Step{LongRunning: true, Count: 2})
		for _, task := range []string{".0.0.0", ".0.0.1"} {
			f.setBehaviour(string(j.ID)+task, cluster.Behaviour{Duration: time.Hour})
		}
		o.submit(j)
		Eventually(w.Running).Should(Equal(2))
		time.Sleep(2 * shard.MaxWorkerLease)
		Expect(w.Running()).To(Equal(2))
		w.SetFaults(cluster.WorkerFaults{DelayedStops: 1 << 20, StopDelay: time.Hour})
		Expect(o.Cancel(context.Background(), j.ID)).To(Succeed())
		time.Sleep(shard.MaxWorkerLease + 100*time.Millisecond)
		Expect(w.Running()).To(BeZero())
	})

	// Guards against a long-running task that ends with its lease after its stop was withdrawn (AVAIL).
	simulatedIt("is extended while the stop of its only run may be withdrawn", func(f *fixture) {
		f.workers.Behaviour = func(string, int) cluster.Behaviour { return cluster.Behaviour{Duration: time.Hour} }
		o, w := f.startOwner(), f.worker("w1")
		o.submit(testJob(1, job.Step{Count: 2, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: 1}))
		time.Sleep(3 * time.Second) // a new owner waits for the stops of its predecessor
		w.SetFaults(cluster.WorkerFaults{DelayedStops: 1 << 20, StopDelay: time.Hour})
		_, err := o.Empty(context.Background(), w.ID)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(2500 * time.Millisecond)
		f.workers.Remove("w0")
		for range 60 {
			Expect(w.Running()).To(Equal(1))
			time.Sleep(100 * time.Millisecond)
		}
	})

	// Guards against work that ends because a run beside it is being stopped.
	simulatedIt("is extended while another run goes on", func(f *fixture) {
		f.hide("w1")
		o, w := f.startOwner(), f.worker("w0")
		kept, cancelled := testJob(1, job.Step{LongRunning: true}), testJob(2, job.Step{LongRunning: true})
		for _, j := range []job.Job{kept, cancelled} {
			f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: time.Hour})
			o.submit(j)
		}
		Eventually(w.Running).Should(Equal(2))
		w.SetFaults(cluster.WorkerFaults{DelayedStops: 1 << 20, StopDelay: time.Hour})
		Expect(o.Cancel(context.Background(), cancelled.ID)).To(Succeed())
		time.Sleep(2 * shard.MaxWorkerLease)
		Expect(w.Running()).To(BeNumerically(">=", 1))
		Expect(f.workers.History.Starts(string(kept.ID) + ".0.0.0")).To(Equal(1))
	})
})
