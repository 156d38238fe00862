package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"samphirestile.example/samphirestile/internal/problem"
)

// Response is a response whose header has arrived. Close must be called.
type Response struct {
	Status int
	// Header holds no hop-by-hop headers and, from an endpoint, no headers of daemons.
	Header http.Header
	// Length is -1 when it is not known.
	Length int64
	// TrailerNames are the announced trailers.
	TrailerNames []string

	x         *exchange
	resp      *http.Response
	idleTimer *time.Timer
	ended     bool
}

func newResponse(x *exchange, resp *http.Response) *Response {
	a := &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, x: x, resp: resp}
	StripHopByHop(a.Header)
	if x.grant != nil {
		StripInternalHeaders(a.Header)
		StripInternalHeaders(resp.Trailer)
	}
	for name := range resp.Trailer {
		a.TrailerNames = append(a.TrailerNames, name)
	}
	a.idleTimer = time.AfterFunc(x.bodyIdleTimeout, func() { x.cancel(errBodyIdleTimeout) })
	a.idleTimer.Stop()
	return a
}

// Read reads the body. It returns io.EOF only when the body is complete, and a
// *problem.Error otherwise.
func (a *Response) Read(p []byte) (int, error) {
	// The time that the receiver takes does not count.
	a.idleTimer.Reset(a.x.bodyIdleTimeout)
	n, err := a.resp.Body.Read(p)
	a.idleTimer.Stop()
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF:
		a.finish(false, nil)
		return n, io.EOF
	}
	failure := a.problemFor(err)
	a.finish(true, failure)
	return n, failure
}

func (a *Response) problemFor(err error) *problem.Error {
	if cause := context.Cause(a.x.ctx); cause != nil {
		err = cause
	}
	if errors.Is(err, errMaxRunTime) {
		return problem.NewUnknown(problem.CodeRunTimeExceeded, http.StatusGatewayTimeout, err, "the maximum run time of the service passed")
	}
	return problem.NewUnknown(problem.CodeAnswerLost, http.StatusBadGateway, err, "the response body ended early")
}

func (a *Response) finish(failed bool, p *problem.Error) {
	if a.ended {
		return
	}
	a.ended = true
	a.idleTimer.Stop()
	if p != nil && (errors.Is(p, errBodyIdleTimeout) || errors.Is(p, errPermissionLapsed)) {
		a.x.releaseAtDeadline(p)
	} else {
		a.x.releaseNow(failed || isFailureStatus(a.Status))
	}
	_ = a.resp.Body.Close()
}

// isFailureStatus reports whether the status counts as a failure of the endpoint.
func isFailureStatus(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// Trailer returns the trailers after Read has returned io.EOF.
func (a *Response) Trailer() http.Header {
	StripHopByHop(a.resp.Trailer)
	if a.x.grant != nil {
		StripInternalHeaders(a.resp.Trailer)
	}
	return a.resp.Trailer
}

// Close ends the exchange. An unfinished response of an endpoint is read to its
// end first, because its slot and unit stay in use as long as it works; an
// unfinished response of a peer is cut.
func (a *Response) Close() {
	if a.ended {
		return
	}
	if a.x.grant == nil {
		a.finish(true, nil)
		return
	}
	_, _ = io.Copy(io.Discard, readerOnly{a})
}

type readerOnly struct{ io.Reader }
