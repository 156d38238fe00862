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
	// maxHeaderCopyBytes is the largest header that net/http accepts.
	maxHeaderCopyBytes = MaxHeaderBytes + 4096
	// discardTimeout is how long the rest of a refused request is read and dropped,
	// because closing a connection with unread bytes may destroy the response.
	discardTimeout = 200 * time.Millisecond
	// refusalWriteTimeout bounds the time to send a refusal.
	refusalWriteTimeout = time.Second
)

// serviceConn replaces the responses that net/http writes by itself while no
// handler runs, such as 400 for a malformed header and 431 for an oversized one.
type serviceConn struct {
	net.Conn
	observer Observer

	mu sync.Mutex
	// handling is set from the start of a handler until its response was sent.
	handling bool
	// received is set when a part of a request arrived while no handler ran.
	received bool
	timedOut bool
	refused  bool
	// headerCopy is a copy of what arrived since the last response, up to headCopyBytes.
	headerCopy []byte
	// readAhead is a byte that net/http read while a handler ran, to notice the end of
	// the caller; it is the first byte of the next request.
	readAhead []byte
}

// beginRequest marks the start of a handler and reports whether the framing of its
// request is ambiguous.
func (c *serviceConn) beginRequest() (ambiguous bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling = true
	c.received, c.timedOut = false, false
	ambiguous = ambiguousFraming(c.headerCopy)
	c.headerCopy, c.readAhead = c.headerCopy[:0], c.readAhead[:0]
	return ambiguous
}

// endResponse marks that the response of a handler was sent.
func (c *serviceConn) endResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling = false
	c.headerCopy = append(c.headerCopy[:0], c.readAhead...)
}

// ambiguousFraming reports whether a request header has both Content-Length and
// Transfer-Encoding. net/http removes the former before a handler can see it. A
// header that was pipelined behind another request is not found here; it does no
// harm, because each hop frames the body anew.
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

// Close implements net.Conn. A caller that was too slow to send a header is told
// so; net/http closes such a connection silently.
func (c *serviceConn) Close() error {
	c.mu.Lock()
	slow := !c.handling && c.received && c.timedOut && !c.refused
	c.refused = c.refused || slow
	refused := c.refused
	c.mu.Unlock()
	if slow {
		// The caller may be gone; there is nobody left to tell.
		_ = c.writeRefusal(refusalFor(http.StatusRequestTimeout))
	}
	if refused {
		c.discardUnread()
	}
	return c.Conn.Close()
}

// CloseWrite is used by net/http to end a connection after a refusal.
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
	w := &rawResponse{header: make(http.Header)}
	problem.Write(w, p, "")
	if err := c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)); err != nil {
		return err
	}
	_, err := c.Conn.Write(w.bytes())
	return err
}

// statusOf reads the status of a response that begins with p; 400 if it has none.
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

// rawResponse collects a response that is written to a connection without net/http.
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
