package claim_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/claim"
	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/partition"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	pool = "p"
	// balanced is above the time after which parts without surplus give nothing any more.
	balanced = 700 * time.Millisecond
)

// pools is a pool with its workers and the depths of its parts.
type emulatedPool struct {
	store *cluster.Store

	mu      sync.Mutex
	depths  partition.Depths
	depth   int
	workers map[worker.ID]worker.Worker
	// changes counts the changes of the workers, looks how often they were looked at.
	changes uint64
	looks   int
}

func (p *emulatedPool) Depths() partition.Depths {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.depths)
}

func (p *emulatedPool) version() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changes
}

func (p *emulatedPool) listed() map[worker.ID]worker.Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.looks++
	return maps.Clone(p.workers)
}

func (p *emulatedPool) list(from, to int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes++
	for i := from; i < to; i++ {
		id := worker.ID(fmt.Sprintf("w%03d", i))
		p.workers[id] = worker.Worker{ID: id, Service: pool, Labels: []string{"kind", fmt.Sprintf("r%d", i%3)}}
	}
}

// part is a shard whose owner does nothing but hold workers.
type part struct {
	pool  *emulatedPool
	shard string
	book  *claim.Book
	mu    sync.Mutex
	// busy workers run something; lasting ones something that does not end. Short tasks
	// end once a worker was asked to be empty.
	busy, lasting, asked map[worker.ID]bool
	wanted               int
	unplaced             bool
}

func (s *part) Partition() (partition.Part, bool) {
	for _, p := range s.pool.Depths().Parts(pool) {
		if p.Shard() == s.shard {
			return p, true
		}
	}
	return partition.Parse(s.shard), true
}

func (s *part) Split() {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.pool.depths[s.shard] = partition.Parse(s.shard).At(s.pool.depths[s.shard]).Depth + 1
}

func (s *part) PeakStarts() float64 { return 0 }

func (s *part) StartsPerWorker() float64 { return 0 }

func (s *part) Wanted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wanted
}

func (s *part) Unplaced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unplaced
}

func (s *part) held() []worker.ID {
	var ids []worker.ID
	for id, c := range s.book.Of(pool) {
		if c.Shard == s.shard {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (s *part) Idle() []worker.ID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(s.held(), func(id worker.ID) bool { return s.busy[id] })
}

func (s *part) Drainable() []worker.ID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(s.held(), func(id worker.ID) bool { return s.lasting[id] })
}

func (s *part) Empty(_ context.Context, id worker.ID) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A closed worker is empty once its short tasks have ended.
	ended := s.asked[id] && !s.lasting[id]
	s.asked[id] = true
	return !s.busy[id] || ended, nil
}

var _ = Describe("the workers of a divided pool", func() {
	var p *emulatedPool
	soon := 5 * time.Second
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)

	own := func(shard string) *part {
		s := &part{pool: p, shard: shard, busy: map[worker.ID]bool{}, lasting: map[worker.ID]bool{}, asked: map[worker.ID]bool{}}
		s.book = claim.NewBook(p.store, func() bool { return true }, func() {}, quiet)
		key := "own/" + shard
		_, err := p.store.Commit(context.Background(), store.Transaction{Removals: []string{key}})
		Expect(err).NotTo(HaveOccurred())
		token, err := p.store.Commit(context.Background(), store.Transaction{Writes: []store.Write{{Key: key}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.book.Read(context.Background())).To(Succeed())
		a := claim.New(claim.Config{
			Store: p.store, Book: s.book, Shard: s, OwnerKey: key, Token: token, Depths: p.Depths,
			WantedDepth: func(present int, _ bool) int { return max(present, p.depth) },
			Fleet:       func() partition.Fleet { return partition.Fleet{} }, Workers: p.listed, ListVersion: p.version, Log: quiet,
		})
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { s.book.Run(ctx) })
		group.Go(func() { a.Run(ctx) })
		DeferCleanup(func() { cancel(); group.Wait() })
		return s
	}
	count := func(s *part) func() int { return func() int { return len(s.held()) } }

	BeforeEach(func() {
		p = &emulatedPool{store: cluster.NewStore(), depths: partition.Depths{}, workers: map[worker.ID]worker.Worker{}}
		p.list(0, 24)
	})

	It("are not claimed while the pool is one part", func() {
		s := own(pool)
		Consistently(count(s), 300*time.Millisecond).Should(BeZero())
	})
	It("are all claimed by the first part, which is then split and gives half of them", func() {
		p.depth = 1
		first := own(pool)
		Eventually(p.Depths, soon).Should(Equal(partition.Depths{pool: 1}))
		Expect(count(first)()).To(Equal(24))
		second := own(pool + "#1")
		Eventually(count(second), soon).Should(Equal(12))
		Eventually(count(first), soon).Should(Equal(12))
		first.mu.Lock()
		defer first.mu.Unlock()
		for _, id := range second.held() {
			Expect(first.held()).NotTo(ContainElement(id))
		}
	})
	It("that come later are divided, and wait only a moment for a part without an owner", func() {
		p.depths[pool], p.depth = 1, 1
		first := own(pool)
		Eventually(count(first), soon).Should(Equal(12))
		Eventually(count(first), soon).Should(Equal(24))
	})
	It("are given for the sake of their kind", func() {
		p.depths[pool], p.depth = 1, 1
		first, second := own(pool), own(pool+"#1")
		Eventually(count(second), soon).Should(Equal(12))
		rare := first.held()[:2]
		p.mu.Lock()
		for _, id := range rare {
			w := p.workers[id]
			w.Labels = []string{"rare", "r0"}
			p.workers[id] = w
		}
		p.changes++
		p.mu.Unlock()
		Eventually(second.held, soon).Should(ContainElement(rare[0]))
		Consistently(first.held, time.Second).Should(ContainElement(rare[1]))
	})
	It("reach a part that was split off from a large pool within a second", func() {
		p.list(0, 300)
		p.depths[pool], p.depth = 1, 1
		first := own(pool)
		Eventually(count(first), soon).Should(Equal(300))
		second := own(pool + "#1")
		Eventually(count(second), time.Second).Should(BeNumerically(">=", 140))
	})
	It("are not all looked at again and again while nothing changes", func() {
		p.depths[pool], p.depth = 1, 1
		first := own(pool)
		second := own(pool + "#1")
		Eventually(count(first), soon).Should(Equal(12))
		Eventually(count(second), soon).Should(Equal(12))
		time.Sleep(balanced)
		p.mu.Lock()
		before := p.looks
		p.mu.Unlock()
		time.Sleep(2 * time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		// Two parts look at them to balance, twice a second.
		Expect(p.looks - before).To(BeNumerically("<=", 10))
	})
	It("stay where something runs", func() {
		p.depths[pool], p.depth = 1, 1
		first := own(pool)
		Eventually(count(first), soon).Should(Equal(24))
		first.mu.Lock()
		for _, id := range first.held()[:20] {
			first.busy[id], first.lasting[id] = true, true
		}
		busy := first.held()[:20]
		first.mu.Unlock()
		second := own(pool + "#1")
		Eventually(count(second), soon).Should(Equal(4))
		Consistently(count(second), time.Second).Should(Equal(4))
		Expect(first.held()).To(Equal(busy))
	})
	It("go to the part that wants more", func() {
		p.depths[pool], p.depth = 1, 1
		first, second := own(pool), own(pool+"#1")
		Eventually(count(second), soon).Should(Equal(12))
		second.mu.Lock()
		second.wanted = 18
		second.mu.Unlock()
		Eventually(count(second), soon).Should(BeNumerically(">=", 18))
		Eventually(count(first), soon).Should(BeNumerically("<=", 6))
	})
	It("go to a part that lacks a few of many for work that lasts", func() {
		p.depths[pool], p.depth = 1, 1
		first, second := own(pool), own(pool+"#1")
		Eventually(count(second), soon).Should(Equal(12))
		want := func(s *part, n int) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.wanted = n
		}
		want(first, 10)
		want(second, 11)
		Eventually(func() int { return first.book.Wanted(pool + "#1") }, soon).Should(Equal(11))
		want(second, 13)
		// Else a small rise within a turn is left alone.
		Consistently(func() int { return first.book.Wanted(pool + "#1") }, time.Second).Should(Equal(11))
		second.mu.Lock()
		second.unplaced = true
		second.mu.Unlock()
		Eventually(count(second), soon).Should(BeNumerically(">=", 13))
	})
	It("are emptied for a part that lacks them", func() {
		p.depths[pool], p.depth = 1, 1
		first := own(pool)
		Eventually(count(first), soon).Should(Equal(24))
		first.mu.Lock()
		for _, id := range first.held() {
			first.busy[id] = true
		}
		first.mu.Unlock()
		second := own(pool + "#1")
		Consistently(count(second), time.Second).Should(BeZero())
		second.mu.Lock()
		second.wanted = 8
		second.mu.Unlock()
		Eventually(count(second), soon).Should(BeNumerically(">=", 8))
	})
	It("are closed only some at a time for a part that lacks them, as they take nothing meanwhile", func() {
		p.list(0, 200)
		p.depths[pool], p.depth = 1, 1
		first := own(pool)
		Eventually(count(first), soon).Should(Equal(200))
		first.mu.Lock()
		for _, id := range first.held() {
			// Nothing ends by itself.
			first.busy[id], first.lasting[id] = true, false
		}
		first.mu.Unlock()
		second := own(pool + "#1")
		second.mu.Lock()
		second.wanted = 150
		second.mu.Unlock()
		most := 0
		for range 40 {
			time.Sleep(50 * time.Millisecond)
			first.mu.Lock()
			closed := 0
			for _, id := range first.held() {
				if first.asked[id] {
					closed++
				}
			}
			first.mu.Unlock()
			most = max(most, closed)
		}
		Expect(most).To(And(BeNumerically(">", 0), BeNumerically("<=", 16)))
	})
	It("stay together while the part is in its turn", func() {
		p.depth = 1
		first := own(pool)
		first.mu.Lock()
		first.wanted = 20
		first.mu.Unlock()
		Eventually(count(first), soon).Should(Equal(24))
		Consistently(p.Depths, 500*time.Millisecond).Should(BeEmpty())
		first.mu.Lock()
		first.wanted = 5
		first.mu.Unlock()
		Eventually(p.Depths, soon).Should(Equal(partition.Depths{pool: 1}))
	})
	It("are claimed at a revision above all tokens that they have seen", func() {
		p.depths[pool], p.depth = 1, 1
		first := own(pool)
		Eventually(count(first), soon).Should(Equal(24))
		before := first.book.Of(pool)
		second := own(pool + "#1")
		Eventually(count(second), soon).Should(Equal(12))
		for _, id := range second.held() {
			c, ok := second.book.Get(pool, id)
			Expect(ok).To(BeTrue())
			Expect(c.Revision).To(BeNumerically(">", before[id].Revision))
		}
	})
	It("stay when the answer on their transfer was lost and it is carried out later", func() {
		p.depths[pool], p.depth = 1, 1
		first := own(pool)
		Eventually(count(first), soon).Should(Equal(24))
		occupy := func(busy bool, ids []worker.ID) {
			first.mu.Lock()
			defer first.mu.Unlock()
			for _, id := range ids {
				first.busy[id], first.lasting[id] = busy, busy
			}
		}
		occupy(true, first.held())
		second := own(pool + "#1")
		Consistently(count(second), time.Second).Should(BeZero())
		p.store.SetFaults(cluster.StoreFaults{DelayWrites: 1500 * time.Millisecond})
		given := first.held()[:4]
		occupy(false, given)
		Eventually(func() bool {
			first.mu.Lock()
			defer first.mu.Unlock()
			return first.asked[given[0]]
		}, soon).Should(BeTrue())
		time.Sleep(300 * time.Millisecond)
		p.store.SetFaults(cluster.StoreFaults{})
		// What is no longer being given away is used again.
		time.Sleep(200 * time.Millisecond)
		left := slices.DeleteFunc(given, func(id worker.ID) bool { return !slices.Contains(first.held(), id) })
		occupy(true, left)
		Expect(left).NotTo(BeEmpty())
		Consistently(second.held, 2*time.Second).ShouldNot(ContainElement(BeElementOf(left)))
	})
	It("cannot be given by an owner that was deposed", func() {
		p.depths[pool], p.depth = 1, 1
		first := own(pool)
		Eventually(count(first), soon).Should(Equal(24))
		_, err := p.store.Commit(context.Background(), store.Transaction{Removals: []string{"own/" + pool}})
		Expect(err).NotTo(HaveOccurred())
		Consistently(count(first), 2*time.Second).Should(Equal(24))
	})
})
