package shard

import (
	"context"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	// ghostLife is how long a worker may carry out an order late.
	ghostLife = 15 * time.Second
)

// handle processes a status. The caller holds mu.
func (s *session) handle(status worker.Status, order worker.HeartbeatCommand, sent, received monotonic.Time) {
	o := s.owner
	if !s.reachable {
		o.Log.WithFields(logrus.Fields{"worker": s.ID, "shard": o.Shard}).Info("worker answers again")
	}
	s.reachable, s.deposed, s.contact = true, false, received
	if s.bornMS != 0 && status.IncarnationStartMS != 0 && status.IncarnationStartMS != s.bornMS {
		s.reborn(status.IncarnationStartMS)
	}
	if status.IncarnationStartMS != 0 {
		s.bornMS = status.IncarnationStartMS
	}
	s.recordClock(status.ClockMS, sent, received)
	if !s.fenced {
		s.fenced = true
		delete(o.uncontacted, s.ID)
		o.recordWorker(s.ID)
		s.leaseEnd = max(s.leaseEnd, o.acquired.Add(o.lease()))
		o.schedule()
	}
	s.acknowledged = max(s.acknowledged, order.Acknowledged)
	sort.Slice(status.Finished, func(i, j int) bool { return status.Finished[i].Sequence < status.Finished[j].Sequence })
	listed := make(map[runKey]bool, len(status.Running))
	for _, e := range status.Finished {
		if e.Sequence > s.seen {
			s.seen = e.Sequence
			s.handleFinishedRun(e, received)
		}
		if t, err := job.ParseTaskID(e.Task); err == nil {
			listed[runKey{t, e.Number}] = true
		}
	}
	for _, r := range status.Running {
		t, err := job.ParseTaskID(r.Task)
		if err != nil {
			o.Log.WithError(err).WithField("worker", s.ID).Warn("worker runs something unknown")
			continue
		}
		listed[runKey{t, r.Number}] = true
		s.handleRunning(runKey{t, r.Number}, r, received)
	}
	if len(status.Finished) < worker.MaxFinishedPerStatus {
		s.dropMissing(listed, sent)
	}
	s.adjustPace()
	if s.seen > s.durable {
		o.requestCommit()
	}
}

// reborn handles a worker that has started again under its ID: it holds nothing.
func (s *session) reborn(bornMS int64) {
	o := s.owner
	o.Log.WithFields(logrus.Fields{"worker": s.ID, "shard": o.Shard, "runs": len(s.runs), "born_ms": bornMS}).Warn("worker was born again")
	for _, r := range s.runs {
		switch {
		case r.state == runConfirmed:
			s.markLost(r, "worker born again")
		case r.state == runUnknown:
			// Its clock starts anew, so the lease in a late start does not protect.
			r.stopAnswered = false
			s.sendStop(r)
		}
		// The answer to a start that is on its way decides about the run.
	}
	s.resetCompletions()
	s.clockKnown, s.clockAt, s.leaseEnd, s.pace = false, 0, 0, fullPace
	for key := range s.ghosts {
		s.stopGhost(key)
	}
}

func (s *session) stopGhost(key runKey) {
	if monotonic.Now().Sub(s.ghosts[key]) > ghostLife {
		delete(s.ghosts, key)
		return
	}
	token := s.token
	s.order(func(ctx context.Context) {
		_, err := s.conn.Stop(ctx, token, key.task.String(), key.number)
		s.owner.mu.Lock()
		defer s.owner.mu.Unlock()
		if err == nil {
			delete(s.ghosts, key)
			return
		}
		time.AfterFunc(retryDelay, func() {
			s.owner.mu.Lock()
			defer s.owner.mu.Unlock()
			if ctx.Err() == nil {
				s.stopGhost(key)
			}
		})
	})
}

// handleRunning processes one row of a status.
func (s *session) handleRunning(key runKey, row worker.Run, now monotonic.Time) {
	o := s.owner
	r := s.runs[key]
	if r == nil {
		r = s.adopt(key, now)
		if r == nil {
			return
		}
	}
	if r.state != runConfirmed {
		r.state = runConfirmed
		r.started = now
	}
	r.percent, r.usage = row.Percent, row.Usage
	if row.Checkpoint != "" {
		o.setCheckpoint(r.entry, r.task, row.Checkpoint)
	}
	if r.entry.live.Final.Final() {
		s.stop(r, "job ended")
	}
}

// adopt takes over a run that an earlier owner has started, or one that was
// carried out late. Runs that must not go on are stopped.
func (s *session) adopt(key runKey, now monotonic.Time) *run {
	o := s.owner
	e := o.jobs[key.task.Job]
	if e == nil || !e.live.Valid(key.task) {
		o.Log.WithFields(logrus.Fields{"worker": s.ID, "task": key.task.String(), "run": key.number}).Warn("stopping a run of an unknown job")
		s.ghosts[key] = now
		s.stopGhost(key)
		return nil
	}
	step := &e.live.Steps[key.task.Step]
	task := e.live.Task(key.task)
	r := &run{
		task: key.task, number: key.number, entry: e, step: step, session: s, state: runConfirmed, placedAt: now, started: now,
		answered: now, pace: fullPace,
	}
	s.attach(r)
	task.LastRun = max(task.LastRun, key.number)
	e.live.Started = true
	if task.Done || task.Active > copiesOf(step) {
		s.stop(r, "not needed any more")
	}
	return r
}

// dropMissing ends runs that a complete status does not list, if it was asked
// for after the last order for them was answered.
func (s *session) dropMissing(listed map[runKey]bool, sent monotonic.Time) {
	for key, r := range s.runs {
		if listed[key] || r.answered == 0 || r.answered > sent {
			continue
		}
		if r.state == runConfirmed || (r.stopping && r.stopAnswered) {
			s.owner.Log.WithFields(logrus.Fields{
				"worker": s.ID, "task": key.task.String(), "run": key.number, "stopped": r.stopAnswered,
			}).Info("run not listed any more")
			s.detach(r)
		}
	}
}
