package shard_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
)

var _ = Describe("a scheduled job", func() {
	const interval = 2 * time.Second
	scheduled := func() job.Job {
		j := testJob(1, job.Step{})
		j.MaxRuns, j.Interval, j.FirstDueMS = 4, interval, time.Now().UnixMilli()
		return j
	}
	starts := func(f *fixture, j job.Job) (n int) {
		for k := range j.MaxRuns {
			n += f.workers.History.Starts(fmt.Sprintf("%s.%d.0.0", j.ID, k))
		}
		return n
	}

	// Guards against occurrences that start early or late by the beginning and the error of the workers' clocks.
	simulatedIt("starts its occurrences when they are due, whatever the clocks of the workers say", func(f *fixture) {
		f.workers.ClockStart = cluster.AnyClockStart
		o, j := f.startOwner(), scheduled()
		j.FirstDueMS += interval.Milliseconds()
		o.submit(j)
		for k := range j.MaxRuns {
			due := time.UnixMilli(j.DueMS(k))
			time.Sleep(time.Until(due.Add(-50 * time.Millisecond)))
			Expect(starts(f, j)).To(Equal(k))
			time.Sleep(time.Until(due.Add(200 * time.Millisecond)))
			Expect(starts(f, j)).To(Equal(k + 1))
		}
	})

	// Guards against an occurrence that starts later than the cancel, also under a new owner.
	simulatedIt("starts no further occurrence once it is cancelled", func(f *fixture) {
		o, j := f.startOwner(), scheduled()
		o.submit(j)
		time.Sleep(interval * 3 / 2)
		Expect(starts(f, j)).To(Equal(2))
		Expect(o.Cancel(context.Background(), j.ID)).To(Succeed())
		time.Sleep(2 * interval)
		o.stop()
		o = f.startOwner()
		time.Sleep(2 * interval)
		Expect(starts(f, j)).To(Equal(2))
		Expect(o.state(j.ID)).To(Equal(string(job.Cancelled)))
	})

	// Guards against the first start of an occurrence that takes effect later than the cancel.
	simulatedIt("does not run an occurrence whose start had no answer once it is cancelled", func(f *fixture) {
		o, j := f.startOwner(), scheduled()
		f.setBehaviour(string(j.ID)+".1.0.0", cluster.Behaviour{Duration: time.Hour})
		o.submit(j)
		time.Sleep(interval / 2)
		for _, id := range []string{"w0", "w1"} {
			f.worker(id).SetFaults(cluster.WorkerFaults{DelayedStarts: 1, StartDelay: interval, StartTimeout: 900 * time.Millisecond})
		}
		time.Sleep(interval * 3 / 4)
		Expect(f.worker("w0").StartsReceived() + f.worker("w1").StartsReceived()).To(Equal(2))
		Expect(o.Cancel(context.Background(), j.ID)).To(Succeed())
		time.Sleep(2 * interval)
		Expect(starts(f, j)).To(Equal(1))
	})
})
