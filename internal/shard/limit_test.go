package shard_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/jobconfig"
	"samphirestile.example/samphirestile/internal/worker"
)

var _ = Describe("the limit of an account", func() {
	It("counts the runs of an earlier owner on a worker that has not responded to its successor", func() {
		f := newFixture(2)
		f.config.Accounts["acme"] = jobconfig.Account{Name: "acme", Weight: 1, Limit: worker.Resources{CPU: 2000}}
		first := f.startOwner()
		running := func() int { return f.worker("w0").Running() + f.worker("w1").Running() }
		j := testJob(1, job.Step{Count: 2, MaxPerWorker: 1, Estimate: time.Second})
		j.Account = "acme"
		for _, t := range []string{".0.0.0", ".0.0.1"} {
			f.setBehaviour(string(j.ID)+t, cluster.Behaviour{Duration: time.Hour})
		}
		first.submit(j)
		Eventually(running, callTimeout).Should(Equal(2))
		f.worker("w0").SetFaults(cluster.WorkerFaults{Unresponsive: true})
		first.stop()
		second := f.startOwner()
		next := testJob(2, job.Step{Count: 2})
		next.Account = "acme"
		for _, t := range []string{".0.0.0", ".0.0.1"} {
			f.setBehaviour(string(next.ID)+t, cluster.Behaviour{Duration: time.Hour})
		}
		second.submit(next)
		Consistently(running, 1500*time.Millisecond).Should(BeNumerically("<=", 2))
	})

	// Guards against start commands that wait, or are repeated, and are sent after the limit was lowered (QUOTA).
	simulatedIt("holds for starts that were queued before it was lowered", func(f *fixture) {
		const tasks, sent = 6, 2
		f.setLimit("acme", worker.Resources{CPU: 1000 * tasks})
		f.workers.Behaviour = func(string, int) cluster.Behaviour { return cluster.Behaviour{Duration: time.Hour} }
		f.hidden["w1"] = true
		o, w := f.startOwner(), f.worker("w0")
		w.SetFaults(cluster.WorkerFaults{DelayedStarts: sent, StartDelay: time.Hour, StartTimeout: 900 * time.Millisecond})
		j := testJob(1, job.Step{Count: tasks})
		j.Account = "acme"
		o.submit(j)
		Eventually(w.StartsReceived, callTimeout).Should(Equal(sent))
		f.setLimit("acme", worker.Resources{CPU: 1000})
		for range 50 {
			Expect(w.Running()).To(BeNumerically("<=", 1))
			time.Sleep(100 * time.Millisecond)
		}
		Expect(w.Running()).To(Equal(1))
	})
})
