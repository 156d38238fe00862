package config

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/peerapi/oas"
)

const (
	// peerTimeout bounds one message to a peer.
	peerTimeout = time.Second
	// hedgeDelay is the time after which the next source is asked as well, so that
	// one silent source does not use up the 2 s in which a change must be in force.
	hedgeDelay = 150 * time.Millisecond
	// initialPeerDelay gives the store the first chance at start.
	initialPeerDelay = 300 * time.Millisecond
	// maxCatchUpFailures is the number of attempts to get a revision before it is given up.
	maxCatchUpFailures = 8
	// maxCatchUpPeers bounds the peers asked in one attempt.
	maxCatchUpPeers = 4
	// peerRetention is the time after which a silent peer outside the view is forgotten.
	peerRetention = time.Minute
)

// peerState is what a peer last reported.
type peerState struct {
	lastSeen     time.Time
	revision     uint64
	storeVisible bool
	revokedCount int
	// leavingVersion is the version of the leaving leavingVersion of which the peer was told.
	leavingVersion uint64
	// unconfirmed holds the revocations made here that the peer did not confirm.
	unconfirmed map[string]bool
	// redelivering is set while deliverLoop sends them again.
	redelivering bool
}

// Observe takes what a peer reported in a heartbeat or its reply.
func (m *Manager) Observe(peerAddress string, revision uint64, storeVisible bool, revokedCount int) {
	if peerAddress == "" || peerAddress == m.config.Self {
		return
	}
	m.mu.Lock()
	p := m.peerLocked(peerAddress)
	p.lastSeen, p.revision, p.storeVisible, p.revokedCount = time.Now(), revision, storeVisible, revokedCount
	outdated := !storeVisible && (revision < m.revisionLocked() || p.leavingVersion < m.leavingVersion)
	send := outdated || len(p.unconfirmed) > 0 || (revokedCount < m.config.Revoked.Len() && len(m.nonDurableLocked()) > 0)
	m.mu.Unlock()
	if send {
		m.spawn(func(ctx context.Context) { _ = m.notifyPeer(ctx, peerAddress) })
	}
	m.raiseTarget(revision)
}

// peerLocked returns the state of a peerLocked. The caller holds the mutex.
func (m *Manager) peerLocked(address string) *peerState {
	p := m.peers[address]
	if p == nil {
		p = &peerState{unconfirmed: map[string]bool{}}
		m.peers[address] = p
	}
	return p
}

// peerAddresses returns all peers: those of the view, or the configured ones while
// the view names no other daemon, and those that reported lately.
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

// raiseTarget asks for a revision that is known to exist.
func (m *Manager) raiseTarget(revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision > m.targetRevision && (m.active == nil || revision > m.active.head.Revision) {
		m.targetRevision = revision
		wake(m.catchUpSignal)
	}
}

// notifyPeersWithoutStore tells the revision in force to the peers that did not report the
// store as visible.
func (m *Manager) notifyPeersWithoutStore() {
	addresses := m.peerAddresses()
	m.mu.Lock()
	withoutStore := slices.DeleteFunc(addresses, func(a string) bool { return m.peers[a] != nil && m.peers[a].storeVisible })
	m.mu.Unlock()
	for _, a := range withoutStore {
		m.spawn(func(ctx context.Context) { _ = m.notifyPeer(ctx, a) })
	}
}

// notifyPeer sends the revision in force, the revoked keys that the store does not
// hold yet, and those that the peer did not confirm. A peer that confirms the
// notifyPeer has them in force.
func (m *Manager) notifyPeer(ctx context.Context, address string) error {
	m.mu.Lock()
	p := m.peerLocked(address)
	if p.lastSeen.IsZero() {
		p.lastSeen = time.Now()
	}
	revoked, marks := union(m.nonDurableLocked(), slices.Collect(maps.Keys(p.unconfirmed))), m.leavingVersion
	n := &oas.Notice{Revision: int64(m.revisionLocked()), Revoked: revoked}
	m.mu.Unlock()
	if err := m.sendNotice(ctx, address, n); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p = m.peerLocked(address)
	p.leavingVersion = max(p.leavingVersion, marks)
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

// Notice handles a peer's notice. Revocations are in force when it returns.
func (m *Manager) Notice(_ context.Context, n *oas.Notice) error {
	m.addRevoked(n.Revoked)
	m.raiseTarget(uint64(max(n.Revision, 0)))
	m.mu.Lock()
	m.leavingNoticed = true
	m.mu.Unlock()
	m.requestLeavingHosts()
	return nil
}

// wireSnapshot is the configuration as daemons send it to each other: the documents,
// which the receiver checks against their hashes and renders itself.
type wireSnapshot struct {
	Head      *Head             `json:"head"`
	Documents map[string]string `json:"documents"`
	// Leaving lists the hosts that are leaving or gone. It is absent when the
	// sender cannot read the host list either.
	Leaving *[]fleet.HostID `json:"leaving,omitempty"`
}

// Snapshot returns the configuration in force for a peer. The caller adds the seats.
func (m *Manager) Snapshot(context.Context) (*oas.Snapshot, error) {
	m.mu.Lock()
	s := m.active
	var leaving *[]fleet.HostID
	if m.hostListCurrent {
		// An empty list must not become null, which means that there is none.
		hosts := append([]fleet.HostID{}, slices.Sorted(maps.Keys(m.leaving))...)
		leaving = &hosts
	}
	m.mu.Unlock()
	if s == nil {
		return nil, &NotReadyError{}
	}
	w := wireSnapshot{Head: s.head, Documents: make(map[string]string, len(s.documents)), Leaving: leaving}
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

// parseWire reads the configuration of a peer and checks each document.
func parseWire(data []byte) (*wireSnapshot, error) {
	var raw struct {
		Head      json.RawMessage   `json:"head"`
		Documents map[string]string `json:"documents"`
		Leaving   *[]fleet.HostID   `json:"leaving"`
	}
	d := json.NewDecoder(bytes.NewReader(data))
	if err := d.Decode(&raw); err != nil {
		return nil, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, errTrailing
	}
	w := &wireSnapshot{Documents: raw.Documents, Leaving: raw.Leaving}
	head, err := parseWireHead(raw.Head)
	if err != nil {
		return nil, err
	}
	w.Head = head
	if len(w.Documents) != len(head.Documents) {
		return nil, errDocumentSet
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

// parseWireHead accepts the empty configuration of revision 0 too.
func parseWireHead(value []byte) (*Head, error) {
	var probe struct {
		Revision  uint64            `json:"revision"`
		Documents map[string]string `json:"documents"`
	}
	if err := json.Unmarshal(value, &probe); err != nil {
		return nil, &HeadError{Cause: err}
	}
	if probe.Revision == 0 && len(probe.Documents) == 0 {
		return &Head{Documents: map[string]string{}}, nil
	}
	return parseHead(value)
}

// catchUpLoop gets wanted revisions, and the first configuration while the store
// is down.
func (m *Manager) catchUpLoop(ctx context.Context) {
	// A failure of the store ends the grace early.
	select {
	case <-m.catchUpSignal:
	case <-time.After(initialPeerDelay):
	case <-ctx.Done():
		return
	}
	retry, failures := minRetryDelay, 0
	for ctx.Err() == nil {
		if !m.behind() {
			retry, failures = minRetryDelay, 0
			select {
			case <-m.catchUpSignal:
			case <-ctx.Done():
			}
			continue
		}
		if err := m.catchUpOnce(ctx); err != nil && ctx.Err() == nil {
			m.log.WithError(err).Debug("not caught up yet")
			if failures++; failures >= maxCatchUpFailures {
				m.abandonTarget()
			}
			sleep(ctx, jitter(retry))
			retry = min(2*retry, maxRetryDelay)
		}
	}
}

// abandonTarget forgets a revision that no source has, such as one that was lost
// with the store. A heartbeat that names it starts the search again.
func (m *Manager) abandonTarget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.targetRevision = 0
}

// behind reports whether a configuration newer than the one in force is known.
func (m *Manager) behind() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.active == nil || m.targetRevision > m.active.head.Revision
}

// catchUpOnce asks the store and some peers, one more after each hedgeDelay or
// failure, until one of them gives the wanted revision.
func (m *Manager) catchUpOnce(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sources := m.catchUpSources()
	results := make(chan error, len(sources))
	var failure error = errNoSource
	running, next := 0, 0
	for {
		if next < len(sources) {
			source := sources[next]
			next++
			running++
			m.spawn(func(context.Context) { results <- source(ctx) })
		} else if running == 0 {
			return &CatchUpError{Revision: m.target(), Cause: failure}
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
				failure = err
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

// catchUpSources returns the functions that may raise the configuration, best first.
func (m *Manager) catchUpSources() []func(context.Context) error {
	addresses := m.peerAddresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	m.mu.Lock()
	slices.SortStableFunc(addresses, func(a, b string) int { return m.rankLocked(b) - m.rankLocked(a) })
	m.mu.Unlock()
	fromStore := func(ctx context.Context) error { return m.syncFromStore(ctx) }
	var sources []func(context.Context) error
	if m.StoreVisible() {
		sources = append(sources, fromStore)
	}
	for _, a := range addresses[:min(len(addresses), maxCatchUpPeers)] {
		sources = append(sources, func(ctx context.Context) error { return m.syncFromPeer(ctx, a) })
	}
	if !m.StoreVisible() {
		sources = append(sources, fromStore)
	}
	return sources
}

// rankLocked is 1 for a peer that reported the wanted revision. The caller holds the mutex.
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

// syncFromPeer installs the configuration of a peer if it is newer than the one in force.
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

// fetchPeerSnapshot gets the snapshot of a peer and takes its revoked keys and leaving marks.
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
	if w.Leaving != nil {
		m.adoptLeavingHosts(*w.Leaving)
	}
	return w, nil
}

// adoptLeavingHosts uses a peer's leaving marks while the own host list cannot be read.
func (m *Manager) adoptLeavingHosts(hosts []fleet.HostID) {
	leaving := map[fleet.HostID]bool{}
	for _, id := range hosts {
		leaving[id] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.config.Hosts != nil && !m.hostListCurrent {
		m.setLeavingLocked(leaving)
	}
}

// requestLeavingHosts asks a peer for the leaving marks if there was a notice since the own
// host list was last read, and the list cannot be read now. Several daemons send
// notices of one change; they cause one more request at most.
func (m *Manager) requestLeavingHosts() {
	m.mu.Lock()
	wanted := m.config.Hosts != nil && m.leavingNoticed && !m.hostListCurrent
	start := wanted && !m.fetchingLeaving
	m.fetchingLeaving = m.fetchingLeaving || wanted
	m.mu.Unlock()
	if start {
		m.spawn(m.fetchLeavingHosts)
	}
}

// fetchLeavingHosts asks peers that see the store until one gives the leaving marks, and
// again when a notice arrived meanwhile.
func (m *Manager) fetchLeavingHosts(ctx context.Context) {
	for again := true; again && ctx.Err() == nil; {
		m.mu.Lock()
		m.leavingNoticed = false
		m.mu.Unlock()
		found := m.fetchLeavingHostsOnce(ctx)
		m.mu.Lock()
		again = m.leavingNoticed && !m.hostListCurrent
		m.fetchingLeaving = again
		// The next failed read of the host list tries again.
		m.leavingNoticed = m.leavingNoticed || !found
		m.mu.Unlock()
	}
}

func (m *Manager) fetchLeavingHostsOnce(ctx context.Context) bool {
	for _, a := range m.peerAddresses() {
		m.mu.Lock()
		visible := m.peers[a] != nil && m.peers[a].storeVisible
		m.mu.Unlock()
		if !visible {
			continue
		}
		if w, err := m.fetchPeerSnapshot(ctx, a); err == nil && w.Leaving != nil {
			return true
		}
	}
	return false
}
