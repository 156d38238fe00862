// Package upstream performs exactly one attempt of an HTTP exchange and knows
// whether a byte of it was sent.
package upstream

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/dispatch"
	"samphirestile.example/samphirestile/internal/fleet"
)

// Bounds of connections and exchanges.
const (
	dialTimeout = time.Second
	// endpointIdleTimeout is below the 5 s after which common servers close an
	// idle connection, because a request sent at that moment has an unknown outcome.
	endpointIdleTimeout = 3 * time.Second
	// PeerIdleTimeout is how long an idle connection to a peer is kept; the peer
	// listener must keep idle connections for longer.
	PeerIdleTimeout = 30 * time.Second
	// MaxResponseHeaderBytes bounds the header of a response.
	MaxResponseHeaderBytes = 64 << 10
	// DefaultBodyIdleTimeout bounds the time between two reads of a response body.
	DefaultBodyIdleTimeout = 60 * time.Second
	// expectTimeout exceeds every queueing time, so that a body never leaves
	// before the owner asked for it.
	expectTimeout = 24 * time.Hour
	// maxStaleConns bounds how many unusable connections are passed over in one
	// attempt. A value of 8 was reached when 8 requests at a time went to an
	// endpoint that spoils every connection.
	maxStaleConns = 64
	// unusedTransportTTL is the time after which the connections of an unused endpoint are dropped.
	unusedTransportTTL = 2 * time.Minute
)

// Client holds the connections to endpoints and peers.
type Client struct {
	bodyIdleTimeout time.Duration
	peers           *http.Transport

	mu        sync.Mutex
	endpoints map[endpointKey]*endpointTransport
	lastSweep time.Time
}

type endpointKey struct {
	address     string
	connections int
}

type endpointTransport struct {
	transport *http.Transport
	lastUsed  time.Time
}

// NewClient returns a client; bodyIdle 0 means DefaultBodyIdleTimeout.
func NewClient(bodyIdle time.Duration) *Client {
	if bodyIdle <= 0 {
		bodyIdle = DefaultBodyIdleTimeout
	}
	peers := newTransport(0, PeerIdleTimeout)
	peers.ExpectContinueTimeout = expectTimeout
	return &Client{bodyIdleTimeout: bodyIdle, peers: peers, endpoints: make(map[endpointKey]*endpointTransport)}
}

func newTransport(connections int, idle time.Duration) *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newTrackedConn(c), nil
		},
		DisableCompression:     true,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    1024,
		IdleConnTimeout:        idle,
		MaxResponseHeaderBytes: MaxResponseHeaderBytes,
		Protocols:              onlyHTTP1(),
	}
}

func onlyHTTP1() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	return p
}

// endpoint returns the transport of one endpoint. Each endpoint has its own,
// because the bound on connections differs between endpoints.
func (c *Client) endpoint(e fleet.Endpoint) *http.Transport {
	key := endpointKey{e.Address, max(e.Connections, 0)}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.lastSweep) > unusedTransportTTL {
		c.sweep(now)
	}
	t, ok := c.endpoints[key]
	if !ok {
		t = &endpointTransport{transport: newTransport(key.connections, endpointIdleTimeout)}
		c.endpoints[key] = t
	}
	t.lastUsed = now
	return t.transport
}

func (c *Client) sweep(now time.Time) {
	c.lastSweep = now
	for k, t := range c.endpoints {
		if now.Sub(t.lastUsed) > unusedTransportTTL {
			t.transport.CloseIdleConnections()
			delete(c.endpoints, k)
		}
	}
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.peers.CloseIdleConnections()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.endpoints {
		t.transport.CloseIdleConnections()
	}
}

// Request is what is sent in one attempt. Header must hold no hop-by-hop headers.
type Request struct {
	ID     string
	Method string
	URL    *url.URL
	Host   string
	Header http.Header
	// Body is nil for a request without body. Length is -1 when it is not known.
	Body   Body
	Length int64
	// Streamed is set when Body reads from the caller and may fail.
	Streamed bool
	// Informational receives responses with status 1xx while Do runs; it may be nil.
	Informational func(status int, h http.Header)
}

// Body is the body of one attempt. Its Read may be called after Do has returned.
type Body interface {
	Read(p []byte) (int, error)
}

// SendToEndpoint performs the granted attempt. It ends the grant in every case. It
// returns an *Answer, which must be closed, or a *problem.Error. When ctx ends
// after a byte was sent, it goes on until the endpoint's response has ended or
// maxRun has passed.
func (c *Client) SendToEndpoint(ctx context.Context, g dispatch.Grant, r Request, maxRun time.Duration) (*Response, error) {
	e := g.Endpoint()
	x := newExchange(ctx, c.bodyIdleTimeout, g, maxRun)
	return x.do(c.endpoint(e), r, e.Address)
}

// SendToPeer performs an attempt over a peer hop. The end of ctx and the end of
// bound close the connection; bound 0 means none.
func (c *Client) SendToPeer(ctx context.Context, address string, r Request, bound time.Duration) (*Response, error) {
	x := newExchange(ctx, c.bodyIdleTimeout, nil, bound)
	return x.do(c.peers, r, address)
}
