package shard

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/worker"
)

// addScheduled adds jobs of ten steps of one task that run hourly, the first time after a while.
func addScheduled(o *Owner, jobs, runs int, after time.Duration) {
	due := time.Now().Add(after).UnixMilli()
	for i := range jobs {
		j := job.Job{ID: job.ID(fmt.Sprintf("%016x", 1<<32+i)), Queue: "q", MaxRuns: runs, FirstDueMS: due, Interval: time.Hour}
		for s := range 10 {
			step := job.Step{Count: 1, Need: worker.Resources{CPU: 1000, MemMB: 1000}, Estimate: time.Second}
			if s > 0 {
				step.After = []int{s - 1}
			}
			j.Steps = append(j.Steps, step)
		}
		e := newJobEntry(job.NewTrackedJob(j))
		e.stored = true
		o.jobs[j.ID], o.active[j.ID] = e, e
	}
}

func ordinaryJobs(int) job.Step { return job.Step{Need: worker.Resources{CPU: 1000, MemMB: 1000}} }

// look does once what an owner does several times a second with all of its jobs.
func look(o *Owner) {
	now := monotonic.Now()
	o.currentBacklog(now)
	o.acceptedJobs(now)
	o.schedulingPass()
	o.inheritedUsage(now)
	for _, e := range o.active {
		e.report(now)
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against owners that exceed the memory of their machine by jobs that are not due for a long time.
func TestScheduledJobsNeedNoMemoryBeforeTheyAreDue(t *testing.T) {
	const jobs = 20
	o := benchOwner(worker.Resources{}, 8, 0, ordinaryJobs)
	addScheduled(o, jobs, 10_000, time.Hour)
	before := heapBytes()
	look(o)
	if grown := int64(heapBytes()) - int64(before); grown > jobs*16<<10 {
		t.Errorf("%d scheduled jobs need %d bytes before the first occurrence is due", jobs, grown)
	}
	runtime.KeepAlive(o)
}

// Guards against owners that answer nothing because each look at their jobs takes longer than the time between two.
func TestScheduledJobsNeedNoTimeBeforeTheyAreDue(t *testing.T) {
	fastest := func(runs int) time.Duration {
		o := benchOwner(worker.Resources{}, 8, 0, ordinaryJobs)
		addScheduled(o, 20, runs, time.Hour)
		look(o)
		shortest := time.Hour
		for range 5 {
			began := time.Now()
			look(o)
			shortest = min(shortest, time.Since(began))
		}
		return shortest
	}
	few, many := fastest(10), fastest(10_000)
	if many > 20*few+time.Millisecond {
		t.Errorf("a look at jobs of 10,000 occurrences takes %v, of 10 occurrences %v", many, few)
	}
}

// BenchmarkScheduledJobs measures a look for an admission decision and a scheduling pass beside jobs that are not due.
func BenchmarkScheduledJobs(b *testing.B) {
	for _, jobs := range []int{0, 10, 100, 1000} {
		b.Run(fmt.Sprintf("admission/%d", jobs), func(b *testing.B) {
			o := benchOwner(worker.Resources{}, 8, 10, ordinaryJobs)
			before := heapBytes()
			addScheduled(o, jobs, 10_000, time.Hour)
			for b.Loop() {
				o.currentBacklog(monotonic.Now())
			}
			b.ReportMetric(float64(int64(heapBytes())-int64(before)), "bytes-at-rest")
			runtime.KeepAlive(o)
		})
		b.Run(fmt.Sprintf("overdue/%d", jobs), func(b *testing.B) {
			o := benchOwner(worker.Resources{CPU: 32000, MemMB: 128000}, 8, 10, ordinaryJobs)
			before := heapBytes()
			addScheduled(o, jobs, 10_000, -20_000*time.Hour)
			for b.Loop() {
				o.currentBacklog(monotonic.Now())
				o.schedulingPass()
			}
			b.ReportMetric(float64(int64(heapBytes())-int64(before)), "bytes-at-rest")
			runtime.KeepAlive(o)
		})
		b.Run(fmt.Sprintf("pass/%d", jobs), func(b *testing.B) {
			o := benchOwner(worker.Resources{CPU: 32000, MemMB: 128000}, 8, 10, ordinaryJobs)
			addScheduled(o, jobs, 10_000, time.Hour)
			for b.Loop() {
				o.schedulingPass()
			}
		})
	}
}

// BenchmarkProgressRecord measures the encoding of a job of which half of the occurrences are done, and its size.
func BenchmarkProgressRecord(b *testing.B) {
	for _, runs := range []int{100, 2_000, 10_000} {
		b.Run(fmt.Sprint(runs), func(b *testing.B) {
			o := benchOwner(worker.Resources{}, 1, 0, ordinaryJobs)
			addScheduled(o, 1, runs, time.Hour)
			for _, e := range o.active {
				for k := range runs / 2 {
					for s := range e.job.Steps {
						t := job.TaskID{Job: e.job.ID, Occurrence: k, Step: s}
						e.job.Task(t).LastRun = 1
						e.job.MarkDone(t)
					}
				}
				size := 0
				for b.Loop() {
					record, err := e.job.EncodeProgress()
					if err != nil {
						b.Fatal(err)
					}
					size = len(record)
				}
				b.ReportMetric(float64(size), "bytes")
			}
		})
	}
}
