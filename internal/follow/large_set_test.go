package follow_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/follow"
	"samphirestile.example/samphirestile/internal/store"
)

// stalledStore answers no watch longer than 1 s (the long polls), but answers the polls for
// missed changes. It counts the full reads.
type stalledStore struct {
	store.Transactional
	mu    sync.Mutex
	lists int
}

func (s *stalledStore) List(ctx context.Context, prefix string) ([]store.Entry, uint64, error) {
	s.mu.Lock()
	s.lists++
	s.mu.Unlock()
	return s.Transactional.List(ctx, prefix)
}

func (s *stalledStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Event, uint64, error) {
	if wait > time.Second {
		<-ctx.Done()
		return nil, 0, &store.UnavailableError{Cause: ctx.Err()}
	}
	return s.Transactional.Watch(ctx, prefix, after, wait)
}

func (s *stalledStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists
}

var _ = Describe("a follower of many records", func() {
	// Guards against saturated links: reading 3,000 workers every 1.5 s on each of 300
	// daemons exceeds the capacity of their links.
	It("does not read all of them in each interval, but polls in each for changes that a stalled watch hides", func() {
		const relistInterval, recordCount = 100 * time.Millisecond, 2500
		emulated := cluster.NewStore()
		put := func(key string) {
			_, err := emulated.Commit(context.Background(), store.Transaction{Writes: []store.Write{{Key: key}}})
			Expect(err).NotTo(HaveOccurred())
		}
		for i := range recordCount {
			put(fmt.Sprintf("p/%04d", i))
		}
		s, target := &stalledStore{Transactional: emulated}, &records{}
		discardLog := logrus.New()
		discardLog.SetOutput(io.Discard)
		f := follow.New(follow.Config{Store: s, Prefix: "p/", Target: target, RelistInterval: relistInterval, Log: discardLog})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		DeferCleanup(func() { cancel(); <-done })
		Eventually(target.get).Should(HaveKey("p/0000"))
		before := s.count()
		for i := range 5 {
			key := fmt.Sprintf("p/new-%d", i)
			put(key)
			Eventually(target.get, 5*relistInterval, relistInterval/10).Should(HaveKey(key))
		}
		time.Sleep(10 * relistInterval)
		Expect(s.count()-before).To(BeNumerically("<=", 4), "at least 10 intervals have passed")
	})
})
