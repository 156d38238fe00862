package queries

import (
	"context"

	"samphirestile.example/samphirestile/internal/operatorapi/oas"
)

// ListDaemons returns the seats and their occupants in this daemon's view.
func (q *Queries) ListDaemons(context.Context) ([]oas.DaemonInfo, error) {
	members := q.View.View().Members
	infos := make([]oas.DaemonInfo, len(members))
	for i, m := range members {
		infos[i] = oas.DaemonInfo{
			Seat: string(m.Seat), Daemon: m.Daemon, Incarnation: m.Incarnation, PeerAddress: m.PeerAddress,
			AvailabilityZone: string(m.Zone), Active: m.Active, Self: m.Self,
		}
	}
	return infos, nil
}
