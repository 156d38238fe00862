package endpoint

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"samphirestile.example/samphirestile/internal/emulator/history"
)

// exchange is one request that the endpoint handles.
type exchange struct {
	endpoint     *Endpoint
	w            http.ResponseWriter
	r            *http.Request
	settings     Settings
	faults       Faults
	serviceTime  time.Duration
	overCapacity bool
	event        history.Event
	ended        bool
	hash         hash.Hash
	bodyBytes    int64
}

// Reply is the body of a normal response.
type Reply struct {
	RequestID string `json:"request_id"`
	Op        string `json:"op"`
	Endpoint  string `json:"endpoint"`
	Path      string `json:"path"`
	BodyBytes int64  `json:"body_bytes"`
	// BodySHA256 is the hex hash of the request body.
	BodySHA256 string `json:"body_sha256"`
	// Padding lengthens the body, so that CloseMidBody cuts inside it.
	Padding string `json:"padding"`
}

const paddingBytes = 256

// end records the completion of the request, once.
func (x *exchange) end() {
	if x.ended {
		return
	}
	x.ended = true
	e := x.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	x.event.Kind = history.KindEnd
	x.event.CallerGone = x.r.Context().Err() != nil
	e.recorder.Add(x.event)
}

func (x *exchange) run() {
	ctx := x.r.Context()
	if x.faults.KeepWorking {
		ctx = context.WithoutCancel(ctx)
	}
	if status := x.failStatus(); status != 0 {
		x.respond(status)
		return
	}
	if x.overCapacity {
		x.respond(http.StatusServiceUnavailable)
		return
	}
	if x.r.URL.Query().Has("echo") {
		x.echo()
		return
	}
	x.hash = sha256.New()
	n, err := io.Copy(x.hash, x.r.Body)
	x.bodyBytes = n
	if err != nil && !x.faults.KeepWorking {
		x.abort()
	}
	if err := x.work(ctx); err != nil {
		x.abort()
	}
	x.finish()
}

// failStatus returns the status of the fault FailStatus if it applies to the request, else 0.
func (x *exchange) failStatus() int {
	if x.faults.FailStatus == 0 || len(x.faults.FailPaths) == 0 {
		return x.faults.FailStatus
	}
	matches := func(prefix string) bool { return strings.HasPrefix(x.r.URL.Path, prefix) }
	if slices.ContainsFunc(x.faults.FailPaths, matches) {
		return x.faults.FailStatus
	}
	return 0
}

// work waits until the fault Hang is off, for capacity, for the service time and for the
// delay of the header.
func (x *exchange) work(ctx context.Context) error {
	if err := x.endpoint.waitWhileHanging(ctx); err != nil {
		return err
	}
	if err := x.endpoint.queue.enter(ctx); err != nil {
		return err
	}
	defer x.endpoint.queue.leave()
	if err := x.endpoint.cpu.work(ctx, x.serviceTime); err != nil {
		return err
	}
	return sleep(ctx, time.Duration(x.faults.DelayHeaderMS)*time.Millisecond)
}

// abort closes the connection without a complete response. It panics with
// http.ErrAbortHandler and does not return.
func (x *exchange) abort() {
	x.end()
	panic(http.ErrAbortHandler)
}

// finish sends the response after the work is done.
func (x *exchange) finish() {
	if x.faults.CloseBeforeResponse {
		x.abort()
	}
	if n, err := strconv.ParseInt(x.r.URL.Query().Get("size"), 10, 64); err == nil {
		x.sendPattern(n)
		return
	}
	x.respond(http.StatusOK)
}

func (x *exchange) setHeaders() {
	id := x.event.RequestID
	if x.faults.WrongRequestID {
		id = "wrong-" + id
	}
	x.w.Header().Set("X-Request-Id", id)
	if x.hash != nil {
		x.w.Header().Set(HeaderBodyHash, hex.EncodeToString(x.hash.Sum(nil)))
	}
}

// respond sends a small JSON body.
func (x *exchange) respond(status int) {
	reply := Reply{
		RequestID: x.event.RequestID,
		Op:        x.event.Op,
		Endpoint:  x.settings.Name,
		Path:      x.event.Path,
		BodyBytes: x.bodyBytes,
		Padding:   strings.Repeat("x", paddingBytes),
	}
	if x.hash != nil {
		reply.BodySHA256 = hex.EncodeToString(x.hash.Sum(nil))
	}
	body, err := json.Marshal(reply)
	if err != nil {
		x.abort()
	}
	x.setHeaders()
	x.w.Header().Set("Content-Type", "application/json")
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.event.Status = status
	x.w.WriteHeader(status)
	if x.faults.CloseMidBody {
		_, _ = x.w.Write(body[:len(body)/2])
		_ = http.NewResponseController(x.w).Flush()
		x.abort()
	}
	x.end()
	_, _ = x.w.Write(body)
}

// sendPattern sends n bytes that are determined by the op of the request. The response has
// no Content-Length, so its last chunk is sent only after the completion is recorded.
func (x *exchange) sendPattern(n int64) {
	x.setHeaders()
	x.event.Status = http.StatusOK
	if x.faults.CloseMidBody {
		n /= 2
	}
	_, err := io.Copy(x.w, NewPattern(x.event.Op, n))
	if err != nil || x.faults.CloseMidBody {
		_ = http.NewResponseController(x.w).Flush()
		x.abort()
	}
}

// echo streams the request body back without buffering all of it.
func (x *exchange) echo() {
	x.setHeaders()
	x.event.Status = http.StatusOK
	// Without full duplex, the server would read the rest of the request body before it
	// sends the response.
	_ = http.NewResponseController(x.w).EnableFullDuplex()
	if _, err := io.Copy(x.w, x.r.Body); err != nil {
		x.abort()
	}
}
