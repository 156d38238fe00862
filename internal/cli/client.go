package cli

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	fleetoas "samphirestile.example/samphirestile/internal/fleetapi/oas"
	"samphirestile.example/samphirestile/internal/operatorapi/oas"
)

const (
	dialTimeout = 3 * time.Second
	// maxResponseBytes bounds the memory for one response. A longer response is truncated and
	// cannot be decoded.
	maxResponseBytes = 256 << 20
)

// tokenSource provides the operator token to the generated client.
type tokenSource string

// OperatorToken implements oas.SecuritySource.
func (t tokenSource) OperatorToken(context.Context, oas.OperationName) (oas.OperatorToken, error) {
	return oas.OperatorToken{Token: string(t)}, nil
}

// fleetTokenSource provides the operator token to the generated client of the fleet interface.
type fleetTokenSource string

// OperatorToken implements fleetoas.SecuritySource.
func (t fleetTokenSource) OperatorToken(context.Context, fleetoas.OperationName) (fleetoas.OperatorToken, error) {
	return fleetoas.OperatorToken{Token: string(t)}, nil
}

// noRetryClient sends each request once and records whether a failed one may have reached the server.
type noRetryClient struct{ client *http.Client }

// Do implements ht.Client of package ogen/http.
func (c noRetryClient) Do(r *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	// Without GetBody net/http cannot retry the request.
	r.GetBody = nil
	resp, err := c.client.Do(r)
	if err != nil {
		return nil, &UnreachableError{Server: r.URL.Host, Sent: connected.Load(), Cause: err}
	}
	resp.Body = limitedBody{Reader: io.LimitReader(resp.Body, maxResponseBytes), Closer: resp.Body}
	return resp, nil
}

type limitedBody struct {
	io.Reader
	io.Closer
}

func newClient(server, token string, timeout time.Duration) (*oas.Client, error) {
	return oas.NewClient("http://"+server, tokenSource(token), oas.WithClient(newNoRetryClient(timeout)))
}

func newFleetClient(server, token string, timeout time.Duration) (*fleetoas.Client, error) {
	return fleetoas.NewClient("http://"+server, fleetTokenSource(token), fleetoas.WithClient(newNoRetryClient(timeout)))
}

func newNoRetryClient(timeout time.Duration) noRetryClient {
	return noRetryClient{&http.Client{
		Timeout: timeout,
		Transport: &http.Transport{
			DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableKeepAlives: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}
