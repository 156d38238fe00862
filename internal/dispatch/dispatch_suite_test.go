package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/dispatch"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/problem"
)

var suiteT *testing.T

func TestDispatch(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "dispatch")
}

// bubble runs f on virtual time, so that load runs of minutes take milliseconds and the
// results do not depend on the machine.
func bubble(f func()) func() {
	return func() {
		synctest.Test(suiteT, func(*testing.T) {
			defer GinkgoRecover()
			f()
		})
	}
}

// fakeLimiter limits each team to the units in limits; a team without an entry is unlimited.
type fakeLimiter struct {
	mu           sync.Mutex
	limits       map[fleet.TeamID]int
	running      map[fleet.TeamID]int
	demand       map[fleet.TeamID]int
	notPermitted bool
	changed      chan struct{}
}

func newLimiter(limits map[fleet.TeamID]int) *fakeLimiter {
	return &fakeLimiter{
		limits: limits, running: map[fleet.TeamID]int{}, demand: map[fleet.TeamID]int{}, changed: make(chan struct{}, 1),
	}
}

func (l *fakeLimiter) units(t fleet.TeamID) int {
	if n, ok := l.limits[t]; ok {
		return n
	}
	return 1 << 30
}

func (l *fakeLimiter) TryAcquire(t fleet.TeamID) (func(), bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running[t] >= l.units(t) {
		return nil, false
	}
	l.running[t]++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.running[t]--
		l.notify()
	}, true
}

func (l *fakeLimiter) notify() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

func (l *fakeLimiter) SendPermitted(fleet.TeamID) bool { return !l.notPermitted }

func (l *fakeLimiter) SetDemand(t fleet.TeamID, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.demand[t] = n
}

func (l *fakeLimiter) Usage(t fleet.TeamID) (int, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running[t], l.units(t)
}

func (l *fakeLimiter) Subscribe() (<-chan struct{}, func()) { return l.changed, func() {} }

const service = fleet.ServiceID("quotes")

func endpoints(n, slots int) []fleet.Endpoint {
	var all []fleet.Endpoint
	for i := range n {
		all = append(all, fleet.Endpoint{
			ID: fleet.EndpointID(fmt.Sprintf("e%d", i)), Service: service, Address: fmt.Sprintf("127.0.0.1:%d", 9000+i),
			Slots: slots, Connections: 64,
		})
	}
	return all
}

func weights(w map[fleet.TeamID]float64) map[fleet.TeamID]fleet.Team {
	all := map[fleet.TeamID]fleet.Team{}
	for id, x := range w {
		all[id] = fleet.Team{ID: id, Weight: x}
	}
	return all
}

// harness is a scheduler under test that records the outcomes of its requests.
type harness struct {
	*dispatch.Scheduler
	limiter *fakeLimiter
	wait    sync.WaitGroup
	mu      sync.Mutex
	events  []event
}

// event is one request from submission to grant or refusal.
type event struct {
	team      fleet.TeamID
	urgent    bool
	submitted time.Time
	decided   time.Time
	endpoint  fleet.EndpointID
	duration  time.Duration
	refusal   *problem.Error
}

func newHarness(limits map[fleet.TeamID]int, c dispatch.Config, owned []fleet.Endpoint) *harness {
	h := &harness{limiter: newLimiter(limits)}
	c.Limiter = h.limiter
	h.Scheduler = dispatch.New(c)
	h.SetEndpoints(fleet.Service{ID: service, MaxWait: time.Minute}, owned)
	return h
}

// acquire requests a grant with the given timeout.
func (h *harness) acquire(team fleet.TeamID, timeout time.Duration) (dispatch.Grant, *problem.Error) {
	return h.acquireFor(context.Background(), dispatch.Request{Team: team, Deadline: time.Now().Add(timeout)})
}

func (h *harness) acquireFor(ctx context.Context, r dispatch.Request) (dispatch.Grant, *problem.Error) {
	r.Service = service
	g, err := h.Acquire(ctx, r)
	if err != nil {
		var p *problem.Error
		Expect(errors.As(err, &p)).To(BeTrue(), "a refusal is a *problem.Error")
		Expect(p.Outcome).To(Equal(problem.NotRun))
		return nil, p
	}
	return g, nil
}

// traffic describes the requests of one team.
type traffic struct {
	team         fleet.TeamID
	meanInterval time.Duration // between two requests, exponentially distributed
	duration     func(*rand.Rand) time.Duration
	deadline     time.Duration
	urgent       bool
	// start and stop are offsets from the call of send.
	start time.Duration
	stop  time.Duration
}

func fixed(d time.Duration) func(*rand.Rand) time.Duration {
	return func(*rand.Rand) time.Duration { return d }
}

// send generates the traffic in the background.
func (h *harness) send(t traffic) {
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(t.team))
	r := rand.New(rand.NewPCG(1, seed.Sum64()+uint64(t.meanInterval)))
	h.wait.Go(func() {
		time.Sleep(t.start)
		for end := time.Now().Add(t.stop - t.start); time.Now().Before(end); {
			time.Sleep(time.Duration(r.ExpFloat64() * float64(t.meanInterval)))
			d := t.duration(r)
			h.wait.Go(func() { h.runRequest(t, d) })
		}
	})
}

func (h *harness) runRequest(t traffic, d time.Duration) {
	defer GinkgoRecover()
	e := event{team: t.team, urgent: t.urgent, submitted: time.Now()}
	r := dispatch.Request{Team: t.team, Urgent: t.urgent, Deadline: e.submitted.Add(t.deadline), Signature: string(t.team)}
	g, p := h.acquireFor(context.Background(), r)
	e.decided, e.refusal = time.Now(), p
	if p == nil {
		e.endpoint, e.duration = g.Endpoint().ID, d
		time.Sleep(d)
		g.Done(dispatch.Result{FirstByte: d})
	}
	h.mu.Lock()
	h.events = append(h.events, e)
	h.mu.Unlock()
}

// decidedEvents returns the requests granted or refused so far.
func (h *harness) decidedEvents() []event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.events)
}

// slotTime sums up each team's slot time between two points in time.
func (h *harness) slotTime(from, to time.Time) map[fleet.TeamID]float64 {
	sum := map[fleet.TeamID]float64{}
	for _, e := range h.events {
		if e.refusal != nil {
			continue
		}
		start, end := e.decided, e.decided.Add(e.duration)
		if start.Before(from) {
			start = from
		}
		if end.After(to) {
			end = to
		}
		if end.After(start) {
			sum[e.team] += end.Sub(start).Seconds()
		}
	}
	return sum
}
