package shard

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/jobstore"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/partition"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

// MovedError reports a job that belongs to another shard of the pool.
type MovedError struct{ Shard string }

func (e *MovedError) Error() string { return fmt.Sprintf("the job belongs to shard %s", e.Shard) }

// find returns a job, nil if this shard may accept it, or a *MovedError. The caller holds mu.
func (o *Owner) find(id job.ID) (*jobEntry, error) {
	if e := o.jobs[id]; e != nil {
		return e, nil
	}
	if name := o.ancestorJobs[id]; name != "" {
		return nil, &MovedError{name}
	}
	if !o.partition.Contains(id) {
		return nil, &MovedError{partition.Depths{}.Descend(o.partition, id).Shard()}
	}
	return nil, nil
}

// findOwned is find for an owner that may deny a job: while the ownership is uncertain, a successor may
// have accepted a job that this owner does not know. The caller holds mu.
func (o *Owner) findOwned(id job.ID) (*jobEntry, error) {
	e, err := o.find(id)
	if e == nil && err == nil && !o.ownershipCertain(monotonic.Now()) {
		return nil, &NotOwnerError{o.Shard}
	}
	return e, err
}

// loadPartition reads the depth of the partition, and which of its jobs are still held by the
// shards from which it was split. Those shards record the last such job before the record of the
// split, and this shard exists only after it.
func (o *Owner) loadPartition(ctx context.Context) (depth int, ancestorJobs map[job.ID]string, err error) {
	ancestorJobs = map[job.ID]string{}
	if o.PartitionKey == "" {
		return 0, ancestorJobs, nil
	}
	e, err := o.Store.Get(ctx, o.PartitionKey)
	if err != nil && !errors.As(err, new(*store.NotFoundError)) {
		return 0, nil, err
	}
	if err == nil {
		if depth, err = partition.DecodeDepth(e); err != nil {
			return 0, nil, err
		}
	}
	current := o.partition.AtDepth(depth)
	for _, ancestor := range current.Ancestors() {
		for _, prefix := range []string{jobstore.JobPrefix(ancestor), jobstore.ProgressPrefix(ancestor)} {
			records, _, err := o.Store.List(ctx, prefix)
			if err != nil {
				return 0, nil, err
			}
			for _, r := range records {
				if id := job.ID(strings.TrimPrefix(r.Key, prefix)); current.Contains(id) && ancestorJobs[id] == "" {
					ancestorJobs[id] = ancestor
				}
			}
		}
	}
	return depth, ancestorJobs, nil
}

// Split assigns half of the shard's future jobs to a new partition.
func (o *Owner) Split() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.open || o.closed || o.PartitionKey == "" || o.partition.Depth != o.recordedDepth {
		return
	}
	o.partition = o.partition.AtDepth(o.partition.Depth + 1)
	o.urgent = true
	o.requestCommit()
}

// Partition returns the partition of the pool whose jobs the shard accepts, and whether its depth
// is recorded in the store.
func (o *Owner) Partition() (partition.Partition, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.partition, o.open && !o.closed && o.partition.Depth == o.recordedDepth
}

// startsWindow is the window in which starts are counted, long enough that a single wide job does
// not make an owner look busy.
const startsWindow = 3 * time.Second

// countStart counts one start of a task that finishes by itself. Long-running tasks start together
// and then stay.
func (o *Owner) countStart(r *run, now monotonic.Time) {
	if host := r.session.Capacity; host.CPU > 0 && host.MemMB > 0 {
		o.taskWork += r.step.RequiredResources().DominantShare(host) * o.estimate(r.entry.job.Queue, r.step).Seconds()
		o.taskCount++
	}
	if now.Sub(o.startsSince) >= startsWindow {
		o.starts, o.startsSince = 0, now
	}
	o.starts++
	o.peakStarts = max(o.peakStarts, o.starts)
}

// PeakStarts returns the highest start rate of any window, in tasks per second.
func (o *Owner) PeakStarts() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return float64(o.peakStarts) / startsWindow.Seconds()
}

// Wanted returns how many workers the partition needs, as last computed by Demand.
func (o *Owner) Wanted() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.workersWanted
}

// Unplaced reports whether long-running work has been unplaced for so long that workers are
// requested from other partitions.
func (o *Owner) Unplaced() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.unplaced.pendingFor(monotonic.Now(), partitionRequestDelay)
}

// StartsPerWorker returns how many tasks per second a fully used worker starts, given the tasks
// started so far, or 0 if there are too few samples.
func (o *Owner) StartsPerWorker() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.taskCount < minSamples || o.taskWork == 0 {
		return 0
	}
	return float64(o.taskCount) / o.taskWork
}

// Idle returns the usable workers without runs, starts that may still take effect or unrecorded
// completions.
func (o *Owner) Idle() []worker.ID {
	o.mu.Lock()
	defer o.mu.Unlock()
	var idle []worker.ID
	for id, s := range o.sessions {
		if s.usable() && s.isEmpty() {
			idle = append(idle, id)
		}
	}
	slices.Sort(idle)
	return idle
}

// Drainable returns the workers without long-running tasks, least used first.
func (o *Owner) Drainable() []worker.ID {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.DeleteFunc(o.releasable(), func(id worker.ID) bool {
		s := o.sessions[id]
		return !s.fenced || s.countLongRunning() > 0
	})
}
