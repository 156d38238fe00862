package forward

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/intake"
	"samphirestile.example/samphirestile/internal/problem"
	"samphirestile.example/samphirestile/internal/upstream"
)

// MaxBufferedBodyBytes is the largest request body that is buffered before the request
// is queued; larger bodies are streamed.
const MaxBufferedBodyBytes = 16 << 10

// Body is the request body of a Call. It can be sent to several owners, one after the
// other, until a byte of its unbuffered remainder has been read.
type Body struct {
	prefix    []byte
	remainder io.Reader
	length    int64

	mu sync.Mutex
	// attempt is the number of the latest attempt; reads by earlier attempts fail.
	attempt  int
	consumed bool
}

// staleBodyError reports a read by an attempt that a later attempt has replaced.
type staleBodyError struct{}

func (*staleBodyError) Error() string { return "request body already belongs to a later attempt" }

// NewBody returns a body that consists of prefix followed by rest; a nil rest means that
// prefix is the whole body. A length of -1 means that it is unknown.
func NewBody(prefix []byte, rest io.Reader, length int64) *Body {
	if rest == nil {
		length = int64(len(prefix))
	}
	return &Body{prefix: prefix, remainder: rest, length: length}
}

// ReadBody buffers a body of at most MaxBufferedBodyBytes. A larger body is left unread;
// of a body of unknown length only the beginning is read. Bodies larger than limit are
// rejected; limit 0 means no limit.
func ReadBody(r *http.Request, source io.Reader, limit int64) (*Body, error) {
	if limit > 0 && r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return NewBody(nil, nil, 0), nil
	}
	if r.ContentLength > MaxBufferedBodyBytes {
		return NewBody(nil, source, r.ContentLength), nil
	}
	bytesToRead := r.ContentLength
	if bytesToRead < 0 {
		bytesToRead = MaxBufferedBodyBytes + 1
	}
	prefix := make([]byte, bytesToRead)
	n, err := io.ReadFull(source, prefix)
	prefix = prefix[:n]
	switch {
	case limit > 0 && int64(n) > limit:
		return nil, tooLarge(limit)
	case r.ContentLength < 0 && (err == io.EOF || err == io.ErrUnexpectedEOF):
		return NewBody(prefix, nil, 0), nil
	case err != nil:
		return nil, bodyReadProblem(err)
	case r.ContentLength < 0:
		if limit > 0 {
			source = &limitedReader{source: source, limit: limit, left: limit - int64(n)}
		}
		return NewBody(prefix, source, -1), nil
	}
	return NewBody(prefix, nil, 0), nil
}

func tooLarge(limit int64) *problem.Error {
	return problem.New(problem.CodeBodyTooLarge, http.StatusRequestEntityTooLarge, "the request body is larger than %d bytes", limit)
}

// bodyReadProblem returns the problem for a body that could not be read before the request
// was dispatched.
func bodyReadProblem(err error) *problem.Error {
	var p *problem.Error
	if errors.As(err, &p) {
		return p
	}
	var refused *intake.RefusedError
	if errors.As(err, &refused) && refused.Status() == http.StatusServiceUnavailable {
		return problem.New(problem.CodeOverloaded, http.StatusServiceUnavailable, "the daemon holds too much unfinished input").WithRetryAfter(intake.RetryAfter)
	}
	return problem.New(problem.CodeBadRequest, http.StatusBadRequest, "the request body is malformed or incomplete")
}

// reusable reports whether the body can be sent to another owner.
func (b *Body) reusable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.consumed
}

// open returns a reader for the next attempt, nil for an empty body.
func (b *Body) open() upstream.Body {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempt++
	if b.remainder == nil && len(b.prefix) == 0 {
		return nil
	}
	return &attemptBody{body: b, attempt: b.attempt}
}

type attemptBody struct {
	body    *Body
	attempt int
	offset  int
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	if a.offset < len(a.body.prefix) {
		n := copy(p, a.body.prefix[a.offset:])
		a.offset += n
		return n, nil
	}
	if a.body.remainder == nil {
		return 0, io.EOF
	}
	a.body.mu.Lock()
	if a.attempt != a.body.attempt {
		a.body.mu.Unlock()
		return 0, &staleBodyError{}
	}
	a.body.consumed = true
	a.body.mu.Unlock()
	return a.body.remainder.Read(p)
}

// limitedReader fails when the body exceeds the service's size limit.
type limitedReader struct {
	source io.Reader
	limit  int64
	left   int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	n, err := l.source.Read(p)
	if l.left -= int64(n); l.left < 0 {
		return 0, tooLarge(l.limit)
	}
	return n, err
}

// discardTimeout is how long the remainder of a request body is read and discarded after
// the response: closing a connection with unread bytes sends a reset, which may destroy
// the response before the client has read it.
const discardTimeout = 200 * time.Millisecond

// IdleReader reads the body of an incoming request and fails when no byte arrives within
// the idle timeout. Close must be called before the handler returns.
type IdleReader struct {
	source      io.Reader
	controller  *http.ResponseController
	idleTimeout time.Duration

	mu       sync.Mutex
	complete bool
	closed   bool
}

// NewIdleReader returns a reader of the body of r. It also enables full duplex, so that
// the response can start before the body has been read; otherwise net/http reads the
// remaining body first, which delays error responses and breaks bidirectional streaming.
func NewIdleReader(w http.ResponseWriter, r *http.Request, idle time.Duration) (*IdleReader, error) {
	i := &IdleReader{source: r.Body, controller: http.NewResponseController(w), idleTimeout: idle, complete: r.ContentLength == 0}
	if i.complete {
		return i, nil
	}
	if err := i.controller.EnableFullDuplex(); err != nil {
		return nil, problem.New(problem.CodeInternal, http.StatusInternalServerError, "full duplex: %v", err)
	}
	return i, nil
}

// BeforeHeader must be called before a response header is sent. A connection whose request
// body was not read completely is not reused: the remaining bytes could be parsed as a
// request, and a late read would race with the next request.
func (r *IdleReader) BeforeHeader(h http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.complete {
		h.Set("Connection", "close")
	}
}

// Close makes later reads fail and limits how long net/http discards an unread remainder.
func (r *IdleReader) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if !r.complete {
		// An error means that the connection is already closed.
		_ = r.controller.SetReadDeadline(time.Now().Add(discardTimeout))
	}
}

func (r *IdleReader) extendDeadline() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return http.ErrBodyReadAfterClose
	}
	return r.controller.SetReadDeadline(time.Now().Add(r.idleTimeout))
}

func (r *IdleReader) markComplete() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.complete = true
	if !r.closed {
		// net/http keeps reading from the connection to detect that the client disconnects.
		_ = r.controller.SetReadDeadline(time.Time{})
	}
}

// malformed reports whether err is a framing error of the body rather than a connection error.
func malformed(err error) bool {
	var n net.Error
	return err != io.EOF && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, http.ErrBodyReadAfterClose) &&
		!errors.Is(err, net.ErrClosed) && !errors.As(err, &n)
}

// Read implements io.Reader.
func (r *IdleReader) Read(p []byte) (int, error) {
	if err := r.extendDeadline(); err != nil {
		return 0, err
	}
	n, err := r.source.Read(p)
	switch {
	case err == nil:
	case err == io.EOF:
		r.markComplete()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return n, problem.New(problem.CodeSlowSender, http.StatusRequestTimeout, "no byte of the request body for %v", r.idleTimeout)
	case malformed(err):
		return n, problem.New(problem.CodeBadRequest, http.StatusBadRequest, "the request body is malformed")
	}
	return n, err
}
