package hosts

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

const emulatedMaintenance = 100 * time.Millisecond

// emulatedHosts emulates a platform with hosts and the shards that use them.
type emulatedHosts struct {
	mu             sync.Mutex
	hosts          map[fleet.HostID]*Host
	upAgainAt      map[fleet.HostID]time.Time
	maintenances   map[fleet.HostID]int
	commands       []string
	maxDown        int
	busy           map[worker.ID]bool
	demand         map[fleet.ServiceID]Demand
	loseNextAnswer bool
	// slowWorkers delays each answer about a worker, slowCommands each answer to a command.
	slowWorkers, slowCommands time.Duration
	// maintenanceTime is how long a host is down for maintenance.
	maintenanceTime time.Duration
}

var errLost = errors.New("answer lost")

func newEmulatedHosts(pools map[fleet.ServiceID]int) *emulatedHosts {
	e := &emulatedHosts{
		hosts: map[fleet.HostID]*Host{}, upAgainAt: map[fleet.HostID]time.Time{}, maintenances: map[fleet.HostID]int{},
		maintenanceTime: emulatedMaintenance, busy: map[worker.ID]bool{}, demand: map[fleet.ServiceID]Demand{},
	}
	for pool, n := range pools {
		for i := range n {
			id := fleet.HostID(fmt.Sprintf("%s-%d", pool, i))
			e.hosts[id] = &Host{ID: id, Pool: pool, State: Up, Worker: worker.ID("w-" + string(id))}
		}
	}
	return e
}

func (e *emulatedHosts) List(context.Context) ([]Host, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []Host
	for id, h := range e.hosts {
		if h.State != Up && time.Now().After(e.upAgainAt[id]) {
			h.State = Up
		}
		list = append(list, *h)
	}
	return list, nil
}

func (e *emulatedHosts) Maintain(ctx context.Context, by Holder, id fleet.HostID, _ int64) error {
	if err := e.maintain(by, id); err != nil {
		return err
	}
	monotonic.Sleep(ctx, e.slowCommands)
	if ctx.Err() != nil {
		return &NoAnswerError{ctx.Err()}
	}
	return nil
}

func (e *emulatedHosts) maintain(by Holder, id fleet.HostID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy[e.hosts[id].Worker] {
		return fmt.Errorf("%s is busy", id)
	}
	e.maintenances[id]++
	e.hosts[id].State, e.upAgainAt[id] = Maintenance, time.Now().Add(e.maintenanceTime)
	e.commands = append(e.commands, by.Name+" "+string(id))
	down := 0
	for other, h := range e.hosts {
		if h.State == Maintenance && time.Now().Before(e.upAgainAt[other]) {
			down++
		}
	}
	e.maxDown = max(e.maxDown, down)
	if e.loseNextAnswer {
		e.loseNextAnswer = false
		return &NoAnswerError{errLost}
	}
	return nil
}

func (e *emulatedHosts) Move(_ context.Context, _ Holder, id fleet.HostID, to fleet.ServiceID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hosts[id].Pool, e.hosts[id].State, e.upAgainAt[id] = to, Moving, time.Now().Add(emulatedMaintenance)
	return nil
}

func (e *emulatedHosts) Empty(_ context.Context, _ fleet.ServiceID, id worker.ID) (bool, error) {
	time.Sleep(e.slowWorkers)
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.busy[id], nil
}

func (e *emulatedHosts) Demand(_ context.Context, pool fleet.ServiceID, _ []worker.ID) (Demand, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.demand[pool]
	d.Releasable = nil
	for _, h := range e.hosts {
		if h.Pool == pool {
			d.Releasable = append(d.Releasable, h.Worker)
		}
	}
	return d, nil
}

func (e *emulatedHosts) size(pool fleet.ServiceID) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, h := range e.hosts {
		if h.Pool == pool {
			n++
		}
	}
	return n
}

func (e *emulatedHosts) maintained() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.maintenances)
}

var _ = Describe("the holder of the singleton role for hosts", func() {
	var (
		e     *emulatedHosts
		s     *cluster.Store
		waves []Wave
	)
	start := func(name string) (*Manager, func()) {
		quiet := logrus.New()
		quiet.SetOutput(io.Discard)
		_, err := s.Commit(context.Background(), store.Transaction{Removals: []string{"own"}})
		Expect(err).NotTo(HaveOccurred())
		token, err := s.Commit(context.Background(), store.Transaction{Writes: []store.Write{{Key: "own", Value: []byte(name)}}})
		Expect(err).NotTo(HaveOccurred())
		m := New(Config{
			Platform: e, Store: s, Shards: e, Holder: Holder{name, token}, OwnerKey: "own", Valid: func() bool { return true },
			Waves: func() []Wave { return waves }, Pools: func() []fleet.ServiceID { return []fleet.ServiceID{"a", "b"} },
			Spare:     func() map[fleet.ServiceID]bool { return map[fleet.ServiceID]bool{"rest": true} },
			StatusKey: func(n int64) string { return fmt.Sprintf("status/%d", n) },
			EncodeStatus: func(done bool) []byte {
				if done {
					return []byte("completed")
				}
				return []byte("running")
			},
			MaintenanceTime: emulatedMaintenance, MoveTime: emulatedMaintenance, TermGap: 0, Log: quiet,
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			m.Run(ctx)
		}()
		stop := func() { cancel(); <-done }
		DeferCleanup(stop)
		return m, stop
	}
	status := func() string {
		entry, err := s.Get(context.Background(), "status/1")
		if err != nil {
			return err.Error()
		}
		return string(entry.Value)
	}
	all := func() []fleet.HostID {
		var ids []fleet.HostID
		for id := range e.hosts {
			ids = append(ids, id)
		}
		return ids
	}
	BeforeEach(func() {
		s, waves = cluster.NewStore(), nil
		e = newEmulatedHosts(map[fleet.ServiceID]int{"a": 4, "b": 4, "rest": 2})
		e.demand["a"], e.demand["b"] = Demand{Wanted: 4}, Demand{Wanted: 4}
	})

	It("does not lose a record to an older write of it that is carried out later", func() {
		m, stop := start("x")
		stop()
		s.SetFaults(cluster.StoreFaults{DelayWrites: 300 * time.Millisecond})
		Expect(m.write(context.Background(), "wave", []byte("old"))).NotTo(Succeed())
		s.SetFaults(cluster.StoreFaults{})
		Expect(m.write(context.Background(), "wave", []byte("new"))).To(Succeed())
		time.Sleep(500 * time.Millisecond)
		record, err := s.Get(context.Background(), "wave")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(record.Value)).To(Equal("new"))
		Expect(m.write(context.Background(), "wave", []byte("newer"))).To(Succeed())
	})
	It("maintains each host once and never more at the same time than allowed", func() {
		waves = []Wave{{Number: 1, Hosts: all(), Within: time.Minute, AtOnce: 2}}
		start("x")
		Eventually(status, "20s").Should(Equal("completed"))
		Expect(e.maxDown).To(BeNumerically("<=", 2))
		Expect(e.maintenances).To(HaveLen(10))
		for id, n := range e.maintenances {
			Expect(n).To(Equal(1), string(id))
		}
	})

	It("does not report a wave as completed while one of its hosts is busy", func() {
		e.busy["w-a-0"] = true
		waves = []Wave{{Number: 1, Hosts: []fleet.HostID{"a-0", "b-0"}, Within: time.Minute, AtOnce: 2}}
		start("x")
		Eventually(e.maintained, "5s").Should(Equal(1))
		Consistently(status, "500ms").Should(Equal("running"))
		e.mu.Lock()
		e.busy["w-a-0"] = false
		e.mu.Unlock()
		Eventually(status, "5s").Should(Equal("completed"))
	})

	It("maintains other hosts while one that comes before them is busy", func() {
		e.busy["w-a-0"] = true
		e.demand["a"] = Demand{Wanted: 1}
		waves = []Wave{{Number: 1, Hosts: []fleet.HostID{"a-0", "a-1", "a-2"}, Within: time.Minute, AtOnce: 1}}
		start("x")
		Eventually(e.maintained, "5s").Should(Equal(2))
		Expect(e.maxDown).To(BeNumerically("<=", 1))
	})

	It("maintains and moves dozens of hosts within a second although owners answer slowly", func() {
		e = newEmulatedHosts(map[fleet.ServiceID]int{"a": 60, "b": 60})
		e.slowWorkers = 40 * time.Millisecond
		e.demand["a"], e.demand["b"] = Demand{Wanted: 90}, Demand{Wanted: 2}
		waves = []Wave{{Number: 1, Hosts: nil, Within: time.Minute, AtOnce: 30}}
		for i := range 30 {
			waves[0].Hosts = append(waves[0].Hosts, fleet.HostID(fmt.Sprintf("b-%d", i)))
		}
		start("x")
		Eventually(func() int { return e.maintained() + e.size("a") - 60 }, "1500ms").Should(BeNumerically(">=", 40))
	})

	It("waits for slow answers to its commands while it holds the role", func() {
		e.slowCommands = finishTimeout + 200*time.Millisecond
		waves = []Wave{{Number: 1, Hosts: []fleet.HostID{"a-0"}, Within: time.Minute, AtOnce: 1}}
		start("x")
		Eventually(status, "8s").Should(Equal("completed"))
		Expect(e.maintenances).To(Equal(map[fleet.HostID]int{"a-0": 1}))
	})

	It("respects the limit of hosts down when the role is handed over while commands are in flight", func() {
		e.slowCommands, e.maintenanceTime = 100*time.Millisecond, time.Second
		waves = []Wave{{Number: 1, Hosts: all(), Within: time.Minute, AtOnce: 3}}
		_, stop := start("x")
		Eventually(e.maintained, "5s").Should(Equal(3))
		stop()
		start("y")
		Consistently(func() int {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.maxDown
		}, "1500ms").Should(BeNumerically("<=", 3))
		Eventually(e.maintained, "5s").Should(BeNumerically(">", 3))
	})

	It("respects the limit of hosts down after a holder that could not record the results of its commands", func() {
		e.slowCommands, e.maintenanceTime = 100*time.Millisecond, time.Second
		waves = []Wave{{Number: 1, Hosts: all(), Within: time.Minute, AtOnce: 3}}
		_, stop := start("x")
		Eventually(e.maintained, "5s").Should(Equal(3))
		s.SetFaults(cluster.StoreFaults{Down: true})
		stop()
		s.SetFaults(cluster.StoreFaults{})
		start("y")
		Consistently(func() int {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.maxDown
		}, "800ms").Should(BeNumerically("<=", 3))
		Eventually(e.maintained, "10s").Should(Equal(10))
	})

	It("counts a host as down if the answer to its command is lost", func() {
		e.loseNextAnswer = true
		waves = []Wave{{Number: 1, Hosts: all(), Within: time.Minute, AtOnce: 1}}
		start("x")
		Eventually(e.maintained, "5s").Should(BeNumerically(">=", 3))
		Expect(e.maxDown).To(Equal(1))
	})

	It("continues a wave after a change of the holder", func() {
		waves = []Wave{{Number: 1, Hosts: all(), Within: time.Minute, AtOnce: 2}}
		first, stop := start("x")
		Eventually(e.maintained, "5s").Should(BeNumerically(">=", 3))
		stop()
		Expect(first.Release(context.Background())).To(Succeed())
		start("y")
		Eventually(status, "20s").Should(Equal("completed"))
		for id, n := range e.maintenances {
			Expect(n).To(BeNumerically("<=", 2), string(id))
		}
	})

	It("uses the last known demand of a pool while its owner changes, but not for longer than demandTTL", func() {
		m, stop := start("x")
		e.mu.Lock()
		e.demand["a"] = Demand{Wanted: 6}
		e.mu.Unlock()
		Eventually(func() int { return e.size("a") }, "5s").Should(Equal(6))
		stop()
		now := monotonic.Now()
		m.demand = map[fleet.ServiceID]Demand{}
		wanted := func(at monotonic.Time) int {
			for _, p := range m.poolStates(at) {
				if p.name == "a" {
					return p.wanted
				}
			}
			return -1
		}
		Expect(wanted(now)).To(Equal(6))
		Expect(wanted(now.Add(2 * demandTTL))).To(BeZero())
	})

	It("keeps the size of a pool whose owner is new and whose demand is unknown", func() {
		e.mu.Lock()
		e.demand["a"], e.demand["b"] = Demand{Wanted: 2, Settling: true}, Demand{Wanted: 8}
		e.mu.Unlock()
		before := e.size("a")
		start("x")
		Consistently(func() int { return e.size("a") }, "3s").Should(Equal(before))
	})

	// Rolling restarts change the owners of pools every other second, also of pools
	// whose demand peak has just ended. Their surplus must stay available to others.
	It("lends the surplus hosts of a pool while its owner changes", func() {
		start("x")
		e.mu.Lock()
		e.demand["a"], e.demand["b"] = Demand{Wanted: 6}, Demand{Wanted: 2}
		e.mu.Unlock()
		Eventually(func() int { return e.size("a") }, "5s").Should(Equal(6))
		e.mu.Lock()
		e.demand["a"] = Demand{Wanted: 2}
		e.mu.Unlock()
		// Wait for the last answer before the new owner takes over.
		time.Sleep(2 * demandInterval)
		e.mu.Lock()
		e.demand["a"], e.demand["b"] = Demand{Wanted: 1, Settling: true}, Demand{Wanted: 8}
		e.mu.Unlock()
		Eventually(func() int { return e.size("b") }, "1500ms").Should(BeNumerically(">", 4))
	})

	It("moves hosts to the pool with a demand peak and switches off hosts that no pool needs", func() {
		start("x")
		e.mu.Lock()
		e.demand["a"] = Demand{Wanted: 6}
		e.mu.Unlock()
		Eventually(func() int { return e.size("a") }, "5s").Should(Equal(6))
		e.mu.Lock()
		// Now neither pool wants six of the hosts.
		e.demand["a"], e.demand["b"] = Demand{Wanted: 2}, Demand{Wanted: 2}
		e.mu.Unlock()
		Eventually(func() int { return e.size("rest") }, "10s").Should(BeNumerically(">=", 2))
		Eventually(func() int { return e.size("a") }, "10s").Should(BeNumerically("<", 6))
	})
})

var _ = Describe("the planning of moves", func() {
	now := monotonic.Time(time.Hour)
	anyHost := func(Host) bool { return true }
	// newPool returns a pool that has wanted all of its hosts until surplusFor ago, and
	// the wanted number since.
	newPool := func(name fleet.ServiceID, hosts, wanted int, surplusFor time.Duration) *pool {
		var h wantedHistory
		h.record(now.Add(-time.Hour/2), hosts)
		h.record(now.Add(-surplusFor), wanted)
		p := &pool{name: name, known: true, wanted: wanted, lendPeak: h.peak(now, lendDelay), switchOffPeak: h.peak(now, switchOffDelay)}
		for i := range hosts {
			h := Host{ID: fleet.HostID(fmt.Sprintf("%s-%d", name, i)), Pool: name, State: Up, Worker: worker.ID(fmt.Sprintf("%s-%d", name, i))}
			p.hosts = append(p.hosts, h)
			p.releasable = append(p.releasable, h.Worker)
		}
		return p
	}
	It("moves hosts that are switched off first", func() {
		spare := newPool("rest", 2, 0, 0)
		spare.spare = true
		moves := planMoves([]*pool{newPool("a", 4, 7, 0), newPool("b", 6, 4, time.Second), spare}, 12, anyHost)
		Expect(moves).To(HaveLen(3))
		Expect(string(moves[0].Host)).To(HavePrefix("rest"))
		Expect(string(moves[1].Host)).To(HavePrefix("rest"))
		Expect(string(moves[2].Host)).To(HavePrefix("b"))
	})
	It("moves no host from a pool whose demand is unknown", func() {
		unknown := newPool("b", 9, 0, time.Hour)
		unknown.known = false
		Expect(planMoves([]*pool{newPool("a", 4, 7, 0), unknown}, 12, anyHost)).To(BeEmpty())
	})
	It("moves hosts to a pool whose owner changes during a demand peak", func() {
		atPeak := newPool("a", 4, 7, 0)
		atPeak.known = false
		moves := planMoves([]*pool{atPeak, newPool("b", 9, 5, time.Hour)}, 12, anyHost)
		Expect(moves).To(HaveLen(3))
		Expect(moves[0].To).To(Equal(fleet.ServiceID("a")))
	})
	It("moves the hosts for a demand peak within a few seconds, however many there are", func() {
		const hosts, wanted, present = 350, 150, 66
		atPeak, idle := newPool("turn", present, wanted, 0), newPool("done", hosts-present, 20, time.Hour)
		moves := planMoves([]*pool{atPeak, idle}, maxConcurrentMoves(hosts), anyHost)
		Expect(len(moves)).To(BeNumerically(">=", wanted-present))
		Expect(maxConcurrentMoves(48)).To(Equal(12))
	})
	It("waits before it switches hosts off", func() {
		spare := newPool("rest", 0, 0, 0)
		spare.spare = true
		Expect(planMoves([]*pool{newPool("a", 6, 4, switchOffDelay/2), spare}, 12, anyHost)).To(BeEmpty())
		Expect(planMoves([]*pool{newPool("a", 6, 4, 2*switchOffDelay), spare}, 12, anyHost)).To(HaveLen(2))
	})
	It("keeps the hosts of a pool during a short dip of arrivals within a demand peak", func() {
		// Hosts wanted over time in a demand peak whose large jobs arrived in batches.
		answers := []struct {
			ms     int
			wanted int
		}{
			{0, 31}, {310, 26}, {760, 17}, {1250, 13}, {1690, 14}, {2150, 12}, {2400, 12}, {2630, 18}, {3110, 24}, {3560, 22},
			{4090, 24}, {4640, 22}, {5050, 21}, {5490, 19}, {6030, 16}, {6470, 13}, {6940, 12}, {7440, 9}, {7940, 8}, {8400, 5},
			{8900, 5}, {9400, 5}, {9900, 5}, {10400, 5}, {10900, 5},
		}
		spare := newPool("rest", 0, 0, 0)
		spare.spare = true
		p := newPool("a", 21, 31, 0)
		var h wantedHistory
		for _, a := range answers {
			at := now.Add(time.Duration(a.ms) * time.Millisecond)
			h.record(at, a.wanted)
			p.wanted, p.lendPeak, p.switchOffPeak = a.wanted, h.peak(at, lendDelay), h.peak(at, switchOffDelay)
			planMoves([]*pool{p, spare}, 12, anyHost)
			if a.ms < 5000 {
				Expect(len(p.hosts)).To(BeNumerically(">=", 17), "after %d ms", a.ms)
			}
		}
		Expect(p.hosts).To(HaveLen(5))
	})
	It("releases no hosts before the holder has queried the demand for long enough", func() {
		var h wantedHistory
		h.record(now, 3)
		Expect(h.peak(now.Add(switchOffDelay/2), switchOffDelay)).To(BeNumerically(">", 1000))
		h.record(now.Add(switchOffDelay/2), 2)
		Expect(h.peak(now.Add(switchOffDelay), switchOffDelay)).To(Equal(3))
		h.record(now.Add(2*switchOffDelay), 1)
		Expect(h.peak(now.Add(2*switchOffDelay), switchOffDelay)).To(Equal(2))
	})
})

var _ = Describe("the selection of the next hosts of a wave", func() {
	It("leaves a pool between demand peaks half of the hosts that it keeps for the next peak", func() {
		idle := &pool{known: true, wanted: 66, needed: 13, hosts: make([]Host, 66)}
		Expect(idle.maxInMaintenance()).To(Equal(33))
		full := &pool{known: true, wanted: 150, needed: 150, hosts: make([]Host, 66)}
		Expect(full.maxInMaintenance()).To(BeNumerically("<", 0))
		large := &pool{known: true, wanted: 20, needed: 20, hosts: make([]Host, 66)}
		Expect(large.maxInMaintenance()).To(Equal(46))
	})
	It("takes hosts that are switched off, then those of pools with a surplus, and of a pool at its demand peak only when the wave is late", func() {
		w := Wave{Number: 1, AtOnce: 3}
		progress, listed := map[fleet.HostID]*hostProgress{}, map[fleet.HostID]Host{}
		for _, id := range []fleet.HostID{"full-0", "idle-0", "idle-1", "rest-0"} {
			w.Hosts = append(w.Hosts, id)
			progress[id] = &hostProgress{}
			listed[id] = Host{ID: id, Pool: fleet.ServiceID(id[:4]), State: Up}
		}
		surplus := map[fleet.ServiceID]int{"full": -2, "idle": 0}
		ids := func(hosts []Host) (out []fleet.HostID) {
			for _, h := range hosts {
				out = append(out, h.ID)
			}
			return out
		}
		Expect(ids(nextHosts(w, progress, listed, surplus, timeBudget{}))).To(Equal([]fleet.HostID{"rest-0", "idle-0"}))
		Expect(ids(nextHosts(w, progress, listed, surplus, timeBudget{late: true, left: time.Minute, each: time.Second}))).To(Equal([]fleet.HostID{"rest-0", "idle-0", "full-0"}))
	})
	DescribeTable("takes as many hosts of a pool that lacks hosts as the remaining time requires", func(budget timeBudget, n int) {
		w, listed, progress := Wave{Number: 1, AtOnce: 100}, map[fleet.HostID]Host{}, map[fleet.HostID]*hostProgress{}
		for i := range 40 {
			id := fleet.HostID(fmt.Sprint("full-", i))
			w.Hosts, listed[id], progress[id] = append(w.Hosts, id), Host{ID: id, Pool: "full", State: Up}, &hostProgress{}
		}
		Expect(nextHosts(w, progress, listed, map[fleet.ServiceID]int{"full": -3}, budget)).To(HaveLen(n))
	},
		Entry("none in the first half of the time", timeBudget{left: 20 * time.Second, each: 4 * time.Second}, 0),
		Entry("some in the second half", timeBudget{late: true, left: 13 * time.Second, each: 4 * time.Second}, 13),
		Entry("all near the end", timeBudget{late: true, left: 3 * time.Second, each: 4 * time.Second}, 40),
		Entry("all when the time is over", timeBudget{late: true, left: -time.Second, each: 4 * time.Second}, 40),
	)
})
