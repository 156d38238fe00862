package shard_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/worker"
)

// Guards against start commands that wait, or are repeated, and reach a worker that drains since (DRAIN).
var _ = Describe("a worker that drains", func() {
	const (
		startTimeout = 900 * time.Millisecond
		// noticeTime is how long an owner takes to act on a change of the list of workers.
		noticeTime = 200 * time.Millisecond
		senders    = 2
	)
	// submitTasks submits a job whose tasks all go to w0, where the first starts get no response.
	submitTasks := func(f *fixture, tasks, unanswered int) job.Job {
		f.hidden["w1"] = true
		o := f.startOwner()
		f.worker("w0").SetFaults(cluster.WorkerFaults{DelayedStarts: unanswered, StartDelay: time.Hour, StartTimeout: startTimeout})
		j := testJob(1, job.Step{Count: tasks, Need: worker.Resources{CPU: 100, MemMB: 100}})
		f.workers.Behaviour = func(string, int) cluster.Behaviour { return cluster.Behaviour{Duration: time.Hour} }
		o.submit(j)
		Eventually(f.worker("w0").StartsReceived, callTimeout).Should(Equal(unanswered))
		f.mu.Lock()
		delete(f.hidden, "w1")
		f.mu.Unlock()
		f.workers.Drain("w0")
		return j
	}

	simulatedIt("receives no start that was queued before, and its task starts elsewhere at once", func(f *fixture) {
		submitTasks(f, 6, senders)
		time.Sleep(noticeTime)
		elsewhere := f.worker("w1").Running()
		time.Sleep(4 * startTimeout)
		Expect(f.worker("w0").StartsReceived()).To(Equal(senders))
		Expect(elsewhere).To(Equal(6 - senders))
	})

	simulatedIt("receives no repetition of a start without an answer, and its task starts elsewhere", func(f *fixture) {
		submitTasks(f, 1, 1)
		time.Sleep(startTimeout + callTimeout)
		Expect(f.worker("w0").StartsReceived()).To(Equal(1))
		Expect(f.worker("w1").Running()).To(Equal(1))
	})
})
