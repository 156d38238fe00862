// Package quota divides the limits of client accounts among the shards.
package quota

import "samphirestile.example/samphirestile/internal/worker"

const (
	// headroomDivisor is n in the 1/n of the free resources that a shard takes beyond its
	// demand. This saves a write for each further task and leaves most free resources to
	// other shards.
	headroomDivisor = 4
	// idleDivisor is n in the 1/n of a limit that all shards without demand hold together, so
	// that their first tasks need no write.
	idleDivisor = 4
)

// AccountDemand is the demand of one shard on one account's limit.
type AccountDemand struct {
	// Running is the resources of tasks that run or may run; a grant is never reduced
	// below it.
	Running worker.Resources
	// Waiting is the resources required by tasks that are ready to start.
	Waiting worker.Resources
}

// Plan returns the shard's new grant under the limit, given its current grant,
// those of the other shards, and the number of all shards. A dimension without
// limit is granted 0.
//
// Resources that another shard's request lacks are left to it, except those that tasks require. While they are reserved,
// only running tasks keep them.
//
// Load pattern: demand moves from one shard to the next within a second, while the sum
// over all shards must never exceed the limit. Surplus is returned at once, and free
// resources are taken in large amounts. Shards without demand leave most of the limit to
// those that need it, regardless of the number of shards.
func Plan(limit, own, others worker.Resources, shards int, d AccountDemand, r Requested) worker.Resources {
	return worker.Resources{
		CPU:   plan(limit.CPU, own.CPU, others.CPU, shards, d.Running.CPU, d.Waiting.CPU, r.Missing.CPU, r.Reserved),
		MemMB: plan(limit.MemMB, own.MemMB, others.MemMB, shards, d.Running.MemMB, d.Waiting.MemMB, r.Missing.MemMB, r.Reserved),
		GPU:   plan(limit.GPU, own.GPU, others.GPU, shards, d.Running.GPU, d.Waiting.GPU, r.Missing.GPU, r.Reserved),
	}
}

// Requested is what the first request of another shard for an account lacks.
type Requested struct {
	Missing worker.Resources
	// Reserved is set if it has precedence over tasks that wait.
	Reserved bool
}

func plan(limit, own, others int64, shards int, running, waiting, missing int64, reserved bool) int64 {
	if limit <= 0 {
		return 0
	}
	free := max(0, limit-others)
	wanted := running + waiting
	unrequested := max(0, free-missing)
	spare := max(0, unrequested-wanted) / headroomDivisor
	if wanted == 0 {
		spare = min(spare, limit/(idleDivisor*int64(max(shards, 1))))
	}
	if reserved {
		free = unrequested
	}
	next := min(wanted+spare, free)
	if missing == 0 && next < own && wanted+2*spare >= own {
		// A small surplus is kept: returning it would cost a write each time.
		next = min(own, free)
	}
	return max(next, min(running, own))
}

// Effective returns the part of its grant that a shard may use. It is less than the
// grant if the total of all grants exceeds a limit that was lowered after they were
// written.
func Effective(limit, own, total worker.Resources) worker.Resources {
	return worker.Resources{
		CPU:   effective(limit.CPU, own.CPU, total.CPU),
		MemMB: effective(limit.MemMB, own.MemMB, total.MemMB),
		GPU:   effective(limit.GPU, own.GPU, total.GPU),
	}
}

func effective(limit, own, total int64) int64 {
	if total > limit && total > 0 {
		return own * limit / total
	}
	return own
}

func largest(a, b worker.Resources) worker.Resources {
	return worker.Resources{CPU: max(a.CPU, b.CPU), MemMB: max(a.MemMB, b.MemMB), GPU: max(a.GPU, b.GPU)}
}

// Within reports whether the use is covered by the grant in each limited dimension.
func Within(limit, grant, use worker.Resources) bool {
	within := func(limit, grant, use int64) bool { return limit <= 0 || use <= grant }
	return within(limit.CPU, grant.CPU, use.CPU) && within(limit.MemMB, grant.MemMB, use.MemMB) && within(limit.GPU, grant.GPU, use.GPU)
}

// limited returns the dimensions of r that have a limit.
func limited(r, limit worker.Resources) worker.Resources {
	if limit.CPU <= 0 {
		r.CPU = 0
	}
	if limit.MemMB <= 0 {
		r.MemMB = 0
	}
	if limit.GPU <= 0 {
		r.GPU = 0
	}
	return r
}

// Capped reduces r to the limit in each dimension that has one.
func Capped(r, limit worker.Resources) worker.Resources {
	c := func(n, limit int64) int64 {
		if limit > 0 {
			return min(n, limit)
		}
		return n
	}
	return worker.Resources{CPU: c(r.CPU, limit.CPU), MemMB: c(r.MemMB, limit.MemMB), GPU: c(r.GPU, limit.GPU)}
}
