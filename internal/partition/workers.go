package partition

import (
	"maps"
	"sort"

	"samphirestile.example/samphirestile/internal/worker"
)

// WorkerCounts holds the number of workers of one partition: total, by kind and by rack.
type WorkerCounts struct {
	Workers      int
	Kinds, Racks map[string]int
	// Wanted is how many workers the partition needs for its current demand.
	Wanted int
}

func (c *WorkerCounts) add(w worker.Worker) {
	if c.Racks == nil {
		c.Kinds, c.Racks = map[string]int{}, map[string]int{}
	}
	c.Workers++
	c.Kinds[w.Kind()]++
	c.Racks[w.Rack()]++
}

// WorkersByShard holds the worker counts of a pool's partitions, by shard.
type WorkersByShard map[string]*WorkerCounts

// Add counts a worker for a shard.
func (h WorkersByShard) Add(shard string, w worker.Worker) {
	if h[shard] == nil {
		h[shard] = &WorkerCounts{}
	}
	h[shard].add(w)
}

// fairShare returns how many of the workers a partition should have: what it wants and
// an even share of the rest or, if there are fewer than wanted in total, a share in
// proportion to what it wants.
//
// Load pattern: in the first seconds of a demand peak the pool has half of the workers
// that it wants. A partition with a long queue may want twice as many as another; both
// queues must drain equally fast.
func (h WorkersByShard) fairShare(shard string, workers int) float64 {
	wanted, own := h.wanted(), float64(h[shard].Wanted)
	if wanted > workers {
		return own * float64(workers) / float64(wanted)
	}
	return own + float64(workers-wanted)/float64(len(h))
}

// Shortage reports whether the partitions want more workers than they have, all together.
func (h WorkersByShard) Shortage() bool { return h.wanted() > h.workers() }

func (h WorkersByShard) wanted() int {
	n := 0
	for _, held := range h {
		n += held.Wanted
	}
	return n
}

func (h WorkersByShard) workers() int {
	n := 0
	for _, held := range h {
		n += held.Workers
	}
	return n
}

// neediest returns the shard that should get the next worker of the kind and rack: one
// without a worker of the kind, then the one farthest below its fair share, then the one
// with the fewest workers in the rack.
func (h WorkersByShard) neediest(kind, rack string) string {
	workers := h.workers()
	best := ""
	for shard, held := range h {
		if best == "" {
			best = shard
			continue
		}
		b := h[best]
		own, other := float64(held.Workers)-h.fairShare(shard, workers), float64(b.Workers)-h.fairShare(best, workers)
		switch {
		case (held.Kinds[kind] == 0) != (b.Kinds[kind] == 0):
			if held.Kinds[kind] == 0 {
				best = shard
			}
		case own != other:
			if own < other {
				best = shard
			}
		case held.Racks[rack] != b.Racks[rack]:
			if held.Racks[rack] < b.Racks[rack] {
				best = shard
			}
		case shard < best:
			best = shard
		}
	}
	return best
}

// Assign divides workers without a partition. The result is deterministic: all owners
// compute the same one from the same state, so that each can claim its workers at once.
//
// Load pattern: dozens of workers arrive in one pool within a second, and the partitions
// should stay balanced, each with workers in every rack.
func Assign(free []worker.Worker, held WorkersByShard) map[worker.ID]string {
	free = append([]worker.Worker(nil), free...)
	sort.Slice(free, func(i, j int) bool {
		if a, b := free[i].Kind(), free[j].Kind(); a != b {
			return a < b
		}
		if a, b := free[i].Rack(), free[j].Rack(); a != b {
			return a < b
		}
		return free[i].ID < free[j].ID
	})
	out := map[worker.ID]string{}
	for _, w := range free {
		shard := held.neediest(w.Kind(), w.Rack())
		if shard == "" {
			return out
		}
		held[shard].add(w)
		out[w.ID] = shard
	}
	return out
}

const (
	// evenWorkers and evenShare (of the mean size of a partition) are the differences that
	// are tolerated while no partition lacks workers: each transfer takes a write, and
	// the number of workers changes all the time.
	evenWorkers = 2
	evenShare   = 0.2
)

// Surplus returns how many workers a partition should transfer, and to which one.
//
// Load pattern: a partition that was split keeps all of its workers, and moves between
// pools take more of them from one partition than from another. A job whose tasks are
// long-running and must not share workers needs more than an even share of the pool.
func Surplus(held WorkersByShard, self string) (to string, n int) {
	if len(held) < 2 || held[self] == nil {
		return "", 0
	}
	workers := held.workers()
	mean := float64(workers) / float64(len(held))
	to = held.neediest("", "")
	own := float64(held[self].Workers) - held.fairShare(self, workers)
	lack := held.fairShare(to, workers) - float64(held[to].Workers)
	allowed := max(evenWorkers, evenShare*mean)
	if held[to].Workers < held[to].Wanted {
		allowed = 1
	}
	if to == self || own+lack <= allowed {
		return "", 0
	}
	n = int(max(0, min(own, lack)) + 0.5)
	if n == 0 && held[to].Workers < held[to].Wanted && held.largestSurplus() == self {
		n = 1
	}
	return to, n
}

// largestSurplus returns the partition with the most workers beyond what it wants, or "".
//
// Load pattern: many small partitions have one surplus worker each, and a large one lacks
// a few. No small partition exceeds its fair share by half a worker.
func (h WorkersByShard) largestSurplus() string {
	best, most := "", 0
	for shard, held := range h {
		spare := held.Workers - held.Wanted
		if spare > most || (spare == most && best != "" && shard < best) {
			best, most = shard, spare
		}
	}
	return best
}

// MissingKind returns a partition without a worker of some kind, and that kind, if this
// partition has several workers of the kind and more than any other partition.
//
// Load pattern: tasks that require a label of which the pool has few workers.
func MissingKind(held WorkersByShard, self string) (to, kind string) {
	largestHolder := map[string]string{}
	for shard, h := range held {
		for k, n := range h.Kinds {
			if m := largestHolder[k]; m == "" || n > held[m].Kinds[k] || (n == held[m].Kinds[k] && shard < m) {
				largestHolder[k] = shard
			}
		}
	}
	for k, shard := range largestHolder {
		if shard != self || held[self].Kinds[k] < 2 || (kind != "" && k > kind) {
			continue
		}
		lacking := ""
		for other, h := range held {
			if h.Workers > 0 && h.Kinds[k] == 0 && (lacking == "" || other < lacking) {
				lacking = other
			}
		}
		if lacking != "" {
			to, kind = lacking, k
		}
	}
	return to, kind
}

// Choose returns up to n of the workers for another partition, such that it gets some
// in every rack.
func Choose(workers []worker.Worker, n int, to WorkerCounts) []worker.ID {
	taken := map[string]int{}
	maps.Copy(taken, to.Racks)
	remaining := append([]worker.Worker(nil), workers...)
	sort.Slice(remaining, func(i, j int) bool { return remaining[i].ID < remaining[j].ID })
	var chosen []worker.ID
	for len(chosen) < n && len(remaining) > 0 {
		best := 0
		for i := range remaining {
			if taken[remaining[i].Rack()] < taken[remaining[best].Rack()] {
				best = i
			}
		}
		chosen = append(chosen, remaining[best].ID)
		taken[remaining[best].Rack()]++
		remaining = append(remaining[:best], remaining[best+1:]...)
	}
	return chosen
}
