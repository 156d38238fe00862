package shard_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/shard"
	"samphirestile.example/samphirestile/internal/worker"
)

// stopLossDialer loses stop commands: they have no effect and their callers wait for the timeout of the call.
type stopLossDialer struct {
	worker.Dialer
	// latency is how long the answer to a command takes.
	latency time.Duration
	// lost reports whether the next stop command for a task is lost.
	lost func(task string) bool

	mu                   sync.Mutex
	sent, inFlight, peak int
	tasks                map[string]bool
}

type stopLossConn struct {
	worker.Conn
	dialer *stopLossDialer
}

func (d *stopLossDialer) Dial(w worker.Worker) worker.Conn {
	return &stopLossConn{d.Dialer.Dial(w), d}
}

func (d *stopLossDialer) began(task string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sent++
	d.inFlight++
	d.peak = max(d.peak, d.inFlight)
	d.tasks[task] = true
}

func (d *stopLossDialer) ended() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
}

// counts returns how many stop commands were sent, for how many tasks, and the largest number in flight.
func (d *stopLossDialer) counts() (sent, tasks, peak int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sent, len(d.tasks), d.peak
}

func (c *stopLossConn) Stop(ctx context.Context, token uint64, task string, number int) (int64, error) {
	c.dialer.began(task)
	defer c.dialer.ended()
	if !c.dialer.lost(task) {
		time.Sleep(c.dialer.latency)
		return c.Conn.Stop(ctx, token, task, number)
	}
	select {
	case <-ctx.Done():
	case <-time.After(unreliableTimeout):
	}
	return 0, &worker.NoAnswerError{Cause: errDelayed}
}

// Guards against runs of cancelled jobs that go on because stop commands of their worker get no answer (UNASKED).
var _ = Describe("the stops of one worker", func() {
	// startRuns starts long-running jobs with the given numbers of tasks on worker w0, the only one. Where no stop is
	// answered, a run of a second job keeps the lease of the worker extended.
	startRuns := func(f *fixture, lost func(task string) bool, counts ...int) (*stopLossDialer, *owner, *cluster.Worker, []job.Job) {
		GinkgoHelper()
		f.workers.Behaviour = func(string, int) cluster.Behaviour { return cluster.Behaviour{Duration: time.Hour} }
		f.workers.Remove("w1")
		d := &stopLossDialer{lost: lost, tasks: map[string]bool{}}
		f.wrapDialer = func(wrapped worker.Dialer) worker.Dialer {
			d.Dialer = wrapped
			return d
		}
		o, w := f.startOwner(), f.worker("w0")
		var jobs []job.Job
		total := 0
		for i, count := range counts {
			j := testJob(i+1, job.Step{LongRunning: true, Count: count, Need: worker.Resources{CPU: 10, MemMB: 10}})
			o.submit(j)
			jobs, total = append(jobs, j), total+count
		}
		Eventually(w.Running, 2*callTimeout).Should(Equal(total))
		return d, o, w, jobs
	}

	for seed := range uint64(5) {
		simulatedIt(fmt.Sprintf("take effect on nearly all of 30 runs within a second when half of the commands get no answer, seed %d", seed), func(f *fixture) {
			var mu sync.Mutex
			rng := rand.New(rand.NewPCG(seed, 7))
			_, o, w, jobs := startRuns(f, func(string) bool {
				mu.Lock()
				defer mu.Unlock()
				return rng.IntN(2) == 0
			}, 30)
			Expect(o.Cancel(context.Background(), jobs[0].ID)).To(Succeed())
			time.Sleep(time.Second)
			Expect(w.Running()).To(BeNumerically("<=", 3))
		})
	}

	simulatedIt("do not delay the stop of another run when they get no answer", func(f *fixture) {
		silent := string(testJob(1).ID)
		_, o, w, jobs := startRuns(f, func(task string) bool { return strings.HasPrefix(task, silent) }, 30, 1)
		Expect(o.Cancel(context.Background(), jobs[0].ID)).To(Succeed())
		time.Sleep(500 * time.Millisecond)
		Expect(o.Cancel(context.Background(), jobs[1].ID)).To(Succeed())
		Eventually(w.Running, 200*time.Millisecond).Should(Equal(30))
	})

	simulatedIt("are repeated at intervals that grow to the timeout of a call when they get no answer", func(f *fixture) {
		d, o, _, jobs := startRuns(f, func(string) bool { return true }, 5, 1)
		Expect(o.Cancel(context.Background(), jobs[0].ID)).To(Succeed())
		time.Sleep(10 * time.Second)
		before, _, _ := d.counts()
		time.Sleep(9 * time.Second)
		after, _, _ := d.counts()
		Expect(after - before).To(BeNumerically("~", 5*10, 5))
	})

	simulatedIt("occupy at most 64 calls when they get no answer, in which each of 500 runs has its turn", func(f *fixture) {
		d, o, _, jobs := startRuns(f, func(string) bool { return true }, 500, 1)
		Expect(o.Cancel(context.Background(), jobs[0].ID)).To(Succeed())
		time.Sleep(20 * time.Second)
		_, tasks, peak := d.counts()
		Expect(peak).To(Equal(64))
		Expect(tasks).To(Equal(500))
	})

	// Guards against new connections for each stop of a worker that answers.
	simulatedIt("occupy two calls at a time when they are answered promptly, and 30 runs end within 200 ms", func(f *fixture) {
		d, o, w, jobs := startRuns(f, func(string) bool { return false }, 30)
		d.latency = 5 * time.Millisecond
		Expect(o.Cancel(context.Background(), jobs[0].ID)).To(Succeed())
		Eventually(w.Running, 200*time.Millisecond).Should(BeZero())
		sent, _, peak := d.counts()
		Expect(sent).To(Equal(30))
		Expect(peak).To(Equal(2))
	})

	simulatedIt("reach a start that takes effect late while the worker answers no heartbeat", func(f *fixture) {
		d := &stopLossDialer{lost: func(string) bool { return false }, tasks: map[string]bool{}}
		f.workers.Remove("w1")
		f.wrapDialer = func(wrapped worker.Dialer) worker.Dialer {
			d.Dialer = wrapped
			return d
		}
		f.workers.Behaviour = func(string, int) cluster.Behaviour { return cluster.Behaviour{Duration: time.Hour} }
		o, w := f.startOwner(), f.worker("w0")
		w.SetFaults(cluster.WorkerFaults{
			DelayedStarts: 2, StartDelay: shard.MaxWorkerLease + 4*time.Second, StartTimeout: 300 * time.Millisecond, LeaseFromArrival: true,
		})
		j := testJob(1, job.Step{LongRunning: true})
		o.submit(j)
		Eventually(w.StartsReceived, callTimeout).Should(Equal(2))
		w.SetFaults(cluster.WorkerFaults{Unresponsive: true})
		Expect(o.Cancel(context.Background(), j.ID)).To(Succeed())
		Eventually(func() int {
			r, err := o.Report(context.Background(), shard.ReportRequest{})
			Expect(err).NotTo(HaveOccurred())
			return r.Runs
		}, leaseExpiryTimeout).Should(BeZero())
		w.SetFaults(cluster.WorkerFaults{LoseHeartbeatReplies: 1 << 20})
		time.Sleep(shard.MaxWorkerLease)
		Expect(f.workers.History.Starts(string(j.ID) + ".0.0.0")).To(BeZero())
	})

	// Guards against a stop that waits until a heartbeat without an answer has timed out.
	for _, silence := range []time.Duration{7000 * time.Millisecond, 7600 * time.Millisecond, 8200 * time.Millisecond} {
		simulatedIt(fmt.Sprintf("are sent at once to a late start whose job is cancelled, %v after its worker fell silent", silence), func(f *fixture) {
			f.workers.Remove("w1")
			d := &stopLossDialer{lost: func(string) bool { return true }, tasks: map[string]bool{}}
			f.wrapDialer = func(wrapped worker.Dialer) worker.Dialer {
				d.Dialer = wrapped
				return d
			}
			o := f.startOwner()
			time.Sleep(2 * time.Second)
			f.worker("w0").SetFaults(cluster.WorkerFaults{
				SlowHeartbeats: 900 * time.Millisecond, LoseHeartbeatReplies: 1 << 20,
				DelayedStarts: 1 << 20, StartDelay: time.Hour, StartTimeout: unreliableTimeout,
			})
			j := testJob(1, job.Step{LongRunning: true, MaxUnavailable: 1})
			o.submit(j)
			time.Sleep(silence)
			before, _, _ := d.counts()
			Expect(o.Cancel(context.Background(), j.ID)).To(Succeed())
			time.Sleep(50 * time.Millisecond)
			after, _, _ := d.counts()
			Expect(after).To(BeNumerically(">", before))
		})
	}
})
