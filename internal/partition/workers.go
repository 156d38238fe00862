package partition

import (
	"maps"
	"sort"

	"samphirestile.example/samphirestile/internal/worker"
)

// WorkerCounts counts the workers of one part, in all, by kind and by rack.
type WorkerCounts struct {
	Workers      int
	Kinds, Racks map[string]int
	// Wanted is how many workers the part needs for what it has to do.
	Wanted int
}

func (h *WorkerCounts) add(w worker.Worker) {
	if h.Racks == nil {
		h.Kinds, h.Racks = map[string]int{}, map[string]int{}
	}
	h.Workers++
	h.Kinds[w.Kind()]++
	h.Racks[w.Rack()]++
}

// WorkersByShard are the workers of a pool's parts, by shard.
type WorkersByShard map[string]*WorkerCounts

// Add counts a worker for a shard.
func (h WorkersByShard) Add(shard string, w worker.Worker) {
	if h[shard] == nil {
		h[shard] = &WorkerCounts{}
	}
	h[shard].add(w)
}

// due returns how many workers a part should have out of so many: what it wants
// and an even share of the rest, or its share of what all want while they are short.
//
// Load pattern: in the first seconds of a turn the pool has half of what it wants. A
// part with a long queue wants twice what its neighbour does; both must drain alike.
func (h WorkersByShard) due(shard string, workers int) float64 {
	wanted := 0
	for _, held := range h {
		wanted += held.Wanted
	}
	own := float64(h[shard].Wanted)
	if wanted > workers {
		return own * float64(workers) / float64(wanted)
	}
	return own + float64(workers-wanted)/float64(len(h))
}

func (h WorkersByShard) workers() int {
	n := 0
	for _, held := range h {
		n += held.Workers
	}
	return n
}

// least returns the shard that has no worker of the kind, then the one that lacks
// most of what is due to it, then the one with the fewest in the rack.
func (h WorkersByShard) least(kind, rack string) string {
	workers := h.workers()
	best := ""
	for shard, held := range h {
		if best == "" {
			best = shard
			continue
		}
		b := h[best]
		own, other := float64(held.Workers)-h.due(shard, workers), float64(b.Workers)-h.due(best, workers)
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

// Assign divides workers that no part has. All owners of parts come to the same
// result from the same view, so that each takes its own at once.
//
// Load pattern: dozens of workers arrive in one pool within a second, and the
// parts should stay alike, each with workers of every rack.
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
		shard := held.least(w.Kind(), w.Rack())
		if shard == "" {
			return out
		}
		held[shard].add(w)
		out[w.ID] = shard
	}
	return out
}

const (
	// evenWorkers and evenShare of a part's mean are differences that are left while
	// no part lacks workers: each transfer takes a write, and workers come and go.
	evenWorkers = 2
	evenShare   = 0.2
)

// Surplus returns how many workers a part should give, and to which.
//
// Load pattern: a part that was split keeps all of its workers, and moves between
// pools take them from one part more than from the next. A job whose tasks last
// and may not share workers needs more of them than an even part of the pool.
func Surplus(held WorkersByShard, self string) (to string, n int) {
	if len(held) < 2 || held[self] == nil {
		return "", 0
	}
	workers := held.workers()
	mean := float64(workers) / float64(len(held))
	to = held.least("", "")
	own := float64(held[self].Workers) - held.due(self, workers)
	lack := held.due(to, workers) - float64(held[to].Workers)
	allowed := max(evenWorkers, evenShare*mean)
	if held[to].Workers < held[to].Wanted {
		allowed = 1
	}
	if to == self || own+lack <= allowed {
		return "", 0
	}
	n = int(max(0, min(own, lack)) + 0.5)
	if n == 0 && held[to].Workers < held[to].Wanted && held.mostToSpare() == self {
		n = 1
	}
	return to, n
}

// mostToSpare returns the part that has most workers beyond what it wants, or "".
//
// Load pattern: many small parts with one worker to spare each, beside a large one
// that lacks a few. No small part has half a worker more than is due to it.
func (h WorkersByShard) mostToSpare() string {
	best, most := "", 0
	for shard, held := range h {
		spare := held.Workers - held.Wanted
		if spare > most || (spare == most && best != "" && shard < best) {
			best, most = shard, spare
		}
	}
	return best
}

// MissingKind returns a part that has no worker of a kind of which this part has
// several, and more than any other part.
//
// Load pattern: tasks that require a label of which the pool has few workers.
func MissingKind(held WorkersByShard, self string) (to, kind string) {
	most := map[string]string{}
	for shard, h := range held {
		for k, n := range h.Kinds {
			if m := most[k]; m == "" || n > held[m].Kinds[k] || (n == held[m].Kinds[k] && shard < m) {
				most[k] = shard
			}
		}
	}
	for k, shard := range most {
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

// Choose returns up to n of the workers for another part, so that it gets some of every rack.
func Choose(workers []worker.Worker, n int, to WorkerCounts) []worker.ID {
	taken := map[string]int{}
	maps.Copy(taken, to.Racks)
	rest := append([]worker.Worker(nil), workers...)
	sort.Slice(rest, func(i, j int) bool { return rest[i].ID < rest[j].ID })
	var chosen []worker.ID
	for len(chosen) < n && len(rest) > 0 {
		best := 0
		for i := range rest {
			if taken[rest[i].Rack()] < taken[rest[best].Rack()] {
				best = i
			}
		}
		chosen = append(chosen, rest[best].ID)
		taken[rest[best].Rack()]++
		rest = append(rest[:best], rest[best+1:]...)
	}
	return chosen
}
