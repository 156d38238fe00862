package shard_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/worker"
)

var _ = Describe("a gang with more members on one worker than commands may wait for it", func() {
	const members = 700
	gang := func(n int) job.Job {
		return testJob(n, job.Step{Count: members, Gang: true, Need: worker.Resources{CPU: 1, MemMB: 1}})
	}
	long := func(string, int) cluster.Behaviour { return cluster.Behaviour{Duration: time.Minute} }

	// Guards against members that are never started while the others wait for them.
	simulatedIt("has all of them started", func(f *fixture) {
		f.hide("w1")
		f.workers.Behaviour = long
		o := f.startOwner()
		o.submit(gang(1))
		Eventually(f.worker("w0").Running, callTimeout, "10ms").Should(Equal(members))
		Expect(f.worker("w0").StartsReceived()).To(Equal(members))
	})

	// Guards against members that are given up because the commands of other jobs wait for their worker.
	simulatedIt("has all of them started beside other starts", func(f *fixture) {
		f.hide("w1")
		f.workers.Behaviour = long
		o := f.startOwner()
		o.submit(testJob(1, job.Step{Count: 500, Need: worker.Resources{CPU: 1, MemMB: 1}}))
		o.submit(gang(2))
		Eventually(f.worker("w0").Running, callTimeout, "10ms").Should(Equal(members + 500))
	})

	// Guards against members whose repeated start is given up for want of room in the queue.
	simulatedIt("has all of them started although answers are lost", func(f *fixture) {
		f.hide("w1")
		f.workers.Behaviour = long
		o, w := f.startOwner(), f.worker("w0")
		time.Sleep(time.Second)
		w.SetFaults(cluster.WorkerFaults{LoseStartReplies: 40})
		o.submit(gang(1))
		Eventually(w.Running, 2*callTimeout, "10ms").Should(Equal(members))
		time.Sleep(time.Second)
		Expect(w.Running()).To(Equal(members))
	})
})
