package shard_test

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/shard"
	"samphirestile.example/samphirestile/internal/worker"
)

const evacuationBound = 5 * time.Second

// zones are the zones under evacuation as the daemon of an owner knows them.
type zones struct {
	mu        sync.Mutex
	evacuated map[fleet.AvailabilityZone]bool
	// confirmed is when they were last confirmed, if they are not confirmed all the time.
	confirmed monotonic.Time
	stale     bool
}

func (z *zones) evacuate(names ...fleet.AvailabilityZone) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.evacuated = map[fleet.AvailabilityZone]bool{}
	for _, name := range names {
		z.evacuated[name] = true
	}
}

// confirm sets whether the store confirms the zones from now on.
func (z *zones) confirm(confirmed bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.stale, z.confirmed = !confirmed, monotonic.Now()
}

func (z *zones) get() (map[fleet.AvailabilityZone]bool, time.Duration) {
	z.mu.Lock()
	defer z.mu.Unlock()
	switch {
	case z.stale && z.confirmed == 0:
		return z.evacuated, math.MaxInt64
	case z.stale:
		return z.evacuated, monotonic.Now().Sub(z.confirmed)
	}
	return z.evacuated, 0
}

// Guards against starts in an availability zone under evacuation (EVAC), and against work that is lost because of it.
var _ = Describe("an availability zone under evacuation", func() {
	// noticeTime is how long an owner takes to act on a change of the zones.
	const noticeTime = 200 * time.Millisecond
	// setup places worker i in zone zi, and lets tasks run for an hour.
	setup := func(f *fixture, workers int) *zones {
		for i := 2; i < workers; i++ {
			f.addWorker(fmt.Sprintf("w%d", i))
		}
		for i := range workers {
			f.worker(fmt.Sprintf("w%d", i)).AvailabilityZone = fleet.AvailabilityZone(fmt.Sprintf("z%d", i))
		}
		f.workers.Behaviour = func(string, int) cluster.Behaviour { return cluster.Behaviour{Duration: time.Hour} }
		z := &zones{}
		f.evacuations = z.get
		return z
	}
	running := func(f *fixture, id string) int { return f.worker(id).Running() }
	tasks := func(n int) job.Step { return job.Step{Count: n, Need: worker.Resources{CPU: 1000, MemMB: 100}} }
	longRunning := func(n, maxUnavailable int, cpu int64) job.Step {
		return job.Step{Count: n, LongRunning: true, MaxUnavailable: maxUnavailable, Need: worker.Resources{CPU: cpu, MemMB: 100}}
	}

	simulatedIt("gets no start, keeps its short runs, and is used again at once", func(f *fixture) {
		z := setup(f, 2)
		o := f.startOwner()
		o.submit(testJob(1, tasks(8)))
		time.Sleep(time.Second)
		before := running(f, "w0")
		Expect(before).To(Equal(4))
		z.evacuate("z0")
		received := f.worker("w0").StartsReceived()
		o.submit(testJob(2, tasks(8)))
		time.Sleep(10 * time.Second)
		Expect(f.worker("w0").StartsReceived()).To(Equal(received))
		Expect(running(f, "w0")).To(Equal(before))
		Expect(running(f, "w1")).To(Equal(8))
		report, err := o.Report(context.Background(), shard.ReportRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Workers[0].State).To(Equal("zone evacuated"))
		z.evacuate()
		time.Sleep(noticeTime)
		Expect(running(f, "w0")).To(Equal(8))
	})

	simulatedIt("gets no start that was queued and no repetition of a start without an answer", func(f *fixture) {
		z := setup(f, 2)
		f.hidden["w1"] = true
		o := f.startOwner()
		const startTimeout, senders = 900 * time.Millisecond, 2
		f.worker("w0").SetFaults(cluster.WorkerFaults{DelayedStarts: senders, StartDelay: time.Hour, StartTimeout: startTimeout})
		o.submit(testJob(1, tasks(6)))
		Eventually(f.worker("w0").StartsReceived, callTimeout).Should(Equal(senders))
		f.mu.Lock()
		delete(f.hidden, "w1")
		f.mu.Unlock()
		z.evacuate("z0")
		time.Sleep(noticeTime)
		Expect(running(f, "w1")).To(Equal(6 - senders))
		time.Sleep(4 * startTimeout)
		Expect(f.worker("w0").StartsReceived()).To(Equal(senders))
		Expect(running(f, "w1")).To(Equal(6))
	})

	simulatedIt("gets no copy of a slow task", func(f *fixture) {
		z := setup(f, 2)
		z.evacuate("z1")
		o := f.startOwner()
		step := tasks(1)
		step.Speculative = true
		o.submit(testJob(1, step))
		time.Sleep(10 * time.Second)
		Expect(running(f, "w0")).To(Equal(1))
		Expect(f.worker("w1").StartsReceived()).To(BeZero())
		z.evacuate()
		Eventually(f.worker("w1").StartsReceived, callTimeout).Should(Equal(1))
	})

	simulatedIt("gets no start from an owner that takes over, which waits for a confirmation", func(f *fixture) {
		z := setup(f, 2)
		former := f.startOwner()
		former.submit(testJob(1, tasks(8)))
		time.Sleep(time.Second)
		received := []int{f.worker("w0").StartsReceived(), f.worker("w1").StartsReceived()}
		former.stop()
		z.mu.Lock()
		z.stale = true
		z.mu.Unlock()
		successor := f.startOwner()
		successor.submit(testJob(2, tasks(4)))
		time.Sleep(3 * time.Second)
		Expect([]int{f.worker("w0").StartsReceived(), f.worker("w1").StartsReceived()}).To(Equal(received))
		z.evacuate("z0")
		z.confirm(true)
		time.Sleep(10 * time.Second)
		Expect([]int{f.worker("w0").StartsReceived(), f.worker("w1").StartsReceived()}).To(Equal([]int{received[0], received[1] + 4}))
	})

	simulatedIt("gets no start from an owner whose store does not answer", func(f *fixture) {
		z := setup(f, 2)
		o := f.startOwner()
		f.workers.Behaviour = func(string, int) cluster.Behaviour { return cluster.Behaviour{Duration: 300 * time.Millisecond} }
		o.submit(testJob(1, tasks(2000)))
		time.Sleep(time.Second)
		z.confirm(false)
		// The owner does not learn of the evacuation, and its ownership stays certain.
		time.Sleep(evacuationBound * 3 / 5)
		received := []int{f.worker("w0").StartsReceived(), f.worker("w1").StartsReceived()}
		time.Sleep(5 * time.Second)
		Expect([]int{f.worker("w0").StartsReceived(), f.worker("w1").StartsReceived()}).To(Equal(received))
		z.evacuate("z0")
		z.confirm(true)
		time.Sleep(time.Second)
		Expect(f.worker("w0").StartsReceived()).To(Equal(received[0]))
		Expect(f.worker("w1").StartsReceived()).To(BeNumerically(">", received[1]))
	})

	simulatedIt("loses its long-running tasks one after the other, within the limit on unavailable ones", func(f *fixture) {
		z := setup(f, 2)
		f.hidden["w1"] = true
		o := f.startOwner()
		o.submit(testJob(1, longRunning(4, 2, 1000)))
		time.Sleep(3 * time.Second) // a new owner waits for the stops of its predecessor
		Expect(running(f, "w0")).To(Equal(4))
		f.mu.Lock()
		delete(f.hidden, "w1")
		f.mu.Unlock()
		time.Sleep(time.Second)
		z.evacuate("z0")
		for range 1000 {
			Expect(running(f, "w0") + running(f, "w1")).To(BeNumerically(">=", 3))
			time.Sleep(10 * time.Millisecond)
		}
		Expect(running(f, "w1")).To(Equal(4))
	})

	simulatedIt("keeps its long-running tasks while no worker elsewhere has room for them", func(f *fixture) {
		z := setup(f, 2)
		o := f.startOwner()
		o.submit(testJob(1, longRunning(2, 1, 5000)))
		time.Sleep(3 * time.Second)
		Expect([]int{running(f, "w0"), running(f, "w1")}).To(Equal([]int{1, 1}))
		z.evacuate("z0")
		for range 100 {
			Expect([]int{running(f, "w0"), running(f, "w1")}).To(Equal([]int{1, 1}))
			time.Sleep(50 * time.Millisecond)
		}
		f.addWorker("w2")
		Eventually(f.worker("w2").Running, 2*callTimeout).Should(Equal(1))
		Expect([]int{running(f, "w0"), running(f, "w1")}).To(Equal([]int{0, 1}))
	})

	// Guards against a long-running task that is stopped for a room that short tasks take before it starts there.
	simulatedIt("has room held for a long-running task that moves beside a stream of short ones", func(f *fixture) {
		z := setup(f, 2)
		f.hidden["w1"] = true
		o := f.startOwner()
		long := testJob(1, longRunning(1, 1, 4000))
		f.workers.Behaviour = func(task string, _ int) cluster.Behaviour {
			if task[:16] == string(long.ID) {
				return cluster.Behaviour{Duration: time.Hour}
			}
			return cluster.Behaviour{Duration: 2 * time.Second}
		}
		o.submit(long)
		time.Sleep(3 * time.Second)
		f.mu.Lock()
		delete(f.hidden, "w1")
		f.mu.Unlock()
		f.worker("w0").SetFaults(cluster.WorkerFaults{SlowStops: 800 * time.Millisecond})
		time.Sleep(time.Second)
		z.evacuate("z0")
		time.Sleep(noticeTime)
		for i := range 20 {
			j := testJob(10+i, tasks(8))
			j.Objective = time.Hour
			_ = o.Submit(context.Background(), j)
		}
		time.Sleep(400 * time.Millisecond)
		Expect([]int{running(f, "w0"), running(f, "w1")}).To(Equal([]int{1, 4}))
		Eventually(func() int { return running(f, "w0") }, callTimeout, 10*time.Millisecond).Should(BeZero())
		restarted := func() bool {
			report, err := o.Report(context.Background(), shard.ReportRequest{Job: long.ID})
			Expect(err).NotTo(HaveOccurred())
			return len(report.Jobs[0].Runs) == 1 && report.Jobs[0].Runs[0].Worker == "w1"
		}
		Eventually(restarted, 400*time.Millisecond, 10*time.Millisecond).Should(BeTrue())
	})

	simulatedIt("keeps the tasks that only it can run waiting until it is open again", func(f *fixture) {
		z := setup(f, 2)
		f.worker("w0").Labels = []string{"a", "r1", "only"}
		o := f.startOwner()
		z.evacuate("z0")
		step := tasks(2)
		step.RequiredLabel = "only"
		j := testJob(1, step, job.Step{Count: 1, LongRunning: true, RequiredLabel: "only"})
		f.workers.Behaviour = func(string, int) cluster.Behaviour { return cluster.Behaviour{Duration: 100 * time.Millisecond} }
		o.submit(testJob(2, step))
		o.submit(j)
		time.Sleep(30 * time.Second)
		Expect(f.worker("w0").StartsReceived()).To(BeZero())
		Expect(o.state(testJob(2).ID)).To(Equal(string(job.Pending)))
		z.evacuate()
		Eventually(func() string { return o.state(testJob(2).ID) }, callTimeout).Should(Equal(string(job.Completed)))
		Expect(f.worker("w0").StartsReceived()).To(BeNumerically(">=", 3))
	})

	// Guards against a gang whose started members wait in vain for one whose start was given back.
	simulatedIt("does not leave a gang incomplete of which it has members to start", func(f *fixture) {
		z := setup(f, 3)
		o := f.startOwner()
		f.worker("w0").SetFaults(cluster.WorkerFaults{DelayedStarts: 1000, StartDelay: time.Hour, StartTimeout: 900 * time.Millisecond})
		step := tasks(3)
		step.Gang, step.Need.CPU = true, 4000
		o.submit(testJob(1, step))
		Eventually(f.worker("w0").StartsReceived, callTimeout).Should(Equal(1))
		z.evacuate("z0")
		time.Sleep(10 * time.Second)
		Expect(running(f, "w1") + running(f, "w2")).To(Equal(3))
		Expect(f.worker("w0").StartsReceived()).To(Equal(1))
	})

	simulatedIt("is no capacity for admission", func(f *fixture) {
		z := setup(f, 2)
		o := f.startOwner()
		z.evacuate("z0")
		time.Sleep(time.Second)
		next := 0
		accepted := func() (n int) {
			for {
				next++
				step := tasks(8)
				step.Estimate = time.Second
				if o.Submit(context.Background(), testJob(next, step)) != nil {
					return n
				}
				n++
				Expect(n).To(BeNumerically("<", 500))
			}
		}
		before := accepted()
		Expect(before).To(BeNumerically(">", 0))
		Expect(accepted()).To(BeZero())
		z.evacuate()
		time.Sleep(noticeTime)
		Expect(accepted()).To(BeNumerically(">=", before/2))
	})
})
