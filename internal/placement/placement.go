// Package placement chooses workers for tasks.
package placement

import (
	"time"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/worker"
)

// Candidate is the state of one worker as observed by the shard's owner.
type Candidate struct {
	worker.Worker
	Used worker.Resources
	// StepTasks is the number of tasks of the same step on the worker.
	StepTasks int
	// LongRunning is the number of long-running tasks on the worker, and LongRunningUse what they use.
	LongRunning    int
	LongRunningUse worker.Resources
	// Serving and BestEffort are the numbers of serving and of best-effort tasks on the worker.
	Serving, BestEffort int
	// FailureScore grows with each failed run and each start that the worker refused as
	// unhealthy, and decays with time.
	FailureScore float64
	// Closed workers get no tasks, for example because they are draining, unreachable or
	// cordoned.
	Closed bool
	// Reserved workers get only the task for which they are reserved.
	Reserved bool
	// Reservation keeps the worker for tasks that start later; other tasks are placed beside it if they do not
	// delay them.
	Reservation Reservation
	// Contended is set if a task waits for free resources on the worker.
	Contended bool
	// MaintenanceDue is set if the worker's host goes down for maintenance soon.
	MaintenanceDue bool
	// Allowed is set if the queue has no advisor or the advisor approves the worker.
	Allowed bool
}

// Free returns the free resources.
func (c *Candidate) Free() worker.Resources { return c.Capacity.Minus(c.Used) }

// Request is one task to be placed.
type Request struct {
	Step *job.Step
	// Rack is the rack of the step's other tasks, if they must be in the same rack.
	Rack string
	// Pack is set if short tasks fill used workers before unused ones.
	Pack bool
	// Expected is the expected duration of the task, or 0 if it is unknown.
	Expected time.Duration
}

// Weights of the cost of a placement. The unit is the full capacity of a worker.
const (
	// remoteCost keeps tasks in the rack of their data unless it is full.
	remoteCost = 4.0
	// interferenceCost keeps best-effort tasks away from serving tasks.
	interferenceCost = 2.0
	// colocationGain packs long-running tasks on few workers, so that the others can leave
	// the pool without moving such a task.
	colocationGain = 1.5
	// maintenanceCost keeps long-running tasks off workers that are due for maintenance.
	maintenanceCost = 3.0
	// shortMaintenanceCost keeps short tasks off workers that are due for maintenance while others have room, so that
	// their hosts can go down without a wait.
	shortMaintenanceCost = 1.0
	// failureCost keeps tasks away from workers with recent failures.
	failureCost = 1.0
)

// CanRun reports whether the worker, when idle, can run tasks of the step.
func CanRun(w *worker.Worker, s *job.Step) bool {
	return (s.RequiredLabel == "" || w.HasLabel(s.RequiredLabel)) && s.RequiredResources().Fits(w.Capacity)
}

// Choose returns the index of the worker for the task, or -1 if no worker qualifies.
//
// Load pattern: pools of similar workers have their demand peaks in turn, beside long-running
// tasks, and a few workers fail or are slow. The least used worker that qualifies is chosen, so
// that wide steps are spread and memory and CPU are used up evenly. With Pack it is the most used one for short tasks:
// what is left free is left on few workers, where large tasks find room and from which hosts are released at once.
func Choose(workers []Candidate, r Request) int {
	best, bestCost := -1, 0.0
	required := r.Step.RequiredResources()
	for i := range workers {
		c := &workers[i]
		if c.Closed || c.Reserved || !c.Allowed || !CanRun(&c.Worker, r.Step) || !required.Fits(c.Free()) {
			continue
		}
		if c.full(r.Step) || !c.backfills(r, required) {
			continue
		}
		cost := c.cost(r, required)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

func (c *Candidate) cost(r Request, required worker.Resources) float64 {
	cost := c.Used.Plus(required).DominantShare(c.Capacity)
	if r.Pack && !r.Step.LongRunning && !r.Step.BestEffort {
		cost = 1 - cost
		if c.MaintenanceDue {
			cost += shortMaintenanceCost
		}
	}
	cost += failureCost * c.FailureScore
	if r.Step.DataRack != "" && c.Rack() != r.Step.DataRack {
		cost += remoteCost
	}
	if r.Step.SameRack && r.Rack != "" && c.Rack() != r.Rack {
		cost += remoteCost
	}
	if r.Step.LongRunning && c.LongRunning > 0 {
		cost -= colocationGain
	}
	if r.Step.LongRunning && c.MaintenanceDue {
		cost += maintenanceCost
	}
	if r.Step.BestEffort {
		cost += interferenceCost * float64(c.Serving)
	}
	if r.Step.TailLatencyTarget > 0 {
		cost += interferenceCost * float64(c.BestEffort)
	}
	return cost
}

// full reports whether the worker already runs as many tasks of the step as it may.
func (c *Candidate) full(s *job.Step) bool {
	return s.MaxPerWorker > 0 && c.StepTasks >= s.MaxPerWorker
}

// maxReservedFraction is the largest fraction of the open workers that is reserved at a time, so that other
// tasks still find workers.
const maxReservedFraction = 0.5

// Reserve reserves a worker for a long-running task that could not be placed, and reports whether there is
// one: the least used worker that has room for the task once all other than long-running tasks have ended.
//
// Load pattern: a stream of short tasks takes all capacity as soon as it is freed, so a large long-running
// task would never find enough of it. A worker whose long-running tasks leave too little room would be
// reserved in vain, for as long as they run.
func Reserve(workers []Candidate, s *job.Step) bool {
	best, open, reserved := -1, 0, 0
	required := s.RequiredResources()
	for i := range workers {
		c := &workers[i]
		if c.Closed {
			continue
		}
		open++
		if c.Reserved || c.Reservation.Held {
			reserved++
			continue
		}
		if !c.Allowed || !CanRun(&c.Worker, s) || c.full(s) || !required.Fits(c.Capacity.Minus(c.LongRunningUse)) {
			continue
		}
		if best < 0 || c.Used.DominantShare(c.Capacity) < workers[best].Used.DominantShare(workers[best].Capacity) {
			best = i
		}
	}
	if best < 0 || reserved+1 > max(1, int(maxReservedFraction*float64(open))) {
		return false
	}
	workers[best].Reserved = true
	return true
}
