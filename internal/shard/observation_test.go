package shard_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/worker"
)

// countedHeartbeats counts the heartbeats that are sent.
type countedHeartbeats struct {
	worker.Dialer
	sent atomic.Int64
}

type countedHeartbeatConn struct {
	worker.Conn
	dialer *countedHeartbeats
}

func (d *countedHeartbeats) Dial(w worker.Worker) worker.Conn {
	return &countedHeartbeatConn{d.Dialer.Dial(w), d}
}

func (c *countedHeartbeatConn) Heartbeat(ctx context.Context, command worker.HeartbeatCommand) (worker.Status, error) {
	c.dialer.sent.Add(1)
	return c.Conn.Heartbeat(ctx, command)
}

// keepAnswering runs short tasks that end one after the other, so that the workers answer heartbeats in between.
func keepAnswering(f *fixture, o *owner) {
	j := testJob(100, job.Step{Count: 32, Need: worker.Resources{CPU: 400, MemMB: 1}})
	for i := range j.Steps[0].Count {
		f.setBehaviour(fmt.Sprintf("%s.0.0.%d", j.ID, i), cluster.Behaviour{Duration: time.Duration(i+1) * 50 * time.Millisecond})
	}
	o.submit(j)
}

var _ = Describe("a worker whose address changes while it stops a run", func() {
	const stopTime = stopGrace - 100*time.Millisecond

	// Guards against a second run of a task beside one that its worker, which went on, was stopping without listing it.
	simulatedIt("keeps the run until it has ended", func(f *fixture) {
		o := f.startOwner()
		j := testJob(1, job.Step{LongRunning: true})
		task := string(j.ID) + ".0.0.0"
		f.setBehaviour(task, cluster.Behaviour{Duration: time.Hour})
		o.submit(j)
		time.Sleep(time.Second)
		source := f.worker("w0")
		if source.Running() == 0 {
			source = f.worker("w1")
		}
		keepAnswering(f, o)
		time.Sleep(100 * time.Millisecond)
		source.SetFaults(cluster.WorkerFaults{SlowStops: stopTime, HiddenStops: true})
		_, err := o.Empty(context.Background(), source.ID)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(10 * time.Millisecond)
		f.workers.SetAddress(source.ID, newAddress)
		Eventually(func() int { return f.workers.History.Starts(task) }, 10*time.Second).Should(Equal(2))
		Expect(cluster.Check(f.workers.History.Events(), cluster.Expectation{})).To(BeEmpty())
	})

	// Guards against a run that never counts as ended, as its stop was accepted at the former address and is not repeated.
	simulatedIt("lets the task of a start that never arrived start again", func(f *fixture) {
		f.workers.Remove("w1")
		o := f.startOwner()
		loseStart(f, o)
		f.workers.SetAddress("w0", newAddress)
		time.Sleep(20 * time.Second)
		Expect(o.state(testJob(1).ID)).To(Equal("completed"))
	})

	// Guards against heartbeats without a pause while such a run is missing.
	simulatedIt("gets no heartbeats in a row", func(f *fixture) {
		f.workers.Remove("w1")
		counted := &countedHeartbeats{}
		f.wrapDialer = func(d worker.Dialer) worker.Dialer { counted.Dialer = d; return counted }
		o := f.startOwner()
		loseStart(f, o)
		f.workers.SetAddress("w0", newAddress)
		time.Sleep(5 * time.Second)
		before := counted.sent.Load()
		time.Sleep(10 * time.Second)
		Expect(counted.sent.Load()-before).To(BeNumerically("<", 20), "heartbeats in 10 s")
	})
})

// loseStart lets both starts of a task get lost, and returns when its stop was accepted and a later status did not list it.
func loseStart(f *fixture, o *owner) {
	busy := testJob(100, job.Step{Count: 16, Need: worker.Resources{CPU: 100, MemMB: 1}})
	for i := range busy.Steps[0].Count {
		f.setBehaviour(fmt.Sprintf("%s.0.0.%d", busy.ID, i), cluster.Behaviour{Duration: time.Duration(i+1) * 100 * time.Millisecond})
	}
	o.submit(busy)
	time.Sleep(50 * time.Millisecond)
	f.worker("w0").SetFaults(cluster.WorkerFaults{DelayedStarts: 2, StartDelay: time.Minute, StartTimeout: 300 * time.Millisecond})
	o.submit(testJob(1, job.Step{}))
	time.Sleep(900 * time.Millisecond)
}

var _ = Describe("a run whose repeated start is refused under a former token of its own owner", func() {
	// Guards against a run that counts as ended because the repetition was sent under the owner's own former token.
	simulatedIt("is not replaced while it goes on", func(f *fixture) {
		d := &hookedDialer{}
		f.wrapDialer = func(wrapped worker.Dialer) worker.Dialer { d.Dialer = wrapped; return d }
		var armed atomic.Bool
		var sent atomic.Int64
		d.start = func(w worker.Worker, _ worker.StartCommand) {
			if !armed.Load() {
				return
			}
			switch sent.Add(1) {
			case 1:
				f.worker(string(w.ID)).SetFaults(cluster.WorkerFaults{LoseStartReplies: 1})
			case 2:
				f.worker(string(w.ID)).SetFaults(cluster.WorkerFaults{SlowStops: stopGrace - 100*time.Millisecond})
				f.mu.Lock()
				f.claims[w.ID] = 100
				f.mu.Unlock()
				time.Sleep(400 * time.Millisecond)
			}
		}
		o := f.startOwner()
		keepAnswering(f, o)
		time.Sleep(100 * time.Millisecond)
		armed.Store(true)
		j := testJob(1, job.Step{Need: worker.Resources{CPU: 1, MemMB: 1}})
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: 3 * time.Second})
		o.submit(j)
		Eventually(o.state, 20*time.Second).WithArguments(j.ID).Should(Equal("completed"))
		Expect(cluster.Check(f.workers.History.Events(), cluster.Expectation{})).To(BeEmpty())
	})
})

var _ = Describe("a worker that restarts under its ID and does not list runs that it stops", func() {
	const stopTime = stopGrace - 100*time.Millisecond

	// Guards against a second run beside a late start that arrived between the first status and the stop of its run.
	simulatedIt("gets no second run beside a start that arrives after the status without it", func(f *fixture) {
		f.workers.Remove("w1")
		d := &hookedDialer{}
		faults := &commandFaults{startTimeout: 300 * time.Millisecond, paces: map[string]int{}}
		f.wrapDialer = func(wrapped worker.Dialer) worker.Dialer { faults.Dialer = wrapped; d.Dialer = faults; return d }
		var restarted atomic.Bool
		d.answer = func(_ context.Context, _ worker.Worker, status worker.Status, err error) (worker.Status, error) {
			if err == nil && restarted.Load() && faults.count() > 0 {
				// The late start arrives while the answer is on its way.
				_ = faults.release()
				time.Sleep(20 * time.Millisecond)
			}
			return status, err
		}
		o := f.startOwner()
		j := testJob(1, job.Step{})
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: 3 * time.Second})
		faults.set(func(d *commandFaults) { d.heldStarts = 1 })
		o.submit(j)
		w := f.worker("w0")
		time.Sleep(time.Second)
		Expect(w.Running()).To(Equal(1))
		w.SetFaults(cluster.WorkerFaults{SlowStops: stopTime, HiddenStops: true})
		w.Crash()
		restarted.Store(true)
		Eventually(o.state, 20*time.Second).WithArguments(j.ID).Should(Equal("completed"))
		Expect(cluster.Check(f.workers.History.Events(), cluster.Expectation{})).To(BeEmpty())
	})

	// Guards against a second run beside one that the new incarnation accepted and was told to stop before its first status was handled.
	simulatedIt("keeps a run that the new incarnation stops until it has ended", func(f *fixture) {
		d := &hookedDialer{}
		f.wrapDialer = func(wrapped worker.Dialer) worker.Dialer { d.Dialer = wrapped; return d }
		var slow atomic.Bool
		d.answer = func(_ context.Context, _ worker.Worker, status worker.Status, err error) (worker.Status, error) {
			if slow.Load() {
				time.Sleep(150 * time.Millisecond)
			}
			return status, err
		}
		o := f.startOwner()
		f.hide("w1")
		first := testJob(1, job.Step{})
		o.submit(first)
		Eventually(o.state, callTimeout).WithArguments(first.ID).Should(Equal("completed"))
		time.Sleep(3 * time.Second)
		source := f.worker("w0")
		source.Crash()
		source.SetFaults(cluster.WorkerFaults{SlowStops: stopTime, HiddenStops: true})
		j := testJob(2, job.Step{LongRunning: true})
		task := string(j.ID) + ".0.0.0"
		f.setBehaviour(task, cluster.Behaviour{Duration: time.Hour})
		slow.Store(true)
		o.submit(j)
		keepAnswering(f, o)
		Eventually(source.Running, callTimeout).Should(Equal(1))
		f.list("w1")
		time.Sleep(30 * time.Millisecond)
		// Answers to stops are lost from now on, the commands take effect.
		source.SetFaults(cluster.WorkerFaults{SlowStops: stopTime, HiddenStops: true, LoseStopReplies: 8})
		_, err := o.Empty(context.Background(), source.ID)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return f.workers.History.Starts(task) }, 10*time.Second).Should(Equal(2))
		Expect(cluster.Check(f.workers.History.Events(), cluster.Expectation{})).To(BeEmpty())
	})
})

// delayedAnswers delays answers on their way back.
type delayedAnswers struct {
	worker.Dialer
	// start is called after each start command was executed, stop before each stop command is.
	start func(worker.StartCommand)
	stop  func()
}

type delayedAnswersConn struct {
	worker.Conn
	dialer *delayedAnswers
}

func (d *delayedAnswers) Dial(w worker.Worker) worker.Conn {
	return &delayedAnswersConn{d.Dialer.Dial(w), d}
}

func (c *delayedAnswersConn) Start(ctx context.Context, command worker.StartCommand) (int64, error) {
	clock, err := c.Conn.Start(ctx, command)
	c.dialer.start(command)
	return clock, err
}

func (c *delayedAnswersConn) Stop(ctx context.Context, token uint64, task string, number int) (int64, error) {
	c.dialer.stop()
	return c.Conn.Stop(ctx, token, task, number)
}

var _ = Describe("a worker that restarts under its ID while an answer of its former incarnation is on its way", func() {
	// Guards against the acknowledgement of a completion that the owner never received, by the number of one of the former incarnation.
	simulatedIt("keeps its completions until the owner has received them", func(f *fixture) {
		f.workers.Remove("w1")
		d := &hookedDialer{}
		f.wrapDialer = func(wrapped worker.Dialer) worker.Dialer { d.Dialer = wrapped; return d }
		first, second := testJob(1, job.Step{}), testJob(2, job.Step{})
		f.setBehaviour(string(first.ID)+".0.0.0", cluster.Behaviour{Duration: 3 * time.Second})
		var delayed atomic.Bool
		d.answer = func(_ context.Context, _ worker.Worker, status worker.Status, err error) (worker.Status, error) {
			if err == nil && len(status.Finished) > 0 && !delayed.Swap(true) {
				time.Sleep(300 * time.Millisecond)
			}
			return status, err
		}
		o := f.startOwner()
		o.submit(first)
		time.Sleep(3*time.Second + 100*time.Millisecond)
		Expect(delayed.Load()).To(BeTrue())
		f.worker("w0").Crash()
		o.submit(second)
		Eventually(o.state, 20*time.Second).WithArguments(second.ID).Should(Equal("completed"))
		Expect(cluster.Check(f.workers.History.Events(), cluster.Expectation{})).To(BeEmpty())
	})

	// Guards against a second run beside a late start, when the answer to its repetition came from the former incarnation.
	simulatedIt("is told to stop a run that may start late before its task starts again", func(f *fixture) {
		f.workers.Remove("w1")
		faults := &commandFaults{startTimeout: 300 * time.Millisecond, paces: map[string]int{}}
		d := &delayedAnswers{}
		var attempts atomic.Int64
		f.wrapDialer = func(wrapped worker.Dialer) worker.Dialer { faults.Dialer = wrapped; d.Dialer = faults; return d }
		d.start = func(command worker.StartCommand) {
			switch {
			case command.Task == "0000000000000001.0.0.0" && command.Number == 1 && faults.count() > 0 && attempts.Add(1) == 2:
				time.Sleep(850 * time.Millisecond) // the answer to the repetition
			case command.Task == "0000000000000001.0.0.0" && command.Number == 2 && faults.count() > 0:
				_ = faults.release()
			}
		}
		d.stop = func() { time.Sleep(5 * time.Millisecond) }
		o := f.startOwner()
		j := testJob(1, job.Step{})
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: 3 * time.Second})
		busy := testJob(100, job.Step{Count: 16, Need: worker.Resources{CPU: 100, MemMB: 1}})
		for i := range busy.Steps[0].Count {
			f.setBehaviour(fmt.Sprintf("%s.0.0.%d", busy.ID, i), cluster.Behaviour{Duration: time.Duration(i+1) * 100 * time.Millisecond})
		}
		o.submit(busy)
		time.Sleep(50 * time.Millisecond)
		faults.set(func(d *commandFaults) { d.heldStarts = 1 })
		o.submit(j)
		w := f.worker("w0")
		received := w.StartsReceived()
		Eventually(w.StartsReceived, callTimeout).Should(Equal(received + 1))
		time.Sleep(460 * time.Millisecond) // a status lists the run, and no heartbeat is in flight
		w.Crash()
		o.submit(testJob(2, job.Step{})) // its end lets the new incarnation answer the next heartbeat
		Eventually(o.state, 20*time.Second).WithArguments(j.ID).Should(Equal("completed"))
		Expect(cluster.Check(f.workers.History.Events(), cluster.Expectation{})).To(BeEmpty())
	})
})
