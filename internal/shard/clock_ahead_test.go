package shard_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/worker"
)

var _ = Describe("a worker that restarts with a clock ahead of its former one", func() {
	for title, pause := range map[string]time.Duration{"after": 10 * time.Millisecond, "at the time of": 0} {
		// Guards against TWICE: the completion of a run of the new incarnation is acknowledged by a number of the former one before
		// any status has listed it, so the task starts again.
		simulatedIt("lists the completion of a run that was sent "+title+" the last status of its former incarnation", func(f *fixture) {
			n := &withholdingNetwork{Dialer: f.workers}
			f.wrapDialer = func(worker.Dialer) worker.Dialer { return n }
			f.workers.Remove("w0")
			f.workers.Remove("w1")
			f.workers.ClockStart = func(_ worker.ID, incarnation int) time.Duration {
				return time.Second + time.Duration(incarnation)*3*time.Second
			}
			f.addWorker("w2")
			o := f.startOwner()
			first, second := testJob(1, job.Step{}), testJob(2, job.Step{})
			if pause == 0 {
				first = testJob(1, job.Step{}, job.Step{After: []int{0}})
			}
			f.setBehaviour(string(first.ID)+".0.0.0", cluster.Behaviour{Duration: 300 * time.Millisecond})
			f.setBehaviour(string(first.ID)+".0.1.0", cluster.Behaviour{Duration: 10 * time.Millisecond})
			f.setBehaviour(string(second.ID)+".0.0.0", cluster.Behaviour{Duration: 10 * time.Millisecond})
			restarted := make(chan struct{})
			var restart func()
			restart = func() {
				if f.workers.History.Completions(string(first.ID)+".0.0.0") > 0 {
					f.worker("w2").Crash()
					close(restarted)
					return
				}
				n.set(func() { n.afterHeartbeat = restart })
			}
			n.set(func() { n.afterHeartbeat = restart })
			o.submit(first)
			<-restarted
			if pause > 0 {
				time.Sleep(pause)
				o.submit(second)
				Eventually(o.state, 4*callTimeout, "10ms").WithArguments(second.ID).Should(Equal("completed"))
			}
			Eventually(o.state, 4*callTimeout, "10ms").WithArguments(first.ID).Should(Equal("completed"))
			for _, task := range []string{string(first.ID) + ".0.1.0", string(second.ID) + ".0.0.0"} {
				Expect(f.workers.History.Completions(task)).To(BeNumerically("<=", 1), task)
			}
			Expect(cluster.Check(f.workers.History.Events(), cluster.Expectation{})).To(BeEmpty())
		})
	}
})
