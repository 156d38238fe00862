package allotment

import (
	"cmp"
	"hash/fnv"

	"samphirestile.example/samphirestile/internal/fleet"
)

// reserve returns the number of units that this daemon keeps without demand. All units
// are spread over the active daemons, because none can be transferred while the store is
// unavailable and those of a failed daemon stay locked until its seat is reclaimed.
func (a *Allotments) reserve(id fleet.TeamID, limit int) int {
	n, rank := a.rank(id)
	if n == 0 {
		return 0
	}
	if rank < limit%n {
		return limit/n + 1
	}
	return limit / n
}

// floorFactor limits the units that floors withhold from daemons with queued requests
// to a quarter of the limit.
const floorFactor = 4

// floor returns the number of units that each daemon keeps while peers have queued
// requests and it has none, so that a failed peer cannot hold all units.
func (a *Allotments) floor(id fleet.TeamID, limit int) int {
	if n, _ := a.rank(id); n == 0 || limit < floorFactor*n {
		return 0
	}
	return 1
}

// contestedLimit returns the part of the limit that daemons with demand share: the limit
// minus the floors of the daemons without demand.
func (a *Allotments) contestedLimit(id fleet.TeamID, limit int, peers *peerDemand) int {
	n, _ := a.rank(id)
	idle := n - 1
	for _, d := range peers.demand {
		if d > 0 {
			idle--
		}
	}
	return limit - max(idle, 0)*a.floor(id, limit)
}

// rank returns the number of active daemons and the rank of this daemon among them,
// which differs between teams. If this daemon has no seat it returns 0 daemons.
func (a *Allotments) rank(id fleet.TeamID) (n, rank int) {
	daemons := map[string]bool{}
	self := ""
	for _, m := range a.cfg.Seats.View().Members {
		if m.Active {
			daemons[m.Incarnation] = true
		}
		if m.Self {
			self = m.Incarnation
		}
	}
	if self == "" {
		return 0, 0
	}
	for d := range daemons {
		if rankHash(id, d) < rankHash(id, self) {
			rank++
		}
	}
	return len(daemons), rank
}

func rankHash(id fleet.TeamID, daemon string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	h.Write([]byte{0})
	h.Write([]byte(daemon))
	x := h.Sum64()
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// target returns the number of units that this daemon should have.
func (a *Allotments) target(t *team, d demandState, limit int, peers *peerDemand) int {
	if peers.unmet > 0 {
		contested, floor := a.contestedLimit(t.id, limit, peers), a.floor(t.id, limit)
		share := max(a.share(t, d.demand, contested, peers), floor)
		if share >= d.units {
			return share
		}
		// A returned unit is regained with the next write, about one write interval later, and may be
		// free in the record until then. So units are returned only if the demand was low for that long.
		share = min(d.units, max(a.share(t, d.recent, contested, peers), floor))
		// Hysteresis avoids writes while the demand of daemons varies slightly. It does not apply
		// to units that no request has needed.
		if d.units-share <= share/4 && d.recent >= d.units {
			return d.units
		}
		return share
	}
	retained := max(d.retained, a.reserve(t.id, limit))
	if d.demand > d.units {
		// The headroom avoids writes while demand grows.
		return max(d.demand+d.demand/4, retained)
	}
	if d.units-retained <= retained/4 {
		return max(d.units, retained)
	}
	return retained
}

// share divides the limit over the daemons in proportion to their demand. The units left
// by rounding go to the largest remainders, so that a small limit is allotted where the
// demand is largest.
func (a *Allotments) share(t *team, demand, limit int, peers *peerDemand) int {
	total := demand
	for _, d := range peers.demand {
		total += d
	}
	if total <= limit || demand == 0 {
		return demand
	}
	self := a.self()
	left, rank := limit-limit*demand/total, 0
	for p, d := range peers.demand {
		left -= limit * d / total
		c := cmp.Compare(limit*d%total, limit*demand%total)
		if c > 0 || (c == 0 && rankHash(t.id, p) < rankHash(t.id, self)) {
			rank++
		}
	}
	if rank < left {
		return limit*demand/total + 1
	}
	return limit * demand / total
}

func (a *Allotments) self() string {
	for _, m := range a.cfg.Seats.View().Members {
		if m.Self {
			return m.Incarnation
		}
	}
	return ""
}
