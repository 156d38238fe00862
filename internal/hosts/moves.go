package hosts

import (
	"math"
	"sort"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/worker"
)

// Demand is what the owner of a pool's shard says of it.
type Demand struct {
	// Wanted is how many hosts the pool needs.
	Wanted int
	// Settling is set while the pool's owner is new: it does not know what arrived before it.
	Settling bool
	// Releasable lists workers in the order in which they are given up most easily.
	Releasable []worker.ID
}

// pool is one pool at the time of a plan.
type pool struct {
	name  fleet.ServiceID
	spare bool
	// known is false while the pool's owner does not answer; wanted is then what it
	// said last, or 0.
	known  bool
	wanted int
	// needed is wanted without the hosts that every pool keeps for the begin of its turn.
	needed int
	// hosts are up in the pool; incoming are on their way to it.
	hosts    []Host
	incoming int
	// lendWanted and restWanted are the most that the pool wanted during
	// lendAfter and restAfter.
	lendWanted, restWanted int
	// keep is set while nobody knows what the pool needs: it stays as it is.
	keep       bool
	releasable []worker.ID
}

func (p *pool) size() int { return len(p.hosts) + p.incoming }

// Move sends a host to another pool.
type Move struct {
	Host fleet.HostID
	To   fleet.ServiceID
	// Wanted is what decided: the hosts that the receiving pool wants, or the most
	// that the pool wanted of late whose host is switched off.
	Wanted int
}

const (
	// lendAfter is how long a pool must not have wanted hosts before another pool
	// that lacks them gets them.
	lendAfter = 400 * time.Millisecond
	// restAfter is the same before hosts are switched off. A switched-off host
	// takes as long to come back.
	restAfter = 2 * time.Second
	// movesShare of all hosts may be on their way at the same time, so that a wrong
	// reading of demand does not empty a pool.
	movesShare = 0.25
)

// movesAtOnce returns how many of all hosts may be on their way.
//
// Load pattern: a turn asks for two thirds of all hosts in one pool. A move takes
// two seconds and a turn some eight, whatever the number of hosts.
func movesAtOnce(hosts int) int { return int(math.Ceil(movesShare * float64(hosts))) }

// planMoves returns the moves to begin now.
//
// Load pattern: the demand of one pool after the other rises to more than it
// holds for some seconds. Hosts that are off come first, because they are free
// at once; then those of pools whose turn is over. What nobody needs is
// switched off after a while. Within a turn large jobs come in lumps, and a pool
// that follows each dip gives up the hosts that the next lump needs.
func planMoves(pools []*pool, atOnce int, movable func(Host) bool) []Move {
	var moves []Move
	underWay := 0
	for _, p := range pools {
		underWay += p.incoming
	}
	receivers := append([]*pool(nil), pools...)
	sort.SliceStable(receivers, func(i, j int) bool { return receivers[i].shortage() > receivers[j].shortage() })
	for _, to := range receivers {
		for to.shortage() > 0 && underWay < atOnce {
			h, from := donor(pools, to, movable)
			if from == nil {
				break
			}
			from.give(h)
			to.incoming++
			underWay++
			moves = append(moves, Move{h.ID, to.name, to.wanted})
		}
	}
	rest := spareOf(pools)
	if rest == nil {
		return moves
	}
	for _, from := range pools {
		for from.beyond(from.restWanted) > 0 && underWay < atOnce {
			h, ok := from.easiest(movable)
			if !ok {
				break
			}
			from.give(h)
			underWay++
			moves = append(moves, Move{h.ID, rest.name, from.restWanted})
		}
	}
	return moves
}

func spareOf(pools []*pool) *pool {
	for _, p := range pools {
		if p.spare {
			return p
		}
	}
	return nil
}

// shortage is how many hosts the pool lacks. A pool that changes its owner in its
// turn goes on needing what it needed.
func (p *pool) shortage() int {
	if p.spare || p.wanted == 0 {
		return 0
	}
	return p.wanted - p.size()
}

func (p *pool) surplus() int { return p.beyond(p.wanted) }

// forUpkeep returns how many hosts may be down for their upkeep at once.
//
// Load pattern: half of all hosts are due while the turns go round. A pool that
// waits for its turn has no work for the hosts that it keeps, so their upkeep
// costs nothing there; half of them stay for a turn that begins meanwhile.
func (p *pool) forUpkeep() int {
	return max(p.surplus(), min(p.beyond(p.needed), len(p.hosts)/2))
}

// beyond returns how many hosts the pool has above a number.
func (p *pool) beyond(wanted int) int {
	if p.spare || !p.known {
		return 0
	}
	return len(p.hosts) - wanted
}

// donor returns a host for another pool, first one that is off.
func donor(pools []*pool, to *pool, movable func(Host) bool) (Host, *pool) {
	if rest := spareOf(pools); rest != nil {
		for _, h := range rest.hosts {
			if movable(h) {
				return h, rest
			}
		}
	}
	var best *pool
	for _, p := range pools {
		if p != to && p.beyond(p.lendWanted) > 0 && (best == nil || p.surplus() > best.surplus()) {
			if _, ok := p.easiest(movable); ok {
				best = p
			}
		}
	}
	if best == nil {
		return Host{}, nil
	}
	h, _ := best.easiest(movable)
	return h, best
}

// easiest returns the host that the pool gives up most easily.
func (p *pool) easiest(movable func(Host) bool) (Host, bool) {
	for _, id := range p.releasable {
		for _, h := range p.hosts {
			if h.Worker == id && movable(h) {
				return h, true
			}
		}
	}
	return Host{}, false
}

func (p *pool) give(h Host) {
	for i := range p.hosts {
		if p.hosts[i].ID == h.ID {
			p.hosts = append(p.hosts[:i:i], p.hosts[i+1:]...)
			return
		}
	}
}
