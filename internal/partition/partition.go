// Package partition divides the jobs and the workers of a pool into partitions. Each
// partition is a shard with its own owner.
package partition

import (
	"cmp"
	"fmt"
	"math/bits"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/store"
)

// Partition contains the jobs of a pool whose hash has the value Bits in its lowest Depth
// bits. A pool starts as one partition of depth 0. A partition that is split keeps its
// name and half of its jobs at a depth increased by one; the other half becomes a new
// partition.
type Partition struct {
	Pool  fleet.ServiceID
	Bits  uint32
	Depth int
}

// separator separates the pool from the bits in the name of a shard.
const separator = "#"

// Shard returns the name of the partition's shard. The first partition has the name of
// its pool.
func (p Partition) Shard() string { return shardName(p.Pool, p.Bits) }

func shardName(pool fleet.ServiceID, bits uint32) string {
	if bits == 0 {
		return string(pool)
	}
	return string(pool) + separator + strconv.FormatUint(uint64(bits), 10)
}

// Parse returns the partition of the named shard, at the depth at which it was created.
func Parse(shard string) Partition {
	i := strings.LastIndex(shard, separator)
	if i < 0 {
		return Partition{Pool: fleet.ServiceID(shard)}
	}
	n, err := strconv.ParseUint(shard[i+len(separator):], 10, 32)
	if err != nil {
		// The name of the pool itself contains the separator.
		return Partition{Pool: fleet.ServiceID(shard)}
	}
	return Partition{fleet.ServiceID(shard[:i]), uint32(n), bits.Len32(uint32(n))}
}

func hash(id job.ID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// Contains reports whether a new job with the ID belongs to the partition.
func (p Partition) Contains(id job.ID) bool { return hash(id)&(1<<p.Depth-1) == p.Bits }

// AtDepth returns the partition at another depth, at least the one at which it was created.
func (p Partition) AtDepth(depth int) Partition {
	p.Depth = max(depth, bits.Len32(p.Bits))
	return p
}

// Ancestors returns the shards that contained the partition's jobs before it was created,
// the most recent first.
func (p Partition) Ancestors() []string {
	var names []string
	for b := p.Bits; b != 0; {
		b &^= 1 << (bits.Len32(b) - 1)
		names = append(names, shardName(p.Pool, b))
	}
	return names
}

// child returns the partition that was split off at a depth.
func (p Partition) child(depth int) Partition { return Partition{p.Pool, p.Bits | 1<<depth, depth + 1} }

// Depths holds the depths of the shards that were split, by name.
type Depths map[string]int

// atCurrentDepth returns the partition at its current depth.
func (d Depths) atCurrentDepth(p Partition) Partition { return p.AtDepth(d[p.Shard()]) }

// Partitions returns the partitions of a pool.
func (d Depths) Partitions(pool fleet.ServiceID) []Partition {
	var partitions []Partition
	var add func(p Partition)
	add = func(p Partition) {
		createdDepth := p.Depth
		p = d.atCurrentDepth(p)
		partitions = append(partitions, p)
		for depth := createdDepth; depth < p.Depth; depth++ {
			add(p.child(depth))
		}
	}
	add(Partition{Pool: pool})
	return partitions
}

// Route returns the partition for a new job.
func (d Depths) Route(pool fleet.ServiceID, id job.ID) Partition {
	return d.Descend(d.atCurrentDepth(Partition{Pool: pool}), id)
}

// Descend returns the partition for a new job, starting from a partition that contained
// the job's hash at some time. For any other partition, which only a misdirected call names,
// it starts from the first partition of the pool.
func (d Depths) Descend(p Partition, id job.ID) Partition {
	h := hash(id)
	if !p.AtDepth(0).Contains(id) {
		p = d.atCurrentDepth(Partition{Pool: p.Pool})
	}
	for !p.Contains(id) {
		differing := bits.TrailingZeros32(h ^ p.Bits)
		p = d.atCurrentDepth(p.child(differing))
	}
	return p
}

const (
	// workersPerPartition is the initial number of workers of a partition in a pool at its
	// demand peak, and minWorkersPerPartition the number that it keeps when it is split
	// further because its owner's CPU is the bottleneck. With fewer workers, wide steps
	// would lack capacity and the limits of accounts would be divided too finely.
	workersPerPartition    = 48
	minWorkersPerPartition = 32
	// startsPerCore is how many tasks per second an owner can start on one CPU core,
	// including the calls that follow for each task.
	startsPerCore = 500
	// peakFactor is the size of a pool at its demand peak relative to the mean of all pools.
	peakFactor = 2
	// maxDepth limits the number of partitions of one pool.
	maxDepth = 10
)

// ClusterSize holds the counts that determine the number of partitions.
type ClusterSize struct {
	Workers, Pools, Daemons int
}

// WantedDepth returns the depth that a partition of the current depth should have. cpuBound
// is set if its owner is limited by its CPU.
//
// Load pattern: pools of a few hundred workers start some hundred tasks per second, which
// exceeds the CPU of one daemon, while the other daemons own nothing. Pools with large
// tasks start fewer of them on as many workers: dividing those as finely would leave each
// partition too few workers for its wide jobs, and put partitions on daemons with slow
// CPUs. Workers that move between pools are listed twice for a while, so a pool that is
// already partitioned must have clearly more of them before it is split further.
func WantedDepth(size ClusterSize, currentDepth int, cpuBound bool) int {
	if size.Pools == 0 {
		return currentDepth
	}
	depth := func(workers, perPartition int) int {
		partitions := min(peakFactor*workers/(size.Pools*perPartition), size.Daemons/size.Pools)
		return min(max(bits.Len(uint(max(partitions, 0)))-1, 0), maxDepth)
	}
	wanted := 0
	if cpuBound {
		wanted = currentDepth + 1
	}
	wanted = min(wanted, depth(size.Workers, minWorkersPerPartition))
	if currentDepth == 0 {
		return max(wanted, depth(size.Workers, workersPerPartition))
	}
	return max(currentDepth, wanted, depth(size.Workers*2/3, workersPerPartition))
}

// ExceedsCPU reports whether the task starts per second exceed the capacity of the cores.
func ExceedsCPU(startsPerSecond, cores float64) bool { return startsPerSecond > startsPerCore*cores }

// PredictedPeakStarts returns how many tasks per second a partition will start at the
// demand peak of its pool, given the number that a fully used worker starts. That number
// is measured before the peak, from the few jobs that arrive in between.
func PredictedPeakStarts(size ClusterSize, partitions int, startsPerWorker float64) float64 {
	if size.Pools == 0 || partitions == 0 {
		return 0
	}
	return startsPerWorker * float64(peakFactor*size.Workers) / float64(size.Pools*partitions)
}

// RecordError reports a record of a partition's depth that cannot be decoded.
type RecordError struct {
	Key   string
	Cause error
}

func (e *RecordError) Error() string { return fmt.Sprintf("decode depth in %s: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// EncodeDepth returns the record of a partition's depth.
func EncodeDepth(depth int) []byte { return []byte(strconv.Itoa(depth)) }

// DecodeDepth decodes a record written by EncodeDepth.
func DecodeDepth(e store.Entry) (int, error) {
	depth, err := strconv.ParseUint(string(e.Value), 10, 8)
	if err != nil || depth > maxDepth {
		return 0, &RecordError{e.Key, cmp.Or(err, errTooDeep)}
	}
	return int(depth), nil
}

var errTooDeep = fmt.Errorf("depth exceeds maximum of %d", maxDepth)
