package lease

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/partition"
	"samphirestile.example/samphirestile/internal/store"
)

// runner records which shards a daemon serves.
type runner struct {
	mu     sync.Mutex
	shards map[string]uint64
}

func (r *runner) Start(shard string, token uint64, _ store.LeaseID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shards[shard] = token
}

func (r *runner) Stop(shard string, _ bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.shards, shard)
}

func (r *runner) served() map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]uint64{}
	for k, v := range r.shards {
		out[k] = v
	}
	return out
}

type daemon struct {
	*runner
	renewer *Renewer
	owners  *Owners
	kill    func()
}

var _ = Describe("daemons that share shards", func() {
	var s *cluster.Store
	shards := []string{"a", "b", "c", "d"}
	start := func(name, incarnation string) *daemon {
		discardLog := logrus.New()
		discardLog.SetOutput(io.Discard)
		self := Member{Name: name, Address: name + ":1", Incarnation: incarnation}
		d := &daemon{runner: &runner{shards: map[string]uint64{}}}
		backing := store.Hedged{Transactional: s}
		d.renewer = NewRenewer(backing, self, discardLog)
		d.owners = NewOwners(backing, d.renewer, self, d.runner, func(partition.Depths, []fleet.ServiceID) []string { return shards }, discardLog)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { d.renewer.Run(ctx) })
		group.Go(func() { d.owners.Run(ctx) })
		d.kill = func() { cancel(); group.Wait() }
		DeferCleanup(d.kill)
		return d
	}
	It("run few reconciliation passes while each shard has an owner", func() {
		var passes atomic.Int64
		discardLog := logrus.New()
		discardLog.SetOutput(io.Discard)
		self, r := Member{Name: "x", Address: "x:1", Incarnation: "x1"}, &runner{shards: map[string]uint64{}}
		renewer := NewRenewer(s, self, discardLog)
		o := NewOwners(s, renewer, self, r, func(partition.Depths, []fleet.ServiceID) []string { passes.Add(1); return shards }, discardLog)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { renewer.Run(ctx) })
		group.Go(func() { o.Run(ctx) })
		DeferCleanup(func() { cancel(); group.Wait() })
		Eventually(r.served, 5*time.Second).Should(HaveLen(len(shards)))
		time.Sleep(discoveryDelay + 2*stableInterval)
		before := passes.Load()
		time.Sleep(2 * time.Second)
		// Two passes a second, and one for each read of the records.
		Expect(passes.Load() - before).To(BeNumerically("<=", 8))
	})
	total := func(daemons ...*daemon) int {
		n := 0
		for _, d := range daemons {
			n += len(d.served())
		}
		return n
	}
	BeforeEach(func() { s = cluster.NewStore() })

	It("hand shards over to one that joins later, with higher tokens", func() {
		first := start("x", "x1")
		Eventually(first.served, 5*time.Second).Should(HaveLen(len(shards)))
		before := first.served()
		second := start("y", "y1")
		Eventually(second.served, 3*transferDelay).ShouldNot(BeEmpty())
		Eventually(func() int { return total(first, second) }, time.Second).Should(Equal(len(shards)))
		for shard, token := range second.served() {
			Expect(token).To(BeNumerically(">", before[shard]))
			Expect(first.served()).NotTo(HaveKey(shard))
		}
		Consistently(func() int { return total(first, second) }, time.Second).Should(Equal(len(shards)))
	})
	It("hand no shard over while the store does not answer", func() {
		first := start("x", "x1")
		Eventually(first.served, 5*time.Second).Should(HaveLen(len(shards)))
		second := start("y", "y1")
		Eventually(first.owners.Members, time.Second).Should(Equal(2))
		time.Sleep(transferDelay - renewInterval - renewTimeout - 300*time.Millisecond)
		s.SetFaults(cluster.StoreFaults{Down: true})
		Consistently(first.served, renewInterval+renewTimeout+300*time.Millisecond+2*stableInterval).Should(HaveLen(len(shards)))
		s.SetFaults(cluster.StoreFaults{})
		Eventually(second.served, 3*transferDelay).ShouldNot(BeEmpty())
	})
	It("read the depths of partitions", func() {
		d := start("x", "x1")
		_, err := s.Commit(context.Background(), store.Transaction{Writes: []store.Write{
			{Key: PartitionKey("a"), Value: partition.EncodeDepth(2)}, {Key: PartitionKey("b"), Value: []byte("x")},
		}})
		Expect(err).NotTo(HaveOccurred())
		Eventually(d.owners.Depths, 5*time.Second).Should(Equal(partition.Depths{"a": 2}))
	})
	It("own each shard once and spread them", func() {
		daemons := []*daemon{start("x", "1"), start("y", "1"), start("z", "1"), start("w", "1")}
		Eventually(func() int { return total(daemons...) }, "5s").Should(Equal(len(shards)))
		Consistently(func() int { return total(daemons...) }, "500ms").Should(Equal(len(shards)))
		for _, d := range daemons {
			Expect(len(d.served())).To(BeNumerically("<=", 2))
		}
	})
	It("take over from a lost one with a higher token once its lease has expired", func() {
		first := start("x", "1")
		Eventually(func() int { return total(first) }, "5s").Should(Equal(len(shards)))
		tokens := first.served()
		second := start("y", "1")
		killed := monotonic.Now()
		first.kill()
		Eventually(func() int { return total(second) }, 2*TTL+time.Second).Should(Equal(len(shards)))
		Expect(monotonic.Now().Sub(killed)).To(BeNumerically(">", TTL-renewInterval-retryInterval))
		for shard, token := range second.served() {
			Expect(token).To(BeNumerically(">", tokens[shard]))
		}
	})
	It("take over at once from a previous process of their own name", func() {
		first := start("x", "1")
		Eventually(func() int { return total(first) }, "5s").Should(Equal(len(shards)))
		first.kill()
		second := start("x", "2")
		Eventually(func() int { return total(second) }, TTL/2).Should(Equal(len(shards)))
	})
	It("hand over at once in a planned stop", func() {
		first := start("x", "1")
		Eventually(func() int { return total(first) }, "5s").Should(Equal(len(shards)))
		second := start("y", "1")
		Eventually(func() int {
			second.owners.mu.Lock()
			defer second.owners.mu.Unlock()
			return len(second.owners.members)
		}, "3s").Should(Equal(2))
		first.owners.Release(context.Background())
		Eventually(func() int { return total(second) }, "1s").Should(Equal(len(shards)))
		Expect(total(first)).To(BeZero())
	})
	It("stop what they own when their lease is lost, and acquire again", func() {
		d := start("x", "1")
		Eventually(func() int { return total(d) }, "5s").Should(Equal(len(shards)))
		before := d.served()
		id, _ := d.renewer.Lease()
		s.EndLease(id)
		Eventually(func() bool {
			after := d.served()
			return len(after) == len(shards) && after["a"] > before["a"]
		}, "6s").Should(BeTrue())
	})
	It("keep what they own through a store outage that pauses leases", func() {
		d := start("x", "1")
		Eventually(func() int { return total(d) }, "5s").Should(Equal(len(shards)))
		before := d.served()
		s.SetFaults(cluster.StoreFaults{Down: true})
		time.Sleep(TTL / 2)
		s.SetFaults(cluster.StoreFaults{})
		Consistently(d.served, TTL).Should(Equal(before))
	})
	It("keep what they own while the store answers one call in three", func() {
		d := start("x", "1")
		Eventually(func() int { return total(d) }, "5s").Should(Equal(len(shards)))
		before := d.served()
		s.SetFaults(cluster.StoreFaults{LostCalls: 2})
		Consistently(d.served, 2*TTL).Should(Equal(before))
		id, _ := d.renewer.Lease()
		Expect(d.renewer.ValidUntil(id)).To(BeNumerically(">", monotonic.Now()))
	})
	It("detect a vacant shard even when their watch is stalled", func() {
		first := start("x", "1")
		Eventually(func() int { return total(first) }, "5s").Should(Equal(len(shards)))
		second := start("y", "1")
		time.Sleep(time.Second)
		s.SetFaults(cluster.StoreFaults{StallWatches: true})
		first.owners.Release(context.Background())
		Eventually(func() int { return total(second) }, relistInterval+2*time.Second).Should(Equal(len(shards)))
	})
})

var _ = Describe("the comparison of daemons by load", func() {
	It("puts the machine with more CPU cores first", func() {
		members := []Member{{Name: "weak", CPUCores: 0.2}, {Name: "strong", CPUCores: 0.8}}
		Expect(acquireDelay("strong", "a", members, map[string]int{"strong": 2})).To(BeZero())
		Expect(acquireDelay("weak", "a", members, map[string]int{"strong": 4})).To(BeZero())
	})
	DescribeTable("detects an overloaded daemon", func(self Member, owned map[string]int, want bool) {
		members := []Member{{Name: "x", CPUCores: 0.4}, {Name: "y", CPUCores: 0.4}, {Name: "strong", CPUCores: 0.8}}
		Expect(overloaded(self, members, owned)).To(Equal(want))
	},
		Entry("a daemon that returned first after a loss and owns all shards", Member{Name: "x", CPUCores: 0.4}, map[string]int{"x": 3}, true),
		Entry("not a daemon with one shard more than the others", Member{Name: "x", CPUCores: 0.4}, map[string]int{"x": 2, "y": 1, "strong": 2}, false),
		Entry("a weak machine beside a strong one without shards", Member{Name: "x", CPUCores: 0.1}, map[string]int{"x": 1}, true),
		Entry("not a daemon without any shard", Member{Name: "x", CPUCores: 0.4}, nil, false),
	)
	It("puts those with fewer shards first and gives each daemon a different delay", func() {
		members := []Member{{Name: "x"}, {Name: "y"}, {Name: "z"}}
		owned := map[string]int{"x": 2, "y": 1}
		Expect(acquireDelay("z", "a", members, owned)).To(BeZero())
		Expect(acquireDelay("y", "a", members, owned)).To(Equal(acquireStagger))
		Expect(acquireDelay("x", "a", members, owned)).To(Equal(2 * acquireStagger))
		Expect(acquireDelay("unknown", "a", members, owned)).To(Equal(3 * acquireStagger))
		seen := map[time.Duration]bool{}
		for _, m := range members {
			seen[acquireDelay(m.Name, "b", members, nil)] = true
		}
		Expect(seen).To(HaveLen(3))
	})
})
