package forward

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"samphirestile.example/samphirestile/internal/dispatch"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/problem"
	"samphirestile.example/samphirestile/internal/upstream"
)

// PathPrefix is the path prefix of forwarded requests on the peer listener.
const PathPrefix = "/forward/"

// Headers of the peer hop. The entry daemon removes them from client requests and the
// owner from endpoint responses, so that only daemons can set them.
const (
	headerTeam      = "Samphirestile-Team"
	headerHops      = "Samphirestile-Hops"
	headerSignature = "Samphirestile-Signature"
	headerAvoid     = "Samphirestile-Avoid"
	headerFinal     = "Samphirestile-Final"
	headerEndpoint  = "Samphirestile-Endpoint"
	// headerAnsweredBy is set on every response of an owner. A response without it does not
	// come from the handler of a daemon, and its outcome is unknown.
	headerAnsweredBy = "Samphirestile-Answered-By"
)

const (
	answeredByEndpoint = "endpoint"
	answeredByDaemon   = "daemon"

	priorityUrgent = "urgent"
	// maxHops limits forwarding: an owner never forwards a request to another daemon.
	maxHops = 1
	// maxProblemBytes limits the problem body that is read from an owner.
	maxProblemBytes = 64 << 10
	// maxLoadValue is the largest number accepted in a load header.
	maxLoadValue = 1 << 20
)

// LoadFormatError reports a malformed load header.
type LoadFormatError struct{ Value string }

func (e *LoadFormatError) Error() string { return fmt.Sprintf("malformed load header %q", e.Value) }

// FormatLoad returns the value of the load header. team is the load of the request's team;
// nil means that it is not known.
func FormatLoad(l dispatch.Load, team *TeamLoad) string {
	value := fmt.Sprintf("slots=%d, running=%d, queued=%d", l.Slots, l.Running, l.Queued)
	if team != nil {
		value += fmt.Sprintf(", units=%d, load=%d", max(team.Units, 0), max(team.Load, 0))
	}
	return value
}

// ParseLoad parses a load header. Unknown names are ignored for compatibility with later
// versions.
func ParseLoad(value string) (l dispatch.Load, team *TeamLoad, err error) {
	const slots, running, queued, all = 1, 2, 4, 1 | 2 | 4
	const units, load, allOfTeam = 8, 16, 8 | 16
	var t TeamLoad
	found := 0
	for part := range strings.SplitSeq(value, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
		n, err := strconv.ParseUint(number, 10, 32)
		if err != nil || n > maxLoadValue {
			return dispatch.Load{}, nil, &LoadFormatError{value}
		}
		switch name {
		case "slots":
			l.Slots, found = int(n), found|slots
		case "running":
			l.Running, found = int(n), found|running
		case "queued":
			l.Queued, found = int(n), found|queued
		case "units":
			t.Units, found = int(n), found|units
		case "load":
			t.Load, found = int(n), found|load
		}
	}
	if found&all != all {
		return dispatch.Load{}, nil, &LoadFormatError{value}
	}
	if found&allOfTeam == allOfTeam {
		team = &t
	}
	return l, team, nil
}

// writeHopHeaders sets the headers that describe a call on a forwarded request.
func writeHopHeaders(h http.Header, c *Call, secret string, hint placementHint, now time.Time) {
	h.Set("Authorization", "Bearer "+secret)
	h.Set(headerTeam, string(c.Team))
	h.Set(problem.HeaderRequestID, c.ID)
	h.Set(problem.HeaderDeadline, strconv.FormatInt(max(c.Deadline.Sub(now).Milliseconds(), 0), 10))
	h.Set(headerHops, "1")
	h.Set(headerSignature, c.Signature)
	if c.Urgent {
		h.Set(problem.HeaderPriority, priorityUrgent)
	}
	if hint.final {
		h.Set(headerFinal, "1")
	}
	if len(hint.avoid) > 0 {
		ids := make([]string, len(hint.avoid))
		for i, id := range hint.avoid {
			ids[i] = string(id)
		}
		h.Set(headerAvoid, strings.Join(ids, ","))
	}
}

// readHopHeaders parses the headers set by writeHopHeaders.
func readHopHeaders(h http.Header, service fleet.ServiceID, now time.Time) (dispatch.Request, *problem.Error) {
	hops, err := strconv.ParseUint(h.Get(headerHops), 10, 8)
	if err != nil || hops > maxHops {
		return dispatch.Request{}, problem.New(problem.CodeBadRequest, http.StatusLoopDetected, "forwarded request with hop count %q", h.Get(headerHops))
	}
	left, err := strconv.ParseUint(h.Get(problem.HeaderDeadline), 10, 31)
	if err != nil {
		return dispatch.Request{}, problem.New(problem.CodeBadRequest, http.StatusBadRequest, "forwarded request without a deadline")
	}
	r := dispatch.Request{
		ID: h.Get(problem.HeaderRequestID), Service: service, Team: fleet.TeamID(h.Get(headerTeam)),
		Urgent:    h.Get(problem.HeaderPriority) == priorityUrgent,
		Deadline:  now.Add(time.Duration(left) * time.Millisecond),
		Signature: h.Get(headerSignature),
		NoReroute: h.Get(headerFinal) != "",
	}
	if r.ID == "" || r.Team == "" {
		return dispatch.Request{}, problem.New(problem.CodeBadRequest, http.StatusBadRequest, "forwarded request without team or request ID")
	}
	if v := h.Get(headerAvoid); v != "" {
		for id := range strings.SplitSeq(v, ",") {
			r.Avoid = append(r.Avoid, fleet.EndpointID(id))
		}
	}
	return r, nil
}

// readProblem converts an error response generated by the owner itself into a problem.
func readProblem(resp *upstream.Response) *problem.Error {
	p := &problem.Error{Status: resp.Status, Outcome: problem.Unknown, Code: problem.CodeInternal, Detail: "the owner failed"}
	if resp.Header.Get(problem.HeaderOutcome) == string(problem.NotRun) {
		p.Outcome = problem.NotRun
	}
	if s, err := strconv.ParseUint(resp.Header.Get("Retry-After"), 10, 20); err == nil {
		p.RetryAfter = time.Duration(s) * time.Second
	}
	p.Reroute = resp.Header.Get(problem.HeaderReroute) != ""
	data, err := io.ReadAll(io.LimitReader(resp, maxProblemBytes))
	if err != nil {
		return p
	}
	var b problem.Body
	if json.Unmarshal(data, &b) == nil && b.Code != "" {
		p.Code, p.Detail = b.Code, b.Detail
	}
	return p
}
