package shard_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/jobconfig"
	"samphirestile.example/samphirestile/internal/shard"
	"samphirestile.example/samphirestile/internal/worker"
)

var _ = Describe("a queue with an advisor", func() {
	var f *fixture
	advised := func(n int, steps ...job.Step) job.Job {
		j := testJob(n, steps...)
		j.Advised = true
		return j
	}
	count := func(kind cluster.EventKind) (n int) {
		for _, e := range f.workers.History.Events() {
			if e.Kind == kind {
				n++
			}
		}
		return n
	}
	BeforeEach(func() {
		f = newFixture(4)
		f.advisor.Decision = 10 * time.Millisecond
		f.workers.NeedsApproval = func(string) bool { return true }
	})

	It("runs its steps only on the workers that the policy allows, with one request per step", func() {
		f.advisor.Allows = func(step string, id worker.ID) bool {
			return (id == "w1" && step[len(step)-1] == '0') || (id == "w3" && step[len(step)-1] == '1')
		}
		o := f.startOwner()
		j := advised(1, job.Step{Count: 6}, job.Step{Count: 2, After: []int{0}})
		o.submit(j)
		Eventually(o.state, callTimeout).WithArguments(j.ID).Should(Equal("completed"))
		for _, e := range f.workers.History.Events() {
			if e.Kind == cluster.Started {
				Expect(f.advisor.Allows(e.Task[:len(e.Task)-2], e.Worker)).To(BeTrue(), "%+v", e)
			}
		}
		Expect(count(cluster.Unapproved)).To(BeZero())
		Expect(f.advisor.Calls()).To(Equal(2))
	})

	It("requests advice again when approvals have expired, and sends no expired one", func() {
		f.advisor.Validity = 500 * time.Millisecond
		o := f.startOwner()
		j := advised(1, job.Step{Count: 80, Need: worker.Resources{CPU: 4000}})
		for i := range 80 {
			f.setBehaviour(fmt.Sprintf("%s.0.0.%d", j.ID, i), cluster.Behaviour{Duration: 100 * time.Millisecond})
		}
		o.submit(j)
		Eventually(o.state, 2*callTimeout).WithArguments(j.ID).Should(Equal("completed"))
		Expect(f.advisor.Calls()).To(BeNumerically(">", 1))
		Expect(count(cluster.Unapproved)).To(BeZero())
	})

	It("requests advice again for a restarted worker", func() {
		f.advisor.Validity = time.Minute
		f.advisor.Allows = func(_ string, id worker.ID) bool { return id == "w0" }
		o := f.startOwner()
		j := advised(1, job.Step{LongRunning: true})
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: time.Hour})
		o.submit(j)
		Eventually(f.worker("w0").Running, callTimeout).Should(Equal(1))
		f.worker("w0").Crash()
		Eventually(f.worker("w0").Running, callTimeout).Should(Equal(1))
		Expect(count(cluster.Unapproved)).To(BeZero())
	})

	It("does not delay other jobs while the advisor is unavailable", func() {
		f.workers.NeedsApproval = func(task string) bool { return task[15] != 'f' }
		f.advisor.SetDown(true)
		o := f.startOwner()
		// More than a scheduling pass considers when there is insufficient capacity.
		for n := range 14 {
			o.submit(advised(n+1, job.Step{}))
		}
		other := testJob(15, job.Step{})
		o.submit(other)
		Eventually(o.state, "500ms").WithArguments(other.ID).Should(Equal("completed"))
		f.advisor.SetDown(false)
		for n := range 14 {
			Eventually(o.state, callTimeout).WithArguments(testJob(n + 1).ID).Should(Equal("completed"))
		}
	})

	It("rejects at once a job that would wait too long for the advisor", func() {
		f.advisor.Decision = 200 * time.Millisecond
		o := f.startOwner()
		refused := 0
		for n := range 30 {
			j := advised(n+1, job.Step{})
			j.AdviceTime, j.AdviceDecision, j.Objective = 200*time.Millisecond, 200*time.Millisecond, 500*time.Millisecond
			var rejected *shard.RejectedError
			if errors.As(o.Submit(context.Background(), j), &rejected) {
				refused++
				Expect(rejected.RetryAfter).To(BeNumerically(">=", time.Second))
			}
		}
		Expect(refused).To(BeNumerically(">", 10))
	})
})

var _ = Describe("jobs of an account at its limit", func() {
	It("do not delay other jobs", func() {
		f := newFixture(2)
		f.config.Accounts["acme"] = jobconfig.Account{Name: "acme", Weight: 1, Limit: worker.Resources{CPU: 1000}}
		o := f.startOwner()
		for n := range 20 {
			j := testJob(n+1, job.Step{})
			j.Account = "acme"
			f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: 200 * time.Millisecond})
			o.submit(j)
		}
		// The other job's account uses more of its weight, so the job comes last in the order.
		other := testJob(21, job.Step{})
		other.Objective = time.Minute
		o.submit(other)
		Eventually(o.state, "500ms").WithArguments(other.ID).Should(Equal("completed"))
	})
})
