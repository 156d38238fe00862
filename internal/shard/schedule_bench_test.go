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
	"samphirestile.example/samphirestile/internal/worker"
)

// benchOwner returns an owner of 60 workers with the given capacity in use, and of waiting jobs.
func benchOwner(used worker.Resources, jobs int, step func(i int) job.Step) *Owner {
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := New(Config{
		Shard: "quoter", Log: log, Scope: tally.NoopScope, Bounds: Bounds{MaxLease: 10 * time.Second},
		LatestWorkerLeaseEnd: func() monotonic.Time { return monotonic.Now().Add(time.Hour) },
		Configuration:        func() *jobconfig.Configuration { return &jobconfig.Configuration{} },
	})
	for i := range 60 {
		id := worker.ID(fmt.Sprint("w", i))
		o.sessions[id] = &session{
			Worker: worker.Worker{ID: id, Capacity: worker.Resources{CPU: 32000, MemMB: 128000}, Labels: []string{"a", fmt.Sprint("r", i/20)}},
			owner:  o, used: used, fenced: true, listed: true, reachable: true, runs: map[runKey]*run{}, lateStarts: map[runKey]*lateStart{},
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
				o := benchOwner(kind.used, jobs, kind.step)
				for b.Loop() {
					o.schedulingPass()
				}
			})
		}
	}
}
