package shard_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/jobstore"
	"samphirestile.example/samphirestile/internal/shard"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

var errDelayed = errors.New("no response")

// commandFaults are faults of commands on their way to a worker. Unlike cluster.WorkerFaults they
// outlast a restart of the worker.
type commandFaults struct {
	worker.Dialer

	mu sync.Mutex
	// heldStarts is the number of further start commands that get no response within startTimeout and
	// are kept for release.
	heldStarts   int
	startTimeout time.Duration
	held         []func() error
	// unhealthy lets one worker refuse all commands without effect.
	unhealthy worker.ID
	// tailLatency is the usage, in milliseconds, in the statuses of all runs.
	tailLatency int64
	// paces holds the last commanded pace of each run, in percent.
	paces map[string]int
}

type faultyConn struct {
	worker.Conn
	id     worker.ID
	faults *commandFaults
}

func (d *commandFaults) Dial(w worker.Worker) worker.Conn {
	return &faultyConn{d.Dialer.Dial(w), w.ID, d}
}

func (d *commandFaults) set(change func(*commandFaults)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d)
}

// count returns the number of held start commands.
func (d *commandFaults) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.held)
}

// release executes the oldest held start command and returns the worker's answer.
func (d *commandFaults) release() error {
	d.mu.Lock()
	start := d.held[0]
	d.held = d.held[1:]
	d.mu.Unlock()
	return start()
}

func (c *faultyConn) refusal() error {
	c.faults.mu.Lock()
	defer c.faults.mu.Unlock()
	if c.faults.unhealthy == c.id {
		return &worker.RefusedError{Reason: worker.RefusedUnhealthy}
	}
	return nil
}

func (c *faultyConn) Heartbeat(ctx context.Context, command worker.HeartbeatCommand) (worker.Status, error) {
	if err := c.refusal(); err != nil {
		return worker.Status{}, err
	}
	status, err := c.Conn.Heartbeat(ctx, command)
	c.faults.mu.Lock()
	defer c.faults.mu.Unlock()
	for i := range status.Running {
		status.Running[i].Usage = c.faults.tailLatency
	}
	return status, err
}

func (c *faultyConn) Pace(ctx context.Context, token uint64, task string, number, percent int) (int64, error) {
	c.faults.set(func(d *commandFaults) { d.paces[task] = percent })
	return c.Conn.Pace(ctx, token, task, number, percent)
}

func (c *faultyConn) Start(ctx context.Context, command worker.StartCommand) (int64, error) {
	if err := c.refusal(); err != nil {
		return 0, err
	}
	c.faults.mu.Lock()
	hold, timeout, sent := c.faults.heldStarts > 0, c.faults.startTimeout, time.Now()
	if hold {
		c.faults.heldStarts--
		c.faults.held = append(c.faults.held, func() error {
			// The lease of a late start counts from its arrival.
			command.LeaseEndMS += time.Since(sent).Milliseconds()
			_, err := c.Conn.Start(context.Background(), command)
			return err
		})
	}
	c.faults.mu.Unlock()
	if !hold {
		return c.Conn.Start(ctx, command)
	}
	select {
	case <-ctx.Done():
	case <-time.After(timeout):
	}
	return 0, &worker.NoAnswerError{Cause: errDelayed}
}

func (c *faultyConn) Stop(ctx context.Context, token uint64, task string, number int) (int64, error) {
	if err := c.refusal(); err != nil {
		return 0, err
	}
	return c.Conn.Stop(ctx, token, task, number)
}

var _ = Describe("commands that arrive late or are refused", func() {
	const startTimeout = 300 * time.Millisecond
	var f *fixture
	var faults *commandFaults

	newOwner := func(workers int) *owner {
		f = newFixture(workers)
		faults = &commandFaults{startTimeout: startTimeout, paces: map[string]int{}}
		f.wrapDialer = func(d worker.Dialer) worker.Dialer {
			faults.Dialer = d
			return faults
		}
		return f.startOwner()
	}
	longJob := func(n, count int) job.Job {
		return testJob(n, job.Step{LongRunning: true, Count: count, Need: worker.Resources{CPU: 100, MemMB: 10}})
	}
	runs := func(o *owner) func() int {
		return func() int {
			r, err := o.Report(context.Background(), shard.ReportRequest{})
			Expect(err).NotTo(HaveOccurred())
			return r.Runs
		}
	}

	It("do not run beside the successor of a run that was confirmed by its second start command and lost in a restart", func() {
		o := newOwner(2)
		j := testJob(1, job.Step{})
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: time.Hour})
		faults.set(func(d *commandFaults) { d.heldStarts = 1 })
		o.submit(j)
		first, other := f.worker("w0"), f.worker("w1")
		Eventually(func() int { return first.Running() + other.Running() }, callTimeout).Should(Equal(1))
		if other.Running() == 1 {
			first, other = other, first
		}
		// The cordon directs the next run of the task to the other worker.
		_, err := o.Empty(context.Background(), first.ID)
		Expect(err).NotTo(HaveOccurred())
		first.Crash()
		Eventually(other.Running, callTimeout).Should(Equal(1))
		_ = faults.release()
		Eventually(first.Running, stopGrace+callTimeout).Should(BeZero())
	})

	It("do not start a run whose stop the worker has forgotten by a restart", func() {
		o := newOwner(1)
		j := longJob(1, 1)
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: time.Hour})
		faults.set(func(d *commandFaults) { d.heldStarts = 1 })
		o.submit(j)
		w := f.worker("w0")
		Eventually(faults.count, callTimeout).Should(Equal(1))
		Expect(o.Cancel(context.Background(), j.ID)).To(Succeed())
		Eventually(runs(o), callTimeout).Should(BeZero())
		w.Crash()
		time.Sleep(callTimeout)
		_ = faults.release()
		Eventually(w.Running, stopGrace+callTimeout).Should(BeZero())
	})

	It("do not start a run whose stop was answered before the worker left the list and restarted", func() {
		o := newOwner(1)
		j := longJob(1, 1)
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: time.Hour})
		faults.set(func(d *commandFaults) { d.heldStarts = 1 })
		o.submit(j)
		w := f.worker("w0")
		Eventually(faults.count, callTimeout).Should(Equal(1))
		Expect(o.Cancel(context.Background(), j.ID)).To(Succeed())
		Eventually(runs(o), callTimeout).Should(BeZero())
		f.hide("w0")
		sessions := func() int {
			r, err := o.Report(context.Background(), shard.ReportRequest{})
			Expect(err).NotTo(HaveOccurred())
			return len(r.Workers)
		}
		Eventually(sessions, stopGrace+callTimeout).Should(BeZero())
		w.Crash()
		f.mu.Lock()
		delete(f.hidden, "w0")
		f.mu.Unlock()
		Eventually(sessions, callTimeout).Should(Equal(1))
		time.Sleep(callTimeout)
		_ = faults.release()
		Eventually(w.Running, stopGrace+callTimeout).Should(BeZero())
	})

	It("do not delay a stop by unanswered starts of other tasks", func() {
		o := newOwner(1)
		j := longJob(1, 1)
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: time.Hour})
		o.submit(j)
		w := f.worker("w0")
		Eventually(w.Running, callTimeout).Should(Equal(1))
		faults.set(func(d *commandFaults) { d.heldStarts, d.startTimeout = 1000, 900*time.Millisecond })
		o.submit(longJob(2, 20))
		time.Sleep(200 * time.Millisecond)
		Expect(o.Cancel(context.Background(), j.ID)).To(Succeed())
		Eventually(w.Running, stopGrace+callTimeout).Should(BeZero())
	})

	It("do not lose a pace command when the queue of the worker is full", func() {
		o := newOwner(1)
		serving := testJob(1, job.Step{LongRunning: true, TailLatencyTarget: 100 * time.Millisecond})
		bestEffort := testJob(2, job.Step{LongRunning: true, BestEffort: true})
		task := string(bestEffort.ID) + ".0.0.0"
		f.setBehaviour(string(serving.ID)+".0.0.0", cluster.Behaviour{Duration: time.Hour})
		f.setBehaviour(task, cluster.Behaviour{Duration: time.Hour})
		o.submit(serving)
		o.submit(bestEffort)
		Eventually(f.worker("w0").Running, callTimeout).Should(Equal(2))
		// Two unanswered starts hold both senders, and the others fill the queue.
		faults.set(func(d *commandFaults) { d.heldStarts, d.startTimeout = 1<<20, 4*time.Second })
		many := testJob(3, job.Step{LongRunning: true, Count: 600, Need: worker.Resources{CPU: 5, MemMB: 5}})
		for i := range many.Steps[0].Count {
			f.setBehaviour(fmt.Sprintf("%s.0.0.%d", many.ID, i), cluster.Behaviour{Duration: time.Hour})
		}
		o.submit(many)
		Eventually(faults.count, callTimeout).Should(Equal(2))
		faults.set(func(d *commandFaults) { d.startTimeout, d.tailLatency = time.Millisecond, 200 })
		time.Sleep(5 * time.Second)
		faults.set(func(d *commandFaults) { d.heldStarts = 0 })
		Eventually(f.worker("w0").Running, 6*callTimeout).Should(Equal(602))
		Eventually(func() int {
			faults.mu.Lock()
			defer faults.mu.Unlock()
			percent, ok := faults.paces[task]
			if !ok {
				return 100
			}
			return percent
		}, 2*callTimeout).Should(BeZero())
	})

	It("do not leave a best-effort run slow after a takeover", func() {
		former := newOwner(1)
		serving := testJob(1, job.Step{LongRunning: true, TailLatencyTarget: 100 * time.Millisecond})
		bestEffort := testJob(2, job.Step{LongRunning: true, BestEffort: true})
		task := string(bestEffort.ID) + ".0.0.0"
		f.setBehaviour(string(serving.ID)+".0.0.0", cluster.Behaviour{Duration: time.Hour})
		f.setBehaviour(task, cluster.Behaviour{Duration: time.Hour})
		pace := func() int {
			faults.mu.Lock()
			defer faults.mu.Unlock()
			percent, ok := faults.paces[task]
			if !ok {
				return 100
			}
			return percent
		}
		faults.set(func(d *commandFaults) { d.tailLatency = 200 })
		former.submit(serving)
		former.submit(bestEffort)
		Eventually(pace, 2*callTimeout).Should(BeZero())
		former.stop()
		faults.set(func(d *commandFaults) { d.tailLatency = 10 })
		f.startOwner()
		Eventually(pace, 2*callTimeout).Should(BeNumerically(">", 0))
	})

	It("do not keep runs of a worker that refuses every heartbeat", func() {
		o := newOwner(2)
		j := longJob(1, 1)
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: time.Hour})
		o.submit(j)
		Eventually(func() int { return f.worker("w0").Running() + f.worker("w1").Running() }, callTimeout).Should(Equal(1))
		first, other := worker.ID("w0"), f.worker("w1")
		if other.Running() == 1 {
			first, other = "w1", f.worker("w0")
		}
		faults.set(func(d *commandFaults) { d.unhealthy = first })
		Eventually(other.Running, leaseExpiryTimeout).Should(Equal(1))
	})

	It("do not outlast a planned hand-over of the shard on a worker that left the list", func() {
		o := newOwner(1)
		j := longJob(1, 1)
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: time.Hour})
		faults.set(func(d *commandFaults) { d.heldStarts = 2 })
		o.submit(j)
		w := f.worker("w0")
		Eventually(faults.count, callTimeout).Should(Equal(2))
		w.SetFaults(cluster.WorkerFaults{Unresponsive: true})
		f.mu.Lock()
		f.hidden["w0"] = true
		f.mu.Unlock()
		Expect(o.Cancel(context.Background(), j.ID)).To(Succeed())
		Eventually(runs(o), leaseExpiryTimeout).Should(BeZero())
		o.Close()
		o.stop()
		f.startOwner()
		w.SetFaults(cluster.WorkerFaults{})
		time.Sleep(time.Second)
		_ = faults.release()
		Eventually(w.Running, stopGrace+callTimeout).Should(BeZero())
	})
})

var _ = Describe("a former owner", func() {
	It("does not report a job of its successor as unknown", func() {
		f := newFixture(1)
		former := f.startOwner()
		former.grantLeasesFor(shard.MaxWorkerLease / 2)
		successor := f.startOwner()
		j := testJob(1, job.Step{})
		successor.submit(j)
		Expect(former.Cancel(context.Background(), j.ID)).NotTo(BeAssignableToTypeOf(&shard.UnknownJobError{}))
		_, err := former.State(context.Background(), j.ID)
		Expect(err).NotTo(BeAssignableToTypeOf(&shard.UnknownJobError{}))
	})

	It("leaves no run of a cancelled and removed job that its successor does not stop", func() {
		f := newFixture(1)
		former := f.startOwner()
		j := testJob(1, job.Step{LongRunning: true})
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: time.Hour})
		former.submit(j)
		w := f.worker("w0")
		Eventually(w.Running, callTimeout).Should(Equal(1))
		w.SetFaults(cluster.WorkerFaults{Unresponsive: true})
		Expect(former.Cancel(context.Background(), j.ID)).To(Succeed())
		former.stop()
		f.startOwner()
		w.SetFaults(cluster.WorkerFaults{})
		Eventually(w.Running, stopGrace+callTimeout).Should(BeZero())
	})
})

var _ = Describe("a worker", func() {
	It("is not empty while a run of an unknown job takes its time to stop", func() {
		f := newFixture(1)
		w := f.worker("w0")
		w.SetFaults(cluster.WorkerFaults{SlowStops: stopGrace - 100*time.Millisecond})
		task := "00000000000000ff.0.0.0"
		f.setBehaviour(task, cluster.Behaviour{Duration: time.Hour})
		_, err := f.workers.Dial(w.Worker).Start(context.Background(), worker.StartCommand{Token: 1, Task: task, Number: 1, LeaseEndMS: time.Minute.Milliseconds()})
		Expect(err).NotTo(HaveOccurred())
		o := f.startOwner()
		Eventually(func() (bool, error) { return o.Empty(context.Background(), "w0") }, callTimeout).Should(BeTrue())
		Expect(w.Running()).To(BeZero())
	})

	It("gets no longer lease than the owner assumes after it has restarted while it was idle", func() {
		f := newFixture(2)
		o := f.startOwner()
		// The lease by the former clock is longer by this time, and still one that workers accept.
		time.Sleep(5 * time.Second)
		first, other := f.worker("w0"), f.worker("w1")
		first.Crash()
		other.Crash()
		time.Sleep(100 * time.Millisecond)
		j := testJob(1, job.Step{})
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: time.Hour})
		o.submit(j)
		Eventually(func() int { return first.Running() + other.Running() }, callTimeout).Should(Equal(1))
		if other.Running() == 1 {
			first, other = other, first
		}
		first.SetFaults(cluster.WorkerFaults{Unresponsive: true})
		// A lease cannot be shortened, so the task can start again once the longest one has ended.
		Eventually(other.Running, maxLease+leaseExpiryTimeout-shard.MaxWorkerLease).Should(Equal(1))
		Expect(first.Running()).To(BeZero())
	})

	It("is used again after it has restarted under its ID at another address", func() {
		f := newFixture(1)
		f.wrapDialer = func(d worker.Dialer) worker.Dialer { return &addressDialer{d, f} }
		o := f.startOwner()
		first := testJob(1, job.Step{})
		o.submit(first)
		Eventually(o.state, callTimeout).WithArguments(first.ID).Should(Equal(string(job.Completed)))
		moved := f.worker("w0").Worker
		moved.Address = "w0:2"
		f.workers.Remove("w0")
		f.workers.Add(moved)
		second := testJob(2, job.Step{})
		o.submit(second)
		Eventually(o.state, leaseExpiryTimeout).WithArguments(second.ID).Should(Equal(string(job.Completed)))
	})
})

// addressDialer opens connections that reach a worker only while it is listed with their address.
type addressDialer struct {
	worker.Dialer
	fixture *fixture
}

func (d *addressDialer) Dial(w worker.Worker) worker.Conn {
	return &addressConn{d.Dialer.Dial(w), w, d.fixture}
}

type addressConn struct {
	worker.Conn
	dialed  worker.Worker
	fixture *fixture
}

func (c *addressConn) check() error {
	if c.fixture.listed()[c.dialed.ID].Address != c.dialed.Address {
		return &worker.UnreachableError{Cause: errDelayed}
	}
	return nil
}

func (c *addressConn) Heartbeat(ctx context.Context, command worker.HeartbeatCommand) (worker.Status, error) {
	if err := c.check(); err != nil {
		return worker.Status{}, err
	}
	return c.Conn.Heartbeat(ctx, command)
}

func (c *addressConn) Start(ctx context.Context, command worker.StartCommand) (int64, error) {
	if err := c.check(); err != nil {
		return 0, err
	}
	return c.Conn.Start(ctx, command)
}

var _ = Describe("a new owner", func() {
	It("starts no recovered task twice when the record of its workers cannot be decoded", func() {
		f := newFixture(2)
		former := f.startOwner()
		j := testJob(1, job.Step{})
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: time.Hour})
		former.submit(j)
		first, other := f.worker("w0"), f.worker("w1")
		Eventually(func() int { return first.Running() + other.Running() }, callTimeout).Should(Equal(1))
		if other.Running() == 1 {
			first, other = other, first
		}
		first.SetFaults(cluster.WorkerFaults{Unresponsive: true})
		f.hide(first.ID)
		former.stop()
		_, err := f.store.Commit(context.Background(), store.Transaction{Writes: []store.Write{{Key: jobstore.WorkersKey("quoter"), Value: []byte("{")}}})
		Expect(err).NotTo(HaveOccurred())
		f.startOwner()
		Consistently(other.Running, shard.MaxWorkerLease-time.Second).Should(BeZero())
		Eventually(other.Running, leaseExpiryTimeout).Should(Equal(1))
		Expect(first.Running()).To(BeZero())
	})
})
