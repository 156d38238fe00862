package hosts

import (
	"math"
	"sort"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/monotonic"
)

// Wave is a request for maintenance of a set of hosts.
type Wave struct {
	Number int64
	Hosts  []fleet.HostID
	Within time.Duration
	// AtOnce is the maximum number of hosts that may be down for the wave at the same time.
	AtOnce int
}

// hostProgress is the progress of one host of a wave as observed by the holder.
type hostProgress struct {
	// commandedAt is when the maintenance command was last sent; 0 means never.
	commandedAt monotonic.Time
	// announced is set if a previous holder recorded that it was about to send the
	// command, so that it is unknown whether it did.
	announced bool
	// accepted is set once the platform has accepted the command.
	accepted bool
	// returned is set once the host was observed up after its maintenance.
	returned bool
	// missingSince is since when the host is not listed. gone is set if it counts as removed.
	missingSince monotonic.Time
	gone         bool
	// notInWave is set once the platform has refused the host as one that is not in the wave. Unlike
	// gone it stays set while the host is listed.
	notInWave bool
}

func (p *hostProgress) begun() bool { return p.accepted || p.gone || p.notInWave }

// down reports whether the host is, or may be, down for maintenance.
func (p *hostProgress) down() bool { return p.commandedAt != 0 && !p.returned && !p.gone }

const (
	// drainAhead is how many hosts beyond those that may go down are drained in
	// advance, so that one is ready as soon as another host returns.
	drainAhead = 2
	// lateShare is the share of a wave's time after which hosts of pools that lack
	// hosts are maintained as well.
	lateShare = 0.5
	// drainTime is the expected time to drain a host: tasks that can continue elsewhere are stopped, other short
	// ones complete.
	drainTime = time.Second
	// PatientDrainTime is the expected time where all tasks complete that end soon.
	PatientDrainTime = 3 * time.Second
)

// timeBudget determines how many hosts must be down at the same time for the wave to
// be completed in time.
type timeBudget struct {
	// late is set in the last part of the wave's time; remaining is the time left.
	late      bool
	remaining time.Duration
	// perHost is the time that one host takes.
	perHost time.Duration
}

// minConcurrent returns how many of the hosts must be handled at the same time so that
// all of them are handled in time.
func (b timeBudget) minConcurrent(hosts int) int {
	if !b.late {
		return 0
	}
	if b.remaining <= b.perHost {
		return hosts
	}
	return int(math.Ceil(float64(hosts) * float64(b.perHost) / float64(b.remaining)))
}

// maxUnavailable returns how many of a pool's hosts may be draining or down at the same
// time; due is the number of its hosts that still wait for maintenance.
func maxUnavailable(surplus, due int, budget timeBudget) int {
	return max(0, surplus+1, budget.minConcurrent(due))
}

// nextHosts returns the hosts to drain now, in order. surplus holds the surplus hosts
// of each pool; spare pools are not in it.
//
// Load pattern: half of all hosts are due within half a minute, a few at a time, while
// demand peaks move from pool to pool. Hosts that are switched off go first, then those
// of pools with a surplus. A pool at its demand peak loses no host in the first half of
// the wave's time; in the second half its hosts are maintained evenly over the time.
func nextHosts(w Wave, progress map[fleet.HostID]*hostProgress, listed map[fleet.HostID]Host, surplus map[fleet.ServiceID]int, budget timeBudget) []Host {
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
		if len(next) >= w.AtOnce-down+drainAhead {
			break
		}
		if s, inPool := surplus[h.Pool]; inPool && busy[h.Pool] >= maxUnavailable(s, due[h.Pool], budget) {
			continue
		}
		busy[h.Pool]++
		next = append(next, h)
	}
	return next
}

// downHosts returns how many hosts of a wave are, or may be, down for maintenance.
func downHosts(progress map[fleet.HostID]*hostProgress) int {
	down := 0
	for _, p := range progress {
		if p.down() {
			down++
		}
	}
	return down
}

// completed reports whether maintenance has begun on every host of the wave that still exists.
func completed(w Wave, progress map[fleet.HostID]*hostProgress) bool {
	for _, id := range w.Hosts {
		if !progress[id].begun() {
			return false
		}
	}
	return true
}
