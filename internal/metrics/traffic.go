package metrics

import (
	"context"
	"net"

	"github.com/uber-go/tally/v4"
)

// Traffic counts the bytes on the connections to one kind of peer.
type Traffic struct{ in, out tally.Counter }

// Traffic returns the counters for a kind of peer: traffic_bytes with the tags peer and
// direction, in bytes that the process reads and writes.
func (r *Registry) Traffic(peer string) *Traffic {
	counter := func(direction string) tally.Counter {
		return r.scope.Tagged(map[string]string{"peer": peer, "direction": direction}).Counter("traffic_bytes")
	}
	return &Traffic{in: counter("in"), out: counter("out")}
}

// Conn wraps the connection to count its bytes. A nil Traffic counts nothing.
func (t *Traffic) Conn(c net.Conn) net.Conn {
	if t == nil {
		return c
	}
	return &countedConn{Conn: c, traffic: t}
}

// Dial returns a DialContext function that counts the bytes of the connections it opens.
func (t *Traffic) Dial(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return t.Conn(c), nil
	}
}

// Listener wraps the listener to count the bytes of the accepted connections.
func (t *Traffic) Listener(l net.Listener) net.Listener { return countedListener{l, t} }

type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.in.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.out.Inc(int64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.Conn(c), nil
}
