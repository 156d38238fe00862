// Package gateway implements the service listener: it authenticates and validates client
// requests, forwards them to an owner and sends the response.
package gateway

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirestile.example/samphirestile/internal/config"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/forward"
	"samphirestile.example/samphirestile/internal/idempotency"
	"samphirestile.example/samphirestile/internal/keys"
	"samphirestile.example/samphirestile/internal/problem"
	"samphirestile.example/samphirestile/internal/upstream"
)

// Paths of the health endpoints. "-" is not a valid service name.
const (
	pathLive  = "/-/live"
	pathReady = "/-/ready"
)

const (
	// defaultMaxWait is the maximum queueing time for a service that configures none.
	defaultMaxWait = 30 * time.Second
	// notReadyRetryAfter is the Retry-After value while a daemon does not accept requests.
	notReadyRetryAfter = time.Second
	// defaultRetryAfter is the Retry-After value of a 429 or 503 response that sets none.
	defaultRetryAfter = time.Second
	// claimTimeout limits the time in which the home daemons of a key must respond.
	claimTimeout = 2 * time.Second
	// claimSeparator separates the request ID from the random part of a claim ID.
	claimSeparator = "~"
	// headerFirstState and headerFirstStatus report the outcome of the first request with
	// an idempotency key on the response to a duplicate.
	headerFirstState  = "Samphirestile-First-State"
	headerFirstStatus = "Samphirestile-First-Status"
)

// FinishedRequest is the record of a completed request.
type FinishedRequest struct {
	RequestID string
	Service   fleet.ServiceID
	Team      fleet.TeamID
	Method    string
	Status    int
	// Code and Outcome are empty when the endpoint's response was delivered completely.
	Code    problem.Code
	Outcome problem.Outcome
	// Reason is the error message of a failed request.
	Reason string
	// FirstByte is the time until the response header, Total the time until completion.
	FirstByte time.Duration
	Total     time.Duration
	Owner     string
	Attempts  int
	Reroutes  int
	BytesOut  int64
}

// Observer is notified of each completed request. It must not block.
type Observer interface {
	RequestFinished(FinishedRequest)
}

// Options holds the dependencies and settings of a Gateway.
type Options struct {
	Config    config.Source
	Verifier  keys.Verifier
	Forwarder *forward.Forwarder
	// Claimer may be nil; then requests with an Idempotency-Key header are refused.
	Claimer idempotency.Claimer
	// Observer may be nil.
	Observer Observer
	// BodyIdleTimeout limits the time between two reads or writes of a body; 0 means
	// upstream.DefaultBodyIdleTimeout.
	BodyIdleTimeout time.Duration
}

// Gateway is the handler of the service listener. Initially it is not ready and does not
// accept requests.
type Gateway struct {
	options   Options
	ready     atomic.Bool
	accepting atomic.Bool
	inFlight  atomic.Int64
}

// New returns a Gateway.
func New(o Options) *Gateway {
	if o.BodyIdleTimeout <= 0 {
		o.BodyIdleTimeout = upstream.DefaultBodyIdleTimeout
	}
	return &Gateway{options: o}
}

// SetReady sets the state reported to the load balancer. A daemon that is not ready closes
// each client connection after the next response.
func (g *Gateway) SetReady(ready bool) { g.ready.Store(ready) }

// SetAccepting sets whether requests are accepted.
func (g *Gateway) SetAccepting(accepting bool) { g.accepting.Store(accepting) }

// InFlight returns the number of requests being served.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case pathLive:
		w.WriteHeader(http.StatusOK)
		return
	case pathReady:
		g.serveReady(w)
		return
	}
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if !g.ready.Load() {
		w.Header().Set("Connection", "close")
	}
	body, err := forward.NewIdleReader(w, r, g.options.BodyIdleTimeout)
	if err != nil {
		problem.Write(w, problem.From(err), "")
		return
	}
	defer body.Close()
	t := &transaction{gateway: g, w: w, r: r, body: body, started: time.Now()}
	t.record.Method = r.Method
	defer t.reportFinished()
	t.serve()
}

func (g *Gateway) serveReady(w http.ResponseWriter) {
	if !g.ready.Load() {
		problem.Write(w, notReady(), "")
		return
	}
	w.WriteHeader(http.StatusOK)
}

func notReady() *problem.Error {
	return problem.New(problem.CodeNotReady, http.StatusServiceUnavailable, "this daemon takes no requests now").WithRetryAfter(notReadyRetryAfter)
}

// transaction holds the state of one request that the gateway is serving.
type transaction struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	body    *forward.IdleReader
	started time.Time
	record  FinishedRequest
	key     string
	// claimID identifies the claim of the key. The request ID alone is not sufficient,
	// because a client may send a duplicate with the same X-Request-Id.
	claimID string
}

func (t *transaction) reportFinished() {
	if t.gateway.options.Observer == nil {
		return
	}
	t.record.Total = time.Since(t.started)
	t.gateway.options.Observer.RequestFinished(t.record)
}

func (t *transaction) fail(p *problem.Error) {
	if p.RetryAfter == 0 && (p.Status == http.StatusTooManyRequests || p.Status == http.StatusServiceUnavailable) {
		p = p.WithRetryAfter(defaultRetryAfter)
	}
	t.record.Status, t.record.Code, t.record.Outcome, t.record.Reason = p.Status, p.Code, p.Outcome, p.Error()
	if t.record.FirstByte == 0 {
		t.record.FirstByte = time.Since(t.started)
	}
	t.body.BeforeHeader(t.w.Header())
	problem.Write(t.w, p, t.record.RequestID)
}

func (t *transaction) serve() {
	id, p := readRequestID(t.r.Header)
	if id == "" {
		id = rand.Text()
	}
	t.record.RequestID = id
	if p != nil {
		t.fail(p)
		return
	}
	call, p := t.prepare()
	if p != nil {
		t.fail(p)
		return
	}
	if t.key != "" && !t.claim(call) {
		return
	}
	t.forward(call)
}

// prepare performs all checks that involve no other daemon and buffers a small body.
func (t *transaction) prepare() (*forward.Call, *problem.Error) {
	if !t.gateway.accepting.Load() {
		return nil, notReady()
	}
	snapshot := t.gateway.options.Config.Current()
	if snapshot == nil {
		return nil, notReady()
	}
	id, target, ok := forward.SplitPath(t.r.URL, "/")
	service, known := snapshot.Services[id]
	if !ok || !known {
		return nil, problem.New(problem.CodeServiceNotFound, http.StatusNotFound, "no such service")
	}
	t.record.Service = id
	team, err := t.authenticate(service)
	if err != nil {
		return nil, problem.From(err)
	}
	t.record.Team = team
	d, p := readDirectives(t.r)
	if p != nil {
		return nil, p
	}
	t.key = d.key
	body, err := forward.ReadBody(t.r, t.body, service.MaxBodyBytes)
	if err != nil {
		return nil, problem.From(err)
	}
	// The key may have been revoked while the body arrived.
	if team, err = t.authenticate(service); err != nil {
		return nil, problem.From(err)
	}
	t.record.Team = team
	return t.call(service, team, target, d, body), nil
}

func (t *transaction) authenticate(service fleet.Service) (fleet.TeamID, error) {
	values := t.r.Header["Authorization"]
	if len(values) > 1 {
		return "", badRequest("Authorization must have one value")
	}
	return t.gateway.options.Verifier.Authenticate(service, t.r.Header.Get("Authorization"))
}

func (t *transaction) call(s fleet.Service, team fleet.TeamID, target *url.URL, d directives, body *forward.Body) *forward.Call {
	header := t.r.Header.Clone()
	header.Del("Authorization")
	header.Del("Expect")
	upstream.StripHopByHop(header)
	upstream.StripInternalHeaders(header)
	wait := d.wait
	if wait == 0 {
		wait = s.MaxWait
	}
	if wait <= 0 {
		wait = defaultMaxWait
	}
	return &forward.Call{
		ID: t.record.RequestID, Service: s, Team: team, Method: t.r.Method, URL: target, Host: t.r.Host,
		Header: header, Body: body, Urgent: d.urgent, Idempotent: d.idempotent,
		Deadline: t.started.Add(wait), Signature: signature(team, t.r.Method, target.Path),
		Informational: forward.InformationalWriter(t.w),
	}
}

// signature returns a hash that groups requests which are expected to succeed or fail alike:
// those with the same team, method and path.
func signature(team fleet.TeamID, method, path string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(string(team)+"\x00"+method+"\x00"+path))
}

// claim claims the idempotency key. If the claim is not granted it sends the error response
// and returns false.
func (t *transaction) claim(c *forward.Call) bool {
	claimer := t.gateway.options.Claimer
	if claimer == nil {
		t.fail(problem.New(problem.CodeIdempotencyUnknown, http.StatusServiceUnavailable, "idempotency keys are not available").WithRetryAfter(notReadyRetryAfter))
		return false
	}
	ctx, cancel := context.WithTimeout(t.r.Context(), claimTimeout)
	defer cancel()
	t.claimID = c.ID + claimSeparator + rand.Text()
	granted, first, err := claimer.Claim(ctx, c.Team, t.key, t.claimID)
	switch {
	case err != nil:
		t.fail(problem.From(err))
	case !granted:
		t.fail(t.duplicate(first))
	}
	return err == nil && granted
}

// duplicate returns the problem for a duplicate request. The outcome is unknown although the
// duplicate itself did not run, because the first request with the key may have run.
func (t *transaction) duplicate(first idempotency.Claim) *problem.Error {
	h := t.w.Header()
	h.Set(headerFirstState, string(first.State))
	id := first.RequestID
	if i := strings.LastIndex(id, claimSeparator); i >= 0 {
		id = id[:i]
	}
	detail := fmt.Sprintf("the first request with this key, %s, is %s", id, first.State)
	if first.Status != 0 {
		h.Set(headerFirstStatus, fmt.Sprint(first.Status))
		detail += fmt.Sprintf(" with status %d", first.Status)
	}
	return problem.NewUnknown(problem.CodeDuplicateRequest, http.StatusConflict, nil, "%s", detail)
}

func (t *transaction) settle(c *forward.Call, state idempotency.State, status int) {
	if t.key != "" {
		t.gateway.options.Claimer.Settle(c.Team, t.key, t.claimID, state, status)
	}
}

func (t *transaction) forward(c *forward.Call) {
	resp, trace, err := t.gateway.options.Forwarder.Do(t.r.Context(), c)
	t.record.FirstByte = time.Since(t.started)
	t.record.Owner, t.record.Attempts, t.record.Reroutes = trace.Owner, trace.Attempts, trace.Reroutes
	if err != nil {
		p := problem.From(err)
		if p.Outcome == problem.NotRun {
			t.settle(c, idempotency.Released, 0)
		} else {
			t.settle(c, idempotency.Unknown, 0)
		}
		t.fail(p)
		return
	}
	defer resp.Close()
	var settled sync.WaitGroup
	defer settled.Wait()
	settled.Go(func() { t.settle(c, idempotency.Done, resp.Status) })
	t.record.Status = resp.Status
	t.body.BeforeHeader(t.w.Header())
	t.w.Header().Set(problem.HeaderRequestID, c.ID)
	t.record.BytesOut, err = forward.CopyResponse(t.w, resp.Response, t.gateway.options.BodyIdleTimeout)
	if err != nil {
		t.recordAborted(err)
		resp.Close()
		panic(http.ErrAbortHandler)
	}
}

// recordAborted records a response that was aborted after its header.
func (t *transaction) recordAborted(err error) {
	t.record.Code, t.record.Outcome, t.record.Reason = problem.CodeCallerGone, problem.Unknown, err.Error()
	var p *problem.Error
	// Errors of writes to the client are not of type *problem.Error.
	if errors.As(err, &p) && t.r.Context().Err() == nil {
		t.record.Code = p.Code
	}
}
