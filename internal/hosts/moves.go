package hosts

import (
	"math"
	"sort"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/worker"
)

// Demand is the demand of a pool as reported by the owner of its shard.
type Demand struct {
	// Wanted is how many hosts the pool needs.
	Wanted int
	// Settling is set while the pool's owner is new and has not observed the arrivals
	// before its takeover.
	Settling bool
	// Releasable lists workers in increasing order of the cost of releasing them.
	Releasable []worker.ID
}

// pool is the state of one pool when moves are planned.
type pool struct {
	name  fleet.ServiceID
	spare bool
	// known is false while the pool's owner does not respond; wanted is then its last
	// reported number, or 0.
	known  bool
	wanted int
	// needed is wanted without the minimum that every pool keeps for the start of a
	// demand peak.
	needed int
	// hosts are up in the pool or just arriving; incoming counts those in maintenance and
	// those whose move to the pool is planned or commanded.
	hosts    []Host
	incoming int
	// reassignPeak and switchOffPeak are the most hosts that the pool wanted during the
	// last reassignDelay and switchOffDelay.
	reassignPeak, switchOffPeak int
	// keepSize is set while the pool's demand is unknown, so that its size does not change.
	keepSize   bool
	releasable []worker.ID
}

func (p *pool) size() int { return len(p.hosts) + p.incoming }

// Move transfers a host to another pool.
type Move struct {
	Host fleet.HostID
	To   fleet.ServiceID
	// Wanted is the number that caused the move: the hosts that the receiving pool
	// wants or, if the host is switched off, the recent peak of the pool it leaves.
	Wanted int
}

const (
	// reassignDelay is how long a pool must have had surplus hosts before they are moved to
	// a pool that lacks hosts.
	reassignDelay = 400 * time.Millisecond
	// switchOffDelay is how long a pool must have had surplus hosts before they are
	// switched off. Switching a host on again takes as long.
	switchOffDelay = 2 * time.Second
	// maxMovingShare is the share of all hosts that may be moving at the same time, so
	// that a wrong measurement of demand does not empty a pool.
	maxMovingShare = 0.25
)

// maxConcurrentMoves returns how many hosts may be moving at the same time.
//
// Load pattern: a demand peak needs two thirds of all hosts in one pool. A move takes
// two seconds and a peak lasts about eight, independent of the number of hosts.
func maxConcurrentMoves(hosts int) int { return int(math.Ceil(maxMovingShare * float64(hosts))) }

// planMoves returns the moves to start now.
//
// Load pattern: the demand of one pool after the other exceeds its capacity for some
// seconds. Hosts that are switched off are moved first, because they need no draining,
// then those of pools whose demand peak is over. Hosts that no pool needs are switched
// off after switchOffDelay. Within a peak large jobs arrive in batches; a pool that
// followed each dip would release the hosts that the next batch needs.
func planMoves(pools []*pool, maxMoving int, movable func(Host) bool) []Move {
	var moves []Move
	moving := 0
	for _, p := range pools {
		moving += p.incoming
	}
	receivers := append([]*pool(nil), pools...)
	sort.SliceStable(receivers, func(i, j int) bool { return receivers[i].shortage() > receivers[j].shortage() })
	for _, to := range receivers {
		for to.shortage() > 0 && moving < maxMoving {
			h, from := donor(pools, to, movable)
			if from == nil {
				break
			}
			from.remove(h)
			to.incoming++
			moving++
			moves = append(moves, Move{h.ID, to.name, to.wanted})
		}
	}
	spare := sparePool(pools)
	if spare == nil {
		return moves
	}
	for _, from := range pools {
		for from.excessOver(from.switchOffPeak) > 0 && moving < maxMoving {
			h, ok := from.cheapestReleasable(movable)
			if !ok {
				break
			}
			from.remove(h)
			moving++
			moves = append(moves, Move{h.ID, spare.name, from.switchOffPeak})
		}
	}
	return moves
}

func sparePool(pools []*pool) *pool {
	for _, p := range pools {
		if p.spare {
			return p
		}
	}
	return nil
}

// shortage returns how many hosts the pool lacks. If its owner changes during a demand
// peak, the last reported demand still counts.
func (p *pool) shortage() int {
	if p.spare || p.wanted == 0 {
		return 0
	}
	return p.wanted - p.size()
}

func (p *pool) surplus() int { return p.excessOver(p.wanted) }

// maxInMaintenance returns how many hosts of the pool may be down for maintenance at
// the same time.
//
// Load pattern: half of all hosts are due for maintenance while demand peaks move from
// pool to pool. Between its peaks a pool has no work for the hosts that it keeps, so
// their maintenance costs nothing; half of them stay up for a peak that starts
// meanwhile.
func (p *pool) maxInMaintenance() int {
	return max(p.surplus(), min(p.excessOver(p.needed), len(p.hosts)/2))
}

// excessOver returns how many hosts the pool has beyond the wanted number.
func (p *pool) excessOver(wanted int) int {
	if p.spare || !p.known {
		return 0
	}
	return len(p.hosts) - wanted
}

// donor returns a host for another pool and the pool it comes from, preferring hosts
// that are switched off.
func donor(pools []*pool, to *pool, movable func(Host) bool) (Host, *pool) {
	if spare := sparePool(pools); spare != nil {
		for _, h := range spare.hosts {
			if movable(h) {
				return h, spare
			}
		}
	}
	var best *pool
	for _, p := range pools {
		if p != to && p.excessOver(p.reassignPeak) > 0 && (best == nil || p.surplus() > best.surplus()) {
			if _, ok := p.cheapestReleasable(movable); ok {
				best = p
			}
		}
	}
	if best == nil {
		return Host{}, nil
	}
	h, _ := best.cheapestReleasable(movable)
	return h, best
}

// cheapestReleasable returns the movable host that is the cheapest to release.
func (p *pool) cheapestReleasable(movable func(Host) bool) (Host, bool) {
	for _, id := range p.releasable {
		for _, h := range p.hosts {
			if h.Worker == id && movable(h) {
				return h, true
			}
		}
	}
	return Host{}, false
}

func (p *pool) remove(h Host) {
	for i := range p.hosts {
		if p.hosts[i].ID == h.ID {
			p.hosts = append(p.hosts[:i:i], p.hosts[i+1:]...)
			return
		}
	}
}
