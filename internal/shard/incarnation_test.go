package shard_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/worker"
)

// slowStatusDialer delays the way of start commands and of the answers to heartbeats, whose statuses are taken at once.
type slowStatusDialer struct {
	worker.Dialer
	startDelay, statusDelay time.Duration
}

type slowStatusConn struct {
	worker.Conn
	dialer *slowStatusDialer
}

func (d *slowStatusDialer) Dial(w worker.Worker) worker.Conn {
	return &slowStatusConn{d.Dialer.Dial(w), d}
}

func (c *slowStatusConn) Heartbeat(ctx context.Context, command worker.HeartbeatCommand) (worker.Status, error) {
	command.Wait = 0
	status, err := c.Conn.Heartbeat(ctx, command)
	time.Sleep(c.dialer.statusDelay)
	return status, err
}

func (c *slowStatusConn) Start(ctx context.Context, command worker.StartCommand) (int64, error) {
	time.Sleep(c.dialer.startDelay)
	return c.Conn.Start(ctx, command)
}

var _ = Describe("a worker that restarted under its ID while it was idle", func() {
	// Guards against a second run of a task beside one that the new incarnation confirmed before its first status was handled.
	simulatedIt("keeps a run that it accepted after the request for its first status", func(f *fixture) {
		f.workers.Remove("w1")
		f.wrapDialer = func(d worker.Dialer) worker.Dialer {
			return &slowStatusDialer{Dialer: d, startDelay: 10 * time.Millisecond, statusDelay: 100 * time.Millisecond}
		}
		o := f.startOwner()
		first, second := testJob(1, job.Step{}), testJob(2, job.Step{})
		f.setBehaviour(string(second.ID)+".0.0.0", cluster.Behaviour{Duration: 2 * time.Second})
		o.submit(first)
		Eventually(o.state, callTimeout).WithArguments(first.ID).Should(Equal("completed"))
		time.Sleep(2 * time.Second)
		f.worker("w0").Crash()
		o.submit(second)
		Eventually(o.state, 10*time.Second).WithArguments(second.ID).Should(Equal("completed"))
		Expect(cluster.Check(f.workers.History.Events(), cluster.Expectation{})).To(BeEmpty())
	})
})

var _ = Describe("a worker that restarts under its ID while it runs tasks", func() {
	// Guards against a second in which the restarted, idle worker is asked to wait for the end of a run that it has lost.
	simulatedIt("is given its tasks again as soon as it answers", func(f *fixture) {
		f.workers.Remove("w1")
		o := f.startOwner()
		j := testJob(1, job.Step{})
		task := string(j.ID) + ".0.0.0"
		f.setBehaviour(task, cluster.Behaviour{Duration: 3 * time.Second})
		o.submit(j)
		time.Sleep(500 * time.Millisecond)
		f.worker("w0").Crash()
		Eventually(func() int { return f.workers.History.Starts(task) }, 500*time.Millisecond).Should(Equal(2))
	})
})

var _ = Describe("a run that its worker does not list as running while it stops", func() {
	const stopTime = stopGrace - 100*time.Millisecond

	// keepBusy runs tasks that end one after the other, so that heartbeats are answered in between.
	keepBusy := func(f *fixture, o *owner, cpu int64) {
		j := testJob(100, job.Step{Count: 16, Need: worker.Resources{CPU: cpu, MemMB: 1}})
		for i := range j.Steps[0].Count {
			f.setBehaviour(fmt.Sprintf("%s.0.0.%d", j.ID, i), cluster.Behaviour{Duration: time.Duration(i+1) * 150 * time.Millisecond})
		}
		o.submit(j)
	}

	// Guards against a second run of a task beside one whose start and repeated start had no answer.
	simulatedIt("is not replaced on the same worker before its end", func(f *fixture) {
		f.workers.Remove("w1")
		o := f.startOwner()
		keepBusy(f, o, 10)
		time.Sleep(100 * time.Millisecond)
		f.worker("w0").SetFaults(cluster.WorkerFaults{LoseStartReplies: 2, SlowStops: stopTime, HiddenStops: true})
		j := testJob(1, job.Step{})
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: 2 * time.Second})
		o.submit(j)
		Eventually(o.state, 10*time.Second).WithArguments(j.ID).Should(Equal("completed"))
		Expect(cluster.Check(f.workers.History.Events(), cluster.Expectation{})).To(BeEmpty())
	})

	// Guards against a second run of a long-running task on another worker while the first one is moved away.
	simulatedIt("is not replaced on another worker before its end", func(f *fixture) {
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
		keepBusy(f, o, 800) // more than one worker holds
		time.Sleep(100 * time.Millisecond)
		source.SetFaults(cluster.WorkerFaults{SlowStops: stopTime, HiddenStops: true})
		f.workers.Drain(source.ID)
		Eventually(func() int { return f.workers.History.Starts(task) }, 10*time.Second).Should(Equal(2))
		Expect(cluster.Check(f.workers.History.Events(), cluster.Expectation{})).To(BeEmpty())
	})
})
