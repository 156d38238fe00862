package membership_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/membership"
)

const team = fleet.TeamID("quotes")

func limits(n int) map[fleet.TeamID]int { return map[fleet.TeamID]int{team: n} }

// seesActive reports whether a seat of subject is active in the view of viewer.
func seesActive(viewer, subject *node) bool {
	for _, m := range viewer.View().Members {
		if m.Daemon == subject.name && m.Active {
			return true
		}
	}
	return false
}

var _ = Describe("a cell of daemons", func() {
	loadAll := func(s *scenario, nodes []*node, queued int) {
		for _, n := range nodes {
			n.load(s.ctx, team, queued, maxRun)
		}
	}

	scenarioIt("finds all its daemons and keeps a team limit under load", func(s *scenario) {
		c := s.cell(1, limits(10))
		nodes := c.startAll(8)
		loadAll(s, nodes, 5)
		time.Sleep(20 * interval)
		s.Expect(c.maxOvershoot()).To(BeNumerically("<=", 0))
		s.Expect(c.totalStarts()).To(BeNumerically(">", 20))
	})

	scenarioIt("frees the units of a killed daemon", func(s *scenario) {
		c := s.cell(2, limits(8))
		nodes := c.startAll(4)
		loadAll(s, nodes, 4)
		time.Sleep(10 * interval)
		seats := nodes[0].HeldSeats()
		nodes[0].kill()
		for _, n := range nodes[1:] {
			s.Eventually(func() bool { return seesActive(n, nodes[0]) }, 12*interval, interval/4).Should(BeFalse())
		}
		s.Eventually(func() []string { return c.keys("seats/" + string(seats[0])) }, 60*interval, interval/4).Should(BeEmpty())
		s.Eventually(func() int { return unitsOf(team, nodes[1:]...) }, 40*interval, interval/4).Should(Equal(8))
		s.Expect(c.maxOvershoot()).To(BeNumerically("<=", 0))
	})

	scenarioIt("does not let a daemon use a seat that was reclaimed while the daemon was frozen", func(s *scenario) {
		c := s.cell(3, limits(8))
		nodes := c.startAll(4)
		loadAll(s, nodes, 4)
		time.Sleep(10 * interval)
		old := nodes[0].HeldSeats()
		nodes[0].freeze()
		s.Eventually(func() []string { return c.keys("seats/" + string(old[0])) }, 60*interval, interval/4).Should(BeEmpty())
		c.expectProgress(nodes[1:]...)
		nodes[0].resume()
		s.Eventually(func() []fleet.SeatID { return nodes[0].HeldSeats() }, 40*interval, interval/4).
			Should(And(HaveLen(1), Not(Equal(old))))
		c.expectProgress(nodes...)
		s.Expect(c.maxOvershoot()).To(BeNumerically("<=", 0))
	})

	scenarioIt("serves without interruption while one daemon cannot reach the store", func(s *scenario) {
		c := s.cell(4, limits(8))
		nodes := c.startAll(4)
		loadAll(s, nodes, 4)
		c.expectProgress(nodes...)
		seats := nodes[0].HeldSeats()
		nodes[0].setFaults(func(f *storeClient) { f.unreachable = true })
		time.Sleep(40 * interval)
		s.Expect(nodes[0].StoreReachable()).To(BeFalse())
		s.Expect(nodes[0].StartPermitted()).To(BeTrue())
		c.expectProgress(nodes...)
		s.Expect(nodes[0].HeldSeats()).To(Equal(seats))
		s.Expect(c.maxOvershoot()).To(BeNumerically("<=", 0))
	})

	scenarioIt("serves without interruption at a daemon that reaches the store but no peer", func(s *scenario) {
		c := s.cell(5, limits(8))
		nodes := c.startAll(4)
		loadAll(s, nodes, 4)
		seats := nodes[0].HeldSeats()
		c.isolate(nodes[0])
		time.Sleep(40 * interval)
		s.Expect(seesActive(nodes[1], nodes[0])).To(BeFalse())
		s.Expect(nodes[0].StartPermitted()).To(BeTrue())
		s.Expect(nodes[0].HeldSeats()).To(Equal(seats))
		c.reconnect()
		s.Eventually(func() bool { return seesActive(nodes[1], nodes[0]) }, 20*interval, interval/4).Should(BeTrue())
		s.Expect(c.maxOvershoot()).To(BeNumerically("<=", 0))
	})

	scenarioIt("starts no work on a daemon that reaches neither the store nor a peer", func(s *scenario) {
		c := s.cell(6, limits(8))
		nodes := c.startAll(4)
		loadAll(s, nodes, 4)
		c.isolate(nodes[0])
		nodes[0].setFaults(func(f *storeClient) { f.unreachable = true })
		s.Eventually(nodes[0].StartPermitted, 14*interval, interval/4).Should(BeFalse())
		s.Expect(time.Since(nodes[0].LastContact())).To(BeNumerically(">", failure))
		before := c.startsOf(nodes[0])
		time.Sleep(30 * interval)
		s.Expect(c.startsOf(nodes[0])).To(Equal(before))
		c.expectProgress(nodes[1:]...)
		s.Expect(c.maxOvershoot()).To(BeNumerically("<=", 0))
	})

	scenarioIt("keeps its seats and serves through a store outage longer than every lease", func(s *scenario) {
		c := s.cell(7, limits(16))
		nodes := c.startAll(8)
		loadAll(s, nodes, 4)
		c.expectProgress(nodes...)
		var before [][]fleet.SeatID
		for _, n := range nodes {
			before = append(before, n.HeldSeats())
		}
		c.setStoreDown(true)
		time.Sleep(50 * interval)
		c.expectProgress(nodes...)
		c.setStoreDown(false)
		time.Sleep(20 * interval)
		for i, n := range nodes {
			s.Expect(n.HeldSeats()).To(Equal(before[i]))
		}
		c.expectProgress(nodes...)
		s.Expect(c.maxOvershoot()).To(BeNumerically("<=", 0))
	})

	scenarioIt("interrupts service in a store outage if the permission ends with the store lease (rejected design)", func(s *scenario) {
		c := s.cell(8, limits(16))
		nodes := c.startAll(4, func(n *node) { n.StopAtLeaseEnd() })
		loadAll(s, nodes, 4)
		c.setStoreDown(true)
		time.Sleep(lease + 2*interval)
		before := c.totalStarts()
		time.Sleep(20 * interval)
		s.Expect(c.totalStarts()).To(Equal(before))
	})

	// startWithFrozenHolder starts a cell in which a holder is frozen while its work continues at
	// the endpoint for nearly the maximum run time, and the other daemons have demand for all
	// units.
	const longRun = 60 * interval
	startWithFrozenHolder := func(s *scenario, seed uint64, setup ...func(*node)) *cell {
		c := s.cell(seed, limits(4))
		c.settings.maxRun = longRun
		c.setLimits(limits(4))
		nodes := c.startAll(3, setup...)
		s.Eventually(func() int { nodes[0].units.SetDemand(team, 4); return unitsOf(team, nodes[0]) },
			40*interval, interval/4).Should(Equal(4))
		loadAll(s, nodes[1:], 8)
		for range 4 {
			s.Expect(nodes[0].startWork(team, longRun-interval)).To(BeTrue())
		}
		nodes[0].freeze()
		return c
	}

	scenarioIt("exceeds the limit if a seat is reclaimed after a plain timeout while its holder is frozen (rejected design)", func(s *scenario) {
		c := startWithFrozenHolder(s, 9, func(n *node) { n.TimeoutReclaim() })
		s.Eventually(c.maxOvershoot, longRun-2*interval, interval/4).Should(BeNumerically(">", 0))
	})

	scenarioIt("reclaims a seat only after the work of its frozen holder has finished", func(s *scenario) {
		c := startWithFrozenHolder(s, 9)
		s.Consistently(c.maxOvershoot, longRun, interval).Should(BeNumerically("<=", 0))
		s.Eventually(func() []string { return c.keys("seats/") }, 2*longRun, interval).Should(HaveLen(2), c.dump)
		before := c.totalStarts()
		s.Eventually(c.totalStarts, 40*interval, interval).Should(BeNumerically(">", before))
		s.Expect(c.maxOvershoot()).To(BeNumerically("<=", 0))
	})

	scenarioIt("keeps the limit when store replies are lost and writes are delayed", func(s *scenario) {
		c := s.cell(10, limits(10))
		nodes := c.startAll(5)
		for _, n := range nodes {
			n.setFaults(func(f *storeClient) { f.loseReplies, f.delayWrites = 25, 25 })
		}
		for i, n := range nodes {
			n.load(s.ctx, team, i*3, maxRun)
		}
		time.Sleep(60 * interval)
		c.expectProgress(nodes[1:]...)
		s.Expect(c.maxOvershoot()).To(BeNumerically("<=", 0))
	})

	// Guards against starts before the sum of the entries fits the lowered limit.
	scenarioIt("starts no work above a limit that was lowered while work runs, and continues within it", func(s *scenario) {
		c := s.cell(11, limits(16))
		nodes := c.startAll(4)
		loadAll(s, nodes, 8)
		time.Sleep(15 * interval)
		for _, l := range []int{6, 3, 12, 2} {
			c.setLimits(limits(l))
			time.Sleep(20 * interval)
			before := c.totalStarts()
			time.Sleep(10 * interval)
			s.Expect(c.totalStarts()).To(BeNumerically(">", before))
		}
		s.Expect(c.maxOvershoot()).To(BeNumerically("<=", 0))
	})

	scenarioIt("keeps a limit of one and gives the unit to the daemon with the demand", func(s *scenario) {
		c := s.cell(12, limits(1))
		nodes := c.startAll(4)
		for _, n := range nodes {
			loadCtx, stopLoad := context.WithCancel(s.ctx)
			n.load(loadCtx, team, 3, interval/2)
			c.expectProgress(n)
			stopLoad()
		}
		loadAll(s, nodes, 2)
		time.Sleep(20 * interval)
		s.Expect(c.maxOvershoot()).To(BeNumerically("<=", 0))
	})

	scenarioIt("loses no seat and uses no unit twice in a rolling replacement while the store is down", func(s *scenario) {
		c := s.cell(13, limits(8))
		nodes := c.startAll(4)
		loadAll(s, nodes, 4)
		c.expectProgress(nodes...)
		seats := len(c.keys("seats/"))
		c.setStoreDown(true)
		for i := range nodes {
			replacement := c.start()
			replacement.MergeSeats(nodes[i].Seats())
			replacement.load(s.ctx, team, 4, maxRun)
			s.Eventually(func() int { return activeSeats(replacement) }, 20*interval, interval/4).Should(Equal(4))
			leaving, cancel := context.WithTimeout(s.ctx, 20*interval)
			s.Expect(nodes[i].Leave(leaving)).To(Succeed())
			s.Expect(nodes[i].WaitDrained(leaving)).To(Succeed())
			cancel()
			nodes[i].kill()
			nodes[i] = replacement
		}
		for _, n := range nodes {
			s.Eventually(n.HeldSeats, 40*interval, interval/4).Should(HaveLen(1))
		}
		c.expectProgress(nodes...)
		c.setStoreDown(false)
		time.Sleep(30 * interval)
		c.expectProgress(nodes...)
		s.Expect(c.keys("seats/")).To(HaveLen(seats))
		s.Expect(c.maxOvershoot()).To(BeNumerically("<=", 0))
	})

	scenarioIt("does not reuse units that a leaving daemon still uses", func(s *scenario) {
		c := s.cell(14, limits(4))
		nodes := c.startAll(3)
		s.Eventually(func() int { nodes[0].units.SetDemand(team, 4); return unitsOf(team, nodes[0]) }, 40*interval, interval/4).Should(Equal(4))
		for range 3 {
			s.Expect(nodes[0].startWork(team, 10*interval)).To(BeTrue())
		}
		loadAll(s, nodes[1:], 8)
		s.Expect(nodes[0].Leave(s.ctx)).To(Succeed())
		s.Expect(nodes[0].startWork(team, interval)).To(BeFalse())
		// The leaving daemon crashes before it reports that its work has finished.
		nodes[0].kill()
		time.Sleep(2 * interval)
		s.Expect(c.maxOvershoot()).To(BeNumerically("<=", 0))
		c.expectProgress(nodes[1:]...)
		s.Eventually(func() int { return unitsOf(team, nodes[1:]...) }, 60*interval, interval/4).Should(Equal(4))
		s.Expect(c.maxOvershoot()).To(BeNumerically("<=", 0))
	})

	scenarioIt("reclaims seats that an operator declares gone when no majority of their quorum is left", func(s *scenario) {
		c := s.cell(15, limits(4))
		nodes := c.startAll(3)
		nodes[0].kill()
		nodes[1].kill()
		time.Sleep(30 * interval)
		s.Expect(c.keys("seats/")).To(HaveLen(3))
		for _, m := range nodes[2].View().Members {
			if !m.Self {
				s.Expect(nodes[2].DeclareGone(m.Seat)).To(Succeed())
			}
		}
		s.Eventually(func() []string { return c.keys("seats/") }, 40*interval, interval/4).Should(HaveLen(1))
		s.Expect(nodes[2].DeclareGone("none")).To(BeAssignableToTypeOf(&membership.SeatError{}))
	})

	scenarioIt("keeps the number of seats constant over replacements", func(s *scenario) {
		c := s.cell(19, limits(8))
		nodes := c.startAll(3)
		loadAll(s, nodes, 2)
		for range 2 {
			for i := range nodes {
				nodes[i] = replace(s, c, nodes[i])
			}
		}
		s.Eventually(func() []string { return c.keys("seats/") }, 100*interval, interval).Should(HaveLen(3), c.dump)
		c.expectProgress(nodes...)
		s.Expect(c.maxOvershoot()).To(BeNumerically("<=", 0))
	})

	scenarioIt("deletes its last seat from the store when the last daemon stops", func(s *scenario) {
		c := s.cell(16, limits(4))
		nodes := c.startAll(1)
		loadAll(s, nodes, 1)
		c.expectProgress(nodes...)
		s.Expect(nodes[0].Leave(s.ctx)).To(Succeed())
		s.Expect(nodes[0].WaitDrained(s.ctx)).To(Succeed())
		s.Expect(c.keys("seats/")).To(BeEmpty())
	})

	scenarioIt("does not use a seat twice when handover messages are lost, delayed or repeated", func(s *scenario) {
		c := s.cell(17, limits(8))
		nodes := c.startAll(4)
		loadAll(s, nodes, 4)
		c.mu.Lock()
		c.loseReplies, c.repeat = 25, 40
		c.mu.Unlock()
		for range 2 {
			for i := range nodes {
				nodes[i] = replace(s, c, nodes[i])
			}
		}
		c.mu.Lock()
		c.loseReplies, c.repeat = 0, 0
		c.mu.Unlock()
		time.Sleep(12 * interval)
		// An unfinished handover leaves a seat without an occupant. When too many voters of
		// its quorum are lost in the same way, only an operator can free it.
		for _, m := range nodes[0].View().Members {
			if !m.Active {
				for _, n := range nodes {
					s.Expect(n.HeldSeats()).NotTo(ContainElement(m.Seat), c.dump)
				}
				s.Expect(nodes[0].DeclareGone(m.Seat)).To(Succeed())
			}
		}
		c.expectProgress(nodes...)
		s.Expect(c.maxOvershoot()).To(BeNumerically("<=", 0))
	})

	// Guards against a reclaim that is lost with its reclaimer or performed twice.
	scenarioIt("completes a reclaim while a possible reclaimer is frozen, and keeps the limit after it resumes", func(s *scenario) {
		c := s.cell(18, limits(10))
		nodes := c.startAll(8)
		loadAll(s, nodes, 4)
		c.expectProgress(nodes...)
		for _, n := range nodes {
			n.setFaults(func(f *storeClient) { f.loseReplies = 20 })
		}
		old := append(nodes[0].HeldSeats(), nodes[1].HeldSeats()...)
		nodes[0].kill()
		nodes[1].freeze()
		marked := func() bool {
			c.store.mu.Lock()
			defer c.store.mu.Unlock()
			return strings.Contains(string(c.store.records["seats/"+string(old[0])].Value), "reclaiming")
		}
		s.Eventually(marked, 60*interval, interval/4).Should(BeTrue())
		// One possible reclaimer is frozen here and resumes after the others have finished.
		nodes[2].freeze()
		for _, seat := range old {
			s.Eventually(func() []string { return c.keys("seats/" + string(seat)) }, 80*interval, interval/4).Should(BeEmpty())
		}
		nodes[1].resume()
		nodes[2].resume()
		c.expectProgress(nodes[1:]...)
		s.Expect(c.maxOvershoot()).To(BeNumerically("<=", 0))
	})

	// runRandomFaults runs a cell under a random schedule of faults.
	runRandomFaults := func(s *scenario, seed uint64) {
		c := s.cell(seed, limits(9))
		nodes := c.startAll(5)
		loadAll(s, nodes, 5)
		rng := rand.New(rand.NewPCG(seed, 1))
		for range 25 {
			i := rng.IntN(len(nodes))
			n := nodes[i]
			switch rng.IntN(12) {
			case 0:
				n.freeze()
			case 1, 2:
				n.resume()
			case 3:
				c.isolate(n)
			case 4:
				c.reconnect()
			case 5:
				n.setFaults(func(f *storeClient) { f.unreachable = !f.unreachable })
			case 6:
				n.setFaults(func(f *storeClient) { f.loseReplies, f.delayWrites = rng.IntN(50), rng.IntN(30) })
			case 7:
				c.setStoreDown(rng.IntN(2) == 0)
			case 8:
				c.setLimits(limits(3 + rng.IntN(9)))
			case 9:
				c.mu.Lock()
				c.loseReplies, c.repeat = rng.IntN(40), rng.IntN(40)
				c.mu.Unlock()
			case 10:
				n.resume()
				nodes[i] = replace(s, c, n)
			case 11:
				n.kill()
				nodes[i] = c.start()
				nodes[i].load(s.ctx, team, 5, maxRun)
			}
			time.Sleep(time.Duration(rng.Int64N(int64(8 * interval))))
		}
		c.reconnect()
		c.setStoreDown(false)
		c.mu.Lock()
		c.loseReplies, c.repeat = 0, 0
		c.mu.Unlock()
		for _, n := range nodes {
			n.resume()
			n.setFaults(func(f *storeClient) { f.unreachable, f.loseReplies, f.delayWrites = false, 0, 0 })
		}
		// Units of killed daemons may stay unavailable when the majority of a quorum is lost.
		for _, n := range nodes {
			s.Eventually(n.StartPermitted, 60*interval, interval/4).Should(BeTrue(), c.dump)
		}
		s.Expect(c.maxOvershoot()).To(BeNumerically("<=", 0))
	}
	for _, seed := range []uint64{101, 102, 103, 104, 105, 106} {
		scenarioIt(fmt.Sprintf("keeps the limit under a random schedule of faults (seed %d)", seed), func(s *scenario) { runRandomFaults(s, seed) })
	}
})

// replace starts a daemon, makes old leave and returns the new one.
func replace(s *scenario, c *cell, old *node) *node {
	replacement := c.start()
	replacement.MergeSeats(old.Seats())
	replacement.load(s.ctx, team, 4, maxRun)
	ctx, cancel := context.WithTimeout(s.ctx, 12*interval)
	defer cancel()
	// With faults the handover may not complete; then the seat is reclaimed.
	_ = old.Leave(ctx)
	_ = old.WaitDrained(ctx)
	old.kill()
	return replacement
}
