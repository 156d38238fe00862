package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"samphirestile.example/samphirestile/internal/problem"
)

// Response is a response whose header has been received. Close must be called.
type Response struct {
	Status int
	// Header contains no hop-by-hop headers and, for a response of an endpoint, no headers
	// that only daemons set.
	Header http.Header
	// Length is -1 when it is not known.
	Length int64
	// TrailerNames holds the names of the announced trailers.
	TrailerNames []string

	x         *exchange
	resp      *http.Response
	idleTimer *time.Timer
	ended     bool
}

func newResponse(x *exchange, resp *http.Response) *Response {
	r := &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, x: x, resp: resp}
	StripHopByHop(r.Header)
	if x.grant != nil {
		StripInternalHeaders(r.Header)
		StripInternalHeaders(resp.Trailer)
	}
	for name := range resp.Trailer {
		r.TrailerNames = append(r.TrailerNames, name)
	}
	r.idleTimer = time.AfterFunc(x.bodyIdleTimeout, func() { x.cancel(errBodyIdleTimeout) })
	r.idleTimer.Stop()
	return r
}

// Read reads the body. It returns io.EOF only when the body is complete, and a
// *problem.Error otherwise.
func (r *Response) Read(p []byte) (int, error) {
	// The idle timeout only covers the read, not the time that the receiver takes to process
	// the data.
	r.idleTimer.Reset(r.x.bodyIdleTimeout)
	n, err := r.resp.Body.Read(p)
	r.idleTimer.Stop()
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF:
		r.finish(false, nil)
		return n, io.EOF
	}
	failure := r.problemFor(err)
	r.finish(true, failure)
	return n, failure
}

func (r *Response) problemFor(err error) *problem.Error {
	if cause := context.Cause(r.x.ctx); cause != nil {
		err = cause
	}
	if errors.Is(err, errMaxRunTime) {
		return problem.NewUnknown(problem.CodeRunTimeExceeded, http.StatusGatewayTimeout, err, "the maximum run time of the service passed")
	}
	return problem.NewUnknown(problem.CodeAnswerLost, http.StatusBadGateway, err, "the response body ended early")
}

func (r *Response) finish(failed bool, p *problem.Error) {
	if r.ended {
		return
	}
	r.ended = true
	r.idleTimer.Stop()
	if p != nil && (errors.Is(p, errBodyIdleTimeout) || errors.Is(p, errPermissionLapsed)) {
		r.x.releaseAtDeadline(p)
	} else {
		r.x.releaseNow(failed || isFailureStatus(r.Status))
	}
	_ = r.resp.Body.Close()
}

// isFailureStatus reports whether a response with the status counts as an endpoint failure.
func isFailureStatus(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// Trailer returns the trailers after Read has returned io.EOF.
func (r *Response) Trailer() http.Header {
	StripHopByHop(r.resp.Trailer)
	if r.x.grant != nil {
		StripInternalHeaders(r.resp.Trailer)
	}
	return r.resp.Trailer
}

// Close ends the exchange. The remainder of an endpoint response is read first, because its
// slot and unit stay in use as long as the endpoint is working; an incomplete response of a
// peer is aborted.
func (r *Response) Close() {
	if r.ended {
		return
	}
	if r.x.grant == nil {
		r.finish(true, nil)
		return
	}
	_, _ = io.Copy(io.Discard, readerOnly{r})
}

type readerOnly struct{ io.Reader }
