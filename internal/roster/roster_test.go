package roster_test

import (
	"context"
	"errors"
	"io"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/roster"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

var _ = Describe("the list of workers", func() {
	var (
		s *cluster.Store
		r *roster.Roster
	)
	put := func(id, value string) {
		_, err := s.Commit(context.Background(), store.Transaction{Writes: []store.Write{{Key: "w/" + id, Value: []byte(value)}}})
		Expect(err).NotTo(HaveOccurred())
	}
	remove := func(id string) {
		_, err := s.Commit(context.Background(), store.Transaction{Removals: []string{"w/" + id}})
		Expect(err).NotTo(HaveOccurred())
	}
	listed := func() map[worker.ID]worker.Worker { return r.ByService("svc") }
	BeforeEach(func() {
		s = cluster.NewStore()
		discardLog := logrus.New()
		discardLog.SetOutput(io.Discard)
		r = roster.New(s, "w/", func(e store.Entry) (worker.Worker, error) {
			if string(e.Value) == "bad" {
				return worker.Worker{}, errors.New("unreadable")
			}
			return worker.Worker{ID: worker.ID(e.Key[2:]), Service: "svc", Draining: string(e.Value) == "draining"}, nil
		}, func() bool { return true }, discardLog)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); r.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-done })
	})
	It("follows changes and skips invalid entries", func() {
		put("a", "ready")
		put("x", "bad")
		Eventually(listed, "3s").Should(HaveLen(1))
		put("b", "ready")
		Eventually(listed, "3s").Should(HaveLen(2))
		put("a", "draining")
		Eventually(func() bool { return listed()["a"].Draining }, "1500ms").Should(BeTrue())
	})
	It("does not notify subscribers of an unchanged entry", func() {
		put("a", "ready")
		Eventually(listed, "3s").Should(HaveLen(1))
		version, changes := r.Version(), r.Subscribe()
		defer r.Unsubscribe(changes)
		for range 5 {
			put("a", "ready")
		}
		Consistently(changes, "2s").ShouldNot(Receive())
		Expect(r.Version()).To(Equal(version))
		Expect(r.Count()).To(Equal(1))
		put("a", "draining")
		Eventually(changes, "2s").Should(Receive())
		Expect(r.Version()).NotTo(Equal(version))
		Expect(r.Count()).To(BeZero())
	})
	It("keeps and marks a missing worker for a while", func() {
		put("a", "ready")
		Eventually(listed, "3s").Should(HaveLen(1))
		remove("a")
		Eventually(func() bool { return listed()["a"].Missing }, "2s").Should(BeTrue())
		put("a", "ready")
		Eventually(func() bool { w, ok := listed()["a"]; return ok && !w.Missing }, "2s").Should(BeTrue())
		remove("a")
		Eventually(listed, "6s").Should(BeEmpty())
	})
	It("applies changes even when the watch is stalled and the history is compacted", func() {
		put("a", "ready")
		Eventually(listed, "3s").Should(HaveLen(1))
		s.SetFaults(cluster.StoreFaults{StallWatches: true})
		put("a", "draining")
		s.DropHistory()
		Eventually(func() bool { return listed()["a"].Draining }, "2s").Should(BeTrue())
	})
})
