package shard_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/jobconfig"
	"samphirestile.example/samphirestile/internal/jobstore"
	"samphirestile.example/samphirestile/internal/shard"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

var _ = Describe("an owner", func() {
	var f *fixture
	violations := func(x cluster.Expectation) []cluster.Violation { return cluster.Check(f.workers.History.Events(), x) }

	It("runs steps in order and shows a job as completed", func() {
		f = newFixture(2)
		o := f.startOwner()
		j := testJob(1, job.Step{Count: 4}, job.Step{Count: 2, After: []int{0}})
		o.submit(j)
		Eventually(o.state, callTimeout).WithArguments(j.ID).Should(Equal("completed"))
		id := string(j.ID)
		Expect(violations(cluster.Expectation{After: map[string][]string{id + ".0.1": {id + ".0.0.0", id + ".0.0.3"}}})).To(BeEmpty())
		Expect(f.workers.History.Starts(id + ".0.1.1")).To(Equal(1))
	})

	It("accepts the same job once", func() {
		f = newFixture(1)
		o := f.startOwner()
		j := testJob(1, job.Step{})
		o.submit(j)
		Eventually(o.state, callTimeout).WithArguments(j.ID).Should(Equal("completed"))
		o.submit(j)
		Consistently(func() int { return f.workers.History.Starts(string(j.ID) + ".0.0.0") }, "200ms").Should(Equal(1))
	})

	It("counts the capacity of workers that have not responded to a new owner yet", func() {
		f = newFixture(4)
		f.startOwner().stop()
		for _, id := range []string{"w0", "w1", "w2", "w3"} {
			f.worker(id).SetFaults(cluster.WorkerFaults{SlowHeartbeats: 500 * time.Millisecond})
		}
		o := f.startOwner()
		j := testJob(1, job.Step{Count: 8, Estimate: time.Second})
		o.submit(testJob(2, job.Step{Count: 8, Estimate: time.Second}))
		Expect(o.Submit(context.Background(), j)).To(Succeed())
	})

	It("reports a job as failed after its last attempt", func() {
		f = newFixture(2)
		o := f.startOwner()
		j := testJob(1, job.Step{})
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: 5 * time.Millisecond, Fails: true})
		o.submit(j)
		Eventually(o.state, callTimeout).WithArguments(j.ID).Should(Equal("failed"))
		Expect(f.workers.History.Starts(string(j.ID) + ".0.0.0")).To(Equal(3))
	})

	It("stops a cancelled job", func() {
		f = newFixture(1)
		o := f.startOwner()
		j := testJob(1, job.Step{Count: 3, LongRunning: true})
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: time.Hour})
		o.submit(j)
		Eventually(f.workers.List, callTimeout).ShouldNot(BeEmpty())
		Eventually(o.state, callTimeout).WithArguments(j.ID).Should(Equal("running"))
		Expect(o.Cancel(context.Background(), j.ID)).To(Succeed())
		Expect(o.state(j.ID)).To(Equal("cancelled"))
		w := f.workers.Dial(worker.Worker{ID: "w0"})
		Eventually(func() int {
			s, err := w.Heartbeat(context.Background(), worker.HeartbeatCommand{Token: 1 << 40})
			Expect(err).NotTo(HaveOccurred())
			return len(s.Running)
		}, callTimeout).Should(BeZero())
	})

	It("waits for the completion of a run whose start got no response before it starts the task again", func() {
		// The worker refuses the repeated start as stale, because the run has finished successfully.
		f = newFixture(2)
		o := f.startOwner()
		for n := range 6 {
			j := testJob(n+1, job.Step{Count: 2})
			f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: time.Millisecond})
			f.setBehaviour(string(j.ID)+".0.0.1", cluster.Behaviour{Duration: time.Millisecond})
			f.worker("w0").SetFaults(cluster.WorkerFaults{LoseStartReplies: 1})
			f.worker("w1").SetFaults(cluster.WorkerFaults{LoseStartReplies: 1})
			o.submit(j)
			Eventually(o.state, callTimeout).WithArguments(j.ID).Should(Equal("completed"))
		}
		Expect(violations(cluster.Expectation{})).To(BeEmpty())
	})

	It("does not run a task twice when a start command takes effect late", func() {
		f = newFixture(2)
		o := f.startOwner()
		j := testJob(1, job.Step{Count: 4})
		f.worker("w0").SetFaults(cluster.WorkerFaults{DelayedStarts: 2, StartDelay: 400 * time.Millisecond})
		o.submit(j)
		Eventually(o.state, callTimeout+callTimeout).WithArguments(j.ID).Should(Equal("completed"))
		time.Sleep(500 * time.Millisecond)
		Expect(violations(cluster.Expectation{})).To(BeEmpty())
	})

	It("starts the tasks of an unresponsive worker elsewhere once its lease has expired", func() {
		// Repeated heartbeats must not extend the lease.
		f = newFixture(2)
		o := f.startOwner()
		j := testJob(1, job.Step{Count: 2, LongRunning: true, MaxPerWorker: 1})
		for _, t := range []string{".0.0.0", ".0.0.1"} {
			f.setBehaviour(string(j.ID)+t, cluster.Behaviour{Duration: time.Hour})
		}
		o.submit(j)
		Eventually(func() int { return f.worker("w0").Running() + f.worker("w1").Running() }, callTimeout).Should(Equal(2))
		f.worker("w0").SetFaults(cluster.WorkerFaults{Unresponsive: true})
		third := f.addWorker("w2")
		Consistently(third.Running, shard.MaxWorkerLease-1500*time.Millisecond).Should(BeZero())
		Eventually(third.Running, leaseExpiryTimeout).Should(Equal(1))
		Expect(violations(cluster.Expectation{})).To(BeEmpty())
	})

	It("starts the tasks of a restarted worker again at once", func() {
		f = newFixture(1)
		o := f.startOwner()
		j := testJob(1, job.Step{LongRunning: true})
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: time.Hour})
		o.submit(j)
		Eventually(f.worker("w0").Running, callTimeout).Should(Equal(1))
		f.worker("w0").Crash()
		Eventually(f.worker("w0").Running, callTimeout).Should(Equal(1))
	})

	It("keeps an account within its limit", func() {
		f = newFixture(2)
		f.config.Accounts["acme"] = jobconfig.Account{Name: "acme", Weight: 1, Limit: worker.Resources{CPU: 3000}}
		o := f.startOwner()
		j := testJob(1, job.Step{Count: 9})
		j.Account = "acme"
		for _, t := range []string{"0", "1", "2", "3", "4", "5", "6", "7", "8"} {
			f.setBehaviour(string(j.ID)+".0.0."+t, cluster.Behaviour{Duration: 60 * time.Millisecond})
		}
		o.submit(j)
		maxRunning := 0
		Eventually(func() string {
			maxRunning = max(maxRunning, f.worker("w0").Running()+f.worker("w1").Running())
			return o.state(j.ID)
		}, callTimeout, "2ms").Should(Equal("completed"))
		Expect(maxRunning).To(BeNumerically("<=", 3))
	})

	It("rejects a job that it cannot record, but only before the write was sent", func() {
		f = newFixture(1)
		o := f.startOwner()
		f.store.SetFaults(cluster.StoreFaults{Down: true})
		first := o.Submit(context.Background(), testJob(1, job.Step{}))
		Expect(errors.As(first, new(*shard.UnknownOutcomeError))).To(BeTrue(), "the write was in flight: %v", first)
		second := o.Submit(context.Background(), testJob(2, job.Step{}))
		Expect(errors.As(second, new(*shard.RejectedError))).To(BeTrue(), "%v", second)
		f.store.SetFaults(cluster.StoreFaults{})
		Eventually(o.state, callTimeout).WithArguments(testJob(1).ID).Should(Equal("completed"))
		Expect(o.state(testJob(2).ID)).To(ContainSubstring("no job"))
	})

	It("rejects at once a job that would finish after three times its objective", func() {
		f = newFixture(1)
		o := f.startOwner()
		refused := 0
		for n := range 40 {
			j := testJob(n+1, job.Step{Count: 8, Estimate: 500 * time.Millisecond})
			j.Objective = 100 * time.Millisecond
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			began := time.Now()
			var rejected *shard.RejectedError
			if errors.As(o.Submit(ctx, j), &rejected) {
				refused++
				Expect(rejected.RetryAfter).To(BeNumerically(">=", time.Second))
				Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
			}
			cancel()
		}
		Expect(refused).To(BeNumerically(">", 10))
	})

	Describe("in a takeover", func() {
		It("hands over running tasks without a second run", func() {
			f = newFixture(2)
			first := f.startOwner()
			j := testJob(1, job.Step{Count: 4}, job.Step{Count: 4, After: []int{0}})
			for _, t := range []string{"0", "1", "2", "3"} {
				f.setBehaviour(string(j.ID)+".0.0."+t, cluster.Behaviour{Duration: 500 * time.Millisecond})
			}
			first.submit(j)
			Eventually(func() int { return f.worker("w0").Running() + f.worker("w1").Running() }, callTimeout).Should(Equal(4))
			second := f.startOwner()
			Eventually(second.state, callTimeout).WithArguments(j.ID).Should(Equal("completed"))
			Expect(violations(cluster.Expectation{})).To(BeEmpty())
			Expect(f.workers.History.Starts(string(j.ID) + ".0.0.0")).To(Equal(1))
		})

		// halfDone returns a job whose first step runs and whose second waits.
		halfDone := func(o *owner) job.Job {
			j := testJob(1, job.Step{}, job.Step{After: []int{0}})
			f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: 500 * time.Millisecond})
			o.submit(j)
			Eventually(func() int { return f.worker("w0").Running() }, callTimeout).Should(Equal(1))
			return j
		}
		loseWorker := func(id string) {
			f.workers.Remove(worker.ID(id))
			time.Sleep(300 * time.Millisecond) // until the owner observes that the worker left the list
		}

		It("does not wait for a worker that had left before a planned handover", func() {
			f = newFixture(1)
			f.addWorker("w1")
			first := f.startOwner()
			Eventually(func() error { return recordedWorkers(f, 2) }, callTimeout).Should(Succeed())
			f.hide("w1")
			j := halfDone(first)
			f.workers.Remove("w1")
			time.Sleep(300 * time.Millisecond)
			first.Close()
			first.stop()
			Eventually(f.startOwner().state, callTimeout).WithArguments(j.ID).Should(Equal("completed"))
		})

		It("waits only for the tasks of a worker that did not respond at a planned handover", func() {
			f = newFixture(2)
			first := f.startOwner()
			longRunning := testJob(7, job.Step{Count: 2, LongRunning: true, MaxPerWorker: 1})
			for _, t := range []string{".0.0.0", ".0.0.1"} {
				f.setBehaviour(string(longRunning.ID)+t, cluster.Behaviour{Duration: time.Hour})
			}
			first.submit(longRunning)
			Eventually(func() int { return f.worker("w0").Running() + f.worker("w1").Running() }, callTimeout).Should(Equal(2))
			f.worker("w1").SetFaults(cluster.WorkerFaults{Unresponsive: true})
			time.Sleep(300 * time.Millisecond) // until the owner observes that the worker does not respond
			j := testJob(1, job.Step{}, job.Step{After: []int{0}})
			f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: 300 * time.Millisecond})
			first.submit(j)
			Eventually(func() int { return f.worker("w0").Running() }, callTimeout).Should(Equal(2))
			first.Close()
			first.stop()
			third := f.addWorker("w2")
			Eventually(f.startOwner().state, callTimeout).WithArguments(j.ID).Should(Equal("completed"))
			Expect(f.workers.History.Starts(string(longRunning.ID)+".0.0.0") + f.workers.History.Starts(string(longRunning.ID)+".0.0.1")).To(Equal(2))
			Eventually(third.Running, leaseExpiryTimeout).Should(Equal(1))
			Expect(violations(cluster.Expectation{})).To(BeEmpty())
		})

		It("does not wait for a worker that had left before the last record of a lost owner", func() {
			f = newFixture(1)
			f.addWorker("w1")
			first := f.startOwner()
			Eventually(func() error { return recordedWorkers(f, 2) }, callTimeout).Should(Succeed())
			loseWorker("w1")
			j := halfDone(first)
			first.stop()
			Eventually(f.startOwner().state, callTimeout).WithArguments(j.ID).Should(Equal("completed"))
		})

		It("does not restart finished tasks when its last writes were interrupted", func() {
			f = newFixture(4)
			records := &interruptedStore{key: jobstore.WorkersKey("quoter")}
			f.wrapStore = func(s store.Transactional) store.Transactional {
				records.Transactional = s
				return records
			}
			first := f.startOwner()
			var jobs []job.Job
			for n := range jobstore.MaxBatch + 3 {
				j := testJob(n+1, job.Step{})
				ends := 700 * time.Millisecond
				if n == 0 {
					// The write of this completion is in flight when the other runs finish.
					ends = 450 * time.Millisecond
				}
				f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: ends})
				jobs = append(jobs, j)
				first.submit(j)
			}
			running := func() int {
				n := 0
				for _, id := range []string{"w0", "w1", "w2", "w3"} {
					n += f.worker(id).Running()
				}
				return n
			}
			Eventually(running, callTimeout).Should(Equal(len(jobs)))
			f.store.SetFaults(cluster.StoreFaults{Down: true})
			Eventually(running, callTimeout).Should(BeZero())
			time.Sleep(100 * time.Millisecond) // until the owner has received the completions
			records.arm()
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				first.Close()
			}()
			time.Sleep(100 * time.Millisecond)
			f.store.SetFaults(cluster.StoreFaults{})
			Eventually(closed, callTimeout).Should(BeClosed())
			first.stop()
			f.wrapStore = nil
			// One worker responds to the new owner at once, the others late.
			for _, id := range []string{"w1", "w2", "w3"} {
				f.worker(id).SetFaults(cluster.WorkerFaults{SlowHeartbeats: 300 * time.Millisecond})
			}
			second := f.startOwner()
			for _, j := range jobs {
				Eventually(second.state, callTimeout).WithArguments(j.ID).Should(Equal("completed"))
				Expect(f.workers.History.Starts(string(j.ID) + ".0.0.0")).To(Equal(1))
			}
		})

		It("counts failures that two workers report in any order", func() {
			f = newFixture(2)
			first := f.startOwner()
			j := testJob(1, job.Step{})
			j.MaxAttempts = 2
			task := string(j.ID) + ".0.0.0"
			f.setBehaviour(task, cluster.Behaviour{Duration: 200 * time.Millisecond, Fails: true})
			first.submit(j)
			starts := func() int { return f.workers.History.Starts(task) }
			Eventually(starts, callTimeout, "1ms").Should(Equal(1))
			// From here on nothing is recorded; the second run is on the other worker.
			f.store.SetFaults(cluster.StoreFaults{Down: true})
			Eventually(starts, callTimeout).Should(Equal(2))
			time.Sleep(300 * time.Millisecond)
			first.cancel()
			events := f.workers.History.Events()
			Expect(events[0].Worker).NotTo(Equal(events[2].Worker))
			early := f.worker(string(events[0].Worker))
			early.SetFaults(cluster.WorkerFaults{Unresponsive: true})
			f.store.SetFaults(cluster.StoreFaults{})
			second := f.startOwner()
			time.Sleep(300 * time.Millisecond)
			early.SetFaults(cluster.WorkerFaults{})
			Eventually(second.state, callTimeout).WithArguments(j.ID).Should(Equal("failed"))
			Expect(starts()).To(Equal(2))
		})

		It("protects its records from late writes of the former owner", func() {
			f = newFixture(1)
			first := f.startOwner()
			f.store.SetFaults(cluster.StoreFaults{DelayWrites: 600 * time.Millisecond})
			err := first.Submit(context.Background(), testJob(1, job.Step{}))
			Expect(errors.As(err, new(*shard.UnknownOutcomeError))).To(BeTrue())
			f.store.SetFaults(cluster.StoreFaults{})
			first.cancel()
			second := f.startOwner()
			second.submit(testJob(2, job.Step{}))
			time.Sleep(time.Second)
			Eventually(second.state, callTimeout).WithArguments(testJob(2).ID).Should(Equal("completed"))
		})

		It("waits for the leases of unreachable workers before it starts their tasks elsewhere", func() {
			f = newFixture(1)
			first := f.startOwner()
			j := testJob(1, job.Step{LongRunning: true})
			f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: time.Hour})
			first.submit(j)
			Eventually(f.worker("w0").Running, callTimeout).Should(Equal(1))
			first.stop()
			// The worker is unreachable and has left the list, but its task continues until its lease expires.
			f.worker("w0").SetFaults(cluster.WorkerFaults{Unresponsive: true})
			f.hide("w0")
			other := f.addWorker("w1")
			f.startOwner()
			Eventually(other.Running, leaseExpiryTimeout).Should(Equal(1))
			Expect(violations(cluster.Expectation{})).To(BeEmpty())
		})
	})

	Describe("that receives a request to empty a worker", func() {
		// runOnEach starts a long-running task on each of three workers, of which one may be unavailable.
		runOnEach := func(o *owner) {
			j := testJob(1, job.Step{Count: 3, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: 1})
			for _, t := range []string{"0", "1", "2"} {
				f.setBehaviour(string(j.ID)+".0.0."+t, cluster.Behaviour{Duration: time.Hour})
			}
			o.submit(j)
			running := func() int { return f.worker("w0").Running() + f.worker("w1").Running() + f.worker("w2").Running() }
			Eventually(running, callTimeout).Should(Equal(3))
		}
		It("moves a long-running task only while enough others are available", func() {
			f = newFixture(3)
			o := f.startOwner()
			runOnEach(o)
			time.Sleep(300 * time.Millisecond)
			Eventually(func() bool { return f.empty(o, "w0") }, callTimeout, "20ms").Should(BeTrue())
			// No other worker may run the task, so it is unavailable, and the others must stay.
			for range 20 {
				Expect(f.empty(o, "w1")).To(BeFalse())
				Expect(f.worker("w1").Running()).To(Equal(1))
				time.Sleep(10 * time.Millisecond)
			}
		})

		It("does not count tasks as available that the former owner has told to stop", func() {
			f = newFixture(3)
			former := f.startOwner()
			runOnEach(former)
			time.Sleep(stopGrace + 700*time.Millisecond)
			f.worker("w0").SetFaults(cluster.WorkerFaults{SlowStops: stopGrace})
			Expect(f.empty(former, "w0")).To(BeFalse())
			time.Sleep(30 * time.Millisecond)
			former.Close()
			former.stop()
			successor := f.startOwner()
			// The task on w0 is unavailable until another worker has capacity for it.
			for range 60 {
				Expect(f.empty(successor, "w1")).To(BeFalse())
				Expect(f.worker("w1").Running()).To(Equal(1))
				time.Sleep(20 * time.Millisecond)
			}
		})

		It("does not report it as empty while completions are not recorded", func() {
			f = newFixture(1)
			o := f.startOwner()
			j := testJob(1, job.Step{})
			f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: 300 * time.Millisecond, Fails: true})
			o.submit(j)
			Eventually(f.worker("w0").Running, callTimeout).Should(Equal(1))
			f.store.SetFaults(cluster.StoreFaults{Down: true})
			Consistently(func() bool { return f.empty(o, "w0") }, "900ms", "20ms").Should(BeFalse())
			f.store.SetFaults(cluster.StoreFaults{})
			Eventually(func() bool { return f.empty(o, "w0") }, callTimeout, "20ms").Should(BeTrue())
		})

		It("rejects the request when its ownership may end before the command to the host arrives", func() {
			f = newFixture(1)
			o := f.startOwner()
			o.grantLeasesFor(shard.MaxWorkerLease + time.Second)
			_, err := o.Empty(context.Background(), "w0")
			Expect(errors.As(err, new(*shard.NotOwnerError))).To(BeTrue())
		})

		It("does not report a worker as empty that it has not contacted", func() {
			f = newFixture(1)
			o := f.startOwner()
			empty, err := o.Empty(context.Background(), "unknown")
			Expect(err).NotTo(HaveOccurred())
			Expect(empty).To(BeFalse())
		})
	})

	It("starts all members of a gang under one number, or none", func() {
		f = newFixture(2)
		o := f.startOwner()
		small := testJob(1, job.Step{Count: 4, Gang: true, Need: worker.Resources{CPU: 4000, MemMB: 100}})
		for _, t := range []string{"0", "1", "2", "3"} {
			f.setBehaviour(string(small.ID)+".0.0."+t, cluster.Behaviour{Duration: 100 * time.Millisecond})
		}
		large := testJob(2, job.Step{Count: 5, Gang: true, Need: worker.Resources{CPU: 4000, MemMB: 100}})
		o.submit(small)
		o.submit(large)
		Eventually(o.state, callTimeout).WithArguments(small.ID).Should(Equal("completed"))
		Consistently(o.state, "300ms").WithArguments(large.ID).Should(Equal("pending"))
		numbers := map[int]bool{}
		for _, e := range f.workers.History.Events() {
			Expect(e.Task).To(HavePrefix(string(small.ID)))
			numbers[e.Number] = true
		}
		Expect(numbers).To(HaveLen(1))
	})

	It("starts occurrences on time by the workers' clocks", func() {
		f = newFixture(1)
		o := f.startOwner()
		o.submit(testJob(1, job.Step{}))
		Eventually(o.state, callTimeout).WithArguments(testJob(1).ID).Should(Equal("completed"))
		j := testJob(2, job.Step{})
		began := time.Now()
		j.MaxRuns, j.FirstDueMS, j.Interval = 3, began.Add(300*time.Millisecond).UnixMilli(), 200*time.Millisecond
		o.submit(j)
		Eventually(o.state, callTimeout+callTimeout).WithArguments(j.ID).Should(Equal("completed"))
		due := map[string]time.Duration{"0": 300 * time.Millisecond, "1": 500 * time.Millisecond, "2": 700 * time.Millisecond}
		for k, d := range due {
			for _, e := range f.workers.History.Events() {
				if e.Kind == cluster.Started && e.Task == string(j.ID)+"."+k+".0.0" {
					Expect(e.At.Sub(began)).To(BeNumerically("~", d+100*time.Millisecond, 150*time.Millisecond))
				}
			}
			Expect(f.workers.History.Starts(string(j.ID) + "." + k + ".0.0")).To(Equal(1))
		}
	})

	Describe("that sizes its pool", func() {
		wanted := func(o *owner) int {
			d, err := o.Demand(context.Background(), nil)
			Expect(err).NotTo(HaveOccurred())
			return d.Wanted
		}
		It("counts jobs that it rejects because of the store", func() {
			f = newFixture(1)
			o := f.startOwner()
			time.Sleep(1600 * time.Millisecond)
			idle := wanted(o)
			f.store.SetFaults(cluster.StoreFaults{Down: true})
			for n := range 60 {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
				Expect(o.Submit(ctx, testJob(n+1, job.Step{Count: 8, Estimate: time.Second}))).NotTo(Succeed())
				cancel()
			}
			Expect(wanted(o)).To(BeNumerically(">", idle))
		})
		It("requests a host when a long-running task fits on no single host, although the total capacity suffices", func() {
			f = newFixture(3)
			o := f.startOwner()
			time.Sleep(1600 * time.Millisecond)
			whole := f.listed()["w0"].Capacity
			half := worker.Resources{CPU: whole.CPU * 55 / 100, MemMB: 1}
			for _, task := range []string{"0", "1", "2"} {
				f.setBehaviour(string(testJob(1).ID)+".0.0."+task, cluster.Behaviour{Duration: time.Hour})
			}
			o.submit(testJob(1, job.Step{Count: 3, LongRunning: true, Need: half}))
			Eventually(func() int { return f.worker("w0").Running() + f.worker("w1").Running() + f.worker("w2").Running() }, callTimeout).Should(Equal(3))
			Consistently(func() int { return wanted(o) }, "600ms").Should(BeNumerically("<=", 3))
			o.submit(testJob(2, job.Step{LongRunning: true, Need: half}))
			// Other partitions of the pool are asked first: a task that maintenance moved is placed soon.
			Consistently(func() int { return wanted(o) }, "800ms").Should(BeNumerically("<=", 3))
			Eventually(func() int { wanted(o); return o.Wanted() }, "1s").Should(BeNumerically(">=", 4))
			Expect(wanted(o)).To(BeNumerically("<=", 3))
			Eventually(func() int { return wanted(o) }, callTimeout).Should(BeNumerically(">=", 4))
		})
		It("reports an unknown demand while it is new, and none when it may have lost ownership", func() {
			f = newFixture(5)
			o := f.startOwner()
			settling := func() bool {
				d, err := o.Demand(context.Background(), nil)
				Expect(err).NotTo(HaveOccurred())
				return d.Settling
			}
			Consistently(settling, "500ms").Should(BeTrue())
			Eventually(settling, "2s").Should(BeFalse())
			o.grantLeasesFor(shard.MaxWorkerLease)
			_, err := o.Demand(context.Background(), nil)
			Expect(errors.As(err, new(*shard.NotOwnerError))).To(BeTrue())
		})
	})

	It("rejects jobs half a second after the store stopped responding, while its lease is still valid", func() {
		f = newFixture(1)
		o := f.startOwner()
		// The store responds to nothing during the whole test.
		f.store.SetFaults(cluster.StoreFaults{LostCalls: 1 << 20})
		first := make(chan error, 1)
		go func() { first <- o.Submit(context.Background(), testJob(1, job.Step{})) }()
		time.Sleep(500 * time.Millisecond)
		began := time.Now()
		Expect(errors.As(o.Submit(context.Background(), testJob(2, job.Step{})), new(*shard.RejectedError))).To(BeTrue())
		Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
		Expect(errors.As(<-first, new(*shard.UnknownOutcomeError))).To(BeTrue(), "the first may have been recorded")
	})
	It("issues no commands under a claim that was made after its ownership ended", func() {
		f = newFixture(1)
		o := f.startOwner()
		j := testJob(1, job.Step{})
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: time.Hour})
		o.submit(j)
		Eventually(f.worker("w0").Running, callTimeout).Should(Equal(1))
		o.grantLeasesFor(shard.MaxWorkerLease)
		claimed := f.rewriteKey("claim/w0")
		f.mu.Lock()
		f.claims["w0"] = claimed
		f.mu.Unlock()
		time.Sleep(2500 * time.Millisecond) // until the owner has read the claims and sent a heartbeat to the worker
		w := f.listed()["w0"]
		_, err := f.workers.Dial(w).Stop(context.Background(), claimed-1, "0000000000000002.0.0.0", 1)
		Expect(err).NotTo(HaveOccurred(), "the worker has received the token of the claim")
		o.grantLeasesFor(time.Hour)
		Eventually(func() error {
			_, err := f.workers.Dial(w).Stop(context.Background(), claimed-1, "0000000000000002.0.0.0", 1)
			return err
		}, 2*callTimeout).Should(HaveOccurred())
	})
	It("repeats no start command once its ownership is uncertain", func() {
		// A worker that restarts forgets the successor's token and would accept the start.
		f = newFixture(1)
		o := f.startOwner()
		j := testJob(1, job.Step{LongRunning: true})
		f.worker("w0").SetFaults(cluster.WorkerFaults{DelayedStarts: 1, StartDelay: time.Hour, StartTimeout: 300 * time.Millisecond})
		o.submit(j)
		Eventually(f.worker("w0").StartsReceived, callTimeout).Should(Equal(1))
		o.grantLeasesFor(shard.MaxWorkerLease / 2)
		Consistently(f.worker("w0").StartsReceived, time.Second).Should(Equal(1))
	})

	It("starts nothing once it may no longer grant leases", func() {
		f = newFixture(1)
		o := f.startOwner()
		o.grantLeasesFor(0)
		err := o.Submit(context.Background(), testJob(1, job.Step{}))
		Expect(errors.As(err, new(*shard.RejectedError))).To(BeTrue())
	})
})

func (f *fixture) worker(id string) *cluster.Worker { return f.workers.Find(worker.ID(id)) }

func (f *fixture) hide(id worker.ID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hidden[id] = true
}

// list lists a hidden worker again.
func (f *fixture) list(id worker.ID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.hidden, id)
}

func (f *fixture) empty(o *owner, id worker.ID) bool {
	empty, err := o.Empty(context.Background(), id)
	Expect(err).NotTo(HaveOccurred())
	return empty
}

// recordedWorkers returns an error unless exactly n workers are recorded.
func recordedWorkers(f *fixture, n int) error {
	e, err := f.store.Get(context.Background(), jobstore.WorkersKey("quoter"))
	if err != nil {
		return err
	}
	var workers map[worker.ID]json.RawMessage
	if err := json.Unmarshal(e.Value, &workers); err != nil {
		return err
	}
	if len(workers) != n {
		return fmt.Errorf("%d workers recorded", len(workers))
	}
	return nil
}
