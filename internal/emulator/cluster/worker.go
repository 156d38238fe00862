package cluster

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/worker"
)

// maxLease is the longest lease that a worker keeps; it shortens longer ones.
const maxLease = 10 * time.Second

// Behaviour determines the duration and result of an emulated run.
type Behaviour struct {
	Duration time.Duration
	Fails    bool
}

// WorkerFaults are the injected faults of one worker.
type WorkerFaults struct {
	// Unreachable refuses all connections.
	Unreachable bool
	// Unresponsive drops all calls, without a response or effect.
	Unresponsive bool
	// SlowHeartbeats delays each response to a heartbeat.
	SlowHeartbeats time.Duration
	// SlowStops keeps a run going, and listed, for this long after the command to stop it.
	SlowStops time.Duration
	// HiddenStops lists a run no longer as running once it was told to stop. Its end is listed as usual.
	HiddenStops bool
	// IgnoredStops is the number of further stops that are answered without effect.
	IgnoredStops int
	// LoseStartReplies is the number of further starts that take effect without a response.
	LoseStartReplies int
	// DelayedStarts is the number of further starts that take effect only after
	// StartDelay and without a response.
	DelayedStarts int
	StartDelay    time.Duration
	// StartTimeout is how long the caller of a delayed start waits for the response.
	StartTimeout time.Duration
	// LeaseFromArrival lets a delayed start grant its lease from the time at which it takes effect.
	LeaseFromArrival bool
	// LoseStopReplies is the number of further stops that take effect without a response.
	LoseStopReplies int
	// DelayedStops is the number of further stops that take effect only after StopDelay and
	// without a response.
	DelayedStops int
	StopDelay    time.Duration
	// LoseHeartbeatReplies is the number of further heartbeats that take effect without a response.
	LoseHeartbeatReplies int
}

// Event is a recorded change of a task run on a worker.
type Event struct {
	At     time.Time
	Kind   EventKind
	Worker worker.ID
	Task   string
	Number int
	Token  uint64
	// Incarnation counts the restarts of the worker; a restart loses all state.
	Incarnation int
	// Late is set for a start that took effect after StartDelay.
	Late bool
	// Outlived is set for a late start under WorkerFaults.LeaseFromArrival: its run may go on
	// after the lease that its owner granted.
	Outlived bool
	// Expired is set for an outlived start that took effect after the lease in its command had ended. The
	// protocol rules it out: a worker refuses such a start.
	Expired bool
	// LeaseEnd is the end of the lease under which a run completed its task.
	LeaseEnd time.Time
}

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	Started      EventKind = "started"
	Finished     EventKind = "ended"
	Acknowledged EventKind = "acknowledged"
	// Unapproved is a start that was refused because it had no valid approval.
	Unapproved EventKind = "unticketed"
)

// History collects the events of all workers.
type History struct {
	// Record is called with each event, in their order and before the call that caused it is answered; it may be nil.
	Record func(Event)

	mu     sync.Mutex
	events []Event
}

func (h *History) add(e Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.At = time.Now()
	h.events = append(h.events, e)
	if h.Record != nil {
		h.Record(e)
	}
}

// Events returns a copy of the events recorded so far.
func (h *History) Events() []Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Event(nil), h.events...)
}

// Starts counts the starts of a task.
func (h *History) Starts(task string) int { return h.count(Started, task) }

// Completions counts the runs that completed a task.
func (h *History) Completions(task string) int { return h.count(Completed, task) }

func (h *History) count(kind EventKind, task string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, e := range h.events {
		if e.Kind == kind && e.Task == task {
			n++
		}
	}
	return n
}

// Worker emulates one worker.
type Worker struct {
	worker.Worker
	history   *History
	behaviour func(cmd worker.StartCommand) Behaviour
	// clockStart returns the beginning of the incarnation's clock.
	clockStart func() time.Duration
	// clockRate returns the rate of the incarnation's clock.
	clockRate func() float64
	// admits checks the approval of a start.
	admits func(cmd worker.StartCommand, incarnation int) bool

	mu          sync.Mutex
	faults      WorkerFaults
	started     time.Time
	incarnation int
	token       uint64
	leaseEnd    int64
	leaseTimer  *time.Timer
	runs        map[emulatedKey]*emulatedRun
	// highest is the highest number of a run of each task that was stopped or has ended.
	highest  map[string]int
	finished []worker.FinishedRun
	sequence int64
	received int
	changed  chan struct{}
}

type emulatedKey struct {
	task   string
	number int
}

type emulatedRun struct {
	timer    *time.Timer
	stopping bool
	// leaseEnd is the end of a lease that holds for this run only, in milliseconds, or 0.
	leaseEnd int64
}

// Workers emulates the workers of a pool and implements worker.Dialer.
type Workers struct {
	History History
	// Behaviour chooses the duration and result of each run; it must not be nil unless SpecBehaviour is set.
	Behaviour func(task string, number int) Behaviour
	// SpecBehaviour chooses them by the spec of the job instead; nil means that Behaviour does.
	SpecBehaviour func(spec string) Behaviour
	// NeedsApproval reports whether a task needs an approval of Advisor; nil means never.
	NeedsApproval func(task string) bool
	Advisor       *Advisor
	// ClockStart returns the beginning of the clock of an incarnation, at least a millisecond, which is the default. It must
	// not change while calls are made.
	ClockStart func(id worker.ID, incarnation int) time.Duration
	// ClockRate returns how fast the clock of an incarnation runs, between MinClockRate and 1, which is the default. It must
	// not change while calls are made.
	ClockRate func(id worker.ID, incarnation int) float64
	// ListsStarts adds the starts of the incarnations to the list.
	ListsStarts bool

	mu   sync.Mutex
	byID map[worker.ID]*Worker
}

var _ worker.Dialer = (*Workers)(nil)

// Add creates a worker.
func (w *Workers) Add(description worker.Worker) *Worker {
	return w.AddIncarnation(description, 0, time.Now())
}

// AddIncarnation creates a worker whose process was started before, at other times.
func (w *Workers) AddIncarnation(description worker.Worker, incarnation int, start time.Time) *Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byID == nil {
		w.byID = map[worker.ID]*Worker{}
	}
	n := &Worker{
		Worker: description, history: &w.History, behaviour: w.behaviour,
		runs: map[emulatedKey]*emulatedRun{}, highest: map[string]int{}, started: start, incarnation: incarnation, changed: make(chan struct{}),
	}
	n.clockStart = func() time.Duration {
		if w.ClockStart == nil {
			return time.Millisecond
		}
		return w.ClockStart(n.ID, n.incarnation)
	}
	n.clockRate = func() float64 {
		if w.ClockRate == nil {
			return 1
		}
		return w.ClockRate(n.ID, n.incarnation)
	}
	n.admits = func(cmd worker.StartCommand, incarnation int) bool {
		return w.NeedsApproval == nil || !w.NeedsApproval(cmd.Task) || w.Advisor.approves(cmd.Approval, cmd.Task, n.ID, incarnation)
	}
	w.byID[description.ID] = n
	return n
}

func (w *Workers) behaviour(cmd worker.StartCommand) Behaviour {
	if w.SpecBehaviour != nil {
		return w.SpecBehaviour(cmd.Spec)
	}
	return w.Behaviour(cmd.Task, cmd.Number)
}

// Remove removes a worker and ends its runs; it becomes unreachable.
func (w *Workers) Remove(id worker.ID) {
	w.mu.Lock()
	n := w.byID[id]
	delete(w.byID, id)
	w.mu.Unlock()
	if n != nil {
		n.Crash()
	}
}

// SetAddress changes the listed address of a worker, which goes on.
func (w *Workers) SetAddress(id worker.ID, address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[id].Address = address
}

// Drain lists a worker as draining; it goes on.
func (w *Workers) Drain(id worker.ID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[id].Draining = true
}

// List returns the descriptions of all workers by ID.
func (w *Workers) List() map[worker.ID]worker.Worker {
	w.mu.Lock()
	out, all := map[worker.ID]worker.Worker{}, maps.Clone(w.byID)
	for id, n := range all {
		out[id] = n.Worker
	}
	w.mu.Unlock()
	if !w.ListsStarts {
		return out
	}
	for id, n := range all {
		listed := out[id]
		listed.StartMS = n.startMS()
		out[id] = listed
	}
	return out
}

// Dial implements worker.Dialer.
func (w *Workers) Dial(d worker.Worker) worker.Conn { return &conn{w, d.ID} }

type conn struct {
	workers *Workers
	id      worker.ID
}

func (c *conn) Close() {}

// lostResponseDelay is how long the caller of a start with a lost response waits, so that
// short runs finish before the caller gets the error.
const lostResponseDelay = 30 * time.Millisecond

var errEmulated = errors.New("emulated fault")

// find returns the worker, or the error of a call that does not reach it.
func (c *conn) find() (*Worker, error) {
	c.workers.mu.Lock()
	n := c.workers.byID[c.id]
	c.workers.mu.Unlock()
	if n == nil {
		return nil, &worker.UnreachableError{Cause: errEmulated}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.faults.Unreachable:
		return nil, &worker.UnreachableError{Cause: errEmulated}
	case n.faults.Unresponsive:
		return nil, &worker.NoAnswerError{Cause: errEmulated}
	}
	return n, nil
}

// SetFaults replaces the worker's faults.
func (n *Worker) SetFaults(f WorkerFaults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = f
}

// Crash ends all runs and restarts the worker under the same ID as a new incarnation,
// without its former state. Heartbeats that wait get no response.
func (n *Worker) Crash() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for key, r := range n.runs {
		r.timer.Stop()
		n.history.add(Event{Kind: Finished, Worker: n.ID, Task: key.task, Number: key.number, Incarnation: n.incarnation})
	}
	n.runs, n.highest, n.finished = map[emulatedKey]*emulatedRun{}, map[string]int{}, nil
	n.sequence, n.token, n.leaseEnd = 0, 0, 0
	n.incarnation++
	close(n.changed)
	n.changed = make(chan struct{})
	n.started = n.started.Add(time.Since(n.started)).Add(time.Millisecond)
}

// Running returns the number of running tasks.
func (n *Worker) Running() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.runs)
}

// StartsReceived returns the number of start commands that reached the worker, also of those
// that have not taken effect.
func (n *Worker) StartsReceived() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.received
}

// startMS returns the Unix time in milliseconds at which the incarnation started.
func (n *Worker) startMS() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.started.UnixMilli()
}

func (n *Worker) currentIncarnation() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnation
}

// clock returns the incarnation's clock in milliseconds, which runs from its own beginning at its own rate.
func (n *Worker) clock() int64 {
	return time.Duration(n.clockRate()*float64(time.Since(n.started))).Milliseconds() + n.clockStart().Milliseconds()
}

// untilClock returns how long the incarnation's clock takes to show a time in milliseconds.
func (n *Worker) untilClock(ms int64) time.Duration {
	return time.Duration(math.Ceil(float64(ms-n.clock())/n.clockRate())) * time.Millisecond
}

// maxClockStart bounds AnyClockStart.
const maxClockStart = 8000 * time.Second

// AnyClockStart returns a beginning of the clock of an incarnation that may be above or below the clock of the former one.
func AnyClockStart(id worker.ID, incarnation int) time.Duration {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s %d", id, incarnation) // a hash returns no error
	return time.Duration(h.Sum64()%uint64(maxClockStart)).Truncate(time.Millisecond) + time.Millisecond
}

// MinClockRate is the rate of the slowest clock that workers may have.
const MinClockRate = 0.98

// AnyClockRate returns a rate of the clock of an incarnation.
func AnyClockRate(id worker.ID, incarnation int) float64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "rate %s %d", id, incarnation) // a hash returns no error
	return MinClockRate + (1-MinClockRate)*float64(h.Sum64()%1000)/1000
}

// rejectsToken reports whether a fencing token is stale, and records it otherwise. The
// caller holds mu.
func (n *Worker) rejectsToken(token uint64) bool {
	if token < n.token {
		return true
	}
	n.token = token
	return false
}

// extendLease moves the end of the lease to a later time of the worker's clock, in
// milliseconds. The caller holds mu.
func (n *Worker) extendLease(end int64) {
	end = min(end, n.clock()+maxLease.Milliseconds())
	if end <= n.leaseEnd {
		return
	}
	n.leaseEnd = end
	if n.leaseTimer != nil {
		n.leaseTimer.Stop()
	}
	n.leaseTimer = time.AfterFunc(n.untilClock(end), n.expireLease)
}

// expireLease ends all runs, unless the lease was extended meanwhile.
func (n *Worker) expireLease() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.clock() < n.leaseEnd {
		return
	}
	for key, r := range n.runs {
		if n.clock() >= r.leaseEnd {
			n.finish(key, r, worker.FinishLapsed)
		}
	}
}

// finish ends a run and adds it to the finished runs. The caller holds mu.
func (n *Worker) finish(key emulatedKey, r *emulatedRun, cause worker.FinishCause) {
	if n.runs[key] != r {
		return
	}
	r.timer.Stop()
	delete(n.runs, key)
	n.highest[key.task] = max(n.highest[key.task], key.number)
	n.sequence++
	n.finished = append(n.finished, worker.FinishedRun{Sequence: n.sequence, Task: key.task, Number: key.number, Cause: cause})
	e := Event{Kind: Finished, Worker: n.ID, Task: key.task, Number: key.number, Incarnation: n.incarnation}
	switch cause {
	case worker.FinishDone:
		e.Kind, e.LeaseEnd = Completed, n.started.Add(time.Duration(float64(time.Duration(n.leaseEnd)*time.Millisecond-n.clockStart())/n.clockRate()))
	case worker.FinishFailed:
		e.Kind = Failed
	}
	n.history.add(e)
	close(n.changed)
	n.changed = make(chan struct{})
}

// Completed and Failed are the kinds of finished runs with the causes worker.FinishDone and
// worker.FinishFailed; Finished is that of all other ended runs.
const (
	Completed EventKind = "done"
	Failed    EventKind = "failed"
)

// Heartbeat implements worker.Conn.
func (c *conn) Heartbeat(ctx context.Context, cmd worker.HeartbeatCommand) (worker.Status, error) {
	n, err := c.find()
	if err != nil {
		monotonic.Sleep(ctx, 5*time.Millisecond)
		return worker.Status{}, err
	}
	n.mu.Lock()
	if n.rejectsToken(cmd.Token) {
		defer n.mu.Unlock()
		return worker.Status{}, &worker.RefusedError{Reason: worker.RefusedFence, ClockMS: n.clock()}
	}
	n.acknowledge(cmd)
	if cmd.LeaseEndMS > 0 {
		n.extendLease(cmd.LeaseEndMS)
	}
	incarnation := n.incarnation
	slow, lost := n.faults.SlowHeartbeats, n.faults.LoseHeartbeatReplies > 0
	if lost {
		n.faults.LoseHeartbeatReplies--
	}
	waiting, changed := len(n.finished) == 0 && cmd.Wait > 0, n.changed
	n.mu.Unlock()
	monotonic.Sleep(ctx, slow)
	if waiting {
		select {
		case <-changed:
		case <-time.After(cmd.Wait):
		case <-ctx.Done():
		}
	}
	if _, err := c.find(); err != nil {
		return worker.Status{}, &worker.NoAnswerError{Cause: err}
	}
	if lost {
		return worker.Status{}, &worker.NoAnswerError{Cause: errEmulated}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.incarnation != incarnation {
		// The connection ended with the process.
		return worker.Status{}, &worker.NoAnswerError{Cause: errEmulated}
	}
	status := worker.Status{ClockMS: n.clock(), IncarnationStartMS: n.started.UnixMilli(), Finished: append([]worker.FinishedRun(nil), n.finished...)}
	for key, r := range n.runs {
		if r.stopping && n.faults.HiddenStops {
			continue
		}
		status.Running = append(status.Running, worker.Run{Task: key.task, Number: key.number, Percent: 100})
	}
	return status, nil
}

// acknowledge removes the finished runs that the command acknowledges. The caller holds mu.
func (n *Worker) acknowledge(cmd worker.HeartbeatCommand) {
	for len(n.finished) > 0 && n.finished[0].Sequence <= cmd.Acknowledged {
		r := n.finished[0]
		n.history.add(Event{Kind: Acknowledged, Worker: n.ID, Task: r.Task, Number: r.Number, Incarnation: n.incarnation})
		n.finished = n.finished[1:]
	}
}

// Start implements worker.Conn.
func (c *conn) Start(ctx context.Context, cmd worker.StartCommand) (int64, error) {
	n, err := c.find()
	if err != nil {
		return 0, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.received++
	if n.faults.DelayedStarts > 0 {
		n.faults.DelayedStarts--
		incarnation, timeout, fromArrival, sent := n.incarnation, n.faults.StartTimeout, n.faults.LeaseFromArrival, n.clock()
		time.AfterFunc(n.faults.StartDelay, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.incarnation != incarnation {
				// The command was lost with the previous incarnation.
				return
			}
			late := Event{Late: true, Outlived: fromArrival, Expired: fromArrival && cmd.LeaseEndMS <= n.clock()}
			if fromArrival {
				cmd.LeaseEndMS += n.clock() - sent
			}
			_, _ = n.start(cmd, late) // the caller already got an error
		})
		n.mu.Unlock()
		monotonic.Sleep(ctx, timeout)
		n.mu.Lock()
		return 0, &worker.NoAnswerError{Cause: errEmulated}
	}
	clock, err := n.start(cmd, Event{})
	if n.faults.LoseStartReplies > 0 {
		n.faults.LoseStartReplies--
		n.mu.Unlock()
		time.Sleep(lostResponseDelay)
		n.mu.Lock()
		return 0, &worker.NoAnswerError{Cause: errEmulated}
	}
	return clock, err
}

// start checks a start command and begins the run, which it records in the event. The caller
// holds mu.
func (n *Worker) start(cmd worker.StartCommand, e Event) (int64, error) {
	refuse := func(reason worker.Refusal) (int64, error) {
		return 0, &worker.RefusedError{Reason: reason, ClockMS: n.clock()}
	}
	if n.rejectsToken(cmd.Token) {
		return refuse(worker.RefusedFence)
	}
	if cmd.LeaseEndMS <= n.clock() {
		return refuse(worker.RefusedExpired)
	}
	if !e.Outlived {
		n.extendLease(cmd.LeaseEndMS)
	}
	key := emulatedKey{cmd.Task, cmd.Number}
	if n.runs[key] != nil {
		return n.clock(), nil
	}
	// Another run of the task that is at work does not matter.
	if cmd.Number <= n.highest[cmd.Task] {
		return refuse(worker.RefusedStaleRun)
	}
	if !n.admits(cmd, n.incarnation) {
		n.history.add(Event{Kind: Unapproved, Worker: n.ID, Task: cmd.Task, Number: cmd.Number, Token: cmd.Token, Incarnation: n.incarnation})
		return refuse(worker.RefusedApproval)
	}
	b := n.behaviour(cmd)
	r := &emulatedRun{}
	cause := worker.FinishDone
	if b.Fails {
		cause = worker.FinishFailed
	}
	r.timer = time.AfterFunc(b.Duration, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.finish(key, r, cause)
	})
	n.runs[key] = r
	if e.Outlived {
		// The other runs keep the lease that their owner granted.
		r.leaseEnd = cmd.LeaseEndMS
		time.AfterFunc(n.untilClock(cmd.LeaseEndMS), n.expireLease)
	}
	e.Kind, e.Worker, e.Task, e.Number, e.Token, e.Incarnation = Started, n.ID, cmd.Task, cmd.Number, cmd.Token, n.incarnation
	n.history.add(e)
	return n.clock(), nil
}

// Stop implements worker.Conn.
func (c *conn) Stop(_ context.Context, token uint64, task string, number int) (int64, error) {
	n, err := c.find()
	if err != nil {
		return 0, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.faults.DelayedStops > 0 {
		n.faults.DelayedStops--
		incarnation := n.incarnation
		time.AfterFunc(n.faults.StopDelay, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.incarnation == incarnation {
				_, _ = n.stop(token, task, number) // the caller already got an error
			}
		})
		return 0, &worker.NoAnswerError{Cause: errEmulated}
	}
	clock, err := n.stop(token, task, number)
	if n.faults.LoseStopReplies > 0 {
		n.faults.LoseStopReplies--
		return 0, &worker.NoAnswerError{Cause: errEmulated}
	}
	return clock, err
}

// stop carries out a stop command. The caller holds mu.
func (n *Worker) stop(token uint64, task string, number int) (int64, error) {
	if n.rejectsToken(token) {
		return 0, &worker.RefusedError{Reason: worker.RefusedFence, ClockMS: n.clock()}
	}
	if n.faults.IgnoredStops > 0 {
		n.faults.IgnoredStops--
		return n.clock(), nil
	}
	n.highest[task] = max(n.highest[task], number)
	key := emulatedKey{task, number}
	if r := n.runs[key]; r != nil {
		r.stopping = true
		if slow := n.faults.SlowStops; slow > 0 {
			time.AfterFunc(slow, func() {
				n.mu.Lock()
				defer n.mu.Unlock()
				n.finish(key, r, worker.FinishStopped)
			})
			return n.clock(), nil
		}
		n.finish(key, r, worker.FinishStopped)
	}
	return n.clock(), nil
}

// Pace implements worker.Conn.
func (c *conn) Pace(context.Context, uint64, string, int, int) (int64, error) {
	n, err := c.find()
	if err != nil {
		return 0, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.clock(), nil
}

// Find returns the worker with this ID, or nil.
func (w *Workers) Find(id worker.ID) *Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.byID[id]
}
