package shard

import (
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
)

type runState int

const (
	// runStarting is a run whose start is not answered yet.
	runStarting runState = iota
	// runConfirmed is a run that the worker has confirmed.
	runConfirmed
	// runUnknown is a run whose start got no answer; it must be stopped.
	runUnknown
)

type run struct {
	task     job.TaskID
	number   int
	entry    *jobEntry
	step     *job.Step
	session  *session
	state    runState
	placedAt monotonic.Time
	started  monotonic.Time
	// answered is when the last order for the run was answered.
	answered monotonic.Time
	percent  int
	usage    int64
	pace     int
	stopping bool
	// stopAnswered is set once the worker has accepted the stop.
	stopAnswered bool
}

type runKey struct {
	task   job.TaskID
	number int
}

// attach counts a run against the worker, the job and the account.
func (s *session) attach(r *run) {
	o := s.owner
	s.runs[runKey{r.task, r.number}] = r
	s.used = s.used.Plus(r.step.RequiredResources())
	r.entry.runs[r] = true
	r.entry.live.Task(r.task).Active++
	if a := r.entry.live.Account; a != "" {
		o.usage[a] = o.usage[a].Plus(r.step.Need)
	}
	s.poke()
}

// detach is the reverse of attach.
func (s *session) detach(r *run) {
	o := s.owner
	key := runKey{r.task, r.number}
	if s.runs[key] != r {
		return
	}
	delete(s.runs, key)
	s.used = s.used.Minus(r.step.RequiredResources())
	delete(r.entry.runs, r)
	r.entry.noReadyTasks = false
	r.entry.live.Task(r.task).Active--
	if a := r.entry.live.Account; a != "" {
		o.usage[a] = o.usage[a].Minus(r.step.Need)
	}
	o.schedule()
}

// markAllLost ends all runs of a worker that cannot be running any more.
func (s *session) markAllLost(reason string) {
	for key, r := range s.runs {
		if r.state != runConfirmed {
			s.ghosts[key] = monotonic.Now()
		}
		s.markLost(r, reason)
	}
}

func (s *session) markLost(r *run, reason string) {
	s.owner.Log.WithFields(logrus.Fields{"worker": s.ID, "task": r.task.String(), "run": r.number, "reason": reason}).Info("run lost")
	r.entry.losses++
	s.detach(r)
}
