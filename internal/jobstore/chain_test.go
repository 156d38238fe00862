package jobstore_test

import (
	"context"
	"errors"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/jobstore"
	"samphirestile.example/samphirestile/internal/store"
)

var _ = Describe("a chain of transactions", func() {
	var (
		s   *cluster.Store
		ctx = context.Background()
	)
	acquire := func() *jobstore.Chain {
		_, err := s.Commit(ctx, store.Transaction{Removals: []string{"own"}})
		Expect(err).NotTo(HaveOccurred())
		token, err := s.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: "own"}}})
		Expect(err).NotTo(HaveOccurred())
		c, err := jobstore.Open(ctx, s, "x", "own", token)
		Expect(err).NotTo(HaveOccurred())
		return c
	}
	write := func(value string) []store.Write { return []store.Write{{Key: "k", Value: []byte(value)}} }
	value := func() string {
		e, err := s.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		return string(e.Value)
	}
	BeforeEach(func() { s = cluster.NewStore() })

	It("commits a batch once when the response of the store is lost", func() {
		c := acquire()
		s.SetFaults(cluster.StoreFaults{LoseAnswers: true})
		before := s.Commits()
		done := make(chan error)
		go func() { done <- c.Commit(ctx, write("1"), nil) }()
		time.Sleep(50 * time.Millisecond)
		s.SetFaults(cluster.StoreFaults{})
		Expect(<-done).To(Succeed())
		Expect(s.Commits()).To(Equal(before + 1))
		Expect(c.Commit(ctx, write("2"), nil)).To(Succeed())
		Expect(value()).To(Equal("2"))
	})
	It("rejects a delayed duplicate of an earlier batch", func() {
		c := acquire()
		s.SetFaults(cluster.StoreFaults{DelayWrites: 300 * time.Millisecond})
		done := make(chan error)
		go func() { done <- c.Commit(ctx, write("1"), nil) }()
		time.Sleep(50 * time.Millisecond)
		s.SetFaults(cluster.StoreFaults{})
		Expect(<-done).To(Succeed())
		Expect(c.Commit(ctx, write("2"), nil)).To(Succeed())
		time.Sleep(400 * time.Millisecond)
		Expect(value()).To(Equal("2"))
	})
	It("does not take an abandoned batch for the batch that follows it", func() {
		c := acquire()
		s.SetFaults(cluster.StoreFaults{LoseAnswers: true})
		abandoned, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		Expect(c.Commit(abandoned, write("1"), nil)).To(MatchError(context.DeadlineExceeded))
		Expect(value()).To(Equal("1"))
		s.SetFaults(cluster.StoreFaults{})
		Expect(c.Commit(ctx, write("2"), nil)).To(Succeed())
		Expect(value()).To(Equal("2"))
		Expect(c.Commit(ctx, write("3"), nil)).To(Succeed())
		Expect(value()).To(Equal("3"))
	})
	// Guards against an owner that repeats for ever a batch whose own condition failed, or that takes it for the loss
	// of its ownership.
	It("does not commit a batch whose own condition does not hold, and goes on", func() {
		c := acquire()
		revision, err := s.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: "bound", Value: []byte("a")}}})
		Expect(err).NotTo(HaveOccurred())
		bound := store.Condition{Key: "bound", Version: revision}
		Expect(c.Commit(ctx, write("1"), nil, bound)).To(Succeed())
		_, err = s.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: "bound", Value: []byte("b")}}})
		Expect(err).NotTo(HaveOccurred())
		for range 2 {
			var failed *jobstore.PreconditionError
			Expect(errors.As(c.Commit(ctx, write("2"), nil, bound), &failed)).To(BeTrue())
			Expect(failed.Current).To(ContainElement(HaveField("Key", "bound")))
		}
		Expect(value()).To(Equal("1"))
		Expect(c.Commit(ctx, write("3"), nil)).To(Succeed())
		Expect(value()).To(Equal("3"))
	})
	It("commits a batch with a condition of its own once when the response of the store is lost", func() {
		c := acquire()
		revision, err := s.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: "bound"}}})
		Expect(err).NotTo(HaveOccurred())
		s.SetFaults(cluster.StoreFaults{LoseAnswers: true})
		before := s.Commits()
		done := make(chan error)
		go func() { done <- c.Commit(ctx, write("1"), nil, store.Condition{Key: "bound", Version: revision}) }()
		time.Sleep(50 * time.Millisecond)
		s.SetFaults(cluster.StoreFaults{})
		Expect(<-done).To(Succeed())
		Expect(s.Commits()).To(Equal(before + 1))
	})
	It("hedges a lost call instead of waiting for its timeout", func() {
		c := acquire()
		s.SetFaults(cluster.StoreFaults{LostCalls: 2})
		began := time.Now()
		for n := range 3 {
			Expect(c.Commit(ctx, write(strconv.Itoa(n)), nil)).To(Succeed())
		}
		Expect(time.Since(began)).To(BeNumerically("<", 3*3*store.HedgeDelay), "no batch waits for a timeout")
		s.SetFaults(cluster.StoreFaults{})
		Expect(value()).To(Equal("2"))
	})
	It("is continued although another writer has overwritten its position", func() {
		for _, value := range []string{"", "null", "-1", "1e3", "18446744073709551615", "99999999999999999999", "\xff"} {
			_, err := s.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: "samphirestile/chain/x", Value: []byte(value)}}})
			Expect(err).NotTo(HaveOccurred())
			c := acquire()
			s.SetFaults(cluster.StoreFaults{LoseAnswers: true})
			before := s.Commits()
			done := make(chan error)
			go func() { done <- c.Commit(ctx, write(value), nil) }()
			time.Sleep(50 * time.Millisecond)
			s.SetFaults(cluster.StoreFaults{})
			Expect(<-done).To(Succeed())
			Expect(s.Commits()).To(Equal(before+1), "the batch is committed once")
			Expect(c.Commit(ctx, write(value+"2"), nil)).To(Succeed())
		}
	})
	It("rejects writes of an owner that lost ownership", func() {
		first := acquire()
		Expect(first.Commit(ctx, write("1"), nil)).To(Succeed())
		second := acquire()
		Expect(errors.As(first.Commit(ctx, write("late"), nil), new(*jobstore.OwnershipLostError))).To(BeTrue())
		Expect(second.Commit(ctx, write("2"), nil)).To(Succeed())
		Expect(value()).To(Equal("2"))
	})
	It("retries during a store outage and reports that its batch is failing", func() {
		c := acquire()
		s.SetFaults(cluster.StoreFaults{Down: true})
		done := make(chan error)
		go func() { done <- c.Commit(ctx, write("1"), nil) }()
		Eventually(func() bool { _, failing := c.PendingBatch(); return failing }).Should(BeTrue())
		s.SetFaults(cluster.StoreFaults{})
		Expect(<-done).To(Succeed())
		pending, failing := c.PendingBatch()
		Expect(pending).To(BeZero())
		Expect(failing).To(BeFalse())
	})
})
