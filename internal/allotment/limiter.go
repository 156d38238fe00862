// Package allotment counts the running work of each team on this daemon and
// keeps the sum over all daemons within the team's upper limit.
//
// # Why the running work of a team cannot pass its limit
//
// The store has one record for each team with the units of each seat. Four rules
// make the running work of each seat at most its entry, and the entries at most the limit:
//
//   - Only the occupant of a seat changes its entry; a reclaimer removes it after the
//     occupant's right and work have ended (package membership). Each write is a
//     compare-and-swap on the whole record, and one that raises an entry keeps the sum
//     within the limit.
//   - The usable count is lowered before a lower entry is written, never below the
//     units in use, and raised only after the write was confirmed.
//   - After a write with an unknown outcome the smaller number counts until the record
//     is read at a later version than the write was based on, or a write of this
//     daemon is confirmed: only then can the unknown write no longer apply.
//   - Work starts only while the sum in the record and the record's own limit are
//     within the limit in force. The record's limit bounds the raises of daemons that
//     do not know a lowered limit yet, so a start waits until it was lowered there.
//
// A unit is in use until the exchange with the endpoint has ended, also when the
// seat was lost or handed over meanwhile. Imported units that the earlier holder
// still uses count as in use.
//
// While the store cannot be reached nothing moves, and each seat goes on with its
// confirmed units. A daemon that learns of several revisions at once without the
// store cannot know whether one in between raised the limit; it uses the last
// record it has read.
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
