package dispatch

import (
	"time"

	"samphirestile.example/samphirestile/internal/allotment"
	"samphirestile.example/samphirestile/internal/fleet"
)

const (
	// defaultMaxWait bounds the queueing time when neither the request nor its service does.
	defaultMaxWait = 30 * time.Second
	// defaultMaxQueued bounds the memory of a service's queue, at about 1 KB a request.
	defaultMaxQueued = 20_000
	// housekeepingInterval is the period of the tasks that no request triggers:
	// demand reports, slow start, probing and rerouting.
	housekeepingInterval = 50 * time.Millisecond
	// rerouteDelay is the shortest wait before a request is sent to another
	// owner; a reroute costs about 2 ms, so it must promise more than that.
	rerouteDelay = 50 * time.Millisecond
	// noUnitRerouteDelay is how long requests wait for the first unit of their team
	// at an owner without one, while other owners hold units. A unit that can be moved
	// at once arrives within a heartbeat and two calls to the store, about 100 ms.
	noUnitRerouteDelay = 200 * time.Millisecond
)

// Config is what a Scheduler needs from its surroundings.
type Config struct {
	// Limiter guards the upper limits of teams. It is called under a lock of the
	// scheduler and must not call the scheduler.
	Limiter allotment.Limiter
	// MaxQueued bounds the queued requests of a service; 0 means 20,000.
	MaxQueued int
	// RemoteFreeUnits returns how many requests of the team other owners of the
	// service could start now. At most that many queued requests of the service are
	// refused with Reroute set, twenty times a second. nil disables rerouting.
	RemoteFreeUnits func(service fleet.ServiceID, team fleet.TeamID) int
	// RemoteUnits returns the units of the team that other owners of the service
	// hold, also those in use. Requests of a team without a unit here are sent there,
	// because moving units takes a write that the budget of the store may not allow
	// before the deadline. nil keeps them.
	RemoteUnits func(service fleet.ServiceID, team fleet.TeamID) int
	// RerouteRefusals sets Reroute on the refusals of admission, except for requests
	// with NoReroute. Another owner may have a smaller queue of the team, or units
	// of its limit. In overload most refused requests then visit several owners.
	RerouteRefusals bool
}

func (c Config) withDefaults() Config {
	if c.MaxQueued <= 0 {
		c.MaxQueued = defaultMaxQueued
	}
	return c
}
