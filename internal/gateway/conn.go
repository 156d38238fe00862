package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/problem"
)

const (
	// maxHeaderCopyBytes is the size of the largest header that net/http accepts: 4096 bytes
	// more than http.Server.MaxHeaderBytes.
	maxHeaderCopyBytes = MaxHeaderBytes + 4096
	// discardTimeout is how long the remainder of a refused request is read and discarded:
	// closing a connection with unread bytes sends a reset, which may destroy the response
	// before the client has read it.
	discardTimeout = 200 * time.Millisecond
	// refusalWriteTimeout limits the time to send a refusal.
	refusalWriteTimeout = time.Second
)

// serviceConn replaces the responses that net/http generates itself while no handler runs,
// such as 400 for a malformed header or 431 for an oversized one, by problem responses.
type serviceConn struct {
	net.Conn
	observer Observer

	mu sync.Mutex
	// handling is set from the start of a handler until its response has been sent.
	handling bool
	// received is set when part of a request has arrived while no handler is running.
	received bool
	timedOut bool
	// refused is set once a problem response has been sent in place of a response of net/http.
	refused bool
	// headerCopy holds the bytes received since the last response, up to maxHeaderCopyBytes.
	headerCopy []byte
	// readAhead is the byte that net/http reads while a handler runs in order to detect that
	// the client disconnects; if present, it is the first byte of the next request.
	readAhead []byte
}

// beginRequest marks the start of a handler and reports whether its request is framed
// ambiguously.
func (c *serviceConn) beginRequest() (ambiguous bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling = true
	c.received, c.timedOut = false, false
	ambiguous = ambiguousFraming(c.headerCopy)
	c.headerCopy, c.readAhead = c.headerCopy[:0], c.readAhead[:0]
	return ambiguous
}

// endResponse marks that the response of a handler has been sent.
func (c *serviceConn) endResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling = false
	c.headerCopy = append(c.headerCopy[:0], c.readAhead...)
}

// ambiguousFraming reports whether a request header contains both Content-Length and
// Transfer-Encoding, which enables request smuggling. net/http removes Content-Length
// before a handler can see it. The header of a pipelined request is not detected here; it
// is harmless, because each hop frames the body anew.
func ambiguousFraming(head []byte) bool {
	var length, encoding bool
	for line := range bytes.SplitSeq(head, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			break
		}
		name, _, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			continue
		}
		name = bytes.TrimSpace(name)
		length = length || bytes.EqualFold(name, []byte("Content-Length"))
		encoding = encoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
	return length && encoding
}

// Read implements net.Conn.
func (c *serviceConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handling {
		c.readAhead = c.readAhead[:0]
		if len(p) == 1 {
			c.readAhead = append(c.readAhead, p[:n]...)
		}
		return n, err
	}
	c.received = c.received || n > 0
	c.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
	c.headerCopy = append(c.headerCopy, p[:min(n, maxHeaderCopyBytes-len(c.headerCopy))]...)
	return n, err
}

// Write implements net.Conn.
func (c *serviceConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	handling, refused := c.handling, c.refused
	c.refused = c.refused || !handling
	c.mu.Unlock()
	if handling {
		return c.Conn.Write(p)
	}
	if !refused {
		if err := c.writeRefusal(refusalFor(statusOf(p))); err != nil {
			return 0, err
		}
	}
	return len(p), nil
}

// Close implements net.Conn. It sends 408 to a client that did not send its header in
// time; net/http closes such a connection without a response.
func (c *serviceConn) Close() error {
	c.mu.Lock()
	headerTimedOut := !c.handling && c.received && c.timedOut && !c.refused
	c.refused = c.refused || headerTimedOut
	refused := c.refused
	c.mu.Unlock()
	if headerTimedOut {
		// The client may have disconnected; then the error can be ignored.
		_ = c.writeRefusal(refusalFor(http.StatusRequestTimeout))
	}
	if refused {
		c.discardUnread()
	}
	return c.Conn.Close()
}

// NetConn returns the connection that c wraps.
func (c *serviceConn) NetConn() net.Conn { return c.Conn }

// CloseWrite is called by net/http to half-close the connection after an error response.
func (c *serviceConn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return nil
}

func (c *serviceConn) discardUnread() {
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.Conn)
}

func (c *serviceConn) writeRefusal(p *problem.Error) error {
	observeRefusal(c.observer, "", p)
	if err := c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)); err != nil {
		return err
	}
	_, err := c.Conn.Write(encodeProblem(p))
	return err
}

func encodeProblem(p *problem.Error) []byte {
	w := &rawResponse{header: make(http.Header)}
	problem.Write(w, p, "")
	return w.bytes()
}

// RefusalResponse encodes the response to a request that is refused with the status before a handler runs.
func RefusalResponse(status int, retryAfter time.Duration) []byte {
	p := refusalFor(status)
	if status == http.StatusServiceUnavailable {
		p = problem.New(problem.CodeOverloaded, status, "the daemon holds too much unfinished input").WithRetryAfter(retryAfter)
	}
	return encodeProblem(p)
}

// statusOf returns the error status of the response that starts with p, or 400 if it has
// none.
func statusOf(p []byte) int {
	fields := bytes.Fields(p[:min(len(p), len("HTTP/1.1 200 "))])
	if len(fields) >= 2 {
		if n, err := strconv.Atoi(string(fields[1])); err == nil && n >= http.StatusBadRequest && n <= 599 {
			return n
		}
	}
	return http.StatusBadRequest
}

func refusalFor(status int) *problem.Error {
	switch status {
	case http.StatusRequestTimeout:
		return problem.New(problem.CodeSlowSender, status, "the request header did not arrive in time")
	case http.StatusRequestHeaderFieldsTooLarge:
		return problem.New(problem.CodeBadRequest, status, "the request header is too large")
	case http.StatusExpectationFailed:
		return problem.New(problem.CodeBadRequest, status, "the expectation is not supported")
	}
	return problem.New(problem.CodeBadRequest, status, "the request is malformed")
}

// rawResponse is an http.ResponseWriter that buffers a response, to be written to a
// connection without net/http.
type rawResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *rawResponse) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *rawResponse) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *rawResponse) Write(p []byte) (int, error) { return w.body.Write(p) }

func (w *rawResponse) bytes() []byte {
	w.header.Set("Connection", "close")
	w.header.Set("Content-Length", strconv.Itoa(w.body.Len()))
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", w.status, http.StatusText(w.status))
	// Writes to a bytes.Buffer never fail.
	_ = w.header.Write(&out)
	out.WriteString("\r\n")
	out.Write(w.body.Bytes())
	return out.Bytes()
}
