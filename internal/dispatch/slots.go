package dispatch

import (
	"slices"

	"samphirestile.example/samphirestile/internal/endpoint"
	"samphirestile.example/samphirestile/internal/fleet"
)

// slots is the state of one endpoint at its owner.
type slots struct {
	fleet.Endpoint
	owned   bool
	tracker *endpoint.Tracker
	// inFlight counts exchanges that have not ended.
	inFlight int
	// held counts slots that stay occupied after a fast failure.
	held int
}

// usable reports whether the endpoint takes new work at all.
func (e *slots) usable() bool { return e.owned && !e.Leaving && e.limit() > 0 }

// limit returns the number of requests that the endpoint may serve at once.
func (e *slots) limit() int {
	n := e.tracker.Limit()
	if e.Connections > 0 {
		n = min(n, e.Connections)
	}
	return n
}

func (e *slots) free() int { return e.limit() - e.inFlight - e.held }

// occupancy returns the occupied part of the endpoint's slots.
func (e *slots) occupancy() float64 {
	return float64(e.inFlight+e.held) / float64(e.limit())
}

func (w *waiter) avoids(e *slots) bool { return slices.Contains(w.Avoid, e.ID) }

// slotFor returns the endpoint with the lowest occupancy that the request may
// use, or nil. Endpoints to avoid are used only when no other one takes work.
func (s *serviceQueue) slotFor(w *waiter) *slots {
	var best *slots
	avoid := len(w.Avoid) > 0 && s.hasAlternative(w)
	for _, e := range s.endpoints {
		if !e.usable() || e.free() <= 0 || avoid && w.avoids(e) {
			continue
		}
		if best == nil || e.occupancy() < best.occupancy() {
			best = e
		}
	}
	return best
}

func (s *serviceQueue) hasAlternative(w *waiter) bool {
	return slices.ContainsFunc(s.endpoints, func(e *slots) bool { return e.usable() && !w.avoids(e) })
}

// capacity returns the slots and the running requests of the endpoints that take work.
func (s *serviceQueue) capacity() (slots, running int) {
	for _, e := range s.endpoints {
		if e.usable() {
			slots += e.limit()
			running += e.inFlight
		}
	}
	return slots, running
}

func (s *serviceQueue) hasFreeSlot() bool {
	return slices.ContainsFunc(s.endpoints, func(e *slots) bool { return e.usable() && e.free() > 0 })
}

// setEndpoints replaces the owned endpoints. An endpoint that is no longer owned
// is kept until its running work has ended.
func (s *serviceQueue) setEndpoints(owned []fleet.Endpoint) {
	for _, e := range s.endpoints {
		e.owned = false
	}
	for _, o := range owned {
		i := slices.IndexFunc(s.endpoints, func(e *slots) bool { return e.ID == o.ID && e.Address == o.Address })
		if i < 0 {
			s.endpoints = append(s.endpoints, &slots{tracker: endpoint.NewTracker(o.Slots)})
			i = len(s.endpoints) - 1
		}
		e := s.endpoints[i]
		e.Endpoint, e.owned = o, true
		e.tracker.SetDeclared(o.Slots)
	}
	s.dropIdle()
}

func (s *serviceQueue) dropIdle() {
	s.endpoints = slices.DeleteFunc(s.endpoints, func(e *slots) bool { return !e.owned && e.inFlight == 0 })
}
