package shard_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/worker"
)

// Guards against stops of running long-running tasks beyond the step's MaxUnavailable (AVAIL).
var _ = Describe("a long-running task whose start took effect without a response", func() {
	const startTimeout = 300 * time.Millisecond
	// startWith starts two tasks, each on its own worker: the start of the first one gets no response and never takes
	// effect, and the worker of the second one has the given faults.
	startWith := func(f *fixture, maxUnavailable int, faults cluster.WorkerFaults) (second *cluster.Worker) {
		f.workers.Behaviour = func(string, int) cluster.Behaviour { return cluster.Behaviour{Duration: time.Hour} }
		f.worker("w0").SetFaults(cluster.WorkerFaults{DelayedStarts: 1000, StartDelay: time.Hour, StartTimeout: startTimeout})
		f.worker("w1").SetFaults(faults)
		o := f.startOwner()
		time.Sleep(2 * time.Second) // a new owner waits for the stops of its predecessor
		o.submit(testJob(1, job.Step{Count: 2, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: maxUnavailable}))
		Eventually(f.worker("w1").Running, faults.StartDelay+time.Second).Should(Equal(1))
		return f.worker("w1")
	}
	// startBoth lets the start of the second task take effect at once, without a response.
	startBoth := func(f *fixture, maxUnavailable int) (second *cluster.Worker) {
		return startWith(f, maxUnavailable, cluster.WorkerFaults{DelayedStarts: 2, StartTimeout: startTimeout})
	}

	simulatedIt("is not stopped while too many others of its step are unavailable", func(f *fixture) {
		second := startBoth(f, 1)
		for range 100 {
			Expect(second.Running()).To(Equal(1))
			time.Sleep(100 * time.Millisecond)
		}
	})

	// startBothByRepetition lets the start of the second task take effect by its repetition only, without a response.
	startBothByRepetition := func(f *fixture, maxUnavailable int) (second *cluster.Worker) {
		return startWith(f, maxUnavailable, cluster.WorkerFaults{
			DelayedStarts: 1, StartDelay: time.Hour, StartTimeout: startTimeout, LoseStartReplies: 1,
		})
	}

	simulatedIt("is not stopped while too many others of its step are unavailable and its repeated start has no answer", func(f *fixture) {
		second := startBothByRepetition(f, 1)
		for range 100 {
			Expect(second.Running()).To(Equal(1))
			time.Sleep(100 * time.Millisecond)
		}
		Expect(second.StartsReceived()).To(Equal(2))
	})

	simulatedIt("is not stopped beyond the limit when the repeated start command is refused", func(f *fixture) {
		f.keepsTokens = true
		f.wrapDialer = func(wrapped worker.Dialer) worker.Dialer {
			var starts atomic.Int32
			return &hookedDialer{Dialer: wrapped, refuse: func(dialed worker.Worker) error {
				if dialed.ID == "w1" && starts.Add(1) == 2 {
					time.Sleep(100 * time.Millisecond) // the first start command takes effect
					return &worker.RefusedError{Reason: worker.RefusedUnhealthy}
				}
				return nil
			}}
		}
		second := startWith(f, 1, cluster.WorkerFaults{DelayedStarts: 1, StartDelay: startTimeout + 50*time.Millisecond, StartTimeout: startTimeout})
		for range 100 {
			Expect(second.Running()).To(Equal(1))
			time.Sleep(100 * time.Millisecond)
		}
	})

	// startBesideLostStops lets the start of the second task take effect after stops of it were lost, and returns then.
	startBesideLostStops := func(f *fixture, maxUnavailable int) (second *cluster.Worker) {
		f.keepsTokens = true
		second = startWith(f, maxUnavailable, cluster.WorkerFaults{
			DelayedStarts: 2, StartDelay: 1210 * time.Millisecond, StartTimeout: startTimeout, DelayedStops: 1000, StopDelay: time.Hour,
		})
		second.SetFaults(cluster.WorkerFaults{})
		return second
	}

	simulatedIt("is not stopped beyond the limit by the repetition of a stop from before it took effect", func(f *fixture) {
		second := startBesideLostStops(f, 1)
		for range 100 {
			Expect(second.Running()).To(Equal(1))
			time.Sleep(100 * time.Millisecond)
		}
	})

	simulatedIt("is stopped by such a repetition when its job was cancelled meanwhile", func(f *fixture) {
		second := startBesideLostStops(f, 1)
		Expect(f.owners[0].Cancel(context.Background(), testJob(1).ID)).To(Succeed())
		Eventually(second.Running, callTimeout).Should(BeZero())
	})

	for _, latency := range []time.Duration{10 * time.Millisecond, 110 * time.Millisecond, 300 * time.Millisecond} {
		simulatedIt(fmt.Sprintf("starts again when its stop is answered after %v, while no other one may be unavailable", latency), func(f *fixture) {
			f.workers.Behaviour = func(string, int) cluster.Behaviour { return cluster.Behaviour{Duration: time.Hour} }
			f.wrapDialer = func(d worker.Dialer) worker.Dialer {
				return &stopLossDialer{Dialer: d, latency: latency, lost: func(string) bool { return false }, tasks: map[string]bool{}}
			}
			for _, id := range []string{"w0", "w1"} {
				f.worker(id).SetFaults(cluster.WorkerFaults{DelayedStarts: 2, StartDelay: time.Hour, StartTimeout: startTimeout})
			}
			o := f.startOwner()
			time.Sleep(2 * time.Second) // a new owner waits for the stops of its predecessor
			o.submit(testJob(1, job.Step{Count: 2, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: 1}))
			time.Sleep(6 * time.Second)
			Expect(f.worker("w0").Running() + f.worker("w1").Running()).To(Equal(2))
		})
	}

	// Guards against a start that is repeated although its worker lists the run.
	simulatedIt("goes on also when another one may be unavailable", func(f *fixture) {
		second := startBoth(f, 2)
		for range 100 {
			Expect(second.Running()).To(Equal(1))
			time.Sleep(100 * time.Millisecond)
		}
		Expect(second.StartsReceived()).To(Equal(1))
	})

	simulatedIt("is stopped when another one may be unavailable and its repeated start has no answer", func(f *fixture) {
		second := startBothByRepetition(f, 2)
		Eventually(second.Running, callTimeout).Should(BeZero())
	})

	simulatedIt("does not keep another one, which never started, from being started again", func(f *fixture) {
		startBoth(f, 1)
		first := f.worker("w0")
		Eventually(first.StartsReceived, callTimeout).Should(Equal(2))
		first.SetFaults(cluster.WorkerFaults{})
		Eventually(first.Running, 2*callTimeout).Should(Equal(1))
	})
})

// Guards against stops of an emptied worker's long-running tasks that are repeated, or whose effect is not known, while
// another task of the step becomes unavailable (AVAIL).
var _ = Describe("a long-running task whose stop gets no response", func() {
	// startTasks starts a task on each worker. It returns a channel that receives after each heartbeat of w0.
	startTasks := func(f *fixture, tasks int) (o *owner, heartbeats <-chan struct{}) {
		c := make(chan struct{})
		f.wrapDialer = func(wrapped worker.Dialer) worker.Dialer {
			return &hookedDialer{Dialer: wrapped, answer: func(_ context.Context, dialed worker.Worker, status worker.Status, err error) (worker.Status, error) {
				if dialed.ID != "w0" {
					return status, err
				}
				select {
				case c <- struct{}{}:
				default:
				}
				return status, err
			}}
		}
		f.workers.Behaviour = func(string, int) cluster.Behaviour { return cluster.Behaviour{Duration: time.Hour} }
		o = f.startOwner()
		o.submit(testJob(1, job.Step{Count: tasks, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: 1}))
		time.Sleep(3 * time.Second) // a new owner waits for the stops of its predecessor
		for i := range tasks {
			Expect(f.worker(fmt.Sprintf("w%d", i)).Running()).To(Equal(1))
		}
		return o, c
	}
	empty := func(o *owner, id worker.ID) {
		_, err := o.Empty(context.Background(), id)
		Expect(err).NotTo(HaveOccurred())
	}

	simulatedIt("is not stopped by a repetition after another one has become unavailable", func(f *fixture) {
		o, _ := startTasks(f, 2)
		w := f.worker("w1")
		w.SetFaults(cluster.WorkerFaults{DelayedStops: 1000, StopDelay: time.Hour})
		empty(o, "w1")
		f.workers.Remove("w0")
		time.Sleep(2 * time.Second)
		w.SetFaults(cluster.WorkerFaults{})
		for range 50 {
			Expect(w.Running()).To(Equal(1))
			time.Sleep(100 * time.Millisecond)
		}
	})

	simulatedIt("does not count as available while that stop may take effect", func(f *fixture) {
		f.addWorker("w2")
		f.worker("w0").Labels = []string{"a", "r1", "b"}
		o, heartbeats := startTasks(f, 3)
		other := testJob(2, job.Step{LongRunning: true, RequiredLabel: "b"})
		o.submit(other)
		Eventually(f.worker("w0").Running, callTimeout).Should(Equal(2))
		f.worker("w1").SetFaults(cluster.WorkerFaults{LoseStopReplies: 1, SlowStops: 800 * time.Millisecond})
		<-heartbeats
		f.worker("w0").SetFaults(cluster.WorkerFaults{Unresponsive: true})
		empty(o, "w1")
		time.Sleep(200 * time.Millisecond)
		f.worker("w0").SetFaults(cluster.WorkerFaults{})
		time.Sleep(100 * time.Millisecond)
		// The end of the other run lets w0 respond to its heartbeat at once.
		Expect(o.Cancel(context.Background(), other.ID)).To(Succeed())
		time.Sleep(100 * time.Millisecond)
		empty(o, "w2")
		for range 20 {
			Expect(f.worker("w2").Running()).To(Equal(1))
			time.Sleep(100 * time.Millisecond)
		}
		Expect(f.worker("w1").Running()).To(BeZero())
	})
})

// Guards against sequences of late starts and lost stops in which a task is stopped while too many others of its step are
// unavailable, or is not started again.
var _ = Describe("long-running tasks whose starts take effect late", func() {
	const workers, jobs, tasks, maxUnavailable = 4, 10, 3, 1
	check := func(text string, seed uint64, stopsLost bool) {
		simulatedIt(fmt.Sprintf("all run in the end, and none is stopped beyond the limit%s, seed %d", text, seed), func(f *fixture) {
			rng := rand.New(rand.NewPCG(seed, 5))
			for i := 2; i < workers; i++ {
				f.addWorker(fmt.Sprintf("w%d", i))
			}
			f.workers.Behaviour = func(string, int) cluster.Behaviour { return cluster.Behaviour{Duration: time.Hour} }
			o := f.startOwner()
			time.Sleep(2 * time.Second) // a new owner waits for the stops of its predecessor
			for n := range jobs {
				disturbed := 1 - rng.IntN(2)
				if stopsLost {
					disturbed = 2
				}
				for range disturbed {
					w := f.worker(fmt.Sprintf("w%d", rng.IntN(workers)))
					faults := cluster.WorkerFaults{
						DelayedStarts: 1 + rng.IntN(3), StartDelay: time.Duration(rng.IntN(3000)) * time.Millisecond, StartTimeout: 900 * time.Millisecond,
					}
					if stopsLost {
						faults.DelayedStarts, faults.DelayedStops, faults.StopDelay = 2+rng.IntN(4), 1<<20, time.Hour
						time.AfterFunc(time.Duration(1500+rng.IntN(3000))*time.Millisecond, func() { w.SetFaults(cluster.WorkerFaults{}) })
					}
					w.SetFaults(faults)
				}
				o.submit(testJob(n+1, job.Step{
					Count: tasks, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: maxUnavailable, Need: worker.Resources{CPU: 500, MemMB: 100},
				}))
				time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
			}
			time.Sleep(20 * time.Second)
			running := map[string]bool{}
			for _, e := range f.workers.History.Events() {
				if e.Kind == cluster.Acknowledged {
					// The end of a former run may be acknowledged while the next one is at work.
					continue
				}
				running[e.Task] = e.Kind == cluster.Started
				if e.Kind != cluster.Finished {
					continue
				}
				unavailable := 0
				for i := range tasks {
					if !running[fmt.Sprintf("%s%d", e.Task[:len(e.Task)-1], i)] {
						unavailable++
					}
				}
				Expect(unavailable).To(BeNumerically("<=", maxUnavailable), "run %d of %s was stopped on %s", e.Number, e.Task, e.Worker)
			}
			for n := range jobs {
				for i := range tasks {
					task := fmt.Sprintf("%s.0.0.%d", testJob(n+1).ID, i)
					Expect(running[task]).To(BeTrue(), task)
				}
			}
		})
	}
	for seed := range uint64(50) {
		check("", seed, false)
	}
	for seed := range uint64(200) {
		check(", when stops are lost", seed, true)
	}
})
