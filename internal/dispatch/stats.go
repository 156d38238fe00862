package dispatch

import (
	"samphirestile.example/samphirestile/internal/endpoint"
	"samphirestile.example/samphirestile/internal/fleet"
)

// Stats is the state of all services for metrics.
type Stats map[fleet.ServiceID]ServiceStats

// ServiceStats is the state of one service.
type ServiceStats struct {
	Load
	// Avoiding counts the queued requests that avoid an endpoint.
	Avoiding int
	// MeanSlotSeconds is the mean time that a request occupies a slot.
	MeanSlotSeconds float64
	Teams           map[fleet.TeamID]TeamStats
	Endpoints       map[fleet.EndpointID]EndpointStats
}

// TeamStats is the state of one team in a service. Granted and Refused are totals since
// the start of the daemon.
type TeamStats struct {
	Queued, Running  int
	Granted, Refused uint64
	// ChargedSeconds is the slot time charged for fair sharing.
	ChargedSeconds float64
}

// EndpointStats is the state of one endpoint.
type EndpointStats struct {
	Declared, Limit        int
	InFlight, PenaltySlots int
	State                  endpoint.State
}

// Stats returns the state of all services.
func (s *Scheduler) Stats() Stats {
	all := Stats{}
	for id, q := range s.queuesByID() {
		all[id] = q.stats()
	}
	return all
}

func (s *serviceQueue) stats() ServiceStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := ServiceStats{
		MeanSlotSeconds: s.meanSlotTime.Value(),
		Teams:           map[fleet.TeamID]TeamStats{},
		Endpoints:       map[fleet.EndpointID]EndpointStats{},
	}
	r.Slots, r.Running = s.capacity()
	r.Queued = s.queued
	for id, t := range s.teams {
		r.Avoiding += t.counts[urgentAvoiding] + t.counts[normalAvoiding]
		r.Teams[id] = TeamStats{
			Queued: t.queued, Running: t.running, Granted: t.granted, Refused: t.refused, ChargedSeconds: t.slotSeconds,
		}
	}
	for _, e := range s.endpoints {
		r.Endpoints[e.ID] = EndpointStats{Declared: e.Slots, Limit: e.limit(), InFlight: e.inFlight, PenaltySlots: e.penaltySlots, State: e.tracker.State()}
	}
	return r
}
