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
	var b *bench
	violations := func(x cluster.Expectation) []cluster.Violation { return cluster.Check(b.workers.History.Events(), x) }

	It("runs steps in order and shows a job as completed", func() {
		b = newBench(2)
		o := b.own()
		j := jobOf(1, job.Step{Count: 4}, job.Step{Count: 2, After: []int{0}})
		o.submit(j)
		Eventually(o.state, soon).WithArguments(j.ID).Should(Equal("completed"))
		id := string(j.ID)
		Expect(violations(cluster.Expectation{After: map[string][]string{id + ".0.1": {id + ".0.0.0", id + ".0.0.3"}}})).To(BeEmpty())
		Expect(b.workers.History.Starts(id + ".0.1.1")).To(Equal(1))
	})

	It("takes the same job once", func() {
		b = newBench(1)
		o := b.own()
		j := jobOf(1, job.Step{})
		o.submit(j)
		Eventually(o.state, soon).WithArguments(j.ID).Should(Equal("completed"))
		o.submit(j)
		Consistently(func() int { return b.workers.History.Starts(string(j.ID) + ".0.0.0") }, "200ms").Should(Equal(1))
	})

	It("counts workers that have not answered a new owner yet as room", func() {
		b = newBench(4)
		b.own().stop()
		for _, id := range []string{"w0", "w1", "w2", "w3"} {
			b.worker(id).SetFaults(cluster.WorkerFaults{SlowHolds: 500 * time.Millisecond})
		}
		o := b.own()
		j := jobOf(1, job.Step{Count: 8, Estimate: time.Second})
		o.submit(jobOf(2, job.Step{Count: 8, Estimate: time.Second}))
		Expect(o.Submit(context.Background(), j)).To(Succeed())
	})

	It("fails a job after its attempts and says so", func() {
		b = newBench(2)
		o := b.own()
		j := jobOf(1, job.Step{})
		b.behave(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: 5 * time.Millisecond, Fails: true})
		o.submit(j)
		Eventually(o.state, soon).WithArguments(j.ID).Should(Equal("failed"))
		Expect(b.workers.History.Starts(string(j.ID) + ".0.0.0")).To(Equal(3))
	})

	It("stops a cancelled job", func() {
		b = newBench(1)
		o := b.own()
		j := jobOf(1, job.Step{Count: 3, LongRunning: true})
		b.behave(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: time.Hour})
		o.submit(j)
		Eventually(b.workers.List, soon).ShouldNot(BeEmpty())
		Eventually(o.state, soon).WithArguments(j.ID).Should(Equal("running"))
		Expect(o.Cancel(context.Background(), j.ID)).To(Succeed())
		Expect(o.state(j.ID)).To(Equal("cancelled"))
		w := b.workers.Dial(worker.Worker{ID: "w0"})
		Eventually(func() int {
			s, err := w.Heartbeat(context.Background(), worker.HeartbeatCommand{Token: 1 << 40})
			Expect(err).NotTo(HaveOccurred())
			return len(s.Running)
		}, soon).Should(BeZero())
	})

	It("waits for the end of a run whose start had no answer before it starts the task again", func() {
		// The worker refuses the repeated start as old, because the run has ended done.
		b = newBench(2)
		o := b.own()
		for n := range 6 {
			j := jobOf(n+1, job.Step{Count: 2})
			b.behave(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: time.Millisecond})
			b.behave(string(j.ID)+".0.0.1", cluster.Behaviour{Duration: time.Millisecond})
			b.worker("w0").SetFaults(cluster.WorkerFaults{LoseStarts: 1})
			b.worker("w1").SetFaults(cluster.WorkerFaults{LoseStarts: 1})
			o.submit(j)
			Eventually(o.state, soon).WithArguments(j.ID).Should(Equal("completed"))
		}
		Expect(violations(cluster.Expectation{})).To(BeEmpty())
	})

	It("does not run a task twice when a start is carried out late", func() {
		b = newBench(2)
		o := b.own()
		j := jobOf(1, job.Step{Count: 4})
		b.worker("w0").SetFaults(cluster.WorkerFaults{LateStarts: 2, Late: 400 * time.Millisecond})
		o.submit(j)
		Eventually(o.state, soon+soon).WithArguments(j.ID).Should(Equal("completed"))
		time.Sleep(500 * time.Millisecond)
		Expect(violations(cluster.Expectation{})).To(BeEmpty())
	})

	It("starts the work of a silent worker elsewhere once its lease has ended", func() {
		// Repeated holds must not move the end of the lease.
		b = newBench(2)
		o := b.own()
		j := jobOf(1, job.Step{Count: 2, LongRunning: true, MaxPerWorker: 1})
		for _, t := range []string{".0.0.0", ".0.0.1"} {
			b.behave(string(j.ID)+t, cluster.Behaviour{Duration: time.Hour})
		}
		o.submit(j)
		Eventually(func() int { return b.worker("w0").Running() + b.worker("w1").Running() }, soon).Should(Equal(2))
		b.worker("w0").SetFaults(cluster.WorkerFaults{Silent: true})
		third := b.addWorker("w2")
		Consistently(third.Running, shard.MaxWorkerLease-1500*time.Millisecond).Should(BeZero())
		Eventually(third.Running, afterLease).Should(Equal(1))
		Expect(violations(cluster.Expectation{})).To(BeEmpty())
	})

	It("starts the work of a worker that was born again at once", func() {
		b = newBench(1)
		o := b.own()
		j := jobOf(1, job.Step{LongRunning: true})
		b.behave(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: time.Hour})
		o.submit(j)
		Eventually(b.worker("w0").Running, soon).Should(Equal(1))
		b.worker("w0").Crash()
		Eventually(b.worker("w0").Running, soon).Should(Equal(1))
	})

	It("keeps a tenant below its limit", func() {
		b = newBench(2)
		b.config.Accounts["acme"] = jobconfig.Account{Name: "acme", Weight: 1, Limit: worker.Resources{CPU: 3000}}
		o := b.own()
		j := jobOf(1, job.Step{Count: 9})
		j.Account = "acme"
		for _, t := range []string{"0", "1", "2", "3", "4", "5", "6", "7", "8"} {
			b.behave(string(j.ID)+".0.0."+t, cluster.Behaviour{Duration: 60 * time.Millisecond})
		}
		o.submit(j)
		most := 0
		Eventually(func() string {
			most = max(most, b.worker("w0").Running()+b.worker("w1").Running())
			return o.state(j.ID)
		}, soon, "2ms").Should(Equal("completed"))
		Expect(most).To(BeNumerically("<=", 3))
	})

	It("refuses a job that it cannot record, and only before the record was sent", func() {
		b = newBench(1)
		o := b.own()
		b.store.SetFaults(cluster.StoreFaults{Down: true})
		first := o.Submit(context.Background(), jobOf(1, job.Step{}))
		Expect(errors.As(first, new(*shard.UnknownOutcomeError))).To(BeTrue(), "the record was on its way: %v", first)
		second := o.Submit(context.Background(), jobOf(2, job.Step{}))
		Expect(errors.As(second, new(*shard.RejectedError))).To(BeTrue(), "%v", second)
		b.store.SetFaults(cluster.StoreFaults{})
		Eventually(o.state, soon).WithArguments(jobOf(1).ID).Should(Equal("completed"))
		Expect(o.state(jobOf(2).ID)).To(ContainSubstring("no job"))
	})

	It("refuses at once what would end after three times its objective", func() {
		b = newBench(1)
		o := b.own()
		refused := 0
		for n := range 40 {
			j := jobOf(n+1, job.Step{Count: 8, Estimate: 500 * time.Millisecond})
			j.Objective = 100 * time.Millisecond
			ctx, cancel := context.WithTimeout(context.Background(), soon)
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

	Describe("followed by another", func() {
		It("hands running work over without a second run", func() {
			b = newBench(2)
			first := b.own()
			j := jobOf(1, job.Step{Count: 4}, job.Step{Count: 4, After: []int{0}})
			for _, t := range []string{"0", "1", "2", "3"} {
				b.behave(string(j.ID)+".0.0."+t, cluster.Behaviour{Duration: 500 * time.Millisecond})
			}
			first.submit(j)
			Eventually(func() int { return b.worker("w0").Running() + b.worker("w1").Running() }, soon).Should(Equal(4))
			second := b.own()
			Eventually(second.state, soon).WithArguments(j.ID).Should(Equal("completed"))
			Expect(violations(cluster.Expectation{})).To(BeEmpty())
			Expect(b.workers.History.Starts(string(j.ID) + ".0.0.0")).To(Equal(1))
		})

		// halfDone returns a job whose first step runs and whose second waits.
		halfDone := func(o *owner) job.Job {
			j := jobOf(1, job.Step{}, job.Step{After: []int{0}})
			b.behave(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: 500 * time.Millisecond})
			o.submit(j)
			Eventually(func() int { return b.worker("w0").Running() }, soon).Should(Equal(1))
			return j
		}
		loseWorker := func(id string) {
			b.workers.Remove(worker.ID(id))
			time.Sleep(300 * time.Millisecond) // the owner sees that it has left the list
		}

		It("does not wait for a worker that had left before a planned hand-over", func() {
			b = newBench(1)
			b.addWorker("w1")
			first := b.own()
			Eventually(func() error { return recordedWorkers(b, 2) }, soon).Should(Succeed())
			b.hide("w1")
			j := halfDone(first)
			b.workers.Remove("w1")
			time.Sleep(300 * time.Millisecond)
			first.Close()
			first.stop()
			Eventually(b.own().state, soon).WithArguments(j.ID).Should(Equal("completed"))
		})

		It("waits only for the tasks of a worker that did not answer at a planned hand-over", func() {
			b = newBench(2)
			first := b.own()
			lasting := jobOf(7, job.Step{Count: 2, LongRunning: true, MaxPerWorker: 1})
			for _, t := range []string{".0.0.0", ".0.0.1"} {
				b.behave(string(lasting.ID)+t, cluster.Behaviour{Duration: time.Hour})
			}
			first.submit(lasting)
			Eventually(func() int { return b.worker("w0").Running() + b.worker("w1").Running() }, soon).Should(Equal(2))
			b.worker("w1").SetFaults(cluster.WorkerFaults{Silent: true})
			time.Sleep(300 * time.Millisecond) // the owner learns that the worker does not answer
			j := jobOf(1, job.Step{}, job.Step{After: []int{0}})
			b.behave(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: 300 * time.Millisecond})
			first.submit(j)
			Eventually(func() int { return b.worker("w0").Running() }, soon).Should(Equal(2))
			first.Close()
			first.stop()
			third := b.addWorker("w2")
			Eventually(b.own().state, soon).WithArguments(j.ID).Should(Equal("completed"))
			Expect(b.workers.History.Starts(string(lasting.ID)+".0.0.0") + b.workers.History.Starts(string(lasting.ID)+".0.0.1")).To(Equal(2))
			Eventually(third.Running, afterLease).Should(Equal(1))
			Expect(violations(cluster.Expectation{})).To(BeEmpty())
		})

		It("does not wait for a worker that had left before the last record of a lost owner", func() {
			b = newBench(1)
			b.addWorker("w1")
			first := b.own()
			Eventually(func() error { return recordedWorkers(b, 2) }, soon).Should(Succeed())
			loseWorker("w1")
			j := halfDone(first)
			first.stop()
			Eventually(b.own().state, soon).WithArguments(j.ID).Should(Equal("completed"))
		})

		It("does not start again what had ended when its last records were cut off", func() {
			b = newBench(4)
			records := &cutStore{key: jobstore.WorkersKey("quoter")}
			b.through = func(s store.Transactional) store.Transactional {
				records.Transactional = s
				return records
			}
			first := b.own()
			var jobs []job.Job
			for n := range jobstore.MaxBatch + 3 {
				j := jobOf(n+1, job.Step{})
				ends := 700 * time.Millisecond
				if n == 0 {
					// The record of this end is on its way when the others end.
					ends = 450 * time.Millisecond
				}
				b.behave(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: ends})
				jobs = append(jobs, j)
				first.submit(j)
			}
			running := func() int {
				n := 0
				for _, id := range []string{"w0", "w1", "w2", "w3"} {
					n += b.worker(id).Running()
				}
				return n
			}
			Eventually(running, soon).Should(Equal(len(jobs)))
			b.store.SetFaults(cluster.StoreFaults{Down: true})
			Eventually(running, soon).Should(BeZero())
			time.Sleep(100 * time.Millisecond) // the owner learns of the ends
			records.arm()
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				first.Close()
			}()
			time.Sleep(100 * time.Millisecond)
			b.store.SetFaults(cluster.StoreFaults{})
			Eventually(closed, soon).Should(BeClosed())
			first.stop()
			b.through = nil
			// One worker answers the new owner at once, the others late.
			for _, id := range []string{"w1", "w2", "w3"} {
				b.worker(id).SetFaults(cluster.WorkerFaults{SlowHolds: 300 * time.Millisecond})
			}
			second := b.own()
			for _, j := range jobs {
				Eventually(second.state, soon).WithArguments(j.ID).Should(Equal("completed"))
				Expect(b.workers.History.Starts(string(j.ID) + ".0.0.0")).To(Equal(1))
			}
		})

		It("counts failures that two workers list in any order", func() {
			b = newBench(2)
			first := b.own()
			j := jobOf(1, job.Step{})
			j.MaxAttempts = 2
			task := string(j.ID) + ".0.0.0"
			b.behave(task, cluster.Behaviour{Duration: 200 * time.Millisecond, Fails: true})
			first.submit(j)
			starts := func() int { return b.workers.History.Starts(task) }
			Eventually(starts, soon, "1ms").Should(Equal(1))
			// From here on nothing is recorded; the second run takes place on the other worker.
			b.store.SetFaults(cluster.StoreFaults{Down: true})
			Eventually(starts, soon).Should(Equal(2))
			time.Sleep(300 * time.Millisecond)
			first.cancel()
			events := b.workers.History.Events()
			Expect(events[0].Worker).NotTo(Equal(events[2].Worker))
			early := b.worker(string(events[0].Worker))
			early.SetFaults(cluster.WorkerFaults{Silent: true})
			b.store.SetFaults(cluster.StoreFaults{})
			second := b.own()
			time.Sleep(300 * time.Millisecond)
			early.SetFaults(cluster.WorkerFaults{})
			Eventually(second.state, soon).WithArguments(j.ID).Should(Equal("failed"))
			Expect(starts()).To(Equal(2))
		})

		It("keeps its records from the former owner's late writes", func() {
			b = newBench(1)
			first := b.own()
			b.store.SetFaults(cluster.StoreFaults{DelayWrites: 600 * time.Millisecond})
			err := first.Submit(context.Background(), jobOf(1, job.Step{}))
			Expect(errors.As(err, new(*shard.UnknownOutcomeError))).To(BeTrue())
			b.store.SetFaults(cluster.StoreFaults{})
			first.cancel()
			second := b.own()
			second.submit(jobOf(2, job.Step{}))
			time.Sleep(time.Second)
			Eventually(second.state, soon).WithArguments(jobOf(2).ID).Should(Equal("completed"))
		})

		It("waits for workers that it cannot reach before it starts their work elsewhere", func() {
			b = newBench(1)
			first := b.own()
			j := jobOf(1, job.Step{LongRunning: true})
			b.behave(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: time.Hour})
			first.submit(j)
			Eventually(b.worker("w0").Running, soon).Should(Equal(1))
			first.stop()
			// The worker is cut off and has left the list, but its task goes on for its lease.
			b.worker("w0").SetFaults(cluster.WorkerFaults{Silent: true})
			b.hide("w0")
			other := b.addWorker("w1")
			b.own()
			Eventually(other.Running, afterLease).Should(Equal(1))
			Expect(violations(cluster.Expectation{})).To(BeEmpty())
		})
	})

	Describe("that is asked to empty a worker", func() {
		// runOnEach starts a lasting task on each of three workers, of which one may be away.
		runOnEach := func(o *owner) {
			j := jobOf(1, job.Step{Count: 3, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: 1})
			for _, t := range []string{"0", "1", "2"} {
				b.behave(string(j.ID)+".0.0."+t, cluster.Behaviour{Duration: time.Hour})
			}
			o.submit(j)
			running := func() int { return b.worker("w0").Running() + b.worker("w1").Running() + b.worker("w2").Running() }
			Eventually(running, soon).Should(Equal(3))
		}
		It("moves a lasting task only while enough others are at work", func() {
			b = newBench(3)
			o := b.own()
			runOnEach(o)
			time.Sleep(300 * time.Millisecond)
			Eventually(func() bool { return b.empty(o, "w0") }, soon, "20ms").Should(BeTrue())
			// No worker may take the task, so it is away, and the others must stay.
			for range 20 {
				Expect(b.empty(o, "w1")).To(BeFalse())
				Expect(b.worker("w1").Running()).To(Equal(1))
				time.Sleep(10 * time.Millisecond)
			}
		})

		It("does not take for at work what the former owner has told to stop", func() {
			b = newBench(3)
			former := b.own()
			runOnEach(former)
			time.Sleep(stopGrace + 700*time.Millisecond)
			b.worker("w0").SetFaults(cluster.WorkerFaults{SlowStops: stopGrace})
			Expect(b.empty(former, "w0")).To(BeFalse())
			time.Sleep(30 * time.Millisecond)
			former.Close()
			former.stop()
			successor := b.own()
			// The task on w0 is away from now on until another worker has room for it.
			for range 60 {
				Expect(b.empty(successor, "w1")).To(BeFalse())
				Expect(b.worker("w1").Running()).To(Equal(1))
				time.Sleep(20 * time.Millisecond)
			}
		})

		It("does not call it empty while ends are not recorded", func() {
			b = newBench(1)
			o := b.own()
			j := jobOf(1, job.Step{})
			b.behave(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: 300 * time.Millisecond, Fails: true})
			o.submit(j)
			Eventually(b.worker("w0").Running, soon).Should(Equal(1))
			b.store.SetFaults(cluster.StoreFaults{Down: true})
			Consistently(func() bool { return b.empty(o, "w0") }, "900ms", "20ms").Should(BeFalse())
			b.store.SetFaults(cluster.StoreFaults{})
			Eventually(func() bool { return b.empty(o, "w0") }, soon, "20ms").Should(BeTrue())
		})

		It("does not answer when its ownership may end before the host is ordered down", func() {
			b = newBench(1)
			o := b.own()
			o.orders(shard.MaxWorkerLease + time.Second)
			_, err := o.Empty(context.Background(), "w0")
			Expect(errors.As(err, new(*shard.NotOwnerError))).To(BeTrue())
		})

		It("does not call a worker empty that it has not asked", func() {
			b = newBench(1)
			o := b.own()
			empty, err := o.Empty(context.Background(), "unknown")
			Expect(err).NotTo(HaveOccurred())
			Expect(empty).To(BeFalse())
		})
	})

	It("starts a gang whole, under one number, or not at all", func() {
		b = newBench(2)
		o := b.own()
		small := jobOf(1, job.Step{Count: 4, Gang: true, Need: worker.Resources{CPU: 4000, MemMB: 100}})
		for _, t := range []string{"0", "1", "2", "3"} {
			b.behave(string(small.ID)+".0.0."+t, cluster.Behaviour{Duration: 100 * time.Millisecond})
		}
		large := jobOf(2, job.Step{Count: 5, Gang: true, Need: worker.Resources{CPU: 4000, MemMB: 100}})
		o.submit(small)
		o.submit(large)
		Eventually(o.state, soon).WithArguments(small.ID).Should(Equal("completed"))
		Consistently(o.state, "300ms").WithArguments(large.ID).Should(Equal("pending"))
		numbers := map[int]bool{}
		for _, e := range b.workers.History.Events() {
			Expect(e.Task).To(HavePrefix(string(small.ID)))
			numbers[e.Number] = true
		}
		Expect(numbers).To(HaveLen(1))
	})

	It("starts occurrences on time by the workers' clocks", func() {
		b = newBench(1)
		o := b.own()
		o.submit(jobOf(1, job.Step{}))
		Eventually(o.state, soon).WithArguments(jobOf(1).ID).Should(Equal("completed"))
		j := jobOf(2, job.Step{})
		began := time.Now()
		j.MaxRuns, j.FirstDueMS, j.Interval = 3, began.Add(300*time.Millisecond).UnixMilli(), 200*time.Millisecond
		o.submit(j)
		Eventually(o.state, soon+soon).WithArguments(j.ID).Should(Equal("completed"))
		due := map[string]time.Duration{"0": 300 * time.Millisecond, "1": 500 * time.Millisecond, "2": 700 * time.Millisecond}
		for k, d := range due {
			for _, e := range b.workers.History.Events() {
				if e.Kind == cluster.Started && e.Task == string(j.ID)+"."+k+".0.0" {
					Expect(e.At.Sub(began)).To(BeNumerically("~", d+100*time.Millisecond, 150*time.Millisecond))
				}
			}
			Expect(b.workers.History.Starts(string(j.ID) + "." + k + ".0.0")).To(Equal(1))
		}
	})

	Describe("whose pool is sized", func() {
		wanted := func(o *owner) int {
			d, err := o.Demand(context.Background(), nil)
			Expect(err).NotTo(HaveOccurred())
			return d.Wanted
		}
		It("counts jobs that it refuses because of the store", func() {
			b = newBench(1)
			o := b.own()
			time.Sleep(1600 * time.Millisecond)
			idle := wanted(o)
			b.store.SetFaults(cluster.StoreFaults{Down: true})
			for n := range 60 {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
				Expect(o.Submit(ctx, jobOf(n+1, job.Step{Count: 8, Estimate: time.Second}))).NotTo(Succeed())
				cancel()
			}
			Expect(wanted(o)).To(BeNumerically(">", idle))
		})
		It("asks for a host when a lasting task finds no room in any, though the sum of all would", func() {
			b = newBench(3)
			o := b.own()
			time.Sleep(1600 * time.Millisecond)
			whole := b.listed()["w0"].Capacity
			half := worker.Resources{CPU: whole.CPU * 55 / 100, MemMB: 1}
			for _, task := range []string{"0", "1", "2"} {
				b.behave(string(jobOf(1).ID)+".0.0."+task, cluster.Behaviour{Duration: time.Hour})
			}
			o.submit(jobOf(1, job.Step{Count: 3, LongRunning: true, Need: half}))
			Eventually(func() int { return b.worker("w0").Running() + b.worker("w1").Running() + b.worker("w2").Running() }, soon).Should(Equal(3))
			Consistently(func() int { return wanted(o) }, "600ms").Should(BeNumerically("<=", 3))
			o.submit(jobOf(2, job.Step{LongRunning: true, Need: half}))
			// Other parts of the pool are asked first; a task that upkeep has moved finds room soon.
			Consistently(func() int { return wanted(o) }, "800ms").Should(BeNumerically("<=", 3))
			Eventually(func() int { wanted(o); return o.Wanted() }, "1s").Should(BeNumerically(">=", 4))
			Expect(wanted(o)).To(BeNumerically("<=", 3))
			Eventually(func() int { return wanted(o) }, soon).Should(BeNumerically(">=", 4))
		})
		It("says that it does not know the demand while it is new, and nothing when it may be deposed", func() {
			b = newBench(5)
			o := b.own()
			settling := func() bool {
				d, err := o.Demand(context.Background(), nil)
				Expect(err).NotTo(HaveOccurred())
				return d.Settling
			}
			Consistently(settling, "500ms").Should(BeTrue())
			Eventually(settling, "2s").Should(BeFalse())
			o.orders(shard.MaxWorkerLease)
			_, err := o.Demand(context.Background(), nil)
			Expect(errors.As(err, new(*shard.NotOwnerError))).To(BeTrue())
		})
	})

	It("refuses jobs half a second after the store has fallen silent, while its lease still holds", func() {
		b = newBench(1)
		o := b.own()
		// Nothing is answered for as long as the test lasts.
		b.store.SetFaults(cluster.StoreFaults{LostCalls: 1 << 20})
		first := make(chan error, 1)
		go func() { first <- o.Submit(context.Background(), jobOf(1, job.Step{})) }()
		time.Sleep(500 * time.Millisecond)
		began := time.Now()
		Expect(errors.As(o.Submit(context.Background(), jobOf(2, job.Step{})), new(*shard.RejectedError))).To(BeTrue())
		Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
		Expect(errors.As(<-first, new(*shard.UnknownOutcomeError))).To(BeTrue(), "the first may have been recorded")
	})
	It("gives no orders under a claim that came after its ownership had ended", func() {
		b = newBench(1)
		o := b.own()
		j := jobOf(1, job.Step{})
		b.behave(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: time.Hour})
		o.submit(j)
		Eventually(b.worker("w0").Running, soon).Should(Equal(1))
		o.orders(shard.MaxWorkerLease)
		claimed := b.touch("claim/w0")
		b.mu.Lock()
		b.claims["w0"] = claimed
		b.mu.Unlock()
		time.Sleep(2500 * time.Millisecond) // the owner has looked at the claims and held the worker
		w := b.listed()["w0"]
		_, err := b.workers.Dial(w).Stop(context.Background(), claimed-1, "0000000000000002.0.0.0", 1)
		Expect(err).NotTo(HaveOccurred(), "the worker follows the claim")
		o.orders(time.Hour)
		Eventually(func() error {
			_, err := b.workers.Dial(w).Stop(context.Background(), claimed-1, "0000000000000002.0.0.0", 1)
			return err
		}, 2*soon).Should(HaveOccurred())
	})
	It("starts nothing once its right to give leases has ended", func() {
		b = newBench(1)
		o := b.own()
		o.orders(0)
		err := o.Submit(context.Background(), jobOf(1, job.Step{}))
		Expect(errors.As(err, new(*shard.RejectedError))).To(BeTrue())
	})
})

func (b *bench) worker(id string) *cluster.Worker { return b.workers.Find(worker.ID(id)) }

func (b *bench) hide(id worker.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hidden[id] = true
}

func (b *bench) empty(o *owner, id worker.ID) bool {
	empty, err := o.Empty(context.Background(), id)
	Expect(err).NotTo(HaveOccurred())
	return empty
}

// recordedWorkers returns an error unless so many workers are recorded.
func recordedWorkers(b *bench, n int) error {
	e, err := b.store.Get(context.Background(), jobstore.WorkersKey("quoter"))
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
