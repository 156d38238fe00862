package load

import (
	"context"
	"errors"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"samphirestile.example/samphirestile/internal/emulator/endpoint"
	"samphirestile.example/samphirestile/internal/emulator/history"
	"samphirestile.example/samphirestile/internal/problem"
)

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return srv.URL
}

func startEndpoint(t *testing.T) (*endpoint.Endpoint, string) {
	t.Helper()
	e, err := endpoint.New(endpoint.Settings{MeanMS: 1}, history.NewRecorder(nil))
	if err != nil {
		t.Fatal(err)
	}
	return e, serve(t, e)
}

func run(t *testing.T, p Plan) *Report {
	t.Helper()
	r, err := Run(context.Background(), p)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against a wrong rate, arrivals that are not determined by the seed, and a
// burst at the wrong time.
func TestOpenLoopFollowsRateAndSeed(t *testing.T) {
	_, url := startEndpoint(t)
	caller := Caller{Name: "a", Service: "s", Targets: EvenTargets(url), Rate: &Rate{Mean: 200, Burst: &Burst{Queue: 1, Queues: 2, LengthMS: 500}}}
	plan := Plan{Seed: 7, DurationMS: 1000, Callers: []Caller{caller}}
	first, second := run(t, plan), run(t, plan)
	a, b := first.Total(), second.Total()
	if a.Sent != b.Sent || a.Answered != a.Sent {
		t.Errorf("two runs with one seed sent %d and %d requests; %d of the first were answered", a.Sent, b.Sent, a.Answered)
	}
	// The expected numbers are 5 requests in the quiet half and 500 in the burst.
	if math.Abs(float64(a.Sent-505)) > 75 {
		t.Errorf("sent %d requests, want 505 ± 75", a.Sent)
	}
	quiet := 0
	events := first.Recorder.Events(0)
	for _, e := range events {
		if e.Kind == history.KindSend && time.Duration(e.TimeNS-events[0].TimeNS) < 350*time.Millisecond {
			quiet++
		}
	}
	if quiet > 30 {
		t.Errorf("%d requests in the first 350 ms of the quiet half, want at most 30", quiet)
	}
}

// Guards against exceeded request limits and results that are counted in the wrong class.
func TestClosedLoopBoundsAndClasses(t *testing.T) {
	e, url := startEndpoint(t)
	refuse := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		err := problem.New(problem.CodeOverLimit, http.StatusTooManyRequests, "full").WithRetryAfter(time.Second)
		problem.Write(w, err, r.Header.Get(problem.HeaderRequestID))
	}))
	r := run(t, Plan{DurationMS: 5000, MaxRequests: 60, Callers: []Caller{
		{Name: "ok", Team: "t", Service: "s", Targets: EvenTargets(url), Concurrency: 3, NonIdempotent: true, BodyBytes: 70000},
		{Name: "echo", Service: "s", Targets: EvenTargets(url), Concurrency: 1, BodyBytes: 300000, Echo: true},
		{Name: "sized", Service: "s", Targets: EvenTargets(url), Concurrency: 1, ResponseBytes: 300000},
		{Name: "refused", Service: "s", Targets: EvenTargets(refuse), Concurrency: 1},
		{Name: "cancelled", Service: "s", Targets: EvenTargets(url), Concurrency: 1, ServiceMS: 5000, CancelShare: 1, CancelAfterMS: 20},
	}})
	total := r.Total()
	if total.Sent != 60 || total.Broken+total.Failed+total.Unknown != 0 {
		t.Errorf("total %+v, want 60 sent and none broken, failed or unknown", total)
	}
	for name, c := range r.Callers {
		want := map[string]int{"refused": c.Refused, "cancelled": c.Cancelled}
		if n, special := want[name]; special && n != c.Sent || !special && c.Answered != c.Sent {
			t.Errorf("result of caller %s: %+v", name, c)
		}
	}
	for op, n := range e.Counts().Ops {
		if n != 1 {
			t.Errorf("op %s ran %d times", op, n)
		}
	}
}

// Guards against accepting modified or truncated bodies, or those of another request.
func TestWrongBodiesAreErrors(t *testing.T) {
	e, url := startEndpoint(t)
	send := func(c Caller) string {
		c.Name, c.Service, c.Concurrency = "c", "s", 1
		if c.Targets == nil {
			c.Targets = EvenTargets(url)
		}
		events := run(t, Plan{DurationMS: 5000, MaxRequests: 1, Callers: []Caller{c}}).Recorder.Events(0)
		if events[1].Whole {
			t.Error("a wrong body is reported as complete")
		}
		return events[1].Error
	}
	e.SetFaults(endpoint.Faults{CloseMidBody: true})
	if got := send(Caller{ResponseBytes: 10000}); got == "" {
		t.Error("a truncated body was accepted")
	}
	e.SetFaults(endpoint.Faults{WrongRequestID: true})
	if got := send(Caller{}); !strings.Contains(got, "wrong-") {
		t.Errorf("error for a wrong X-Request-Id: %q", got)
	}
	foreign := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"op":"other"}`))
	}))
	if got := send(Caller{Targets: EvenTargets(foreign)}); !strings.Contains(got, "other") {
		t.Errorf("error for the body of another request: %q", got)
	}
	var altered *AlteredBodyError
	if err := compare("a", endpoint.NewPattern("b", 10), 10); !errors.As(err, &altered) {
		t.Errorf("comparison of a modified body: %v, want an AlteredBodyError", err)
	}
}

// Guards against a balancer that keeps sending to a target that is not ready.
func TestBalancerAvoidsTargetsThatAreNotReady(t *testing.T) {
	bad := serve(t, http.NotFoundHandler())
	good := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	b := NewBalancer(10*time.Millisecond, bad, good)
	defer b.Close()
	c := Caller{Balancer: b}
	rnd := newSender(&runState{}, c, 0).rnd
	for range 50 {
		if c.pick(rnd) == bad {
			t.Fatal("picked a target that is not ready")
		}
	}
}
