package shard

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/capacity"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/worker"
)

// demandWarmup is how long a new owner cannot size its pool, because it does not know what arrived
// before it took over.
const demandWarmup = 1500 * time.Millisecond

// HostDemand is the shard's demand for hosts.
type HostDemand struct {
	// Wanted is how many hosts the pool needs.
	Wanted int
	// Settling is set until demandWarmup has passed since the owner took over.
	Settling bool
	// Releasable lists workers in increasing order of the cost of releasing them.
	Releasable []worker.ID
}

// Demand returns the shard's demand for hosts. maintenanceDue lists workers whose hosts go down for
// maintenance soon.
func (o *Owner) Demand(_ context.Context, maintenanceDue []worker.ID) (HostDemand, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	// An owner without a confirmed lease may have a successor with newer information.
	if !o.open || o.closed || !o.ownershipCertain(monotonic.Now()) {
		return HostDemand{}, &NotOwnerError{o.Shard}
	}
	o.maintenanceDue = map[worker.ID]bool{}
	for _, id := range maintenanceDue {
		o.maintenanceDue[id] = true
	}
	now := monotonic.Now()
	c := capacity.Demand{Rate: o.arrivals.PerSecond(time.Duration(now)).Plus(o.arrivals.PredictedGrowth(time.Duration(now)))}
	for _, e := range o.active {
		if !e.job.LongRunning() {
			for _, s := range o.readyTasks(e, now) {
				c.Waiting = c.Waiting.Plus(resourceMilliseconds(s.RequiredResources(), 1, o.estimate(e.job.Queue, s)))
			}
			continue
		}
		for i := range e.job.Steps {
			step := &e.job.Steps[i]
			c.LongRunning = c.LongRunning.Plus(step.RequiredResources().Times(int64(step.Count)))
			if step.MaxPerWorker > 0 {
				c.SpreadHosts = max(c.SpreadHosts, (step.Count+step.MaxPerWorker-1)/step.MaxPerWorker)
			}
		}
	}
	for _, s := range o.sessions {
		c.Host = worker.Resources{CPU: max(c.Host.CPU, s.Capacity.CPU), MemMB: max(c.Host.MemMB, s.Capacity.MemMB), GPU: max(c.Host.GPU, s.Capacity.GPU)}
	}
	// Totals do not show whether any single host has sufficient capacity for a task.
	// The other partitions count the workers of evacuated zones.
	o.workersWanted = max(o.partitionWorkersWanted(c, now)+o.evacuatedWorkers(), o.workersForUnplaced(now, c.Host, partitionRequestDelay, true))
	wanted := max(capacity.HostsWanted(c), o.workersForUnplaced(now, c.Host, poolRequestDelay, false))
	if pending := o.unplaced.pendingFor(now, partitionRequestDelay); pending != o.unplacedLogged {
		o.unplacedLogged = pending
		o.Log.WithFields(logrus.Fields{
			"shard": o.Shard, "token": o.Token, "unplaced": pending, "tasks": o.unplaced.tasks, "cpu": o.unplaced.required.CPU,
			"mem_mb": o.unplaced.required.MemMB, "workers_wanted": o.workersWanted, "sessions": len(o.sessions),
		}).Info("long-running tasks lack capacity")
	}
	if wanted != o.hostsWanted {
		o.hostsWanted = wanted
		o.Log.WithFields(logrus.Fields{
			"shard": o.Shard, "token": o.Token, "hosts": wanted, "sessions": len(o.sessions), "lasting_cpu": c.LongRunning.CPU,
			"arriving_cpu": c.Rate.CPU, "waiting_cpu_ms": c.Waiting.CPU, "owner_age_ms": now.Sub(o.acquired).Milliseconds(),
		}).Info("hosts wanted")
	}
	return HostDemand{Wanted: wanted, Settling: now.Sub(o.acquired) < demandWarmup, Releasable: o.releasable()}, nil
}

// workersForUnplaced returns how many workers the shard has plus those it lacks for long-running
// work that has been unplaced for at least delay, or 0 if there is no such work.
//
// The other partitions count all listed workers of this one, so a request to them that leaves the missing ones
// out has no effect until these are not listed any more. The hosts of a pool are counted without them, and
// without those of evacuated zones.
func (o *Owner) workersForUnplaced(now monotonic.Time, host worker.Resources, delay time.Duration, withMissing bool) int {
	n := o.unplaced.additionalHosts(now, host, delay)
	if n == 0 {
		return 0
	}
	for _, s := range o.sessions {
		if s.listed && (withMissing || !s.Missing && !s.evacuated()) {
			n++
		}
	}
	return n
}

// unplacedTasks are long-running tasks for which no worker has sufficient capacity.
type unplacedTasks struct {
	tasks    int
	required worker.Resources
}

// unplacedWork is the long-running work of a shard for which no worker has sufficient capacity.
type unplacedWork struct {
	unplacedTasks
	since monotonic.Time
}

const (
	// partitionRequestDelay is the time for which long-running work must be unplaced before workers
	// are requested from other partitions of the pool. Maintenance frequently moves such tasks, and
	// most are placed again within a second.
	partitionRequestDelay = time.Second
	// poolRequestDelay is the corresponding delay before hosts are requested from other pools. It
	// is longer because a pool that requests hosts releases none to other pools, and the
	// maintenance of its hosts is postponed.
	poolRequestDelay = 2500 * time.Millisecond
)

func (u *unplacedTasks) add(s *job.Step, tasks int) {
	u.tasks += tasks
	u.required = u.required.Plus(s.RequiredResources().Times(int64(tasks)))
}

// countUnplaced adds up the unplaced work at the end of a scheduling pass. Jobs that the pass did not look at
// count as in the last pass that did: the end of any run delays all starts of its job, and does not place the
// tasks that lack a worker. The caller holds mu.
func (o *Owner) countUnplaced(now monotonic.Time) {
	u := &o.unplaced
	u.unplacedTasks = unplacedTasks{}
	for _, e := range o.active {
		u.tasks += e.unplaced.tasks
		u.required = u.required.Plus(e.unplaced.required)
	}
	switch {
	case u.tasks == 0:
		u.since = 0
	case u.since == 0:
		u.since = now
	}
}

// pendingFor reports whether there has been unplaced work for at least delay.
func (u *unplacedWork) pendingFor(now monotonic.Time, delay time.Duration) bool {
	return u.since != 0 && now.Sub(u.since) >= delay
}

// additionalHosts returns how many more hosts are needed for work that has been unplaced for at
// least delay.
//
// Load pattern: tasks that need half of a host or more, a few per host at most, beside other
// long-running tasks. Their sum fits into the pool, but no host has sufficient capacity for one.
func (u *unplacedWork) additionalHosts(now monotonic.Time, host worker.Resources, delay time.Duration) int {
	if !u.pendingFor(now, delay) || host.CPU <= 0 {
		return 0
	}
	return min(u.tasks, max(1, int(math.Ceil(u.required.DominantShare(host)))))
}

// partitionDrainTime is the time in which a partition should drain its queue with the workers that
// it requests from other partitions. Workers of other partitions arrive within a second, hosts of
// other pools within three.
const partitionDrainTime = time.Second

// partitionWorkersWanted returns how many of the pool's workers the partition needs. Few jobs
// arrive in each partition, so a short window would show random differences between partitions.
func (o *Owner) partitionWorkersWanted(c capacity.Demand, now monotonic.Time) int {
	c.Rate, c.DrainTime = o.arrivals.AveragePerSecond(time.Duration(now)), partitionDrainTime
	return capacity.HostsWanted(c)
}

// evacuatedWorkers returns the number of listed workers in evacuated zones.
func (o *Owner) evacuatedWorkers() int {
	n := 0
	for _, s := range o.sessions {
		if s.listed && s.evacuated() {
			n++
		}
	}
	return n
}

// releasable returns the reachable workers that are listed, not draining and not in an evacuated zone, starting with those
// from which the least work would have to be moved.
func (o *Owner) releasable() []worker.ID {
	longRunning, used := map[worker.ID]int{}, map[worker.ID]float64{}
	var ids []worker.ID
	for id, s := range o.sessions {
		if s.listed && !s.Draining && s.reachable && !s.evacuated() {
			ids, longRunning[id], used[id] = append(ids, id), s.countLongRunning(), s.used.DominantShare(s.Capacity)
		}
	}
	slices.SortFunc(ids, func(a, b worker.ID) int {
		return cmp.Or(cmp.Compare(longRunning[a], longRunning[b]), cmp.Compare(used[a], used[b]), cmp.Compare(a, b))
	})
	return ids
}

// countLongRunning returns the number of long-running tasks on the worker.
func (s *session) countLongRunning() int { return s.countTaskKinds().longRunning }
