// Package membership keeps the seats of the cell: heartbeats, vouches, reclaim
// and handover.
//
// # Why a holder and a reclaimer never both use the units of a seat
//
// The right to start work under a seat comes from a renewal of the seat's record
// or from vouches of a majority of its quorum; both count from before the
// request was sent. A reclaim needs, in this order:
//
//   - a record that the reclaimer saw unchanged for lease and margin, counted from
//     after an answer of the store. A renewal that was confirmed has then expired;
//   - consent of a majority of the quorum named in that record. Each consenting
//     voter has not vouched for the vouch lifetime and margin and never again
//     vouches for this renewal counter or an earlier one. Two majorities of one
//     quorum share a voter, so the holder's majority has expired and stays lost;
//   - a mark on the record by compare-and-swap. A renewal that comes first makes it
//     fail, and a renewal that comes later fails on it;
//   - a wait of the longest maximum run time from the moment the mark was seen.
//     Work that started under the right has then ended;
//   - removal of the seat's entries from the team records, then of its record. Both
//     are compare-and-swap steps that any number of daemons may repeat or race.
//
// A holder whose write has an unknown outcome repeats exactly this write, names
// the last confirmed counter to its voters, and needs a majority of the old and
// the new quorum until the outcome is known. Voters keep their promises in memory: a
// voter that ends never votes again, because its seat ID is not used again, and a
// handover carries its promises. The right is read from the monotonic clock at each
// start and again after the request header was written, so a frozen process finds
// it expired.
//
// A handover moves the seat to one process, named by its incarnation. The leaver
// ends its use before it sends the message, asks no other successor unless this one
// certainly refused, and reports the units that its last work still needs; the
// successor leaves them unused until then, or until lease, margin and maximum run
// time have passed. Between two claims to a seat the one with more handovers counts.
//
// Not covered: an operator's or host list's false statement that a live occupant is
// gone, a maximum run time that was lowered while longer work ran under a daemon
// that the reclaimer's process never saw, and an endpoint that works longer than the
// maximum run time.
package membership

import (
	"samphirestile.example/samphirestile/internal/fleet"
)

// Member is one seat as this daemon sees it.
type Member struct {
	Seat fleet.SeatID `json:"seat"`
	// Daemon is the ID of the occupant from its settings; Incarnation is new at each start.
	Daemon      string                 `json:"daemon"`
	Incarnation string                 `json:"incarnation"`
	PeerAddress string                 `json:"peer_address"`
	Zone        fleet.AvailabilityZone `json:"availability_zone"`
	// Active is false when the occupant has answered no heartbeat for the failure time.
	Active bool `json:"active"`
	// Self is set on the seats of this daemon.
	Self bool `json:"-"`
}

// View is this daemon's opinion on the seats of the cell. It is immutable.
type View struct {
	// Epoch grows by one with each change on this daemon; it is not comparable between daemons.
	Epoch   uint64
	Members []Member
}

// Source gives the current view and the right to start work.
type Source interface {
	View() View
	Subscribe() (changed <-chan struct{}, stop func())
	// StartPermitted reports whether the seats of this daemon may start work now.
	// It reads the monotonic clock on each call.
	StartPermitted() bool
}
