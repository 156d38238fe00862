package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/placement"
)

// maxConfirmationAge is the part of the bound of an evacuation after which an owner without a confirmation sends no start.
// The rest of the bound covers the transit of the starts that it sent before.
const maxConfirmationAge = 0.6

// evacuated reports whether the worker is in an availability zone under evacuation.
func (s *session) evacuated() bool {
	if s.owner.Evacuations == nil {
		return false
	}
	zones, _ := s.owner.Evacuations()
	return zones[s.AvailabilityZone]
}

// evacuationsConfirmed reports whether the store has confirmed the zones under evacuation so recently that starts may be
// sent.
func (o *Owner) evacuationsConfirmed() bool {
	if o.Evacuations == nil {
		return true
	}
	_, age := o.Evacuations()
	return age < time.Duration(maxConfirmationAge*float64(o.Bounds.Evacuation))
}

// logConfirmation logs when the owner ceases and begins again to start tasks for lack of a confirmation. The caller
// holds mu.
func (o *Owner) logConfirmation(confirmed bool) {
	if confirmed != o.startsWithheld {
		return
	}
	o.startsWithheld = !confirmed
	_, age := o.Evacuations()
	o.Log.WithFields(logrus.Fields{
		"shard": o.Shard, "token": o.Token, "withheld": o.startsWithheld, "age_ms": age.Milliseconds(), "bound_ms": o.Bounds.Evacuation.Milliseconds(),
	}).Info("starts need a confirmation of the evacuated zones")
}

// abandonGang stops the other runs of a gang of which a member may not start in an evacuated zone: members are placed only
// together, so the others would wait for it in vain. The caller holds mu.
func (s *session) abandonGang(r *run) {
	if !r.step.Gang || r.step.LongRunning {
		return
	}
	for other := range r.entry.runs {
		if other != r && other.task.Step == r.task.Step && other.task.Occurrence == r.task.Occurrence {
			other.session.stop(other, "gang is not complete")
		}
	}
}

// evacuateZones gives back the queued starts of workers in evacuated zones, and moves their long-running tasks within the
// limit on unavailable tasks, one of a step after the other, where another worker has room. Short runs end by themselves,
// and gangs of long-running tasks stay: their members can only be placed together. The caller holds mu.
func (o *Owner) evacuateZones() {
	if o.Evacuations == nil {
		return
	}
	o.settleMoves()
	var longRunning []*run
	for _, s := range o.sessions {
		if !s.evacuated() {
			continue
		}
		for _, r := range s.runs {
			switch {
			case r.state == runQueued:
				s.stop(r, "zone is evacuated")
				s.abandonGang(r)
			case r.state == runConfirmed && !r.stopping && r.step.LongRunning && !r.step.Gang && !r.entry.job.FinalState.IsFinal():
				longRunning = append(longRunning, r)
			}
		}
	}
	now := monotonic.Now()
	if len(longRunning) == 0 || !o.ownershipCertain(now) || !o.evacuationsConfirmed() {
		return
	}
	slices.SortFunc(longRunning, func(a, b *run) int { return cmp.Compare(a.task.String(), b.task.String()) })
	p := o.newPlacer(now)
	p.holdMoves()
	for _, r := range longRunning {
		if r.entry.movesTaskOf(r.task) || !r.session.stopAllowed(r) {
			continue
		}
		t := readyTask{r.task, r.step}
		if !p.holdRoom(r.entry, t) {
			continue
		}
		o.Log.WithFields(logrus.Fields{
			"task": r.task.String(), "run": r.number, "worker": r.session.ID, "zone": r.session.AvailabilityZone,
		}).Info("long-running task leaves an evacuated zone")
		if r.entry.moves == nil {
			r.entry.moves = map[job.TaskID]bool{}
		}
		r.entry.moves[r.task] = true
		r.session.stopWithinLimit(r, "zone is evacuated")
	}
}

// movesTaskOf reports whether another task of a step is on its way out of an evacuated zone.
func (e *jobEntry) movesTaskOf(t job.TaskID) bool {
	for other := range e.moves {
		if other.Step == t.Step && other.Occurrence == t.Occurrence {
			return true
		}
	}
	return false
}

// settleMoves ends the moves of tasks that run elsewhere, whose stop was withdrawn, or whose job has ended. The caller
// holds mu.
func (o *Owner) settleMoves() {
	for _, e := range o.active {
		if len(e.moves) == 0 {
			continue
		}
		if e.job.FinalState.IsFinal() {
			e.moves = nil
			continue
		}
		for r := range e.runs {
			if e.moves[r.task] && !r.stopping && (r.state == runConfirmed || r.session.evacuated()) {
				delete(e.moves, r.task)
			}
		}
	}
}

// holdRoom sets free resources of a worker aside for a task, and reports whether one has sufficient resources. The advisor
// is asked about the task only once it waits.
func (p *placer) holdRoom(e *jobEntry, t readyTask) bool {
	rack := p.prepareCandidates(e, t)
	if e.job.Advised {
		for i := range p.candidates {
			p.candidates[i].Allowed = true
		}
	}
	i := placement.Choose(p.candidates, p.request(e, t.step, rack))
	if i < 0 {
		return false
	}
	p.assign(e, i, t.step)
	return true
}

// holdMoves holds resources for the moving tasks that have no run elsewhere. A task that waits for the advisor is placed
// with its job, which must find the resources.
func (p *placer) holdMoves() {
	for _, e := range p.owner.active {
		for t := range e.moves {
			if !e.runsElsewhere(t) && !(e.job.Advised && e.job.Task(t).Active == 0) {
				p.holdRoom(e, readyTask{t, &e.job.Steps[t.Step]})
			}
		}
	}
}

// runsElsewhere reports whether a moving task has a run that does not have to end.
func (e *jobEntry) runsElsewhere(t job.TaskID) bool {
	for r := range e.runs {
		if r.task == t && !r.stopping {
			return true
		}
	}
	return false
}

// placeMoves starts the moving tasks that are ready, before any others, and holds resources for the rest: short tasks
// would take the room that was found for them.
func (p *placer) placeMoves() {
	for _, e := range p.owner.active {
		// An advised job must queue only one request to the advisor for a step in a pass.
		if len(e.moves) == 0 || e.job.Advised {
			continue
		}
		var ready []readyTask
		for t, s := range p.owner.readyTasks(e, p.now) {
			if e.moves[t] {
				ready = append(ready, readyTask{t, s})
			}
		}
		for _, t := range ready {
			p.placeStep(e, []readyTask{t})
		}
	}
	p.holdMoves()
}
