package quota

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

// source is a Source whose demand is set by the test.
type source struct {
	mu     sync.Mutex
	limit  worker.Resources
	demand AccountDemand
}

func (s *source) Limits() map[string]worker.Resources {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]worker.Resources{"acme": s.limit}
}

func (s *source) AccountDemands() map[string]AccountDemand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]AccountDemand{"acme": s.demand}
}

func (s *source) set(running, waiting int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demand = AccountDemand{Running: worker.Resources{CPU: running}, Waiting: worker.Resources{CPU: waiting}}
}

var _ = Describe("grants of shards", func() {
	It("never exceed the limit in total while demand moves between shards", func() {
		rng := rand.New(rand.NewPCG(1, 2))
		const limit, shards = 1000, 4
		var grants, running [shards]int64
		for range 5000 {
			i := rng.IntN(shards)
			others := int64(0)
			for j, g := range grants {
				if j != i {
					others += g
				}
			}
			running[i] = min(running[i], grants[i])
			grants[i] = plan(limit, grants[i], others, shards, running[i], int64(rng.IntN(800)), 0, false)
			running[i] = rng.Int64N(grants[i] + 1)
			Expect(others + grants[i]).To(BeNumerically("<=", limit))
		}
	})
	It("go to the shard with demand", func() {
		Expect(plan(1000, 0, 100, 2, 0, 900, 0, false)).To(Equal(int64(900)))
		Expect(plan(1000, 900, 100, 2, 0, 0, 0, false)).To(BeNumerically("<=", 300))
		Expect(plan(1000, 900, 100, 2, 800, 0, 0, false)).To(BeNumerically(">=", 800))
		Expect(plan(0, 0, 0, 2, 50, 50, 0, false)).To(BeZero())
	})
	It("are left to the shard with demand by all idle shards, however many there are", func() {
		const limit, shards = 1000, 16
		var grants [shards]int64
		sum := func() (n int64) {
			for _, g := range grants {
				n += g
			}
			return n
		}
		for range 3 {
			for i := range grants {
				grants[i] = plan(limit, grants[i], sum()-grants[i], shards, 0, 0, 0, false)
				Expect(grants[i]).To(BeNumerically(">", 0))
			}
		}
		Expect(plan(limit, grants[0], sum()-grants[0], shards, 0, limit, 0, false)).To(BeNumerically(">=", limit*7/10))
	})
	It("shrink in proportion as soon as a limit is lowered", func() {
		Expect(Effective(worker.Resources{CPU: 500}, worker.Resources{CPU: 600}, worker.Resources{CPU: 1000})).To(Equal(worker.Resources{CPU: 300}))
	})
})

var _ = Describe("a ledger", func() {
	It("observes resources returned by another shard while it waits", func() {
		s := cluster.NewStore()
		discardLog := logrus.New()
		discardLog.SetOutput(io.Discard)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		defer group.Wait()
		defer cancel()
		limit := worker.Resources{CPU: 1000}
		start := func(name string, running, waiting int64) (*Ledger, *source) {
			token, err := s.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: "own/" + name}}})
			Expect(err).NotTo(HaveOccurred())
			src := &source{limit: limit}
			src.set(running, waiting)
			l := NewLedger(s, name, "own/"+name, token, src, func() {}, Peers{}, discardLog)
			group.Go(func() { l.Run(ctx) })
			return l, src
		}
		allows := func(l *Ledger, cpu int64) func() bool {
			return func() bool { return l.Allows("acme", limit, worker.Resources{CPU: cpu}) }
		}
		holder, demand := start("a", 0, 900)
		Eventually(allows(holder, 900), "2s").Should(BeTrue())
		demand.set(900, 0)
		waiting, _ := start("b", 0, 800)
		Consistently(allows(waiting, 500), "600ms").Should(BeFalse())
		demand.set(0, 0)
		Eventually(allows(waiting, 700), "4s").Should(BeTrue())
	})
})

var _ = Describe("the ledger of a new owner", func() {
	DescribeTable("returns nothing that runs of its predecessor may still use", func(end func(*Ledger)) {
		s := cluster.NewStore()
		discardLog := logrus.New()
		discardLog.SetOutput(io.Discard)
		ctx := context.Background()
		limit := worker.Resources{CPU: 1000}
		start := func(name string, running, waiting int64) (*Ledger, *source) {
			key := "own/" + name
			_, err := s.Commit(ctx, store.Transaction{Removals: []string{key}})
			Expect(err).NotTo(HaveOccurred())
			token, err := s.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: key}}})
			Expect(err).NotTo(HaveOccurred())
			src := &source{limit: limit}
			src.set(running, waiting)
			return NewLedger(s, name, key, token, src, func() {}, Peers{}, discardLog), src
		}
		adapt := func(l *Ledger) {
			_, err := l.adapt(ctx)
			Expect(err).NotTo(HaveOccurred())
		}
		predecessor, _ := start("a", 0, 900)
		adapt(predecessor)
		Expect(predecessor.Allows("acme", limit, worker.Resources{CPU: 900})).To(BeTrue())
		// No worker has responded to the successor yet.
		successor, demand := start("a", 0, 0)
		adapt(successor)
		other, _ := start("b", 0, 1000)
		adapt(other)
		Expect(other.Allows("acme", limit, worker.Resources{CPU: 101})).To(BeFalse())
		demand.set(900, 0)
		adapt(successor)
		Expect(successor.Allows("acme", limit, worker.Resources{CPU: 900})).To(BeTrue())
		demand.set(300, 0)
		Expect(other.Allows("acme", limit, worker.Resources{CPU: 101})).To(BeFalse())
		end(successor)
		adapt(successor)
		adapt(other)
		Expect(other.Allows("acme", limit, worker.Resources{CPU: 400})).To(BeTrue())
	},
		Entry("until their leases have ended", func(l *Ledger) { l.inheritedUntil = monotonic.Now() }),
		Entry("until all of them are known", func(l *Ledger) { l.source = knownUsage{l.source} }),
	)
})

// knownUsage is a source whose demand includes all runs.
type knownUsage struct{ Source }

func (knownUsage) UsageKnown() bool { return true }

var _ = Describe("the ledgers of two shards", func() {
	It("stay within one limit, also with lost responses and delayed writes", func() {
		s := cluster.NewStore()
		discardLog := logrus.New()
		discardLog.SetOutput(io.Discard)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		defer group.Wait()
		defer cancel()
		limit := worker.Resources{CPU: 1000}
		var ledgers []*Ledger
		var sources []*source
		for _, name := range []string{"a", "b"} {
			token, err := s.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: "own/" + name}}})
			Expect(err).NotTo(HaveOccurred())
			src := &source{limit: limit}
			l := NewLedger(s, name, "own/"+name, token, src, func() {}, Peers{}, discardLog)
			ledgers, sources = append(ledgers, l), append(sources, src)
			group.Go(func() { l.Run(ctx) })
		}
		allowed := func(i int) int64 {
			n := int64(0)
			for ledgers[i].Allows("acme", limit, worker.Resources{CPU: n + 50}) {
				n += 50
			}
			return n
		}
		moveDemandTo := func(i int) {
			sources[i].set(0, 900)
			sources[1-i].set(0, 0)
			ledgers[0].RequestUpdate()
			ledgers[1].RequestUpdate()
		}
		for round := range 6 {
			moveDemandTo(round % 2)
			switch round % 3 {
			case 1:
				s.SetFaults(cluster.StoreFaults{LoseAnswers: true})
			case 2:
				s.SetFaults(cluster.StoreFaults{DelayWrites: 200 * time.Millisecond})
			}
			for range 40 {
				Expect(allowed(0) + allowed(1)).To(BeNumerically("<=", limit.CPU))
				time.Sleep(10 * time.Millisecond)
			}
			s.SetFaults(cluster.StoreFaults{})
		}
		moveDemandTo(0)
		Eventually(func() int64 { return allowed(0) }, "4s").Should(BeNumerically(">=", 700))
	})
})
