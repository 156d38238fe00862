package upstream

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// sealedError reports a write after the exchange was abandoned.
type sealedError struct{}

func (*sealedError) Error() string { return "connection sealed: the exchange was abandoned" }

// unsolicitedResponseError reports bytes that were received before the request was sent.
type unsolicitedResponseError struct{}

func (*unsolicitedResponseError) Error() string {
	return "received response bytes before the request was sent"
}

// trackedConn records for the current exchange whether a byte was written, and prevents a
// response to an earlier request from being attributed to the current one.
type trackedConn struct {
	net.Conn
	mu sync.Mutex
	// changed is signaled when reading or closed becomes true.
	changed sync.Cond
	reading bool
	closed  bool
	sealed  bool
	writing bool
	written int64
	// base is the value of written when the current exchange began.
	base    int64
	current *exchange
}

func newTrackedConn(c net.Conn) *trackedConn {
	t := &trackedConn{Conn: c}
	t.changed.L = &t.mu
	return t
}

// begin binds the connection to x; http.Transport runs one exchange at a time on a
// connection. A reused connection is checked first, and sealed if the endpoint has closed it
// or has sent bytes beyond its last response. net/http detects both, but it has a race: a
// request that starts at the same moment is still sent, and the surplus bytes are taken for
// its response.
func (c *trackedConn) begin(x *exchange, reused bool) (usable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// net/http only reads from the connection when it has consumed all buffered bytes; it
	// closes the connection when some are left.
	for reused && !c.reading && !c.closed {
		c.changed.Wait()
	}
	c.current, c.base = x, c.written
	if c.closed || reused && !c.isIdle() {
		c.sealed = true
	}
	return !c.sealed
}

// isIdle reports whether the connection is open and has no unread bytes in its receive
// buffer.
func (c *trackedConn) isIdle() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
	})
	return err == nil && idle
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	c.changed.Broadcast()
	c.mu.Unlock()

	n, err := c.Conn.Read(p)

	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if n > 0 && c.current != nil && !c.writing && c.written == c.base {
		return 0, &unsolicitedResponseError{}
	}
	return n, err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// Write implements net.Conn. It fails without writing once the connection is sealed.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, &sealedError{}
	}
	c.writing = true
	x := c.current
	c.mu.Unlock()

	n, err := c.Conn.Write(p)

	c.mu.Lock()
	c.writing = false
	c.written += int64(n)
	c.mu.Unlock()
	if x != nil {
		x.onWrite()
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom. net/http uses it to copy request bodies; without it
// each copy allocates a buffer of 32 KB.
func (c *trackedConn) ReadFrom(r io.Reader) (int64, error) {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	return io.CopyBuffer(writerOnly{c}, r, *buf)
}

// writerOnly hides ReadFrom from io.CopyBuffer.
type writerOnly struct{ io.Writer }

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// seal prevents further writes for x and reports whether a byte may have been sent for it.
// After seal has returned false, no byte will be sent for x.
func (c *trackedConn) seal(x *exchange) (sent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != x {
		return true
	}
	c.sealed = true
	return c.writing || c.written > c.base
}

// sealUnsent seals the connection if no byte was sent for x, and reports whether it did.
func (c *trackedConn) sealUnsent(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != x || c.writing || c.written > c.base {
		return false
	}
	c.sealed = true
	return true
}

// closeWrite half-closes the connection to signal to the endpoint that the remainder of the
// request will not arrive; the response can still be read.
func (c *trackedConn) closeWrite() {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		// An error means that the connection is already broken, which the reader detects.
		_ = t.CloseWrite()
	}
}
