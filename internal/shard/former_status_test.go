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

// lateStatusDialer holds the first status that lists a completion until it is released.
type lateStatusDialer struct {
	worker.Dialer
	taken, release chan struct{}
	first          sync.Once
}

type lateStatusConn struct {
	worker.Conn
	dialer *lateStatusDialer
}

func (d *lateStatusDialer) Dial(w worker.Worker) worker.Conn {
	return &lateStatusConn{d.Dialer.Dial(w), d}
}

func (c *lateStatusConn) Heartbeat(ctx context.Context, command worker.HeartbeatCommand) (worker.Status, error) {
	status, err := c.Conn.Heartbeat(ctx, command)
	if len(status.Finished) > 0 {
		c.dialer.first.Do(func() {
			close(c.dialer.taken)
			<-c.dialer.release
		})
	}
	return status, err
}

// Guards against a start after an acknowledged completion: the status of a former incarnation is handled after a start that
// the new one has answered, and its numbers acknowledge completions of the new one.
var _ = Describe("a status of a former incarnation that is handled late", func() {
	simulatedIt("acknowledges no completion of the new incarnation", func(f *fixture) {
		f.workers.Remove("w1")
		d := &lateStatusDialer{taken: make(chan struct{}), release: make(chan struct{})}
		f.wrapDialer = func(w worker.Dialer) worker.Dialer {
			d.Dialer = w
			return d
		}
		o := f.startOwner()
		first, second := testJob(1, job.Step{}), testJob(2, job.Step{})
		time.Sleep(5 * time.Second)
		o.submit(first)
		<-d.taken
		f.worker("w0").Crash()
		o.submit(second)
		// The second run ends in the new incarnation meanwhile.
		time.Sleep(4 * defaultDuration)
		close(d.release)
		Eventually(o.state, 10*time.Second).WithArguments(second.ID).Should(Equal("completed"))
		events := f.workers.History.Events()
		Expect(cluster.Check(events, cluster.Expectation{})).To(BeEmpty(), cluster.FormatTask(events, string(second.ID)+".0.0.0"))
	})
})
