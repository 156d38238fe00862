package placement_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/placement"
	"samphirestile.example/samphirestile/internal/worker"
)

var _ = Describe("the choice of a worker", func() {
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
	// fill places n tasks and returns how many are on each worker.
	fill := func(workers []placement.Candidate, s *job.Step, n int) []int {
		counts := make([]int, len(workers))
		for range n {
			i := placement.Choose(workers, placement.Request{Step: s})
			if i < 0 {
				break
			}
			counts[i]++
			workers[i].Used = workers[i].Used.Plus(s.RequiredResources())
			workers[i].OfStep++
			if s.LongRunning {
				workers[i].Lasting++
			}
		}
		return counts
	}
	It("spreads a wide step over the pool", func() {
		Expect(fill(pool(4), step, 12)).To(Equal([]int{3, 3, 3, 3}))
	})
	It("gathers lasting tasks, so that other hosts can leave the pool", func() {
		lasting := &job.Step{Need: worker.Resources{CPU: 1000, MemMB: 1000}, LongRunning: true}
		Expect(fill(pool(4), lasting, 6)).To(Equal([]int{6, 0, 0, 0}))
		apart := &job.Step{Need: lasting.Need, LongRunning: true, MaxPerWorker: 2}
		Expect(fill(pool(4), apart, 6)).To(Equal([]int{2, 2, 2, 0}))
	})
	It("keeps lasting tasks off workers that go down soon", func() {
		workers := pool(2)
		workers[0].Due, workers[0].Lasting = true, 1
		Expect(placement.Choose(workers, placement.Request{Step: &job.Step{LongRunning: true}})).To(Equal(1))
	})
	It("never passes room, label or bound", func() {
		workers := pool(2)
		Expect(placement.Choose(workers, placement.Request{Step: &job.Step{Need: worker.Resources{CPU: 9000}}})).To(Equal(-1))
		Expect(placement.Choose(workers, placement.Request{Step: &job.Step{RequiredLabel: "b"}})).To(Equal(-1))
		Expect(fill(workers, &job.Step{Need: step.Need, MaxPerWorker: 1}, 5)).To(Equal([]int{1, 1}))
	})
	It("does not count the processor need of tasks that fill", func() {
		workers := pool(1)
		workers[0].Used = worker.Resources{CPU: 8000}
		Expect(placement.Choose(workers, placement.Request{Step: &job.Step{Need: worker.Resources{CPU: 4000, MemMB: 10}, BestEffort: true}})).To(Equal(0))
	})
	It("keeps near the data and away from suspects and from tasks that would be disturbed", func() {
		workers := pool(4)
		Expect(placement.Choose(workers, placement.Request{Step: &job.Step{DataRack: "r1"}})).To(Equal(2))
		workers[0].Penalty = 0.5
		Expect(placement.Choose(workers, placement.Request{Step: step})).To(Equal(1))
		workers[1].Serving = 1
		Expect(placement.Choose(workers, placement.Request{Step: &job.Step{BestEffort: true}})).To(Equal(2))
	})
	It("keeps the emptiest worker for a lasting task that found no room", func() {
		workers := pool(2)
		workers[0].Used, workers[1].Used = worker.Resources{CPU: 7500}, worker.Resources{CPU: 7000}
		Expect(placement.Reserve(workers, placement.Request{Step: &job.Step{Need: worker.Resources{CPU: 2000}}})).To(Equal(1))
	})
})
