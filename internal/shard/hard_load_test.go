package shard_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/jobconfig"
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

// transitDialer keeps one heartbeat that grants a lease in transit for almost as long as its caller waits.
type transitDialer struct {
	worker.Dialer
	armed atomic.Bool
	sent  chan time.Time
}

func (d *transitDialer) Dial(w worker.Worker) worker.Conn { return &transitConn{d.Dialer.Dial(w), d} }

type transitConn struct {
	worker.Conn
	dialer *transitDialer
}

func (c *transitConn) Heartbeat(ctx context.Context, command worker.HeartbeatCommand) (worker.Status, error) {
	if command.Wait < time.Second || command.LeaseEndMS == 0 || !c.dialer.armed.CompareAndSwap(true, false) {
		return c.Conn.Heartbeat(ctx, command)
	}
	c.dialer.sent <- time.Now()
	go func() {
		time.Sleep(1850 * time.Millisecond)
		command.Wait = 0
		_, _ = c.Conn.Heartbeat(context.Background(), command) // nobody waits for the answer
	}()
	select {
	case <-ctx.Done():
	case <-time.After(1900 * time.Millisecond):
	}
	return worker.Status{}, &worker.NoAnswerError{Cause: errDelayed}
}

var _ = Describe("a heartbeat that was given up for a query", func() {
	// Guards against TWICE: the worker restarts, and the heartbeat arrives after it and grants the new incarnation the longest lease
	// by the clock of the former one.
	simulatedIt("counts as in transit until its caller would have given it up", func(f *fixture) {
		f.policy.Heartbeats.Enabled = true
		d := &transitDialer{Dialer: f.workers, sent: make(chan time.Time, 1)}
		f.wrapDialer = func(worker.Dialer) worker.Dialer { return d }
		f.hide("w1")
		o := f.startOwner()
		long, short := testJob(1, job.Step{Estimate: 60 * time.Millisecond}), testJob(2, job.Step{Estimate: 60 * time.Millisecond})
		task := string(long.ID) + ".0.0.0"
		f.setBehaviour(task, cluster.Behaviour{Duration: time.Minute})
		f.setBehaviour(string(short.ID)+".0.0.0", cluster.Behaviour{Duration: 60 * time.Millisecond})
		// A lease by the former clock is the longest one on the restarted worker.
		time.Sleep(20 * time.Second)
		o.submit(long)
		time.Sleep(3 * time.Second)
		d.armed.Store(true)
		sent := <-d.sent
		time.Sleep(50 * time.Millisecond)
		f.worker("w0").Crash()
		o.submit(short)
		time.Sleep(1950*time.Millisecond - time.Since(sent))
		f.worker("w0").SetFaults(cluster.WorkerFaults{Unresponsive: true})
		f.list("w1")
		time.Sleep(3 * maxLease)
		events := f.workers.History.Events()
		Expect(cluster.Check(events, cluster.Expectation{})).To(BeEmpty(), cluster.FormatTask(events, task))
	})
})

// lostQueryDialer loses one heartbeat that neither waits nor grants a lease.
type lostQueryDialer struct {
	worker.Dialer
	armed atomic.Bool
}

func (d *lostQueryDialer) Dial(w worker.Worker) worker.Conn {
	return &lostQueryConn{d.Dialer.Dial(w), d}
}

type lostQueryConn struct {
	worker.Conn
	dialer *lostQueryDialer
}

func (c *lostQueryConn) Heartbeat(ctx context.Context, command worker.HeartbeatCommand) (worker.Status, error) {
	if command.Wait > 0 || command.LeaseEndMS > 0 || !c.dialer.armed.CompareAndSwap(true, false) {
		return c.Conn.Heartbeat(ctx, command)
	}
	select {
	case <-ctx.Done():
	case <-time.After(900 * time.Millisecond):
	}
	return worker.Status{}, &worker.NoAnswerError{Cause: errDelayed}
}

var _ = Describe("a query beside a heartbeat", func() {
	// Guards against an answer to the heartbeat that waits until the query has timed out.
	simulatedIt("does not delay the answer to the heartbeat if it is lost", func(f *fixture) {
		f.policy.Heartbeats.Enabled = true
		d := &lostQueryDialer{Dialer: f.workers}
		f.wrapDialer = func(worker.Dialer) worker.Dialer { return d }
		f.workers.Remove("w1")
		o := f.startOwner()
		time.Sleep(time.Second)
		j := testJob(1, job.Step{Estimate: 60 * time.Millisecond})
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: 400 * time.Millisecond})
		d.armed.Store(true)
		began := time.Now()
		o.submit(j)
		Eventually(o.state, 10*time.Second, "10ms").WithArguments(j.ID).Should(Equal("completed"))
		Expect(time.Since(began)).To(BeNumerically("<", 700*time.Millisecond))
	})
})

var _ = Describe("a pool whose demand exceeds its capacity for a minute", func() {
	const taskTime = 300 * time.Millisecond
	// overload submits ten jobs a second to a worker that completes 6.7, and returns when each was accepted.
	overload := func(f *fixture, account func(n int) string) (accepted map[job.ID]time.Time, o *owner) {
		f.policy.Admission.Enabled, f.policy.Fairness.Enabled = true, true
		f.workers.Remove("w1")
		o = f.startOwner()
		time.Sleep(time.Second)
		accepted = map[job.ID]time.Time{}
		capacity := f.listed()["w0"].Capacity
		for n := range 600 {
			j := testJob(n+1, job.Step{Estimate: taskTime, Need: worker.Resources{CPU: capacity.CPU / 2, MemMB: 1}})
			j.Objective, j.Account = time.Second, account(n)
			f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: taskTime})
			if o.Submit(context.Background(), j) == nil {
				accepted[j.ID] = time.Now()
			}
			time.Sleep(100 * time.Millisecond)
		}
		return accepted, o
	}
	// Guards against an accepted job that yields for as long as the overload lasts.
	simulatedIt("completes the jobs that yield as well", func(f *fixture) {
		accepted, o := overload(f, func(int) string { return "" })
		Expect(len(accepted)).To(BeNumerically(">", 300))
		for id, at := range accepted {
			if time.Since(at) > 30*time.Second {
				Expect(o.state(id)).To(Equal("completed"))
			}
		}
	})
	// Guards against an account at seven times the traffic of another one that makes the other one's jobs late.
	simulatedIt("serves a light account in time beside a heavy one", func(f *fixture) {
		f.config.Accounts = map[string]jobconfig.Account{"light": {Weight: 1}, "heavy": {Weight: 1}}
		light := map[job.ID]bool{}
		accepted, _ := overload(f, func(n int) string {
			if n%8 != 0 {
				return "heavy"
			}
			light[testJob(n+1).ID] = true
			return "light"
		})
		submitted, inTime := 0, 0
		for id := range light {
			submitted++
			for _, e := range f.workers.History.Events() {
				if e.Kind == cluster.Completed && e.Task == string(id)+".0.0.0" && e.At.Sub(accepted[id]) <= time.Second+2*taskTime {
					inTime++
				}
			}
		}
		Expect(inTime).To(BeNumerically(">=", submitted*9/10))
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
