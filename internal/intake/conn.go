package intake

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lingerTime and lingerBytes bound what is read and discarded after a refusal: closing a connection with unread
	// bytes sends a reset, which may destroy the response before the client has read it.
	lingerTime  = 200 * time.Millisecond
	lingerBytes = 64 << 10
	// maxConfiguredHeadBytes bounds a limit on heads that comes from the configuration.
	maxConfiguredHeadBytes = 64 << 10
)

// Conn is a connection whose heads are counted before net/http parses them.
type Conn struct {
	net.Conn
	intake  *Intake
	options *Options
	entry   *Entry

	// handling is set from the start of a handler until its response is sent. Bytes that net/http reads meanwhile are
	// those of the body, which bodyReader counts, or the beginning of a pipelined head. net/http holds at most its
	// buffer of 4 KB of that, so the count of a pipelined head may be short by as much.
	handling atomic.Bool
	// head and refusal are used by the goroutine that reads the head.
	head    HeadScanner
	refusal error
	once    sync.Once
}

// limits returns the limits on a head at this connection.
func (c *Conn) limits() Limits {
	bytes := c.options.HeadBytes
	if c.options.Configured != nil {
		if n, _ := c.options.Configured(); n > 0 {
			bytes = min(n, maxConfiguredHeadBytes)
		}
	}
	return c.intake.limits.ForHead(bytes)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.refusal != nil {
		return 0, c.refusal
	}
	n, err := c.Conn.Read(p)
	if n == 0 || c.handling.Load() || c.head.Done() {
		return n, err
	}
	bytes, lines, reason := c.head.Scan(p[:n], c.limits())
	var refused *RefusedError
	if reason != "" {
		c.intake.refused(reason, c.entry.Part, c.entry.Address)
		refused = &RefusedError{reason}
	} else {
		c.intake.setState(c, Receiving, false)
		if e := c.intake.reserve(c, int64(bytes+lines*lineCost)); !errors.As(e, &refused) {
			return n, err
		}
	}
	c.refuse(refused)
	// net/http closes the connection without a response of its own after an error of this type.
	c.refusal = &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: refused}
	return 0, c.refusal
}

// refuse answers a refused head. No handler is running, so nobody else writes.
func (c *Conn) refuse(e *RefusedError) {
	if c.SetDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	if _, err := c.Conn.Write(c.options.Response(e.Status(), RetryAfter)); err != nil {
		return
	}
	if c.CloseWrite() == nil {
		// The client may have closed the connection or send on; both end here.
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
}

// CloseWrite half-closes the connection. net/http calls it after responses to malformed requests.
func (c *Conn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.once.Do(func() { c.intake.close(c) })
	return c.Conn.Close()
}

// boundsResponses reports whether the last bytes of a response must be sent within the idle time of a body: responses to
// clients of jobs fit into a buffer of net/http, so a client that does not read them would hold its connection for ever.
func (o Options) boundsResponses() bool { return o.Part == Clients && o.Streams == nil }

type connKey struct{}

// find returns the Conn that c is or wraps.
func find(c net.Conn) *Conn {
	for c != nil {
		if found, ok := c.(*Conn); ok {
			return found
		}
		w, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = w.NetConn()
	}
	return nil
}

// Wrap sets up a server for a listener with the same options.
func (in *Intake) Wrap(s *http.Server, o Options) *http.Server {
	head := max(in.limits.HeadBytes, o.HeadBytes)
	if o.Configured != nil {
		head = max(head, maxConfiguredHeadBytes)
	}
	// The connection enforces the limit; this one is for what it counts short of a pipelined head.
	s.MaxHeaderBytes = head + headSlack
	handler, connContext, connState := s.Handler, s.ConnContext, s.ConnState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, find(c))
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if connState != nil {
			connState(c, state)
		}
		if found := find(c); found != nil && state == http.StateIdle {
			found.head.Reset()
			found.handling.Store(false)
			if o.boundsResponses() {
				// An error means that the connection is closed.
				_ = found.SetWriteDeadline(time.Time{})
			}
			in.setState(found, Idle, true)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*Conn)
		if c == nil {
			handler.ServeHTTP(w, r)
			return
		}
		c.handling.Store(true)
		defer func() {
			// net/http may keep the connection for a while before it closes it, without the request.
			in.setState(c, Handling, true)
			if o.boundsResponses() {
				// An error means that the connection is closed.
				_ = c.SetWriteDeadline(time.Now().Add(in.limits.BodyIdle()))
			}
		}()
		if r.Body == nil || r.Body == http.NoBody {
			in.setState(c, Handling, false)
			handler.ServeHTTP(w, r)
			return
		}
		body := &bodyReader{ReadCloser: r.Body, conn: c}
		if o.Streams != nil {
			body.held = o.Streams(r)
		}
		if body.held > 0 && r.ContentLength > body.held {
			// Nothing of it is held, and once it is dispatched it must not be shed.
			in.setState(c, Handling, false)
			handler.ServeHTTP(w, r)
			return
		}
		if body.held == 0 {
			body.idle = in.limits.BodyIdle()
			if o.Configured != nil {
				_, configured := o.Configured()
				body.idle = max(body.idle, configured)
			}
		}
		counted := r.WithContext(r.Context())
		counted.Body = body
		if o.Part == Clients || body.held > 0 {
			// The handlers of clients' requests answer a *RefusedError themselves.
			handler.ServeHTTP(w, counted)
			return
		}
		handler.ServeHTTP(&refusalWriter{ResponseWriter: w, body: body}, counted)
	})
	return s
}

// bodyReader reserves budget for the bytes of a body and bounds the time without progress. Its bytes are released
// with the response, because the decoded request is held until then.
type bodyReader struct {
	io.ReadCloser
	conn    *Conn
	idle    time.Duration // 0 is no bound
	held    int64         // what the handler holds of a stream of unknown length; 0 is all
	read    int64
	refused atomic.Pointer[RefusedError]
	done    bool
}

// Read implements io.Reader. A *RefusedError says that the body is incomplete.
func (b *bodyReader) Read(p []byte) (int, error) {
	if e := b.refused.Load(); e != nil {
		return 0, e
	}
	if b.done {
		return b.ReadCloser.Read(p)
	}
	if b.idle > 0 {
		if err := b.conn.SetReadDeadline(time.Now().Add(b.idle)); err != nil {
			return 0, err
		}
	}
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		if e := b.conn.intake.reserve(b.conn, int64(n)*bodyCost); e != nil {
			return 0, b.refuse(e)
		}
	}
	b.read += int64(n)
	switch {
	case errors.Is(err, io.EOF) || b.held > 0 && b.read > b.held:
		b.done = true
		b.conn.intake.setState(b.conn, Handling, false)
		if b.idle > 0 {
			// net/http watches for the end of the connection from here on, and must not see the deadline.
			if e := b.conn.SetReadDeadline(time.Time{}); e != nil {
				return n, e
			}
		}
	case b.idle > 0 && errors.Is(err, os.ErrDeadlineExceeded):
		b.conn.intake.refused(ReasonBodyIdle, b.conn.entry.Part, b.conn.entry.Address)
		return n, b.refuse(&RefusedError{ReasonBodyIdle})
	}
	return n, err
}

func (b *bodyReader) refuse(err error) error {
	var e *RefusedError
	if errors.As(err, &e) {
		b.refused.Store(e)
	}
	// net/http discards the rest of the body before it sends the response, which must not wait for the client. If
	// the deadline cannot be set, the connection is closed already.
	_ = b.conn.SetReadDeadline(time.Now().Add(lingerTime))
	return err
}

// refusalWriter replaces the response of a handler whose body was refused: generated handlers answer 400 to any body that
// they cannot read.
type refusalWriter struct {
	http.ResponseWriter
	body  *bodyReader
	wrote bool
}

// Unwrap is for http.ResponseController.
func (w *refusalWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *refusalWriter) WriteHeader(status int) {
	if e := w.body.refused.Load(); e != nil && !w.wrote {
		status = e.Status()
		w.Header().Set("Connection", "close")
		if status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", "1")
		}
	}
	w.wrote = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *refusalWriter) Write(p []byte) (int, error) {
	if !w.wrote {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}
