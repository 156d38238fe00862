package shard

import (
	"context"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/placement"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	// commandSenders is how many commands other than stops are sent to one worker concurrently. Stops
	// do not use them, because a start without a response occupies a sender for the whole timeout of
	// the call.
	commandSenders = 2
	// startAttempts is how often a start command is sent before the run is abandoned and stopped.
	startAttempts = 2
	// maxRepeatWait is how long a start without an answer waits for a status before its run is stopped instead.
	maxRepeatWait = time.Second
	// capacityBackoff keeps tasks off a worker that has refused one for insufficient capacity.
	capacityBackoff = 400 * time.Millisecond
	// maxMissingContactAge is how recent a response must be to show that a worker missing from the
	// list is alive.
	maxMissingContactAge = 1200 * time.Millisecond
)

// session is the owner's connection to one worker. Its fields are guarded by the owner's mu.
type session struct {
	worker.Worker
	owner *Owner
	conn  *connection
	// dialedAt is when the address last changed, or 0. Answers to earlier calls are from the former
	// address.
	dialedAt monotonic.Time
	// token fences earlier owners at the worker. It increases when the worker is claimed again.
	token uint64
	// unansweredToken is the highest token of a start without an answer.
	unansweredToken uint64
	runs            map[runKey]*run
	used            worker.Resources
	// endings are the expected ends of the runs as of endingsAsOf, computed at endingsAt, or 0 if the runs have changed
	// since.
	endings                []placement.Ending
	endingsAt, endingsAsOf monotonic.Time

	clockKnown bool
	clockMS    int64
	clockAt    monotonic.Time
	// clockSent is when the call was sent whose answer contained the clock.
	clockSent monotonic.Time
	// clockRequested is set while starts wait for a heartbeat that reads the clock, and closed by its outcome.
	clockRequested chan struct{}
	// incarnationStartMS is the Unix time at which the worker's incarnation started; 0 if unknown.
	incarnationStartMS int64
	// fenced is set once the worker has received this owner's token.
	fenced bool
	// lostOwnership is set when the worker has received a higher token.
	lostOwnership bool
	// leaseEnd is the latest time until which runs may continue on the worker.
	leaseEnd monotonic.Time
	// leaseUnanswered is when a command that granted a lease at the current address last stayed without an answer, also one
	// of a former owner, or 0.
	leaseUnanswered monotonic.Time
	// restartKnown is when the last restart of the worker became known, also one since the record of a former owner, or 0.
	restartKnown monotonic.Time
	// processed and durable are the sequence numbers of the last completion processed and of the
	// last one recorded; acknowledged is the last one whose acknowledgement the worker confirmed.
	processed, durable, acknowledged int64
	// held are the processed completions whose acknowledgement may have to wait, in order.
	held []heldCompletion
	// incarnation counts the worker incarnations that these numbers belong to. incarnationKnown is
	// cleared by a heartbeat or a start without a response: the worker may have restarted since.
	incarnation      int
	incarnationKnown bool
	// startsInFlight counts the start commands that have neither an answer nor timed out.
	startsInFlight int
	// startsResumed is set while starts wait for an acknowledgement, and closed when they may go on.
	startsResumed chan struct{}
	// restarted is set if the last status was the first one of an incarnation. The next one is requested at
	// once, as the first one does not show the runs that were accepted after its request.
	restarted bool
	reachable bool
	// statusSent is when the heartbeat was sent whose status was handled last. Statuses of earlier heartbeats are ignored.
	statusSent monotonic.Time
	// contact is when the worker last responded to a heartbeat.
	contact monotonic.Time
	listed  bool
	// restartListed is when the worker's entry named another incarnation than the last status, or 0 once a later
	// heartbeat was answered.
	restartListed monotonic.Time
	closedUntil   monotonic.Time
	cordonUntil   monotonic.Time
	// emptied is set from when the worker was reported empty until it answers a heartbeat that was sent after
	// the cordon. Its host may have been taken away, and the list names the worker for some seconds more.
	emptied            bool
	storedFailureScore float64
	failureScoreAt     monotonic.Time
	// pace is the pace of the best-effort tasks on the worker, in percent.
	pace int
	// lateStarts are the runs on the worker that are not in runs and may still start or go on.
	lateStarts map[runKey]*lateStart

	// stops holds the stops without an answer, commands all other commands to send. stopWake wakes
	// sendStops.
	stops    stopQueue
	stopWake chan struct{}
	commands *commandQueue
	wake     chan struct{}
	cancel   context.CancelFunc
}

// syncSessions opens and closes sessions to match the list of workers.
func (o *Owner) syncSessions(ctx context.Context) {
	listed := o.Workers()
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, w := range o.uncontacted {
		if name, _ := o.workerClaim(id); name != "" && name != o.Shard {
			// Only empty workers are transferred to another partition.
			delete(o.uncontacted, id)
			continue
		}
		// A worker on which an earlier owner may have runs is contacted even if it is not listed.
		if _, ok := listed[id]; !ok && o.sessions[id] == nil {
			o.openSession(ctx, worker.Worker{ID: id, Address: w.Address, Service: o.Service}, false)
		}
	}
	for id, w := range listed {
		s := o.sessions[id]
		if s == nil {
			if !o.isGone(w) {
				o.openSession(ctx, w, true)
			}
			continue
		}
		if w.Draining && !s.Draining {
			o.Log.WithFields(logrus.Fields{"worker": id, "shard": o.Shard, "runs": len(s.runs)}).Info("worker drains")
		}
		if w.Missing && !s.Missing {
			s.notify()
		}
		if w.StartMS != s.StartMS && s.isNewIncarnation(w) {
			// The restarted worker has forgotten the fencing token, so it accepts commands of former owners.
			s.restartListed = monotonic.Now()
			s.notify()
		}
		if w.Address != s.Address {
			s.redial(w)
		}
		if s.emptied && monotonic.Now() >= s.cordonUntil {
			s.notify()
		}
		s.Worker, s.listed = w, true
		s.raiseToken()
	}
	maps.DeleteFunc(o.goneWorkers, func(id worker.ID, _ goneWorker) bool { _, ok := listed[id]; return !ok })
	for id, s := range o.sessions {
		if _, ok := listed[id]; !ok {
			s.listed = false
			if _, uncontacted := o.uncontacted[id]; len(s.runs) == 0 && !s.hasLateStarts() && !uncontacted {
				o.closeSession(s)
			}
		}
		if s.Draining {
			s.evacuate()
		}
	}
	o.evacuateZones()
}

func (o *Owner) openSession(ctx context.Context, w worker.Worker, listed bool) {
	ctx, cancel := context.WithCancel(ctx)
	s := &session{
		Worker: w, owner: o, conn: &connection{}, runs: map[runKey]*run{}, listed: listed, reachable: true,
		lateStarts: o.takeLateStarts(w.ID), pace: fullPace,
		commands: newCommandQueue(), stops: newStopQueue(),
		stopWake: make(chan struct{}, 1), wake: make(chan struct{}, 1), cancel: cancel,
	}
	s.conn.redial(o.Dialer.Dial(w))
	s.raiseToken()
	o.sessions[w.ID] = s
	s.requestRecord()
	o.group.Go(func() { s.heartbeatLoop(ctx) })
	o.group.Go(func() { s.sendStops(ctx) })
	for range commandSenders {
		o.group.Go(func() { s.commands.send(ctx) })
	}
}

// raiseToken raises the token above those of all former owners of the worker. A claim made under a
// successor of this owner would make its commands valid, so claims are used only while the
// ownership is certain.
func (s *session) raiseToken() {
	s.token = max(s.token, s.owner.Token)
	if !s.owner.ownershipCertain(monotonic.Now()) {
		return
	}
	if name, revision := s.owner.workerClaim(s.ID); name == s.owner.Shard {
		s.token = max(s.token, revision)
	}
}

func (o *Owner) workerClaim(id worker.ID) (shard string, revision uint64) {
	if o.Claim == nil {
		return "", 0
	}
	return o.Claim(id)
}

// redial continues the session at the worker's new address. The worker may have restarted, so nothing
// that is known of its incarnation is used before it has answered there. The caller holds mu.
func (s *session) redial(w worker.Worker) {
	s.owner.Log.WithFields(logrus.Fields{
		"worker": s.ID, "shard": s.owner.Shard, "from": s.Address, "to": w.Address, "runs": len(s.runs),
	}).Info("worker has another address")
	s.conn.redial(s.owner.Dialer.Dial(w))
	s.Worker, s.dialedAt = w, monotonic.Now()
	s.reachable, s.incarnationKnown, s.clockKnown = false, false, false
	s.leaseUnanswered = 0
	s.resetCompletions()
	s.notify()
}

// answeredAtAddress reports whether the worker has answered a heartbeat since its address last changed.
func (s *session) answeredAtAddress() bool { return s.dialedAt == 0 || s.contact > s.dialedAt }

// requestRecord requests the write of the record that a worker needs before it gets runs.
func (s *session) requestRecord() {
	if !s.recorded() {
		s.owner.urgent = true
		s.owner.requestCommit()
	}
}

// addressToRecord returns the address at which a successor finds the worker.
func (s *session) addressToRecord() string {
	if former, ok := s.owner.recordedWorkers[s.ID]; ok && !s.answeredAtAddress() {
		return former.Address
	}
	return s.Address
}

// recorded reports whether the stored record names the worker with its address. At a former address a
// successor could find another worker, and take the runs of this one as ended.
func (s *session) recorded() bool {
	w, ok := s.owner.recordedWorkers[s.ID]
	return ok && w.Address == s.Address
}

// closeSession removes a worker. The caller holds mu and has ended its runs.
func (o *Owner) closeSession(s *session) {
	s.cancel()
	s.conn.Close()
	delete(o.uncontacted, s.ID)
	o.keepLateStarts(s)
	if o.sessions[s.ID] == s {
		delete(o.sessions, s.ID)
	}
	o.schedule()
}

func (s *session) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// usable reports whether the worker may get new runs.
func (s *session) usable() bool {
	now := monotonic.Now()
	if s.Missing && now.Sub(s.contact) > maxMissingContactAge {
		return false
	}
	return s.listed && !s.Draining && s.reachable && s.fenced && !s.lostOwnership && s.recorded() && now >= s.closedUntil && now >= s.cordonUntil && !s.emptied && !s.evacuated()
}
