package shard_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/shard"
	"samphirestile.example/samphirestile/internal/worker"
)

// What is accepted is recorded, and every later owner has to hold it.
var _ = Describe("the memory of accepted jobs", func() {
	const bound = 64 << 10
	submit := func(o *owner, j job.Job) error { return o.Submit(context.Background(), j) }
	// yearly runs hourly for a year, the first time in an hour.
	yearly := func(n int) job.Job {
		j := testJob(n, job.Step{Count: 10})
		j.MaxRuns, j.Interval, j.FirstDueMS = 8760, time.Hour, time.Now().Add(time.Hour).UnixMilli()
		return j
	}
	// fill submits jobs until one is refused for want of memory, and returns how many were accepted.
	fill := func(o *owner, next func(n int) job.Job) int {
		GinkgoHelper()
		for n := 1; n < 1000; n++ {
			err := submit(o, next(n))
			if err == nil {
				continue
			}
			var rejected *shard.RejectedError
			Expect(errors.As(err, &rejected)).To(BeTrue(), err.Error())
			var full *shard.MemoryError
			Expect(errors.As(err, &full)).To(BeTrue(), err.Error())
			Expect(full.MaxBytes).To(BeEquivalentTo(bound))
			Expect(full.UsedBytes).To(BeNumerically("<=", bound))
			Expect(full.UsedBytes + full.NeededBytes).To(BeNumerically(">", bound))
			Expect(rejected.Overload).To(BeTrue())
			Expect(rejected.RetryAfter).To(BeNumerically(">", 0))
			return n - 1
		}
		Fail("no job was refused")
		return 0
	}
	kinds := map[string]func(n int) job.Job{
		"scheduled":    yearly,
		"long-running": func(n int) job.Job { return testJob(n, job.Step{LongRunning: true}) },
		"ordinary": func(n int) job.Job {
			j := testJob(n, job.Step{Count: 10, Need: worker.Resources{CPU: 8000, MemMB: 8000}, Estimate: time.Millisecond})
			j.Objective = time.Hour
			return j
		},
	}
	for kind, next := range kinds {
		// Guards against accepted jobs that no daemon can hold any more.
		simulatedIt("is bounded at the hand-in of "+kind+" jobs, also after a change of the owner", func(f *fixture) {
			f.jobMemory = func() int64 { return bound }
			f.workers.Behaviour = func(string, int) cluster.Behaviour { return cluster.Behaviour{Duration: time.Hour} }
			o := f.startOwner()
			accepted := fill(o, next)
			Expect(accepted).To(BeNumerically(">", 5))
			o.Close()
			o.stop()
			o = f.startOwner()
			Expect(submit(o, next(999))).NotTo(Succeed())
			for n := range accepted {
				Expect(o.state(next(n + 1).ID)).To(BeElementOf("pending", "running"))
			}
			// Ended jobs free their memory.
			for n := range 2 {
				Expect(o.Cancel(context.Background(), next(n+1).ID)).To(Succeed())
			}
			time.Sleep(time.Second)
			Expect(submit(o, next(999))).To(Succeed())
		})
	}

	// Guards against a legal job that is never accepted.
	simulatedIt("suffices for any job of an empty shard", func(f *fixture) {
		f.jobMemory = func() int64 { return 1 }
		o := f.startOwner()
		Expect(submit(o, testJob(1, job.Step{Count: 20_000}))).To(Succeed())
		Expect(submit(o, testJob(2, job.Step{}))).NotTo(Succeed())
	})

	// Guards against occurrences that are left out or started twice by a bound on those in progress, also with a successor.
	simulatedIt("does not grow with the occurrences that are overdue", func(f *fixture) {
		f.jobMemory = func() int64 { return 1 }
		o, j := f.startOwner(), testJob(1, job.Step{Count: 4}, job.Step{After: []int{0}})
		j.MaxRuns, j.Interval, j.FirstDueMS = 300, time.Millisecond, time.Now().Add(-time.Hour).UnixMilli()
		o.submit(j)
		time.Sleep(2 * time.Second)
		o.stop()
		o = f.startOwner()
		Eventually(o.state, time.Minute, "100ms").WithArguments(j.ID).Should(Equal("completed"))
		for k := range j.MaxRuns {
			for _, task := range []string{"0.0", "0.3", "1.0"} {
				Expect(f.workers.History.Completions(fmt.Sprintf("%s.%d.%s", j.ID, k, task))).To(BeNumerically(">=", 1))
			}
		}
		Expect(cluster.Check(f.workers.History.Events(), cluster.Expectation{})).To(BeEmpty())
	})

	// Guards against large jobs that are held until their state expires, long after they have ended.
	simulatedIt("does not include large jobs that have ended", func(f *fixture) {
		o := f.startOwner()
		small, large := testJob(1, job.Step{Count: 4}), testJob(2, job.Step{Count: 20_000})
		large.Objective = time.Hour
		steps := func(j job.Job) []shard.StepReport {
			GinkgoHelper()
			report, err := o.Report(context.Background(), shard.ReportRequest{Job: j.ID})
			Expect(err).NotTo(HaveOccurred())
			Expect(report.Jobs[0].Tasks).To(Equal(j.Steps[0].Count))
			return report.Jobs[0].Steps
		}
		for _, j := range []job.Job{small, large} {
			o.submit(j)
			Eventually(o.state, callTimeout, "10ms").WithArguments(j.ID).Should(Equal("running"))
			Expect(steps(j)).To(HaveLen(1))
			Expect(o.Cancel(context.Background(), j.ID)).To(Succeed())
		}
		time.Sleep(5 * time.Second)
		Expect(steps(small)).To(HaveLen(1))
		Expect(steps(large)).To(BeEmpty())
		Expect(o.state(large.ID)).To(Equal("cancelled"))
		o.submit(large)
		Expect(o.state(large.ID)).To(Equal("cancelled"))
	})
})
