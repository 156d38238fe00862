// Package partition divides the jobs and the workers of a pool into parts, each of
// which is a shard with an owner of its own.
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

// Partition holds the jobs of a pool whose hash ends in Bits in its lowest Depth bits.
// A pool begins as one part of depth 0. A part that is split keeps its name and one
// half of its jobs, and is one deeper; the other half is a new part.
type Partition struct {
	Pool  fleet.ServiceID
	Bits  uint32
	Depth int
}

// separator stands between the pool and the bits in the name of a shard.
const separator = "#"

// Shard returns the name of the part's shard. The first part is named like its pool.
func (p Partition) Shard() string { return shardName(p.Pool, p.Bits) }

func shardName(pool fleet.ServiceID, bits uint32) string {
	if bits == 0 {
		return string(pool)
	}
	return string(pool) + separator + strconv.FormatUint(uint64(bits), 10)
}

// Parse returns the part with the name at the depth at which it was made.
func Parse(shard string) Partition {
	i := strings.LastIndex(shard, separator)
	if i < 0 {
		return Partition{Pool: fleet.ServiceID(shard)}
	}
	n, err := strconv.ParseUint(shard[i+len(separator):], 10, 32)
	if err != nil {
		// A pool whose own name holds the separator.
		return Partition{Pool: fleet.ServiceID(shard)}
	}
	return Partition{fleet.ServiceID(shard[:i]), uint32(n), bits.Len32(uint32(n))}
}

func hash(id job.ID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// Contains reports whether new jobs with the ID belong to the part.
func (p Partition) Contains(id job.ID) bool { return hash(id)&(1<<p.Depth-1) == p.Bits }

// AtDepth returns the part at another depth.
func (p Partition) AtDepth(depth int) Partition {
	p.Depth = max(depth, bits.Len32(p.Bits))
	return p
}

// Ancestors returns the shards that held the part's jobs before it was made, the latest first.
func (p Partition) Ancestors() []string {
	var names []string
	for b := p.Bits; b != 0; {
		b &^= 1 << (bits.Len32(b) - 1)
		names = append(names, shardName(p.Pool, b))
	}
	return names
}

// child returns the part that was split off at a depth.
func (p Partition) child(depth int) Partition { return Partition{p.Pool, p.Bits | 1<<depth, depth + 1} }

// Depths are the depths of shards that were split, by name.
type Depths map[string]int

// of returns the part at its present depth.
func (d Depths) of(p Partition) Partition { return p.AtDepth(d[p.Shard()]) }

// Partitions returns the parts of a pool.
func (d Depths) Partitions(pool fleet.ServiceID) []Partition {
	var parts []Partition
	var add func(p Partition)
	add = func(p Partition) {
		made := p.Depth
		p = d.of(p)
		parts = append(parts, p)
		for depth := made; depth < p.Depth; depth++ {
			add(p.child(depth))
		}
	}
	add(Partition{Pool: pool})
	return parts
}

// Route returns the part that takes a new job.
func (d Depths) Route(pool fleet.ServiceID, id job.ID) Partition {
	return d.Descend(d.of(Partition{Pool: pool}), id)
}

// Descend returns the part that takes a new job, at or below a part that held it once.
func (d Depths) Descend(p Partition, id job.ID) Partition {
	h := hash(id)
	for !p.Contains(id) {
		differing := bits.TrailingZeros32(h ^ p.Bits)
		p = d.of(p.child(differing))
	}
	return p
}

const (
	// workersPerPart is how many workers a part has at first in the pool that has its
	// turn, and leastWorkersPerPart how many it keeps when its owner's processor is the bottleneck.
	// Fewer would leave wide steps no room and split the limits of accounts too finely.
	workersPerPart      = 48
	leastWorkersPerPart = 32
	// startsPerCore is how many tasks a second an owner starts on a core of its own,
	// with the calls that follow for each.
	startsPerCore = 500
	// turnShare is the size of a pool in its turn against the mean of all pools.
	turnShare = 2
	// maxDepth bounds the parts of one pool.
	maxDepth = 10
)

// ClusterSize is what the number of parts depends on.
type ClusterSize struct {
	Workers, Pools, Daemons int
}

// WantedDepth returns how deep a part should be that is so deep at present. busy
// tells that its owner has reached the limit of its processor.
//
// Load pattern: pools of a few hundred workers start some hundred tasks a second,
// which is more than the processor of one daemon does, while the other daemons own
// nothing. Pools with large tasks start fewer on as many workers: to divide them as
// finely leaves each part too few workers for its wide jobs, and puts parts on
// daemons with weak processors.
// Workers on their way from one pool to another are listed twice for a while, so a
// pool that is divided already needs clearly more of them.
func WantedDepth(f ClusterSize, present int, busy bool) int {
	if f.Pools == 0 {
		return present
	}
	depth := func(workers, perPart int) int {
		parts := min(turnShare*workers/(f.Pools*perPart), f.Daemons/f.Pools)
		return min(max(bits.Len(uint(max(parts, 0)))-1, 0), maxDepth)
	}
	wanted := 0
	if busy {
		wanted = present + 1
	}
	wanted = min(wanted, depth(f.Workers, leastWorkersPerPart))
	if present == 0 {
		return max(wanted, depth(f.Workers, workersPerPart))
	}
	return max(present, wanted, depth(f.Workers*2/3, workersPerPart))
}

// ExceedsCPU reports whether so many starts a second are more than a processor of so
// many cores can do.
func ExceedsCPU(starts, cores float64) bool { return starts > startsPerCore*cores }

// PredictedPeakStarts returns how many tasks a second a part will start in its pool's turn,
// when a worker that is full starts so many. It is known before the turn from the
// few jobs that come in between.
func PredictedPeakStarts(f ClusterSize, parts int, perWorker float64) float64 {
	if f.Pools == 0 || parts == 0 {
		return 0
	}
	return perWorker * float64(turnShare*f.Workers) / float64(f.Pools*parts)
}

// RecordError reports a record of a part's depth that cannot be read.
type RecordError struct {
	Key   string
	Cause error
}

func (e *RecordError) Error() string { return fmt.Sprintf("depth in %s: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// EncodeDepth returns the record of a part's depth.
func EncodeDepth(depth int) []byte { return []byte(strconv.Itoa(depth)) }

// DecodeDepth reads a record of EncodeDepth.
func DecodeDepth(e store.Entry) (int, error) {
	depth, err := strconv.ParseUint(string(e.Value), 10, 8)
	if err != nil || depth > maxDepth {
		return 0, &RecordError{e.Key, cmp.Or(err, errTooDeep)}
	}
	return int(depth), nil
}

var errTooDeep = fmt.Errorf("deeper than %d", maxDepth)
