package shard_test

import (
	"context"
	"fmt"
	"regexp"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/policy"
	"samphirestile.example/samphirestile/internal/worker"
)

var reservationError = regexp.MustCompile(`error_ms=(-?\d+)`)

var _ = Describe("the look-ahead of scheduling passes", func() {
	const (
		smallTasks = 7
		period     = 100 * time.Millisecond
	)
	enabled := policy.LookAhead{Enabled: true, MaxReservations: 8, MaxWaitMS: 1500}
	// stream submits a job of small tasks with little slack in each period, whose tasks take about 0.4 s, until stopped.
	stream := func(f *fixture, o func() *owner) (stop func()) {
		f.workers.Behaviour = func(task string, number int) cluster.Behaviour {
			n := int(jobNumber(task))
			return cluster.Behaviour{Duration: time.Duration(300+n*37%200) * time.Millisecond}
		}
		done, ended := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(ended)
			for n := 100; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(period):
				}
				j := testJob(n, job.Step{Count: smallTasks, Estimate: 400 * time.Millisecond, Need: worker.Resources{CPU: 1000, MemMB: 100}})
				j.Objective = time.Minute
				_ = o().Submit(context.Background(), j)
			}
		}()
		return func() {
			close(done)
			<-ended
		}
	}
	// large is a job that comes before those of the stream.
	large := func(s job.Step) job.Job {
		s.Estimate = 400 * time.Millisecond
		j := testJob(1, s)
		j.Objective = 20 * time.Second
		return j
	}
	most := job.Step{Need: worker.Resources{CPU: 6000, MemMB: 100}}

	// Guards against a large task that waits for as long as small tasks fill each gap.
	simulatedIt("starts a large task beside a stream of small tasks", func(f *fixture) {
		f.policy.LookAhead = enabled
		log := &logBuffer{}
		f.log = log
		o := f.startOwner()
		defer stream(f, func() *owner { return o })()
		time.Sleep(2 * time.Second)
		j := large(most)
		o.submit(j)
		Eventually(o.state, 5*time.Second).WithArguments(j.ID).Should(Equal("completed"))
		Expect(log.lines("worker reserved")).To(ContainElement(ContainSubstring(string(j.ID))))
		started := log.lines("reserved task started")
		Expect(started).To(ContainElement(ContainSubstring(string(j.ID))))
		late, err := strconv.Atoi(reservationError.FindStringSubmatch(started[0])[1])
		Expect(err).NotTo(HaveOccurred())
		Expect(late).To(BeNumerically("<", 300))
	})
	// Guards against a large task that starves because jobs which come before it take all room.
	simulatedIt("starts a large task that comes after the stream of small tasks", func(f *fixture) {
		f.policy.LookAhead = enabled
		o := f.startOwner()
		defer stream(f, func() *owner { return o })()
		time.Sleep(2 * time.Second)
		j := large(most)
		j.Objective = time.Hour
		o.submit(j)
		Consistently(o.state, time.Second).WithArguments(j.ID).ShouldNot(Equal("completed"))
		Eventually(o.state, 4*time.Second).WithArguments(j.ID).Should(Equal("completed"))
	})
	simulatedIt("starts no large task beside a stream of small tasks if it is disabled", func(f *fixture) {
		o := f.startOwner()
		defer stream(f, func() *owner { return o })()
		time.Sleep(2 * time.Second)
		j := large(most)
		o.submit(j)
		Consistently(o.state, 5*time.Second).WithArguments(j.ID).ShouldNot(Equal("completed"))
	})
	// Guards against members of a gang that never find room at the same time.
	simulatedIt("starts a gang beside a stream of small tasks", func(f *fixture) {
		f.policy.LookAhead = enabled
		f.addWorker("w2")
		f.addWorker("w3")
		o := f.startOwner()
		defer stream(f, func() *owner { return o })()
		time.Sleep(2 * time.Second)
		j := large(job.Step{Count: 2, Gang: true, Need: worker.Resources{CPU: 7000, MemMB: 100}})
		o.submit(j)
		Eventually(o.state, 8*time.Second).WithArguments(j.ID).Should(Equal("completed"))
		Expect(cluster.Check(f.workers.History.Events(), cluster.Expectation{})).To(BeEmpty())
	})
	// Guards against a reservation that is lost with its owner, or kept by the successor without its task.
	simulatedIt("reserves again when the owner changes while a task is reserved", func(f *fixture) {
		f.policy.LookAhead = enabled
		log := &logBuffer{}
		f.log = log
		first := f.startOwner()
		j := large(most)
		f.workers.Behaviour = func(string, int) cluster.Behaviour { return cluster.Behaviour{Duration: 2 * time.Second} }
		first.submit(testJob(50, job.Step{Count: 10, Need: worker.Resources{CPU: 1500, MemMB: 100}, Estimate: 2 * time.Second}))
		time.Sleep(200 * time.Millisecond)
		first.submit(j)
		Eventually(func() int { return len(log.lines("worker reserved")) }, time.Second).Should(Equal(1))
		first.stop()
		o := f.startOwner()
		Eventually(func() int { return len(log.lines("worker reserved")) }, 2*time.Second).Should(Equal(2))
		Eventually(o.state, 8*time.Second).WithArguments(j.ID).Should(Equal("completed"))
		Expect(f.workers.History.Starts(fmt.Sprintf("%s.0.0.0", j.ID))).To(Equal(1))
		Expect(cluster.Check(f.workers.History.Events(), cluster.Expectation{})).To(BeEmpty())
	})
	// Guards against a worker that stays reserved for a job that was cancelled.
	simulatedIt("leaves nothing reserved for a job that was cancelled", func(f *fixture) {
		f.policy.LookAhead = enabled
		log := &logBuffer{}
		f.log = log
		f.hidden["w1"] = true
		f.workers.Behaviour = func(string, int) cluster.Behaviour { return cluster.Behaviour{Duration: 2 * time.Second} }
		o := f.startOwner()
		o.submit(testJob(50, job.Step{Count: 3, Need: worker.Resources{CPU: 2000, MemMB: 100}, Estimate: 2 * time.Second}))
		time.Sleep(200 * time.Millisecond)
		j := large(job.Step{Need: worker.Resources{CPU: 7000, MemMB: 100}})
		o.submit(j)
		Eventually(func() int { return len(log.lines("worker reserved")) }, time.Second).Should(Equal(1))
		later := testJob(52, job.Step{Need: worker.Resources{CPU: 2000, MemMB: 100}, Estimate: 20 * time.Second})
		later.Objective = 2 * time.Hour
		o.submit(later)
		Consistently(func() int { return f.workers.History.Starts(string(later.ID) + ".0.0.0") }, 500*time.Millisecond).Should(BeZero())
		Expect(o.Cancel(context.Background(), j.ID)).To(Succeed())
		Eventually(func() int { return f.workers.History.Starts(string(later.ID) + ".0.0.0") }, time.Second).Should(Equal(1))
	})
})
