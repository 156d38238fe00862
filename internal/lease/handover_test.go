package lease

import (
	"context"
	"encoding/json"
	"io"
	"sync"
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

// scriptedStore is a store whose transactions a test can intercept.
type scriptedStore struct {
	*cluster.Store
	// onCommit, if set, replaces the commit of a transaction.
	onCommit func(store.Transaction) (uint64, error)
	// afterKeepAlive, if set, is called before the response to a renewal is delivered.
	afterKeepAlive func()
}

func (s *scriptedStore) KeepAlive(ctx context.Context, id store.LeaseID) error {
	err := s.Store.KeepAlive(ctx, id)
	if s.afterKeepAlive != nil {
		s.afterKeepAlive()
	}
	return err
}

func (s *scriptedStore) Commit(ctx context.Context, t store.Transaction) (uint64, error) {
	if s.onCommit != nil {
		return s.onCommit(t)
	}
	return s.Store.Commit(ctx, t)
}

// These specs call the passes of Owners one by one, so that their order does not depend on time.
var _ = Describe("a shard that is handed over", func() {
	var (
		s *scriptedStore
		r *runner
		o *Owners
	)
	ctx := context.Background()
	read := func() ([]store.Entry, uint64) {
		records, revision, err := s.List(ctx, prefix)
		Expect(err).NotTo(HaveOccurred())
		return records, revision
	}
	BeforeEach(func() {
		s, r = &scriptedStore{Store: cluster.NewStore()}, &runner{shards: map[string]uint64{}}
		discardLog := logrus.New()
		discardLog.SetOutput(io.Discard)
		self := Member{Name: "x", Address: "x:1", Incarnation: "x1"}
		renewer := NewRenewer(s, self, discardLog)
		Expect(renewer.acquire(ctx)).To(Succeed())
		o = NewOwners(s, renewer, self, r, func(partition.Depths, []fleet.ServiceID) []string { return []string{"a", "b", "c"} }, discardLog)
		peer, err := json.Marshal(Member{Name: "y", Address: "y:1", Incarnation: "y1"})
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Store.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: memberPrefix + "y", Value: peer}}})
		Expect(err).NotTo(HaveOccurred())
		o.Replace(read())
		o.firstReadAt = monotonic.Now().Add(-time.Minute)
		o.vacant = map[string]monotonic.Time{"a": o.firstReadAt, "b": o.firstReadAt, "c": o.firstReadAt}
		o.acquireVacant(ctx)
		Expect(r.served()).To(HaveLen(3))
		o.changedAt = o.firstReadAt
	})

	It("is not served again before the removal of its ownership key is observed", func() {
		before, revision := read()
		shard, token := o.shardToTransfer()
		Expect(shard).NotTo(BeEmpty())
		o.handOver(ctx, shard, token)
		_, err := s.Get(ctx, OwnerKey(shard))
		Expect(err).To(BeAssignableToTypeOf(&store.NotFoundError{}))
		o.reconcile()
		Expect(r.served()).NotTo(HaveKey(shard))
		// A response that the store sent before the removal arrives after it.
		o.Replace(before, revision)
		o.reconcile()
		Expect(r.served()).NotTo(HaveKey(shard))
	})

	It("is served by nobody until the removal of its ownership key has a definite outcome", func() {
		shard, token := o.shardToTransfer()
		attempts := 0
		s.onCommit = func(t store.Transaction) (uint64, error) {
			attempts++
			if attempts == 1 {
				return 0, &store.UnknownOutcomeError{Key: shard}
			}
			o.reconcile()
			Expect(r.served()).NotTo(HaveKey(shard))
			return s.Store.Commit(ctx, t)
		}
		o.handOver(ctx, shard, token)
		o.reconcile()
		Expect(r.served()).NotTo(HaveKey(shard))
		_, err := s.Get(ctx, OwnerKey(shard))
		Expect(err).To(BeAssignableToTypeOf(&store.NotFoundError{}))
	})

	It("is left to others when a planned stop begins while its acquisition is in flight", func() {
		shard, token := o.shardToTransfer()
		o.handOver(ctx, shard, token)
		o.Replace(read())
		o.vacant = map[string]monotonic.Time{shard: o.firstReadAt}
		s.onCommit = func(t store.Transaction) (uint64, error) {
			s.onCommit = nil
			o.Release(ctx)
			return s.Store.Commit(ctx, t)
		}
		o.acquireVacant(ctx)
		Expect(r.served()).To(BeEmpty())
		_, err := s.Get(ctx, OwnerKey(shard))
		Expect(err).To(BeAssignableToTypeOf(&store.NotFoundError{}))
	})

	It("is served again under a later token", func() {
		shard, token := o.shardToTransfer()
		o.handOver(ctx, shard, token)
		o.Replace(read())
		o.vacant = map[string]monotonic.Time{shard: o.firstReadAt}
		o.acquireVacant(ctx)
		Expect(r.served()[shard]).To(BeNumerically(">", token))
	})
})

var _ = Describe("what a daemon owns under a lease that the store has ended", func() {
	It("is given up although the daemon has acquired another lease before it learns of the loss", func() {
		ctx := context.Background()
		s, r := cluster.NewStore(), &runner{shards: map[string]uint64{}}
		discardLog := logrus.New()
		discardLog.SetOutput(io.Discard)
		self := Member{Name: "x", Address: "x:1", Incarnation: "x1"}
		renewer := NewRenewer(s, self, discardLog)
		Expect(renewer.acquire(ctx)).To(Succeed())
		o := NewOwners(s, renewer, self, r, func(partition.Depths, []fleet.ServiceID) []string { return []string{"a"} }, discardLog)
		records, revision, err := s.List(ctx, prefix)
		Expect(err).NotTo(HaveOccurred())
		o.Replace(records, revision)
		o.firstReadAt = monotonic.Now().Add(-time.Minute)
		o.acquireVacant(ctx)
		Expect(r.served()).To(HaveKey("a"))
		former, _ := renewer.Lease()
		s.EndLease(former)
		Expect(renewer.renew(ctx, former)).To(BeTrue())
		Expect(renewer.acquire(ctx)).To(Succeed())
		current, _ := renewer.Lease()
		Expect(renewer.ValidUntil(current)).To(BeNumerically(">", monotonic.Now()))
		// The watch has not delivered the end of the ownership yet.
		o.reconcile()
		Expect(r.served()).NotTo(HaveKey("a"))
		Expect(renewer.ValidUntil(former)).To(BeNumerically("<", monotonic.Now()))
	})
})

var _ = Describe("a lease that a planned stop has revoked", func() {
	var (
		s       *scriptedStore
		renewer *Renewer
	)
	ctx := context.Background()
	BeforeEach(func() {
		s = &scriptedStore{Store: cluster.NewStore()}
		discardLog := logrus.New()
		discardLog.SetOutput(io.Discard)
		renewer = NewRenewer(s, Member{Name: "x", Address: "x:1", Incarnation: "x1"}, discardLog)
	})

	It("does not become valid again by the late response to a renewal", func() {
		Expect(renewer.acquire(ctx)).To(Succeed())
		id, _ := renewer.Lease()
		s.afterKeepAlive = func() { Expect(renewer.Revoke(ctx)).To(Succeed()) }
		renewer.renew(ctx, id)
		Expect(renewer.ValidUntil(id)).To(BeNumerically("<", monotonic.Now()))
		current, _ := renewer.Lease()
		Expect(current).To(BeZero())
	})

	It("is not followed by another one", func() {
		s.onCommit = func(t store.Transaction) (uint64, error) {
			// The stop overtakes the acquisition.
			Expect(renewer.Revoke(ctx)).To(Succeed())
			return s.Store.Commit(ctx, t)
		}
		Expect(renewer.acquire(ctx)).NotTo(Succeed())
		current, _ := renewer.Lease()
		Expect(current).To(BeZero())
		before := s.Calls()
		renewer.Run(ctx)
		Expect(s.Calls()).To(Equal(before))
	})
})

// jointRunner ends the stop of a shard only once all shards are being stopped.
type jointRunner struct {
	runner
	stops sync.WaitGroup
}

func (r *jointRunner) Stop(string, bool) {
	r.stops.Done()
	r.stops.Wait()
}

var _ = Describe("the shards of a daemon that is stopped", func() {
	It("do not wait for each other", func() {
		ctx := context.Background()
		s, r := cluster.NewStore(), &jointRunner{runner: runner{shards: map[string]uint64{}}}
		discardLog := logrus.New()
		discardLog.SetOutput(io.Discard)
		self := Member{Name: "x", Address: "x:1", Incarnation: "x1"}
		renewer := NewRenewer(s, self, discardLog)
		Expect(renewer.acquire(ctx)).To(Succeed())
		o := NewOwners(s, renewer, self, r, func(partition.Depths, []fleet.ServiceID) []string { return []string{"a", "b"} }, discardLog)
		records, revision, err := s.List(ctx, prefix)
		Expect(err).NotTo(HaveOccurred())
		o.Replace(records, revision)
		o.firstReadAt = monotonic.Now().Add(-time.Minute)
		o.acquireVacant(ctx)
		Expect(r.served()).To(HaveLen(2))
		r.stops.Add(2)
		released := make(chan struct{})
		go func() { defer close(released); o.Release(ctx) }()
		Eventually(released, time.Second).Should(BeClosed())
		for _, shard := range []string{"a", "b"} {
			_, err := s.Get(ctx, OwnerKey(shard))
			Expect(err).To(BeAssignableToTypeOf(&store.NotFoundError{}))
		}
	})
})
