package shard_test

import (
	"context"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/worker"
)

// restartingDialer restarts the worker while the first acknowledgement is on its way.
type restartingDialer struct {
	worker.Dialer
	restart func()
	first   sync.Once
}

type restartingConn struct {
	worker.Conn
	dialer *restartingDialer
}

func (d *restartingDialer) Dial(w worker.Worker) worker.Conn {
	return &restartingConn{d.Dialer.Dial(w), d}
}

func (c *restartingConn) Heartbeat(ctx context.Context, command worker.HeartbeatCommand) (worker.Status, error) {
	if command.Acknowledged > 0 {
		c.dialer.first.Do(c.dialer.restart)
	}
	return c.Conn.Heartbeat(ctx, command)
}

// Guards against completions of a new incarnation that are never acknowledged, because a number of the former incarnation
// counts as acknowledged by the new one.
var _ = Describe("an acknowledgement by a number of the former incarnation", func() {
	simulatedIt("does not count for the completions of the new incarnation", func(f *fixture) {
		f.workers.Remove("w1")
		f.wrapDialer = func(d worker.Dialer) worker.Dialer {
			return &restartingDialer{Dialer: d, restart: f.worker("w0").Crash}
		}
		o := f.startOwner()
		first, second := testJob(1, job.Step{Count: 4}), testJob(2, job.Step{})
		o.submit(first)
		Eventually(o.state, callTimeout).WithArguments(first.ID).Should(Equal("completed"))
		time.Sleep(2 * time.Second)
		o.submit(second)
		Eventually(o.state, callTimeout).WithArguments(second.ID).Should(Equal("completed"))
		Eventually(func() bool {
			return slices.ContainsFunc(f.workers.History.Events(), func(e cluster.Event) bool {
				return e.Kind == cluster.Acknowledged && e.Task == string(second.ID)+".0.0.0"
			})
		}, 10*time.Second).Should(BeTrue())
	})
})
