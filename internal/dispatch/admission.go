package dispatch

import (
	"math"
	"net/http"
	"time"

	"samphirestile.example/samphirestile/internal/problem"
)

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 60 * time.Second
	// waitMarginRatio is the minimum ratio of the time until the deadline to the expected
	// wait at admission. Without it the wait in the queue converges to the deadline, and
	// about half of the fluctuations of the service time make accepted requests expire.
	waitMarginRatio = 1.3
)

// admit returns the refusal of a request that was just queued and cannot start before
// its deadline, or nil.
func (s *serviceQueue) admit(w *waiter, now time.Time) *problem.Error {
	wait, limited := s.expectedWait(w, now)
	maxWait := time.Duration(float64(w.deadline.Sub(now)) / waitMarginRatio)
	if wait <= maxWait {
		return nil
	}
	// Admitting the request itself takes one more slot release.
	return s.refusal(w, limited).WithRetryAfter(retryAfter(wait - maxWait + s.slotReleaseInterval()))
}

// slotReleaseInterval returns the mean time between two slot releases when all slots are busy.
func (s *serviceQueue) slotReleaseInterval() time.Duration {
	total, _ := s.capacity()
	return seconds(s.meanSlotTime.Value() / math.Max(1, float64(total)))
}

func retryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// refusal returns the problem that names the cause of the shortage: the team's limit,
// the team's load or the load of all teams.
func (s *serviceQueue) refusal(w *waiter, limited bool) *problem.Error {
	switch {
	case limited:
		return problem.New(problem.CodeOverLimit, http.StatusTooManyRequests,
			"team %s has reached its upper limit and the request cannot start before its deadline", w.Team)
	case s.aboveShare(w.team):
		return problem.New(problem.CodeOverShare, http.StatusTooManyRequests,
			"team %s is above its share of service %s and the request cannot start before its deadline", w.Team, w.Service)
	default:
		return problem.New(problem.CodeOverloaded, http.StatusServiceUnavailable,
			"service %s is overloaded and the request cannot start before its deadline", w.Service)
	}
}

// aboveShare reports whether the team's fraction of the demand is larger than its
// fraction of the weights of all teams that have demand.
func (s *serviceQueue) aboveShare(t *teamQueue) bool {
	var weights, demand float64
	for _, other := range s.teams {
		if other.queued+other.running > 0 {
			weights += other.weight
			demand += s.demand(other)
		}
	}
	return s.demand(t)*weights > demand*t.weight*(1+1e-9)
}

// demand returns the slot time of the team's queued and running requests, in seconds.
func (s *serviceQueue) demand(t *teamQueue) float64 {
	return float64(t.queued+t.running) * s.cost(t, false)
}

// expectedWait estimates the time until a queued request starts if no further request
// arrives: until then every team is served up to the virtual time at which the request
// is scheduled. limited is set when the team's upper limit, not the number of slots,
// determines the wait.
func (s *serviceQueue) expectedWait(w *waiter, now time.Time) (wait time.Duration, limited bool) {
	total, _ := s.capacity()
	if total == 0 {
		return 0, false
	}
	t, cost := w.team, s.cost(w.team, w.Urgent)
	ahead := float64(s.ahead(w)) * cost
	startVtime := t.vtime + ahead/t.weight
	work := ahead
	for _, other := range s.waiting {
		if other != t && !other.blocked {
			work += math.Min(float64(other.queued)*s.cost(other, false), other.weight*math.Max(0, startVtime-other.vtime))
		}
	}
	bySlots := work/float64(total) + math.Max(0, s.firstCompletion.Sub(now).Seconds())
	if w.Urgent && s.hasUrgentCredit(t) {
		bySlots = math.Min(bySlots, s.urgentWait())
	}
	byUnits := 0.0
	if running, units := s.limiter.Usage(t.id); units > 0 && running >= units {
		byUnits = ahead / float64(units)
	}
	return seconds(math.Max(bySlots, byUnits)), byUnits > bySlots
}

// urgentWait estimates the time until an urgent request starts out of its team's fair
// order, in seconds.
func (s *serviceQueue) urgentWait() float64 {
	urgent := 0
	for _, t := range s.waiting {
		urgent += t.urgentQueued()
	}
	return urgentBypassDelay.Seconds() + float64(urgent)*s.slotReleaseInterval().Seconds()
}

// ahead returns how many requests of the team start before the newest one of its class.
func (s *serviceQueue) ahead(w *waiter) int {
	if w.class.urgent() {
		return w.team.urgentQueued() - 1
	}
	return w.team.queued - 1
}

// deadlineRefusal returns the refusal of a request whose deadline passed in the queue.
func (s *serviceQueue) deadlineRefusal(w *waiter) *problem.Error {
	wait, _ := s.expectedWait(w, time.Now())
	return problem.New(problem.CodeDeadlineExceeded, http.StatusServiceUnavailable,
		"the deadline of the request passed in the queue of service %s", w.Service).WithRetryAfter(retryAfter(wait))
}

// enforceQueueBound keeps the queue within its bound. It refuses the newest request of
// the team that is furthest above its share, which may be the new request itself.
func (s *serviceQueue) enforceQueueBound() {
	if s.queued <= s.maxQueued {
		return
	}
	var worst *teamQueue
	for _, t := range s.waiting {
		if worst == nil || s.demand(t)/t.weight > s.demand(worst)/worst.weight {
			worst = t
		}
	}
	w := worst.newest()
	wait, _ := s.expectedWait(w, time.Now())
	s.refuse(w, s.refusal(w, false).WithRetryAfter(retryAfter(wait)))
}
