package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/emulator/process"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/worker"
	"samphirestile.example/samphirestile/platform/standin"
)

var evacuationSeeds = flag.Int("soak.evacuationseeds", 1, "number of seeds in which a zone is evacuated while owners are killed")

// evacuationSeries is how often a zone is evacuated in one seed.
const evacuationSeries = 2

// closure is a time span in which no task may start in a zone.
type closure struct {
	zone     fleet.AvailabilityZone
	from, to time.Time
}

var _ = Describe("daemons while a zone is evacuated and owners are killed", func() {
	// Guards against starts in an evacuated zone by an owner that has just taken over or that misses changes of the store, and
	// against a zone that stays closed.
	Describe("keep their guarantees, start nothing there and use it again", func() {
		for i := range *evacuationSeeds {
			seed := *firstSeed + uint64(i)
			It(fmt.Sprintf("seed %d", seed), func() { runEvacuationSeed(seed) })
		}
	})
})

func runEvacuationSeed(seed uint64) {
	GinkgoHelper()
	zones := map[worker.ID]fleet.AvailabilityZone{}
	var closures []closure
	var opened closure
	l := &jobLoad{seed: seed, maxPause: jobPause}
	zoned := func(c *cell, seed uint64) (workerPool, error) {
		c.platform.Zones = []fleet.AvailabilityZone{"z0", "z1"}
		pool, err := startEmulatedWorkers(c, seed)
		for id, w := range c.platform.Workers.List() {
			zones[id] = w.AvailabilityZone
		}
		return pool, err
	}
	runScene(l, zoned, func(s *schedule) {
		r := rand.New(rand.NewPCG(seed, 7))
		time.Sleep(randomDuration(r, time.Second, 3*time.Second))
		for range evacuationSeries {
			opened = s.evacuate(r)
			closures = append(closures, opened)
			time.Sleep(randomDuration(r, 4*time.Second, 5*time.Second))
		}
	})
	before, after := 0, 0
	for _, e := range l.cell.pool.events() {
		if e.Kind != cluster.Started {
			continue
		}
		for _, c := range closures {
			Expect(zones[e.Worker] == c.zone && e.At.After(c.from) && e.At.Before(c.to)).To(BeFalse(),
				"seed %d: %s started on %s in zone %s %v after the bound", seed, e.Task, e.Worker, c.zone, e.At.Sub(c.from))
		}
		switch {
		case zones[e.Worker] != opened.zone:
		case e.At.Before(closures[0].from):
			before++
		case e.At.After(opened.to):
			after++
		}
	}
	Expect(before).To(BeNumerically(">", 0), "seed %d: the zone got no tasks before its evacuation", seed)
	Expect(after).To(BeNumerically(">", 0), "seed %d: the zone is not used again", seed)
}

// evacuate evacuates a zone and takes it back, while owners are killed and the watches of the store may be silent.
func (s *schedule) evacuate(r *rand.Rand) closure {
	c := closure{zone: s.cell.platform.Zones[r.IntN(2)]}
	if r.IntN(2) == 0 {
		s.record("watches silent")
		f := s.begin()
		s.cell.platform.Store.SetFaults(cluster.StoreFaults{StallWatches: true})
		s.undoAfter(randomDuration(r, 2*time.Second, 8*time.Second), f, func() { s.cell.platform.Store.SetFaults(cluster.StoreFaults{}) })
	}
	// Kills before, at and after the evacuation.
	for range 3 {
		s.endOwner(randomDuration(r, time.Millisecond, 9*time.Second), randomDuration(r, time.Millisecond, time.Second), (*process.Process).Kill, "killed")
	}
	time.Sleep(randomDuration(r, 0, 2*time.Second))
	Expect(s.cell.platform.Evacuate(c.zone, true)).To(Succeed())
	s.record("zone %s evacuated", c.zone)
	c.from = time.Now().Add(standin.EvacuationBound)
	time.Sleep(standin.EvacuationBound + randomDuration(r, 3*time.Second, 6*time.Second))
	c.to = time.Now()
	Expect(s.cell.platform.Evacuate(c.zone, false)).To(Succeed())
	s.record("zone %s open again", c.zone)
	s.pending.Wait()
	return c
}
