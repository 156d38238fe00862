package bench

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/emulator/jobcell"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/lease"
	"samphirestile.example/samphirestile/internal/shard"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	jobService = fleet.ServiceID("bench")
	// fewWorkers and manyWorkers are the cluster sizes between which slopes are computed.
	fewWorkers, manyWorkers = 50, 500
	// jobsPerSecond jobs of tasksPerJob tasks of taskDuration use two fifths of the CPU
	// cores of fewWorkers.
	jobsPerSecond = 40
	tasksPerJob   = 8
	taskDuration  = 250 * time.Millisecond
	// heapTasks is the number of running tasks for the measurement of the heap.
	heapTasks = 2000
	// takeoverBoundMS allows for the lease of the lost owner, the detection of the vacant
	// shard, and reading the records and the state of all workers.
	takeoverBoundMS = float64(lease.TTL/time.Millisecond) + 1000
	// jobTimeout limits each wait for a state of the emulated cluster.
	jobTimeout = 20 * time.Second
)

// JobTimeoutError reports that the cluster did not reach an expected state in time.
type JobTimeoutError struct{ Step string }

func (e *JobTimeoutError) Error() string {
	return fmt.Sprintf("waiting for the %s timed out after %v", e.Step, jobTimeout)
}

// shardReport requests the counters of a shard without its jobs.
var shardReport = shard.ReportRequest{}

// jobFigures are the measurements at one cluster size.
type jobFigures struct {
	accept, start []int64 // latencies in nanoseconds
	callsPerJob   float64
	cpu           time.Duration
	seconds       float64 // from the first submission until all jobs have finished
	tasks         int
	heapPerTask   float64 // bytes
	takeoverIdle  time.Duration
}

// measureJob measures the job path at two cluster sizes. CPU time and heap include the
// emulated store and workers, which run in the same process.
func measureJob(o Options) ([]Metric, error) {
	duration := time.Duration(o.durationMS(6, 30)) * time.Millisecond
	few, err := measureCluster(fewWorkers, duration)
	if err != nil {
		return nil, err
	}
	many, err := measureCluster(manyWorkers, duration)
	if err != nil {
		return nil, err
	}
	ms := func(values []int64, q float64) float64 {
		return float64(quantile(values, q)) / float64(time.Millisecond)
	}
	cpuPercent := func(f jobFigures) float64 { return 100 * f.cpu.Seconds() / f.seconds }
	const per1000 = 1000
	slope := float64(manyWorkers-fewWorkers) / per1000
	return []Metric{
		{"job.accept_p99_ms", ms(few.accept, 0.99), "ms"},
		{"job.start_p99_ms", ms(few.start, 0.99), "ms"},
		{"job.start_p99_ms_500_workers", ms(many.start, 0.99), "ms"},
		{"takeover.idle_ms", float64(few.takeoverIdle.Milliseconds()), "ms"},
		{"takeover.idle_ms_500_workers", float64(many.takeoverIdle.Milliseconds()), "ms"},
		{"store.calls_per_job", few.callsPerJob, "calls"},
		{"owner.cpu_ms_per_task", float64(few.cpu.Microseconds()) / per1000 / float64(few.tasks), "ms"},
		{"owner.cpu_percent_per_1000_workers", (cpuPercent(many) - cpuPercent(few)) / slope, "% of a core"},
		{"owner.heap_mb_per_1000_tasks", few.heapPerTask * per1000 / (1 << 20), "MB"},
		{"owner.heap_mb_per_1000_tasks_500_workers", many.heapPerTask * per1000 / (1 << 20), "MB"},
	}, nil
}

// jobCluster is an emulated store with workers and daemons.
type jobCluster struct {
	store   *cluster.Store
	workers *cluster.Workers
	next    int // number of the last job

	mu sync.Mutex
	// longRunning holds the IDs of jobs whose tasks run until the end of the measurement.
	longRunning map[string]bool
}

func newJobCluster(workers int) *jobCluster {
	c := &jobCluster{store: cluster.NewStore(), longRunning: map[string]bool{}}
	c.workers = &cluster.Workers{Behaviour: func(task string, _ int) cluster.Behaviour {
		c.mu.Lock()
		defer c.mu.Unlock()
		if id, _, _ := strings.Cut(task, "."); c.longRunning[id] {
			return cluster.Behaviour{Duration: time.Hour}
		}
		return cluster.Behaviour{Duration: taskDuration}
	}}
	for i := range workers {
		c.workers.Add(worker.Worker{
			ID: worker.ID(fmt.Sprintf("w%04d", i)), Service: jobService, Address: fmt.Sprintf("w%04d", i),
			Capacity: worker.Resources{CPU: 4000, MemMB: 1 << 20}, Labels: []string{"a", fmt.Sprintf("r%d", i/16)},
		})
	}
	return c
}

// newJob returns a job of two steps, or one long-running step.
func (c *jobCluster) newJob(tasks int, longRunning bool) job.Job {
	c.next++
	id := fmt.Sprintf("%016x", c.next)
	need := worker.Resources{CPU: 1000, MemMB: 100}
	j := job.Job{ID: job.ID(id), Queue: "q", Service: jobService, Spec: "s", MaxAttempts: 3, Stretch: 2, Objective: time.Minute}
	if longRunning {
		c.mu.Lock()
		c.longRunning[id] = true
		c.mu.Unlock()
		j.Steps = []job.Step{{Count: tasks, Need: worker.Resources{CPU: 1, MemMB: 1}, LongRunning: true}}
		return j
	}
	j.Steps = []job.Step{{Count: tasks / 2, Need: need, Estimate: taskDuration}, {Count: tasks / 2, Need: need, Estimate: taskDuration, After: []int{0}}}
	return j
}

// await waits until done returns true, up to jobTimeout.
func await(step string, done func() bool) error {
	for end := time.Now().Add(jobTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if done() {
			return nil
		}
	}
	return &JobTimeoutError{step}
}

func measureCluster(workers int, duration time.Duration) (jobFigures, error) {
	c := newJobCluster(workers)
	first := jobcell.StartDaemon(c.store, c.workers, jobService, "first")
	defer first.Kill()
	serving := func(d *jobcell.Daemon) bool {
		if d.Owner() == nil {
			return false
		}
		_, err := d.Owner().Waiting(context.Background(), shard.Queue{Name: "q"})
		return err == nil
	}
	if err := await("first owner", func() bool { return serving(first) }); err != nil {
		return jobFigures{}, err
	}
	second := jobcell.StartDaemon(c.store, c.workers, jobService, "second")
	defer second.Kill()
	time.Sleep(time.Second) // the owner gets the first heartbeat responses
	f, err := c.load(first, duration)
	if err != nil {
		return f, err
	}
	if f.heapPerTask, err = c.heap(first); err != nil {
		return f, err
	}
	return f, c.takeover(first, second, serving, &f)
}

// load submits jobs at a fixed rate and measures until all are finished.
func (c *jobCluster) load(d *jobcell.Daemon, duration time.Duration) (jobFigures, error) {
	var f jobFigures
	var mu sync.Mutex
	var group sync.WaitGroup
	var failures []error
	accepted := map[string]time.Time{}
	calls, cpu, start := c.store.Calls(), processorTime(), time.Now()
	jobs := 0
	for at := time.Duration(0); at < duration; at += time.Second / jobsPerSecond {
		time.Sleep(time.Until(start.Add(at)))
		j := c.newJob(tasksPerJob, false)
		jobs++
		group.Go(func() {
			sent := time.Now()
			err := d.Owner().Submit(context.Background(), j)
			mu.Lock()
			defer mu.Unlock()
			f.accept = append(f.accept, int64(time.Since(sent)))
			accepted[string(j.ID)] = time.Now()
			failures = append(failures, err)
		})
	}
	group.Wait()
	if err := errors.Join(failures...); err != nil {
		return f, err
	}
	err := await("end of the load", func() bool {
		n, err := d.Owner().Report(context.Background(), shardReport)
		return err == nil && n.ActiveJobs == 0
	})
	f.cpu, f.seconds, f.tasks = processorTime()-cpu, time.Since(start).Seconds(), jobs*tasksPerJob
	f.callsPerJob = float64(c.store.Calls()-calls) / float64(jobs)
	for _, e := range c.workers.History.Events() {
		id, _, _ := strings.Cut(e.Task, ".")
		if at, ok := accepted[id]; ok && e.Kind == cluster.Started {
			f.start = append(f.start, max(0, int64(e.At.Sub(at))))
			delete(accepted, id)
		}
	}
	return f, err
}

// heap returns the heap bytes per running task.
func (c *jobCluster) heap(d *jobcell.Daemon) (float64, error) {
	before := heapInUse()
	if err := d.Owner().Submit(context.Background(), c.newJob(heapTasks, true)); err != nil {
		return 0, err
	}
	err := await("start of long-running tasks", func() bool {
		n, err := d.Owner().Report(context.Background(), shardReport)
		return err == nil && n.Runs == heapTasks
	})
	time.Sleep(time.Second) // start commands and their buffers are released
	return float64(heapInUse()-before) / heapTasks, err
}

// takeover kills the owner under load and measures the time until the next start.
func (c *jobCluster) takeover(first, second *jobcell.Daemon, serving func(*jobcell.Daemon) bool, f *jobFigures) error {
	for range jobsPerSecond {
		if err := first.Owner().Submit(context.Background(), c.newJob(tasksPerJob, false)); err != nil {
			return err
		}
	}
	killed := time.Now()
	first.Kill()
	if err := await("second owner", func() bool { return serving(second) }); err != nil {
		return err
	}
	return await("start after the takeover", func() bool {
		for _, e := range c.workers.History.Events() {
			if e.Kind == cluster.Started && e.At.Sub(killed) > time.Second {
				f.takeoverIdle = e.At.Sub(killed)
				return true
			}
		}
		return false
	})
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// processorTime returns the CPU time of this process; on Linux the call cannot fail.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
