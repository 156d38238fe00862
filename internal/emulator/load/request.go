package load

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"samphirestile.example/samphirestile/internal/emulator/endpoint"
	"samphirestile.example/samphirestile/internal/emulator/history"
	"samphirestile.example/samphirestile/internal/problem"
)

// request is one request of a caller.
type request struct {
	op          string // identifies the request: <caller name>-<seed>-<number>
	target      string
	urgent      bool
	cancelAfter time.Duration // 0 means never
}

func (s *sender) nextRequest() request {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number++
	s.result.Sent++
	r := request{
		op:     fmt.Sprintf("%s-%d-%d", s.caller.Name, s.plan.Seed, s.number),
		target: s.caller.pick(s.rnd),
		urgent: s.rnd.Float64() < s.caller.UrgentShare,
	}
	if s.rnd.Float64() < s.caller.CancelShare {
		mean := s.caller.CancelAfterMS * float64(time.Millisecond)
		r.cancelAfter = max(time.Duration(s.rnd.ExpFloat64()*mean), 1)
	}
	return r
}

// send sends one request, records its result, and reports whether it got a complete
// response from an endpoint.
func (s *sender) send(ctx context.Context) bool {
	r := s.nextRequest()
	timeout := time.Duration(s.caller.TimeoutMS) * time.Millisecond
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	if r.cancelAfter > 0 {
		timeout = r.cancelAfter
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	event := history.Event{
		Kind: history.KindSend, RequestID: r.op, Op: r.op, Team: s.caller.Team, KeyID: s.caller.KeyID,
		Service: s.caller.Service, Target: r.target, NonIdempotent: s.caller.NonIdempotent, Urgent: r.urgent,
	}
	begin := s.recorder.Add(event)
	event.Kind = history.KindResult
	if err := s.exchange(ctx, r, &event); err != nil {
		event.Error = err.Error()
		event.Cancelled = r.cancelAfter > 0 && ctx.Err() != nil
		event.Mismatched = isMismatch(err)
	}
	event.LatencyNS = history.Now() - begin.TimeNS
	s.recorder.Add(event)
	s.classify(event)
	return event.Outcome == "" && event.Error == ""
}

// classify counts the result of a request in its class.
func (s *sender) classify(e history.Event) {
	s.updateResult(func(r *Result) {
		switch {
		case e.Cancelled:
			r.Cancelled++
		case e.Error != "":
			r.Broken++
		case e.Outcome == string(problem.NotRun):
			r.Refused++
		case e.Outcome != "":
			r.Unknown++
		case e.Status >= http.StatusBadRequest:
			r.Failed++
		default:
			r.Answered++
			// Timeouts keep latencies within the range of the histogram.
			_ = r.Latency.RecordValue(e.LatencyNS / int64(time.Microsecond))
		}
	})
}

// body hides the type of the reader from net/http. Without GetBody, which net/http sets
// for known types, the client never retries a request and each op is sent once.
type body struct{ io.Reader }

func (s *sender) build(ctx context.Context, r request) (*http.Request, error) {
	query := url.Values{"op": {r.op}, "team": {s.caller.Team}}
	if s.caller.ServiceMS > 0 {
		query.Set("service_ms", strconv.FormatFloat(s.caller.ServiceMS, 'f', -1, 64))
	}
	if s.caller.ResponseBytes > 0 {
		query.Set("size", strconv.FormatInt(s.caller.ResponseBytes, 10))
	}
	if s.caller.Echo {
		query.Set("echo", "1")
	}
	method := http.MethodGet
	if s.caller.NonIdempotent || s.caller.BodyBytes > 0 {
		method = http.MethodPost
	}
	address := r.target + "/" + s.caller.Service + "/" + s.caller.Path + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, method, address, body{endpoint.NewPattern(r.op, s.caller.BodyBytes)})
	if err != nil {
		return nil, err
	}
	if s.caller.BodyBytes > 0 {
		req.ContentLength = s.caller.BodyBytes
	}
	s.setHeaders(req, r)
	return req, nil
}

func (s *sender) setHeaders(req *http.Request, r request) {
	h := req.Header
	h.Set(problem.HeaderRequestID, r.op)
	if s.caller.Key != "" {
		h.Set("Authorization", "Bearer "+s.caller.Key)
	}
	if s.caller.Keyed {
		h.Set("Idempotency-Key", r.op)
	}
	if s.caller.DeadlineMS > 0 {
		h.Set(problem.HeaderDeadline, strconv.Itoa(s.caller.DeadlineMS))
	}
	if r.urgent {
		h.Set(problem.HeaderPriority, "urgent")
	}
	if !s.caller.NonIdempotent {
		h.Set(problem.HeaderIdempotent, "true")
	}
}

// exchange sends the request and sets the fields of the event from the response.
func (s *sender) exchange(ctx context.Context, r request, e *history.Event) error {
	req, err := s.build(ctx, r)
	if err != nil {
		return err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	e.Status = resp.StatusCode
	e.Outcome = resp.Header.Get(problem.HeaderOutcome)
	if sec, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		e.RetryAfterMS = int64(sec) * time.Second.Milliseconds()
	}
	if id := resp.Header.Get(problem.HeaderRequestID); id != "" && id != r.op {
		return &ForeignResponseError{Want: r.op, Got: id}
	}
	if e.Outcome != "" {
		return readProblem(resp.Body, e)
	}
	if err := s.verify(resp, r); err != nil {
		return err
	}
	e.Whole = true
	return nil
}

func readProblem(body io.Reader, e *history.Event) error {
	var p problem.Body
	if err := json.NewDecoder(body).Decode(&p); err != nil {
		return fmt.Errorf("decode the problem body of status %d: %w", e.Status, err)
	}
	e.Code = string(p.Code)
	return nil
}

// ForeignResponseError reports a response to another request.
type ForeignResponseError struct{ Want, Got string }

func (e *ForeignResponseError) Error() string {
	return fmt.Sprintf("received the response to request %q for request %q", e.Got, e.Want)
}

// AlteredBodyError reports a response body, or a request body as received by the endpoint,
// that differs from what was sent.
type AlteredBodyError struct{ Op, Detail string }

func (e *AlteredBodyError) Error() string {
	return fmt.Sprintf("body of %q modified: %s", e.Op, e.Detail)
}

func isMismatch(err error) bool {
	var foreign *ForeignResponseError
	var altered *AlteredBodyError
	return errors.As(err, &foreign) || errors.As(err, &altered)
}

// verify compares the response body with what the endpoint must have sent.
func (s *sender) verify(resp *http.Response, r request) error {
	switch {
	case resp.StatusCode >= http.StatusBadRequest:
		_, err := io.Copy(io.Discard, resp.Body)
		return err
	case s.caller.ResponseBytes > 0:
		return compare(r.op, resp.Body, s.caller.ResponseBytes)
	case s.caller.Echo:
		return compare(r.op, resp.Body, s.caller.BodyBytes)
	}
	var reply endpoint.Reply
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return fmt.Errorf("decode the response body of request %q: %w", r.op, err)
	}
	if reply.Op != r.op {
		return &ForeignResponseError{Want: r.op, Got: reply.Op}
	}
	sum := sha256.New()
	if _, err := io.Copy(sum, endpoint.NewPattern(r.op, s.caller.BodyBytes)); err != nil {
		return err
	}
	if reply.BodySHA256 != hex.EncodeToString(sum.Sum(nil)) {
		return &AlteredBodyError{Op: r.op, Detail: "the endpoint received another request body"}
	}
	return nil
}

// compareBytes is the size of the blocks in which bodies are compared.
const compareBytes = 32 << 10

// compare reads body up to EOF and compares it with the pattern of op, which has size
// bytes. An error after the last byte of the body is reported, too.
func compare(op string, body io.Reader, size int64) error {
	pattern := endpoint.NewPattern(op, size)
	got, want := make([]byte, compareBytes), make([]byte, compareBytes)
	for {
		n, err := body.Read(got)
		m, _ := io.ReadFull(pattern, want[:n])
		if !bytes.Equal(got[:n], want[:m]) {
			return &AlteredBodyError{Op: op, Detail: "the response body differs"}
		}
		size -= int64(n)
		switch {
		case errors.Is(err, io.EOF) && size != 0:
			return &AlteredBodyError{Op: op, Detail: fmt.Sprintf("%d bytes are missing", size)}
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}
