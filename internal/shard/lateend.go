package shard

import (
	"strings"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/worker"
)

// No copy of a task may start on a worker once the end of the task is acknowledged or the job is
// shown as completed. Both therefore wait while a start command of another run may still take effect.
// A start that was sent has no effect any more once its worker has answered a stop of that run, has
// received a higher fencing token, or has passed the end of the lease in the command on its own clock.

// startMayTakeEffect reports whether a start command of the run was sent and may begin the run yet.
func (r *run) startMayTakeEffect(now monotonic.Time) bool {
	return (r.state == runStarting || r.state == runUnknown) && !r.session.holds(r.stopAccepted) && now <= r.startExpiry
}

// startPending reports whether a start of the task by this owner, or of a copy by a former owner on a
// worker that has not received this owner's token, may still take effect. The caller holds mu.
func (o *Owner) startPending(t job.TaskID, now monotonic.Time) bool {
	e := o.jobs[t.Job]
	if e == nil || !e.job.Valid(t) {
		// The steps of a job that ended under a former owner are not known, so any may allow copies.
		return o.uncontactedRuns(now).mayInclude(t)
	}
	for r := range e.runs {
		if r.task == t && r.startMayTakeEffect(now) {
			return true
		}
	}
	return e.recovered && e.job.Steps[t.Step].Copyable() && o.uncontactedRuns(now).mayInclude(t)
}

// endPending reports whether startPending holds for any task of a job. The caller holds mu.
func (o *Owner) endPending(e *jobEntry, now monotonic.Time) bool {
	for r := range e.runs {
		if r.startMayTakeEffect(now) {
			return true
		}
	}
	if !e.recovered || !e.copyable {
		return false
	}
	u := o.uncontactedRuns(now)
	for name := range u.tasks {
		if strings.HasPrefix(name, string(e.job.ID)+".") {
			return true
		}
	}
	return u.any
}

// completeJob finishes a job whose tasks are all done, as soon as no start of them is pending. Until
// then its progress is recorded without the final state, so that a successor completes the job. The
// caller holds mu.
func (o *Owner) completeJob(e *jobEntry) {
	if o.endPending(e, monotonic.Now()) {
		if o.completing[e.job.ID] == nil {
			o.Log.WithFields(logrus.Fields{"job": e.job.ID, "shard": o.Shard, "token": o.Token, "runs": len(e.runs)}).Info("completion of the job waits for unanswered starts")
		}
		o.completing[e.job.ID] = e
		return
	}
	o.finishJob(e, job.Completed)
}

// completePendingJobs finishes the completed jobs that wait for no start any more. The caller holds mu.
func (o *Owner) completePendingJobs() {
	now := monotonic.Now()
	for _, e := range o.completing {
		if !o.endPending(e, now) {
			o.finishJob(e, job.Completed)
		}
	}
}

// heldCompletion is a recorded completion that is not acknowledged while a start of its task is pending.
type heldCompletion struct {
	sequence int64
	task     job.TaskID
}

// hold keeps a completion from being acknowledged while a start of its task is pending. The caller
// holds mu.
func (s *session) hold(finished worker.FinishedRun, t job.TaskID) {
	s.owner.Log.WithFields(logrus.Fields{
		"worker": s.ID, "task": finished.Task, "run": finished.Number, "sequence": finished.Sequence,
	}).Info("acknowledgement of the completion waits for unanswered starts")
	s.held = append(s.held, heldCompletion{finished.Sequence, t})
}

// lastAcknowledgeable returns the sequence number of the last completion that may be acknowledged. The
// caller holds mu.
func (s *session) lastAcknowledgeable(now monotonic.Time) int64 {
	for len(s.held) > 0 {
		first := s.held[0]
		if s.owner.startPending(first.task, now) {
			return min(s.durable, first.sequence-1)
		}
		s.held = s.held[1:]
	}
	return s.durable
}
