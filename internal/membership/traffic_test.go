package membership_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/membership"
	"samphirestile.example/samphirestile/internal/peerapi"
	"samphirestile.example/samphirestile/internal/peerapi/oas"
	"samphirestile.example/samphirestile/internal/store"
)

// peerHandler serves the messages of one daemon over HTTP.
type peerHandler struct {
	oas.UnimplementedHandler
	n *node
}

func (h peerHandler) Heartbeat(ctx context.Context, req *oas.Heartbeat) (*oas.HeartbeatReply, error) {
	return h.n.Heartbeat(ctx, req)
}

func (h peerHandler) Consent(ctx context.Context, req *oas.ConsentRequest) (*oas.ConsentReply, error) {
	return h.n.Consent(ctx, req)
}

func (h peerHandler) Handover(ctx context.Context, req *oas.Handover) (*oas.HandoverReply, error) {
	return h.n.Handover(ctx, req)
}

// countedConn counts the bytes of a connection in both directions.
type countedConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

// pipeListener accepts in-process connections, which work with a simulated clock, and
// counts their bytes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	n      *atomic.Int64
}

func newPipeListener(n *atomic.Int64) *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{}), n: n}
}

// dial opens a connection to the listener.
func (l *pipeListener) dial(ctx context.Context) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.conns <- countedConn{far, l.n}:
		return countedConn{near, l.n}, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "unix"} }

// storeOverheadBytes is the size of the request line and headers of a store call and of
// its reply, as net/http writes them for a JSON body with a bearer token.
const storeOverheadBytes = 400

// countedStore adds the size of each store call to the counted bytes. Values count 4/3 of their
// length, for base64; each entry of a list counts 40 bytes more.
type countedStore struct {
	store.Store
	n     *atomic.Int64
	calls *atomic.Int64
}

func (s countedStore) add(n int) {
	s.n.Add(int64(n) + storeOverheadBytes)
	s.calls.Add(1)
}

func (s countedStore) Get(ctx context.Context, key string) (store.Entry, error) {
	e, err := s.Store.Get(ctx, key)
	s.add(len(e.Key) + len(e.Value)*4/3)
	return e, err
}

func (s countedStore) List(ctx context.Context, prefix string) ([]store.Entry, uint64, error) {
	es, rev, err := s.Store.List(ctx, prefix)
	size := 0
	for _, e := range es {
		size += len(e.Key) + len(e.Value)*4/3 + 40
	}
	s.add(size)
	return es, rev, err
}

func (s countedStore) Put(
	ctx context.Context, key string, value []byte, expect uint64, lease store.LeaseID,
) (uint64, error) {
	v, err := s.Store.Put(ctx, key, value, expect, lease)
	s.add(len(key) + len(value)*4/3)
	return v, err
}

// measureTraffic starts 8 daemons that communicate over HTTP, checks that the limits hold under
// the load, and returns the mean bytes in and out of a daemon per heartbeat interval, which
// corresponds to one second with the default durations.
func measureTraffic(s *scenario, seed uint64, load func(c *cell, nodes []*node)) float64 {
	c := s.cell(seed, map[fleet.TeamID]int{"a": 20, "b": 12, "c": 40, "d": 30, "e": 8, "f": 3})
	secret := peerapi.Secret("0123456789abcdef0123456789abcdef")
	var total, calls atomic.Int64
	var mu sync.Mutex
	listeners := map[string]*pipeListener{}
	nodes := c.startAll(8, func(n *node) {
		transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			mu.Lock()
			l := listeners[address]
			mu.Unlock()
			return l.dial(ctx)
		}}
		listener, address := newPipeListener(&total), n.name+":1"
		mu.Lock()
		listeners[address] = listener
		mu.Unlock()
		server, err := oas.NewServer(peerHandler{n: n}, secret)
		s.Expect(err).NotTo(HaveOccurred())
		serving := &http.Server{Handler: server, ReadHeaderTimeout: time.Second}
		go func() { _ = serving.Serve(listener) }()
		s.cleanups = append(s.cleanups, func() { _ = serving.Close(); transport.CloseIdleConnections() })
		n.assemble(countedStore{n.client, &total, &calls}, address,
			func(address string) (membership.Peer, error) {
				return peerapi.NewClient(address, secret, &http.Client{Transport: transport})
			})
	})
	load(c, nodes)
	// The first eight intervals are not counted, because the daemons write their seats and
	// first units in bursts then.
	time.Sleep(8 * interval)
	before, callsBefore, began := total.Load(), calls.Load(), time.Now()
	time.Sleep(30 * interval)
	intervals := float64(time.Since(began)) / float64(interval)
	perDaemon := float64(total.Load()-before) / intervals / 8
	// A connection between two daemons is counted at both ends, once for each daemon.
	fmt.Fprintf(GinkgoWriter, "control traffic: %.0f bytes and %.2f store calls per daemon and interval\n",
		perDaemon, float64(calls.Load()-callsBefore)/intervals/8)
	s.Expect(c.maxOvershoot()).To(BeNumerically("<=", 0))
	return perDaemon
}

// controlBudgetBytesPerSecond is the limit of control traffic per daemon, in and out
// together.
const controlBudgetBytesPerSecond = 4096

var _ = Describe("control traffic of 8 daemons", func() {
	scenarioIt("stays within the budget under a steady load", func(s *scenario) {
		s.Expect(measureTraffic(s, 31, func(_ *cell, nodes []*node) {
			for _, n := range nodes {
				n.workers.Go(func() {
					for s.ctx.Err() == nil {
						for _, t := range []fleet.TeamID{"a", "c", "d"} {
							n.startWork(t, maxRun/2)
						}
						time.Sleep(2 * interval)
					}
				})
			}
		})).To(BeNumerically("<=", controlBudgetBytesPerSecond))
	})

	scenarioIt("stays within the budget while all teams are overloaded", func(s *scenario) {
		s.Expect(measureTraffic(s, 32, func(_ *cell, nodes []*node) {
			for i, n := range nodes {
				for j, t := range []fleet.TeamID{"a", "b", "c", "d", "e", "f"} {
					n.load(s.ctx, t, (i+j)%5, maxRun)
				}
			}
		})).To(BeNumerically("<=", controlBudgetBytesPerSecond))
	})
})
