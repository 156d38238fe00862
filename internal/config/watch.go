package config

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/store"
)

// maxParallelFetches bounds the concurrent document reads from the store.
const maxParallelFetches = 8

// watchStore follows the head in the store. It lists again after each failure, so that
// changes between two watches are not missed.
func (m *Manager) watchStore(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		err := m.listAndWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		var compacted *store.CompactedError
		if errors.As(err, &compacted) {
			continue
		}
		if m.storeReachable.Swap(false) {
			m.log.WithError(err).Warn("cannot follow the configuration in the store")
			delay = minRetryDelay
		}
		wake(m.catchUpSignal)
		if !sleep(ctx, jitter(delay)) {
			return
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// jitter returns a random delay between half of d and d, so that daemons do not retry
// simultaneously.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2) }

// listAndWatch lists the head and then watches it until an error occurs or relistInterval
// has elapsed.
func (m *Manager) listAndWatch(ctx context.Context) error {
	listCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	entries, position, err := m.config.Store.List(listCtx, headKey)
	cancel()
	if err != nil {
		return err
	}
	if err := m.activateNewest(ctx, entries); err != nil {
		return err
	}
	if !m.storeReachable.Swap(true) {
		wake(m.persistSignal)
	}
	for start := time.Now(); time.Since(start) < relistInterval; {
		watchCtx, cancel := context.WithTimeout(ctx, watchPollTimeout+watchTimeoutMargin)
		events, next, err := m.config.Store.Watch(watchCtx, headKey, position, watchPollTimeout)
		cancel()
		if err != nil {
			return err
		}
		position = next
		var changed []store.Entry
		for _, e := range events {
			if !e.Deleted {
				changed = append(changed, e.Entry)
			}
		}
		if len(changed) == 0 {
			continue
		}
		if err := m.activateNewest(ctx, changed); err != nil {
			return err
		}
	}
	return nil
}

// activateNewest activates the newest of the given head records. A store without a head
// holds the empty configuration of revision 0.
func (m *Manager) activateNewest(ctx context.Context, entries []store.Entry) error {
	newest := &Head{Documents: map[string]string{}}
	for _, e := range entries {
		if e.Key != headKey {
			continue
		}
		h, err := parseHead(e.Value)
		if err != nil {
			return err
		}
		if h.Revision > newest.Revision {
			newest = h
		}
	}
	return m.loadAndActivate(ctx, newest)
}

// loadAndActivate activates the configuration of a head from the store, and notifies the
// peers that do not report the store as reachable.
func (m *Manager) loadAndActivate(ctx context.Context, head *Head) error {
	if s := m.activeConfiguration(); s != nil && s.head.Revision >= head.Revision {
		if s.head.Revision > head.Revision {
			m.log.WithField("store_revision", head.Revision).WithField("revision", s.head.Revision).Warn("ignoring older configuration in the store")
		}
		return nil
	}
	documents, err := m.loadDocuments(ctx, head)
	if err != nil {
		return err
	}
	s, err := m.render(head, documents)
	if err != nil {
		m.reportUnusable(head, err)
		return err
	}
	if m.activate(s) {
		m.notifyPeersWithoutStore()
	}
	return nil
}

// loadDocuments returns the documents that a head references. Contents that the active
// configuration already holds are not read again.
func (m *Manager) loadDocuments(ctx context.Context, head *Head) (map[string][]byte, error) {
	activeContents := map[string][]byte{}
	if s := m.activeConfiguration(); s != nil {
		for name, hash := range s.head.Documents {
			activeContents[hash] = s.documents[name]
		}
	}
	documents := make(map[string][]byte, len(head.Documents))
	missing := map[string][]string{}
	for name, hash := range head.Documents {
		if content, ok := activeContents[hash]; ok {
			documents[name] = content
		} else {
			missing[hash] = append(missing[hash], name)
		}
	}
	if err := m.fetchDocuments(ctx, missing, documents); err != nil {
		return nil, err
	}
	return documents, nil
}

// fetchDocuments reads the documents with the given hashes from the store in parallel and
// adds them to documents.
func (m *Manager) fetchDocuments(ctx context.Context, missing map[string][]string, documents map[string][]byte) error {
	var (
		mu       sync.Mutex
		wg       sync.WaitGroup
		firstErr error
		slots    = make(chan struct{}, maxParallelFetches)
	)
	for hash, names := range missing {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
			defer cancel()
			e, err := m.config.Store.Get(callCtx, docPrefix+hash)
			if err == nil && hashOf(e.Value) != hash {
				err = &DocumentError{Name: names[0], Hash: hash}
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				if firstErr == nil {
					firstErr = err
				}
				return
			}
			for _, name := range names {
				documents[name] = e.Value
			}
		})
	}
	wg.Wait()
	return firstErr
}
