package placement

import (
	"cmp"
	"math"
	"slices"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/worker"
)

// Room returns how many tasks of a step the worker has free resources for.
func (c *Candidate) Room(s *job.Step) int {
	if c.Reserved {
		return 0
	}
	n := fitting(s.RequiredResources(), c.Free())
	if s.MaxPerWorker > 0 {
		n = min(n, max(0, s.MaxPerWorker-c.StepTasks))
	}
	return n
}

// TotalRoom returns how many tasks of a step the worker has resources for when it is idle.
func (c *Candidate) TotalRoom(s *job.Step) int {
	n := fitting(s.RequiredResources(), c.Capacity)
	if s.MaxPerWorker > 0 {
		n = min(n, s.MaxPerWorker)
	}
	return n
}

// fitting returns how often a need fits into resources.
func fitting(need, free worker.Resources) int {
	n := int64(math.MaxInt32)
	for _, r := range [][2]int64{{need.CPU, free.CPU}, {need.MemMB, free.MemMB}, {need.GPU, free.GPU}} {
		if r[0] > 0 {
			n = min(n, max(0, r[1])/r[0])
		}
	}
	return int(n)
}

// Preferred returns the indices of the workers that may get tasks of a step, whether an advisor allows them or not,
// in the order in which Choose prefers them. Where the tasks must be in one rack and none of them runs yet, that is
// the rack which has room for the most of them, at least cost.
func Preferred(workers []Candidate, r Request, tasks int) []int {
	var order []int
	required := r.Step.RequiredResources()
	for i := range workers {
		if c := &workers[i]; !c.Closed && CanRun(&c.Worker, r.Step) {
			order = append(order, i)
		}
	}
	if r.Step.SameRack && r.Rack == "" {
		r.Rack = roomiestRack(workers, order, r.Step, tasks)
	}
	costs := make(map[int]float64, len(order))
	for _, i := range order {
		costs[i] = workers[i].cost(r, required)
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(costs[a], costs[b]) })
	return order
}

// roomiestRack returns the rack with room for the most of a step's tasks.
func roomiestRack(workers []Candidate, indices []int, s *job.Step, tasks int) string {
	room := map[string]int{}
	best := ""
	for _, i := range indices {
		rack := workers[i].Rack()
		room[rack] = min(tasks, room[rack]+workers[i].Room(s))
	}
	for _, i := range indices {
		if rack := workers[i].Rack(); best == "" || room[rack] > room[best] {
			best = rack
		}
	}
	return best
}
