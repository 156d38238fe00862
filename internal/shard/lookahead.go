package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/placement"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	// maxReservationLines bounds the log lines about reservations in reservationLinesPeriod.
	maxReservationLines    = 20
	reservationLinesPeriod = time.Second
	// reservationAttempts times the bound of reservations is how many steps a pass looks at for one, as most steps
	// without a worker need none.
	reservationAttempts = 2
	// maxGangAttempts is how many gangs a pass looks at for a reservation, because that compares all expected ends on all
	// workers.
	maxGangAttempts = 2
	// largeShare is the share of a worker above which room for a task has to accumulate on it.
	largeShare = 0.5
	// maxEndingsAge is how old the expected ends of the runs on a worker may be. They are also computed again when a run
	// starts, ends or is past its expected end.
	maxEndingsAge = 50 * time.Millisecond
)

// lookAhead holds the reservations of one scheduling pass. They are made anew in each pass, so that none outlasts its
// job or its owner.
type lookAhead struct {
	// tasks, workers and attempts are how many more tasks or gangs get reservations, how many more workers are reserved,
	// and how many more steps are looked at.
	tasks, workers, attempts int
	// gangAttempts is how many attempts one gang counts for.
	gangAttempts int
	// unreserved are needs for which no reservation was made. Smaller ones get none either.
	unreserved []worker.Resources
	// promoted is the job that comes first in this pass out of order, or nil; promotedHeld is set once it has a
	// reservation.
	promoted     *jobEntry
	promotedHeld bool
	// duration is the expected duration of a task of the step that was last asked for.
	step     *job.Step
	duration time.Duration
}

// loggedReservation is the first reservation for a step since one of its tasks was last started.
type loggedReservation struct {
	worker   worker.ID
	made     monotonic.Time
	expected monotonic.Time
}

// newLookAhead returns nil if the look-ahead is disabled.
func (p *placer) newLookAhead() *lookAhead {
	c := p.owner.Policy.LookAhead
	if !c.Enabled {
		return nil
	}
	return &lookAhead{
		tasks: c.MaxReservations, workers: placement.MaxReserved(p.candidates), attempts: reservationAttempts * c.MaxReservations,
		gangAttempts: max(1, reservationAttempts*c.MaxReservations/maxGangAttempts),
	}
}

// canReserve reports whether the pass may reserve further workers.
func (p *placer) canReserve() bool {
	l := p.lookAhead
	return l != nil && l.tasks > 0 && l.workers > 0 && l.attempts > 0
}

// mayReserve reports whether the pass may reserve workers for the step.
func (p *placer) mayReserve(s *job.Step) bool {
	if !p.canReserve() {
		return false
	}
	required := s.RequiredResources()
	return s.Gang || !slices.ContainsFunc(p.lookAhead.unreserved, required.Fits)
}

// expected returns the expected duration of a task of the step, or 0 if the look-ahead is disabled or the task does
// not end.
func (p *placer) expected(e *jobEntry, s *job.Step) time.Duration {
	if p.lookAhead == nil || s.LongRunning {
		return 0
	}
	l := p.lookAhead
	if l.step != s {
		l.step, l.duration = s, p.owner.estimate(e.job.Queue, s)
	}
	return l.duration
}

func (p *placer) request(e *jobEntry, s *job.Step, rack string) placement.Request {
	return placement.Request{Step: s, Rack: rack, Expected: p.expected(e, s), Pack: p.owner.Policy.Packing.Enabled}
}

// promote moves the job whose large task or gang has found no worker for the longest time to the front, if that time
// exceeds the bound. Otherwise late jobs would wait as long as jobs arrive that can be in time.
func (p *placer) promote(entries []*jobEntry, order []int) []int {
	if p.lookAhead == nil {
		return order
	}
	oldest := -1
	for k, i := range order {
		if since := entries[i].blockedSince; since != 0 && (oldest < 0 || since < entries[order[oldest]].blockedSince) {
			oldest = k
		}
	}
	wait := time.Duration(p.owner.Policy.LookAhead.MaxWaitMS) * time.Millisecond
	if oldest < 0 || p.now.Sub(entries[order[oldest]].blockedSince) < wait {
		return order
	}
	i := order[oldest]
	p.lookAhead.promoted = entries[i]
	return slices.Insert(slices.Delete(order, oldest, oldest+1), 0, i)
}

// placePromoted places the job that comes first out of order. If no large task or gang of it got a start or a
// reservation, its turn is over, so that a job which cannot run at all does not keep others from theirs.
func (p *placer) placePromoted(e *jobEntry) {
	since := e.blockedSince
	p.placeJob(e)
	if e.blockedSince == since && !p.lookAhead.promotedHeld {
		e.blockedSince = p.now
	}
}

// markBlocked records that tasks of a step found no worker.
func (p *placer) markBlocked(e *jobEntry, s *job.Step) {
	if p.lookAhead == nil || e.blockedSince != 0 || s.LongRunning || len(p.candidates) == 0 {
		return
	}
	if s.Gang || s.RequiredResources().DominantShare(p.candidates[0].Capacity) > largeShare {
		e.blockedSince = p.now
	}
}

// reserve reserves workers for the remaining tasks of a step that found none, and reports whether it has reserved any.
func (p *placer) reserve(e *jobEntry, t readyTask, rack string, remaining int) bool {
	p.markBlocked(e, t.step)
	if !p.mayReserve(t.step) {
		return false
	}
	l := p.lookAhead
	l.attempts--
	if t.step.Gang {
		l.attempts -= l.gangAttempts - 1
	}
	need := placement.Need{
		Request: p.request(e, t.step, rack), Occurrence: t.id.Occurrence, Tasks: remaining, Always: e == l.promoted,
	}
	if t.step.Gang {
		workers, reservations := placement.EarliestGang(p.candidates, p.endings, need, l.workers)
		for k, i := range workers {
			p.hold(e, t, i, reservations[k])
		}
		if len(workers) > 0 {
			l.tasks--
		}
		return len(workers) > 0
	}
	if t.step.LongRunning {
		// The others wait for the next pass, so that one job does not take all reservations for long.
		remaining = 1
	}
	made := 0
	for made < remaining && l.tasks > 0 && l.workers > 0 {
		i, reservation := placement.Earliest(p.candidates, p.endings, need)
		if i < 0 {
			break
		}
		p.hold(e, t, i, reservation)
		l.tasks--
		made++
	}
	if made == 0 && t.step.RequiredLabel == "" && t.step.MaxPerWorker == 0 && !e.job.Advised {
		l.unreserved = append(l.unreserved, t.step.RequiredResources())
	}
	return made > 0
}

// hold reserves one worker for a step.
func (p *placer) hold(e *jobEntry, t readyTask, i int, reservation placement.Reservation) {
	p.candidates[i].Reservation = reservation
	p.lookAhead.workers--
	p.lookAhead.promotedHeld = p.lookAhead.promotedHeld || e == p.lookAhead.promoted
	key := stepKey{t.id.Occurrence, t.id.Step}
	if _, logged := e.reserved[key]; logged {
		return
	}
	if e.reserved == nil {
		e.reserved = map[stepKey]loggedReservation{}
	}
	made := loggedReservation{p.sessions[i].ID, p.now, p.now.Add(reservation.In)}
	e.reserved[key] = made
	if o := p.owner; o.mayLogReservation(p.now) {
		o.Log.WithFields(logrus.Fields{
			"task": t.id.String(), "worker": made.worker, "expected_in_ms": reservation.In.Milliseconds(), "need": t.step.RequiredResources(),
			"gang": t.step.Gang, "waited_ms": p.now.Sub(e.accepted).Milliseconds(),
		}).Info("worker reserved")
	}
}

// reservationMet records that a task of a step was started, and reports how far the first reservation for it was off.
func (p *placer) reservationMet(r *run, i int) {
	if p.lookAhead == nil {
		return
	}
	e, key := r.entry, stepKey{r.task.Occurrence, r.task.Step}
	if r.step.Gang || r.step.RequiredResources().DominantShare(p.candidates[0].Capacity) > largeShare {
		e.blockedSince = 0
	}
	made, ok := e.reserved[key]
	if !ok {
		return
	}
	delete(e.reserved, key)
	late := p.now.Sub(made.expected)
	p.owner.recordReservation(late)
	if o := p.owner; o.mayLogReservation(p.now) {
		o.Log.WithFields(logrus.Fields{
			"task": r.task.String(), "run": r.number, "worker": r.session.ID, "reserved_worker": made.worker,
			"reserved_ms": p.now.Sub(made.made).Milliseconds(), "error_ms": late.Milliseconds(),
		}).Info("reserved task started")
	}
}

// mayLogReservation bounds the log lines about reservations. The caller holds mu.
func (o *Owner) mayLogReservation(now monotonic.Time) bool {
	if o.reservationLinesSince == 0 || now.Sub(o.reservationLinesSince) >= reservationLinesPeriod {
		o.reservationLines, o.reservationLinesSince = 0, now
	}
	o.reservationLines++
	return o.reservationLines <= maxReservationLines
}

// endings returns the runs of a worker that are expected to end, in the order of their ends.
func (p *placer) endings(i int) []placement.Ending {
	s := p.sessions[i]
	passed := p.now.Sub(s.endingsAsOf)
	if s.endingsAt != 0 && p.now.Sub(s.endingsAt) < maxEndingsAge && (len(s.endings) == 0 || passed < s.endings[0].In) {
		if passed > 0 {
			for k := range s.endings {
				s.endings[k].In -= passed
			}
			s.endingsAsOf = p.now
		}
		return s.endings
	}
	s.endings, s.endingsAt, s.endingsAsOf = s.endings[:0], p.now, p.now
	for _, r := range s.runs {
		if !r.step.LongRunning {
			s.endings = append(s.endings, placement.Ending{
				In: p.owner.remaining(r, p.now), Use: r.step.RequiredResources(), Step: r.step, Occurrence: r.task.Occurrence,
			})
		}
	}
	slices.SortFunc(s.endings, func(a, b placement.Ending) int { return cmp.Compare(a.In, b.In) })
	return s.endings
}

// remaining returns the expected further time of a run. The caller holds mu.
func (o *Owner) remaining(r *run, now monotonic.Time) time.Duration {
	if r.expected == 0 {
		r.expected = o.estimate(r.entry.job.Queue, r.step)
	}
	task := placement.RunningTask{Expected: r.expected}
	if r.started != 0 {
		task.Elapsed = now.Sub(r.started)
	}
	if task.Elapsed >= task.Expected {
		task.LogStdDev = o.logStdDev(r.entry.job.Queue)
	}
	return placement.Remaining(task)
}
