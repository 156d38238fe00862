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
	"samphirestile.example/samphirestile/internal/shard"
	"samphirestile.example/samphirestile/internal/worker"
)

// leaseRecorder records the longest lease that a start grants by the clock of its worker when it is sent.
type leaseRecorder struct {
	worker.Dialer
	clock   func() int64
	longest time.Duration
}

func (d *leaseRecorder) Dial(w worker.Worker) worker.Conn {
	return &leaseRecorderConn{d.Dialer.Dial(w), d}
}

type leaseRecorderConn struct {
	worker.Conn
	dialer *leaseRecorder
}

func (c *leaseRecorderConn) Start(ctx context.Context, command worker.StartCommand) (int64, error) {
	lease := time.Duration(command.LeaseEndMS-c.dialer.clock()) * time.Millisecond
	c.dialer.longest = max(c.dialer.longest, lease)
	return c.Conn.Start(ctx, command)
}

// mutedDialer carries out starts on a worker without an answer while it is muted, and no other command.
type mutedDialer struct {
	worker.Dialer
	id    worker.ID
	muted atomic.Bool
}

func (d *mutedDialer) Dial(w worker.Worker) worker.Conn {
	if w.ID != d.id {
		return d.Dialer.Dial(w)
	}
	return &mutedConn{d.Dialer.Dial(w), d}
}

type mutedConn struct {
	worker.Conn
	dialer *mutedDialer
}

func (c *mutedConn) noAnswer() error {
	time.Sleep(callDuration)
	return &worker.NoAnswerError{Cause: errDelayed}
}

func (c *mutedConn) Start(ctx context.Context, command worker.StartCommand) (int64, error) {
	clock, err := c.Conn.Start(ctx, command)
	if c.dialer.muted.Load() {
		return 0, c.noAnswer()
	}
	return clock, err
}

func (c *mutedConn) Heartbeat(ctx context.Context, command worker.HeartbeatCommand) (worker.Status, error) {
	if c.dialer.muted.Load() {
		return worker.Status{}, c.noAnswer()
	}
	return c.Conn.Heartbeat(ctx, command)
}

func (c *mutedConn) Stop(ctx context.Context, token uint64, task string, number int) (int64, error) {
	if c.dialer.muted.Load() {
		return 0, c.noAnswer()
	}
	return c.Conn.Stop(ctx, token, task, number)
}

// A worker's clock may be slow by a fiftieth, so its estimate becomes less exact with the time since the last answer, and idle
// workers get no heartbeats.
var _ = Describe("a worker with a slow clock that was idle", func() {
	slow := func(f *fixture) {
		f.workers.ClockStart = cluster.AnyClockStart
		f.workers.ClockRate = func(worker.ID, int) float64 { return cluster.MinClockRate }
	}
	// idleFor starts an owner with the single worker w0, which completes one job and is then idle.
	idleFor := func(f *fixture, idle time.Duration) *owner {
		slow(f)
		f.hide("w1")
		o, first := f.startOwner(), testJob(1, job.Step{})
		o.submit(first)
		Eventually(o.state, callTimeout, "10ms").WithArguments(first.ID).Should(Equal("completed"))
		time.Sleep(idle)
		return o
	}
	expectOneRun := func(f *fixture, task string) {
		GinkgoHelper()
		events := f.workers.History.Events()
		Expect(f.workers.History.Starts(task)).To(BeNumerically(">", 0))
		Expect(cluster.Check(events, cluster.Expectation{})).To(BeEmpty(), cluster.FormatTask(events, task))
	}
	for _, idle := range []time.Duration{15 * time.Second, 54 * time.Second, 4 * time.Minute, time.Hour} {
		// Guards against a lease that is longer than the owner, and a successor, take it to be.
		simulatedIt(fmt.Sprintf("gets no longer lease than the usual one, idle for %v", idle), func(f *fixture) {
			d := &leaseRecorder{Dialer: f.workers}
			f.wrapDialer = func(worker.Dialer) worker.Dialer { return d }
			began := time.Now()
			d.clock = func() int64 {
				return time.Duration(cluster.MinClockRate*float64(time.Since(began))).Milliseconds() + cluster.AnyClockStart("w0", 0).Milliseconds()
			}
			slow(f)
			f.workers.Remove("w0")
			f.addWorker("w0")
			o := idleFor(f, idle)
			j := testJob(2, job.Step{})
			o.submit(j)
			Eventually(o.state, callTimeout, "10ms").WithArguments(j.ID).Should(Equal("completed"))
			Expect(d.longest).To(BeNumerically("<=", shard.MaxWorkerLease))
			// A start that arrives after its lease has ended is refused.
			Expect(d.longest).To(BeNumerically(">", shard.MaxWorkerLease/2))
			Expect(f.worker("w0").StartsReceived()).To(Equal(2))
		})

		// Guards against TWICE: the start takes effect without an answer, and its lease outlasts what the owner believes.
		simulatedIt(fmt.Sprintf("runs no task beside another worker, cut off one way, idle for %v", idle), func(f *fixture) {
			d := &mutedDialer{Dialer: f.workers, id: "w0"}
			f.wrapDialer = func(worker.Dialer) worker.Dialer { return d }
			o := idleFor(f, idle)
			j := testJob(2, job.Step{})
			task := string(j.ID) + ".0.0.0"
			f.setBehaviour(task, cluster.Behaviour{Duration: time.Minute})
			d.muted.Store(true)
			o.submit(j)
			time.Sleep(500 * time.Millisecond)
			f.list("w1")
			time.Sleep(2 * maxLease)
			Expect(f.worker("w1").Running()).To(Equal(1))
			expectOneRun(f, task)
		})

		// Guards against TWICE: the successor of a killed owner takes the lease for the usual one and does not reach the worker.
		simulatedIt(fmt.Sprintf("keeps its run after the owner was killed, idle for %v", idle), func(f *fixture) {
			o, w := idleFor(f, idle), f.worker("w0")
			j := testJob(2, job.Step{})
			task := string(j.ID) + ".0.0.0"
			f.setBehaviour(task, cluster.Behaviour{Duration: time.Minute})
			o.submit(j)
			Eventually(w.Running, callTimeout, "1ms").Should(Equal(1))
			o.stop()
			w.SetFaults(cluster.WorkerFaults{Unresponsive: true})
			f.list("w1")
			f.startOwner()
			time.Sleep(2 * maxLease)
			expectOneRun(f, task)
		})
	}
})
