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

const emulatedUpkeep = 100 * time.Millisecond

// emulatedHosts is a platform with hosts and the shards that use them.
type emulatedHosts struct {
	mu       sync.Mutex
	hosts    map[fleet.HostID]*Host
	back     map[fleet.HostID]time.Time
	upkeeps  map[fleet.HostID]int
	orders   []string
	most     int
	busy     map[worker.ID]bool
	demand   map[fleet.ServiceID]Demand
	loseNext bool
	// slow delays each answer on a worker, slowOrders each answer to an order.
	slow, slowOrders time.Duration
	// upkeep is how long a host is down.
	upkeep time.Duration
}

var errLost = errors.New("answer lost")

func newEmulatedHosts(pools map[fleet.ServiceID]int) *emulatedHosts {
	e := &emulatedHosts{
		hosts: map[fleet.HostID]*Host{}, back: map[fleet.HostID]time.Time{}, upkeeps: map[fleet.HostID]int{},
		upkeep: emulatedUpkeep, busy: map[worker.ID]bool{}, demand: map[fleet.ServiceID]Demand{},
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
		if h.State != Up && time.Now().After(e.back[id]) {
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
	monotonic.Sleep(ctx, e.slowOrders)
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
	e.upkeeps[id]++
	e.hosts[id].State, e.back[id] = Maintenance, time.Now().Add(e.upkeep)
	e.orders = append(e.orders, by.Name+" "+string(id))
	down := 0
	for other, h := range e.hosts {
		if h.State == Maintenance && time.Now().Before(e.back[other]) {
			down++
		}
	}
	e.most = max(e.most, down)
	if e.loseNext {
		e.loseNext = false
		return &NoAnswerError{errLost}
	}
	return nil
}

func (e *emulatedHosts) Move(_ context.Context, _ Holder, id fleet.HostID, to fleet.ServiceID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hosts[id].Pool, e.hosts[id].State, e.back[id] = to, Moving, time.Now().Add(emulatedUpkeep)
	return nil
}

func (e *emulatedHosts) Empty(_ context.Context, _ fleet.ServiceID, id worker.ID) (bool, error) {
	time.Sleep(e.slow)
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
	return len(e.upkeeps)
}

var _ = Describe("the holder of the duty over hosts", func() {
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
			MaintenanceTime: emulatedUpkeep, MoveTime: emulatedUpkeep, TermGap: 0, Log: quiet,
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

	It("keeps a record when an older write of it is carried out later", func() {
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
	It("maintains each host once and never more at once than allowed", func() {
		waves = []Wave{{Number: 1, Hosts: all(), Within: time.Minute, AtOnce: 2}}
		start("x")
		Eventually(status, "20s").Should(Equal("completed"))
		Expect(e.most).To(BeNumerically("<=", 2))
		Expect(e.upkeeps).To(HaveLen(10))
		for id, n := range e.upkeeps {
			Expect(n).To(Equal(1), string(id))
		}
	})

	It("does not call a wave completed while a host of it is busy", func() {
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
		Expect(e.most).To(BeNumerically("<=", 1))
	})

	It("maintains and moves dozens of hosts within a second although owners answer slowly", func() {
		e = newEmulatedHosts(map[fleet.ServiceID]int{"a": 60, "b": 60})
		e.slow = 40 * time.Millisecond
		e.demand["a"], e.demand["b"] = Demand{Wanted: 90}, Demand{Wanted: 2}
		waves = []Wave{{Number: 1, Hosts: nil, Within: time.Minute, AtOnce: 30}}
		for i := range 30 {
			waves[0].Hosts = append(waves[0].Hosts, fleet.HostID(fmt.Sprintf("b-%d", i)))
		}
		start("x")
		Eventually(func() int { return e.maintained() + e.size("a") - 60 }, "1500ms").Should(BeNumerically(">=", 40))
	})

	It("waits for slow answers to its orders while it has the duty", func() {
		e.slowOrders = finishTime + 200*time.Millisecond
		waves = []Wave{{Number: 1, Hosts: []fleet.HostID{"a-0"}, Within: time.Minute, AtOnce: 1}}
		start("x")
		Eventually(status, "8s").Should(Equal("completed"))
		Expect(e.upkeeps).To(Equal(map[fleet.HostID]int{"a-0": 1}))
	})

	It("keeps to the bound when it is handed over while orders are under way", func() {
		e.slowOrders, e.upkeep = 100*time.Millisecond, time.Second
		waves = []Wave{{Number: 1, Hosts: all(), Within: time.Minute, AtOnce: 3}}
		_, stop := start("x")
		Eventually(e.maintained, "5s").Should(Equal(3))
		stop()
		start("y")
		Consistently(func() int {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.most
		}, "1500ms").Should(BeNumerically("<=", 3))
		Eventually(e.maintained, "5s").Should(BeNumerically(">", 3))
	})

	It("keeps to the bound after a holder that could not record what became of its orders", func() {
		e.slowOrders, e.upkeep = 100*time.Millisecond, time.Second
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
			return e.most
		}, "800ms").Should(BeNumerically("<=", 3))
		Eventually(e.maintained, "10s").Should(Equal(10))
	})

	It("counts a host as down while the answer to its order is lost", func() {
		e.loseNext = true
		waves = []Wave{{Number: 1, Hosts: all(), Within: time.Minute, AtOnce: 1}}
		start("x")
		Eventually(e.maintained, "5s").Should(BeNumerically(">=", 3))
		Expect(e.most).To(Equal(1))
	})

	It("goes on with a wave after a change of the holder", func() {
		waves = []Wave{{Number: 1, Hosts: all(), Within: time.Minute, AtOnce: 2}}
		first, stop := start("x")
		Eventually(e.maintained, "5s").Should(BeNumerically(">=", 3))
		stop()
		Expect(first.Release(context.Background())).To(Succeed())
		start("y")
		Eventually(status, "20s").Should(Equal("completed"))
		for id, n := range e.upkeeps {
			Expect(n).To(BeNumerically("<=", 2), string(id))
		}
	})

	It("remembers what a pool needed while its owner changes, and for no longer", func() {
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
		Expect(wanted(now.Add(2 * rememberDemand))).To(BeZero())
	})

	It("keeps the size of a pool while its owner is new and nothing else is known of it", func() {
		e.mu.Lock()
		e.demand["a"], e.demand["b"] = Demand{Wanted: 2, Settling: true}, Demand{Wanted: 8}
		e.mu.Unlock()
		before := e.size("a")
		start("x")
		Consistently(func() int { return e.size("a") }, "3s").Should(Equal(before))
	})

	// Rolling restarts change the owners of pools every other second, also of those
	// that have just ended their turn.
	It("lends what a pool has beyond its need while its owner changes", func() {
		start("x")
		e.mu.Lock()
		e.demand["a"], e.demand["b"] = Demand{Wanted: 6}, Demand{Wanted: 2}
		e.mu.Unlock()
		Eventually(func() int { return e.size("a") }, "5s").Should(Equal(6))
		e.mu.Lock()
		e.demand["a"] = Demand{Wanted: 2}
		e.mu.Unlock()
		// Its last answer before the new owner takes over.
		time.Sleep(2 * demandInterval)
		e.mu.Lock()
		e.demand["a"], e.demand["b"] = Demand{Wanted: 1, Settling: true}, Demand{Wanted: 8}
		e.mu.Unlock()
		Eventually(func() int { return e.size("b") }, "1500ms").Should(BeNumerically(">", 4))
	})

	It("moves hosts to the pool in its turn and switches off what nobody needs", func() {
		start("x")
		e.mu.Lock()
		e.demand["a"] = Demand{Wanted: 6}
		e.mu.Unlock()
		Eventually(func() int { return e.size("a") }, "5s").Should(Equal(6))
		e.mu.Lock()
		// Six hosts are wanted in neither pool now.
		e.demand["a"], e.demand["b"] = Demand{Wanted: 2}, Demand{Wanted: 2}
		e.mu.Unlock()
		Eventually(func() int { return e.size("rest") }, "10s").Should(BeNumerically(">=", 2))
		Eventually(func() int { return e.size("a") }, "10s").Should(BeNumerically("<", 6))
	})
})

var _ = Describe("a plan of moves", func() {
	now := monotonic.Time(time.Hour)
	anyHost := func(Host) bool { return true }
	// newPool has wanted so many hosts for a time, and all that it has before.
	newPool := func(name fleet.ServiceID, hosts, wanted int, surplusFor time.Duration) *pool {
		var h wantedHistory
		h.note(now.Add(-time.Hour/2), hosts)
		h.note(now.Add(-surplusFor), wanted)
		p := &pool{name: name, known: true, wanted: wanted, lendWanted: h.most(now, lendAfter), restWanted: h.most(now, restAfter)}
		for i := range hosts {
			h := Host{ID: fleet.HostID(fmt.Sprintf("%s-%d", name, i)), Pool: name, State: Up, Worker: worker.ID(fmt.Sprintf("%s-%d", name, i))}
			p.hosts = append(p.hosts, h)
			p.releasable = append(p.releasable, h.Worker)
		}
		return p
	}
	It("takes hosts that are off first", func() {
		rest := newPool("rest", 2, 0, 0)
		rest.spare = true
		moves := planMoves([]*pool{newPool("a", 4, 7, 0), newPool("b", 6, 4, time.Second), rest}, 12, anyHost)
		Expect(moves).To(HaveLen(3))
		Expect(string(moves[0].Host)).To(HavePrefix("rest"))
		Expect(string(moves[1].Host)).To(HavePrefix("rest"))
		Expect(string(moves[2].Host)).To(HavePrefix("b"))
	})
	It("takes nothing from a pool whose demand is not known", func() {
		unknown := newPool("b", 9, 0, time.Hour)
		unknown.known = false
		Expect(planMoves([]*pool{newPool("a", 4, 7, 0), unknown}, 12, anyHost)).To(BeEmpty())
	})
	It("gives hosts to a pool that changes its owner in its turn", func() {
		turn := newPool("a", 4, 7, 0)
		turn.known = false
		moves := planMoves([]*pool{turn, newPool("b", 9, 5, time.Hour)}, 12, anyHost)
		Expect(moves).To(HaveLen(3))
		Expect(moves[0].To).To(Equal(fleet.ServiceID("a")))
	})
	It("brings a pool the hosts of its turn within a few seconds, however many there are", func() {
		const hosts, wanted, present = 350, 150, 66
		turn, done := newPool("turn", present, wanted, 0), newPool("done", hosts-present, 20, time.Hour)
		moves := planMoves([]*pool{turn, done}, movesAtOnce(hosts), anyHost)
		Expect(len(moves)).To(BeNumerically(">=", wanted-present))
		Expect(movesAtOnce(48)).To(Equal(12))
	})
	It("waits before it switches hosts off", func() {
		rest := newPool("rest", 0, 0, 0)
		rest.spare = true
		Expect(planMoves([]*pool{newPool("a", 6, 4, restAfter/2), rest}, 12, anyHost)).To(BeEmpty())
		Expect(planMoves([]*pool{newPool("a", 6, 4, 2*restAfter), rest}, 12, anyHost)).To(HaveLen(2))
	})
	It("keeps the hosts of a pool in its turn through a dip in what arrives", func() {
		// What the pool wanted in a turn whose large jobs came in lumps, and when.
		answers := []struct {
			ms     int
			wanted int
		}{
			{0, 31}, {310, 26}, {760, 17}, {1250, 13}, {1690, 14}, {2150, 12}, {2400, 12}, {2630, 18}, {3110, 24}, {3560, 22},
			{4090, 24}, {4640, 22}, {5050, 21}, {5490, 19}, {6030, 16}, {6470, 13}, {6940, 12}, {7440, 9}, {7940, 8}, {8400, 5},
			{8900, 5}, {9400, 5}, {9900, 5}, {10400, 5}, {10900, 5},
		}
		rest := newPool("rest", 0, 0, 0)
		rest.spare = true
		p := newPool("a", 21, 31, 0)
		var h wantedHistory
		for _, a := range answers {
			at := now.Add(time.Duration(a.ms) * time.Millisecond)
			h.note(at, a.wanted)
			p.wanted, p.lendWanted, p.restWanted = a.wanted, h.most(at, lendAfter), h.most(at, restAfter)
			planMoves([]*pool{p, rest}, 12, anyHost)
			if a.ms < 5000 {
				Expect(len(p.hosts)).To(BeNumerically(">=", 17), "after %d ms", a.ms)
			}
		}
		Expect(p.hosts).To(HaveLen(5))
	})
	It("gives up nothing before the holder has asked for a while", func() {
		var h wantedHistory
		h.note(now, 3)
		Expect(h.most(now.Add(restAfter/2), restAfter)).To(BeNumerically(">", 1000))
		h.note(now.Add(restAfter/2), 2)
		Expect(h.most(now.Add(restAfter), restAfter)).To(Equal(3))
		h.note(now.Add(2*restAfter), 1)
		Expect(h.most(now.Add(2*restAfter), restAfter)).To(Equal(2))
	})
})

var _ = Describe("the next hosts of a wave", func() {
	It("leaves a pool between its turns half of the hosts that it keeps for the next one", func() {
		idle := &pool{known: true, wanted: 66, needed: 13, hosts: make([]Host, 66)}
		Expect(idle.forUpkeep()).To(Equal(33))
		full := &pool{known: true, wanted: 150, needed: 150, hosts: make([]Host, 66)}
		Expect(full.forUpkeep()).To(BeNumerically("<", 0))
		large := &pool{known: true, wanted: 20, needed: 20, hosts: make([]Host, 66)}
		Expect(large.forUpkeep()).To(Equal(46))
	})
	It("are those that are off, then those of pools with a surplus, and of a pool in its turn only when it is late", func() {
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
		Expect(ids(nextHosts(w, progress, listed, surplus, pace{}))).To(Equal([]fleet.HostID{"rest-0", "idle-0"}))
		Expect(ids(nextHosts(w, progress, listed, surplus, pace{late: true, left: time.Minute, each: time.Second}))).To(Equal([]fleet.HostID{"rest-0", "idle-0", "full-0"}))
	})
	DescribeTable("takes as many of a pool that lacks hosts as end in time", func(p pace, n int) {
		w, listed, progress := Wave{Number: 1, AtOnce: 100}, map[fleet.HostID]Host{}, map[fleet.HostID]*hostProgress{}
		for i := range 40 {
			id := fleet.HostID(fmt.Sprint("full-", i))
			w.Hosts, listed[id], progress[id] = append(w.Hosts, id), Host{ID: id, Pool: "full", State: Up}, &hostProgress{}
		}
		Expect(nextHosts(w, progress, listed, map[fleet.ServiceID]int{"full": -3}, p)).To(HaveLen(n))
	},
		Entry("none in the first half", pace{left: 20 * time.Second, each: 4 * time.Second}, 0),
		Entry("a part in the second", pace{late: true, left: 13 * time.Second, each: 4 * time.Second}, 13),
		Entry("all in the end", pace{late: true, left: 3 * time.Second, each: 4 * time.Second}, 40),
		Entry("all when it is over", pace{late: true, left: -time.Second, each: 4 * time.Second}, 40),
	)
})
