package history

import (
	"math"
	"strings"
	"testing"
	"time"
)

// at returns e at a time in milliseconds.
func at(ms int, e Event) Event {
	e.TimeNS = int64(ms) * int64(time.Millisecond)
	return e
}

func started(ms int, op, team, endpoint string) Event {
	return at(ms, Event{Kind: KindStart, Op: op, Team: team, Endpoint: endpoint, Service: "s"})
}

func ended(ms int, op, team, endpoint string) Event {
	return at(ms, Event{Kind: KindEnd, Op: op, Team: team, Endpoint: endpoint, Service: "s"})
}

// Guards against a checker that accepts a bad history, or rejects a good one that
// differs from a bad one in a single event.
func TestCheckers(t *testing.T) {
	limit := func() Checker { return NewTeamLimit(map[string]int{"a": 2}, time.Second) }
	once := func() Checker { return NewAtMostOnce() }
	notRun := func() Checker { return NewNotRun() }
	complete := func() Checker { return NewCompleteResponses(false) }
	brokenAllowed := func() Checker { return NewCompleteResponses(true) }
	revoked := func() Checker { return NewRevokedKey(2 * time.Second) }
	leaving := func() Checker { return NewLeaving(3 * time.Second) }
	two := []Event{started(0, "1", "a", "x"), started(1, "2", "a", "y")}
	lowered := append(two, at(2, Event{Kind: KindLimit, Team: "a", Limit: 1}), ended(3, "1", "a", "x"))
	send := func(e Event) Event { e.Kind = KindSend; return e }
	result := func(e Event) Event { e.Kind = KindResult; return e }
	withKey := send(Event{Op: "1", KeyID: "k"})
	cases := []struct {
		name    string
		checker func() Checker
		history []Event
		bad     bool
	}{
		{"limit kept", limit, append(two, ended(2, "1", "a", "x"), started(3, "3", "a", "x")), false},
		{"limit exceeded over endpoints", limit, append(two, started(3, "3", "a", "z")), true},
		{"another team", limit, append(two, started(3, "3", "b", "z")), false},
		{"stopped endpoint ends its work", limit, append(two, at(2, Event{Kind: KindStopped, Endpoint: "x"}), started(3, "3", "a", "z")), false},
		{"another endpoint stopped", limit, append(two, at(2, Event{Kind: KindStopped, Endpoint: "z"}), started(3, "3", "a", "z")), true},
		{"running work stays after lowering", limit, lowered, false},
		{"start in the grace time", limit, append(lowered, started(900, "3", "a", "x")), false},
		{"start after the grace time", limit, append(lowered, started(1100, "3", "a", "x")), true},
		{"raised limit", limit, append(two, at(2, Event{Kind: KindLimit, Team: "a", Limit: 3}), started(3, "3", "a", "z")), false},

		{"non-idempotent twice", once, []Event{send(Event{Op: "1", NonIdempotent: true}), started(1, "1", "a", "x"), started(2, "1", "a", "y")}, true},
		{"idempotent twice", once, []Event{send(Event{Op: "1"}), started(1, "1", "a", "x"), started(2, "1", "a", "y")}, false},
		{"non-idempotent once each", once, []Event{send(Event{Op: "1", NonIdempotent: true}), started(1, "1", "a", "x"), started(2, "2", "a", "y")}, false},

		{"false not-run", notRun, []Event{started(1, "1", "a", "x"), result(Event{Op: "1", Outcome: "not-run"})}, true},
		{"start after not-run", notRun, []Event{result(Event{Op: "1", Outcome: "not-run"}), started(1, "1", "a", "x")}, true},
		{"true not-run", notRun, []Event{result(Event{Op: "1", Outcome: "not-run"}), started(1, "2", "a", "x")}, false},
		{"unknown may run", notRun, []Event{started(1, "1", "a", "x"), result(Event{Op: "1", Outcome: "unknown"})}, false},

		{"verified body", complete, []Event{result(Event{Op: "1", Status: 200, Whole: true})}, false},
		{"unverified body", complete, []Event{result(Event{Op: "1", Status: 200})}, true},
		{"broken", complete, []Event{result(Event{Op: "1", Error: "reset"})}, true},
		{"broken by a kill", brokenAllowed, []Event{result(Event{Op: "1", Error: "reset"})}, false},
		{"foreign body in spite of a kill", brokenAllowed, []Event{result(Event{Op: "1", Error: "foreign", Mismatched: true})}, true},
		{"cancelled", complete, []Event{result(Event{Op: "1", Error: "canceled", Cancelled: true})}, false},

		{"revoked long ago", revoked, []Event{withKey, at(1, Event{Kind: KindRevoked, KeyID: "k"}), started(2100, "1", "a", "x")}, true},
		{"revoked just now", revoked, []Event{withKey, at(1, Event{Kind: KindRevoked, KeyID: "k"}), started(1900, "1", "a", "x")}, false},
		{"another key revoked", revoked, []Event{withKey, at(1, Event{Kind: KindRevoked, KeyID: "l"}), started(2100, "1", "a", "x")}, false},

		{"left long ago", leaving, []Event{at(0, Event{Kind: KindLeaving, Endpoint: "x"}), started(3100, "1", "a", "x")}, true},
		{"left just now", leaving, []Event{at(0, Event{Kind: KindLeaving, Endpoint: "x"}), started(2900, "1", "a", "x")}, false},
		{"another endpoint left", leaving, []Event{at(0, Event{Kind: KindLeaving, Endpoint: "y"}), started(3100, "1", "a", "x")}, false},
	}
	for _, c := range cases {
		if got := Check(c.history, c.checker()); (len(got) > 0) != c.bad {
			t.Errorf("%s: violations %v, expected at least one: %v", c.name, got, c.bad)
		}
	}
}

// Guards against entitlements that ignore weights, limits or unused share.
func TestEntitlements(t *testing.T) {
	unlimited := math.Inf(1)
	got := Entitlements(100, map[string]Demand{
		"small": {Weight: 1, Wanted: 10}, "capped": {Weight: 5, Wanted: unlimited, Limit: 30},
		"one": {Weight: 1, Wanted: unlimited}, "two": {Weight: 2, Wanted: unlimited},
	})
	for team, want := range map[string]float64{"small": 10, "capped": 30, "one": 20, "two": 40} {
		if math.Abs(got[team]-want) > 0.01 {
			t.Errorf("entitlement of %s: %v, want %v", team, got[team], want)
		}
	}
}

// Guards against figures that do not show unfairly divided or idle capacity.
func TestShareAndBusy(t *testing.T) {
	events := []Event{
		at(0, Event{Kind: KindSend, Service: "s"}), at(0, Event{Kind: KindSend, Service: "s"}),
		started(0, "1", "a", "x"), ended(600, "1", "a", "x"), started(600, "2", "b", "x"), ended(1000, "2", "b", "x"),
	}
	w := Window{From: 0, To: int64(time.Second)}
	even := map[string]Demand{"a": {Weight: 1, Wanted: 9}, "b": {Weight: 1, Wanted: 9}}
	if errs := ShareErrors(events, w, even); math.Abs(errs["a"]-20) > 0.1 || math.Abs(errs["b"]+20) > 0.1 {
		t.Errorf("share errors %v, want 20 and -20", errs)
	}
	if busy := BusyPercent(events, w, map[string]int{"s": 1}); busy != 100 {
		t.Errorf("busy with one slot: %v %%, want 100 %%", busy)
	}
	if busy := BusyPercent(events, w, map[string]int{"s": 2}); busy != 50 {
		t.Errorf("busy with two slots, one used: %v %%, want 50 %%", busy)
	}
}

// Guards against a reader that fails on the incomplete last line that a killed process
// may leave, or accepts malformed lines.
func TestReadDropsAnIncompleteLastLine(t *testing.T) {
	events, err := Read(strings.NewReader("{\"t_ns\":1,\"kind\":\"start\"}\n{\"t_ns\":2,"))
	if err != nil || len(events) != 1 {
		t.Errorf("read events %v, error %v; want one event and no error", events, err)
	}
	if _, err := Read(strings.NewReader("garbage\n")); err == nil {
		t.Error("a malformed line was accepted")
	}
}
