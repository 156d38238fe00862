// Package allotment limits the running work of each team. It counts the team's
// running requests on this daemon and keeps the sum over all daemons within the
// team's upper limit. The limit is divided into allotment units: each running request
// uses one unit, and the units are allotted to the seats of the daemons.
//
// # Why the running work of a team cannot exceed its limit
//
// The store has one record for each team, with the units of each seat. Four rules
// keep the running work under each seat within its entry, and the sum of the entries
// within the limit:
//
//   - Only the holder of a seat changes its entry; a reclaimer removes it after the
//     holder's permission and work have ended (package membership). Each write is a
//     compare-and-swap on the whole record, and one that raises an entry keeps the sum
//     within the limit.
//   - The usable count is lowered before a lower entry is written, never below the
//     units in use, and raised only after the write is confirmed.
//   - After a write with an unknown outcome the smaller count applies until the record
//     is read at a later version than the write was based on, or a write of this
//     daemon is confirmed: only then can the unknown write no longer be applied.
//   - Work starts only while the sum in the record and the record's own limit are
//     within the limit in force. The record's limit bounds the raises of daemons that
//     do not have a lowered limit yet, so no work starts until it is lowered there.
//
// A unit is in use until the exchange with the endpoint has ended, even if the seat
// was lost or handed over in the meantime. Imported units that the previous holder
// still uses count as in use.
//
// While the store is unreachable no unit is transferred, and each seat continues with
// its confirmed units. A daemon that receives several revisions at once, of which one
// changed the account of a team, does not know whether one in between raised the limit: it
// starts no work of the team before it has read the record, and without access to the store
// it uses the last record it has read.
package allotment

import "samphirestile.example/samphirestile/internal/fleet"

// Limiter enforces the upper limit of each team.
type Limiter interface {
	// TryAcquire acquires one unit of the team's allotment for one request. release must
	// be called exactly once, when the exchange with the endpoint has ended.
	TryAcquire(team fleet.TeamID) (release func(), ok bool)
	// SendPermitted reports whether requests of the team that hold a unit may still be sent.
	// It is called right after the request header was written to an endpoint.
	SendPermitted(team fleet.TeamID) bool
	// SetDemand sets the number of the team's requests that are queued on this daemon.
	SetDemand(team fleet.TeamID, queued int)
	// Usage returns the team's running requests and allotment units on this daemon.
	Usage(team fleet.TeamID) (running, units int)
	// Subscribe returns a channel that receives a value when a unit may have become free.
	Subscribe() (changed <-chan struct{}, stop func())
}
