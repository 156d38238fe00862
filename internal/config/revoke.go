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
	// revokeTimeout bounds the time that Revoke waits for peers and the store. It leaves
	// half of the 2 s allowed for a revocation to the response and to retries.
	revokeTimeout = time.Second
	// redeliverInterval is the interval between retries to peers that have not confirmed a
	// revocation.
	redeliverInterval = 500 * time.Millisecond
	// defaultPersistDelay is the minimum delay before a daemon records a revocation that
	// another daemon received. The receiving daemon records it at once if it can.
	defaultPersistDelay  = 2 * time.Second
	persistCheckInterval = 250 * time.Millisecond
	revokeChangePrefix   = "revoke-"
)

// Revocation is the progress of a revocation when Revoke returns.
type Revocation struct {
	// Durable is set if the store holds the revocation.
	Durable bool
	// Reached is the number of peers that confirmed it, out of Peers.
	Reached int
	Peers   int
}

// Revoke rejects a key on this daemon immediately, notifies all peers, and records the
// revocation in the store. It returns within about a second; the peers or the store that
// were not reached by then are retried in the background until they succeed.
func (m *Manager) Revoke(ctx context.Context, keyID string) (Revocation, error) {
	addresses := m.peerAddresses()
	m.mu.Lock()
	if len(m.config.Revoked.Add(keyID)) > 0 {
		m.publishLocked()
	}
	if !m.config.Revoked.Has(keyID) {
		m.mu.Unlock()
		return Revocation{}, &InvalidChangeError{Field: "key ID", Value: keyID, Allowed: "the ID of a key"}
	}
	for _, a := range addresses {
		p := m.peerLocked(a)
		p.unconfirmed[keyID] = true
		if p.lastSeen.IsZero() {
			p.lastSeen = time.Now()
		}
	}
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	result := Revocation{Peers: len(addresses)}
	var wg sync.WaitGroup
	wg.Go(func() {
		err := m.persistRevocations(ctx)
		result.Durable = err == nil
		if err != nil {
			m.log.WithError(err).WithField("key_id", keyID).Warn("cannot record revocation in the store yet; retrying")
			wake(m.persistSignal)
		}
	})
	result.Reached = m.notifyAll(ctx, addresses)
	wg.Wait()
	return result, nil
}

// notifyAll sends notices to all peers, retries failed ones until ctx is done, and returns
// the number of peers that confirmed.
func (m *Manager) notifyAll(ctx context.Context, addresses []string) int {
	confirmed := make([]bool, len(addresses))
	var wg sync.WaitGroup
	for i, a := range addresses {
		wg.Go(func() {
			for ctx.Err() == nil {
				if confirmed[i] = m.notifyPeer(ctx, a) == nil; confirmed[i] || !sleep(ctx, minRetryDelay) {
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
	s := m.activeConfiguration()
	return s != nil && slices.Contains(s.head.Revoked, keyID)
}

// addRevoked applies revocations received from a peer.
func (m *Manager) addRevoked(ids []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.config.Revoked.Add(ids...)) > 0 {
		m.publishLocked()
	}
}

// nonDurableLocked returns the revoked keys that the active configuration does not
// contain. The caller must hold m.mu.
func (m *Manager) nonDurableLocked() []string {
	nonDurable := m.config.Revoked.IDs()
	if m.active == nil {
		return nonDurable
	}
	return slices.DeleteFunc(nonDurable, func(id string) bool {
		_, durable := slices.BinarySearch(m.active.head.Revoked, id)
		return durable
	})
}

// persistRevocations records all revoked keys of this daemon in the store, and retries
// after conflicts and unknown outcomes.
func (m *Manager) persistRevocations(ctx context.Context) error {
	for {
		err := m.tryPersistRevocations(ctx)
		var conflict *store.ConflictError
		var unknown *store.UnknownOutcomeError
		// The next attempt reads the head, which contains the keys if the write succeeded.
		if !errors.As(err, &conflict) && !errors.As(err, &unknown) {
			return err
		}
		if !sleep(ctx, jitter(minRetryDelay/2)) {
			return &OutcomeUnknownError{ID: revokeChangePrefix, Cause: err}
		}
	}
}

func (m *Manager) tryPersistRevocations(ctx context.Context) error {
	activeRevision := m.Revision()
	head, version, err := m.readHead(ctx)
	if err != nil {
		return err
	}
	if head.Revision < activeRevision {
		return &StoreRegressedError{Store: head.Revision, Active: activeRevision}
	}
	ids := m.config.Revoked.IDs()
	revoked := union(head.Revoked, ids)
	if len(revoked) == len(head.Revoked) {
		return m.loadAndActivate(ctx, head)
	}
	added := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return slices.Contains(head.Revoked, id) })
	documents, err := m.loadDocuments(ctx, head)
	if err != nil {
		return err
	}
	record := ChangeRecord{ID: revokeChangePrefix + added[0], Operator: "samphirestiled", Time: time.Now().UTC()}
	next, err := m.render(head.next(head.Documents, revoked, record), documents)
	if err != nil {
		return err
	}
	if err := m.writeHead(ctx, next.head, version); err != nil {
		return err
	}
	m.activateAndNotify(next)
	return nil
}

// persistLoop records revocations that have not become durable within a random delay, once
// the store is reachable. Because of the delay the daemons that received a revocation from
// a peer do not all write at once.
func (m *Manager) persistLoop(ctx context.Context) {
	var since time.Time
	wait := jitter(2 * m.config.PersistDelay)
	tick := time.NewTicker(persistCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.persistSignal:
		case <-tick.C:
		}
		m.mu.Lock()
		nonDurable := len(m.nonDurableLocked()) > 0
		m.mu.Unlock()
		switch {
		case !nonDurable:
			since, wait = time.Time{}, jitter(2*m.config.PersistDelay)
		case since.IsZero():
			since = time.Now()
		case m.StoreReachable() && time.Since(since) > wait:
			callCtx, cancel := context.WithTimeout(ctx, applyTimeout)
			err := m.persistRevocations(callCtx)
			cancel()
			if err != nil {
				m.log.WithError(err).Warn("cannot record revocations in the store yet; retrying")
			}
		}
	}
}

// redeliverLoop resends revocations to the peers that have not confirmed them.
func (m *Manager) redeliverLoop(ctx context.Context) {
	for sleep(ctx, redeliverInterval) {
		for _, a := range m.redeliveryTargets() {
			m.spawn(func(ctx context.Context) {
				_ = m.notifyPeer(ctx, a)
				m.mu.Lock()
				m.peerLocked(a).redelivering = false
				m.mu.Unlock()
			})
		}
	}
}

// redeliveryTargets returns the peers to which revocations must be resent, and marks them
// as in progress. A peer that has not reported for peerRetention receives durable
// revocations with the configuration.
func (m *Manager) redeliveryTargets() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addresses []string
	nonDurable := m.nonDurableLocked()
	for a, p := range m.peers {
		if time.Since(p.lastSeen) > peerRetention {
			maps.DeleteFunc(p.unconfirmed, func(id string, _ bool) bool { return !slices.Contains(nonDurable, id) })
		}
		if len(p.unconfirmed) > 0 && !p.redelivering {
			p.redelivering = true
			addresses = append(addresses, a)
		}
	}
	return addresses
}

// IsRevoked reports whether a key is revoked on this daemon.
func (m *Manager) IsRevoked(keyID string) bool { return m.config.Revoked.Has(keyID) }
