// Package problem defines the typed failures of the request path and their
// machine-readable form, a problem body according to RFC 9457.
package problem

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome tells whether a failed request may have been executed.
type Outcome string

// Outcomes of a request that received no response from an endpoint.
const (
	// NotRun means that no endpoint started the request.
	NotRun Outcome = "not-run"
	// Unknown means that an endpoint may have run the request, partly or completely.
	Unknown Outcome = "unknown"
)

// Headers of the request path.
const (
	HeaderOutcome    = "Samphirestile-Outcome"
	HeaderReroute    = "Samphirestile-Reroute"
	HeaderRequestID  = "X-Request-Id"
	HeaderIdempotent = "Samphirestile-Idempotent"
	HeaderPriority   = "Samphirestile-Priority"
	HeaderDeadline   = "Samphirestile-Deadline-Ms"
	HeaderLoad       = "Samphirestile-Load"
)

// ContentType is the media type of a problem body.
const ContentType = "application/problem+json"

// Code identifies a class of failure; clients may rely on it.
type Code string

// Codes of the request path.
const (
	CodeServiceNotFound    Code = "service_not_found"
	CodeKeyMissing         Code = "key_missing"
	CodeKeyRejected        Code = "key_rejected"
	CodeBadRequest         Code = "bad_request"
	CodeBodyTooLarge       Code = "body_too_large"
	CodeSlowSender         Code = "slow_sender"
	CodeOverShare          Code = "over_share"
	CodeOverloaded         Code = "overloaded"
	CodeOverLimit          Code = "over_limit"
	CodeDeadlineExceeded   Code = "deadline_exceeded"
	CodeNoEndpoint         Code = "no_endpoint"
	CodeNotOwner           Code = "not_owner"
	CodeRightLapsed        Code = "right_lapsed"
	CodeNotReady           Code = "not_ready"
	CodeConnectFailed      Code = "connect_failed"
	CodeAnswerLost         Code = "answer_lost"
	CodeRunTimeExceeded    Code = "run_time_exceeded"
	CodeAnswerMismatched   Code = "answer_mismatched"
	CodeDuplicateRequest   Code = "duplicate_request"
	CodeIdempotencyUnknown Code = "idempotency_unknown"
	CodeCallerGone         Code = "caller_gone"
	CodeInternal           Code = "internal"
)

// Error is a failure of a request.
type Error struct {
	Code    Code
	Status  int
	Outcome Outcome
	Detail  string
	// RetryAfter is the delay after which the caller should retry; 0 means unspecified.
	RetryAfter time.Duration
	// Reroute requests that the entry daemon choose another owner.
	Reroute bool
	Cause   error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Code, e.Detail, e.Cause)
	}
	return fmt.Sprintf("%s: %s", e.Code, e.Detail)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// New returns a failure of a request that did not run.
func New(code Code, status int, format string, args ...any) *Error {
	return &Error{Code: code, Status: status, Outcome: NotRun, Detail: fmt.Sprintf(format, args...)}
}

// NewUnknown returns a failure of a request that may have run.
func NewUnknown(code Code, status int, cause error, format string, args ...any) *Error {
	return &Error{Code: code, Status: status, Outcome: Unknown, Detail: fmt.Sprintf(format, args...), Cause: cause}
}

// WithRetryAfter returns a copy that advises the caller to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// From converts err to *Error. An error of another type becomes an internal failure with
// an unknown outcome.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return NewUnknown(CodeInternal, http.StatusInternalServerError, err, "internal failure")
}

// Body is the JSON form of an Error.
type Body struct {
	Type      string  `json:"type"`
	Title     string  `json:"title"`
	Status    int     `json:"status"`
	Detail    string  `json:"detail"`
	Code      Code    `json:"code"`
	Outcome   Outcome `json:"outcome"`
	RequestID string  `json:"request_id,omitempty"`
}

// Write sends e as the response. It must be called before the response header is sent.
func Write(w http.ResponseWriter, e *Error, requestID string) {
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set(HeaderOutcome, string(e.Outcome))
	if requestID != "" {
		h.Set(HeaderRequestID, requestID)
	}
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	if e.Reroute {
		h.Set(HeaderReroute, "1")
	}
	w.WriteHeader(e.Status)
	// A failed write means that the client has disconnected, so the error is ignored.
	_ = json.NewEncoder(w).Encode(Body{
		Type:      "urn:samphirestile:problem:" + string(e.Code),
		Title:     http.StatusText(e.Status),
		Status:    e.Status,
		Detail:    e.Detail,
		Code:      e.Code,
		Outcome:   e.Outcome,
		RequestID: requestID,
	})
}
