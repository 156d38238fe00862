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

// RevokedSet is the set of revoked key IDs of this daemon.
type RevokedSet interface {
	// Add returns the IDs that were not in the set.
	Add(ids ...string) (added []string)
	Has(id string) bool
	IDs() []string
	Len() int
}

// Config configures a Manager.
type Config struct {
	Store store.Store
	// Hosts gives the leaving marks of hosts; nil means that there are none.
	Hosts store.HostLister
	// Render checks documents and renders them; its errors reach operators unchanged.
	Render func(documents map[string][]byte) (*Snapshot, error)
	// Dial returns a client of the peer at an address.
	Dial func(address string) (Peer, error)
	// Self is the peer address of this daemon.
	Self string
	// Peers are the configured peer addresses, used at start and until Members knows more.
	Peers []string
	// Members returns the peer addresses of the view; it may be nil.
	Members func() []string
	Revoked RevokedSet
	// Log receives diagnostics; nil discards them.
	Log logrus.FieldLogger
	// HostsInterval is the time between two reads of the host list; 0 means hostsEvery.
	HostsInterval time.Duration
	// PersistDelay is the least time after which this daemon records revocations that
	// another daemon received; 0 means persistDelay.
	PersistDelay time.Duration
}

// Bounds of time.
const (
	// watchWait is the length of one long poll. A silent loss of the connection to
	// the store is noticed after watchWait and watchMargin.
	watchWait   = 2 * time.Second
	watchMargin = time.Second
	// listEvery bounds the age of a change that a faulty watch does not deliver,
	// when no peer tells of it either.
	listEvery  = 10 * time.Second
	retryFirst = 100 * time.Millisecond
	retryLast  = time.Second
	// storeTimeout bounds one call of the store in a background task.
	storeTimeout = time.Second
	// applyTimeout bounds one change, including the read back after a lost answer.
	applyTimeout = 8 * time.Second
	// hostsEvery with hostsTimeout keeps the age of a leaving mark below 3 s.
	hostsEvery   = time.Second
	hostsTimeout = time.Second
)

// state is an accepted configuration with its documents. It is immutable.
type state struct {
	head      *Head
	documents map[string][]byte
	base      *Snapshot
}

// Manager keeps the configuration in force. It implements Source.
type Manager struct {
	config  Config
	log     logrus.FieldLogger
	life    context.Context
	cancel  context.CancelFunc
	current atomic.Pointer[Snapshot]
	visible atomic.Bool

	mu      sync.Mutex
	closed  bool
	tasks   sync.WaitGroup
	state   *state
	leaving map[fleet.HostID]bool
	subs    map[chan struct{}]struct{}
	peers   map[string]*peerState
	wanted  uint64
	catchUp chan struct{}
	persist chan struct{}
	// hostsRead is set while the host list can be read; marks counts its changes.
	hostsRead bool
	marks     uint64
	// marksNoticed is set when a peer told of a change and the own list was not read
	// since; pulling is set while the marks are asked for.
	marksNoticed bool
	pulling      bool
	// reported is the last revision that was reported as unusable.
	reported uint64
}

var _ Source = (*Manager)(nil)

// New returns a manager without a configuration in force; Run gets one.
func New(c Config) *Manager {
	log := c.Log
	if log == nil {
		l := logrus.New()
		l.SetOutput(io.Discard)
		log = l
	}
	if c.HostsInterval == 0 {
		c.HostsInterval = hostsEvery
	}
	if c.PersistDelay == 0 {
		c.PersistDelay = persistDelay
	}
	life, cancel := context.WithCancel(context.Background())
	return &Manager{
		config: c, log: log, life: life, cancel: cancel,
		leaving: map[fleet.HostID]bool{},
		subs:    map[chan struct{}]struct{}{},
		peers:   map[string]*peerState{},
		catchUp: make(chan struct{}, 1),
		persist: make(chan struct{}, 1),
	}
}

// Run keeps the configuration up to date until ctx ends, and returns when all
// background work has ended.
func (m *Manager) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, m.cancel)
	defer stop()
	m.spawn(m.watchStore)
	m.spawn(m.catchUpLoop)
	m.spawn(m.persistLoop)
	m.spawn(m.deliverLoop)
	if m.config.Hosts != nil {
		m.spawn(m.watchHosts)
	}
	<-m.life.Done()
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.tasks.Wait()
}

// spawn runs f in the background until the manager ends.
func (m *Manager) spawn(f func(ctx context.Context)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	m.tasks.Go(func() { f(m.life) })
}

// Current implements Source.
func (m *Manager) Current() *Snapshot { return m.current.Load() }

// Revision returns the revision in force; 0 before the first one.
func (m *Manager) Revision() uint64 {
	if s := m.current.Load(); s != nil {
		return s.Revision
	}
	return 0
}

// StoreVisible reports whether the last call of the store succeeded.
func (m *Manager) StoreVisible() bool { return m.visible.Load() }

// RevokedCount returns the number of revoked keys known to this daemon.
func (m *Manager) RevokedCount() int { return m.config.Revoked.Len() }

// WaitReady waits until a configuration is in force.
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
	m.subs[c] = struct{}{}
	m.mu.Unlock()
	return c, func() {
		m.mu.Lock()
		delete(m.subs, c)
		m.mu.Unlock()
	}
}

// Documents returns the documents in force and their revision. The contents must
// not be changed.
func (m *Manager) Documents() (revision uint64, documents map[string][]byte, err error) {
	s := m.inForce()
	if s == nil {
		return 0, nil, &NotReadyError{}
	}
	return s.head.Revision, maps.Clone(s.documents), nil
}

// History returns the remembered changes, newest first.
func (m *Manager) History() ([]ChangeRecord, error) {
	s := m.inForce()
	if s == nil {
		return nil, &NotReadyError{}
	}
	changes := slices.Clone(s.head.Changes)
	slices.Reverse(changes)
	return changes, nil
}

func (m *Manager) inForce() *state {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// install puts a configuration in force unless the one in force is as new. It
// reports whether the configuration changed.
func (m *Manager) install(s *state) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state != nil && m.state.head.Revision >= s.head.Revision {
		return false
	}
	m.state = s
	m.config.Revoked.Add(s.head.Revoked...)
	m.publish()
	m.log.WithField("revision", s.head.Revision).Info("configuration in force")
	return true
}

// render renders the documents of a head.
func (m *Manager) render(head *Head, documents map[string][]byte) (*state, error) {
	base, err := m.config.Render(documents)
	if err != nil {
		return nil, err
	}
	base.Revision = head.Revision
	return &state{head: head, documents: documents, base: base}, nil
}

// unusable reports once that an accepted configuration cannot be used here, as
// when it was accepted by a daemon of a later version.
func (m *Manager) unusable(head *Head, err error) {
	m.mu.Lock()
	first := m.reported != head.Revision
	m.reported = head.Revision
	m.mu.Unlock()
	if first {
		m.log.WithError(err).WithField("revision", head.Revision).Error("accepted configuration cannot be used")
	}
}

// publish builds the snapshot from the configuration, the leaving marks of hosts
// and the revoked set, and tells subscribers. The caller holds the mutex.
func (m *Manager) publish() {
	if m.state == nil {
		return
	}
	s := *m.state.base
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
	for c := range m.subs {
		wake(c)
	}
}

// wake sends to a channel of capacity 1; notices merge.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits for d or the end of ctx and reports whether ctx goes on.
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
