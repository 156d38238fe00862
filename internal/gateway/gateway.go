// Package gateway serves callers: it authenticates and checks a request, has it
// forwarded to an owner and sends the response.
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
	// defaultMaxWait is used for a service without a bound.
	defaultMaxWait = 30 * time.Second
	// notReadyRetryAfter is the advice to callers of a daemon that takes no requests.
	notReadyRetryAfter = time.Second
	// defaultRetryAfter is the advice with a refusal for lack of capacity that names none.
	defaultRetryAfter = time.Second
	// claimTimeout bounds the time in which the homes of a key must answer.
	claimTimeout = 2 * time.Second
	// claimSeparator stands between the request ID and the random part of a claim ID.
	claimSeparator = "~"
	// headerFirstState and headerFirstStatus tell the caller of a repeated request
	// how the first one ended.
	headerFirstState  = "Samphirestile-First-State"
	headerFirstStatus = "Samphirestile-First-Status"
)

// FinishedRequest describes a request that has ended.
type FinishedRequest struct {
	RequestID string
	Service   fleet.ServiceID
	Team      fleet.TeamID
	Method    string
	Status    int
	// Code and Outcome are empty when the endpoint's response was delivered whole.
	Code    problem.Code
	Outcome problem.Outcome
	// Reason is the detail of a failure.
	Reason string
	// FirstByte is the time to the response header, Total the time to the end.
	FirstByte time.Duration
	Total     time.Duration
	Owner     string
	Attempts  int
	Reroutes  int
	BytesOut  int64
}

// Observer receives each finished request. It must not block.
type Observer interface {
	RequestFinished(FinishedRequest)
}

// Options are the parts that a Gateway works with.
type Options struct {
	Config    config.Source
	Verifier  keys.Verifier
	Forwarder *forward.Forwarder
	// Claimer may be nil; then requests with an Idempotency-Key are refused.
	Claimer idempotency.Claimer
	// Observer may be nil.
	Observer Observer
	// BodyIdleTimeout bounds the time between two reads or writes of a body; 0 means
	// upstream.DefaultBodyIdleTimeout.
	BodyIdleTimeout time.Duration
}

// Gateway is the handler of the service listener. It starts not ready and not accepting.
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

// SetReady switches what the load balancer is told. A daemon that is not ready
// ends its callers' connections after each response.
func (g *Gateway) SetReady(ready bool) { g.ready.Store(ready) }

// SetAccepting switches whether requests are taken.
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

// transaction is the way of one request through the gateway.
type transaction struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	body    *forward.IdleReader
	started time.Time
	record  FinishedRequest
	key     string
	// claimID names the claim of the key. The request ID alone does not, because
	// a caller may send a repeat with the same X-Request-Id.
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

// prepare does every check that needs no other daemon, and reads a small body.
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

// signature groups requests that are expected to fail or succeed alike.
func signature(team fleet.TeamID, method, path string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(string(team)+"\x00"+method+"\x00"+path))
}

// claim claims the idempotency key; when that fails it answers the request.
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

// duplicate describes a repeat. Its outcome is unknown even though the repeat
// itself did not run, because the work of the key may have run already.
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

// recordAborted records a response that was cut after its header.
func (t *transaction) recordAborted(err error) {
	t.record.Code, t.record.Outcome, t.record.Reason = problem.CodeCallerGone, problem.Unknown, err.Error()
	var p *problem.Error
	// A failed write to the caller is no *problem.Error.
	if errors.As(err, &p) && t.r.Context().Err() == nil {
		t.record.Code = p.Code
	}
}
