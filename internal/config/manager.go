package config

import (
	"context"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/peerapi/oas"
	"samphirestile.example/samphirestile/internal/store"
)

// Peer is another daemon; the generated client of the peer interface implements it.
type Peer interface {
	Notice(ctx context.Context, request *oas.Notice) error
	Snapshot(ctx context.Context) (*oas.Snapshot, error)
}

// RevokedSet is the set of revoked key IDs on this daemon.
type RevokedSet interface {
	// Add adds IDs and returns those that were not in the set.
	Add(ids ...string) (added []string)
	Has(id string) bool
	IDs() []string
	Len() int
}

// Config configures a Manager.
type Config struct {
	Store store.Store
	// Hosts lists the hosts that are leaving or gone; if it is nil, no host is marked.
	Hosts store.HostLister
	// Render validates documents and renders them; its errors are returned to operators
	// unchanged.
	Render func(documents map[string][]byte) (*Snapshot, error)
	// Dial returns a client for the peer at an address.
	Dial func(address string) (Peer, error)
	// Self is the peer address of this daemon.
	Self string
	// Peers are the configured peer addresses, used until Members returns other daemons.
	Peers []string
	// Members returns the peer addresses in the membership view; it may be nil.
	Members func() []string
	Revoked RevokedSet
	// Log receives diagnostics; if it is nil, they are discarded.
	Log logrus.FieldLogger
	// HostsInterval is the interval between reads of the host list; 0 means
	// defaultHostsInterval.
	HostsInterval time.Duration
	// PersistDelay is the minimum delay before this daemon records revocations that another
	// daemon received; 0 means defaultPersistDelay.
	PersistDelay time.Duration
}

// Timeouts and intervals.
const (
	// watchPollTimeout is the duration of one long poll. A connection to the store that was
	// lost silently is detected after watchPollTimeout plus watchTimeoutMargin.
	watchPollTimeout   = 2 * time.Second
	watchTimeoutMargin = time.Second
	// relistInterval bounds the delay of a change that the watch does not deliver and no
	// peer reports.
	relistInterval = 10 * time.Second
	minRetryDelay  = 100 * time.Millisecond
	maxRetryDelay  = time.Second
	// storeTimeout bounds one store call of a background goroutine.
	storeTimeout = time.Second
	// applyTimeout bounds one change, including the read after a lost response.
	applyTimeout = 8 * time.Second
	// defaultHostsInterval and hostListTimeout together keep the time until the endpoints of
	// a leaving host are marked below 3 s.
	defaultHostsInterval = time.Second
	hostListTimeout      = time.Second
)

// configuration is an accepted configuration with its documents. It is immutable.
type configuration struct {
	head      *Head
	documents map[string][]byte
	rendered  *Snapshot
}

// Manager maintains the active configuration. It implements Source.
type Manager struct {
	config         Config
	log            logrus.FieldLogger
	runCtx         context.Context
	cancel         context.CancelFunc
	current        atomic.Pointer[Snapshot]
	storeReachable atomic.Bool

	mu             sync.Mutex
	closed         bool
	background     sync.WaitGroup
	active         *configuration
	startup        startupState
	leaving        map[fleet.HostID]bool
	subscribers    map[chan struct{}]struct{}
	peers          map[string]*peerState
	targetRevision uint64
	catchUpSignal  chan struct{}
	persistSignal  chan struct{}
	// hostListCurrent is set while the host list can be read. leavingVersion counts the
	// changes of the set of leaving hosts.
	hostListCurrent bool
	leavingVersion  uint64
	// leavingKnown is set once the leaving hosts were read from the host list or received from
	// a peer.
	leavingKnown bool
	// leavingNoticed is set if a peer sent a notice since the host list was last read here.
	// fetchingLeaving is set while the leaving hosts are requested from peers.
	leavingNoticed  bool
	fetchingLeaving bool
	// unusableRevision is the last revision that was logged as unusable.
	unusableRevision uint64
}

var _ Source = (*Manager)(nil)

// New returns a manager without an active configuration; Run obtains one.
func New(c Config) *Manager {
	log := c.Log
	if log == nil {
		l := logrus.New()
		l.SetOutput(io.Discard)
		log = l
	}
	if c.HostsInterval == 0 {
		c.HostsInterval = defaultHostsInterval
	}
	if c.PersistDelay == 0 {
		c.PersistDelay = defaultPersistDelay
	}
	runCtx, cancel := context.WithCancel(context.Background())
	return &Manager{
		config: c, log: log, runCtx: runCtx, cancel: cancel,
		startup:       startupState{hostsKnown: c.Hosts == nil},
		leaving:       map[fleet.HostID]bool{},
		subscribers:   map[chan struct{}]struct{}{},
		peers:         map[string]*peerState{},
		catchUpSignal: make(chan struct{}, 1),
		persistSignal: make(chan struct{}, 1),
	}
}

// Run keeps the configuration up to date until ctx is done, and returns after all
// background goroutines have finished.
func (m *Manager) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, m.cancel)
	defer stop()
	m.spawn(m.watchStore)
	m.spawn(m.catchUpLoop)
	m.spawn(m.persistLoop)
	m.spawn(m.redeliverLoop)
	if m.config.Hosts != nil {
		m.spawn(m.watchHosts)
		m.spawn(m.limitHostsWait)
	}
	<-m.runCtx.Done()
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.background.Wait()
}

// spawn runs f in a background goroutine with a context that ends with Run. It does
// nothing after Run has ended.
func (m *Manager) spawn(f func(ctx context.Context)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	m.background.Go(func() { f(m.runCtx) })
}

// Current implements Source.
func (m *Manager) Current() *Snapshot { return m.current.Load() }

// Revision returns the active revision, or 0 if no configuration is active yet.
func (m *Manager) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revisionLocked()
}

// StoreReachable reports whether the store could be reached by the last list or watch call.
func (m *Manager) StoreReachable() bool { return m.storeReachable.Load() }

// RevokedCount returns the number of revoked keys on this daemon.
func (m *Manager) RevokedCount() int { return m.config.Revoked.Len() }

// WaitReady waits until a configuration is active.
func (m *Manager) WaitReady(ctx context.Context) error {
	changed, stop := m.Subscribe()
	defer stop()
	for m.Current() == nil {
		select {
		case <-changed:
		case <-ctx.Done():
			return &NotReadyError{}
		}
	}
	return nil
}

// Subscribe implements Source.
func (m *Manager) Subscribe() (<-chan struct{}, func()) {
	c := make(chan struct{}, 1)
	m.mu.Lock()
	m.subscribers[c] = struct{}{}
	m.mu.Unlock()
	return c, func() {
		m.mu.Lock()
		delete(m.subscribers, c)
		m.mu.Unlock()
	}
}

// Documents returns the active documents and their revision. The contents must not be
// modified.
func (m *Manager) Documents() (revision uint64, documents map[string][]byte, err error) {
	s := m.activeConfiguration()
	if s == nil {
		return 0, nil, &NotReadyError{}
	}
	return s.head.Revision, maps.Clone(s.documents), nil
}

// History returns the retained changes, newest first.
func (m *Manager) History() ([]ChangeRecord, error) {
	s := m.activeConfiguration()
	if s == nil {
		return nil, &NotReadyError{}
	}
	changes := slices.Clone(s.head.Changes)
	slices.Reverse(changes)
	return changes, nil
}

func (m *Manager) activeConfiguration() *configuration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.active
}

// activate makes s the active configuration unless the active one is at least as new.
// It reports whether the active configuration changed.
func (m *Manager) activate(s *configuration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.active != nil && m.active.head.Revision >= s.head.Revision {
		return false
	}
	m.active = s
	m.config.Revoked.Add(s.head.Revoked...)
	m.publishLocked()
	m.log.WithField("revision", s.head.Revision).Info("configuration activated")
	return true
}

// render renders the documents that a head references.
func (m *Manager) render(head *Head, documents map[string][]byte) (*configuration, error) {
	rendered, err := m.config.Render(documents)
	if err != nil {
		return nil, err
	}
	rendered.Revision = head.Revision
	rendered.AccountRevisions, rendered.AccountsRevision = head.accountRevisions()
	return &configuration{head: head, documents: documents, rendered: rendered}, nil
}

// reportUnusable logs once per revision that this daemon cannot use an accepted
// configuration, for example because a daemon of a later version accepted it.
func (m *Manager) reportUnusable(head *Head, err error) {
	m.mu.Lock()
	first := m.unusableRevision != head.Revision
	m.unusableRevision = head.Revision
	m.mu.Unlock()
	if first {
		m.log.WithError(err).WithField("revision", head.Revision).Error("cannot use accepted configuration")
	}
}

// publishLocked builds the snapshot from the active configuration, the leaving hosts and
// the revoked keys, and notifies subscribers. It does nothing before the startup is complete.
// The caller must hold m.mu.
func (m *Manager) publishLocked() {
	if m.active == nil || !m.startup.complete() {
		return
	}
	s := *m.active.rendered
	s.Endpoints = maps.Clone(s.Endpoints)
	for id, e := range s.Endpoints {
		if m.leaving[e.Host] && e.Host != "" {
			e.Leaving = true
			s.Endpoints[id] = e
		}
	}
	s.Keys = maps.Clone(s.Keys)
	for id, k := range s.Keys {
		if m.config.Revoked.Has(id) {
			k.Revoked = true
			s.Keys[id] = k
		}
	}
	m.current.Store(&s)
	for c := range m.subscribers {
		wake(c)
	}
}

// wake signals a channel of capacity 1; pending signals are coalesced.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits for d. It returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
