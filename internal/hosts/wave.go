package hosts

import (
	"math"
	"sort"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/monotonic"
)

// Wave is a request to have hosts maintained.
type Wave struct {
	Number int64
	Hosts  []fleet.HostID
	Within time.Duration
	// AtOnce is how many of the hosts may be down for the wave at the same time.
	AtOnce int
}

// hostProgress is what the holder knows of one host of a wave.
type hostProgress struct {
	// ordered is when the upkeep was last ordered; 0 means never.
	ordered monotonic.Time
	// announced is set while only the former holder knows whether it was ordered.
	announced bool
	// accepted is set once the order was answered with success.
	accepted bool
	// returned is set once the host was seen up after its upkeep.
	returned bool
	// gone hosts are no longer listed.
	missingSince monotonic.Time
	gone         bool
}

func (p *hostProgress) begun() bool { return p.accepted || p.gone }

// down reports whether the host is, or may be, down for its upkeep.
func (p *hostProgress) down() bool { return p.ordered != 0 && !p.returned && !p.gone }

const (
	// emptyAhead is how many hosts beyond those that may go down are emptied in
	// advance, so that the next one is ready when a place comes free.
	emptyAhead = 2
	// lateShare is the part of a wave's time after which pools that lack hosts
	// have to give theirs as well.
	lateShare = 0.5
	// emptyTime is how long a host takes to be emptied: a lasting task is stopped and
	// starts elsewhere, and a short one ends.
	emptyTime = time.Second
)

// pace is what a wave's time tells of how many hosts must go at once.
type pace struct {
	// late is set in the last part of the wave's time, of which so much is left.
	late bool
	left time.Duration
	// each is how long one host takes.
	each time.Duration
}

// atOnce returns how many of so many hosts must go at once so that all go in time.
func (p pace) atOnce(hosts int) int {
	if !p.late {
		return 0
	}
	if p.left <= p.each {
		return hosts
	}
	return int(math.Ceil(float64(hosts) * float64(p.each) / float64(p.left)))
}

// poolRoom tells how many of a pool's hosts may be emptied or down at once; due are
// those that have not gone yet.
func poolRoom(surplus, due int, p pace) int { return max(0, surplus+1, p.atOnce(due)) }

// nextHosts returns the hosts to empty now, in order. surplus tells by pool how
// many hosts it has beyond what it wants; spare pools are not listed there.
//
// Load pattern: half of all hosts are due within half a minute, a few at once,
// beside queues that fill their pools in turns. Hosts that are off go first,
// then those of pools that have more than they want. A pool in its turn is left
// alone in the first half of the wave's time, and gives its hosts evenly in the second.
func nextHosts(w Wave, progress map[fleet.HostID]*hostProgress, listed map[fleet.HostID]Host, surplus map[fleet.ServiceID]int, p pace) []Host {
	down := 0
	busy, due := map[fleet.ServiceID]int{}, map[fleet.ServiceID]int{}
	var candidates []Host
	for _, id := range w.Hosts {
		host := progress[id]
		h, ok := listed[id]
		if host.down() {
			down++
			busy[h.Pool]++
			continue
		}
		if ok && !host.begun() && h.State == Up {
			candidates = append(candidates, h)
			due[h.Pool]++
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool {
		a, inPool := surplus[candidates[i].Pool]
		b, otherInPool := surplus[candidates[j].Pool]
		if inPool != otherInPool {
			return !inPool
		}
		return a > b
	})
	var next []Host
	for _, h := range candidates {
		if len(next) >= w.AtOnce-down+emptyAhead {
			break
		}
		if s, inPool := surplus[h.Pool]; inPool && busy[h.Pool] >= poolRoom(s, due[h.Pool], p) {
			continue
		}
		busy[h.Pool]++
		next = append(next, h)
	}
	return next
}

// downHosts counts the hosts of a wave that are, or may be, down for it.
func downHosts(progress map[fleet.HostID]*hostProgress) int {
	down := 0
	for _, p := range progress {
		if p.down() {
			down++
		}
	}
	return down
}

// completed reports whether every host of the wave that stays has begun its upkeep.
func completed(w Wave, progress map[fleet.HostID]*hostProgress) bool {
	for _, id := range w.Hosts {
		if !progress[id].begun() {
			return false
		}
	}
	return true
}
