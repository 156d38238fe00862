package daemon

import (
	"context"
	"slices"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/forward"
	"samphirestile.example/samphirestile/internal/membership"
	"samphirestile.example/samphirestile/internal/ownership"
	"samphirestile.example/samphirestile/internal/peerapi/oas"
)

// memberUnits returns the allotment units of a team at a member, from this daemon's
// own count or the last heartbeat. A peer that reported rows, but none for the team,
// holds no units; known is false if it has reported no rows.
func (d *Daemon) memberUnits(m membership.Member, team fleet.TeamID) (units int, known bool) {
	if m.Self {
		_, units = d.allotments.Usage(team)
		return units, true
	}
	row, known := d.teamRow(m.Incarnation, team)
	return row.Units, known
}

// localTeamLoad returns the load of a team on this daemon.
func (d *Daemon) localTeamLoad(team fleet.TeamID) forward.TeamLoad {
	running, units := d.allotments.Usage(team)
	return forward.TeamLoad{Units: units, Load: running + d.allotments.Queued(team)}
}

// teamRows holds the last row of each team from each peer, by incarnation. It is
// immutable and replaced as a whole, so that requests read it without a lock.
type teamRows map[string]map[fleet.TeamID]oas.TeamRow

// trackTeamRows keeps the team rows up to date.
func (d *Daemon) trackTeamRows(ctx context.Context) {
	changed, stop := d.membership.SubscribeRows()
	defer stop()
	for {
		rows := teamRows{}
		for _, peer := range d.membership.PeerTeamRows() {
			byTeam := make(map[fleet.TeamID]oas.TeamRow, len(peer.Rows))
			for _, row := range peer.Rows {
				byTeam[fleet.TeamID(row.Team)] = row
			}
			rows[peer.Incarnation] = byTeam
		}
		d.rows.Store(&rows)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// teamRow returns the last row of a team from a peer. known is false if the peer has
// reported no rows.
func (d *Daemon) teamRow(incarnation string, team fleet.TeamID) (row oas.TeamRow, known bool) {
	rows := d.rows.Load()
	if rows == nil {
		return oas.TeamRow{}, false
	}
	byTeam := (*rows)[incarnation]
	return byTeam[team], len(byTeam) > 0
}

// remoteFreeUnits estimates how many requests of the team the other owners of the
// service could start now: units that neither run a request nor are needed by
// requests queued there. The rows are as old as the last heartbeat.
func (d *Daemon) remoteFreeUnits(service fleet.ServiceID, team fleet.TeamID) int {
	free := 0
	for _, m := range d.otherOwners(service) {
		row, _ := d.teamRow(m.Incarnation, team)
		free += max(0, row.Units-row.Running-row.Queued)
	}
	return free
}

// remoteUnits returns the units of the team at other owners of the service. It also
// considers the team's stored record, which is newer than the first heartbeats after a
// start.
func (d *Daemon) remoteUnits(service fleet.ServiceID, team fleet.TeamID) int {
	units := 0
	holders := d.allotments.Holders(team)
	for _, m := range d.otherOwners(service) {
		row, _ := d.teamRow(m.Incarnation, team)
		units += max(row.Units, holders[m.Seat])
	}
	return units
}

// otherOwners returns the active daemons, except this one, that own endpoints of the service.
func (d *Daemon) otherOwners(service fleet.ServiceID) []membership.Member {
	snapshot := d.config.Current()
	if snapshot == nil {
		return nil
	}
	view := d.membership.View()
	owners := map[fleet.SeatID]bool{}
	for id, seat := range ownership.Assign(snapshot.Endpoints, view.Members) {
		if snapshot.Endpoints[id].Service == service {
			owners[seat] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(view.Members), func(m membership.Member) bool {
		return m.Self || !m.Active || !owners[m.Seat]
	})
}
