// Package placement chooses workers for tasks.
package placement

import (
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/worker"
)

// Candidate is one worker as the shard's owner sees it.
type Candidate struct {
	worker.Worker
	Used worker.Resources
	// OfStep is how many tasks of the step are there already.
	OfStep int
	// Lasting counts the tasks that last there.
	Lasting int
	// Serving and Fillers count the tasks that serve and the tasks that fill there.
	Serving, Fillers int
	// Penalty counts recent failures and slow runs; see Suspicion.
	Penalty float64
	// Closed workers take nothing: draining, unreachable, or due for upkeep.
	Closed bool
	// Reserved workers take only the task for which they are kept.
	Reserved bool
	// Due workers go down for their upkeep soon.
	Due bool
	// Allowed is set by the advisor where the queue has one.
	Allowed bool
}

// Free returns the room that is left.
func (c *Candidate) Free() worker.Resources { return c.Capacity.Minus(c.Used) }

// Request is one task to be placed.
type Request struct {
	Step *job.Step
	// Rack is where the other tasks of the step run, if they belong together.
	Rack string
}

// Weights of a worker's cost; the unit is the whole room of a worker.
const (
	// remoteCost keeps tasks near their data unless the rack is full.
	remoteCost = 4.0
	// disturbCost keeps tasks that fill away from tasks that serve.
	disturbCost = 2.0
	// gatherGain brings lasting tasks together on few workers, so that the others
	// can leave the pool without moving one.
	gatherGain = 1.5
	// dueCost keeps lasting tasks off workers from which they would soon be moved.
	dueCost = 3.0
	// suspicionCost moves tasks away from workers with recent failures.
	suspicionCost = 1.0
)

// Suits reports whether the worker may ever run the step.
func Suits(w *worker.Worker, s *job.Step) bool {
	return (s.RequiredLabel == "" || w.HasLabel(s.RequiredLabel)) && s.RequiredResources().Fits(w.Capacity)
}

// Choose returns the index of the worker for the task, or -1.
//
// Load pattern: pools of like workers that fill up in turns, a few of them
// failing or slow, beside tasks that last. The emptiest suitable worker is
// taken, so that wide steps spread and memory and processors run out together.
func Choose(workers []Candidate, r Request) int {
	best, bestCost := -1, 0.0
	room := r.Step.RequiredResources()
	for i := range workers {
		c := &workers[i]
		if c.Closed || c.Reserved || !c.Allowed || !Suits(&c.Worker, r.Step) || !room.Fits(c.Free()) {
			continue
		}
		if r.Step.MaxPerWorker > 0 && c.OfStep >= r.Step.MaxPerWorker {
			continue
		}
		cost := c.cost(r, room)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

func (c *Candidate) cost(r Request, room worker.Resources) float64 {
	cost := c.Used.Plus(room).DominantShare(c.Capacity) + suspicionCost*c.Penalty
	if r.Step.DataRack != "" && c.Rack() != r.Step.DataRack {
		cost += remoteCost
	}
	if r.Step.SameRack && r.Rack != "" && c.Rack() != r.Rack {
		cost += remoteCost
	}
	if r.Step.LongRunning && c.Lasting > 0 {
		cost -= gatherGain
	}
	if r.Step.LongRunning && c.Due {
		cost += dueCost
	}
	if r.Step.BestEffort {
		cost += disturbCost * float64(c.Serving)
	}
	if r.Step.TailLatencyTarget > 0 {
		cost += disturbCost * float64(c.Fillers)
	}
	return cost
}

// Reserve returns the worker that is kept free for a lasting task that found no
// room, or -1: the emptiest one that may run it.
//
// Load pattern: a stream of short tasks takes each piece of room as it comes
// free, and a large lasting task would never find enough of it.
func Reserve(workers []Candidate, r Request) int {
	best := -1
	for i := range workers {
		c := &workers[i]
		if c.Closed || c.Reserved || !c.Allowed || !Suits(&c.Worker, r.Step) {
			continue
		}
		if r.Step.MaxPerWorker > 0 && c.OfStep >= r.Step.MaxPerWorker {
			continue
		}
		if best < 0 || c.Used.DominantShare(c.Capacity) < workers[best].Used.DominantShare(workers[best].Capacity) {
			best = i
		}
	}
	return best
}
