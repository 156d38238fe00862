package placement

import (
	"time"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/worker"
)

// Shortage says why no worker qualifies for a task of a step.
type Shortage struct {
	// Open is set if there is a worker that gets tasks.
	Open bool
	// Suitable is set if some open worker can run the task when it is idle.
	Suitable bool
	// Room is set if such a worker has fewer tasks of the step than MaxPerWorker, and lacks free
	// resources.
	Room bool
	// Spread is set if such a worker already runs MaxPerWorker tasks of the step.
	Spread bool
}

// FindShortage returns why Choose found no worker for the step. It marks the workers that the task would take
// if they had sufficient free resources as contended.
func FindShortage(workers []Candidate, s *job.Step) Shortage {
	var shortage Shortage
	for i := range workers {
		c := &workers[i]
		if c.Closed {
			continue
		}
		shortage.Open = true
		if !c.Allowed || !CanRun(&c.Worker, s) {
			continue
		}
		shortage.Suitable = true
		if c.full(s) {
			shortage.Spread = true
			continue
		}
		shortage.Room = true
		c.Contended = true
	}
	return shortage
}

// Unplaceable holds the needs for which no worker qualified in one scheduling pass. Free resources only
// decrease during a pass, so tasks that need at least as much are not looked at again.
type Unplaceable struct{ needs []unplaceableNeed }

type unplaceableNeed struct {
	required worker.Resources
	label    string
	expected time.Duration
}

// Add adds the need of a step. The step must have no restrictions other than its resources and its label. expected is
// the expected duration of its tasks where workers have a Reservation, beside which shorter tasks may still be placed,
// and 0 elsewhere.
func (u *Unplaceable) Add(s *job.Step, expected time.Duration) {
	u.needs = append(u.needs, unplaceableNeed{s.RequiredResources(), s.RequiredLabel, expected})
}

// Covers reports whether no worker qualifies for the step because none did for a smaller need of tasks that are not
// longer.
func (u *Unplaceable) Covers(s *job.Step, expected time.Duration) bool {
	required := s.RequiredResources()
	for i := range u.needs {
		n := &u.needs[i]
		if n.expected <= expected && n.required.Fits(required) && (n.label == "" || n.label == s.RequiredLabel) {
			return true
		}
	}
	return false
}
