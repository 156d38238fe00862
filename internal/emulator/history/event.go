// Package history defines the events that emulators and load generators record, and
// single-pass checkers of the guarantees over them.
package history

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"time"

	"golang.org/x/sys/unix"
)

// Kind is the kind of an event.
type Kind string

// Kinds of events.
const (
	// KindStart is the arrival of a request at an endpoint.
	KindStart Kind = "start"
	// KindEnd is the completion of a request at an endpoint.
	KindEnd Kind = "end"
	// KindStopped reports that the process of an endpoint ended, and with it all its requests.
	KindStopped Kind = "stopped"
	// KindSend is recorded just before a caller sends a request.
	KindSend Kind = "send"
	// KindResult is the result of a request as its caller received it.
	KindResult Kind = "result"
	// KindLimit reports that the upper limit of a team was changed.
	KindLimit Kind = "limit"
	// KindRevoked reports that a key was revoked.
	KindRevoked Kind = "revoked"
	// KindLeaving reports that an endpoint was marked as leaving.
	KindLeaving Kind = "leaving"
)

// Event is one recorded event. Only the fields of its kind are set.
type Event struct {
	// TimeNS is the system-wide monotonic clock in nanoseconds, which makes events of
	// several processes on one machine comparable.
	TimeNS    int64     `json:"t_ns"`
	Wall      time.Time `json:"wall"`
	Kind      Kind      `json:"kind"`
	RequestID string    `json:"request_id,omitempty"`
	// Op identifies one request of a load generator; it reaches the endpoint in
	// the query parameter "op".
	Op       string `json:"op,omitempty"`
	Team     string `json:"team,omitempty"`
	KeyID    string `json:"key_id,omitempty"`
	Service  string `json:"service,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	Path     string `json:"path,omitempty"`
	Target   string `json:"target,omitempty"`
	Status   int    `json:"status,omitempty"`
	Outcome  string `json:"outcome,omitempty"`
	// Code is the code of the problem body.
	Code         string `json:"code,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	LatencyNS    int64  `json:"latency_ns,omitempty"`
	// NonIdempotent marks a request that may run at most once.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	Urgent        bool `json:"urgent,omitempty"`
	// Whole reports that the caller received the complete and correct body.
	Whole bool `json:"whole,omitempty"`
	// Cancelled reports that the caller cancelled the request before its response.
	Cancelled bool   `json:"cancelled,omitempty"`
	Error     string `json:"error,omitempty"`
	// Mismatched reports a response that was modified or belongs to another request.
	Mismatched bool `json:"mismatched,omitempty"`
	Limit      int  `json:"limit,omitempty"`
	// CallerGone reports that the caller had disconnected when the request completed.
	CallerGone bool `json:"caller_gone,omitempty"`
}

// Now returns the system-wide monotonic clock in nanoseconds.
func Now() int64 {
	var ts unix.Timespec
	// CLOCK_MONOTONIC exists on all supported systems, so the call cannot fail.
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts)
	return ts.Nano()
}

// Stamp returns e with the current time in TimeNS and Wall.
func Stamp(e Event) Event {
	e.TimeNS = Now()
	e.Wall = time.Now().UTC()
	return e
}

// MalformedEventError reports a line that cannot be read as an event.
type MalformedEventError struct {
	Line  int
	Cause error
}

func (e *MalformedEventError) Error() string {
	return fmt.Sprintf("history: malformed event in line %d: %v", e.Line, e.Cause)
}

// Unwrap returns the cause.
func (e *MalformedEventError) Unwrap() error { return e.Cause }

// readBufferBytes is the size of the buffer from which event lines are read.
const readBufferBytes = 1 << 20

// Read reads JSON lines. A last line without newline is dropped, because a
// killed process may have left it incomplete.
func Read(r io.Reader) ([]Event, error) {
	br := bufio.NewReaderSize(r, readBufferBytes)
	var events []Event
	for n := 1; ; n++ {
		line, err := br.ReadBytes('\n')
		if err == io.EOF {
			return events, nil
		}
		if err != nil {
			return events, &MalformedEventError{Line: n, Cause: err}
		}
		var e Event
		if err := json.Unmarshal(line, &e); err != nil {
			return events, &MalformedEventError{Line: n, Cause: err}
		}
		events = append(events, e)
	}
}

// Merge returns the events of all lists in time order.
func Merge(lists ...[]Event) []Event {
	var all []Event
	for _, l := range lists {
		all = append(all, l...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].TimeNS < all[j].TimeNS })
	return all
}
