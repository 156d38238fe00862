package shard_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/worker"
)

// staleAnswerDialer loses the first two starts of a task, restarts the worker once it has answered the first stop, and
// delivers that answer only after the new incarnation has accepted a stop.
type staleAnswerDialer struct {
	worker.Dialer
	task    string
	restart func()
	release chan struct{}

	mu            sync.Mutex
	starts, stops int
	startMS       int64
	restarted     bool
	released      sync.Once
}

type staleAnswerConn struct {
	worker.Conn
	dialer *staleAnswerDialer
}

func (d *staleAnswerDialer) Dial(w worker.Worker) worker.Conn {
	return &staleAnswerConn{d.Dialer.Dial(w), d}
}

func (c *staleAnswerConn) Heartbeat(ctx context.Context, command worker.HeartbeatCommand) (worker.Status, error) {
	status, err := c.Conn.Heartbeat(ctx, command)
	if err == nil {
		c.dialer.mu.Lock()
		defer c.dialer.mu.Unlock()
		c.dialer.restarted = c.dialer.startMS != 0 && status.IncarnationStartMS != c.dialer.startMS || c.dialer.restarted
		c.dialer.startMS = status.IncarnationStartMS
	}
	return status, err
}

func (c *staleAnswerConn) Start(ctx context.Context, command worker.StartCommand) (int64, error) {
	d := c.dialer
	d.mu.Lock()
	lost := command.Task == d.task && d.starts < 2
	if lost {
		d.starts++
	}
	d.mu.Unlock()
	if lost {
		time.Sleep(10 * time.Millisecond)
		return 0, &worker.NoAnswerError{Cause: errDelayed}
	}
	return c.Conn.Start(ctx, command)
}

func (c *staleAnswerConn) Stop(ctx context.Context, token uint64, task string, number int) (int64, error) {
	d := c.dialer
	clock, err := c.Conn.Stop(ctx, token, task, number)
	d.mu.Lock()
	d.stops++
	first, restarted := d.stops == 1, d.restarted
	d.mu.Unlock()
	switch {
	case first:
		d.restart()
		<-d.release
	case restarted:
		d.released.Do(func() { time.AfterFunc(10*time.Millisecond, func() { close(d.release) }) })
	}
	return clock, err
}

// Guards against a run that stays attached for ever: a late answer of the former incarnation lets the clock of the worker
// seem to begin anew, and the stop that the worker has accepted is forgotten but not repeated.
var _ = Describe("a late answer of the former incarnation of a worker", func() {
	simulatedIt("does not keep a stopped run from ending", func(f *fixture) {
		f.workers.Remove("w1")
		first, second := testJob(1, job.Step{}), testJob(2, job.Step{})
		d := &staleAnswerDialer{task: string(second.ID) + ".0.0.0", restart: f.worker("w0").Crash, release: make(chan struct{})}
		f.wrapDialer = func(w worker.Dialer) worker.Dialer {
			d.Dialer = w
			return d
		}
		o := f.startOwner()
		o.submit(first)
		Eventually(o.state, callTimeout).WithArguments(first.ID).Should(Equal("completed"))
		time.Sleep(5 * time.Second)
		o.submit(second)
		Eventually(d.release, 20*time.Second).Should(BeClosed())
		Eventually(o.state, time.Minute).WithArguments(second.ID).Should(Equal("completed"))
		Expect(cluster.Check(f.workers.History.Events(), cluster.Expectation{})).To(BeEmpty())
	})
})
