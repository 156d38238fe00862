// Package cluster emulates a transactional store, workers and an advisor in
// memory, with fault injection, and checks the recorded histories of task runs.
package cluster

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/store"
)

// StoreFaults are the injected faults of a Store.
type StoreFaults struct {
	// Down fails all calls as unavailable.
	Down bool
	// LoseAnswers applies writes, but reports an unknown outcome.
	LoseAnswers bool
	// DelayWrites reports an unknown outcome at once and applies the write after
	// this delay, if its conditions still hold.
	DelayWrites time.Duration
	// StallWatches withholds events from watches.
	StallWatches bool
	// LostCalls of every LostCalls+1 calls (except watches, grants and revocations)
	// are neither applied nor get a response.
	LostCalls int
}

// Store is an in-memory store.Transactional.
type Store struct {
	mu sync.Mutex
	// unansweredCalls counts the calls since the last one with a response, for LostCalls.
	unansweredCalls int
	faults          StoreFaults
	revision        uint64
	items           map[string]store.Entry
	events          []store.Event
	// dropped is the revision up to which the event history is compacted.
	dropped   uint64
	leases    map[store.LeaseID]*time.Timer
	ttl       map[store.LeaseID]time.Duration
	nextLease store.LeaseID
	changed   chan struct{} // closed at the next change
	commits   int
	calls     int
}

var _ store.Transactional = (*Store)(nil)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		revision: 1, items: map[string]store.Entry{}, leases: map[store.LeaseID]*time.Timer{},
		ttl: map[store.LeaseID]time.Duration{}, changed: make(chan struct{}),
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// DropHistory compacts the event history, so that watches from earlier revisions fail.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped, s.events = s.revision, nil
}

// Commits returns the number of applied transactions.
func (s *Store) Commits() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits
}

// Calls returns the number of calls of any kind.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

var (
	errDown = errors.New("emulated store is down")
	errLost = errors.New("emulated loss of the response")
)

// begin counts a call and returns an error while the store is down. The caller holds mu.
func (s *Store) begin() error {
	s.calls++
	return s.unavailable()
}

// unavailable returns an error while the store is down. The caller holds mu.
func (s *Store) unavailable() error {
	if s.faults.Down {
		return &store.UnavailableError{Cause: errDown}
	}
	return nil
}

// loseCall blocks until ctx ends if the call is lost (LostCalls), and returns nil otherwise.
func (s *Store) loseCall(ctx context.Context) error {
	s.mu.Lock()
	lost := s.faults.LostCalls > 0
	if lost {
		s.unansweredCalls = (s.unansweredCalls + 1) % (s.faults.LostCalls + 1)
		lost = s.unansweredCalls != 0
	}
	s.mu.Unlock()
	if !lost {
		return nil
	}
	<-ctx.Done()
	return &store.UnknownOutcomeError{Cause: errLost}
}

// Get implements store.Transactional.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := s.loseCall(ctx); err != nil {
		return store.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return store.Entry{}, err
	}
	e, ok := s.items[key]
	if !ok {
		return store.Entry{}, &store.NotFoundError{Key: key}
	}
	return e, nil
}

// List implements store.Transactional.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Entry, uint64, error) {
	if err := s.loseCall(ctx); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return nil, 0, err
	}
	var entries []store.Entry
	for key, e := range s.items {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, e)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries, s.revision, nil
}

// Watch implements store.Transactional.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Event, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if err := s.unavailable(); err != nil {
			s.mu.Unlock()
			return nil, 0, err
		}
		if after < s.dropped {
			s.mu.Unlock()
			return nil, 0, &store.CompactedError{After: after}
		}
		var events []store.Event
		for _, e := range s.events {
			if e.Version > after && strings.HasPrefix(e.Key, prefix) && !s.faults.StallWatches {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return events, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, revision, nil
		case <-changed:
		}
	}
}

// Commit implements store.Transactional.
func (s *Store) Commit(ctx context.Context, t store.Transaction) (uint64, error) {
	if err := s.loseCall(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return 0, err
	}
	if delay := s.faults.DelayWrites; delay > 0 {
		time.AfterFunc(delay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = s.apply(t) // the caller already got an unknown outcome
		})
		return 0, &store.UnknownOutcomeError{Cause: errLost}
	}
	revision, err := s.apply(t)
	if s.faults.LoseAnswers {
		return 0, &store.UnknownOutcomeError{Cause: errLost}
	}
	return revision, err
}

// apply commits a transaction if its conditions hold. The caller holds mu.
func (s *Store) apply(t store.Transaction) (uint64, error) {
	failed := &store.ConditionError{}
	holds := true
	for _, c := range t.Conditions {
		e, ok := s.items[c.Key]
		if ok {
			failed.Current = append(failed.Current, e)
		}
		if e.Version != c.Version {
			holds = false
		}
	}
	if !holds {
		return 0, failed
	}
	for _, w := range t.Writes {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return 0, &store.NotFoundError{Key: "lease"}
		}
	}
	s.revision++
	s.commits++
	for _, w := range t.Writes {
		e := store.Entry{Key: w.Key, Value: append([]byte(nil), w.Value...), Version: s.revision, Created: s.revision, Lease: w.Lease}
		if former, ok := s.items[w.Key]; ok {
			e.Created = former.Created
		}
		s.items[w.Key] = e
		s.events = append(s.events, store.Event{Entry: e})
	}
	for _, key := range t.Removals {
		s.remove(key)
	}
	s.notifyWatches()
	return s.revision, nil
}

// remove deletes a key at the current revision. The caller holds mu.
func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.events = append(s.events, store.Event{Entry: store.Entry{Key: key, Version: s.revision}, Deleted: true})
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Grant implements store.Transactional.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return 0, err
	}
	s.nextLease++
	id := s.nextLease
	s.ttl[id] = ttl
	s.leases[id] = time.AfterFunc(ttl, func() { s.EndLease(id) })
	return id, nil
}

// KeepAlive implements store.Transactional.
func (s *Store) KeepAlive(ctx context.Context, id store.LeaseID) error {
	if err := s.loseCall(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return err
	}
	if s.leases[id] == nil {
		return &store.NotFoundError{Key: "lease"}
	}
	s.leases[id].Reset(s.ttl[id])
	return nil
}

// Revoke implements store.Transactional.
func (s *Store) Revoke(_ context.Context, id store.LeaseID) error {
	s.mu.Lock()
	err := s.begin()
	known := s.leases[id] != nil
	s.mu.Unlock()
	if err != nil {
		return err
	}
	if !known {
		return &store.NotFoundError{Key: "lease"}
	}
	s.EndLease(id)
	return nil
}

// EndLease ends a lease and removes its keys, even while the store is down.
func (s *Store) EndLease(id store.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.leases[id]
	if t == nil {
		return
	}
	t.Stop()
	delete(s.leases, id)
	s.revision++
	for key, e := range s.items {
		if e.Lease == id {
			s.remove(key)
		}
	}
	s.notifyWatches()
}
