package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"samphirestile.example/samphirestile/internal/problem"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	// maxRequestIDBytes and maxKeyBytes limit values that daemons store and log.
	maxRequestIDBytes = 128
	maxKeyBytes       = 255
	// maxDeadline limits the queueing time that a client may request.
	maxDeadline = time.Hour
)

// directives holds the request headers that control the processing by daemons.
type directives struct {
	idempotent bool
	urgent     bool
	key        string
	// wait is the maximum queueing time; 0 means that the client sets none.
	wait time.Duration
}

func badRequest(format string, args ...any) *problem.Error {
	return problem.New(problem.CodeBadRequest, http.StatusBadRequest, format, args...)
}

// readDirectives validates and parses the control headers of a request.
func readDirectives(r *http.Request) (directives, *problem.Error) {
	d := directives{idempotent: r.Method != http.MethodPost && r.Method != http.MethodPatch}
	if p := checkMethod(r); p != nil {
		return d, p
	}
	value, p := singleValue(r.Header, problem.HeaderIdempotent)
	if p != nil {
		return d, p
	}
	switch value {
	case "":
	case "true", "false":
		d.idempotent = value == "true"
	default:
		return d, badRequest("%s must be true or false", problem.HeaderIdempotent)
	}
	if value, p = singleValue(r.Header, problem.HeaderPriority); p != nil {
		return d, p
	}
	if value != "" && value != "urgent" {
		return d, badRequest("%s must be urgent or absent", problem.HeaderPriority)
	}
	d.urgent = value == "urgent"
	if d.wait, p = readWait(r.Header); p != nil {
		return d, p
	}
	if d.key, p = singleValue(r.Header, headerIdempotencyKey); p != nil {
		return d, p
	}
	if len(d.key) > maxKeyBytes || !printable(d.key) {
		return d, badRequest("%s must have at most %d printable characters", headerIdempotencyKey, maxKeyBytes)
	}
	return d, nil
}

func checkMethod(r *http.Request) *problem.Error {
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return problem.New(problem.CodeBadRequest, http.StatusNotImplemented, "the method %s is not supported", r.Method)
	}
	if httpguts.HeaderValuesContainsToken(r.Header["Connection"], "upgrade") && r.Header.Get("Upgrade") != "" {
		return problem.New(problem.CodeBadRequest, http.StatusNotImplemented, "protocol upgrades are not supported")
	}
	return nil
}

func readWait(h http.Header) (time.Duration, *problem.Error) {
	value, p := singleValue(h, problem.HeaderDeadline)
	if p != nil || value == "" {
		return 0, p
	}
	n, err := strconv.ParseUint(value, 10, 32)
	wait := time.Duration(n) * time.Millisecond
	if err != nil || n == 0 || wait > maxDeadline {
		return 0, badRequest("%s must be a number from 1 to %d", problem.HeaderDeadline, maxDeadline.Milliseconds())
	}
	return wait, nil
}

// singleValue returns the value of a header that must not be repeated, or "" when it is
// absent.
func singleValue(h http.Header, name string) (string, *problem.Error) {
	values := h[name]
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 || values[0] == "" {
		return "", badRequest("%s must have one value", name)
	}
	return values[0], nil
}

func printable(s string) bool {
	return strings.IndexFunc(s, func(c rune) bool { return c < ' ' || c > '~' }) < 0
}

// readRequestID returns the request ID set by the client, or "" when there is none.
func readRequestID(h http.Header) (string, *problem.Error) {
	id, p := singleValue(h, problem.HeaderRequestID)
	if p != nil {
		return "", p
	}
	if len(id) > maxRequestIDBytes || !printable(id) || strings.Contains(id, " ") {
		return "", badRequest("%s must have at most %d printable characters without spaces", problem.HeaderRequestID, maxRequestIDBytes)
	}
	return id, nil
}
