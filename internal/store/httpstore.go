package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
)

// Defaults of HTTPConfig.
const (
	// DefaultTimeout bounds one call when the context has no earlier deadline.
	DefaultTimeout = 2 * time.Second
	// DefaultDialTimeout bounds the connection setup.
	DefaultDialTimeout = time.Second
	// DefaultMaxResponseBytes bounds one response; a list may contain many values.
	DefaultMaxResponseBytes = 64 << 20
	// idleConnTimeout is shorter than that of typical servers, so that few writes use a
	// connection that the server is closing.
	idleConnTimeout = 20 * time.Second
	maxConnsPerHost = 64
	// maxFaultBytes bounds the body of a failed call.
	maxFaultBytes = 64 << 10
)

// HTTPConfig configures an HTTPStore.
type HTTPConfig struct {
	// URL is the base URL of the platform, such as http://192.0.2.1:7000.
	URL string
	// Timeout, DialTimeout and MaxResponseBytes are replaced by their defaults if 0.
	Timeout          time.Duration
	DialTimeout      time.Duration
	MaxResponseBytes int64
}

// URLError reports an invalid platform URL.
type URLError struct {
	URL   string
	Cause error
}

func (e *URLError) Error() string {
	return fmt.Sprintf("platform URL %q: %v: want http://IP:port", e.URL, e.Cause)
}

// Unwrap returns the cause.
func (e *URLError) Unwrap() error { return e.Cause }

// HTTPStore implements Store and HostLister over HTTP. A call is sent at most once. A write
// that failed before a connection was established is reported as *UnavailableError, a
// write that failed later as *UnknownOutcomeError.
type HTTPStore struct {
	base             string
	timeout          time.Duration
	maxResponseBytes int64
	client           *http.Client

	mu       sync.Mutex
	hosts    []fleet.Host
	hostsTag string
}

var (
	_ Store      = (*HTTPStore)(nil)
	_ HostLister = (*HTTPStore)(nil)
)

var errNoHTTPAddress = errors.New("scheme is not http or host is missing")

// NewHTTP returns an HTTPStore; it opens no connection before the first call.
func NewHTTP(c HTTPConfig) (*HTTPStore, error) {
	u, err := url.Parse(c.URL)
	if err != nil {
		return nil, &URLError{URL: c.URL, Cause: err}
	}
	if u.Scheme != "http" || u.Host == "" {
		return nil, &URLError{URL: c.URL, Cause: errNoHTTPAddress}
	}
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.DialTimeout == 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	if c.MaxResponseBytes == 0 {
		c.MaxResponseBytes = DefaultMaxResponseBytes
	}
	return &HTTPStore{
		base:             u.Scheme + "://" + u.Host,
		timeout:          c.Timeout,
		maxResponseBytes: c.MaxResponseBytes,
		client: &http.Client{
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{Timeout: c.DialTimeout}).DialContext,
				MaxIdleConnsPerHost: maxConnsPerHost,
				MaxConnsPerHost:     maxConnsPerHost,
				IdleConnTimeout:     idleConnTimeout,
				DisableCompression:  true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}, nil
}

// Close closes idle connections.
func (s *HTTPStore) Close() { s.client.CloseIdleConnections() }

// Get implements Store.
func (s *HTTPStore) Get(ctx context.Context, key string) (Entry, error) {
	var r KVRecord
	if err := s.read(ctx, s.timeout, PathGet, key, GetRequest{Key: []byte(key)}, &r); err != nil {
		return Entry{}, err
	}
	return entry(r), nil
}

// List implements Store.
func (s *HTTPStore) List(ctx context.Context, prefix string) ([]Entry, uint64, error) {
	var r ListReply
	if err := s.read(ctx, s.timeout, PathList, prefix, ListRequest{Prefix: []byte(prefix)}, &r); err != nil {
		return nil, 0, err
	}
	entries := make([]Entry, len(r.Records))
	for i, rec := range r.Records {
		entries[i] = entry(rec)
	}
	return entries, r.Revision, nil
}

// Put implements Store.
func (s *HTTPStore) Put(ctx context.Context, key string, value []byte, expect uint64, lease LeaseID) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, &TooLargeError{Key: key, Field: "value", Bytes: len(value), Limit: MaxValueBytes}
	}
	if len(key) > MaxKeyBytes {
		return 0, &TooLargeError{Key: key, Field: "key", Bytes: len(key), Limit: MaxKeyBytes}
	}
	var r VersionReply
	req := PutRequest{Key: []byte(key), Value: value, Expect: expect, Lease: uint64(lease)}
	if err := s.write(ctx, PathPut, key, expect, req, &r); err != nil {
		return 0, err
	}
	return r.Version, nil
}

// Delete implements Store.
func (s *HTTPStore) Delete(ctx context.Context, key string, expect uint64) error {
	return s.write(ctx, PathDelete, key, expect, DeleteRequest{Key: []byte(key), Expect: expect}, &VersionReply{})
}

// Watch implements Store.
func (s *HTTPStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error) {
	var r WatchReply
	req := WatchRequest{Prefix: []byte(prefix), After: after, WaitMS: wait.Milliseconds()}
	if err := s.read(ctx, wait+s.timeout, PathWatch, prefix, req, &r); err != nil {
		var compacted *CompactedError
		if errors.As(err, &compacted) {
			compacted.After = after
		}
		return nil, 0, err
	}
	events := make([]Event, len(r.Events))
	for i, rec := range r.Events {
		events[i] = Event{Entry: entry(rec), Deleted: rec.Deleted}
	}
	return events, r.Revision, nil
}

// Grant implements Store. If the response is lost, the new lease expires without renewal.
func (s *HTTPStore) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var r GrantReply
	if err := s.write(ctx, PathGrant, "lease", 0, GrantRequest{TTLMS: ttl.Milliseconds()}, &r); err != nil {
		return 0, err
	}
	return LeaseID(r.Lease), nil
}

// KeepAlive implements Store.
func (s *HTTPStore) KeepAlive(ctx context.Context, id LeaseID) error {
	return s.write(ctx, PathRenew, fmt.Sprintf("lease %d", id), 0, RenewRequest{Lease: uint64(id)}, &Empty{})
}

// Drain asks the platform to drain a host.
func (s *HTTPStore) Drain(ctx context.Context, host fleet.HostID) error {
	return s.write(ctx, PathDrain, string(host), 0, HostRequest{Host: host}, &Empty{})
}

// Reboot asks the platform to reboot a host.
func (s *HTTPStore) Reboot(ctx context.Context, host fleet.HostID) error {
	return s.write(ctx, PathReboot, string(host), 0, HostRequest{Host: host}, &Empty{})
}

// Hosts implements HostLister. An unchanged list is not transferred again. The result is
// shared between callers and must not be modified.
func (s *HTTPStore) Hosts(ctx context.Context) ([]fleet.Host, error) {
	s.mu.Lock()
	cached, tag := s.hosts, s.hostsTag
	s.mu.Unlock()
	resp, err := s.call(ctx, s.timeout, PathHosts, tag, Empty{})
	if err != nil {
		return nil, &UnavailableError{Cause: err}
	}
	if resp.status == http.StatusNotModified {
		return cached, nil
	}
	var r HostsReply
	if err := resp.decode(&r); err != nil {
		return nil, readError("hosts", err)
	}
	s.mu.Lock()
	s.hosts, s.hostsTag = r.Hosts, resp.tag
	s.mu.Unlock()
	return r.Hosts, nil
}

func entry(r KVRecord) Entry { return Entry{Key: string(r.Key), Value: r.Value, Version: r.Version} }

// read performs a read-only call: every failure of the exchange is reported as
// *UnavailableError.
func (s *HTTPStore) read(ctx context.Context, timeout time.Duration, path, key string, request, reply any) error {
	resp, err := s.call(ctx, timeout, path, "", request)
	if err != nil {
		return &UnavailableError{Cause: err}
	}
	if err := resp.decode(reply); err != nil {
		return readError(key, err)
	}
	return nil
}

func readError(key string, err error) error {
	var fault *faultError
	if !errors.As(err, &fault) {
		return &UnavailableError{Cause: err}
	}
	return fault.storeError(key, 0)
}

// write performs a call that modifies data.
func (s *HTTPStore) write(ctx context.Context, path, key string, expect uint64, request, reply any) error {
	resp, err := s.call(ctx, s.timeout, path, "", request)
	if err != nil {
		var notSent *notSentError
		if errors.As(err, &notSent) {
			return &UnavailableError{Cause: notSent.cause}
		}
		return &UnknownOutcomeError{Key: key, Cause: err}
	}
	if err := resp.decode(reply); err != nil {
		var fault *faultError
		if errors.As(err, &fault) {
			return fault.storeError(key, expect)
		}
		return &UnknownOutcomeError{Key: key, Cause: err}
	}
	return nil
}

// notSentError reports an exchange that failed before a connection was established.
type notSentError struct{ cause error }

func (e *notSentError) Error() string { return e.cause.Error() }
func (e *notSentError) Unwrap() error { return e.cause }

// faultError is a failure without effect that the platform reported.
type faultError struct {
	status int
	fault  Fault
}

func (e *faultError) Error() string {
	return fmt.Sprintf("status %d %s: %s", e.status, e.fault.Code, e.fault.Detail)
}

func (e *faultError) storeError(key string, expect uint64) error {
	switch e.fault.Code {
	case FaultNotFound:
		return &NotFoundError{Key: key}
	case FaultConflict:
		return &ConflictError{Key: key, Expect: expect, Current: e.fault.Current}
	case FaultCompacted:
		return &CompactedError{}
	case FaultUnavailable:
		return &UnavailableError{Cause: e}
	default:
		return &RejectedError{Status: e.status, Code: e.fault.Code, Detail: e.fault.Detail}
	}
}

// response is a completely received HTTP response.
type response struct {
	status int
	tag    string
	body   []byte
}

// faultStatus maps each status of a failure without effect to the only fault code that
// is valid with it.
var faultStatus = map[int]string{
	http.StatusNotFound:              FaultNotFound,
	http.StatusConflict:              FaultConflict,
	http.StatusGone:                  FaultCompacted,
	http.StatusBadRequest:            FaultBadRequest,
	http.StatusRequestEntityTooLarge: FaultTooLarge,
	http.StatusServiceUnavailable:    FaultUnavailable,
}

func (r *response) decode(into any) error {
	if r.status == http.StatusOK {
		if err := json.Unmarshal(r.body, into); err != nil {
			return &ResponseError{Status: r.status, Cause: err}
		}
		return nil
	}
	code, defined := faultStatus[r.status]
	if !defined {
		return &StatusError{Status: r.status}
	}
	var f Fault
	if err := json.Unmarshal(r.body, &f); err != nil {
		return &ResponseError{Status: r.status, Cause: err}
	}
	// A status without its code does not come from the platform but, for example, from a
	// proxy that may have forwarded the call.
	if f.Code != code {
		return &StatusError{Status: r.status}
	}
	return &faultError{status: r.status, fault: f}
}

// onlyReader hides the concrete type of a body from net/http, which then does not set
// GetBody and cannot resend the request on its own.
type onlyReader struct{ io.Reader }

func (s *HTTPStore) call(ctx context.Context, timeout time.Duration, path, tag string, message any) (*response, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, &notSentError{cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, s.base+path, onlyReader{bytes.NewReader(body)})
	if err != nil {
		return nil, &notSentError{cause: err}
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		if !connected.Load() {
			return nil, &notSentError{cause: err}
		}
		return nil, err
	}
	defer resp.Body.Close()
	limit := s.maxResponseBytes
	if resp.StatusCode != http.StatusOK {
		limit = maxFaultBytes
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, &ResponseError{Status: resp.StatusCode, Cause: err}
	}
	if int64(len(data)) > limit {
		return nil, &ResponseError{Status: resp.StatusCode, Cause: errResponseTooLarge}
	}
	return &response{status: resp.StatusCode, tag: resp.Header.Get("ETag"), body: data}, nil
}

var errResponseTooLarge = errors.New("response exceeds the size limit")
