package shard

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/jobconfig"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/policy"
	"samphirestile.example/samphirestile/internal/worker"
)

// benchOwner returns an owner of workers with the given capacity in use, and of waiting jobs.
func benchOwner(used worker.Resources, workers, jobs int, step func(i int) job.Step) *Owner {
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := New(Config{
		Shard: "quoter", Log: log, Scope: tally.NoopScope, Bounds: Bounds{MaxLease: 10 * time.Second},
		LatestWorkerLeaseEnd: func() monotonic.Time { return monotonic.Now().Add(time.Hour) },
		Configuration:        func() *jobconfig.Configuration { return &jobconfig.Configuration{} },
	})
	for i := range workers {
		id := worker.ID(fmt.Sprint("w", i))
		o.sessions[id] = &session{
			Worker: worker.Worker{ID: id, Capacity: worker.Resources{CPU: 32000, MemMB: 128000}, Labels: []string{"a", fmt.Sprint("r", i/20)}},
			owner:  o, used: used, fenced: true, listed: true, reachable: true, runs: map[runKey]*run{}, lateStarts: map[runKey]*lateStart{},
			commands: newCommandQueue(),
		}
		o.recordedWorkers[id] = recordedWorker{}
	}
	for i := range jobs {
		id := job.ID(fmt.Sprintf("%016x", i))
		s := step(i)
		s.Count, s.Estimate = 8, time.Second
		e := newJobEntry(job.NewTrackedJob(job.Job{ID: id, Queue: "q", Steps: []job.Step{s}}))
		e.stored = true
		o.jobs[id], o.active[id] = e, e
	}
	return o
}

// BenchmarkBlockedPass measures a scheduling pass in which no waiting job finds a worker.
func BenchmarkBlockedPass(b *testing.B) {
	full := worker.Resources{CPU: 32000, MemMB: 64000}
	for _, kind := range []struct {
		name string
		used worker.Resources
		step func(i int) job.Step
	}{
		{"same need", full, func(int) job.Step { return job.Step{Need: worker.Resources{CPU: 1000, MemMB: 1000}} }},
		{"other needs", full, func(i int) job.Step {
			return job.Step{Need: worker.Resources{CPU: int64(500 + i*7919%3000), MemMB: int64(500 + i*104729%3000)}}
		}},
		{"spread", worker.Resources{CPU: 16000, MemMB: 64000}, func(i int) job.Step {
			return job.Step{Need: worker.Resources{CPU: int64(17000 + i*7919%3000), MemMB: 1000}, LongRunning: true, MaxPerWorker: 1}
		}},
	} {
		for _, jobs := range []int{12, 100, 2000} {
			b.Run(fmt.Sprintf("%s/%d", kind.name, jobs), func(b *testing.B) {
				o := benchOwner(kind.used, 60, jobs, kind.step)
				for b.Loop() {
					o.schedulingPass()
				}
			})
		}
	}
}

// attachRuns gives each worker some runs of which some are past their expected end.
func attachRuns(o *Owner, perWorker int) {
	e := newJobEntry(job.NewTrackedJob(job.Job{ID: "running", Queue: "q", Steps: []job.Step{{
		Count: perWorker * len(o.sessions), Need: worker.Resources{CPU: 5000, MemMB: 20000}, Estimate: time.Second,
	}}}))
	n := 0
	for _, s := range o.sessions {
		for range perWorker {
			s.attach(&run{
				task: job.TaskID{Job: "running", Index: n}, number: 1, entry: e, step: &e.job.Steps[0], session: s,
				started: monotonic.Now().Add(-time.Duration(n) * 2 * time.Millisecond),
			})
			n++
		}
	}
}

// BenchmarkLookAheadPass measures a scheduling pass over 100 workers with six runs each and 300 waiting jobs, some of
// them large, with and without the look-ahead.
func BenchmarkLookAheadPass(b *testing.B) {
	for _, kind := range []struct {
		name string
		step func(i int) job.Step
	}{
		{"same need", func(int) job.Step { return job.Step{Need: worker.Resources{CPU: 6000, MemMB: 10000}} }},
		{"large and small", func(i int) job.Step {
			return job.Step{Need: worker.Resources{CPU: int64(5000 + i*7919%3000 + i%10/9*15000), MemMB: int64(5000 + i*104729%3000)}}
		}},
		{"gangs", func(i int) job.Step {
			return job.Step{Need: worker.Resources{CPU: 6000, MemMB: 10000}, Gang: i%10 == 9, SameRack: i%20 == 19}
		}},
	} {
		for _, enabled := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/%t", kind.name, enabled), func(b *testing.B) {
				o := benchOwner(worker.Resources{}, 100, 300, kind.step)
				o.Policy.LookAhead = policy.LookAhead{Enabled: enabled, MaxReservations: 8, MaxWaitMS: 1500}
				attachRuns(o, 6)
				for b.Loop() {
					// Between two passes, runs start or end on about a quarter of the workers.
					changed := 0
					for _, s := range o.sessions {
						if changed++; changed > len(o.sessions)/4 {
							break
						}
						s.endingsAt = 0
					}
					o.schedulingPass()
				}
			})
		}
	}
}
