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

// lossyDialer loses the answers to some heartbeats: the callers wait for the longest time that the platform's client waits.
type lossyDialer struct {
	worker.Dialer
	lost atomic.Int32
}

func (d *lossyDialer) Dial(w worker.Worker) worker.Conn { return &lossyConn{d.Dialer.Dial(w), d} }

type lossyConn struct {
	worker.Conn
	dialer *lossyDialer
}

func (c *lossyConn) Heartbeat(ctx context.Context, command worker.HeartbeatCommand) (worker.Status, error) {
	if command.Wait > 0 && c.dialer.lost.Add(-1) >= 0 {
		select {
		case <-ctx.Done():
		case <-time.After(command.Wait + 900*time.Millisecond):
		}
		return worker.Status{}, &worker.NoAnswerError{Cause: errDelayed}
	}
	return c.Conn.Heartbeat(ctx, command)
}

var _ = Describe("an answer to a heartbeat that is lost", func() {
	took := func(f *fixture) time.Duration {
		d := &lossyDialer{Dialer: f.workers}
		f.wrapDialer = func(worker.Dialer) worker.Dialer { return d }
		f.workers.Remove("w1")
		o := f.startOwner()
		j := testJob(1, job.Step{Count: 2, Estimate: 100 * time.Millisecond})
		for _, task := range []string{".0.0.0", ".0.0.1"} {
			f.setBehaviour(string(j.ID)+task, cluster.Behaviour{Duration: 100 * time.Millisecond})
		}
		time.Sleep(time.Second)
		d.lost.Store(1)
		began := time.Now()
		o.submit(j)
		Eventually(o.state, 10*time.Second, "10ms").WithArguments(j.ID).Should(Equal("completed"))
		Expect(cluster.Check(f.workers.History.Events(), cluster.Expectation{})).To(BeEmpty())
		return time.Since(began)
	}
	// Guards against completions that stay unknown until the call times out, 1.9 s later, while the worker is well.
	simulatedIt("delays the completions on its worker by less than half a second", func(f *fixture) {
		f.policy.Heartbeats.Enabled = true
		Expect(took(f)).To(BeNumerically("<", 600*time.Millisecond))
	})
	simulatedIt("delays them by the time-out of the call without the policy", func(f *fixture) {
		Expect(took(f)).To(BeNumerically(">", 1500*time.Millisecond))
	})
	// Guards against a run that counts as lost, or starts elsewhere, because a second heartbeat was sent.
	simulatedIt("causes no second run when the worker does not answer at all", func(f *fixture) {
		f.policy.Heartbeats.Enabled = true
		o := f.startOwner()
		j := testJob(1, job.Step{Count: 4, Estimate: 300 * time.Millisecond})
		o.submit(j)
		f.worker("w0").SetFaults(cluster.WorkerFaults{Unresponsive: true})
		time.Sleep(3 * time.Second)
		f.worker("w0").SetFaults(cluster.WorkerFaults{})
		Eventually(o.state, leaseExpiryTimeout, "10ms").WithArguments(j.ID).Should(Equal("completed"))
		Expect(cluster.Check(f.workers.History.Events(), cluster.Expectation{})).To(BeEmpty())
	})
})

var _ = Describe("a checkpointing task on a worker that is emptied", func() {
	stops := func(f *fixture, estimate time.Duration) bool {
		o := f.startOwner()
		j := testJob(1, job.Step{Checkpointing: true, Estimate: estimate})
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: estimate})
		f.workers.Remove("w1")
		o.submit(j)
		time.Sleep(500 * time.Millisecond)
		_, err := o.Empty(context.Background(), "w0")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(stopGrace + 500*time.Millisecond)
		return f.worker("w0").Running() == 0
	}
	// Guards against jobs that are stopped again and again at a demand peak, while half of the hosts go down for maintenance.
	simulatedIt("goes on if it will end soon", func(f *fixture) {
		f.policy.Draining.Enabled = true
		Expect(stops(f, 2500*time.Millisecond)).To(BeFalse())
	})
	simulatedIt("is stopped if it would keep the host for long", func(f *fixture) {
		f.policy.Draining.Enabled = true
		Expect(stops(f, 30*time.Second)).To(BeTrue())
	})
})
