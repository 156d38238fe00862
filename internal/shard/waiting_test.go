package shard_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/shard"
	"samphirestile.example/samphirestile/internal/worker"
)

// refusingDialer refuses starts for a reason while it is set.
type refusingDialer struct {
	worker.Dialer
	reason   atomic.Pointer[worker.Refusal]
	refusals atomic.Int32
}

func (d *refusingDialer) Dial(w worker.Worker) worker.Conn {
	return &refusingConn{d.Dialer.Dial(w), d}
}

type refusingConn struct {
	worker.Conn
	dialer *refusingDialer
}

func (c *refusingConn) Start(ctx context.Context, command worker.StartCommand) (int64, error) {
	if reason := c.dialer.reason.Load(); reason != nil {
		c.dialer.refusals.Add(1)
		return 0, &worker.RefusedError{Reason: *reason}
	}
	return c.Conn.Start(ctx, command)
}

// A job waits until a worker has shown that one of its tasks has begun. A command to start one may be refused, withheld or
// stay without an answer.
var _ = Describe("a job whose starts had no effect", func() {
	const jobs = 5
	waiting := func(o *owner) int {
		GinkgoHelper()
		n, err := o.Waiting(context.Background(), shard.Queue{Name: "q"})
		Expect(err).NotTo(HaveOccurred())
		return n
	}
	submitAll := func(o *owner) {
		for n := range jobs {
			o.submit(testJob(n+1, job.Step{}))
		}
	}
	expectWaiting := func(o *owner, during time.Duration) {
		GinkgoHelper()
		for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			Expect(waiting(o)).To(Equal(jobs))
			report, err := o.Report(context.Background(), shard.ReportRequest{})
			Expect(err).NotTo(HaveOccurred())
			Expect(report.WaitingJobs).To(Equal(jobs))
			Expect(o.state(testJob(1).ID)).To(Equal(string(job.Pending)))
		}
	}
	expectBegun := func(o *owner) {
		GinkgoHelper()
		Eventually(func() int { return waiting(o) }, leaseExpiryTimeout, "10ms").Should(BeZero())
		for n := range jobs {
			Eventually(o.state, leaseExpiryTimeout, "10ms").WithArguments(testJob(n + 1).ID).Should(Equal(string(job.Completed)))
		}
	}
	// Guards against a queue that is shown as empty while its jobs are placed on silent workers.
	simulatedIt("waits while its workers are silent", func(f *fixture) {
		o := f.startOwner()
		time.Sleep(time.Second)
		for _, id := range []string{"w0", "w1"} {
			f.worker(id).SetFaults(cluster.WorkerFaults{Unresponsive: true})
		}
		submitAll(o)
		expectWaiting(o, 7*time.Second)
		for _, id := range []string{"w0", "w1"} {
			f.worker(id).SetFaults(cluster.WorkerFaults{})
		}
		expectBegun(o)
	})
	for _, reason := range []worker.Refusal{worker.RefusedCapacity, worker.RefusedExpired, worker.RefusedUnhealthy, worker.RefusedStaleRun} {
		// Guards against the same on workers that refuse all starts.
		simulatedIt("waits while its starts are refused as "+string(reason), func(f *fixture) {
			d := &refusingDialer{Dialer: f.workers}
			f.wrapDialer = func(worker.Dialer) worker.Dialer { return d }
			o := f.startOwner()
			d.reason.Store(&reason)
			submitAll(o)
			expectWaiting(o, 3*time.Second)
			Expect(d.refusals.Load()).To(BeNumerically(">", 0))
			d.reason.Store(nil)
			expectBegun(o)
		})
	}
	// Guards against a successor that takes commands of the former owner for begun tasks.
	simulatedIt("waits after a change of the owner", func(f *fixture) {
		d := &refusingDialer{Dialer: f.workers}
		f.wrapDialer = func(worker.Dialer) worker.Dialer { return d }
		reason := worker.RefusedCapacity
		d.reason.Store(&reason)
		former := f.startOwner()
		submitAll(former)
		time.Sleep(2 * time.Second)
		former.Close()
		former.stop()
		o := f.startOwner()
		expectWaiting(o, time.Second)
		d.reason.Store(nil)
		expectBegun(o)
	})
	// Guards against a job that waits again after its only run was lost.
	simulatedIt("does not wait any more once a task has begun", func(f *fixture) {
		f.hide("w1")
		o, w := f.startOwner(), f.worker("w0")
		j := testJob(1, job.Step{})
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: time.Minute})
		o.submit(j)
		Eventually(w.Running, callTimeout, "1ms").Should(Equal(1))
		time.Sleep(10 * time.Millisecond)
		f.workers.Remove("w0")
		f.hide("w0")
		for range 10 {
			time.Sleep(time.Second)
			Expect(waiting(o)).To(BeZero())
			Expect(o.state(j.ID)).To(Equal(string(job.Running)))
		}
	})
})
