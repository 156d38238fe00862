// Package membership keeps the seats of the cell: heartbeats, vouches, reclaim
// and hand-over.
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
	// RightValid reports whether the seats of this daemon may start work now.
	// It reads the monotonic clock on each call.
	RightValid() bool
}
