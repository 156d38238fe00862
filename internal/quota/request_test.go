package quota

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

var _ = Describe("the grant of a shard beside a request", func() {
	// Guards against idle shares that keep a large task of another shard from starting.
	It("of another shard shrinks to what its tasks need", func() {
		Expect(plan(1000, 60, 0, 4, 0, 0, 1000, false)).To(BeZero())
		Expect(plan(1000, 300, 100, 4, 200, 0, 800, false)).To(Equal(int64(200)))
		Expect(plan(1000, 300, 100, 4, 100, 100, 800, false)).To(Equal(int64(200)))
	})
	// Guards against tasks that follow each other and never leave a large one the room.
	It("with a reservation shrinks to what its running tasks need", func() {
		Expect(plan(1000, 300, 100, 4, 100, 100, 800, true)).To(Equal(int64(100)))
		Expect(plan(1000, 300, 100, 4, 100, 100, 750, true)).To(Equal(int64(150)))
	})
	It("never makes the total exceed the limit, nor takes resources from running tasks", func() {
		rng := rand.New(rand.NewPCG(3, 4))
		const limit, shards = 1000, 4
		var grants, running [shards]int64
		for range 5000 {
			i, others := rng.IntN(shards), int64(0)
			for j, g := range grants {
				if j != i {
					others += g
				}
			}
			grants[i] = plan(limit, grants[i], others, shards, running[i], rng.Int64N(800), rng.Int64N(1000), rng.IntN(2) == 0)
			Expect(others + grants[i]).To(BeNumerically("<=", limit))
			Expect(grants[i]).To(BeNumerically(">=", running[i]))
			running[i] = rng.Int64N(grants[i] + 1)
		}
	})
})

var _ = Describe("the requests for an account", func() {
	discardLog := logrus.New()
	discardLog.SetOutput(io.Discard)
	entry := func(shard string, version uint64, accounts map[string]request) store.Entry {
		value, err := json.Marshal(accounts)
		Expect(err).NotTo(HaveOccurred())
		return store.Entry{Key: requestPrefix + shard, Value: value, Version: version}
	}
	first := func(r *Requests) string { shard, _ := r.first("acme", nil); return shard }

	// Guards against shards that wait for each other because they disagree on the first request.
	It("are served in one order: reserved ones, then the oldest, then by shard", func() {
		r := NewRequests(nil, nil, discardLog)
		need := worker.Resources{CPU: 10}
		r.Replace([]store.Entry{
			entry("d", 7, map[string]request{"acme": {Need: need, Since: 1}}),
			entry("c", 8, map[string]request{"acme": {Need: need, Since: 5, Reserved: true}}),
			entry("b", 9, map[string]request{"acme": {Need: need, Since: 4, Reserved: true}}),
			entry("a", 10, map[string]request{"acme": {Need: need, Since: 5, Reserved: true}, "other": {Need: need, Since: 1, Reserved: true}}),
		}, 10)
		Expect(first(r)).To(Equal("b"))
		r.Apply([]store.Event{{Entry: store.Entry{Key: requestPrefix + "b", Version: 11}, Deleted: true}})
		Expect(first(r)).To(Equal("a"))
		shard, _ := r.first("acme", func(shard string) bool { return shard != "a" })
		Expect(shard).To(Equal("c"))
		r.Replace([]store.Entry{entry("d", 7, map[string]request{"acme": {Need: need, Since: 1}})}, 12)
		Expect(first(r)).To(Equal("d"))
	})
	// Guards against a late answer of the store that brings back a request that was withdrawn.
	It("are not undone by older records", func() {
		r := NewRequests(nil, nil, discardLog)
		r.Apply([]store.Event{{Entry: entry("a", 8, map[string]request{"other": {Since: 1}})}})
		r.Apply([]store.Event{{Entry: entry("a", 7, map[string]request{"acme": {Since: 1}})}})
		r.Replace(nil, 6)
		Expect(first(r)).To(BeEmpty())
		shard, _ := r.first("other", nil)
		Expect(shard).To(Equal("a"))
	})
	It("of records that cannot be read do not count", func() {
		r := NewRequests(nil, nil, discardLog)
		for _, value := range []string{"", "[]", "1", `{"acme":[]}`, `{"acme":{"need":{"cpu":"x"}}}`, "\xff"} {
			r.Replace([]store.Entry{{Key: requestPrefix + "a", Value: []byte(value), Version: 3}}, 3)
			Expect(first(r)).To(BeEmpty(), value)
		}
		r.Replace([]store.Entry{{Key: requestPrefix + "a", Value: []byte(`{"acme":{"need":{"CPU":-5}}}`), Version: 4}}, 4)
		_, q := r.first("acme", nil)
		Expect(q.Need).To(Equal(worker.Resources{}))
	})
	It("reserve resources for a part of the time only", func() {
		Expect(Reserves(time.Second)).To(BeTrue())
		Expect(Reserves(reservationTime)).To(BeFalse())
		Expect(Reserves(reservationPeriod - 1)).To(BeFalse())
		Expect(Reserves(reservationPeriod)).To(BeTrue())
	})
})

// waitingSource is a source with a task that waits for its account's limit.
type waitingSource struct {
	*source
	shortages map[string]Shortage
}

func (s *waitingSource) Shortages() map[string]Shortage { return s.shortages }

var _ = Describe("the record of a shard's requests", func() {
	discardLog := logrus.New()
	discardLog.SetOutput(io.Discard)
	ctx := context.Background()

	// Guards against a request that is recorded for ever after a lost answer of the store or a change of the owner.
	It("is removed after the last request, also after a lost answer and by the next owner", func() {
		s := cluster.NewStore()
		start := func(shortages map[string]Shortage) (*Ledger, *waitingSource) {
			_, err := s.Commit(ctx, store.Transaction{Removals: []string{"own"}})
			Expect(err).NotTo(HaveOccurred())
			token, err := s.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: "own"}}})
			Expect(err).NotTo(HaveOccurred())
			src := &waitingSource{&source{limit: worker.Resources{CPU: 1000}}, shortages}
			return NewLedger(s, "a", "own", token, src, func() {}, Peers{Requests: NewRequests(s, nil, discardLog)}, discardLog), src
		}
		recorded := func() int {
			entries, _, err := s.List(ctx, requestPrefix)
			Expect(err).NotTo(HaveOccurred())
			return len(entries)
		}
		shortage := map[string]Shortage{"acme": {Job: "1", Need: worker.Resources{CPU: 900}, Waiting: time.Second}}
		l, src := start(shortage)
		Expect(l.updateRequests(ctx)).To(Succeed())
		Expect(recorded()).To(Equal(1))
		src.shortages = nil
		s.SetFaults(cluster.StoreFaults{LoseAnswers: true})
		Expect(l.updateRequests(ctx)).NotTo(Succeed())
		s.SetFaults(cluster.StoreFaults{})
		src.shortages = shortage
		Expect(l.updateRequests(ctx)).To(Succeed())
		Expect(recorded()).To(Equal(1))
		next, _ := start(nil)
		Expect(l.updateRequests(ctx)).To(Succeed()) // nothing has changed
		Expect(next.updateRequests(ctx)).To(Succeed())
		Expect(recorded()).To(BeZero())
	})
})
