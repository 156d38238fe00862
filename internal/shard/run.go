package shard

import (
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
)

type runState int

const (
	// runQueued is a run whose start command has not been sent.
	runQueued runState = iota
	// runStarting is a run whose start command was sent and has no response yet.
	runStarting
	// runConfirmed is a run that the worker has confirmed.
	runConfirmed
	// runUnknown is a run whose start command got no response; it must be repeated or stopped.
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
	// expected is the expected duration as of when the look-ahead first saw the run, or 0.
	expected time.Duration
	// startInFlight is set while a start command has neither a response nor timed out.
	startInFlight bool
	// startUnanswered is set once a start command got no response: that command may take effect later,
	// whatever became of its repetition.
	startUnanswered bool
	// repeatWaits is since when a start without an answer waits for the status that decides whether it is repeated, or 0.
	repeatWaits monotonic.Time
	// startExpiry is when the lease in the last start command has ended on the worker's clock for certain;
	// the worker refuses the command from then on.
	startExpiry monotonic.Time
	// stopUnlistedAfter is set while a run in state runUnknown may be stopped only if a status that was
	// requested later than this does not list it.
	stopUnlistedAfter monotonic.Time
	// unlistedAt is when a status without the run last led to the decision to stop it.
	unlistedAt monotonic.Time
	// shown is when the worker last showed the run: by the answer to a start, or in a status, of which the time
	// of the request counts.
	shown observation
	// missingSince is when a status first did not list the run although it had been shown or told to stop before, or 0 if
	// it was listed since.
	missingSince monotonic.Time
	// reportedPercent is the share of the task that was active in the last status, in percent.
	reportedPercent int
	// reportedUsage is from the last status: the tail latency in milliseconds for a serving task,
	// and the CPU in use in thousandths of a core for any other task.
	reportedUsage int64
	// commandedPace is the last commanded pace in percent, or unknownPace if the command failed or
	// another owner may have sent one.
	commandedPace int
	// stopping is set once the run must end. Stop commands are sent until one is answered, the run is
	// detached, or the stop is withdrawn.
	stopping bool
	// withinLimit is set while the stop is withdrawn if the limit on unavailable tasks does not allow it
	// any more.
	withinLimit bool
	// withdrawnAt is when a stop that may still take effect was withdrawn, or 0. It is cleared by a status
	// that shows that the run goes on.
	withdrawnAt monotonic.Time
	// stopAccepted is when the worker accepted a stop command. A restarted worker has forgotten the stop.
	stopAccepted observation
	// stopRequested is when the owner decided to stop the run, and stopAttempts counts the stop
	// commands that were sent since.
	stopRequested monotonic.Time
	stopAttempts  int
	// overdueLogged limits logOverdue to one line.
	overdueLogged bool
}

// confirm records that the worker has shown the run. The caller holds mu.
func (r *run) confirm(now monotonic.Time) {
	r.state, r.started = runConfirmed, now
	e := r.entry
	if !e.job.Begun {
		e.job.Begun, e.firstBegin = true, now
	}
	e.lastBegin = now
}

// waitsForStatus reports whether the next status decides if the run is stopped.
func (r *run) waitsForStatus() bool {
	return r.stopUnlistedAfter != 0 && r.state == runUnknown && !r.stopping
}

// stopOverdue reports whether the run is still attached although its stop should have taken effect.
func (r *run) stopOverdue(now monotonic.Time) bool {
	return r.stopping && now.Sub(r.stopRequested) > r.session.owner.Bounds.StopGrace+stopMargin
}

// logOverdue logs once that the worker lists a run whose stop should have taken effect.
func (r *run) logOverdue(now monotonic.Time) {
	if r.overdueLogged || !r.stopOverdue(now) {
		return
	}
	r.overdueLogged = true
	r.session.owner.Log.WithFields(logrus.Fields{
		"worker": r.session.ID, "task": r.task.String(), "run": r.number, "job_state": r.entry.job.FinalState,
		"requested_ms": now.Sub(r.stopRequested).Milliseconds(), "stops_sent": r.stopAttempts, "stop_answered": r.session.holds(r.stopAccepted),
	}).Warn("stopped run is still listed")
}

type runKey struct {
	task   job.TaskID
	number int
}

func (r *run) key() runKey { return runKey{r.task, r.number} }

// attach adds a run to the accounting of the worker, the job and the account.
func (s *session) attach(r *run) {
	o := s.owner
	s.runs[r.key()] = r
	s.endingsAt = 0
	s.used = s.used.Plus(r.step.RequiredResources())
	r.entry.runs[r] = true
	r.entry.job.Task(r.task).Active++
	if a := r.entry.job.Account; a != "" {
		o.usage[a] = o.usage[a].Plus(r.step.Need)
	}
	s.notify()
}

// attached reports whether the run counts as one of the worker.
func (s *session) attached(r *run) bool { return s.runs[r.key()] == r }

// detach reverses attach. A run whose start command may still take effect becomes a late start.
func (s *session) detach(r *run) {
	o := s.owner
	if !s.attached(r) {
		return
	}
	delete(s.runs, r.key())
	s.endingsAt = 0
	s.used = s.used.Minus(r.step.RequiredResources())
	delete(r.entry.runs, r)
	r.entry.noReadyTasks = false
	r.entry.job.Task(r.task).Active--
	if a := r.entry.job.Account; a != "" {
		o.usage[a] = o.usage[a].Minus(r.step.Need)
	}
	if r.startInFlight || r.startUnanswered {
		s.addLateStart(r.key(), monotonic.Now()).inheritStop(r)
	}
	r.entry.releaseIfEnded()
	o.schedule()
}

// markAllLost marks all runs of a worker as lost. They cannot be running any more.
func (s *session) markAllLost(reason string) {
	for _, r := range s.runs {
		s.markLost(r, reason)
	}
}

func (s *session) markLost(r *run, reason string) {
	now := monotonic.Now()
	fields := logrus.Fields{
		"worker": s.ID, "task": r.task.String(), "run": r.number, "reason": reason, "address": s.Address, "incarnation": s.incarnation,
		"lease_left_ms": s.leaseEnd.Sub(now).Milliseconds(),
	}
	if r.shown.made() {
		fields["shown_ms"] = now.Sub(r.shown.at).Milliseconds()
	}
	if s.contact != 0 {
		fields["contact_ms"] = now.Sub(s.contact).Milliseconds()
	}
	s.owner.Log.WithFields(fields).Info("run lost")
	s.owner.countLostRun(reason)
	r.entry.losses++
	s.detach(r)
}
