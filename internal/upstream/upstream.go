// Package upstream performs HTTP exchanges with endpoints and peers. Each exchange is sent at
// most once, and a failure reports whether a byte of it may have been sent.
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

// Limits of connections and exchanges.
const (
	dialTimeout = time.Second
	// endpointIdleTimeout is shorter than the 5 s after which common servers close an idle
	// connection, because a request sent at that moment has an unknown outcome.
	endpointIdleTimeout = 3 * time.Second
	// PeerIdleTimeout is the idle timeout of connections to peers; that of the peer listener
	// must be longer.
	PeerIdleTimeout = 30 * time.Second
	// MaxResponseHeaderBytes limits the header of a response.
	MaxResponseHeaderBytes = 64 << 10
	// DefaultBodyIdleTimeout is the default limit of the time between two reads of a body.
	DefaultBodyIdleTimeout = 60 * time.Second
	// expectTimeout exceeds every queueing time, so that a body is never sent before the owner
	// has requested it with 100 Continue.
	expectTimeout = 24 * time.Hour
	// maxStaleConns limits how many unusable connections are skipped in one attempt. A limit
	// of 8 is reached with 8 concurrent requests to an endpoint that leaves every connection
	// unusable.
	maxStaleConns = 64
	// unusedTransportTTL is the time after which the transport of an unused endpoint is removed.
	unusedTransportTTL = 2 * time.Minute
)

// Client manages the connections to endpoints and peers.
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

// endpoint returns the transport of an endpoint. Each endpoint has its own transport,
// because the maximum number of connections differs between endpoints.
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

// Close closes the idle connections.
func (c *Client) Close() {
	c.peers.CloseIdleConnections()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.endpoints {
		t.transport.CloseIdleConnections()
	}
}

// Request is the request sent in one attempt. Header must not contain hop-by-hop headers.
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
	// Informational receives 1xx responses until SendToEndpoint or SendToPeer returns; it may
	// be nil.
	Informational func(status int, h http.Header)
}

// Body is the body of one attempt. Its Read may be called after SendToEndpoint or SendToPeer
// has returned.
type Body interface {
	Read(p []byte) (int, error)
}

// SendToEndpoint performs an attempt on the granted endpoint. It releases the grant in every
// case. It returns a *Response, which must be closed, or a *problem.Error. If ctx is
// cancelled after a byte was sent, the exchange continues until the response of the endpoint
// is complete or maxRun has passed.
func (c *Client) SendToEndpoint(ctx context.Context, g dispatch.Grant, r Request, maxRun time.Duration) (*Response, error) {
	e := g.Endpoint()
	x := newExchange(ctx, c.bodyIdleTimeout, g, maxRun)
	return x.do(c.endpoint(e), r, e.Address)
}

// SendToPeer performs an attempt over a peer hop. The connection is closed when ctx is
// cancelled or timeout has passed; a timeout of 0 means no limit.
func (c *Client) SendToPeer(ctx context.Context, address string, r Request, timeout time.Duration) (*Response, error) {
	x := newExchange(ctx, c.bodyIdleTimeout, nil, timeout)
	return x.do(c.peers, r, address)
}
