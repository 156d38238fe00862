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

// Guards against runs of cancelled jobs that start late on a worker which has restarted under its ID and thus
// forgotten their stops, after the owner has detached them (UNASKED).
var _ = Describe("a start command whose run was detached", func() {
	const stopTimeout = stopGrace + callTimeout
	var faults *commandFaults
	var starts atomic.Int32
	// startJob starts the only task of a long-running job on the only worker. start is called with the number of each
	// start command before it is sent; an error is the answer to it.
	startJob := func(f *fixture, held int, startTimeout time.Duration, start func(number int32) error) (*owner, *cluster.Worker, job.ID) {
		GinkgoHelper()
		f.keepsTokens = true
		f.workers.Remove("w1")
		f.workers.Behaviour = func(string, int) cluster.Behaviour { return cluster.Behaviour{Duration: time.Hour} }
		faults = &commandFaults{startTimeout: startTimeout, heldStarts: held, paces: map[string]int{}}
		starts.Store(0)
		f.wrapDialer = func(d worker.Dialer) worker.Dialer {
			faults.Dialer = &hookedDialer{Dialer: d, refuse: func(worker.Worker) error { return start(starts.Add(1)) }}
			return faults
		}
		o := f.startOwner()
		// A lease by the former clock outlasts the spec on a restarted worker.
		time.Sleep(20 * time.Second)
		j := testJob(1, job.Step{LongRunning: true})
		o.submit(j)
		return o, f.worker("w0"), j.ID
	}
	none := func(int32) error { return nil }
	runs := func(o *owner) int {
		r, err := o.Report(context.Background(), shard.ReportRequest{})
		Expect(err).NotTo(HaveOccurred())
		return r.Runs
	}
	// release executes the oldest held start command, which the worker may refuse only because of a stop.
	release := func() {
		GinkgoHelper()
		if err := faults.release(); err != nil {
			Expect(err).To(HaveField("Reason", worker.RefusedStaleRun))
		}
	}
	// restart restarts the worker and releases a start command.
	restart := func(w *cluster.Worker) {
		GinkgoHelper()
		time.Sleep(2 * time.Second) // a heartbeat in flight would show the late run
		w.Crash()
		time.Sleep(100 * time.Millisecond)
		release()
	}

	simulatedIt("starts no run that goes on when it was in flight until after the restart", func(f *fixture) {
		o, w, id := startJob(f, 1, 6*time.Second, none)
		Eventually(faults.count, callTimeout).Should(Equal(1))
		Expect(o.Cancel(context.Background(), id)).To(Succeed())
		Eventually(runs, 2*callTimeout).WithArguments(o).Should(BeZero())
		w.Crash()
		time.Sleep(7 * time.Second)
		release()
		Eventually(w.Running, stopTimeout).Should(BeZero())
	})

	simulatedIt("starts no run that goes on when it is executed and answered right after the restart", func(f *fixture) {
		o, w, id := startJob(f, 0, 0, func(number int32) error {
			if number == 1 {
				time.Sleep(6 * time.Second)
				f.worker("w0").Crash()
			}
			return nil
		})
		Eventually(starts.Load, callTimeout).Should(Equal(int32(1)))
		Expect(o.Cancel(context.Background(), id)).To(Succeed())
		Eventually(runs, 2*callTimeout).WithArguments(o).Should(BeZero())
		Eventually(func() int { return f.workers.History.Starts(string(id) + ".0.0.0") }, 6*time.Second).Should(Equal(1))
		Eventually(w.Running, stopTimeout).Should(BeZero())
	})

	simulatedIt("starts no run that goes on when its repetition was executed, and its run was stopped, before the restart", func(f *fixture) {
		o, w, id := startJob(f, 1, 300*time.Millisecond, none)
		Eventually(w.Running, callTimeout).Should(Equal(1))
		Expect(o.Cancel(context.Background(), id)).To(Succeed())
		Eventually(runs, 2*callTimeout).WithArguments(o).Should(BeZero())
		restart(w)
		Eventually(w.Running, stopTimeout).Should(BeZero())
	})

	for name, err := range map[string]error{
		"refused by a fence":             &worker.RefusedError{Reason: worker.RefusedFence},
		"answered by another worker":     &worker.GoneError{ID: "w0"},
		"refused by an unhealthy worker": &worker.RefusedError{Reason: worker.RefusedUnhealthy},
	} {
		simulatedIt("starts no run that goes on when its repetition was "+name, func(f *fixture) {
			var refusing atomic.Bool
			refusing.Store(true)
			o, w, id := startJob(f, 1, 300*time.Millisecond, func(int32) error {
				if refusing.Load() {
					return err
				}
				return nil
			})
			Eventually(starts.Load, callTimeout).Should(BeNumerically(">", 0))
			Expect(o.Cancel(context.Background(), id)).To(Succeed())
			Eventually(runs, 2*callTimeout).WithArguments(o).Should(BeZero())
			refusing.Store(false)
			restart(w)
			Eventually(w.Running, stopTimeout).Should(BeZero())
		})
	}

	simulatedIt("starts no run that goes on when the one of another command was listed late and stopped", func(f *fixture) {
		o, w, id := startJob(f, 2, 300*time.Millisecond, none)
		Eventually(faults.count, callTimeout).Should(Equal(2))
		w.SetFaults(cluster.WorkerFaults{Unresponsive: true})
		Expect(o.Cancel(context.Background(), id)).To(Succeed())
		Eventually(runs, leaseExpiryTimeout).WithArguments(o).Should(BeZero())
		w.SetFaults(cluster.WorkerFaults{DelayedStops: 1 << 20, StopDelay: time.Hour})
		Expect(faults.release()).To(Succeed())
		time.Sleep(2 * time.Second)
		w.SetFaults(cluster.WorkerFaults{})
		Eventually(w.Running, stopTimeout).Should(BeZero())
		Eventually(runs, 2*callTimeout).WithArguments(o).Should(BeZero())
		restart(w)
		Eventually(w.Running, stopTimeout).Should(BeZero())
	})

	simulatedIt("does not keep a worker from being emptied when the run has ended", func(f *fixture) {
		o, w, id := startJob(f, 1, 300*time.Millisecond, none)
		Eventually(w.Running, callTimeout).Should(Equal(1))
		Expect(o.Cancel(context.Background(), id)).To(Succeed())
		Eventually(w.Running, callTimeout).Should(BeZero())
		Eventually(func() bool { return f.empty(o, w.ID) }, promptly).Should(BeTrue())
	})
})
