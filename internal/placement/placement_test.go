package placement_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/placement"
	"samphirestile.example/samphirestile/internal/worker"
)

var _ = Describe("the placement of tasks", func() {
	pool := func(n int) []placement.Candidate {
		var workers []placement.Candidate
		for i := range n {
			workers = append(workers, placement.Candidate{Allowed: true, Worker: worker.Worker{
				ID: worker.ID(fmt.Sprint(i)), Capacity: worker.Resources{CPU: 8000, MemMB: 8000}, Labels: []string{"a", fmt.Sprintf("r%d", i/2)},
			}})
		}
		return workers
	}
	step := &job.Step{Need: worker.Resources{CPU: 1000, MemMB: 1000}}
	// fill places n tasks and returns the number on each worker.
	fill := func(workers []placement.Candidate, s *job.Step, n int) []int {
		counts := make([]int, len(workers))
		for range n {
			i := placement.Choose(workers, placement.Request{Step: s})
			if i < 0 {
				break
			}
			counts[i]++
			workers[i].Used = workers[i].Used.Plus(s.RequiredResources())
			workers[i].StepTasks++
			if s.LongRunning {
				workers[i].LongRunning++
			}
		}
		return counts
	}
	It("spreads a wide step over the pool", func() {
		Expect(fill(pool(4), step, 12)).To(Equal([]int{3, 3, 3, 3}))
	})
	// Guards against small tasks that leave a gap on each worker, so that a large task finds room on none of them.
	It("packs short tasks if told to, so that a task that needs a whole worker finds one", func() {
		large := &job.Step{Need: worker.Resources{CPU: 8000, MemMB: 1000}}
		spread, packed := pool(4), pool(4)
		fill(spread, step, 4)
		for range 4 {
			i := placement.Choose(packed, placement.Request{Step: step, Pack: true})
			packed[i].Used = packed[i].Used.Plus(step.Need)
		}
		Expect(placement.Choose(spread, placement.Request{Step: large, Pack: true})).To(Equal(-1))
		Expect(placement.Choose(packed, placement.Request{Step: large, Pack: true})).To(BeNumerically(">", 0))
	})
	It("keeps short tasks off workers that go down soon while others have room, if told to pack", func() {
		workers := pool(2)
		workers[0].MaintenanceDue, workers[0].Used = true, worker.Resources{CPU: 4000}
		Expect(placement.Choose(workers, placement.Request{Step: step, Pack: true})).To(Equal(1))
		workers[1].Used = workers[1].Capacity
		Expect(placement.Choose(workers, placement.Request{Step: step, Pack: true})).To(Equal(0))
	})
	It("packs long-running tasks, so that other hosts can leave the pool", func() {
		longRunning := &job.Step{Need: worker.Resources{CPU: 1000, MemMB: 1000}, LongRunning: true}
		Expect(fill(pool(4), longRunning, 6)).To(Equal([]int{6, 0, 0, 0}))
		limited := &job.Step{Need: longRunning.Need, LongRunning: true, MaxPerWorker: 2}
		Expect(fill(pool(4), limited, 6)).To(Equal([]int{2, 2, 2, 0}))
	})
	It("keeps long-running tasks off workers that go down soon", func() {
		workers := pool(2)
		workers[0].MaintenanceDue, workers[0].LongRunning = true, 1
		Expect(placement.Choose(workers, placement.Request{Step: &job.Step{LongRunning: true}})).To(Equal(1))
	})
	It("never violates capacity, label or limit per worker", func() {
		workers := pool(2)
		Expect(placement.Choose(workers, placement.Request{Step: &job.Step{Need: worker.Resources{CPU: 9000}}})).To(Equal(-1))
		Expect(placement.Choose(workers, placement.Request{Step: &job.Step{RequiredLabel: "b"}})).To(Equal(-1))
		Expect(fill(workers, &job.Step{Need: step.Need, MaxPerWorker: 1}, 5)).To(Equal([]int{1, 1}))
	})
	It("ignores the CPU requirement of best-effort tasks", func() {
		workers := pool(1)
		workers[0].Used = worker.Resources{CPU: 8000}
		Expect(placement.Choose(workers, placement.Request{Step: &job.Step{Need: worker.Resources{CPU: 4000, MemMB: 10}, BestEffort: true}})).To(Equal(0))
	})
	It("prefers workers near the data, without recent failures and without tasks that interfere", func() {
		workers := pool(4)
		Expect(placement.Choose(workers, placement.Request{Step: &job.Step{DataRack: "r1"}})).To(Equal(2))
		workers[0].FailureScore = 0.5
		Expect(placement.Choose(workers, placement.Request{Step: step})).To(Equal(1))
		workers[1].Serving = 1
		Expect(placement.Choose(workers, placement.Request{Step: &job.Step{BestEffort: true}})).To(Equal(2))
	})
	It("reserves the least used worker for a long-running task that could not be placed", func() {
		workers := pool(2)
		workers[0].Used, workers[1].Used = worker.Resources{CPU: 7500}, worker.Resources{CPU: 7000}
		Expect(placement.Reserve(workers, &job.Step{Need: worker.Resources{CPU: 2000}})).To(BeTrue())
		Expect([]bool{workers[0].Reserved, workers[1].Reserved}).To(Equal([]bool{false, true}))
	})
	// Guards against a pool in which long-running tasks without a worker keep all workers from other tasks.
	It("reserves at most half of the workers", func() {
		workers := pool(5)
		for i := range workers {
			workers[i].Used = worker.Resources{CPU: 7500}
		}
		reservations := 0
		for range 5 {
			if placement.Reserve(workers, &job.Step{Need: worker.Resources{CPU: 2000}}) {
				reservations++
			}
		}
		Expect(reservations).To(Equal(2))
	})
	// Guards against workers that are kept free in vain, for as long as their long-running tasks run.
	It("reserves no worker that cannot take the task beside its long-running tasks", func() {
		workers := pool(4)
		for i := range workers {
			workers[i].Used, workers[i].LongRunningUse = worker.Resources{CPU: 3000}, worker.Resources{CPU: 3000}
		}
		large := &job.Step{Need: worker.Resources{CPU: 6000}, LongRunning: true}
		Expect(placement.Reserve(workers, large)).To(BeFalse())
		workers[2].LongRunningUse = worker.Resources{CPU: 2000}
		Expect(placement.Reserve(workers, large)).To(BeTrue())
		spread := &job.Step{Need: worker.Resources{CPU: 1000}, LongRunning: true, MaxPerWorker: 1}
		for i := range workers {
			workers[i].Reserved, workers[i].StepTasks = false, 1
		}
		Expect(placement.Reserve(workers, spread)).To(BeFalse())
	})
	It("says what a task without a worker lacks, and marks the workers that it waits for", func() {
		workers := pool(3)
		workers[0].Closed = true
		workers[1].StepTasks = 1
		workers[2].Used = worker.Resources{CPU: 8000}
		spread := &job.Step{Need: worker.Resources{CPU: 1000}, MaxPerWorker: 1}
		Expect(placement.FindShortage(workers, spread)).To(Equal(placement.Shortage{Open: true, Suitable: true, Room: true, Spread: true}))
		Expect([]bool{workers[0].Contended, workers[1].Contended, workers[2].Contended}).To(Equal([]bool{false, false, true}))
		Expect(placement.FindShortage(workers, &job.Step{RequiredLabel: "b"})).To(Equal(placement.Shortage{Open: true}))
		Expect(placement.FindShortage(workers[:1], spread)).To(Equal(placement.Shortage{}))
	})
	It("does not look again for a task that needs at least as much as one without a worker", func() {
		var u placement.Unplaceable
		u.Add(&job.Step{Need: worker.Resources{CPU: 2000, MemMB: 1000}}, 0)
		u.Add(&job.Step{Need: worker.Resources{CPU: 100}, RequiredLabel: "b"}, 0)
		for _, s := range []job.Step{
			{Need: worker.Resources{CPU: 2000, MemMB: 1000}}, {Need: worker.Resources{CPU: 3000, MemMB: 1000}, RequiredLabel: "a"},
			{Need: worker.Resources{CPU: 200}, RequiredLabel: "b"},
		} {
			Expect(u.Covers(&s, 0)).To(BeTrue(), "%+v", s)
		}
		for _, s := range []job.Step{
			{Need: worker.Resources{CPU: 1999, MemMB: 1000}}, {Need: worker.Resources{CPU: 200}}, {Need: worker.Resources{CPU: 200}, RequiredLabel: "a"},
			{Need: worker.Resources{CPU: 3000, MemMB: 1000}, BestEffort: true},
		} {
			Expect(u.Covers(&s, 0)).To(BeFalse(), "%+v", s)
		}
	})
})
