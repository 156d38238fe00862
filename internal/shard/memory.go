package shard

import (
	"fmt"
	"math"
	"time"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
)

// memoryRetryAfter is the suggested delay before a job is submitted again that the memory did not suffice for. Accepted
// jobs free it when they end.
const memoryRetryAfter = 5 * time.Second

// MemoryError reports a job for which the memory of the shard's jobs does not suffice.
type MemoryError struct {
	// NeededBytes is what the job needs, UsedBytes what the accepted jobs of the shard need, and MaxBytes what all may need.
	NeededBytes, UsedBytes, MaxBytes int64
}

func (e *MemoryError) Error() string {
	return fmt.Sprintf("the job needs %d bytes of memory beside %d of the accepted jobs of its shard, which may need %d", e.NeededBytes, e.UsedBytes, e.MaxBytes)
}

func (o *Owner) maxJobMemory() int64 {
	if o.JobMemory == nil {
		return math.MaxInt64
	}
	return o.JobMemory()
}

// checkMemory returns a *MemoryError if a daemon could not hold the job beside the accepted ones of all shards. A shard accepts
// any job while it has no other. The caller holds mu.
func (o *Owner) checkMemory(j *job.Job) error {
	now := monotonic.Now()
	b := o.backlogAt(now)
	tracked := job.NewTrackedJob(*j)
	needed := tracked.MemoryBytes(o.unixMS(now))
	if b.memoryBytes == 0 || b.memoryBytes+needed <= b.maxMemoryBytes {
		return nil
	}
	return &MemoryError{NeededBytes: needed, UsedBytes: b.memoryBytes, MaxBytes: b.maxMemoryBytes}
}

// maxEndedBytes is the memory up to which the description and the progress of an ended job are kept for operators until its
// state expires.
const maxEndedBytes = 64 << 10

// releaseIfEnded frees the memory of a large job that has ended and has no runs left. The caller holds mu.
func (e *jobEntry) releaseIfEnded() {
	if e.finalStored && len(e.runs) == 0 && e.job.MemoryBytes(0) > maxEndedBytes {
		e.job.Release()
	}
}
