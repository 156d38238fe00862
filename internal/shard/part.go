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

// MovedError reports a job that another shard of the pool holds or takes.
type MovedError struct{ Shard string }

func (e *MovedError) Error() string { return fmt.Sprintf("the job belongs to shard %s", e.Shard) }

// find returns a job, nil if this shard may take it, or a *MovedError. The caller holds mu.
func (o *Owner) find(id job.ID) (*jobEntry, error) {
	if e := o.jobs[id]; e != nil {
		return e, nil
	}
	if name := o.ancestorJobs[id]; name != "" {
		return nil, &MovedError{name}
	}
	if !o.partition.Holds(id) {
		return nil, &MovedError{partition.Depths{}.Descend(o.partition, id).Shard()}
	}
	return nil, nil
}

// loadPart reads how deep the part is, and which of its jobs are still held by the
// shards from which it was split. Those shards record their last such job before
// the record of the split, and this shard exists only after it.
func (o *Owner) loadPart(ctx context.Context) (depth int, elsewhere map[job.ID]string, err error) {
	elsewhere = map[job.ID]string{}
	if o.PartitionKey == "" {
		return 0, elsewhere, nil
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
	part := o.partition.At(depth)
	for _, ancestor := range part.Ancestors() {
		for _, prefix := range []string{jobstore.JobPrefix(ancestor), jobstore.ProgressPrefix(ancestor)} {
			records, _, err := o.Store.List(ctx, prefix)
			if err != nil {
				return 0, nil, err
			}
			for _, r := range records {
				if id := job.ID(strings.TrimPrefix(r.Key, prefix)); part.Holds(id) && elsewhere[id] == "" {
					elsewhere[id] = ancestor
				}
			}
		}
	}
	return depth, elsewhere, nil
}

// Split gives half of the jobs that are yet to come to a new part.
func (o *Owner) Split() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.open || o.closed || o.PartitionKey == "" || o.partition.Depth != o.recordedDepth {
		return
	}
	o.partition = o.partition.At(o.partition.Depth + 1)
	o.urgent = true
	o.requestCommit()
}

// Partition returns the part of the pool that the shard takes jobs of, and whether its
// record says the same.
func (o *Owner) Partition() (partition.Part, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.partition, o.open && !o.closed && o.partition.Depth == o.recordedDepth
}

// startsWindow is the time over which starts are counted; a single wide job does
// not make an owner busy.
const startsWindow = 3 * time.Second

// countStart counts one start of a task that ends by itself. Those that last come
// at once and then stay.
func (o *Owner) countStart(r *run, now monotonic.Time) {
	if host := r.session.Capacity; host.CPU > 0 && host.MemMB > 0 {
		o.taskWork += r.step.RequiredResources().DominantShare(host) * o.estimate(r.entry.live.Queue, r.step).Seconds()
		o.taskCount++
	}
	if now.Sub(o.startsSince) >= startsWindow {
		o.starts, o.startsSince = 0, now
	}
	o.starts++
	o.peakStarts = max(o.peakStarts, o.starts)
}

// PeakStarts returns the most tasks a second that were started in some seconds.
func (o *Owner) PeakStarts() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return float64(o.peakStarts) / startsWindow.Seconds()
}

// Wanted returns how many workers the part needs, as it was last worked out.
func (o *Owner) Wanted() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.workersWanted
}

// Unplaced reports whether lasting work has found no room for so long that other
// parts are asked for workers.
func (o *Owner) Unplaced() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.unplaced.waitedFor(monotonic.Now(), unplacedInPartition)
}

// StartsPerWorker returns how many tasks a second a worker starts that is full of
// the tasks started so far, or 0 before there were some.
func (o *Owner) StartsPerWorker() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.taskCount < minSamples || o.taskWork == 0 {
		return 0
	}
	return float64(o.taskCount) / o.taskWork
}

// Idle returns the workers on which nothing runs.
func (o *Owner) Idle() []worker.ID {
	o.mu.Lock()
	defer o.mu.Unlock()
	var idle []worker.ID
	for id, s := range o.sessions {
		if s.usable() && len(s.runs) == 0 && s.seen <= s.durable {
			idle = append(idle, id)
		}
	}
	slices.Sort(idle)
	return idle
}

// Drainable returns the workers on which no task lasts, the least used first.
func (o *Owner) Drainable() []worker.ID {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.DeleteFunc(o.releasable(), func(id worker.ID) bool {
		s := o.sessions[id]
		return !s.fenced || s.longRunningRuns() > 0
	})
}
