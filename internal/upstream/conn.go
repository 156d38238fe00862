package upstream

import (
	"net"
	"sync"
)

// sealedError reports a write after the exchange was given up.
type sealedError struct{}

func (*sealedError) Error() string { return "connection sealed: exchange was given up" }

// trackedConn knows for the current exchange whether a byte was written.
type trackedConn struct {
	net.Conn
	mu      sync.Mutex
	sealed  bool
	writing bool
	written int64
	// base is the value of written when the current exchange began.
	base  int64
	owner *exchange
}

// begin binds the connection to x; the transport serves one exchange at a time on a connection.
func (c *trackedConn) begin(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner, c.base = x, c.written
}

// Write implements net.Conn. It writes nothing once the connection is sealed.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, &sealedError{}
	}
	c.writing = true
	x := c.owner
	c.mu.Unlock()

	n, err := c.Conn.Write(p)

	c.mu.Lock()
	c.writing = false
	c.written += int64(n)
	c.mu.Unlock()
	if x != nil {
		x.wrote()
	}
	return n, err
}

// seal forbids further writes on behalf of x and reports whether a byte may have
// been sent for it. After seal returned false no byte will ever be sent.
func (c *trackedConn) seal(x *exchange) (sent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner != x {
		return true
	}
	c.sealed = true
	return c.writing || c.written > c.base
}

// sealUnsent seals the connection only if no byte was sent for x.
func (c *trackedConn) sealUnsent(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner != x || c.writing || c.written > c.base {
		return false
	}
	c.sealed = true
	return true
}

// closeWrite tells the endpoint that the rest of the request will not arrive;
// the response can still be read.
func (c *trackedConn) closeWrite() {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		// A failure means that the connection is already broken, which the reader notices.
		_ = t.CloseWrite()
	}
}
