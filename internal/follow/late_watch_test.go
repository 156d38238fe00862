package follow_test

import (
	"context"
	"io"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/follow"
	"samphirestile.example/samphirestile/internal/store"
)

// pagedStore lists one record whose page is read later than the first one, and delivers watches when a spec says so.
type pagedStore struct {
	store.Transactional
	mu       sync.Mutex
	lists    []listing
	watches  chan watched
	watching chan uint64
}

type listing struct {
	records  []store.Entry
	revision uint64
}

type watched struct {
	changes  []store.Event
	revision uint64
}

func (s *pagedStore) List(context.Context, string) ([]store.Entry, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.lists[0]
	if len(s.lists) > 1 {
		s.lists = s.lists[1:]
	}
	return l.records, l.revision, nil
}

func (s *pagedStore) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) ([]store.Event, uint64, error) {
	select {
	case s.watching <- after:
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	select {
	case w := <-s.watches:
		return w.changes, w.revision, nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// values is a target that stores each value of one record.
type values struct {
	mu  sync.Mutex
	all []string
}

func (v *values) add(s string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.all = append(v.all, s)
}

func (v *values) Replace(records []store.Entry, _ uint64) { v.add(string(records[0].Value)) }

func (v *values) Apply(changes []store.Event) { v.add(string(changes[len(changes)-1].Value)) }

func (v *values) get() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]string(nil), v.all...)
}

var _ = Describe("a follower of several pages of records", func() {
	record := func(version uint64, value string) store.Entry {
		return store.Entry{Key: "a/z", Value: []byte(value), Version: version}
	}
	// Guards against a worker that seems not to drain, or a partition without its worker, because of a former entry.
	It("does not replace a record of a later page by an earlier change", func() {
		s := &pagedStore{watches: make(chan watched), watching: make(chan uint64), lists: []listing{
			{[]store.Entry{record(5, "first")}, 5},
			// The first page was read at revision 10, the page of the record at 20.
			{[]store.Entry{record(20, "third")}, 10},
		}}
		target := &values{}
		discardLog := logrus.New()
		discardLog.SetOutput(io.Discard)
		f := follow.New(follow.Config{Store: s, Prefix: "a/", Target: target, RelistInterval: time.Hour, Log: discardLog})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-done })
		Eventually(s.watching).Should(Receive(Equal(uint64(5))))
		Expect(f.Read(ctx)).To(Succeed())
		s.watches <- watched{[]store.Event{{Entry: record(12, "second")}}, 12}
		Eventually(s.watching).Should(Receive(Equal(uint64(10))))
		Expect(target.get()).To(Equal([]string{"first", "third"}))
		s.watches <- watched{[]store.Event{{Entry: record(12, "second")}, {Entry: record(20, "third")}}, 20}
		Eventually(s.watching).Should(Receive(Equal(uint64(20))))
		Expect(target.get()).To(Equal([]string{"first", "third", "third"}))
	})
})
