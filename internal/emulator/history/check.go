package history

import (
	"fmt"
	"time"
)

// Violation is an event that breaks a guarantee.
type Violation struct {
	Check  string
	Event  Event
	Detail string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("%s: %s (op %q, request %q, team %q, endpoint %q at %s)", v.Check, v.Detail,
		v.Event.Op, v.Event.RequestID, v.Event.Team, v.Event.Endpoint, v.Event.Wall.Format(time.RFC3339Nano))
}

// Checker observes the events of one history in time order.
type Checker interface {
	Observe(Event)
	// Violations returns the violations; it is called after the last event.
	Violations() []*Violation
}

// Check passes events, which must be in time order, to all checkers and returns
// their violations.
func Check(events []Event, checkers ...Checker) []*Violation {
	for _, e := range events {
		for _, c := range checkers {
			c.Observe(e)
		}
	}
	var all []*Violation
	for _, c := range checkers {
		all = append(all, c.Violations()...)
	}
	return all
}

// violationList collects the violations of one checker.
type violationList struct {
	name string
	list []*Violation
}

func (l *violationList) add(e Event, format string, args ...any) {
	l.list = append(l.list, &Violation{Check: l.name, Event: e, Detail: fmt.Sprintf(format, args...)})
}

// Violations implements Checker.
func (l *violationList) Violations() []*Violation { return l.list }

// identity returns what identifies the request of an event: its op, or the request ID if
// it has no op.
func identity(e Event) string {
	if e.Op != "" {
		return e.Op
	}
	return e.RequestID
}

// runningRequests counts the running requests by team and by endpoint.
type runningRequests struct {
	teams map[string]int
	// byEndpoint counts by endpoint and team, because all requests of a stopped
	// endpoint end.
	byEndpoint map[string]map[string]int
}

func newRunningRequests() runningRequests {
	return runningRequests{teams: map[string]int{}, byEndpoint: map[string]map[string]int{}}
}

func (r runningRequests) observe(e Event) {
	switch e.Kind {
	case KindStart:
		r.add(e, 1)
	case KindEnd:
		r.add(e, -1)
	case KindStopped:
		for team, n := range r.byEndpoint[e.Endpoint] {
			r.teams[team] -= n
		}
		delete(r.byEndpoint, e.Endpoint)
	}
}

func (r runningRequests) add(e Event, n int) {
	teams := r.byEndpoint[e.Endpoint]
	if teams == nil {
		teams = map[string]int{}
		r.byEndpoint[e.Endpoint] = teams
	}
	teams[e.Team] += n
	r.teams[e.Team] += n
}

// TeamLimit checks that no request starts while its team already has as many
// running requests as its upper limit.
type TeamLimit struct {
	violationList
	// Overshoot is the largest number of running requests above the limit in effect.
	Overshoot int
	// Peak is the largest number of running requests of each team.
	Peak map[string]int

	grace   time.Duration
	running runningRequests
	limits  map[string]int
	lowered map[string]loweredLimit
}

// loweredLimit is the previous limit of a team, which remains allowed until a time.
type loweredLimit struct {
	before  int
	untilNS int64
}

// NewTeamLimit returns a check with the initial limits. After a limit is lowered, the
// previous one remains allowed for grace, the time in which a change takes effect.
func NewTeamLimit(limits map[string]int, grace time.Duration) *TeamLimit {
	c := &TeamLimit{
		violationList: violationList{name: "team limit"},
		Peak:          map[string]int{},
		grace:         grace,
		running:       newRunningRequests(),
		limits:        map[string]int{},
		lowered:       map[string]loweredLimit{},
	}
	for t, n := range limits {
		c.limits[t] = n
	}
	return c
}

// Observe implements Checker.
func (c *TeamLimit) Observe(e Event) {
	c.running.observe(e)
	switch e.Kind {
	case KindLimit:
		c.setLimit(e)
	case KindStart:
		count := c.running.teams[e.Team]
		c.Peak[e.Team] = max(c.Peak[e.Team], count)
		limit, known := c.limit(e)
		if known && count > limit {
			c.Overshoot = max(c.Overshoot, count-limit)
			c.add(e, "%d running requests of the team, limit %d", count, limit)
		}
	}
}

func (c *TeamLimit) setLimit(e Event) {
	before, _ := c.limit(e)
	if e.Limit < before {
		c.lowered[e.Team] = loweredLimit{before: before, untilNS: e.TimeNS + int64(c.grace)}
	}
	c.limits[e.Team] = e.Limit
}

// limit returns the highest number of running requests allowed at the time of e.
func (c *TeamLimit) limit(e Event) (int, bool) {
	n, known := c.limits[e.Team]
	if l := c.lowered[e.Team]; e.TimeNS < l.untilNS {
		n = max(n, l.before)
	}
	return n, known
}

// AtMostOnce checks that no op that was sent as non-idempotent starts more than once.
type AtMostOnce struct {
	violationList
	nonIdempotent map[string]bool
	starts        map[string][]Event
}

// NewAtMostOnce returns the check.
func NewAtMostOnce() *AtMostOnce {
	return &AtMostOnce{violationList: violationList{name: "at most once"}, nonIdempotent: map[string]bool{}, starts: map[string][]Event{}}
}

// Observe implements Checker.
func (c *AtMostOnce) Observe(e Event) {
	switch e.Kind {
	case KindSend:
		if e.NonIdempotent {
			c.nonIdempotent[identity(e)] = true
		}
	case KindStart:
		c.starts[identity(e)] = append(c.starts[identity(e)], e)
	}
}

// Violations implements Checker.
func (c *AtMostOnce) Violations() []*Violation {
	for op, starts := range c.starts {
		if c.nonIdempotent[op] && len(starts) > 1 {
			c.add(starts[1], "non-idempotent request started %d times", len(starts))
		}
	}
	return c.list
}

// NotRun checks that a request with outcome not-run started at no endpoint, neither
// before nor after its response.
type NotRun struct {
	violationList
	started map[string]Event
	refused map[string]Event
}

// NewNotRun returns the check.
func NewNotRun() *NotRun {
	return &NotRun{violationList: violationList{name: "correctness of not-run"}, started: map[string]Event{}, refused: map[string]Event{}}
}

// Observe implements Checker.
func (c *NotRun) Observe(e Event) {
	switch {
	case e.Kind == KindStart:
		c.started[identity(e)] = e
	case e.Kind == KindResult && e.Outcome == "not-run":
		c.refused[identity(e)] = e
	}
}

// Violations implements Checker.
func (c *NotRun) Violations() []*Violation {
	for op, result := range c.refused {
		if start, ok := c.started[op]; ok {
			c.add(start, "started, although the caller received not-run with code %q", result.Code)
		}
	}
	return c.list
}

// CompleteResponses checks that every response from an endpoint was complete and
// belonged to its request, and that every refusal had a valid problem body.
type CompleteResponses struct {
	violationList
	// BrokenAllowed accepts aborted connections, such as those of a killed daemon. A
	// modified response, or one of another request, is a violation in any case.
	BrokenAllowed bool
}

// NewCompleteResponses returns the check.
func NewCompleteResponses(brokenAllowed bool) *CompleteResponses {
	return &CompleteResponses{violationList: violationList{name: "complete responses"}, BrokenAllowed: brokenAllowed}
}

// Observe implements Checker.
func (c *CompleteResponses) Observe(e Event) {
	switch {
	case e.Kind != KindResult || e.Cancelled:
	case e.Error != "" && (!c.BrokenAllowed || e.Mismatched):
		c.add(e, "%s", e.Error)
	case e.Error == "" && e.Outcome == "" && !e.Whole:
		c.add(e, "status %d without a verified body", e.Status)
	}
}

// RevokedKey checks that no request with a revoked key starts more than grace after
// the revocation.
type RevokedKey struct {
	violationList
	grace   time.Duration
	keys    map[string]string
	revoked map[string]int64
	// LastStart is the longest time from a revocation to a later start with the key.
	LastStart time.Duration
}

// NewRevokedKey returns the check.
func NewRevokedKey(grace time.Duration) *RevokedKey {
	return &RevokedKey{violationList: violationList{name: "revoked key"}, grace: grace, keys: map[string]string{}, revoked: map[string]int64{}}
}

// Observe implements Checker.
func (c *RevokedKey) Observe(e Event) {
	switch e.Kind {
	case KindSend:
		c.keys[identity(e)] = e.KeyID
	case KindRevoked:
		c.revoked[e.KeyID] = e.TimeNS
	case KindStart:
		at, ok := c.revoked[c.keys[identity(e)]]
		if !ok {
			return
		}
		late := time.Duration(e.TimeNS - at)
		c.LastStart = max(c.LastStart, late)
		if late > c.grace {
			c.add(e, "started %v after the revocation", late)
		}
	}
}

// Leaving checks that no request starts at an endpoint more than grace after it was
// marked as leaving.
type Leaving struct {
	violationList
	grace        time.Duration
	leavingSince map[string]int64
}

// NewLeaving returns the check.
func NewLeaving(grace time.Duration) *Leaving {
	return &Leaving{violationList: violationList{name: "leaving endpoint"}, grace: grace, leavingSince: map[string]int64{}}
}

// Observe implements Checker.
func (c *Leaving) Observe(e Event) {
	switch e.Kind {
	case KindLeaving:
		c.leavingSince[e.Endpoint] = e.TimeNS
	case KindStart:
		at, ok := c.leavingSince[e.Endpoint]
		if late := time.Duration(e.TimeNS - at); ok && late > c.grace {
			c.add(e, "started %v after the endpoint was marked as leaving", late)
		}
	}
}
