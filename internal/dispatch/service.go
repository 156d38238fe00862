package dispatch

import (
	"math"
	"slices"
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/allotment"
	"samphirestile.example/samphirestile/internal/endpoint"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/problem"
)

const (
	// urgentBypassDelay is how long an urgent request waits in the fair order before it may
	// use its team's future share. Urgent requests should start within 1.2 s; the rest of
	// that time is left for a slot to become free.
	urgentBypassDelay = 100 * time.Millisecond
	// urgentCredit is the future share, in requests, that a team may use for urgent requests.
	// It bounds what a team gains by marking every request urgent.
	urgentCredit = 4
	// urgentReserveTime is how long after an urgent request a slot stays reserved for the next one.
	urgentReserveTime = time.Minute
	// maxSlotReleaseInterval is the longest mean time between two slot releases at which
	// urgent requests start in time without a reserved slot: if requests end at random, a
	// gap longer than 0.9 s then has a probability of 1 %.
	maxSlotReleaseInterval = 200 * time.Millisecond
	// maxFirstCompletionDelay is the longest expected time until the first running request
	// ends at which no slot is reserved. It covers requests that started together.
	maxFirstCompletionDelay = 800 * time.Millisecond
	// minCost is the smallest slot time charged at the start of a request, in seconds. With
	// 0, one team would get all free slots before any duration is known.
	minCost = 0.001
	// chargeInterval is the minimum interval at which the overtime of running requests is charged.
	chargeInterval = 10 * time.Millisecond
)

// serviceQueue holds the queue and the endpoints of one service. Teams are served by
// start-time fair queueing. The cost of a request is the slot time it uses while other
// requests wait: the team's mean is charged at the start and corrected while the request
// runs and when it ends. Charging slot time instead of requests gives teams with long
// requests the same share of the slots as teams with short ones. Time without contention
// is free, so that a team does not pay back share that other teams left unused.
type serviceQueue struct {
	limiter   allotment.Limiter
	maxQueued int
	// rerouteRefusals is Config.RerouteRefusals.
	rerouteRefusals bool

	mu        sync.Mutex
	config    fleet.Service
	endpoints []*endpointState
	teams     map[fleet.TeamID]*teamQueue
	// waiting holds the teams with queued requests.
	waiting []*teamQueue
	queued  int
	running []*grant
	// vtime is the virtual time of the service: the largest start tag served.
	vtime float64
	// clock is the accumulated contended time, during which requests waited for a slot, in seconds.
	clock             float64
	contended         bool
	clockUpdatedAt    time.Time
	overtimeChargedAt time.Time
	// round counts the calls of dispatch; a team that can use no free slot is skipped for one
	// round (teamQueue.skippedRound).
	round uint64
	// meanSlotTime is the mean time that a request occupies a slot, in seconds.
	meanSlotTime endpoint.Mean
	// meanAge is the mean time since the start of the running requests, in seconds.
	meanAge float64
	// firstCompletion is when the first running request is expected to end.
	firstCompletion time.Time
	// lastUrgentArrival is when the last urgent request arrived.
	lastUrgentArrival time.Time
	closed            bool
}

func newServiceQueue(c Config) *serviceQueue {
	now := time.Now()
	return &serviceQueue{
		limiter: c.Limiter, maxQueued: c.MaxQueued, rerouteRefusals: c.RerouteRefusals,
		teams: map[fleet.TeamID]*teamQueue{}, clockUpdatedAt: now, overtimeChargedAt: now,
	}
}

// advance moves the contended clock to now and charges the overtime of running requests.
func (s *serviceQueue) advance(now time.Time) {
	if s.contended {
		s.clock += now.Sub(s.clockUpdatedAt).Seconds()
	}
	s.clockUpdatedAt = now
	if now.Sub(s.overtimeChargedAt) < chargeInterval {
		return
	}
	s.overtimeChargedAt = now
	s.updateRunningStats(now)
	for _, g := range s.running {
		if over := s.clock - g.startClock - g.charged; over > 0 {
			g.charged += over
			g.team.charge(over)
		}
	}
}

// updateRunningStats updates the estimates derived from the running requests.
func (s *serviceQueue) updateRunningStats(now time.Time) {
	var ages float64
	for _, g := range s.running {
		ages += now.Sub(g.started).Seconds()
	}
	s.firstCompletion = s.expectedFirstCompletion()
	s.meanAge = ages / math.Max(1, float64(len(s.running)))
}

// enqueue adds a request to its team's queue.
func (s *serviceQueue) enqueue(w *waiter) {
	if w.team.queued == 0 {
		s.limitCredit(w.team)
		w.team.blocked = false
		w.team.index = len(s.waiting)
		s.waiting = append(s.waiting, w.team)
	}
	w.team.push(w)
	s.queued++
	if w.Urgent {
		s.lastUrgentArrival = w.enqueued
	}
}

// limitCredit raises the virtual time of a team that did not use its share, so that it
// accumulates credit for at most one request.
func (s *serviceQueue) limitCredit(t *teamQueue) {
	t.vtime = math.Max(t.vtime, s.vtime-s.cost(t, false)/t.weight)
}

// cost returns the expected slot time of a request of the team, in seconds. Before the
// first request has ended, it is at least the mean age of the running ones.
func (s *serviceQueue) cost(t *teamQueue, urgent bool) float64 {
	switch m := t.meanSlotTime(urgent); {
	case m.HasSamples():
		return math.Max(m.Value(), minCost)
	case t.meanNormalSlotTime.HasSamples():
		return math.Max(t.meanNormalSlotTime.Value(), minCost)
	case s.meanSlotTime.HasSamples():
		return math.Max(s.meanSlotTime.Value(), minCost)
	default:
		return math.Max(s.meanAge, minCost)
	}
}

func (s *serviceQueue) dequeue(w *waiter) {
	t := w.team
	t.remove(w)
	s.queued--
	if t.queued > 0 {
		return
	}
	last := len(s.waiting) - 1
	s.waiting[t.index] = s.waiting[last]
	s.waiting[t.index].index = t.index
	s.waiting[last] = nil
	s.waiting = s.waiting[:last]
}

// refuse removes a queued request and sends the refusal to its caller.
func (s *serviceQueue) refuse(w *waiter, e *problem.Error) {
	s.dequeue(w)
	w.team.refused++
	w.decided <- decision{refusal: e}
}

// dispatch starts requests until no free slot is left that a waiting request may use.
func (s *serviceQueue) dispatch(now time.Time) {
	s.advance(now)
	s.round++
	for s.queued > 0 && s.dispatchOne(now) {
	}
	s.contended = slices.ContainsFunc(s.waiting, func(t *teamQueue) bool { return !t.blocked })
}

// dispatchOne starts the next request and reports whether there was one.
func (s *serviceQueue) dispatchOne(now time.Time) bool {
	if !s.hasFreeSlot(true) {
		return false
	}
	urgentOnly := !s.hasFreeSlot(false)
	for {
		t := s.overdueUrgent(now)
		if t == nil {
			t = s.nextTeam(urgentOnly)
		}
		if t == nil {
			return false
		}
		if s.startFrom(t, now) {
			return true
		}
	}
}

// eligible reports whether the team may start a request in this round.
func (s *serviceQueue) eligible(t *teamQueue) bool {
	return !t.blocked && t.skippedRound != s.round
}

// nextTeam returns the team with the smallest virtual time that may start a request. With
// urgentOnly, only teams with urgent requests are considered.
func (s *serviceQueue) nextTeam(urgentOnly bool) *teamQueue {
	var best *teamQueue
	for _, t := range s.waiting {
		if urgentOnly && t.urgentQueued() == 0 {
			continue
		}
		if s.eligible(t) && (best == nil || t.vtime < best.vtime) {
			best = t
		}
	}
	if best != nil {
		s.vtime = math.Max(s.vtime, best.vtime)
	}
	return best
}

// overdueUrgent returns the team whose urgent request has waited longest, if that wait
// exceeds urgentBypassDelay and the team has credit left.
func (s *serviceQueue) overdueUrgent(now time.Time) *teamQueue {
	var best *teamQueue
	oldest := now.Add(-urgentBypassDelay)
	for _, t := range s.waiting {
		if t.urgentQueued() == 0 || !s.eligible(t) || !s.hasUrgentCredit(t) {
			continue
		}
		if w := t.oldestUrgent(); w.enqueued.Before(oldest) {
			best, oldest = t, w.enqueued
		}
	}
	return best
}

// hasUrgentCredit reports whether the team may use more of its future share for urgent requests.
func (s *serviceQueue) hasUrgentCredit(t *teamQueue) bool {
	cost := math.Max(s.cost(t, true), s.cost(t, false))
	return t.vtime-s.vtime <= urgentCredit*cost/t.weight
}

// startFrom starts the first request of the team that can use a free slot. If there is
// none, the team is excluded for this round. If the limiter has no unit, the team is blocked
// until a unit may be free.
func (s *serviceQueue) startFrom(t *teamQueue, now time.Time) bool {
	w, e := s.firstStartable(t, now)
	if w == nil {
		t.skippedRound = s.round
		return false
	}
	release, ok := s.limiter.TryAcquire(t.id)
	if !ok {
		t.blocked = true
		return false
	}
	s.dequeue(w)
	s.start(w, e, release, now)
	return true
}

// firstStartable returns the first request of the team that can use a free slot, and the
// endpoint. It refuses requests past their deadline on the way.
func (s *serviceQueue) firstStartable(t *teamQueue, now time.Time) (*waiter, *endpointState) {
	for c := range classes {
		if !c.urgent() && s.reservesLastSlot(t, now) {
			break
		}
		for w := t.lists[c].head; w != nil; {
			next := w.next
			if !now.Before(w.deadline) {
				s.refuse(w, s.deadlineRefusal(w))
				w = next
				continue
			}
			if e := s.slotFor(w); e != nil {
				return w, e
			}
			if !c.avoiding() {
				break
			}
			w = next
		}
	}
	return nil, nil
}

// reservesLastSlot reports whether the last free slot is reserved for urgent requests.
// Running work is never terminated, so while long requests occupy every slot an urgent
// one could not start in time. Teams with short requests may use the slot, and without
// recent urgent requests nothing is reserved.
func (s *serviceQueue) reservesLastSlot(t *teamQueue, now time.Time) bool {
	if s.lastUrgentArrival.IsZero() || now.Sub(s.lastUrgentArrival) > urgentReserveTime {
		return false
	}
	total, free := 0, 0
	for _, e := range s.endpoints {
		if e.usable() {
			total += e.limit()
			free += max(0, e.free(true))
		}
	}
	if total == 1 || free > 1 || s.cost(t, false) < maxFirstCompletionDelay.Seconds() {
		return false
	}
	gap := math.Max(s.meanSlotTime.Value(), s.meanAge) / float64(total)
	return gap > maxSlotReleaseInterval.Seconds() || s.expectedFirstCompletion().Sub(now) > maxFirstCompletionDelay
}

// expectedFirstCompletion returns when the first running request is expected to end.
func (s *serviceQueue) expectedFirstCompletion() time.Time {
	var first time.Time
	for _, g := range s.running {
		if end := g.started.Add(seconds(s.cost(g.team, g.urgent))); first.IsZero() || end.Before(first) {
			first = end
		}
	}
	return first
}

func (s *serviceQueue) start(w *waiter, e *endpointState, release func(), now time.Time) {
	e.inFlight++
	if w.Urgent {
		e.urgent++
	}
	t := w.team
	t.running++
	t.granted++
	g := &grant{
		service: s, team: t, state: e, endpoint: e.Endpoint, signature: w.Signature, urgent: w.Urgent,
		attempt: e.tracker.Start(now, e.inFlight), release: release,
		started: now, startClock: s.clock, charged: s.cost(t, w.Urgent), index: len(s.running),
	}
	t.charge(g.charged)
	s.running = append(s.running, g)
	w.decided <- decision{grant: g}
}

// finish removes a grant from the running requests.
func (s *serviceQueue) finish(g *grant) {
	last := len(s.running) - 1
	s.running[g.index] = s.running[last]
	s.running[g.index].index = g.index
	s.running[last] = nil
	s.running = s.running[:last]
	g.team.running--
	s.unblock(g.team)
	g.state.inFlight--
	if g.urgent {
		g.state.urgent--
	}
	if !g.state.owned {
		s.dropUnowned()
	}
}

// unblock lets the team try to acquire a unit again.
func (s *serviceQueue) unblock(t *teamQueue) {
	if t.blocked {
		t.blocked = false
		s.limitCredit(t)
	}
}
