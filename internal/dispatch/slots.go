package dispatch

import (
	"slices"
	"time"

	"samphirestile.example/samphirestile/internal/endpoint"
	"samphirestile.example/samphirestile/internal/fleet"
)

// endpointState is the state of one endpoint at its owner.
type endpointState struct {
	fleet.Endpoint
	owned   bool
	tracker *endpoint.Tracker
	// inFlight counts exchanges that have not ended.
	inFlight int
	// urgent counts the urgent requests among them.
	urgent int
	// penaltySlots counts slots that stay occupied after a fast failure.
	penaltySlots int
}

// usable reports whether the endpoint accepts new work.
func (e *endpointState) usable() bool { return e.owned && !e.Leaving && e.limit() > 0 }

// limit returns the number of requests that the endpoint may serve at once.
func (e *endpointState) limit() int { return e.bounded(e.tracker.Limit()) }

func (e *endpointState) bounded(n int) int {
	if e.Connections > 0 {
		return min(n, e.Connections)
	}
	return n
}

// free returns the number of slots that are free for urgent or other requests. One urgent
// request at a time may exceed a limit that an experiment of the tracker has lowered; more would
// take all the slots that the experiment leaves unused.
func (e *endpointState) free(urgent bool) int {
	n := e.limit()
	if urgent && e.urgent == 0 {
		n = e.bounded(e.tracker.UrgentLimit())
	}
	return n - e.inFlight - e.penaltySlots
}

// occupancy returns the occupied fraction of the endpoint's slots.
func (e *endpointState) occupancy() float64 {
	return float64(e.inFlight+e.penaltySlots) / float64(e.limit())
}

func (w *waiter) avoids(e *endpointState) bool { return slices.Contains(w.Avoid, e.ID) }

// slotFor returns the endpoint with the lowest occupancy that the request may use, or nil.
// Endpoints to avoid are used only when no other endpoint accepts work.
func (s *serviceQueue) slotFor(w *waiter) *endpointState {
	var best *endpointState
	avoid := len(w.Avoid) > 0 && s.hasAlternative(w)
	for _, e := range s.endpoints {
		if !e.usable() || e.free(w.Urgent) <= 0 || avoid && w.avoids(e) {
			continue
		}
		if best == nil || e.occupancy() < best.occupancy() {
			best = e
		}
	}
	return best
}

func (s *serviceQueue) hasAlternative(w *waiter) bool {
	return slices.ContainsFunc(s.endpoints, func(e *endpointState) bool { return e.usable() && !w.avoids(e) })
}

// capacity returns the slots and running requests of the endpoints that accept work.
func (s *serviceQueue) capacity() (slots, running int) {
	for _, e := range s.endpoints {
		if e.usable() {
			slots += e.limit()
			running += e.inFlight
		}
	}
	return slots, running
}

// reportedCapacity returns the capacity reported to entry daemons. Slots occupied after a
// fast failure count as running. A failing endpoint that must stay in use counts as one
// slot, so that its requests go to other owners and it is only probed.
func (s *serviceQueue) reportedCapacity() (slots, running int) {
	for _, e := range s.endpoints {
		if !e.usable() {
			continue
		}
		running += e.inFlight + e.penaltySlots
		if e.tracker.Failing() {
			slots++
		} else {
			slots += e.limit()
		}
	}
	return slots, running
}

func (s *serviceQueue) hasFreeSlot(urgent bool) bool {
	return slices.ContainsFunc(s.endpoints, func(e *endpointState) bool { return e.usable() && e.free(urgent) > 0 })
}

// setEndpoints replaces the owned endpoints. An endpoint that is no longer owned is kept
// until its running requests have ended.
func (s *serviceQueue) setEndpoints(owned []fleet.Endpoint, now time.Time) {
	for _, e := range s.endpoints {
		e.owned = false
	}
	for _, o := range owned {
		i := slices.IndexFunc(s.endpoints, func(e *endpointState) bool { return e.ID == o.ID && e.Address == o.Address })
		if i < 0 {
			s.endpoints = append(s.endpoints, &endpointState{tracker: endpoint.NewTracker(o.Slots, now)})
			i = len(s.endpoints) - 1
		}
		e := s.endpoints[i]
		e.Endpoint, e.owned = o, true
		e.tracker.SetDeclared(o.Slots, now)
	}
	s.dropUnowned()
	s.keepHalfInUse(now)
}

func (s *serviceQueue) dropUnowned() {
	s.endpoints = slices.DeleteFunc(s.endpoints, func(e *endpointState) bool { return !e.owned && e.inFlight == 0 })
}

// tick performs the time-based transitions of the endpoints.
func (s *serviceQueue) tick(now time.Time) {
	for _, e := range s.endpoints {
		e.tracker.Tick(now)
	}
}

// ejectIfFailing ejects a failing endpoint, unless fewer than half of the endpoints would
// stay in use. A single endpoint is never ejected.
func (s *serviceQueue) ejectIfFailing(e *endpointState, now time.Time) {
	if !e.tracker.Failing() {
		return
	}
	if total, notInUse := s.countNotInUse(); 2*(notInUse+1) <= total {
		e.tracker.Eject(now)
	}
}

// countNotInUse counts the endpoints that may accept work and those of them that are ejected
// or probed.
func (s *serviceQueue) countNotInUse() (total, notInUse int) {
	for _, e := range s.endpoints {
		if e.owned && !e.Leaving {
			total++
			if e.tracker.State() != endpoint.InUse {
				notInUse++
			}
		}
	}
	return total, notInUse
}

// keepHalfInUse readmits endpoints after others were lost.
func (s *serviceQueue) keepHalfInUse(now time.Time) {
	for _, e := range s.endpoints {
		if total, notInUse := s.countNotInUse(); 2*notInUse <= total {
			return
		}
		if e.owned && !e.Leaving && e.tracker.State() != endpoint.InUse {
			e.tracker.Readmit(now)
		}
	}
}
