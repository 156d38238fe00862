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

// emulatedFleet implements Platform and Shards: it emulates hosts and the shards that use them.
type emulatedFleet struct {
	mu        sync.Mutex
	hosts     map[fleet.HostID]*Host
	upAgainAt map[fleet.HostID]time.Time
	// maintenanceCount counts the maintenances of each host.
	maintenanceCount map[fleet.HostID]int
	commands         []string
	// maxDownAtOnce is the largest number of hosts that were down for maintenance at once.
	maxDownAtOnce int
	// busy holds the workers on which a task runs.
	busy map[worker.ID]bool
	// notInWave holds the hosts that the platform does not count to any wave.
	notInWave map[fleet.HostID]bool
	// refusals counts the commands that were refused for notInWave.
	refusals         int
	demand           map[fleet.ServiceID]Demand
	loseNextResponse bool
	// slowWorkers delays each response about a worker, slowCommands each response to a command.
	slowWorkers, slowCommands time.Duration
	// maintenanceTime is how long a host is down for maintenance.
	maintenanceTime time.Duration
}

var errLost = errors.New("response lost")

func newEmulatedFleet(pools map[fleet.ServiceID]int) *emulatedFleet {
	e := &emulatedFleet{
		hosts: map[fleet.HostID]*Host{}, upAgainAt: map[fleet.HostID]time.Time{}, maintenanceCount: map[fleet.HostID]int{},
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

func (e *emulatedFleet) List(context.Context) ([]Host, error) {
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

func (e *emulatedFleet) Maintain(ctx context.Context, holder Holder, id fleet.HostID, _ int64) error {
	if err := e.maintain(holder, id); err != nil {
		return err
	}
	monotonic.Sleep(ctx, e.slowCommands)
	if ctx.Err() != nil {
		return &NoAnswerError{ctx.Err()}
	}
	return nil
}

func (e *emulatedFleet) maintain(holder Holder, id fleet.HostID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.notInWave[id] {
		e.refusals++
		return &RefusedError{Reason: reasonNotInWave}
	}
	if e.busy[e.hosts[id].Worker] {
		return fmt.Errorf("%s is busy", id)
	}
	e.maintenanceCount[id]++
	e.hosts[id].State, e.upAgainAt[id] = Maintenance, time.Now().Add(e.maintenanceTime)
	e.commands = append(e.commands, holder.Name+" "+string(id))
	down := 0
	for other, h := range e.hosts {
		if h.State == Maintenance && time.Now().Before(e.upAgainAt[other]) {
			down++
		}
	}
	e.maxDownAtOnce = max(e.maxDownAtOnce, down)
	if e.loseNextResponse {
		e.loseNextResponse = false
		return &NoAnswerError{errLost}
	}
	return nil
}

func (e *emulatedFleet) Move(_ context.Context, _ Holder, id fleet.HostID, to fleet.ServiceID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hosts[id].Pool, e.hosts[id].State, e.upAgainAt[id] = to, Moving, time.Now().Add(emulatedMaintenance)
	return nil
}

func (e *emulatedFleet) Empty(_ context.Context, _ fleet.ServiceID, id worker.ID) (bool, error) {
	time.Sleep(e.slowWorkers)
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.busy[id], nil
}

func (e *emulatedFleet) Demand(_ context.Context, pool fleet.ServiceID, _ []worker.ID) (Demand, error) {
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

func (e *emulatedFleet) size(pool fleet.ServiceID) int {
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

func (e *emulatedFleet) maintained() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.maintenanceCount)
}

var _ = Describe("the holder of the singleton role for hosts", func() {
	var (
		platform *emulatedFleet
		s        *cluster.Store
		waves    []Wave
		// evacuated are the zones under evacuation; evacuatedMu guards it while a holder runs.
		evacuated   map[fleet.AvailabilityZone]bool
		evacuatedMu sync.Mutex
	)
	start := func(name string) (*Manager, func()) {
		discardLog := logrus.New()
		discardLog.SetOutput(io.Discard)
		_, err := s.Commit(context.Background(), store.Transaction{Removals: []string{"own"}})
		Expect(err).NotTo(HaveOccurred())
		token, err := s.Commit(context.Background(), store.Transaction{Writes: []store.Write{{Key: "own", Value: []byte(name)}}})
		Expect(err).NotTo(HaveOccurred())
		m := New(Config{
			Platform: platform, Store: s, Shards: platform, Holder: Holder{Name: name, Token: token}, OwnerKey: "own", Valid: func() bool { return true },
			Waves: func() []Wave { return waves }, Pools: func() []fleet.ServiceID { return []fleet.ServiceID{"a", "b"} },
			Spare: func() map[fleet.ServiceID]bool { return map[fleet.ServiceID]bool{"rest": true} },
			Evacuated: func() map[fleet.AvailabilityZone]bool {
				evacuatedMu.Lock()
				defer evacuatedMu.Unlock()
				return evacuated
			},
			StatusKey: func(n int64) string { return fmt.Sprintf("status/%d", n) },
			EncodeStatus: func(done bool) []byte {
				if done {
					return []byte("completed")
				}
				return []byte("running")
			},
			MaintenanceTime: emulatedMaintenance, MoveTime: emulatedMaintenance, TermGap: 0, Log: discardLog,
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
		for id := range platform.hosts {
			ids = append(ids, id)
		}
		return ids
	}
	BeforeEach(func() {
		s, waves, evacuated = cluster.NewStore(), nil, nil
		platform = newEmulatedFleet(map[fleet.ServiceID]int{"a": 4, "b": 4, "rest": 2})
		platform.demand["a"], platform.demand["b"] = Demand{Wanted: 4}, Demand{Wanted: 4}
	})

	It("keeps the newer write of a record when the store applies an older one later", func() {
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
	It("maintains each host once and never has more hosts down than allowed", func() {
		waves = []Wave{{Number: 1, Hosts: all(), Within: time.Minute, AtOnce: 2}}
		start("x")
		Eventually(status, "20s").Should(Equal("completed"))
		Expect(platform.maxDownAtOnce).To(BeNumerically("<=", 2))
		Expect(platform.maintenanceCount).To(HaveLen(10))
		for id, n := range platform.maintenanceCount {
			Expect(n).To(Equal(1), string(id))
		}
	})

	It("does not report a wave as completed while one of its hosts is busy", func() {
		platform.busy["w-a-0"] = true
		waves = []Wave{{Number: 1, Hosts: []fleet.HostID{"a-0", "b-0"}, Within: time.Minute, AtOnce: 2}}
		start("x")
		Eventually(platform.maintained, "5s").Should(Equal(1))
		Consistently(status, "500ms").Should(Equal("running"))
		platform.mu.Lock()
		platform.busy["w-a-0"] = false
		platform.mu.Unlock()
		Eventually(status, "5s").Should(Equal("completed"))
	})

	// evacuate replaces the zones under evacuation while a holder runs.
	evacuate := func(zones map[fleet.AvailabilityZone]bool) {
		evacuatedMu.Lock()
		defer evacuatedMu.Unlock()
		evacuated = zones
	}
	// inZone places hosts in a zone.
	inZone := func(zone fleet.AvailabilityZone, ids ...fleet.HostID) {
		for _, id := range ids {
			platform.hosts[id].AvailabilityZone = zone
		}
	}

	// Guards against a pool that keeps too few hosts because those of an evacuated zone count, and against moves of the latter.
	It("replaces the hosts of an evacuated zone by others, and moves none of its hosts before it is open again", func() {
		platform = newEmulatedFleet(map[fleet.ServiceID]int{"a": 4, "b": 4, "rest": 4})
		platform.demand["a"], platform.demand["b"] = Demand{Wanted: 4}, Demand{Wanted: 4}
		inZone("z", "a-0", "a-1", "rest-0", "rest-1")
		evacuate(map[fleet.AvailabilityZone]bool{"z": true})
		start("x")
		Eventually(func() int { return platform.size("a") }, "5s").Should(Equal(6))
		platform.mu.Lock()
		platform.demand["b"] = Demand{Wanted: 6}
		platform.mu.Unlock()
		Consistently(func() int { return platform.size("rest") }, "1500ms").Should(Equal(2))
		platform.mu.Lock()
		for _, id := range []fleet.HostID{"rest-0", "rest-1"} {
			Expect(platform.hosts[id].Pool).To(Equal(fleet.ServiceID("rest")))
		}
		for _, id := range []fleet.HostID{"a-0", "a-1"} {
			Expect(platform.hosts[id].Pool).To(Equal(fleet.ServiceID("a")))
		}
		platform.mu.Unlock()
		evacuate(nil)
		Eventually(func() int { return platform.size("b") }, "5s").Should(Equal(6))
	})

	// Guards against a host that arrives in a pool although its zone was evacuated while it was emptied for the move.
	It("cancels a move whose command was not sent when the zone is evacuated", func() {
		platform = newEmulatedFleet(map[fleet.ServiceID]int{"a": 4, "b": 4})
		platform.demand["a"], platform.demand["b"] = Demand{Wanted: 5}, Demand{Wanted: 2}
		busy := func(b bool) {
			platform.mu.Lock()
			defer platform.mu.Unlock()
			for i := range 4 {
				platform.busy[worker.ID(fmt.Sprintf("w-b-%d", i))] = b
			}
		}
		inZone("z", "b-0", "b-1", "b-2", "b-3")
		busy(true)
		start("x")
		Consistently(func() int { return platform.size("a") }, "1500ms").Should(Equal(4))
		evacuate(map[fleet.AvailabilityZone]bool{"z": true})
		time.Sleep(time.Second)
		busy(false)
		Consistently(func() int { return platform.size("a") }, "1500ms").Should(Equal(4))
		evacuate(nil)
		Eventually(func() int { return platform.size("a") }, "5s").Should(Equal(5))
	})

	// Guards against maintenance that waits for capacity that the hosts of an evacuated zone do not provide.
	It("maintains the hosts of an evacuated zone although their pools lack hosts", func() {
		platform.demand["a"], platform.demand["b"] = Demand{Wanted: 20}, Demand{Wanted: 20}
		inZone("z", "a-0", "a-1", "b-0", "b-1")
		evacuate(map[fleet.AvailabilityZone]bool{"z": true})
		waves = []Wave{{Number: 1, Hosts: []fleet.HostID{"a-0", "a-1", "b-0", "b-1"}, Within: time.Minute, AtOnce: 4}}
		start("x")
		Eventually(status, "8s").Should(Equal("completed"))
		Expect(platform.maintained()).To(Equal(4))
	})

	It("maintains other hosts while one that comes before them is busy", func() {
		platform.busy["w-a-0"] = true
		platform.demand["a"] = Demand{Wanted: 1}
		waves = []Wave{{Number: 1, Hosts: []fleet.HostID{"a-0", "a-1", "a-2"}, Within: time.Minute, AtOnce: 1}}
		start("x")
		Eventually(platform.maintained, "5s").Should(Equal(2))
		Expect(platform.maxDownAtOnce).To(BeNumerically("<=", 1))
	})

	It("maintains and moves dozens of hosts within 1.5 s although owners respond slowly", func() {
		platform = newEmulatedFleet(map[fleet.ServiceID]int{"a": 60, "b": 60})
		platform.slowWorkers = 40 * time.Millisecond
		platform.demand["a"], platform.demand["b"] = Demand{Wanted: 90}, Demand{Wanted: 2}
		waves = []Wave{{Number: 1, Hosts: nil, Within: time.Minute, AtOnce: 30}}
		for i := range 30 {
			waves[0].Hosts = append(waves[0].Hosts, fleet.HostID(fmt.Sprintf("b-%d", i)))
		}
		start("x")
		Eventually(func() int { return platform.maintained() + platform.size("a") - 60 }, "1500ms").Should(BeNumerically(">=", 40))
	})

	It("waits for slow responses to its commands while it holds the role", func() {
		platform.slowCommands = finishTimeout + 200*time.Millisecond
		waves = []Wave{{Number: 1, Hosts: []fleet.HostID{"a-0"}, Within: time.Minute, AtOnce: 1}}
		start("x")
		Eventually(status, "8s").Should(Equal("completed"))
		Expect(platform.maintenanceCount).To(Equal(map[fleet.HostID]int{"a-0": 1}))
	})

	It("respects the limit of hosts down when the role is handed over while commands are in flight", func() {
		platform.slowCommands, platform.maintenanceTime = 100*time.Millisecond, time.Second
		waves = []Wave{{Number: 1, Hosts: all(), Within: time.Minute, AtOnce: 3}}
		_, stop := start("x")
		Eventually(platform.maintained, "5s").Should(Equal(3))
		stop()
		start("y")
		Consistently(func() int {
			platform.mu.Lock()
			defer platform.mu.Unlock()
			return platform.maxDownAtOnce
		}, "1500ms").Should(BeNumerically("<=", 3))
		Eventually(platform.maintained, "5s").Should(BeNumerically(">", 3))
	})

	It("respects the limit of hosts down after a holder that could not record the results of its commands", func() {
		platform.slowCommands, platform.maintenanceTime = 100*time.Millisecond, time.Second
		waves = []Wave{{Number: 1, Hosts: all(), Within: time.Minute, AtOnce: 3}}
		_, stop := start("x")
		Eventually(platform.maintained, "5s").Should(Equal(3))
		s.SetFaults(cluster.StoreFaults{Down: true})
		stop()
		s.SetFaults(cluster.StoreFaults{})
		start("y")
		Consistently(func() int {
			platform.mu.Lock()
			defer platform.mu.Unlock()
			return platform.maxDownAtOnce
		}, "800ms").Should(BeNumerically("<=", 3))
		Eventually(platform.maintained, "10s").Should(Equal(10))
	})

	It("counts a host as down if the response to its command is lost", func() {
		platform.loseNextResponse = true
		waves = []Wave{{Number: 1, Hosts: all(), Within: time.Minute, AtOnce: 1}}
		start("x")
		Eventually(platform.maintained, "5s").Should(BeNumerically(">=", 3))
		Expect(platform.maxDownAtOnce).To(Equal(1))
	})

	// The new holder may repeat a command of the previous one.
	It("continues a wave after a change of the holder and maintains a host at most twice", func() {
		waves = []Wave{{Number: 1, Hosts: all(), Within: time.Minute, AtOnce: 2}}
		first, stop := start("x")
		Eventually(platform.maintained, "5s").Should(BeNumerically(">=", 3))
		stop()
		Expect(first.Release(context.Background())).To(Succeed())
		start("y")
		Eventually(status, "20s").Should(Equal("completed"))
		for id, n := range platform.maintenanceCount {
			Expect(n).To(BeNumerically("<=", 2), string(id))
		}
	})

	It("reports a wave as completed if the former holder recorded the completion and could not write the status", func() {
		waves = []Wave{{Number: 1, Hosts: []fleet.HostID{"a-0"}, Within: time.Minute, AtOnce: 1}}
		m, stop := start("x")
		Eventually(status, "8s").Should(Equal("completed"))
		stop()
		// As after a holder that stopped between the two writes of report.
		Expect(m.write(context.Background(), m.StatusKey(1), m.EncodeStatus(false))).To(Succeed())
		start("y")
		Eventually(status, "3s").Should(Equal("completed"))
	})

	It("completes a wave with a host that the platform does not count to it", func() {
		platform.notInWave = map[fleet.HostID]bool{"a-0": true}
		waves = []Wave{{Number: 1, Hosts: []fleet.HostID{"a-0", "b-0"}, Within: time.Minute, AtOnce: 2}}
		start("x")
		Eventually(platform.maintained, "5s").Should(Equal(1))
		Eventually(status, "3s").Should(Equal("completed"))
		platform.mu.Lock()
		defer platform.mu.Unlock()
		Expect(platform.refusals).To(Equal(1))
	})

	It("uses the last known demand of a pool while its owner changes, for at most the TTL of the demand", func() {
		m, stop := start("x")
		platform.mu.Lock()
		platform.demand["a"] = Demand{Wanted: 6}
		platform.mu.Unlock()
		Eventually(func() int { return platform.size("a") }, "5s").Should(Equal(6))
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
		platform.mu.Lock()
		platform.demand["a"], platform.demand["b"] = Demand{Wanted: 2, Settling: true}, Demand{Wanted: 8}
		platform.mu.Unlock()
		before := platform.size("a")
		start("x")
		Consistently(func() int { return platform.size("a") }, "3s").Should(Equal(before))
	})

	// Rolling restarts change the owners of pools every other second, also of pools
	// whose demand peak has just ended. Their surplus must stay available to others.
	It("gives up the surplus hosts of a pool while its owner changes", func() {
		start("x")
		platform.mu.Lock()
		platform.demand["a"], platform.demand["b"] = Demand{Wanted: 6}, Demand{Wanted: 2}
		platform.mu.Unlock()
		Eventually(func() int { return platform.size("a") }, "5s").Should(Equal(6))
		platform.mu.Lock()
		platform.demand["a"] = Demand{Wanted: 2}
		platform.mu.Unlock()
		// Wait for the last response before the new owner takes over.
		time.Sleep(2 * demandInterval)
		platform.mu.Lock()
		platform.demand["a"], platform.demand["b"] = Demand{Wanted: 1, Settling: true}, Demand{Wanted: 8}
		platform.mu.Unlock()
		Eventually(func() int { return platform.size("b") }, "1500ms").Should(BeNumerically(">", 4))
	})

	It("moves hosts to the pool with a demand peak and switches off hosts that no pool needs", func() {
		start("x")
		platform.mu.Lock()
		platform.demand["a"] = Demand{Wanted: 6}
		platform.mu.Unlock()
		Eventually(func() int { return platform.size("a") }, "5s").Should(Equal(6))
		platform.mu.Lock()
		// Six of the ten hosts are now needed by no pool.
		platform.demand["a"], platform.demand["b"] = Demand{Wanted: 2}, Demand{Wanted: 2}
		platform.mu.Unlock()
		Eventually(func() int { return platform.size("rest") }, "10s").Should(BeNumerically(">=", 2))
		Eventually(func() int { return platform.size("a") }, "10s").Should(BeNumerically("<", 6))
	})
})

var _ = Describe("the move planner", func() {
	now := monotonic.Time(time.Hour)
	anyHost := func(Host) bool { return true }
	// newPool returns a pool that has wanted all of its hosts until surplusFor ago, and
	// the wanted number since.
	newPool := func(name fleet.ServiceID, hosts, wanted int, surplusFor time.Duration) *pool {
		var h wantedHistory
		h.record(now.Add(-time.Hour/2), hosts)
		h.record(now.Add(-surplusFor), wanted)
		p := &pool{name: name, known: true, wanted: wanted, reassignPeak: h.peak(now, reassignDelay), switchOffPeak: h.peak(now, switchOffDelay)}
		for i := range hosts {
			h := Host{ID: fleet.HostID(fmt.Sprintf("%s-%d", name, i)), Pool: name, State: Up, Worker: worker.ID(fmt.Sprintf("%s-%d", name, i))}
			p.hosts = append(p.hosts, h)
			p.releasable = append(p.releasable, h.Worker)
		}
		return p
	}
	It("takes hosts that are switched off before others", func() {
		spare := newPool("rest", 2, 0, 0)
		spare.spare = true
		moves := planMoves([]*pool{newPool("a", 4, 7, 0), newPool("b", 6, 4, time.Second), spare}, 12, anyHost)
		Expect(moves).To(HaveLen(3))
		Expect(string(moves[0].Host)).To(HavePrefix("rest"))
		Expect(string(moves[1].Host)).To(HavePrefix("rest"))
		Expect(string(moves[2].Host)).To(HavePrefix("b"))
	})
	It("plans no move from a pool whose demand is unknown", func() {
		unknown := newPool("b", 9, 0, time.Hour)
		unknown.known = false
		Expect(planMoves([]*pool{newPool("a", 4, 7, 0), unknown}, 12, anyHost)).To(BeEmpty())
	})
	It("plans moves to a pool whose owner changes during a demand peak", func() {
		atPeak := newPool("a", 4, 7, 0)
		atPeak.known = false
		moves := planMoves([]*pool{atPeak, newPool("b", 9, 5, time.Hour)}, 12, anyHost)
		Expect(moves).To(HaveLen(3))
		Expect(moves[0].To).To(Equal(fleet.ServiceID("a")))
	})
	It("plans all moves for a demand peak at once, however many there are", func() {
		const hosts, wanted, current = 350, 150, 66
		atPeak, idle := newPool("turn", current, wanted, 0), newPool("done", hosts-current, 20, time.Hour)
		moves := planMoves([]*pool{atPeak, idle}, maxConcurrentMoves(hosts), anyHost)
		Expect(len(moves)).To(BeNumerically(">=", wanted-current))
		Expect(maxConcurrentMoves(48)).To(Equal(12))
	})
	It("plans to switch hosts off only after switchOffDelay without need", func() {
		spare := newPool("rest", 0, 0, 0)
		spare.spare = true
		Expect(planMoves([]*pool{newPool("a", 6, 4, switchOffDelay/2), spare}, 12, anyHost)).To(BeEmpty())
		Expect(planMoves([]*pool{newPool("a", 6, 4, 2*switchOffDelay), spare}, 12, anyHost)).To(HaveLen(2))
	})
	It("leaves a pool its hosts during a short dip of arrivals within a demand peak", func() {
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
			p.wanted, p.reassignPeak, p.switchOffPeak = a.wanted, h.peak(at, reassignDelay), h.peak(at, switchOffDelay)
			planMoves([]*pool{p, spare}, 12, anyHost)
			if a.ms < 5000 {
				Expect(len(p.hosts)).To(BeNumerically(">=", 17), "after %d ms", a.ms)
			}
		}
		Expect(p.hosts).To(HaveLen(5))
	})
	It("releases no host before the holder has recorded the demand for the whole delay", func() {
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
	It("leaves up half of the hosts that a pool between demand peaks keeps for the next one", func() {
		idle := &pool{known: true, wanted: 66, needed: 13, hosts: make([]Host, 66)}
		Expect(idle.maxInMaintenance()).To(Equal(33))
		full := &pool{known: true, wanted: 150, needed: 150, hosts: make([]Host, 66)}
		Expect(full.maxInMaintenance()).To(BeNumerically("<", 0))
		large := &pool{known: true, wanted: 20, needed: 20, hosts: make([]Host, 66)}
		Expect(large.maxInMaintenance()).To(Equal(46))
	})
	It("first takes hosts that are switched off, then those of pools with a surplus, and those of a pool at its demand peak only when the wave is late", func() {
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
		Expect(ids(nextHosts(w, progress, listed, surplus, timeBudget{late: true, remaining: time.Minute, perHost: time.Second}))).To(Equal([]fleet.HostID{"rest-0", "idle-0", "full-0"}))
	})
	DescribeTable("takes as many hosts of a pool that lacks hosts as the remaining time requires", func(budget timeBudget, n int) {
		w, listed, progress := Wave{Number: 1, AtOnce: 100}, map[fleet.HostID]Host{}, map[fleet.HostID]*hostProgress{}
		for i := range 40 {
			id := fleet.HostID(fmt.Sprint("full-", i))
			w.Hosts, listed[id], progress[id] = append(w.Hosts, id), Host{ID: id, Pool: "full", State: Up}, &hostProgress{}
		}
		Expect(nextHosts(w, progress, listed, map[fleet.ServiceID]int{"full": -3}, budget)).To(HaveLen(n))
	},
		Entry("none in the first half of the time", timeBudget{remaining: 20 * time.Second, perHost: 4 * time.Second}, 0),
		Entry("some in the second half", timeBudget{late: true, remaining: 13 * time.Second, perHost: 4 * time.Second}, 13),
		Entry("all near the end", timeBudget{late: true, remaining: 3 * time.Second, perHost: 4 * time.Second}, 40),
		Entry("all after the time is over", timeBudget{late: true, remaining: -time.Second, perHost: 4 * time.Second}, 40),
	)
})
