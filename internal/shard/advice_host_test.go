package shard_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"samphirestile.example/samphirestile/internal/advice"
	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/shard"
	"samphirestile.example/samphirestile/internal/worker"
)

// startAdviceQueue makes the owners that are started until it is called again shards of one daemon. It returns a function that
// stops their queue.
func (f *fixture) startAdviceQueue(advisor worker.Advisor) (stop func()) {
	log := logrus.New()
	log.SetOutput(f.log)
	f.advice = advice.New(advisor, log, tally.NoopScope)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	queue := f.advice
	group.Go(func() { queue.Run(ctx) })
	return func() {
		cancel()
		group.Wait()
	}
}

// startAdvisedShards starts shards of one daemon, each of a service with a number of workers.
func (f *fixture) startAdvisedShards(shards, workers int) []*owner {
	var owners []*owner
	for i := range shards {
		f.service = fleet.ServiceID(fmt.Sprintf("service-%d", i))
		for n := range workers {
			id := fmt.Sprintf("s%dw%d", i, n)
			f.workers.Add(worker.Worker{
				ID: worker.ID(id), Service: f.service, Address: id + ":1", Capacity: worker.Resources{CPU: 8000, MemMB: 8000}, Labels: []string{"a", "r1"},
			})
		}
		owners = append(owners, f.startPartitionOwner(string(f.service)))
	}
	return owners
}

// advisedJob returns a job of a queue whose calls take as long as the fixture's advisor needs.
func (f *fixture) advisedJob(n int, steps ...job.Step) job.Job {
	j := testJob(n, steps...)
	j.Advised = true
	j.AdviceDecision = f.advisor.Decision
	j.AdviceTime = f.advisor.Decision + advice.BatchSize*f.advisor.PerWorker
	return j
}

// submitFor submits a job to each owner every 300 ms, and returns the owners of those that were accepted.
func (f *fixture) submitFor(d time.Duration, owners []*owner, newJob func(n int) job.Job) map[job.ID]*owner {
	accepted, n := map[job.ID]*owner{}, 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		for _, o := range owners {
			n++
			j := newJob(n)
			if err := o.Submit(context.Background(), j); err == nil {
				accepted[j.ID] = o
			} else {
				Expect(errors.As(err, new(*shard.RejectedError))).To(BeTrue(), "%v", err)
			}
		}
	}
	return accepted
}

// unfinished returns how many jobs are not completed.
func unfinished(jobs map[job.ID]*owner) (n int) {
	for id, o := range jobs {
		if o.state(id) != "completed" {
			n++
		}
	}
	return n
}

var _ = Describe("the queues of one daemon with an advisor", func() {
	// setUp sets the times of the users' review case 9: a call for eight workers takes 760 ms.
	setUp := func(f *fixture) {
		f.advisor.Decision, f.advisor.PerWorker, f.advisor.Validity = 200*time.Millisecond, 70*time.Millisecond, 3*time.Second
		f.workers.NeedsApproval = func(string) bool { return true }
	}
	small := func(f *fixture) func(int) job.Job {
		return func(n int) job.Job {
			j := f.advisedJob(n, job.Step{Count: 2, Estimate: 300 * time.Millisecond})
			j.Stretch, j.Objective = 1.6, 600*time.Millisecond
			return j
		}
	}

	// Guards against shards that wait for each other's calls until every approval counts as ended.
	simulatedIt("all run their jobs after the loss of the other daemons", func(f *fixture) {
		setUp(f)
		defer f.startAdviceQueue(f.advisor)()
		owners := f.startAdvisedShards(4, 8)
		accepted := f.submitFor(6*time.Second, owners, small(f))
		Expect(len(accepted)).To(BeNumerically(">", 20))
		Eventually(unfinished, 14*time.Second, "50ms").WithArguments(accepted).Should(BeZero())
	})

	// Guards against the same fault in jobs whose steps need one request after the other.
	simulatedIt("run jobs of several steps", func(f *fixture) {
		setUp(f)
		defer f.startAdviceQueue(f.advisor)()
		owners := f.startAdvisedShards(4, 8)
		accepted := f.submitFor(600*time.Millisecond, owners, func(n int) job.Job {
			return f.advisedJob(n, job.Step{Count: 6}, job.Step{Count: 6, After: []int{0}}, job.Step{Count: 6, After: []int{1}})
		})
		Expect(accepted).To(HaveLen(8))
		Eventually(unfinished, 15*time.Second, "50ms").WithArguments(accepted).Should(BeZero())
	})

	for _, fromCall := range []bool{false, true} {
		// Guards against approvals that are discarded without a try because the call took almost as long as they are valid.
		simulatedIt(fmt.Sprintf("use the approvals of a call that takes almost their validity, valid from the call: %t", fromCall), func(f *fixture) {
			setUp(f)
			f.advisor.Decision, f.advisor.PerWorker, f.advisor.ValidFromCall = 2810*time.Millisecond, 0, fromCall
			defer f.startAdviceQueue(f.advisor)()
			owners := f.startAdvisedShards(1, 8)
			accepted := f.submitFor(1200*time.Millisecond, owners, small(f))
			Expect(len(accepted)).To(BeNumerically(">=", 3))
			Eventually(unfinished, 15*time.Second, "50ms").WithArguments(accepted).Should(BeZero())
		})
	}

	// Guards against requests that are repeated unchanged although their approvals end before the answer.
	simulatedIt("name fewer workers when approvals have ended before the answer", func(f *fixture) {
		setUp(f)
		f.advisor.PerWorker, f.advisor.Validity, f.advisor.ValidFromCall = 300*time.Millisecond, 1200*time.Millisecond, true
		defer f.startAdviceQueue(f.advisor)()
		owners := f.startAdvisedShards(1, 20)
		j := f.advisedJob(1, job.Step{Count: 20, Need: worker.Resources{CPU: 8000}})
		owners[0].submit(j)
		Eventually(owners[0].state, 30*time.Second, "50ms").WithArguments(j.ID).Should(Equal("completed"))
	})

	// Guards against a step that takes all calls because its approvals end before each answer.
	simulatedIt("run the others while the approvals of one step always end before the answer", func(f *fixture) {
		setUp(f)
		f.advisor.ValidFromCall = true
		f.advisor.Validity = 600 * time.Millisecond
		defer f.startAdviceQueue(f.advisor)()
		owners := f.startAdvisedShards(2, 8)
		// The gang needs eight workers at once, of which a call takes 760 ms.
		gang := f.advisedJob(900, job.Step{Count: 8, Gang: true, Need: worker.Resources{CPU: 8000}})
		gang.Objective = 0
		owners[0].submit(gang)
		accepted := f.submitFor(3*time.Second, owners, small(f))
		Expect(len(accepted)).To(BeNumerically(">", 4))
		Eventually(unfinished, 15*time.Second, "50ms").WithArguments(accepted).Should(BeZero())
	})

	for _, members := range []int{8, 40} {
		// Guards against members whose approvals end one after the other, so that the gang never starts.
		simulatedIt(fmt.Sprintf("start a gang of %d on workers of which the policy refuses each third", members), func(f *fixture) {
			setUp(f)
			f.advisor.Allows = func(_ string, id worker.ID) bool { return id[len(id)-1]%3 != 0 }
			defer f.startAdviceQueue(f.advisor)()
			owners := f.startAdvisedShards(1, 2*members)
			j := f.advisedJob(1, job.Step{Count: members, Gang: true, Need: worker.Resources{CPU: 8000}})
			owners[0].submit(j)
			Eventually(owners[0].state, 40*time.Second, "50ms").WithArguments(j.ID).Should(Equal("completed"))
		})
	}

	// Guards against workers that an earlier call has already refused, and against a search that names few at a time.
	simulatedIt("find the only worker that the policy allows", func(f *fixture) {
		setUp(f)
		f.advisor.Allows = func(_ string, id worker.ID) bool { return id == "s0w17" }
		defer f.startAdviceQueue(f.advisor)()
		owners := f.startAdvisedShards(1, 20)
		j := f.advisedJob(1, job.Step{})
		owners[0].submit(j)
		Eventually(owners[0].state, 10*time.Second, "50ms").WithArguments(j.ID).Should(Equal("completed"))
		Expect(f.advisor.Named()).To(BeNumerically("<=", 20))
	})

	// Guards against calls that are sent although nothing needs them any more.
	simulatedIt("send no request for a job that was cancelled while it waited for its turn", func(f *fixture) {
		setUp(f)
		f.advisor.Decision = 2 * time.Second
		defer f.startAdviceQueue(f.advisor)()
		owners := f.startAdvisedShards(2, 4)
		first, second := f.advisedJob(1, job.Step{}), f.advisedJob(2, job.Step{})
		owners[0].submit(first)
		time.Sleep(200 * time.Millisecond)
		owners[1].submit(second)
		time.Sleep(200 * time.Millisecond)
		Expect(owners[1].Cancel(context.Background(), second.ID)).To(Succeed())
		Eventually(owners[0].state, 10*time.Second, "50ms").WithArguments(first.ID).Should(Equal("completed"))
		time.Sleep(5 * time.Second)
		Expect(f.advisor.Calls()).To(Equal(1))
	})

	// Guards against approvals of a former life of a worker that are used, or waited for, after its restart.
	simulatedIt("request advice again for a worker that restarts while the advisor decides", func(f *fixture) {
		setUp(f)
		f.advisor.Decision = time.Second
		defer f.startAdviceQueue(f.advisor)()
		owners := f.startAdvisedShards(1, 1)
		j := f.advisedJob(1, job.Step{})
		owners[0].submit(j)
		time.Sleep(500 * time.Millisecond)
		f.worker("s0w0").Crash()
		Eventually(owners[0].state, 15*time.Second, "50ms").WithArguments(j.ID).Should(Equal("completed"))
	})

	// Guards against an approval for a worker that has left the list between the answer and the start.
	simulatedIt("ask about other workers when the approved one has left the list", func(f *fixture) {
		setUp(f)
		f.advisor.Allows = func(_ string, id worker.ID) bool { return id != "s0w1" }
		defer f.startAdviceQueue(f.advisor)()
		owners := f.startAdvisedShards(1, 3)
		j := f.advisedJob(1, job.Step{Count: 3, Need: worker.Resources{CPU: 8000}})
		owners[0].submit(j)
		time.Sleep(300 * time.Millisecond)
		f.mu.Lock()
		f.hidden["s0w0"] = true
		f.mu.Unlock()
		Eventually(owners[0].state, 20*time.Second, "50ms").WithArguments(j.ID).Should(Equal("completed"))
	})

	// Guards against a job that is not asked for again when its approvals have ended while it waited for its account's limit.
	simulatedIt("ask again for a job that waited for its account's limit", func(f *fixture) {
		setUp(f)
		f.advisor.Validity = 600 * time.Millisecond
		f.setLimit("acme", worker.Resources{CPU: 8000, MemMB: 8000})
		defer f.startAdviceQueue(f.advisor)()
		owners := f.startAdvisedShards(1, 4)
		var jobs []job.Job
		for n := range 3 {
			j := f.advisedJob(n+1, job.Step{Count: 2, Need: worker.Resources{CPU: 4000, MemMB: 100}})
			j.Account = "acme"
			for i := range 2 {
				f.setBehaviour(fmt.Sprintf("%s.0.0.%d", j.ID, i), cluster.Behaviour{Duration: 2 * time.Second})
			}
			owners[0].submit(j)
			jobs = append(jobs, j)
		}
		for _, j := range jobs {
			Eventually(owners[0].state, 20*time.Second, "50ms").WithArguments(j.ID).Should(Equal("completed"))
		}
	})

	// Guards against jobs that are accepted although the calls of other shards of the daemon come first.
	simulatedIt("reject at once what the advisor cannot decide in time beside the other queues", func(f *fixture) {
		setUp(f)
		f.advisor.Decision, f.advisor.PerWorker = 2*time.Second, 0
		defer f.startAdviceQueue(f.advisor)()
		owners := f.startAdvisedShards(2, 4)
		late := f.advisedJob(9, job.Step{})
		late.Stretch, late.Objective = 1, time.Second
		submit := func(o *owner, j job.Job) error { return o.Submit(context.Background(), j) }
		for n := range 4 {
			j := f.advisedJob(n+1, job.Step{})
			j.Objective = time.Minute
			owners[0].submit(j)
		}
		var rejected *shard.RejectedError
		Expect(errors.As(submit(owners[1], late), &rejected)).To(BeTrue())
		Expect(rejected.Overload).To(BeTrue())
		Expect(rejected.RetryAfter).To(BeNumerically(">=", time.Second))
		// The workers are idle while they wait for the advisor, so a wide objective is no reason to wait for long.
		patient := f.advisedJob(10, job.Step{})
		patient.Objective = time.Hour
		owners[0].submit(f.advisedJob(11, job.Step{}))
		owners[0].submit(f.advisedJob(12, job.Step{}))
		Expect(errors.As(submit(owners[1], patient), &rejected)).To(BeTrue())
	})

	// Guards against calls that pile up at an advisor that does not answer, and against a shard that waits for ever.
	simulatedIt("go on when the advisor answers again", func(f *fixture) {
		setUp(f)
		f.advisor.SetDown(true)
		defer f.startAdviceQueue(f.advisor)()
		owners := f.startAdvisedShards(4, 4)
		accepted := f.submitFor(1500*time.Millisecond, owners, small(f))
		Expect(accepted).NotTo(BeEmpty())
		time.Sleep(2 * time.Second)
		f.advisor.SetDown(false)
		Eventually(unfinished, 20*time.Second, "50ms").WithArguments(accepted).Should(BeZero())
	})

	// Guards against requests of a shard that has another owner by then, and jobs that wait for their answers.
	simulatedIt("leave their requests to the successor on another daemon", func(f *fixture) {
		setUp(f)
		f.advisor.Decision = time.Second
		stopFirst := f.startAdviceQueue(f.advisor)
		owners := f.startAdvisedShards(2, 4)
		accepted := f.submitFor(2*time.Second, owners, small(f))
		stopSecond := f.startAdviceQueue(f.advisor.Host())
		defer stopSecond()
		f.service = "service-0"
		owners[0].Close()
		owners[0].stop()
		successor := f.startPartitionOwner("service-0")
		for id, o := range accepted {
			if o == owners[0] {
				accepted[id] = successor
			}
		}
		Eventually(unfinished, 30*time.Second, "50ms").WithArguments(accepted).Should(BeZero())
		stopFirst()
		for _, e := range f.workers.History.Events() {
			Expect(e.Kind).NotTo(Equal(cluster.Unapproved))
		}
	})

	// Guards against requests that name a whole batch for a job that an earlier version has accepted.
	simulatedIt("run jobs whose records hold only the time of a whole batch", func(f *fixture) {
		setUp(f)
		defer f.startAdviceQueue(f.advisor)()
		owners := f.startAdvisedShards(4, 8)
		accepted := f.submitFor(3*time.Second, owners, func(n int) job.Job {
			j := small(f)(n)
			j.AdviceDecision = 0
			return j
		})
		Eventually(unfinished, 14*time.Second, "50ms").WithArguments(accepted).Should(BeZero())
	})
})
