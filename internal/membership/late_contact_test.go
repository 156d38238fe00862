package membership

import (
	"context"
	"errors"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/config"
	"samphirestile.example/samphirestile/internal/peerapi/oas"
	"samphirestile.example/samphirestile/internal/store"
)

// noConfig is the source of a daemon that has no configuration yet.
type noConfig struct{}

func (noConfig) Current() *config.Snapshot            { return nil }
func (noConfig) Subscribe() (<-chan struct{}, func()) { return nil, func() {} }

// lateReplies is a store and a peer that note when they are called, and reply later.
type lateReplies struct {
	store.Store
	Peer
	called time.Time
	reply  func() error
}

func (l *lateReplies) call() error {
	l.called = time.Now()
	time.Sleep(5 * time.Millisecond)
	if l.reply == nil {
		return nil
	}
	return l.reply()
}

func (l *lateReplies) Get(context.Context, string) (store.Entry, error) {
	return store.Entry{}, l.call()
}

func (l *lateReplies) Delete(context.Context, string, uint64) error { return nil }

func (l *lateReplies) Heartbeat(context.Context, *oas.Heartbeat) (*oas.HeartbeatReply, error) {
	err := l.call()
	return &oas.HeartbeatReply{State: oas.Heartbeat{Daemon: "y", Incarnation: "i-y", PeerAddress: "y"}}, err
}

// These specs guard against a daemon that accepts requests with revoked keys after a pause, because a reply to a
// request from before the pause counts as contact, and against results that are applied after those of later calls.
var _ = Describe("the last contact of a daemon", func() {
	var (
		l *lateReplies
		m *Membership
	)
	ctx := context.Background()
	BeforeEach(func() {
		discardLog := logrus.New()
		discardLog.SetOutput(io.Discard)
		l = &lateReplies{}
		m = New(Config{
			Daemon: "x", Incarnation: "i-x", PeerAddress: "x", Store: l, Config: noConfig{}, Log: discardLog,
			Dial: func(string) (Peer, error) { return l, nil },
		})
	})

	It("with the store is when the call was sent", func() {
		_, err := m.store.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(m.LastContact()).To(BeTemporally("<=", l.called))
		Expect(m.StoreReachable()).To(BeTrue())
	})

	It("with a peer is when the heartbeat was sent", func() {
		p := &peer{incarnation: "i-y", address: "y", sent: map[string]sentRow{}, rows: map[string]oas.TeamRow{}}
		m.peers[p.incarnation] = p
		Expect(m.exchange(ctx, p)).To(Succeed())
		Expect(m.LastContact()).To(BeTemporally("<=", l.called))
	})

	It("is not undone by a call that was sent before and failed later", func() {
		l.reply = func() error {
			Expect(m.store.Delete(ctx, "k", 1)).To(Succeed())
			return errors.New("no answer")
		}
		_, err := m.store.Get(ctx, "k")
		Expect(err).To(HaveOccurred())
		Expect(m.StoreReachable()).To(BeTrue())
	})
})
