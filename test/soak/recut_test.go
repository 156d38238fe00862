package soak

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"samphirestile.example/samphirestile/internal/emulator/process"
	"samphirestile.example/samphirestile/internal/emulator/relay"
	"samphirestile.example/samphirestile/internal/fleet"
)

var recutSeeds = flag.Int("soak.recutseeds", 1, "number of seeds in which workers restart at once and are cut off soon after")

const (
	// recutWorkers are enough that a third of them restarts at once with many tasks each.
	recutWorkers = 16
	// recutSeries is how often that happens in one seed.
	recutSeries = 2
)

var _ = Describe("daemons while workers restart at once and are cut off soon after", func() {
	// Guards against leases, runs and starts of the former life of a worker that are taken for those of the new one: two runs
	// of a task at once, on two workers.
	Describe("keep their guarantees", func() {
		for i := range *recutSeeds {
			seed := *firstSeed + uint64(i)
			It(fmt.Sprintf("seed %d", seed), func() { runRecutSeed(seed) })
		}
	})
})

func runRecutSeed(seed uint64) {
	GinkgoHelper()
	// The clocks of new incarnations begin below those of the former ones, as in the report.
	workers := startProcessWorkersOf(recutWorkers, []fleet.ServiceID{service}, "--clock-start", "1ms")
	runScene(&jobLoad{seed: seed, maxPause: 3 * jobPause, manyLong: true}, workers, func(s *schedule) {
		r := rand.New(rand.NewPCG(seed, 6))
		time.Sleep(randomDuration(r, 3*time.Second, 5*time.Second))
		for range recutSeries {
			s.recut(r)
		}
	})
}

// recut kills a part of the workers at once and starts them again under their IDs, ends a daemon in some cases, and cuts
// these workers off for longer than their leases last.
func (s *schedule) recut(r *rand.Rand) {
	pool := s.cell.pool.(*processPool)
	var part []*processWorker
	for _, i := range r.Perm(len(pool.workers))[:len(pool.workers)/3+r.IntN(len(pool.workers)/3)] {
		part = append(part, pool.workers[i])
	}
	down := randomDuration(r, 100*time.Millisecond, time.Second)
	silent := relay.Switches{BlackholeUp: true, BlackholeDown: true}
	kept := relay.Switches{BlackholeUp: true, BlackholeDown: true, HoldNew: true}
	// Connections to a process that ended are reset, those to a host that lost power stay silent, and a network may deliver what
	// was sent meanwhile to the next incarnation.
	whileDown := []relay.Switches{{Refuse: true}, silent, kept}[r.IntN(3)]
	whileCut := []relay.Switches{silent, kept}[r.IntN(2)]
	s.record("%d workers killed for %v, meanwhile: %s", len(part), down, nonZero(whileDown))
	each(part, func(w *processWorker) error { return w.killWith(whileDown) }, s)
	time.Sleep(down)
	each(part, (*processWorker).start, s)
	cutAfter := randomDuration(r, 100*time.Millisecond, 2600*time.Millisecond)
	// The entry of a worker that is cut off is not written.
	if listed := randomDuration(r, 0, maxListDelay); listed < cutAfter {
		s.pending.Go(func() {
			time.Sleep(listed)
			each(part, (*processWorker).list, s)
		})
	}
	switch r.IntN(4) {
	case 0, 1:
		s.endOwner(randomDuration(r, 50*time.Millisecond, 2*time.Second), randomDuration(r, time.Millisecond, time.Second), (*process.Process).Kill, "killed")
	case 2:
		s.endOwner(randomDuration(r, 50*time.Millisecond, 2*time.Second), time.Millisecond, (*process.Process).Terminate, "terminated")
	}
	time.Sleep(cutAfter)
	length := randomDuration(r, 3*time.Second, 9*time.Second)
	s.record("the same workers cut off for %v: %s", length, nonZero(whileCut))
	var cuts []*fault
	for _, w := range part {
		cuts = append(cuts, s.beginFor(w.listed.ID))
	}
	each(part, func(w *processWorker) error { return w.relay.Set(whileCut) }, s)
	time.Sleep(length)
	each(part, func(w *processWorker) error { return errors.Join(w.relay.Set(w.switches), w.list()) }, s)
	s.end(cuts...)
	s.pending.Wait()
	time.Sleep(randomDuration(r, time.Second, 4*time.Second))
}

// each calls a function for all workers at once.
func each(workers []*processWorker, f func(*processWorker) error, s *schedule) {
	var group sync.WaitGroup
	for _, w := range workers {
		group.Go(func() {
			if err := f(w); err != nil {
				s.record("worker %s: %v", w.listed.ID, err)
			}
		})
	}
	group.Wait()
}

// endOwner ends a daemon after a time, in most cases the one that owns the shard, and starts it again.
func (s *schedule) endOwner(after, down time.Duration, end func(*process.Process), what string) {
	s.pending.Go(func() {
		time.Sleep(after)
		i := s.cell.owner(string(service))
		s.record("daemon-%d %s, started again after %v", i, what, down)
		n, f := s.cell.nodes[i], s.begin()
		n.withProcess(end)
		s.undoAfter(down, f, func() {
			n.mu.Lock()
			p := n.p
			n.mu.Unlock()
			if _, err := p.Wait(readyTimeout); err != nil {
				s.record("wait for the exit of daemon-%d: %v", i, err)
			}
			s.startDaemon(i)
		})
	})
}
