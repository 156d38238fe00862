package config

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/store"
)

const (
	// revokePush bounds the time in which Revoke waits for peers and the store. It
	// leaves half of the 2 s of a revocation to the answer and to retries.
	revokePush = time.Second
	// deliverEvery is the time between retries to peers that did not confirm a revocation.
	deliverEvery = 500 * time.Millisecond
	// persistDelay is the least time after which a daemon records a revocation that
	// another daemon received; that daemon records it at once if it can.
	persistDelay = 2 * time.Second
	persistEvery = 250 * time.Millisecond
	revokeChange = "revoke-"
)

// Revocation tells how far a revocation got.
type Revocation struct {
	// Durable is set when the store holds the revocation.
	Durable bool
	// Reached counts the peers that confirmed it, of Peers known ones.
	Reached int
	Peers   int
}

// Revoke makes a key stop working here at once, tells all peers, and records the
// revocation in the store. It returns within about a second; what was not
// reached by then is tried again in the background until it succeeds.
func (m *Manager) Revoke(ctx context.Context, keyID string) (Revocation, error) {
	addresses := m.peerAddresses()
	m.mu.Lock()
	if len(m.config.Revoked.Add(keyID)) > 0 {
		m.publish()
	}
	if !m.config.Revoked.Has(keyID) {
		m.mu.Unlock()
		return Revocation{}, &InvalidChangeError{Field: "key ID", Value: keyID, Allowed: "the ID of a key"}
	}
	for _, a := range addresses {
		p := m.peer(a)
		p.pending[keyID] = true
		if p.seen.IsZero() {
			p.seen = time.Now()
		}
	}
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, revokePush)
	defer cancel()
	r := Revocation{Peers: len(addresses)}
	var wg sync.WaitGroup
	wg.Go(func() {
		err := m.saveRevoked(ctx)
		r.Durable = err == nil
		if err != nil {
			m.log.WithError(err).WithField("key_id", keyID).Warn("revocation is not durable yet")
			wake(m.persist)
		}
	})
	r.Reached = m.pushAll(ctx, addresses)
	wg.Wait()
	return r, nil
}

// pushAll sends notices to all peers, again after a failure until ctx ends, and
// counts those that confirmed.
func (m *Manager) pushAll(ctx context.Context, addresses []string) int {
	confirmed := make([]bool, len(addresses))
	var wg sync.WaitGroup
	for i, a := range addresses {
		wg.Go(func() {
			for ctx.Err() == nil {
				if confirmed[i] = m.notice(ctx, a) == nil; confirmed[i] || !sleep(ctx, retryFirst) {
					return
				}
			}
		})
	}
	wg.Wait()
	reached := 0
	for _, ok := range confirmed {
		if ok {
			reached++
		}
	}
	return reached
}

// Durable reports whether the store holds the revocation of a key.
func (m *Manager) Durable(keyID string) bool {
	s := m.inForce()
	return s != nil && slices.Contains(s.head.Revoked, keyID)
}

// addRevoked takes revocations from a peer.
func (m *Manager) addRevoked(ids []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.config.Revoked.Add(ids...)) > 0 {
		m.publish()
	}
}

// unsavedLocked returns the revoked keys that the configuration in force does not
// hold. The caller holds the mutex.
func (m *Manager) unsavedLocked() []string {
	unsaved := m.config.Revoked.IDs()
	if m.state == nil {
		return unsaved
	}
	return slices.DeleteFunc(unsaved, func(id string) bool {
		_, saved := slices.BinarySearch(m.state.head.Revoked, id)
		return saved
	})
}

// saveRevoked records all revoked keys of this daemon in the store.
func (m *Manager) saveRevoked(ctx context.Context) error {
	for {
		err := m.trySaveRevoked(ctx)
		var conflict *store.ConflictError
		var unknown *store.UnknownOutcomeError
		// The next attempt reads the head back, and finds the keys if the write took effect.
		if !errors.As(err, &conflict) && !errors.As(err, &unknown) {
			return err
		}
		if !sleep(ctx, jitter(retryFirst/2)) {
			return &OutcomeUnknownError{ID: revokeChange, Cause: err}
		}
	}
}

func (m *Manager) trySaveRevoked(ctx context.Context) error {
	inForce := m.Revision()
	head, version, err := m.readHead(ctx)
	if err != nil {
		return err
	}
	if head.Revision < inForce {
		return &StoreRegressedError{Store: head.Revision, Active: inForce}
	}
	ids := m.config.Revoked.IDs()
	revoked := union(head.Revoked, ids)
	if len(revoked) == len(head.Revoked) {
		return m.adoptHead(ctx, head)
	}
	added := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return slices.Contains(head.Revoked, id) })
	documents, err := m.load(ctx, head)
	if err != nil {
		return err
	}
	record := ChangeRecord{ID: revokeChange + added[0], Operator: "samphirestiled", Time: time.Now().UTC()}
	next, err := m.render(head.next(head.Documents, revoked, record), documents)
	if err != nil {
		return err
	}
	if err := m.writeHead(ctx, next.head, version); err != nil {
		return err
	}
	m.accepted(next)
	return nil
}

// persistLoop records revocations that are not durable, when the store is visible.
// A daemon that only heard of them waits, so that not all daemons write at once.
func (m *Manager) persistLoop(ctx context.Context) {
	var since time.Time
	wait := jitter(2 * m.config.PersistDelay)
	tick := time.NewTicker(persistEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.persist:
		case <-tick.C:
		}
		m.mu.Lock()
		unsaved := len(m.unsavedLocked()) > 0
		m.mu.Unlock()
		switch {
		case !unsaved:
			since, wait = time.Time{}, jitter(2*m.config.PersistDelay)
		case since.IsZero():
			since = time.Now()
		case m.StoreVisible() && time.Since(since) > wait:
			callCtx, cancel := context.WithTimeout(ctx, applyTimeout)
			err := m.saveRevoked(callCtx)
			cancel()
			if err != nil {
				m.log.WithError(err).Warn("revocations are not durable yet")
			}
		}
	}
}

// deliverLoop sends revocations again to the peers that did not confirm them.
func (m *Manager) deliverLoop(ctx context.Context) {
	for sleep(ctx, deliverEvery) {
		for _, a := range m.undelivered() {
			m.spawn(func(ctx context.Context) {
				_ = m.notice(ctx, a)
				m.mu.Lock()
				m.peer(a).delivering = false
				m.mu.Unlock()
			})
		}
	}
}

// undelivered returns the peers to which a revocation is to be sent again. A peer
// that was silent for peerMemory learns durable revocations with the configuration.
func (m *Manager) undelivered() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addresses []string
	unsaved := m.unsavedLocked()
	for a, p := range m.peers {
		if time.Since(p.seen) > peerMemory {
			maps.DeleteFunc(p.pending, func(id string, _ bool) bool { return !slices.Contains(unsaved, id) })
		}
		if len(p.pending) > 0 && !p.delivering {
			p.delivering = true
			addresses = append(addresses, a)
		}
	}
	return addresses
}

// IsRevoked reports whether a key is revoked on this daemon.
func (m *Manager) IsRevoked(keyID string) bool { return m.config.Revoked.Has(keyID) }
