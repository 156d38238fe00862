// Package capacity sizes pools of hosts by their demand.
package capacity

import (
	"cmp"
	"math"
	"time"

	"samphirestile.example/samphirestile/internal/worker"
)

// Demand is what one pool is asked for.
type Demand struct {
	// Lasting is the room of the tasks that last.
	Lasting worker.Resources
	// Rate is the work that arrives in one second, as the room that it occupies
	// for that second.
	Rate worker.Resources
	// Waiting is the work that could run now and finds no room, as room times milliseconds.
	Waiting worker.Resources
	// Host is the room of one host.
	Host worker.Resources
	// Apart is how many hosts the bounds of tasks on one host ask for.
	Apart int
	// Drain is the time in which waiting work should be done; 0 means drainTime.
	Drain time.Duration
}

const (
	// packing is the part of a host's room that tasks of mixed sizes fill.
	packing = 0.85
	// drainTime is the time in which waiting work should be done. It covers the
	// time in which a host arrives, so that the queue is not counted twice.
	drainTime = 3 * time.Second
	// minHosts keeps a pool able to work while a host fails.
	minHosts = 2
	// floorShare is the part of an even share of all hosts that each pool keeps,
	// to take the first seconds of a turn until more hosts arrive.
	floorShare = 0.75
)

// HostsWanted returns how many hosts the pool needs.
//
// Load pattern: demand comes in turns, five times the mean for some seconds and
// a twentieth in between. The rate of the last second tells that a turn has
// begun before its queue has grown; the waiting work adds what came meanwhile.
func HostsWanted(d Demand) int {
	if d.Host.CPU <= 0 || d.Host.MemMB <= 0 {
		return minHosts
	}
	ms := cmp.Or(d.Drain, drainTime).Milliseconds()
	queue := worker.Resources{CPU: d.Waiting.CPU / ms, MemMB: d.Waiting.MemMB / ms, GPU: d.Waiting.GPU / ms}
	hosts := int(math.Ceil(d.Lasting.Plus(d.Rate).Plus(queue).DominantShare(d.Host) / packing))
	return max(hosts, d.Apart, minHosts)
}

// Floor returns how many hosts each of the pools keeps out of all hosts.
//
// Load pattern: a turn begins within a second, and hosts arrive two seconds
// after it was noticed. The worst seconds of a day are those between the two.
func Floor(hosts, pools int) int {
	if pools == 0 {
		return 0
	}
	return int(math.Ceil(floorShare * float64(hosts) / float64(pools)))
}

// Rate measures the work that arrives.
type Rate struct {
	slots [rateSlots]slot
	last  int64
}

// slot is what arrived in one slotTime.
type slot struct {
	work worker.Resources
	jobs int64
}

const (
	slotTime  = 200 * time.Millisecond
	rateSlots = 10
	// shortSlots is the window that shows the begin of a turn, all slots the one
	// that holds the level while single large jobs come and go.
	shortSlots = 4
	// arrivalTime is how long a host takes to arrive: its move, the question for demand
	// before it and the list of workers after it.
	arrivalTime = 2 * time.Second
)

// Add notes work that arrives at the time now, as room times milliseconds.
func (r *Rate) Add(now time.Duration, work worker.Resources) {
	r.advance(now)
	i := r.last % rateSlots
	r.slots[i].work = r.slots[i].work.Plus(work)
	r.slots[i].jobs++
}

// PerSecond returns the room that the arriving work occupies.
func (r *Rate) PerSecond(now time.Duration) worker.Resources {
	r.advance(now)
	short, long := r.window(shortSlots), r.window(rateSlots)
	return worker.Resources{CPU: max(short.CPU, long.CPU), MemMB: max(short.MemMB, long.MemMB), GPU: max(short.GPU, long.GPU)}
}

// Rise returns by how much the arriving work will have grown when the hosts that
// are ordered now arrive.
//
// Load pattern: a turn rises over two to three seconds, and a pool that follows it is
// two seconds behind all the way up. Growth within what random arrivals explain is
// none; a fall is not foreseen, because hosts that were given up take long to return.
func (r *Rate) Rise(now time.Duration) worker.Resources {
	r.advance(now)
	latest, before := r.between(0, shortSlots), r.between(shortSlots, 2*shortSlots)
	grown := float64(latest.jobs-before.jobs) - math.Sqrt(float64(latest.jobs+before.jobs))
	if grown <= 0 {
		return worker.Resources{}
	}
	// The jobs of the rise are like those of the latest window.
	windows := float64(arrivalTime) / float64(shortSlots*slotTime)
	share := min(grown*windows/float64(latest.jobs), 1)
	w := perSecond(latest.work, shortSlots)
	scale := func(n int64) int64 { return int64(share * float64(n)) }
	return worker.Resources{CPU: scale(w.CPU), MemMB: scale(w.MemMB), GPU: scale(w.GPU)}
}

// Level returns the room that the arriving work occupies, over the longer window.
func (r *Rate) Level(now time.Duration) worker.Resources {
	r.advance(now)
	return r.window(rateSlots)
}

// window returns the rate over the latest n slots.
func (r *Rate) window(n int64) worker.Resources { return perSecond(r.between(0, n).work, n) }

// between sums the slots from the given age on to another.
func (r *Rate) between(from, to int64) slot {
	var sum slot
	for i := from; i < to; i++ {
		if n := r.last - i; n >= 0 {
			s := r.slots[n%rateSlots]
			sum.work, sum.jobs = sum.work.Plus(s.work), sum.jobs+s.jobs
		}
	}
	return sum
}

func perSecond(work worker.Resources, slots int64) worker.Resources {
	ms := slots * slotTime.Milliseconds()
	return worker.Resources{CPU: work.CPU / ms, MemMB: work.MemMB / ms, GPU: work.GPU / ms}
}

func (r *Rate) advance(now time.Duration) {
	present := int64(now / slotTime)
	if present-r.last >= rateSlots {
		r.slots = [rateSlots]slot{}
		r.last = present
		return
	}
	for r.last < present {
		r.last++
		r.slots[r.last%rateSlots] = slot{}
	}
}
