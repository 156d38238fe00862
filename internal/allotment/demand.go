package allotment

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/peerapi/oas"
)

// peerDemand aggregates the rows that peers reported for one team.
type peerDemand struct {
	// demand holds the running and queued requests of each peer, by incarnation; unmet
	// counts those in excess of the peer's units, over all peers.
	demand map[string]int
	unmet  int
	// units is the sum of the peers' units; held maps the incarnation of each peer that
	// holds units to their number.
	units int
	held  map[string]int
	// spare lists the incarnations of the peers with unused units.
	spare []string
}

// byUrgency returns all teams: those whose record permits no new work first, then those
// with requests that wait for a unit.
func (a *Allotments) byUrgency() []fleet.TeamID {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c := a.cfg.Config.Current(); c != nil {
		for id := range c.Teams {
			a.team(id)
		}
	}
	ids := make([]fleet.TeamID, 0, len(a.teams))
	class := map[fleet.TeamID]int{}
	for id, t := range a.teams {
		ids = append(ids, id)
		switch {
		case t.record != nil && !a.withinLimit(t):
			class[id] = 0
		case t.queued > 0 || t.acquireFailed:
			class[id] = 1
		default:
			class[id] = 2
		}
	}
	slices.SortFunc(ids, func(x, y fleet.TeamID) int {
		return cmp.Or(class[x]-class[y], cmp.Compare(x, y))
	})
	return ids
}

// peerDemands aggregates the peers' rows by team. It runs once for all teams, because a
// large cell has many rows.
func (a *Allotments) peerDemands() map[fleet.TeamID]*peerDemand {
	out := map[fleet.TeamID]*peerDemand{}
	for _, p := range a.cfg.Seats.PeerTeamRows() {
		if !p.Active || p.Leaving {
			continue
		}
		for _, r := range p.Rows {
			d := out[fleet.TeamID(r.Team)]
			if d == nil {
				d = &peerDemand{demand: map[string]int{}, held: map[string]int{}}
				out[fleet.TeamID(r.Team)] = d
			}
			d.add(p.Incarnation, r)
		}
	}
	return out
}

func (d *peerDemand) add(peer string, r oas.TeamRow) {
	d.demand[peer] = r.Running + r.Queued
	d.units += r.Units
	d.unmet += max(0, r.Running+r.Queued-r.Units)
	if r.Units > 0 {
		d.held[peer] = r.Units
	}
	if r.Units > r.Running+r.Queued {
		d.spare = append(d.spare, peer)
	}
}

// holders lists the incarnations of the peers that hold units, the largest holder first.
func (d *peerDemand) holders() []string {
	return slices.SortedFunc(maps.Keys(d.held), func(x, y string) int {
		return cmp.Or(d.held[y]-d.held[x], cmp.Compare(x, y))
	})
}

// demandState is the team's demand and units on this daemon.
type demandState struct {
	units, inUse, demand int
	// recent is the largest demand of the last one to two write intervals, retained that of the
	// last one to two IdleTimes.
	recent, retained int
}

// recentPeak is the largest value of the current and of the preceding period.
type recentPeak struct {
	current, last int
	since         time.Time
}

// add adds a value and returns the peak. A period lasts at least as long as given.
func (p *recentPeak) add(n int, now time.Time, period time.Duration) int {
	if now.Sub(p.since) >= period {
		p.last, p.current, p.since = p.current, 0, now
	}
	p.current = max(p.current, n)
	return max(p.current, p.last)
}

// demand returns the team's demand on this daemon and records it for the peaks.
func (a *Allotments) demand(t *team, held []fleet.SeatID, now time.Time) demandState {
	var d demandState
	for _, s := range held {
		if t.record.Holders[s] > 0 {
			// Tracking an entry without local units lets the planner return it to the record.
			t.seat(s)
		}
		if u := t.seats[s]; u != nil && !u.exported {
			d.units += u.units
			d.inUse += u.inUse(now)
		}
	}
	d.demand = d.inUse + t.queued
	if t.acquireFailed && t.queued == 0 {
		d.demand++
	}
	t.acquireFailed = false
	d.recent = t.writePeak.add(d.demand, now, a.cfg.WriteInterval)
	d.retained = t.idlePeak.add(d.demand, now, a.cfg.IdleTime)
	return d
}
