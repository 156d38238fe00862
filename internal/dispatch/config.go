package dispatch

import (
	"time"

	"samphirestile.example/samphirestile/internal/allotment"
	"samphirestile.example/samphirestile/internal/fleet"
)

const (
	// defaultMaxWait bounds the queueing time when neither the request nor its service does.
	defaultMaxWait = 30 * time.Second
	// defaultMaxQueued bounds the memory of a service's queue, at about 1 KB per request.
	defaultMaxQueued = 20_000
	// housekeepingInterval is the period of the tasks that no request triggers: demand
	// reports, slow start, probing and rerouting.
	housekeepingInterval = 50 * time.Millisecond
	// rerouteDelay is the minimum wait before a request is rerouted to another owner. A
	// reroute costs about 2 ms, so a shorter wait is not worth one.
	rerouteDelay = 50 * time.Millisecond
	// noUnitRerouteDelay is how long requests wait for the first allotment unit of their
	// team at an owner without one, while other owners hold units. A unit that can be
	// transferred at once arrives within a heartbeat and two store calls, about 100 ms.
	noUnitRerouteDelay = 200 * time.Millisecond
)

// Config holds the settings and dependencies of a Scheduler.
type Config struct {
	// Limiter enforces the upper limits of teams. It is called with a lock of the scheduler
	// held and must not call the scheduler.
	Limiter allotment.Limiter
	// MaxQueued bounds the queued requests of a service; 0 means 20,000.
	MaxQueued int
	// RemoteFreeUnits returns how many requests of the team other owners of the service
	// could start now. At most that many queued requests of the service are refused with
	// Reroute set in each housekeepingInterval (50 ms). nil disables this rerouting.
	RemoteFreeUnits func(service fleet.ServiceID, team fleet.TeamID) int
	// RemoteUnits returns the units of the team that other owners of the service hold,
	// including those in use. Requests of a team without a unit here are rerouted to them,
	// because transferring units takes a store write that the write budget may not allow
	// before the deadline. nil disables this rerouting.
	RemoteUnits func(service fleet.ServiceID, team fleet.TeamID) int
	// RerouteRefusals sets Reroute on refusals at admission, except for requests with
	// NoReroute. Another owner may have a shorter queue for the team, or free allotment
	// units of the team. During overload most refused requests then visit several owners.
	RerouteRefusals bool
}

func (c Config) withDefaults() Config {
	if c.MaxQueued <= 0 {
		c.MaxQueued = defaultMaxQueued
	}
	return c
}
