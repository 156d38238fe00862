package shard

import (
	"time"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/quota"
	"samphirestile.example/samphirestile/internal/worker"
)

// limitRequestDelay is how long a job waits for the limit of its account before other shards are asked to return what
// they do not need. Jobs of an account at its limit usually wait less, for a run of the account to end.
const limitRequestDelay = time.Second

// largeNeedDivisor is n in the 1/n of a limit from which on a task or gang counts as large. Smaller ones get what other shards
// return while tasks end; a request for each would make all shards of a large pool read and write on each wait.
const largeNeedDivisor = 8

// limitWait is what a job waits for because of the limit of its account.
type limitWait struct {
	job      job.ID
	priority int
	// need is what the first large task or gang that was refused requires. It is within the limit.
	need worker.Resources
	// since is when it was first refused; 0 if the job is not refused, or has started tasks since.
	since monotonic.Time
	// refused is set if a task or gang was refused in the current scheduling pass.
	refused bool
}

// isLarge reports whether a need is a large part of the limit in some dimension that has one.
func isLarge(need, limit worker.Resources) bool {
	large := func(need, limit int64) bool { return limit > 0 && need*largeNeedDivisor >= limit }
	return large(need.CPU, limit.CPU) || large(need.MemMB, limit.MemMB) || large(need.GPU, limit.GPU)
}

// refuse records that the limit of the account refused a task or gang of the job. One that exceeds the limit never starts,
// whatever other shards return.
func (w *limitWait) refuse(need, limit worker.Resources, now monotonic.Time) {
	if w.refused || !isLarge(need, limit) || !quota.Within(limit, limit, need) {
		return
	}
	w.refused, w.need = true, need
	if w.since == 0 {
		w.since = now
	}
}

// update ends the wait after a scheduling pass in which the job started tasks or was not refused. It reports whether
// resources were requested for the job until then.
func (w *limitWait) update(started bool, now monotonic.Time) (withdrawn bool) {
	if !started && w.refused {
		return false
	}
	withdrawn = w.starved(now)
	w.since = 0
	return withdrawn
}

// starved reports whether the job has been waiting so long that resources are requested for it.
func (w *limitWait) starved(now monotonic.Time) bool {
	return w.since != 0 && now.Sub(w.since) >= limitRequestDelay
}

// reservedFor returns the resources that another job must leave to this one.
func (w *limitWait) reservedFor(e *jobEntry, now monotonic.Time) worker.Resources {
	if w == nil || w.job == e.job.ID || e.job.Priority < w.priority || !quota.Reserves(now.Sub(w.since)) {
		return worker.Resources{}
	}
	return w.need
}

// findLimited determines, for each account, the job that has been waiting the longest for its limit. The caller holds
// mu.
func (o *Owner) findLimited(now monotonic.Time) {
	clear(o.limited)
	for id, e := range o.active {
		w := &e.limited
		if e.job.FinalState.IsFinal() || !w.starved(now) {
			continue
		}
		w.job, w.priority = id, e.job.Priority
		if first := o.limited[e.job.Account]; first == nil || w.since < first.since || w.since == first.since && id < first.job {
			o.limited[e.job.Account] = w
		}
	}
}

// Shortages implements quota.ShortageReporter.
func (o *Owner) Shortages() map[string]quota.Shortage {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := monotonic.Now()
	o.findLimited(now)
	inherited := o.inheritedUsage(now)
	shortages := map[string]quota.Shortage{}
	for account, w := range o.limited {
		need := o.usage[account].Plus(inherited[account]).Plus(w.need)
		shortages[account] = quota.Shortage{Job: string(w.job), Need: quota.Capped(need, o.limit(account)), Waiting: now.Sub(w.since)}
	}
	return shortages
}
