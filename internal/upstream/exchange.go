package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"samphirestile.example/samphirestile/internal/dispatch"
	"samphirestile.example/samphirestile/internal/problem"
)

// Reasons for which this daemon cancels the context of an exchange.
var (
	errMaxRunTime         = errors.New("maximum run time exceeded")
	errPermissionLapsed   = errors.New("permission to start work lapsed")
	errBodyIdleTimeout    = errors.New("no response body data within the idle timeout")
	errCallerDisconnected = errors.New("caller disconnected before a byte was sent")
	errFinished           = errors.New("exchange finished")
)

// exchange is one attempt to send a request to an endpoint or a peer and to read its
// response. An exchange with a grant continues after its caller has disconnected.
type exchange struct {
	caller          context.Context
	ctx             context.Context
	cancel          context.CancelCauseFunc
	grant           dispatch.Grant
	bodyIdleTimeout time.Duration
	started         time.Time
	deadline        time.Time
	stopCallerWatch func() bool
	maxRunTimer     *time.Timer

	mu   sync.Mutex
	conn *trackedConn
	// abandoned is set when the exchange ended before a byte was sent, for example because
	// the caller disconnected. A connection that becomes available later is sealed, so that
	// all writes on it fail.
	abandoned bool
	// stale is set when conn turned out to be unusable before a byte was sent.
	stale bool

	headerWritten     atomic.Bool
	permissionChecked atomic.Bool
	bodyRead          atomic.Bool
	bodyErr           atomic.Pointer[error]
	bodyFailed        chan struct{}
	finished          sync.Once
	timeToFirstByte   time.Duration
}

func newExchange(caller context.Context, bodyIdle time.Duration, g dispatch.Grant, maxRun time.Duration) *exchange {
	x := &exchange{caller: caller, grant: g, bodyIdleTimeout: bodyIdle, started: time.Now(), bodyFailed: make(chan struct{})}
	if g == nil {
		x.ctx, x.cancel = context.WithCancelCause(caller)
	} else {
		x.ctx, x.cancel = context.WithCancelCause(context.WithoutCancel(caller))
		x.stopCallerWatch = context.AfterFunc(caller, x.onCallerDone)
	}
	if maxRun > 0 {
		x.deadline = x.started.Add(maxRun)
		x.maxRunTimer = time.AfterFunc(maxRun, func() { x.cancel(errMaxRunTime) })
	}
	return x
}

// onCallerDone cancels the exchange if no byte has been sent yet.
func (x *exchange) onCallerDone() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn == nil || x.conn.sealUnsent(x) {
		x.abandoned = true
		x.cancel(errCallerDisconnected)
	}
}

func (x *exchange) onGotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stale = !c.begin(x, info.Reused)
	x.conn = c
	if x.grant != nil && x.caller.Err() != nil {
		// onCallerDone runs in a goroutine of its own, which may be late.
		x.abandoned = true
		x.cancel(errCallerDisconnected)
	}
	if x.abandoned {
		c.seal(x)
	}
}

// onWrite is called after each write on the connection. As soon as the header has been
// written it checks again that the work may start.
func (x *exchange) onWrite() {
	if x.headerWritten.Load() {
		x.checkPermission()
	}
}

func (x *exchange) checkPermission() {
	if x.grant == nil || !x.permissionChecked.CompareAndSwap(false, true) {
		return
	}
	if !x.grant.SendPermitted() {
		x.cancel(errPermissionLapsed)
	}
}

// do sends r and waits for the header of the response. When reading the request body fails,
// it returns immediately and reads the response in the background.
func (x *exchange) do(t *http.Transport, r Request, address string) (*Response, error) {
	relay := &informationalRelay{forward: r.Informational}
	defer relay.stop()
	if x.grant == nil || r.Body == nil || !r.Streamed {
		return x.roundTrip(t, r, address, relay)
	}
	type result struct {
		resp *Response
		err  error
	}
	results := make(chan result, 1)
	go func() {
		resp, err := x.roundTrip(t, r, address, relay)
		results <- result{resp, err}
	}()
	select {
	case res := <-results:
		if res.resp == nil || x.bodyError() == nil {
			return res.resp, res.err
		}
		go res.resp.Close()
	case <-x.bodyFailed:
		go func() {
			if res := <-results; res.resp != nil {
				res.resp.Close()
			}
		}()
	}
	return nil, bodyProblem(x.bodyError())
}

func (x *exchange) roundTrip(t *http.Transport, r Request, address string, relay *informationalRelay) (*Response, error) {
	trace := &httptrace.ClientTrace{
		GotConn:      x.onGotConn,
		WroteHeaders: func() { x.headerWritten.Store(true) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				x.checkPermission()
			}
		},
		Got1xxResponse: relay.got1xx,
	}
	ctx := httptrace.WithClientTrace(x.ctx, trace)
	resp, err := t.RoundTrip(x.build(r, address).WithContext(ctx))
	for range maxStaleConns {
		if err == nil || !x.discardStaleConn() {
			break
		}
		resp, err = t.RoundTrip(x.build(r, address).WithContext(ctx))
	}
	x.timeToFirstByte = time.Since(x.started)
	if err != nil {
		return nil, x.fail(err)
	}
	if cause := context.Cause(x.ctx); cause != nil {
		_ = resp.Body.Close()
		return nil, x.fail(cause)
	}
	if p := x.checkResponse(resp, r.ID); p != nil {
		x.releaseAtDeadline(p)
		_ = resp.Body.Close()
		return nil, p
	}
	return newResponse(x, resp), nil
}

// discardStaleConn detaches a stale connection from the exchange and returns true if nothing
// was sent on it or read from the body, so that the request can be sent on another
// connection.
func (x *exchange) discardStaleConn() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.stale || x.abandoned || x.ctx.Err() != nil || x.bodyRead.Load() || x.conn.seal(x) {
		return false
	}
	x.conn, x.stale = nil, false
	x.headerWritten.Store(false)
	return true
}

// build creates the HTTP request. Each request gets a body without GetBody where possible,
// because otherwise http.Transport retries it when a reused connection fails.
func (x *exchange) build(r Request, address string) *http.Request {
	u := *r.URL
	u.Scheme, u.Host = "http", address
	req := &http.Request{
		Method: r.Method, URL: &u, Host: r.Host, Header: r.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if r.Header.Get("User-Agent") == "" {
		// An empty value prevents net/http from sending its default User-Agent.
		req.Header["User-Agent"] = []string{""}
	}
	switch {
	case r.Body != nil && r.Length != 0:
		req.Body, req.ContentLength = &requestBody{x: x, source: r.Body}, r.Length
		if r.Length < 0 {
			// Set explicitly, because net/http otherwise reads one byte of the body in advance to
			// determine the encoding.
			req.TransferEncoding = []string{"chunked"}
		}
	case r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		// Servers expect Content-Length: 0 for these methods, which net/http only writes for a
		// request without a body. It retries such a request if it has a header with the exact
		// name Idempotency-Key or X-Idempotency-Key, so these names are sent in lower case.
		req.Body = http.NoBody
		lowercaseHeaderName(req.Header, "Idempotency-Key")
		lowercaseHeaderName(req.Header, "X-Idempotency-Key")
	default:
		req.Body = &emptyBody{}
		req.TransferEncoding = []string{"identity"}
	}
	return req
}

func lowercaseHeaderName(h http.Header, name string) {
	if v, ok := h[name]; ok {
		delete(h, name)
		h[string(lowerASCII(name))] = v
	}
}

func lowerASCII(s string) []byte {
	b := []byte(s)
	for i, c := range b {
		if 'A' <= c && c <= 'Z' {
			b[i] = c + ('a' - 'A')
		}
	}
	return b
}

func (x *exchange) checkResponse(resp *http.Response, id string) *problem.Error {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return problem.NewUnknown(problem.CodeAnswerLost, http.StatusBadGateway, nil, "the endpoint switched protocols without being asked")
	}
	if got, ok := resp.Header[problem.HeaderRequestID]; ok && x.grant != nil {
		for _, v := range got {
			if v != id {
				return problem.NewUnknown(problem.CodeAnswerMismatched, http.StatusBadGateway, nil, "the endpoint answered another request")
			}
		}
	}
	return nil
}

// sealConn seals the connection and reports whether a byte of this exchange may have been
// sent.
func (x *exchange) sealConn() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn == nil {
		x.abandoned = true
		return false
	}
	sent := x.conn.seal(x)
	if !sent {
		_ = x.conn.Close()
	}
	return sent
}

// fail ends the exchange after an error that occurred before the response header.
func (x *exchange) fail(err error) *problem.Error {
	if cause := context.Cause(x.ctx); cause != nil {
		err = cause
	}
	sent := x.sealConn()
	p := x.problemFor(err, sent)
	switch {
	case !sent && (x.caller.Err() != nil || errors.Is(err, errCallerDisconnected)):
		x.finish(func(g dispatch.Grant) { g.Cancel() })
	case errors.Is(err, errPermissionLapsed) && sent:
		x.releaseAtDeadline(p)
	default:
		x.releaseNow(true)
	}
	return p
}

func (x *exchange) problemFor(err error, sent bool) *problem.Error {
	switch {
	case !sent && x.caller.Err() != nil:
		return &problem.Error{Code: problem.CodeCallerGone, Status: statusCallerGone, Outcome: problem.NotRun, Detail: "the caller left before the request was sent", Cause: err}
	case !sent:
		return &problem.Error{Code: problem.CodeConnectFailed, Status: http.StatusServiceUnavailable, Outcome: problem.NotRun, Detail: "no connection, nothing was sent", RetryAfter: time.Second, Cause: err}
	case errors.Is(err, errMaxRunTime):
		return problem.NewUnknown(problem.CodeRunTimeExceeded, http.StatusGatewayTimeout, err, "the maximum run time of the service passed")
	case errors.Is(err, errPermissionLapsed):
		return problem.NewUnknown(problem.CodeRightLapsed, http.StatusServiceUnavailable, err, "the right to start work lapsed while the request was sent")
	case x.bodyError() != nil:
		return bodyProblem(x.bodyError())
	case x.caller.Err() != nil:
		return problem.NewUnknown(problem.CodeCallerGone, statusCallerGone, err, "the caller left before the response arrived")
	default:
		return problem.NewUnknown(problem.CodeAnswerLost, http.StatusBadGateway, err, "the connection failed before the response arrived")
	}
}

// statusCallerGone is recorded for requests whose caller disconnected; it is never sent.
const statusCallerGone = 499

// bodyProblem returns the problem for a request body that ended early. A *problem.Error keeps
// its code; the outcome is unknown because the request header was sent.
func bodyProblem(err error) *problem.Error {
	var p *problem.Error
	if errors.As(err, &p) {
		c := *p
		c.Outcome = problem.Unknown
		return &c
	}
	return problem.NewUnknown(problem.CodeCallerGone, statusCallerGone, err, "the request body ended early")
}

func (x *exchange) bodyError() error {
	if e := x.bodyErr.Load(); e != nil {
		return *e
	}
	return nil
}

// releaseNow ends the exchange and releases the grant immediately.
func (x *exchange) releaseNow(failed bool) {
	x.finish(func(g dispatch.Grant) { g.Done(dispatch.Result{Failed: failed, FirstByte: x.timeToFirstByte}) })
}

// releaseAtDeadline closes the connection although the endpoint may still be working. The
// grant is only released at the maximum run time, because the endpoint's work counts against
// the team's limit; without a maximum run time it is released immediately.
func (x *exchange) releaseAtDeadline(p *problem.Error) {
	deadline := x.deadline
	x.finish(func(g dispatch.Grant) {
		result := dispatch.Result{Failed: p.Code != problem.CodeRightLapsed, FirstByte: x.timeToFirstByte}
		if wait := time.Until(deadline); !deadline.IsZero() && wait > 0 {
			time.AfterFunc(wait, func() { g.Done(result) })
			return
		}
		g.Done(result)
	})
}

func (x *exchange) finish(release func(dispatch.Grant)) {
	x.finished.Do(func() {
		if x.stopCallerWatch != nil {
			x.stopCallerWatch()
		}
		if x.maxRunTimer != nil {
			x.maxRunTimer.Stop()
		}
		x.cancel(errFinished)
		if x.grant != nil {
			release(x.grant)
		}
	})
}

// informationalRelay forwards 1xx responses while do is running, but not after it has
// returned.
type informationalRelay struct {
	mu      sync.Mutex
	forward func(int, http.Header)
	ended   bool
}

func (r *informationalRelay) got1xx(code int, h textproto.MIMEHeader) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || r.forward == nil || code == http.StatusContinue {
		return nil
	}
	header := http.Header(h).Clone()
	StripHopByHop(header)
	StripInternalHeaders(header)
	r.forward(code, header)
	return nil
}

func (r *informationalRelay) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
}

// emptyBody represents an absent body.
type emptyBody struct{}

func (*emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (*emptyBody) Close() error             { return nil }

// WriteTo implements io.WriterTo; without it net/http allocates a buffer of 32 KB.
func (*emptyBody) WriteTo(io.Writer) (int64, error) { return 0, nil }

// requestBody prevents net/http from closing the connection when the source fails: the
// response must still be read, because the endpoint may be working on the request.
type requestBody struct {
	x      *exchange
	source Body
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	b.x.bodyRead.Store(true)
	n, err := b.source.Read(p)
	if err == nil || err == io.EOF {
		return n, err
	}
	if b.x.bodyErr.CompareAndSwap(nil, &err) {
		close(b.x.bodyFailed)
	}
	if b.x.grant == nil {
		return n, err
	}
	b.x.mu.Lock()
	conn := b.x.conn
	b.x.mu.Unlock()
	conn.closeWrite()
	<-b.x.ctx.Done()
	return n, err
}

// Close implements io.Closer; the source belongs to the caller.
func (*requestBody) Close() error { return nil }
