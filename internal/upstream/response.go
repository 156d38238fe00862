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

	x     *exchange
	resp  *http.Response
	idle  *time.Timer
	ended bool
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
	a.idle = time.AfterFunc(x.bodyIdle, func() { x.cancel(errBodyIdle) })
	a.idle.Stop()
	return a
}

// Read reads the body. It returns io.EOF only when the body is complete, and a
// *problem.Error otherwise.
func (a *Response) Read(p []byte) (int, error) {
	// The time that the receiver takes does not count.
	a.idle.Reset(a.x.bodyIdle)
	n, err := a.resp.Body.Read(p)
	a.idle.Stop()
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF:
		a.finish(false, nil)
		return n, io.EOF
	}
	failure := a.explain(err)
	a.finish(true, failure)
	return n, failure
}

func (a *Response) explain(err error) *problem.Error {
	if cause := context.Cause(a.x.ctx); cause != nil {
		err = cause
	}
	if errors.Is(err, errRunTime) {
		return problem.NewUnknown(problem.CodeRunTimeExceeded, http.StatusGatewayTimeout, err, "the maximum run time of the service passed")
	}
	return problem.NewUnknown(problem.CodeAnswerLost, http.StatusBadGateway, err, "the response body ended early")
}

func (a *Response) finish(failed bool, p *problem.Error) {
	if a.ended {
		return
	}
	a.ended = true
	a.idle.Stop()
	if p != nil && (errors.Is(p, errBodyIdle) || errors.Is(p, errLapsed)) {
		a.x.drop(p)
	} else {
		a.x.done(failed || badStatus(a.Status))
	}
	_ = a.resp.Body.Close()
}

// badStatus reports whether the status counts as a failure of the endpoint.
func badStatus(status int) bool {
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
