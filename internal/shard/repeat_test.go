package shard_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/worker"
)

// breakingDialer restarts a worker when its first start arrives, which breaks the connections. Later starts are carried out
// without an answer, and heartbeats get none until it is reachable again.
type breakingDialer struct {
	worker.Dialer
	id     worker.ID
	crash  func()
	starts atomic.Int32
	silent atomic.Bool
}

func (d *breakingDialer) Dial(w worker.Worker) worker.Conn {
	if w.ID != d.id {
		return d.Dialer.Dial(w)
	}
	return &breakingConn{d.Dialer.Dial(w), d}
}

type breakingConn struct {
	worker.Conn
	dialer *breakingDialer
}

func (c *breakingConn) Start(ctx context.Context, command worker.StartCommand) (int64, error) {
	if c.dialer.starts.Add(1) == 1 {
		c.dialer.silent.Store(true)
		c.dialer.crash()
		return 0, &worker.NoAnswerError{Cause: errDelayed}
	}
	clock, err := c.Conn.Start(ctx, command)
	if !c.dialer.silent.Load() {
		return clock, err
	}
	time.Sleep(callDuration)
	return 0, &worker.NoAnswerError{Cause: errDelayed}
}

func (c *breakingConn) Heartbeat(ctx context.Context, command worker.HeartbeatCommand) (worker.Status, error) {
	if c.dialer.silent.Load() {
		time.Sleep(callDuration)
		return worker.Status{}, &worker.NoAnswerError{Cause: errDelayed}
	}
	return c.Conn.Heartbeat(ctx, command)
}

func (c *breakingConn) Stop(ctx context.Context, token uint64, task string, number int) (int64, error) {
	if c.dialer.silent.Load() {
		time.Sleep(callDuration)
		return 0, &worker.NoAnswerError{Cause: errDelayed}
	}
	return c.Conn.Stop(ctx, token, task, number)
}

var _ = Describe("a start whose connection broke when its worker restarted", func() {
	// Guards against TWICE without a change of the owner: the start is repeated by the clock of the former incarnation, so the new
	// one holds the longest lease. The worker is cut off before it answers, and the task starts elsewhere after the usual lease.
	simulatedIt("is not repeated before the worker has answered a heartbeat", func(f *fixture) {
		d := &breakingDialer{Dialer: f.workers, id: "w0"}
		f.wrapDialer = func(worker.Dialer) worker.Dialer { return d }
		f.workers.Remove("w1")
		d.crash = func() { f.worker("w0").Crash() }
		j := testJob(1, job.Step{})
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: 8 * time.Second})
		o := f.startOwner()
		// A lease by the former clock is the longest one on the restarted worker.
		time.Sleep(20 * time.Second)
		o.submit(j)
		time.Sleep(time.Second)
		f.addWorker("w1")
		time.Sleep(8 * time.Second)
		d.silent.Store(false)
		Eventually(o.state, 30*time.Second, "10ms").WithArguments(j.ID).Should(Equal("completed"))
		Expect(cluster.Check(f.workers.History.Events(), cluster.Expectation{})).To(BeEmpty())
	})

	// Guards against a queued start by the clock of an incarnation that may have ended: as above, with the first command of a run.
	simulatedIt("is followed by no queued start while the worker does not answer", func(f *fixture) {
		f.workers.Remove("w1")
		faults := &commandFaults{startTimeout: 900 * time.Millisecond, paces: map[string]int{}}
		f.wrapDialer = func(d worker.Dialer) worker.Dialer {
			faults.Dialer = d
			return faults
		}
		o, w := f.startOwner(), f.worker("w0")
		long := testJob(1, job.Step{})
		f.setBehaviour(string(long.ID)+".0.0.0", cluster.Behaviour{Duration: time.Minute})
		o.submit(long)
		time.Sleep(time.Second)
		Expect(w.StartsReceived()).To(Equal(1))
		// Two calls at a time are sent to a worker, so the third start waits for them.
		faults.set(func(d *commandFaults) { d.heldStarts = 2 })
		o.submit(testJob(2, job.Step{Count: 3}))
		time.Sleep(300 * time.Millisecond)
		Expect(faults.count()).To(Equal(2))
		w.SetFaults(cluster.WorkerFaults{LoseHeartbeatReplies: 1 << 20, LoseStartReplies: 1 << 20, LoseStopReplies: 1 << 20})
		w.Crash()
		time.Sleep(2 * time.Second)
		Expect(w.StartsReceived()).To(Equal(1))
	})

	// Guards against a start that is repeated only after the heartbeat that waits at its worker.
	simulatedIt("is repeated without delay beside a heartbeat that waits at the worker", func(f *fixture) {
		const startTimeout = 300 * time.Millisecond
		f.workers.Remove("w1")
		o, w := f.startOwner(), f.worker("w0")
		long, j := testJob(1, job.Step{}), testJob(2, job.Step{})
		f.setBehaviour(string(long.ID)+".0.0.0", cluster.Behaviour{Duration: time.Minute})
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: time.Minute})
		o.submit(long)
		time.Sleep(5 * time.Second)
		w.SetFaults(cluster.WorkerFaults{DelayedStarts: 1, StartDelay: time.Hour, StartTimeout: startTimeout})
		o.submit(j)
		time.Sleep(startTimeout + 100*time.Millisecond)
		Expect(w.Running()).To(Equal(2))
		Expect(w.StartsReceived()).To(Equal(3))
	})

	// Guards against a start that is not repeated at all.
	simulatedIt("is repeated once the worker answers", func(f *fixture) {
		d := &breakingDialer{Dialer: f.workers, id: "w0"}
		f.wrapDialer = func(worker.Dialer) worker.Dialer { return d }
		f.workers.Remove("w1")
		d.crash = func() {
			f.worker("w0").Crash()
			d.silent.Store(false)
		}
		o := f.startOwner()
		j := testJob(1, job.Step{})
		o.submit(j)
		Eventually(o.state, 2*callTimeout, "10ms").WithArguments(j.ID).Should(Equal("completed"))
	})
})
