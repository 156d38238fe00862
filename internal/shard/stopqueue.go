package shard

import (
	"slices"
	"time"

	"samphirestile.example/samphirestile/internal/monotonic"
)

const (
	// firstStopInterval is the time between the first two stop commands for a run. Stops are idempotent
	// and a worker that answers does so within milliseconds, so a command is repeated long before the
	// call has timed out: otherwise each lost answer would delay the stop by a whole timeout.
	firstStopInterval = 100 * time.Millisecond
	// stopIntervalGrowth and maxStopInterval bound the calls to a worker that stays silent.
	stopIntervalGrowth = 1.15
	maxStopInterval    = 900 * time.Millisecond
	// maxStopsInFlight bounds the concurrent stop commands to one worker, maxRepeatsInFlight those that
	// repeat another one. The difference is left to runs that no command was sent for yet, so that they
	// do not wait for the timeouts of repeated commands.
	maxStopsInFlight   = 64
	maxRepeatsInFlight = 32
	// usualStopTime is longer than a stop takes at a worker that answers. At most maxRecentStops commands
	// are in flight for less than that, so that many stops at once open no further connections to such a
	// worker, and commands without an answer delay the others by no more than that each.
	usualStopTime  = 20 * time.Millisecond
	maxRecentStops = 2
)

// pendingStop is a run whose stop has no answer yet.
type pendingStop struct {
	key       runKey
	requested monotonic.Time
	// attempts counts the commands that were sent, dueAt is the time of the next one.
	attempts int
	dueAt    monotonic.Time
	interval time.Duration
	// logged is when a command without an answer was last logged.
	logged monotonic.Time
}

// stopQueue determines when which stop command is sent to one worker.
type stopQueue struct {
	pending map[runKey]*pendingStop
	// inFlight holds when each command without an outcome was sent.
	inFlight map[stopAttempt]monotonic.Time
}

func newStopQueue() stopQueue {
	return stopQueue{pending: map[runKey]*pendingStop{}, inFlight: map[stopAttempt]monotonic.Time{}}
}

// request adds a run, unless its stop is already pending.
func (q *stopQueue) request(key runKey, now monotonic.Time) {
	if q.pending[key] == nil {
		q.pending[key] = &pendingStop{key: key, requested: now, dueAt: now, interval: firstStopInterval}
	}
}

// restart lets the commands for all runs be sent at once, at short intervals again.
func (q *stopQueue) restart(now monotonic.Time) {
	for _, p := range q.pending {
		p.dueAt, p.interval = min(p.dueAt, now), firstStopInterval
	}
}

// stopAttempt is one stop command.
type stopAttempt struct {
	*pendingStop
	number int
}

// take returns the commands to send now, those of the runs with the fewest attempts first, and drops the
// runs for which needed returns false. The second result is when the next command is due, or 0 if that
// depends on the end of a command in flight or on a request.
func (q *stopQueue) take(now monotonic.Time, needed func(runKey) bool) ([]stopAttempt, monotonic.Time) {
	var due []*pendingStop
	var next monotonic.Time
	for key, p := range q.pending {
		switch {
		case !needed(key):
			delete(q.pending, key)
		case p.dueAt <= now:
			due = append(due, p)
		default:
			next = earlier(next, p.dueAt)
		}
	}
	slices.SortFunc(due, func(a, b *pendingStop) int {
		if a.attempts != b.attempts {
			return a.attempts - b.attempts
		}
		return int(a.dueAt - b.dueAt)
	})
	recent, repeats := q.countInFlight(now)
	var attempts []stopAttempt
	for _, p := range due {
		if len(q.inFlight) >= maxStopsInFlight || p.attempts > 0 && repeats >= maxRepeatsInFlight {
			break
		}
		if len(recent) >= maxRecentStops {
			next = earlier(next, slices.Min(recent).Add(usualStopTime))
			break
		}
		p.attempts++
		a := stopAttempt{p, p.attempts}
		q.inFlight[a] = now
		recent = append(recent, now)
		if a.isRepeat() {
			repeats++
		}
		p.dueAt = now.Add(p.interval)
		p.interval = min(time.Duration(stopIntervalGrowth*float64(p.interval)), maxStopInterval)
		next = earlier(next, p.dueAt)
		attempts = append(attempts, a)
	}
	return attempts, next
}

// countInFlight returns when the recent commands in flight were sent, and how many in flight are repetitions.
func (q *stopQueue) countInFlight(now monotonic.Time) (recent []monotonic.Time, repeats int) {
	for a, sent := range q.inFlight {
		if now.Sub(sent) < usualStopTime {
			recent = append(recent, sent)
		}
		if a.isRepeat() {
			repeats++
		}
	}
	return recent, repeats
}

// earlier returns the earlier one of two times, of which the first may be 0 for none.
func earlier(a, b monotonic.Time) monotonic.Time {
	if a == 0 {
		return b
	}
	return min(a, b)
}

func (a stopAttempt) isRepeat() bool { return a.number > 1 }

// ended records that a command is not in flight any more.
func (q *stopQueue) ended(a stopAttempt) { delete(q.inFlight, a) }

// isPending reports whether a command belongs to a stop that has no answer yet.
func (q *stopQueue) isPending(a stopAttempt) bool { return q.pending[a.key] == a.pendingStop }

// remove ends the stop of a run. Answers to its commands do not count any more.
func (q *stopQueue) remove(key runKey) { delete(q.pending, key) }
