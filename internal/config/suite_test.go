package config_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/config"
	emulatedplatform "samphirestile.example/samphirestile/internal/emulator/platform"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/keys"
	"samphirestile.example/samphirestile/internal/peerapi"
	"samphirestile.example/samphirestile/internal/peerapi/oas"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/template"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

const poolDoc = `{"body": {"max_hosts": 12}}`
const serviceDoc = `{"parameters": {"run": {"type": "integer", "default": 5000}},
 "body": {"max_run_time_ms": {"$param": "run"}, "pool": "main"}}`
const accountDoc = `{"templates": [{"template": "service/orders"}, {"template": "pool/main"}],
 "teams": [{"id": "desk", "weight": 1, "limit": %d}]}`
const endpointsDoc = `{"endpoints": [{"id": "e1", "address": "192.0.2.1:80", "host": "h1", "slots": 8, "connections": 64}]}`

// baseChange returns a change that creates a complete configuration from an empty one.
func baseChange() config.Change {
	return config.Change{ID: "base", Documents: []config.DocumentChange{
		{Name: "pool/main", Content: []byte(poolDoc)},
		{Name: "service/orders", Content: []byte(serviceDoc)},
		{Name: "endpoints/orders", Content: []byte(endpointsDoc)},
		{Name: "account/acme", Content: fmt.Appendf(nil, accountDoc, 10)},
	}}
}

func limitChange(id string, expected uint64, limit int) config.Change {
	return config.Change{ID: id, Operator: id, Expected: expected, Documents: []config.DocumentChange{
		{Name: "account/acme", Content: fmt.Appendf(nil, accountDoc, limit)},
	}}
}

// cell is an emulated platform with daemons that call each other over local connections.
type cell struct {
	platform *emulatedplatform.Platform
	server   *httptest.Server
	mu       sync.Mutex
	daemons  map[string]*daemon
}

type daemon struct {
	*config.Manager
	address      string
	store        *faultyStore
	revoked      *keys.RevokedSet
	peers        *httptest.Server
	unresponsive atomic.Bool
	stop         context.CancelFunc
	done         chan struct{}
}

// faultyStore is a daemon's connection to the store, with injected faults.
type faultyStore struct {
	*store.HTTPStore
	unreachable atomic.Bool
	// unreachableAfterUnknown makes the store unreachable after a write with an unknown
	// outcome.
	unreachableAfterUnknown atomic.Bool
	staleEvent              atomic.Pointer[store.Event]
}

func (s *faultyStore) err() error {
	if s.unreachable.Load() {
		return &store.UnavailableError{Cause: context.DeadlineExceeded}
	}
	return nil
}

func (s *faultyStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := s.err(); err != nil {
		return store.Entry{}, err
	}
	return s.HTTPStore.Get(ctx, key)
}

func (s *faultyStore) List(ctx context.Context, prefix string) ([]store.Entry, uint64, error) {
	if err := s.err(); err != nil {
		return nil, 0, err
	}
	return s.HTTPStore.List(ctx, prefix)
}

func (s *faultyStore) Put(ctx context.Context, key string, value []byte, expect uint64, lease store.LeaseID) (uint64, error) {
	if err := s.err(); err != nil {
		return 0, err
	}
	version, err := s.HTTPStore.Put(ctx, key, value, expect, lease)
	if errors.As(err, new(*store.UnknownOutcomeError)) && s.unreachableAfterUnknown.Load() {
		s.unreachable.Store(true)
	}
	return version, err
}

func (s *faultyStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Event, uint64, error) {
	if err := s.err(); err != nil {
		return nil, 0, err
	}
	if e := s.staleEvent.Swap(nil); e != nil {
		return []store.Event{*e}, after, nil
	}
	events, next, err := s.HTTPStore.Watch(ctx, prefix, after, min(wait, 200*time.Millisecond))
	if unreachable := s.err(); unreachable != nil {
		return nil, 0, unreachable
	}
	return events, next, err
}

func (s *faultyStore) Hosts(ctx context.Context) ([]fleet.Host, error) {
	if err := s.err(); err != nil {
		return nil, err
	}
	return s.HTTPStore.Hosts(ctx)
}

func newCell() *cell {
	p := emulatedplatform.New(emulatedplatform.Config{})
	c := &cell{platform: p, server: httptest.NewServer(p), daemons: map[string]*daemon{}}
	DeferCleanup(func() {
		c.mu.Lock()
		daemons := c.daemons
		c.mu.Unlock()
		for _, d := range daemons {
			d.shutdown()
		}
		p.Close()
		c.server.CloseClientConnections()
		c.server.Close()
	})
	return c
}

func (d *daemon) shutdown() {
	d.stop()
	<-d.done
	d.store.Close()
	d.peers.CloseClientConnections()
	d.peers.Close()
}

// peerHandler serves the peer interface of a daemon.
type peerHandler struct {
	oas.UnimplementedHandler
	d *daemon
}

func (h peerHandler) Notice(ctx context.Context, n *oas.Notice) error { return h.d.Notice(ctx, n) }

func (h peerHandler) Snapshot(ctx context.Context) (*oas.Snapshot, error) { return h.d.Snapshot(ctx) }

const secret = peerapi.Secret("cell")

func (d *daemon) servePeers() {
	server, err := oas.NewServer(peerHandler{d: d}, secret)
	Expect(err).NotTo(HaveOccurred())
	d.peers = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.unresponsive.Load() {
			panic(http.ErrAbortHandler)
		}
		server.ServeHTTP(w, r)
	}))
}

// dial returns a client of the daemon with the given name.
func (c *cell) dial(name string) (config.Peer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d := c.daemons[name]; d != nil {
		return peerapi.NewClient(d.peers.Listener.Addr().String(), secret, http.DefaultClient)
	}
	return nil, &store.UnavailableError{Cause: context.DeadlineExceeded}
}

// start adds a daemon with the given peers, optionally one that cannot reach the store.
func (c *cell) start(address string, storeless bool, peers ...string) *daemon {
	h, err := store.NewHTTP(store.HTTPConfig{URL: c.server.URL, Timeout: 500 * time.Millisecond})
	Expect(err).NotTo(HaveOccurred())
	d := &daemon{address: address, store: &faultyStore{HTTPStore: h}, revoked: keys.NewRevokedSet(), done: make(chan struct{})}
	d.store.unreachable.Store(storeless)
	d.Manager = config.New(config.Config{
		Store: d.store, Hosts: d.store, Render: template.Render, Dial: c.dial,
		Self: address, Peers: peers, Revoked: d.revoked,
		HostsInterval: 200 * time.Millisecond, PersistDelay: 200 * time.Millisecond,
	})
	d.servePeers()
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	c.mu.Lock()
	c.daemons[address] = d
	c.mu.Unlock()
	go func() { defer close(d.done); d.Run(ctx) }()
	return d
}

func (d *daemon) ready() *daemon {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	ExpectWithOffset(1, d.WaitReady(ctx)).To(Succeed())
	return d
}

// apply applies a change that must be accepted.
func (d *daemon) apply(c config.Change) config.Accepted {
	a, err := d.Apply(context.Background(), c)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return a
}

// sendHeartbeat passes to one daemon what a heartbeat of another one reports.
func sendHeartbeat(from, to *daemon) {
	to.Observe(from.address, from.Revision(), from.StoreReachable(), from.RevokedCount())
}
