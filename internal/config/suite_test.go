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
	emulator "samphirestile.example/samphirestile/internal/emulator/platform"
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

// base is a change that makes a complete configuration from an empty one.
func base() config.Change {
	return config.Change{ID: "base", Documents: []config.DocumentChange{
		{Name: "pool/main", Content: []byte(poolDoc)},
		{Name: "service/orders", Content: []byte(serviceDoc)},
		{Name: "endpoints/orders", Content: []byte(endpointsDoc)},
		{Name: "account/acme", Content: fmt.Appendf(nil, accountDoc, 10)},
	}}
}

func limit(id string, expected uint64, n int) config.Change {
	return config.Change{ID: id, Operator: id, Expected: expected, Documents: []config.DocumentChange{
		{Name: "account/acme", Content: fmt.Appendf(nil, accountDoc, n)},
	}}
}

// cell is an emulated platform with daemons that reach each other in memory.
type cell struct {
	platform *emulator.Platform
	server   *httptest.Server
	mu       sync.Mutex
	daemons  map[string]*daemon
}

type daemon struct {
	*config.Manager
	address string
	store   *switchStore
	revoked *keys.Revoked
	peers   *httptest.Server
	deaf    atomic.Bool
	stop    context.CancelFunc
	done    chan struct{}
}

// switchStore is a store that one daemon can be cut off from.
type switchStore struct {
	*store.HTTPStore
	cut atomic.Bool
	// cutOnUnknown cuts the store off when a write has an unknown outcome.
	cutOnUnknown atomic.Bool
	stale        atomic.Pointer[store.Event]
}

func (s *switchStore) err() error {
	if s.cut.Load() {
		return &store.UnavailableError{Cause: context.DeadlineExceeded}
	}
	return nil
}

func (s *switchStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := s.err(); err != nil {
		return store.Entry{}, err
	}
	return s.HTTPStore.Get(ctx, key)
}

func (s *switchStore) List(ctx context.Context, prefix string) ([]store.Entry, uint64, error) {
	if err := s.err(); err != nil {
		return nil, 0, err
	}
	return s.HTTPStore.List(ctx, prefix)
}

func (s *switchStore) Put(ctx context.Context, key string, value []byte, expect uint64, lease store.LeaseID) (uint64, error) {
	if err := s.err(); err != nil {
		return 0, err
	}
	version, err := s.HTTPStore.Put(ctx, key, value, expect, lease)
	if errors.As(err, new(*store.UnknownOutcomeError)) && s.cutOnUnknown.Load() {
		s.cut.Store(true)
	}
	return version, err
}

func (s *switchStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Event, uint64, error) {
	if err := s.err(); err != nil {
		return nil, 0, err
	}
	if e := s.stale.Swap(nil); e != nil {
		return []store.Event{*e}, after, nil
	}
	events, next, err := s.HTTPStore.Watch(ctx, prefix, after, min(wait, 200*time.Millisecond))
	if cut := s.err(); cut != nil {
		return nil, 0, cut
	}
	return events, next, err
}

func (s *switchStore) Hosts(ctx context.Context) ([]fleet.Host, error) {
	if err := s.err(); err != nil {
		return nil, err
	}
	return s.HTTPStore.Hosts(ctx)
}

func newCell() *cell {
	p := emulator.New(emulator.Config{})
	c := &cell{platform: p, server: httptest.NewServer(p), daemons: map[string]*daemon{}}
	DeferCleanup(func() {
		c.mu.Lock()
		daemons := c.daemons
		c.mu.Unlock()
		for _, d := range daemons {
			d.end()
		}
		p.Close()
		c.server.CloseClientConnections()
		c.server.Close()
	})
	return c
}

func (d *daemon) end() {
	d.stop()
	<-d.done
	d.store.Close()
	d.peers.CloseClientConnections()
	d.peers.Close()
}

// peerHandler serves the peer interface of a daemon; a deaf one gives no answer.
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
		if d.deaf.Load() {
			panic(http.ErrAbortHandler)
		}
		server.ServeHTTP(w, r)
	}))
}

// dial reaches a daemon by its name.
func (c *cell) dial(name string) (config.Peer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d := c.daemons[name]; d != nil {
		return peerapi.NewClient(d.peers.Listener.Addr().String(), secret, http.DefaultClient)
	}
	return nil, &store.UnavailableError{Cause: context.DeadlineExceeded}
}

// start adds a daemon that knows the given peers; a blind one cannot see the store.
func (c *cell) start(address string, blind bool, peers ...string) *daemon {
	h, err := store.NewHTTP(store.HTTPConfig{URL: c.server.URL, Timeout: 500 * time.Millisecond})
	Expect(err).NotTo(HaveOccurred())
	d := &daemon{address: address, store: &switchStore{HTTPStore: h}, revoked: keys.NewRevoked(), done: make(chan struct{})}
	d.store.cut.Store(blind)
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

// apply makes a change that must be accepted.
func (d *daemon) apply(c config.Change) config.Accepted {
	a, err := d.Apply(context.Background(), c)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return a
}

// report exchanges what heartbeats carry between two daemons.
func report(from, to *daemon) {
	to.Observe(from.address, from.Revision(), from.StoreVisible(), from.RevokedCount())
}
