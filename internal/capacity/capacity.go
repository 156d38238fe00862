// Package capacity computes how many hosts a pool needs for its demand.
package capacity

import (
	"cmp"
	"math"
	"time"

	"samphirestile.example/samphirestile/internal/worker"
)

// Demand is the demand on one pool.
type Demand struct {
	// LongRunning is the resources required by long-running tasks.
	LongRunning worker.Resources
	// Rate is the work that arrives per second, as the resources that it occupies for
	// one second.
	Rate worker.Resources
	// Waiting is the work that is ready to run but lacks capacity, as resources times
	// milliseconds.
	Waiting worker.Resources
	// Host is the capacity of one host.
	Host worker.Resources
	// SpreadHosts is how many hosts the limits of tasks per host require.
	SpreadHosts int
	// DrainTime is the time in which the waiting work should be done; 0 means defaultDrainTime.
	DrainTime time.Duration
}

const (
	// packingEfficiency is the share of a host's capacity that tasks of mixed sizes can use.
	packingEfficiency = 0.85
	// defaultDrainTime is the time in which waiting work should be done. It is longer than
	// a host takes to arrive, so that no further hosts are requested for the same queue
	// while the first ones are on their way.
	defaultDrainTime = 3 * time.Second
	// minHosts keeps a pool working while one host fails.
	minHosts = 2
	// minPoolShare is the fraction of an even share of all hosts that each pool keeps, to
	// serve the first seconds of a demand peak until more hosts arrive.
	minPoolShare = 0.75
)

// HostsWanted returns how many hosts the pool needs.
//
// Load pattern: demand has peaks of five times the mean for some seconds, with a
// twentieth of the mean in between. The arrival rate of the last second shows the start
// of a peak before its queue has grown; the waiting work adds what has arrived since.
func HostsWanted(d Demand) int {
	if d.Host.CPU <= 0 || d.Host.MemMB <= 0 {
		return minHosts
	}
	ms := cmp.Or(d.DrainTime, defaultDrainTime).Milliseconds()
	queue := worker.Resources{CPU: d.Waiting.CPU / ms, MemMB: d.Waiting.MemMB / ms, GPU: d.Waiting.GPU / ms}
	hosts := int(math.Ceil(d.LongRunning.Plus(d.Rate).Plus(queue).DominantShare(d.Host) / packingEfficiency))
	return max(hosts, d.SpreadHosts, minHosts)
}

// MinHostsPerPool returns how many hosts each pool keeps.
//
// Load pattern: a demand peak starts within a second, and hosts arrive two seconds after
// it was detected. The worst seconds of a day are those in between.
func MinHostsPerPool(hosts, pools int) int {
	if pools == 0 {
		return 0
	}
	return int(math.Ceil(minPoolShare * float64(hosts) / float64(pools)))
}

// ArrivalRate measures the rate of arriving work over a sliding window.
type ArrivalRate struct {
	slots [rateSlots]slot
	// last is the number of the latest slot, counted from time 0.
	last int64
}

// slot is the work that arrived in one interval of slotLength.
type slot struct {
	work worker.Resources
	jobs int64
}

const (
	// slotLength is the length of a slot, and rateSlots the number of slots of the long window.
	slotLength = 200 * time.Millisecond
	rateSlots  = 10
	// shortSlots is the length, in slots, of the window that detects the start of a demand peak.
	// The window of all slots smooths the rate over single large jobs.
	shortSlots = 4
	// arrivalTime is how long a host takes to arrive: the query for demand, the move, and
	// the update of the list of workers.
	arrivalTime = 2 * time.Second
)

// Add records work that arrives at the time now, as resources times milliseconds.
func (r *ArrivalRate) Add(now time.Duration, work worker.Resources) {
	r.advance(now)
	i := r.last % rateSlots
	r.slots[i].work = r.slots[i].work.Plus(work)
	r.slots[i].jobs++
}

// PerSecond returns the resources that the arriving work occupies: the higher of the
// rates over the short and the long window.
func (r *ArrivalRate) PerSecond(now time.Duration) worker.Resources {
	r.advance(now)
	short, long := r.window(shortSlots), r.window(rateSlots)
	return worker.Resources{CPU: max(short.CPU, long.CPU), MemMB: max(short.MemMB, long.MemMB), GPU: max(short.GPU, long.GPU)}
}

// PredictedGrowth returns by how much the rate will have grown when hosts that are
// requested now arrive.
//
// Load pattern: a demand peak rises over two to three seconds, and a pool that only
// follows it is two seconds behind all the time. Growth that random arrivals explain is
// ignored. A decline is not predicted, because released hosts take long to return.
func (r *ArrivalRate) PredictedGrowth(now time.Duration) worker.Resources {
	r.advance(now)
	latest, before := r.sumSlots(0, shortSlots), r.sumSlots(shortSlots, 2*shortSlots)
	grown := float64(latest.jobs-before.jobs) - math.Sqrt(float64(latest.jobs+before.jobs))
	if grown <= 0 {
		return worker.Resources{}
	}
	// Assume that further jobs are like those of the latest window.
	windows := float64(arrivalTime) / float64(shortSlots*slotLength)
	share := min(grown*windows/float64(latest.jobs), 1)
	w := perSecond(latest.work, shortSlots)
	scale := func(n int64) int64 { return int64(share * float64(n)) }
	return worker.Resources{CPU: scale(w.CPU), MemMB: scale(w.MemMB), GPU: scale(w.GPU)}
}

// AveragePerSecond returns the resources that the arriving work occupies, over the long window.
func (r *ArrivalRate) AveragePerSecond(now time.Duration) worker.Resources {
	r.advance(now)
	return r.window(rateSlots)
}

// window returns the rate per second over the latest n slots.
func (r *ArrivalRate) window(n int64) worker.Resources { return perSecond(r.sumSlots(0, n).work, n) }

// sumSlots returns the sum of the slots whose age, counted in slots, is at least from and less than to.
func (r *ArrivalRate) sumSlots(from, to int64) slot {
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
	ms := slots * slotLength.Milliseconds()
	return worker.Resources{CPU: work.CPU / ms, MemMB: work.MemMB / ms, GPU: work.GPU / ms}
}

func (r *ArrivalRate) advance(now time.Duration) {
	current := int64(now / slotLength)
	if current-r.last >= rateSlots {
		r.slots = [rateSlots]slot{}
		r.last = current
		return
	}
	for r.last < current {
		r.last++
		r.slots[r.last%rateSlots] = slot{}
	}
}
