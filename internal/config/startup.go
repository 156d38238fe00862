package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// initialHostsTimeout bounds the delay of the first configuration while the leaving hosts
// cannot be read. It covers one read of the host list, after which peers were asked too.
const initialHostsTimeout = hostListTimeout + 500*time.Millisecond

// startupState is what this daemon must know before it uses its first configuration.
//
// Fault: the first peer that responds may have an older configuration, and the store's lacks revoked
// keys that only other peers hold and the hosts that are leaving. Manager.mu guards it.
type startupState struct {
	// peersAsked is set once the first peers have responded or failed to.
	peersAsked bool
	// hostsKnown is set once the leaving hosts are known, or initialHostsTimeout has elapsed.
	hostsKnown bool
	// lastLeavingReceived is set once a peer has returned the leaving hosts that it knew last.
	lastLeavingReceived bool
}

func (s *startupState) complete() bool { return s.peersAsked && s.hostsKnown }

// askInitialPeers fetches the snapshots of several peers and activates the newest one.
func (m *Manager) askInitialPeers(ctx context.Context) {
	addresses := m.peerAddresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(len(addresses), maxCatchUpPeers)]
	var group sync.WaitGroup
	for _, a := range addresses {
		group.Go(func() {
			// Nothing is published before peersAsked is set, so the order does not matter.
			if err := m.syncFromPeer(ctx, a); err != nil && ctx.Err() == nil {
				m.log.WithError(err).WithField("peer", a).Info("no configuration from this peer at the start")
			}
		})
	}
	group.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startup.peersAsked = true
	if m.startup.lastLeavingReceived {
		m.recordHostsKnownLocked()
	}
	m.publishLocked()
}

// limitHostsWait makes the daemon use its configuration without knowing the leaving hosts
// after initialHostsTimeout, because service must continue in an outage of any length.
func (m *Manager) limitHostsWait(ctx context.Context) {
	if !sleep(ctx, initialHostsTimeout) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.startup.hostsKnown {
		return
	}
	m.log.Warn("leaving hosts are not known; using the configuration without them")
	m.startup.hostsKnown = true
	m.publishLocked()
}

// recordHostsKnownLocked records that the leaving hosts are known. The caller must hold m.mu.
func (m *Manager) recordHostsKnownLocked() {
	m.leavingKnown = true
	if !m.startup.hostsKnown {
		m.startup.hostsKnown = true
		m.publishLocked()
	}
}
