// Package membership maintains the seats of the cell: heartbeats, leases granted by
// voting members (vouches), reclaim and handover.
//
// # Why a holder and a reclaimer never both use the units of a seat
//
// The permission to start work under a seat comes from a renewal of the seat's record
// or from vouches of a majority of its quorum. Both count from before the request was
// sent. A reclaim requires, in this order:
//
//   - a record that the reclaimer observed unchanged for lease and margin, counted from
//     after a reply of the store. A renewal that was confirmed has then expired;
//   - consent of a majority of the quorum named in that record. Each consenting
//     voter has not vouched for the vouch lifetime and margin, and never again
//     vouches for this renewal counter or an earlier one. Two majorities of one
//     quorum share a voter, so the holder's majority has expired and cannot be regained;
//   - a mark on the record, written by compare-and-swap. A renewal that precedes it makes
//     it fail, and a renewal that follows it fails;
//   - a wait of the longest maximum run time from the moment the mark was observed.
//     Work that started with the permission has then ended;
//   - removal of the seat's entries from the team records, then of its record. Both
//     are compare-and-swap steps that any number of daemons may repeat or race.
//
// A holder whose write has an unknown outcome repeats exactly this write, reports
// the last confirmed counter to its voters, and needs a majority of the old and
// the new quorum until the outcome is known. Voters keep their promises in memory: a
// voter that stops never votes again, because its seat ID is not reused, and a
// handover transfers its promises. The permission is checked against the monotonic
// clock at each start and again after the request header was written, so a paused
// process finds it expired.
//
// A handover transfers the seat to one process, identified by its incarnation. The
// leaving daemon stops using the seat before it sends the message, contacts no other
// successor unless this one has certainly refused, and reports the units that its
// remaining work still occupies. The successor leaves them unused until they are
// reported free, or until lease, margin and maximum run time have passed. Of two
// daemons that both report a seat, the one that reports more handovers of it is its occupant.
//
// Not covered: a false statement by an operator or the host list that a live occupant is
// gone, a maximum run time that was lowered while longer work ran under a daemon
// that the reclaimer's process never observed, and an endpoint that works longer than
// the maximum run time.
package membership

import (
	"samphirestile.example/samphirestile/internal/fleet"
)

// Member is one seat in the view of this daemon.
type Member struct {
	Seat fleet.SeatID `json:"seat"`
	// Daemon is the configured ID of the occupant; Incarnation changes at each start.
	Daemon      string                 `json:"daemon"`
	Incarnation string                 `json:"incarnation"`
	PeerAddress string                 `json:"peer_address"`
	Zone        fleet.AvailabilityZone `json:"availability_zone"`
	// Active is false when the occupant has replied to no heartbeat for the failure time.
	Active bool `json:"active"`
	// Self is set on the seats of this daemon.
	Self bool `json:"-"`
}

// View is this daemon's view of the seats of the cell. It is immutable.
type View struct {
	// Epoch increases by one with each change on this daemon; it is not comparable between daemons.
	Epoch   uint64
	Members []Member
}

// Source provides the current view and the permission to start work.
type Source interface {
	View() View
	Subscribe() (changed <-chan struct{}, stop func())
	// StartPermitted reports whether any seat of this daemon may start work now.
	// It reads the monotonic clock on each call.
	StartPermitted() bool
}
