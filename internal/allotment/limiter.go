// Package allotment counts the running work of each team on this daemon and
// keeps the sum over all daemons within the team's upper limit.
package allotment

import "samphirestile.example/samphirestile/internal/fleet"

// Limiter guards the upper limit of each team.
type Limiter interface {
	// TryAcquire takes one unit of the team's allotment for one request. release
	// must be called exactly once, when the exchange with the endpoint has ended.
	TryAcquire(team fleet.TeamID) (release func(), ok bool)
	// StillValid reports whether work of the team may be started now; it is asked
	// again right after the request header was written to an endpoint.
	StillValid(team fleet.TeamID) bool
	// SetDemand tells how many requests of the team are queued on this daemon.
	SetDemand(team fleet.TeamID, queued int)
	// Usage returns running requests and units of the team on this daemon.
	Usage(team fleet.TeamID) (running, units int)
	// Subscribe returns a channel that receives a value when a unit may have become free.
	Subscribe() (changed <-chan struct{}, stop func())
}
