package dispatch

import (
	"math"

	"samphirestile.example/samphirestile/internal/endpoint"
	"samphirestile.example/samphirestile/internal/fleet"
)

const (
	// defaultWeight is the weight of a team that the configuration does not contain.
	defaultWeight = 1.0
	// minWeight prevents a division by zero when a team of weight 0 is charged.
	minWeight = 0.001
)

// teamQueue holds the waiting requests of a team for one service, and its share.
type teamQueue struct {
	id     fleet.TeamID
	weight float64
	// vtime is the slot time charged to the team divided by its weight, in seconds. The team
	// with the smallest value is served next.
	vtime   float64
	lists   [classes]waitList
	counts  [classes]int
	queued  int
	running int
	// blocked is set when the limiter had no unit, until a unit may be free.
	blocked bool
	// index is the position in serviceQueue.waiting.
	index int
	// skippedRound is the last dispatch round in which no free slot suited the team.
	skippedRound uint64
	// meanNormalSlotTime and meanUrgentSlotTime are the mean times that normal and urgent
	// requests of the team occupy a slot, in seconds.
	meanNormalSlotTime, meanUrgentSlotTime endpoint.Mean

	granted, refused uint64
	slotSeconds      float64
}

func weightOf(t fleet.Team, ok bool) float64 {
	if !ok {
		return defaultWeight
	}
	return math.Max(t.Weight, minWeight)
}

func (t *teamQueue) push(w *waiter) {
	t.lists[w.class].push(w)
	t.counts[w.class]++
	t.queued++
}

func (t *teamQueue) remove(w *waiter) {
	w.list.remove(w)
	t.counts[w.class]--
	t.queued--
}

func (t *teamQueue) urgentQueued() int {
	return t.counts[urgentAvoiding] + t.counts[urgentPlain]
}

// oldestUrgent returns the urgent request that has waited longest, or nil.
func (t *teamQueue) oldestUrgent() *waiter {
	a, b := t.lists[urgentAvoiding].head, t.lists[urgentPlain].head
	if a == nil || b != nil && b.enqueued.Before(a.enqueued) {
		return b
	}
	return a
}

// newest returns the last request of the least urgent class, or nil.
func (t *teamQueue) newest() *waiter {
	for _, c := range []class{normalPlain, normalAvoiding, urgentPlain, urgentAvoiding} {
		if w := t.lists[c].tail; w != nil {
			return w
		}
	}
	return nil
}

// meanSlotTime returns the mean slot time of urgent or normal requests.
func (t *teamQueue) meanSlotTime(urgent bool) *endpoint.Mean {
	if urgent {
		return &t.meanUrgentSlotTime
	}
	return &t.meanNormalSlotTime
}

// charge adds slot time, in seconds, to the team's account; a negative value is a refund.
func (t *teamQueue) charge(seconds float64) {
	t.vtime += seconds / t.weight
	t.slotSeconds += seconds
}
