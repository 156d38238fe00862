package store_test

import (
	"context"
	"errors"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/store"
)

// way is one daemon's way to the store, with faults of its own.
type way struct {
	store.Transactional
	refused bool
	// lost calls are carried out without an answer.
	lost  bool
	calls int
}

var errWay = errors.New("no way to the store")

func (w *way) Get(ctx context.Context, key string) (store.Entry, error) {
	w.calls++
	if w.refused {
		return store.Entry{}, &store.UnavailableError{Cause: errWay}
	}
	return w.Transactional.Get(ctx, key)
}

func (w *way) KeepAlive(ctx context.Context, id store.LeaseID) error {
	w.calls++
	if w.refused {
		return &store.UnavailableError{Cause: errWay}
	}
	return w.Transactional.KeepAlive(ctx, id)
}

func (w *way) Commit(ctx context.Context, t store.Transaction) (uint64, error) {
	w.calls++
	if w.refused {
		return 0, &store.UnavailableError{Cause: errWay}
	}
	revision, err := w.Transactional.Commit(ctx, t)
	if w.lost {
		return 0, &store.UnknownOutcomeError{Cause: errWay}
	}
	return revision, err
}

var _ = Describe("a daemon that the store turns away", func() {
	var (
		backing   *cluster.Store
		own, peer *way
		silent    bool
		d         *store.Relay
		ctx       = context.Background()
	)
	BeforeEach(func() {
		backing = cluster.NewStore()
		own, peer, silent = &way{Transactional: backing}, &way{Transactional: backing}, false
		quiet := logrus.New()
		quiet.SetOutput(io.Discard)
		d = &store.Relay{
			Transactional: own, Peers: func() []string { return []string{"peer"} }, Log: quiet,
			CallPeer: func(ctx context.Context, _ string, c store.Call) (store.CallResult, error) {
				if silent {
					return store.CallResult{}, errWay
				}
				return store.Serve(ctx, peer, c), nil
			},
		}
	})
	write := func() error {
		_, err := d.Commit(ctx, store.Transaction{Conditions: []store.Condition{{Key: "k"}}, Writes: []store.Write{{Key: "k", Value: []byte("1")}}})
		return err
	}

	It("keeps its lease and writes through another daemon, with the same conditions", func() {
		id, err := d.Grant(ctx, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		own.refused = true
		_ = d.KeepAlive(ctx, id) // the first refusal may be one of too many calls
		Expect(d.KeepAlive(ctx, id)).To(Succeed())
		Expect(write()).To(Succeed())
		e, err := d.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(e.Value)).To(Equal("1"))
		var condition *store.ConditionError
		Expect(errors.As(write(), &condition)).To(BeTrue())
		Expect(condition.Current).To(HaveLen(1))
		_, err = d.Get(ctx, "absent")
		Expect(errors.As(err, new(*store.NotFoundError))).To(BeTrue())
		before := own.calls
		_, err = d.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(own.calls).To(Equal(before), "no call waits for the store that does not answer")
	})
	It("asks the next daemon when one is cut from the store as well", func() {
		cut := &way{Transactional: backing, refused: true}
		d.Peers = func() []string { return []string{"cut", "peer"} }
		d.CallPeer = func(ctx context.Context, address string, c store.Call) (store.CallResult, error) {
			if address == "cut" {
				return store.Serve(ctx, cut, c), nil
			}
			return store.Serve(ctx, peer, c), nil
		}
		id, err := d.Grant(ctx, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		own.refused = true
		_ = d.KeepAlive(ctx, id)
		for range 20 {
			Expect(d.KeepAlive(ctx, id)).To(Succeed())
		}
		Expect(write()).To(Succeed())
		Expect(cut.calls).To(BeNumerically("<=", 2), "the daemon that reached the store last comes first")
	})
	It("says of a write that it may have been carried out when the other daemon does not answer", func() {
		own.refused = true
		_, _ = d.Get(ctx, "k")
		_, _ = d.Get(ctx, "k")
		silent = true
		Expect(errors.As(write(), new(*store.UnknownOutcomeError))).To(BeTrue())
	})
	It("does not repeat a write whose answer was lost", func() {
		own.refused = true
		_, _ = d.Get(ctx, "k")
		own.refused, own.lost = false, true
		Expect(errors.As(write(), new(*store.UnknownOutcomeError))).To(BeTrue())
		Expect(peer.calls).To(BeZero())
	})
	It("keeps its own way when calls of its are cancelled because another one was answered first", func() {
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		own.refused = true
		for range 5 {
			_, err := d.Get(cancelled, "k")
			Expect(err).To(HaveOccurred())
		}
		own.refused = false
		before := peer.calls
		Expect(write()).To(Succeed())
		Expect(peer.calls).To(Equal(before))
	})
	It("leaves its own way when calls of its reach their deadline", func() {
		expired, cancel := context.WithDeadline(ctx, time.Now().Add(-time.Second))
		defer cancel()
		own.refused = true
		for range 5 {
			_, err := d.Get(expired, "k")
			Expect(err).To(HaveOccurred())
		}
		Expect(write()).To(Succeed())
		Expect(peer.calls).To(BeNumerically(">", 0))
	})
	It("reports an outage of the store as one, and goes back to its own way after it", func() {
		own.refused, peer.refused = true, true
		for range 3 {
			Expect(errors.As(write(), new(*store.UnavailableError))).To(BeTrue())
		}
		before := peer.calls
		for range 10 {
			_, err := d.Get(ctx, "k")
			Expect(errors.As(err, new(*store.UnavailableError))).To(BeTrue())
		}
		Expect(peer.calls).To(Equal(before), "an outage does not multiply the calls to the store")
		own.refused = false
		Expect(write()).To(Succeed())
		before = peer.calls
		_, err := d.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(peer.calls).To(Equal(before))
	})
})
