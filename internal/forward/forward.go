// Package forward routes a request from the daemon that accepted it to a daemon that owns
// an endpoint of the service, over at most one network hop between daemons.
package forward

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/config"
	"samphirestile.example/samphirestile/internal/dispatch"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/membership"
	"samphirestile.example/samphirestile/internal/peerapi"
	"samphirestile.example/samphirestile/internal/problem"
	"samphirestile.example/samphirestile/internal/upstream"
)

const (
	// maxReroutes limits how often a request that did not run is sent to another owner.
	maxReroutes = 3
	// maxAttempts limits how often an idempotent request is run.
	maxAttempts = 3
	// hopMargin is added to the maximum time that an owner may need for a request. After
	// that time the owner is considered failed, for example because its process is frozen.
	hopMargin = 2 * time.Second
	// ownerCheckInterval is how often the membership view is checked for whether the owner
	// of an idempotent request is still active.
	ownerCheckInterval = 500 * time.Millisecond
)

// Options holds the dependencies of Forwarder and Server.
type Options struct {
	Config     config.Source
	Members    membership.Source
	Dispatcher dispatch.Dispatcher
	Upstream   *upstream.Client
	Secret     peerapi.Secret
	// HeartbeatUnits returns the number of allotment units of a team at a member, taken from
	// the member's last heartbeat. It is used for owners without a recent load report; it may
	// be nil.
	HeartbeatUnits func(m membership.Member, team fleet.TeamID) (units int, known bool)
	// OnUnreachable is called with each peer that could not be connected to; it may be nil.
	OnUnreachable func(membership.Member)
	// LocalTeamLoad returns the load of a team on this daemon, so that requests are routed to
	// owners with free units; it may be nil.
	LocalTeamLoad func(team fleet.TeamID) TeamLoad
}

// Call is one client request.
type Call struct {
	ID      string
	Service fleet.Service
	Team    fleet.TeamID
	Method  string
	// URL holds the path without the service prefix, and the query.
	URL  *url.URL
	Host string
	// Header contains neither hop-by-hop headers nor the client's API key.
	Header     http.Header
	Body       *Body
	Urgent     bool
	Idempotent bool
	// Deadline is the latest time at which the request may leave the queue.
	Deadline time.Time
	// Signature is a hash of team, method and path. It groups requests that are expected to
	// succeed or fail alike.
	Signature string
	// Informational receives 1xx responses; it may be nil.
	Informational func(status int, h http.Header)
}

// Trace records how a call was routed.
type Trace struct {
	// Owner is the daemon of the last attempt, Endpoint the last endpoint that failed.
	Owner    string
	Endpoint fleet.EndpointID
	Attempts int
	Reroutes int
}

// Forwarder is the client side of the peer hop.
type Forwarder struct {
	options Options
	owners  *owners
	budget  *retryBudget
}

// New returns a Forwarder.
func New(o Options) *Forwarder {
	return &Forwarder{
		options: o,
		owners:  newOwners(o),
		budget:  &retryBudget{credit: make(map[fleet.TeamID]float64)},
	}
}

// Response is the response of an endpoint. Close must be called.
type Response struct {
	*upstream.Response
	release func()
}

// Close ends the exchange and removes the request from the load estimates.
func (r *Response) Close() {
	r.Response.Close()
	r.release()
}

// attemptError is the error of a failed attempt and the endpoint that it used, if any.
type attemptError struct {
	*problem.Error
	endpoint fleet.EndpointID
	// ownerLost is set when the owner itself did not respond.
	ownerLost bool
}

// Do sends the call to an owner, retrying with other owners where that is safe. It returns
// the response of an endpoint or a *problem.Error.
func (f *Forwarder) Do(ctx context.Context, c *Call) (*Response, Trace, error) {
	f.budget.recordRequest(c.Team)
	var trace Trace
	var avoid []fleet.EndpointID
	var last, unknown *problem.Error
	excluded := make(map[string]bool)
	skip := func(candidate *owner) bool {
		return excluded[candidate.member.PeerAddress] ||
			!slices.ContainsFunc(candidate.endpoints, func(id fleet.EndpointID) bool { return !slices.Contains(avoid, id) })
	}
	for {
		candidate := f.owners.choose(c.Service.ID, c.Team, skip)
		if candidate == nil {
			return nil, trace, preserveUnknown(noOwnerProblem(last), unknown)
		}
		trace.Owner = candidate.member.Daemon
		hint := placementHint{avoid: avoid, final: trace.Reroutes >= maxReroutes || f.isLast(c.Service.ID, candidate, skip)}
		resp, failure := f.attempt(ctx, candidate, c, hint)
		if failure == nil {
			trace.Attempts++
			return resp, trace, nil
		}
		if failure.Outcome == problem.Unknown {
			trace.Attempts++
			unknown = failure.Error
		}
		if ctx.Err() != nil || !f.shouldRetry(c, failure, &trace) {
			return nil, trace, preserveUnknown(withoutReroute(failure.Error), unknown)
		}
		last = failure.Error
		if failure.endpoint != "" {
			trace.Endpoint = failure.endpoint
			avoid = append(avoid, failure.endpoint)
		}
		if failure.endpoint == "" || failure.ownerLost {
			excluded[candidate.member.PeerAddress] = true
		}
	}
}

// placementHint carries the entry daemon's knowledge about earlier attempts to an owner.
type placementHint struct {
	// avoid lists the endpoints on which the request has already failed.
	avoid []fleet.EndpointID
	// final is set when no other owner is left: the owner must queue the request and not
	// refuse it because another owner appears to have free slots.
	final bool
}

// isLast reports whether no owner of the service other than candidate remains.
func (f *Forwarder) isLast(service fleet.ServiceID, candidate *owner, skip func(*owner) bool) bool {
	return !slices.ContainsFunc(f.owners.ofService(service), func(o *owner) bool { return o != candidate && !skip(o) })
}

// preserveUnknown keeps a refusal of a later attempt from being reported as "not run" when
// an earlier attempt had an unknown outcome.
func preserveUnknown(p, unknown *problem.Error) *problem.Error {
	if unknown == nil || p.Outcome == problem.Unknown {
		return p
	}
	c := *unknown
	c.RetryAfter = p.RetryAfter
	c.Reroute = false
	return &c
}

// shouldRetry decides whether the call may be sent to an owner again. If so, it counts the
// reroute or takes the retry from the team's budget.
func (f *Forwarder) shouldRetry(c *Call, failure *attemptError, t *Trace) bool {
	if !c.Body.reusable() {
		return false
	}
	if failure.Outcome == problem.NotRun {
		if (failure.Reroute || failure.Code == problem.CodeConnectFailed) && t.Reroutes < maxReroutes {
			t.Reroutes++
			return true
		}
		return false
	}
	switch failure.Code {
	case problem.CodeAnswerLost, problem.CodeAnswerMismatched, problem.CodeRightLapsed:
		return c.Idempotent && t.Attempts < maxAttempts && f.budget.tryAcquire(c.Team)
	}
	return false
}

func noOwnerProblem(last *problem.Error) *problem.Error {
	if last != nil {
		return withoutReroute(last)
	}
	return problem.New(problem.CodeNoEndpoint, http.StatusServiceUnavailable, "no endpoint of the service is available").WithRetryAfter(time.Second)
}

// withoutReroute clears the reroute flag, which is only meant for daemons.
func withoutReroute(p *problem.Error) *problem.Error {
	c := *p
	c.Reroute = false
	return &c
}

func (f *Forwarder) attempt(ctx context.Context, target *owner, c *Call, hint placementHint) (*Response, *attemptError) {
	end := f.owners.trackRequest(target, c.Service.ID, c.Team)
	var resp *upstream.Response
	var failure *attemptError
	if target.member.Self {
		resp, failure = f.attemptLocal(ctx, c, hint)
	} else {
		resp, failure = f.attemptPeer(ctx, target, c, hint)
	}
	if failure != nil {
		end()
		return nil, failure
	}
	return &Response{Response: resp, release: end}, nil
}

func (f *Forwarder) attemptLocal(ctx context.Context, c *Call, hint placementHint) (*upstream.Response, *attemptError) {
	request := dispatch.Request{
		ID: c.ID, Service: c.Service.ID, Team: c.Team, Urgent: c.Urgent,
		Deadline: c.Deadline, Signature: c.Signature, Avoid: hint.avoid, NoReroute: hint.final,
	}
	header := c.Header.Clone()
	header.Set(problem.HeaderRequestID, c.ID)
	return acquireAndSend(ctx, f.options, c.Service, request, upstream.Request{
		ID: c.ID, Method: c.Method, URL: c.URL, Host: c.Host, Header: header,
		Body: c.Body.open(), Length: c.Body.length, Streamed: c.Body.remainder != nil, Informational: c.Informational,
	})
}

// acquireAndSend waits for a grant and performs the exchange with the endpoint. It is used
// by the local path and by the server side of the peer hop.
func acquireAndSend(ctx context.Context, o Options, s fleet.Service, request dispatch.Request, r upstream.Request) (*upstream.Response, *attemptError) {
	if o.Dispatcher == nil {
		return nil, &attemptError{Error: notOwner("this daemon owns no endpoints")}
	}
	g, err := o.Dispatcher.Acquire(ctx, request)
	if err != nil {
		return nil, &attemptError{Error: problem.From(err)}
	}
	endpoint := g.Endpoint().ID
	resp, err := o.Upstream.SendToEndpoint(ctx, g, r, s.MaxRunTime)
	if err != nil {
		return nil, &attemptError{Error: problem.From(err), endpoint: endpoint}
	}
	return resp, nil
}

func notOwner(detail string) *problem.Error {
	return &problem.Error{
		Code: problem.CodeNotOwner, Status: http.StatusServiceUnavailable, Outcome: problem.NotRun,
		Detail: detail, RetryAfter: time.Second, Reroute: true,
	}
}

func (f *Forwarder) attemptPeer(ctx context.Context, target *owner, c *Call, hint placementHint) (*upstream.Response, *attemptError) {
	header := c.Header.Clone()
	writeHopHeaders(header, c, string(f.options.Secret), hint, time.Now())
	if c.Body.remainder != nil {
		header.Set("Expect", "100-continue")
	}
	hopCtx, stop := f.watchOwner(ctx, target, c)
	defer stop()
	hopTimeout := time.Duration(0)
	if c.Service.MaxRunTime > 0 {
		hopTimeout = max(time.Until(c.Deadline), 0) + c.Service.MaxRunTime + hopMargin
	}
	resp, err := f.options.Upstream.SendToPeer(hopCtx, target.member.PeerAddress, upstream.Request{
		ID: c.ID, Method: c.Method, URL: peerURL(c), Host: c.Host, Header: header,
		Body: c.Body.open(), Length: c.Body.length, Streamed: c.Body.remainder != nil, Informational: c.Informational,
	}, hopTimeout)
	if err != nil {
		return nil, &attemptError{Error: f.hopFailure(ctx, hopCtx, target, err), ownerLost: true}
	}
	if l, team, err := ParseLoad(resp.Header.Get(problem.HeaderLoad)); err == nil {
		f.owners.recordLoad(target, c.Service.ID, l)
		if team != nil {
			f.owners.recordTeamLoad(target.member.PeerAddress, c.Team, *team)
		}
	}
	switch resp.Header.Get(headerAnsweredBy) {
	case answeredByEndpoint:
		upstream.StripInternalHeaders(resp.Header)
		return resp, nil
	case answeredByDaemon:
		if resp.Status == http.StatusUnauthorized {
			resp.Close()
			return nil, &attemptError{Error: notOwner("the owner did not accept the cell secret")}
		}
		failure := &attemptError{Error: readProblem(resp), endpoint: fleet.EndpointID(resp.Header.Get(headerEndpoint))}
		resp.Close()
		return nil, failure
	}
	resp.Close()
	return nil, &attemptError{
		Error:     problem.NewUnknown(problem.CodeAnswerLost, http.StatusBadGateway, nil, "the owner's address answered without being a daemon"),
		ownerLost: true,
	}
}

// errOwnerInactive cancels a hop to an owner that is inactive in the membership view.
var errOwnerInactive = errors.New("the owner is inactive in the membership view")

// watchOwner cancels the hop of an idempotent request when its owner becomes inactive, so
// that the request can run on another owner. Other requests keep waiting, because the
// owner may only be paused and still respond.
func (f *Forwarder) watchOwner(ctx context.Context, target *owner, c *Call) (hopCtx context.Context, stop func()) {
	if !c.Idempotent {
		return ctx, func() {}
	}
	hopCtx, cancel := context.WithCancelCause(ctx)
	var mu sync.Mutex
	var timer *time.Timer
	stopped := false
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(ownerCheckInterval, func() {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case stopped:
		case f.owners.failedInView(target):
			cancel(errOwnerInactive)
		default:
			timer.Reset(ownerCheckInterval)
		}
	})
	return hopCtx, func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		timer.Stop()
	}
}

// hopFailure returns the problem for a hop that ended without a response of the owner.
func (f *Forwarder) hopFailure(ctx, hopCtx context.Context, target *owner, err error) *problem.Error {
	p := problem.From(err)
	switch {
	case p.Code == problem.CodeConnectFailed:
		f.owners.recordConnectFailure(target)
		if f.options.OnUnreachable != nil {
			f.options.OnUnreachable(target.member)
		}
	case ctx.Err() == nil && hopCtx.Err() != nil:
		lost := problem.NewUnknown(problem.CodeAnswerLost, http.StatusBadGateway, errOwnerInactive, "the owner became inactive")
		lost.Outcome = p.Outcome
		return lost
	}
	return p
}

func peerURL(c *Call) *url.URL {
	u := *c.URL
	prefix := PathPrefix + string(c.Service.ID)
	if u.RawPath != "" {
		u.RawPath = PathPrefix + url.PathEscape(string(c.Service.ID)) + u.RawPath
	}
	u.Path = prefix + u.Path
	return &u
}
