package config

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/peerapi/oas"
)

const (
	// peerTimeout bounds one call to a peer.
	peerTimeout = time.Second
	// hedgeDelay is the delay before the next source is queried in parallel, so that one
	// unresponsive source does not use up the 2 s within which a change must be active.
	hedgeDelay = 150 * time.Millisecond
	// maxCatchUpFailures is the number of failed attempts after which a target revision is
	// abandoned.
	maxCatchUpFailures = 8
	// maxCatchUpPeers bounds the peers queried in one attempt.
	maxCatchUpPeers = 4
	// peerRetention is how long the state of a peer outside the view is kept after its last
	// report.
	peerRetention = time.Minute
)

// peerState holds the last report of a peer and what it has yet to confirm.
type peerState struct {
	// lastSeen is the time of the last report or, before the first report, of the first
	// notice or revocation for the peer. peerRetention is counted from it.
	lastSeen       time.Time
	revision       uint64
	storeReachable bool
	revokedCount   int
	// leavingVersion is the version of the set of leaving hosts that the peer was notified of.
	leavingVersion uint64
	// unconfirmed holds the revocations made on this daemon that the peer has not confirmed.
	unconfirmed map[string]bool
	// redelivering is set while redeliverLoop resends the unconfirmed revocations.
	redelivering bool
}

// Observe records what a peer reported in a heartbeat or in its reply to one.
func (m *Manager) Observe(peerAddress string, revision uint64, storeReachable bool, revokedCount int) {
	if peerAddress == "" || peerAddress == m.config.Self {
		return
	}
	m.mu.Lock()
	p := m.peerLocked(peerAddress)
	p.lastSeen, p.revision, p.storeReachable, p.revokedCount = time.Now(), revision, storeReachable, revokedCount
	outdated := !storeReachable && (revision < m.revisionLocked() || p.leavingVersion < m.leavingVersion)
	notify := outdated || len(p.unconfirmed) > 0 || (revokedCount < m.config.Revoked.Len() && len(m.nonDurableLocked()) > 0)
	m.mu.Unlock()
	if notify {
		m.spawn(func(ctx context.Context) { _ = m.notifyPeer(ctx, peerAddress) })
	}
	m.raiseTarget(revision)
}

// peerLocked returns the state of a peer and creates it if necessary. The caller must
// hold m.mu.
func (m *Manager) peerLocked(address string) *peerState {
	p := m.peers[address]
	if p == nil {
		p = &peerState{unconfirmed: map[string]bool{}}
		m.peers[address] = p
	}
	return p
}

// peerAddresses returns the addresses of all peers: those in the view, or the configured
// ones while the view contains no other daemon, and those that reported within
// peerRetention.
func (m *Manager) peerAddresses() []string {
	var addresses []string
	if m.config.Members != nil {
		addresses = slices.DeleteFunc(slices.Clone(m.config.Members()), func(a string) bool { return a == m.config.Self || a == "" })
	}
	if len(addresses) == 0 {
		addresses = m.config.Peers
	}
	addressSet := map[string]bool{}
	for _, a := range addresses {
		addressSet[a] = true
	}
	m.mu.Lock()
	for a, p := range m.peers {
		if time.Since(p.lastSeen) < peerRetention {
			addressSet[a] = true
		} else if !addressSet[a] {
			delete(m.peers, a)
		}
	}
	m.mu.Unlock()
	delete(addressSet, m.config.Self)
	return slices.Sorted(maps.Keys(addressSet))
}

// raiseTarget raises the target of catchUpLoop to a revision that was reported to exist.
func (m *Manager) raiseTarget(revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision > m.targetRevision && (m.active == nil || revision > m.active.head.Revision) {
		m.targetRevision = revision
		wake(m.catchUpSignal)
	}
}

// notifyPeersWithoutStore sends a notice to the peers that do not report the store as
// reachable.
func (m *Manager) notifyPeersWithoutStore() {
	addresses := m.peerAddresses()
	m.mu.Lock()
	withoutStore := slices.DeleteFunc(addresses, func(a string) bool { return m.peers[a] != nil && m.peers[a].storeReachable })
	m.mu.Unlock()
	for _, a := range withoutStore {
		m.spawn(func(ctx context.Context) { _ = m.notifyPeer(ctx, a) })
	}
}

// notifyPeer sends a notice with the active revision, the revoked keys that the store does
// not hold yet, and those that the peer has not confirmed. The revocations are effective
// on the peer once it has confirmed the notice.
func (m *Manager) notifyPeer(ctx context.Context, address string) error {
	m.mu.Lock()
	p := m.peerLocked(address)
	if p.lastSeen.IsZero() {
		p.lastSeen = time.Now()
	}
	revoked, leavingVersion := union(m.nonDurableLocked(), slices.Collect(maps.Keys(p.unconfirmed))), m.leavingVersion
	n := &oas.Notice{Revision: int64(m.revisionLocked()), Revoked: revoked}
	m.mu.Unlock()
	if err := m.sendNotice(ctx, address, n); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p = m.peerLocked(address)
	p.leavingVersion = max(p.leavingVersion, leavingVersion)
	for _, id := range revoked {
		delete(p.unconfirmed, id)
	}
	return nil
}

func (m *Manager) revisionLocked() uint64 {
	if m.active == nil {
		return 0
	}
	return m.active.head.Revision
}

func (m *Manager) sendNotice(ctx context.Context, address string, n *oas.Notice) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	peer, err := m.config.Dial(address)
	if err != nil {
		return err
	}
	return peer.Notice(ctx, n)
}

// Notice handles a notice from a peer. Its revocations are effective when it returns.
func (m *Manager) Notice(_ context.Context, n *oas.Notice) error {
	m.addRevoked(n.Revoked)
	m.raiseTarget(uint64(max(n.Revision, 0)))
	m.mu.Lock()
	m.leavingNoticed = true
	m.mu.Unlock()
	m.requestLeavingHosts()
	return nil
}

// wireSnapshot is the encoding of a configuration between daemons. The receiver verifies
// the documents against their hashes and renders them itself.
type wireSnapshot struct {
	Head      *Head             `json:"head"`
	Documents map[string]string `json:"documents"`
	// Leaving lists the hosts that are leaving or gone. It is absent if the sender cannot
	// read the host list.
	Leaving *[]fleet.HostID `json:"leaving,omitempty"`
	// LastLeaving lists the hosts that were leaving or gone when the sender last knew, while
	// it cannot read the host list.
	LastLeaving *[]fleet.HostID `json:"last_leaving,omitempty"`
}

// Snapshot returns the active configuration for a peer. The caller adds the seats.
func (m *Manager) Snapshot(context.Context) (*oas.Snapshot, error) {
	m.mu.Lock()
	s := m.active
	var leaving, lastLeaving *[]fleet.HostID
	// An empty list must not be encoded as null, which means that the list is unknown.
	hosts := append([]fleet.HostID{}, slices.Sorted(maps.Keys(m.leaving))...)
	switch {
	case m.hostListCurrent:
		leaving = &hosts
	case m.leavingKnown:
		lastLeaving = &hosts
	}
	m.mu.Unlock()
	if s == nil {
		return nil, &NotReadyError{}
	}
	w := wireSnapshot{Head: s.head, Documents: make(map[string]string, len(s.documents)), Leaving: leaving, LastLeaving: lastLeaving}
	for name, content := range s.documents {
		w.Documents[name] = string(content)
	}
	data, err := json.Marshal(w)
	if err != nil {
		return nil, &HeadError{Cause: err}
	}
	return &oas.Snapshot{
		Revision: int64(s.head.Revision), Configuration: data,
		Seats: []oas.SeatState{}, Revoked: m.config.Revoked.IDs(),
	}, nil
}

// parseWire decodes the configuration of a peer and verifies the hash of each document.
func parseWire(data []byte) (*wireSnapshot, error) {
	var raw struct {
		Head        json.RawMessage   `json:"head"`
		Documents   map[string]string `json:"documents"`
		Leaving     *[]fleet.HostID   `json:"leaving"`
		LastLeaving *[]fleet.HostID   `json:"last_leaving"`
	}
	d := json.NewDecoder(bytes.NewReader(data))
	if err := d.Decode(&raw); err != nil {
		return nil, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, errTrailing
	}
	w := &wireSnapshot{Documents: raw.Documents, Leaving: raw.Leaving, LastLeaving: raw.LastLeaving}
	head, err := parseWireHead(raw.Head)
	if err != nil {
		return nil, err
	}
	w.Head = head
	if len(w.Documents) != len(head.Documents) {
		return nil, fmt.Errorf("%w: %d documents, the head lists %d", errDocumentSet, len(w.Documents), len(head.Documents))
	}
	for name, hash := range head.Documents {
		content, ok := w.Documents[name]
		if !ok || hashOf([]byte(content)) != hash {
			return nil, &DocumentError{Name: name, Hash: hash}
		}
	}
	return w, nil
}

var errDocumentSet = errors.New("documents do not match the head")

// parseWireHead decodes a head like parseHead, but also accepts the empty configuration of
// revision 0.
func parseWireHead(value []byte) (*Head, error) {
	var partial struct {
		Revision  uint64            `json:"revision"`
		Documents map[string]string `json:"documents"`
	}
	if err := json.Unmarshal(value, &partial); err != nil {
		return nil, &HeadError{Cause: err}
	}
	if partial.Revision == 0 && len(partial.Documents) == 0 {
		return &Head{Documents: map[string]string{}}, nil
	}
	return parseHead(value)
}

// catchUpLoop asks the first peers, and then obtains the target revision, and the initial
// configuration while the store is unavailable.
func (m *Manager) catchUpLoop(ctx context.Context) {
	m.askInitialPeers(ctx)
	delay, failures := minRetryDelay, 0
	for ctx.Err() == nil {
		if !m.behind() {
			delay, failures = minRetryDelay, 0
			select {
			case <-m.catchUpSignal:
			case <-ctx.Done():
			}
			continue
		}
		if err := m.catchUpOnce(ctx); err != nil && ctx.Err() == nil {
			m.log.WithError(err).WithField("failures", failures+1).Debug("cannot obtain the target revision yet")
			if failures++; failures >= maxCatchUpFailures {
				m.abandonTarget()
			}
			sleep(ctx, jitter(delay))
			delay = min(2*delay, maxRetryDelay)
		}
	}
}

// abandonTarget drops a target revision that no source has, for example because the store
// lost it. A heartbeat that reports it sets the target again.
func (m *Manager) abandonTarget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.targetRevision = 0
}

// behind reports whether no configuration is active or a newer one is known to exist.
func (m *Manager) behind() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.active == nil || m.targetRevision > m.active.head.Revision
}

// catchUpOnce queries the store and some peers, one more after each hedgeDelay or
// unsuccessful attempt, until one of them returns the target revision.
func (m *Manager) catchUpOnce(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sources := m.catchUpSources()
	results := make(chan error, len(sources))
	var lastErr error = errNoSource
	running, next := 0, 0
	for {
		if next < len(sources) {
			source := sources[next]
			next++
			running++
			m.spawn(func(context.Context) { results <- source(ctx) })
		} else if running == 0 {
			return &CatchUpError{Revision: m.target(), Cause: lastErr}
		}
		var hedge <-chan time.Time
		if next < len(sources) {
			hedge = time.After(hedgeDelay)
		}
		select {
		case err := <-results:
			running--
			if !m.behind() {
				return nil
			}
			if err != nil {
				lastErr = err
			}
		case <-hedge:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (m *Manager) target() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.targetRevision
}

// catchUpSources returns functions that fetch a newer configuration, in order of
// preference.
func (m *Manager) catchUpSources() []func(context.Context) error {
	addresses := m.peerAddresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	m.mu.Lock()
	slices.SortStableFunc(addresses, func(a, b string) int { return m.rankLocked(b) - m.rankLocked(a) })
	m.mu.Unlock()
	fromStore := func(ctx context.Context) error { return m.syncFromStore(ctx) }
	var sources []func(context.Context) error
	if m.StoreReachable() {
		sources = append(sources, fromStore)
	}
	for _, a := range addresses[:min(len(addresses), maxCatchUpPeers)] {
		sources = append(sources, func(ctx context.Context) error { return m.syncFromPeer(ctx, a) })
	}
	if !m.StoreReachable() {
		sources = append(sources, fromStore)
	}
	return sources
}

// rankLocked returns 1 for a peer that reported the target revision, and 0 otherwise.
// The caller must hold m.mu.
func (m *Manager) rankLocked(address string) int {
	if p := m.peers[address]; p != nil && p.revision >= m.targetRevision {
		return 1
	}
	return 0
}

func (m *Manager) syncFromStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	head, _, err := m.readHead(ctx)
	if err != nil {
		return err
	}
	return m.loadAndActivate(ctx, head)
}

// syncFromPeer activates the configuration of a peer if it is newer than the active one.
func (m *Manager) syncFromPeer(ctx context.Context, address string) error {
	w, err := m.fetchPeerSnapshot(ctx, address)
	if err != nil {
		return err
	}
	if s := m.activeConfiguration(); s != nil && s.head.Revision >= w.Head.Revision {
		return nil
	}
	documents := make(map[string][]byte, len(w.Documents))
	for name, content := range w.Documents {
		documents[name] = []byte(content)
	}
	s, err := m.render(w.Head, documents)
	if err != nil {
		m.reportUnusable(w.Head, err)
		return &PeerDataError{Peer: address, Cause: err}
	}
	m.activate(s)
	return nil
}

// fetchPeerSnapshot fetches the snapshot of a peer and applies its revoked keys and
// leaving hosts.
func (m *Manager) fetchPeerSnapshot(ctx context.Context, address string) (*wireSnapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	peer, err := m.config.Dial(address)
	if err != nil {
		return nil, err
	}
	reply, err := peer.Snapshot(ctx)
	if err != nil {
		return nil, err
	}
	w, err := parseWire(reply.Configuration)
	if err != nil {
		return nil, &PeerDataError{Peer: address, Cause: err}
	}
	m.addRevoked(reply.Revoked)
	switch {
	case w.Leaving != nil:
		m.adoptLeavingHosts(*w.Leaving)
	case w.LastLeaving != nil:
		m.adoptLastLeavingHosts(*w.LastLeaving)
	}
	return w, nil
}

// adoptLeavingHosts applies a peer's set of leaving hosts while this daemon cannot read
// the host list.
func (m *Manager) adoptLeavingHosts(hosts []fleet.HostID) {
	leaving := map[fleet.HostID]bool{}
	for _, id := range hosts {
		leaving[id] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.config.Hosts != nil && !m.hostListCurrent {
		m.setLeavingLocked(leaving)
		m.recordHostsKnownLocked()
	}
}

// adoptLastLeavingHosts adds the hosts that a peer knew as leaving before it lost the host list,
// while this daemon is starting and knows no newer set.
func (m *Manager) adoptLastLeavingHosts(hosts []fleet.HostID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.config.Hosts == nil || m.leavingKnown {
		return
	}
	leaving := maps.Clone(m.leaving)
	for _, id := range hosts {
		leaving[id] = true
	}
	m.setLeavingLocked(leaving)
	m.startup.lastLeavingReceived = true
}

// requestLeavingHosts requests the leaving hosts from peers if this daemon received a
// notice since it last read the host list and cannot read the list now. Several daemons
// send notices of the same change; they cause at most one more request.
func (m *Manager) requestLeavingHosts() {
	m.mu.Lock()
	needed := m.config.Hosts != nil && m.leavingNoticed && !m.hostListCurrent
	start := needed && !m.fetchingLeaving
	m.fetchingLeaving = m.fetchingLeaving || needed
	m.mu.Unlock()
	if start {
		m.spawn(m.fetchLeavingHosts)
	}
}

// fetchLeavingHosts queries peers that can reach the store until one returns the leaving
// hosts, and repeats this if a notice arrived meanwhile.
func (m *Manager) fetchLeavingHosts(ctx context.Context) {
	for again := true; again && ctx.Err() == nil; {
		m.mu.Lock()
		m.leavingNoticed = false
		m.mu.Unlock()
		found := m.fetchLeavingHostsOnce(ctx)
		m.mu.Lock()
		again = m.leavingNoticed && !m.hostListCurrent
		m.fetchingLeaving = again
		// The next failed read of the host list starts another attempt.
		m.leavingNoticed = m.leavingNoticed || !found
		m.mu.Unlock()
	}
}

func (m *Manager) fetchLeavingHostsOnce(ctx context.Context) bool {
	for _, a := range m.peerAddresses() {
		m.mu.Lock()
		reachable := m.peers[a] != nil && m.peers[a].storeReachable
		m.mu.Unlock()
		if !reachable {
			continue
		}
		if w, err := m.fetchPeerSnapshot(ctx, a); err == nil && w.Leaving != nil {
			return true
		}
	}
	return false
}
