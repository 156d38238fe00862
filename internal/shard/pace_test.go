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

// Guards against pace commands that wait for unanswered starts and are then sent with percentages that were replaced since.
var _ = Describe("a pace command that waited", func() {
	const startTimeout = 1500 * time.Millisecond

	simulatedIt("does not undo a later one that overtakes it", func(f *fixture) {
		var tailLatency, sent, applied, lowest atomic.Int64
		lowest.Store(100)
		f.wrapDialer = func(wrapped worker.Dialer) worker.Dialer {
			return &hookedDialer{
				Dialer: wrapped,
				answer: func(_ context.Context, _ worker.Worker, status worker.Status, err error) (worker.Status, error) {
					for i := range status.Running {
						status.Running[i].Usage = tailLatency.Load()
					}
					return status, err
				},
				pace: func(percent int) {
					if sent.Add(1) == 1 {
						time.Sleep(100 * time.Millisecond)
					}
					applied.Store(int64(percent))
					lowest.Store(min(lowest.Load(), int64(percent)))
				},
			}
		}
		f.workers.Behaviour = func(string, int) cluster.Behaviour { return cluster.Behaviour{Duration: time.Hour} }
		f.hidden["w1"] = true
		o, w := f.startOwner(), f.worker("w0")
		o.submit(testJob(1, job.Step{LongRunning: true, TailLatencyTarget: 100 * time.Millisecond}))
		o.submit(testJob(2, job.Step{LongRunning: true, BestEffort: true}))
		tailLatency.Store(70)
		Eventually(w.Running, callTimeout).Should(Equal(2))
		time.Sleep(time.Second)
		w.SetFaults(cluster.WorkerFaults{DelayedStarts: 2, StartDelay: time.Hour, StartTimeout: startTimeout})
		o.submit(testJob(3, job.Step{Count: 2}))
		Eventually(w.StartsReceived, callTimeout).Should(Equal(4))
		tailLatency.Store(200)
		time.Sleep(startTimeout - 100*time.Millisecond)
		tailLatency.Store(70)
		Expect(sent.Load()).To(BeZero())
		time.Sleep(callTimeout)
		Expect(sent.Load()).To(BeNumerically(">", 1))
		Expect(applied.Load()).To(Equal(lowest.Load()))
	})
})
