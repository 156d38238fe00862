package forward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/config"
	"samphirestile.example/samphirestile/internal/dispatch"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/membership"
	"samphirestile.example/samphirestile/internal/problem"
	"samphirestile.example/samphirestile/internal/upstream"
)

func TestForward(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "forward")
}

type fixedSource struct {
	snapshot *config.Snapshot
	view     membership.View
}

func (f fixedSource) Current() *config.Snapshot            { return f.snapshot }
func (f fixedSource) View() membership.View                { return f.view }
func (f fixedSource) Subscribe() (<-chan struct{}, func()) { return nil, func() {} }
func (f fixedSource) StartPermitted() bool                 { return true }

// mutableView is a membership.Source whose view can be replaced.
type mutableView struct {
	atomic.Pointer[membership.View]
}

func (s *mutableView) View() membership.View                { return *s.Load() }
func (s *mutableView) Subscribe() (<-chan struct{}, func()) { return nil, func() {} }
func (s *mutableView) StartPermitted() bool                 { return true }

// eightOwners returns the owners of a service that has 8 endpoints at 8 daemons.
func eightOwners() *owners {
	f := fixedSource{snapshot: &config.Snapshot{Endpoints: map[fleet.EndpointID]fleet.Endpoint{}}}
	for i := range 8 {
		id := fleet.EndpointID(fmt.Sprint("e", i))
		f.snapshot.Endpoints[id] = fleet.Endpoint{ID: id, Service: "s", Slots: 8}
		f.view.Members = append(f.view.Members, membership.Member{Seat: fleet.SeatID(fmt.Sprint("seat", i)), PeerAddress: fmt.Sprint("d", i), Active: true})
	}
	return newOwners(Options{Config: f, Members: f})
}

func skipNone(*owner) bool { return false }

var _ = Describe("the owner selection", func() {
	It("finds the only owner with a free slot, so that no slot stays idle while requests wait", func() {
		o := eightOwners()
		for i, candidate := range o.ofService("s") {
			l := dispatch.Load{Slots: 8, Running: 8, Queued: 3}
			if i == 5 {
				l = dispatch.Load{Slots: 8, Running: 7}
			}
			o.recordLoad(candidate, "s", l)
		}
		free := o.ofService("s")[5]
		for range 50 {
			Expect(o.choose("s", "team", skipNone)).To(BeIdenticalTo(free))
		}
	})

	It("distributes the requests that one daemon has in flight", func() {
		o := eightOwners()
		counts := make(map[*owner]int)
		for range 64 {
			candidate := o.choose("s", "team", skipNone)
			o.trackRequest(candidate, "s", "team")
			counts[candidate]++
		}
		Expect(counts).To(HaveLen(8))
		for _, n := range counts {
			Expect(n).To(BeNumerically("<=", 8), "no owner gets more than its slots while others have free ones")
		}
	})

	It("distributes requests in proportion to the units of the team, so that none stays idle while requests wait elsewhere", func() {
		o := eightOwners()
		held := []int{3, 3, 2, 0, 0, 0, 0, 0}
		counts := make([]int, len(held))
		for i, candidate := range o.ofService("s") {
			o.recordTeamLoad(candidate.member.PeerAddress, "team", TeamLoad{Units: held[i]})
		}
		for range 40 {
			candidate := o.choose("s", "team", skipNone)
			o.trackRequest(candidate, "s", "team")
			counts[slices.Index(o.ofService("s"), candidate)]++
		}
		for i, n := range counts {
			Expect(n).To(BeNumerically("~", 5*held[i], 2), "requests at owner %d: %v", i, counts)
		}
	})

	It("prefers an owner with units of the team, and avoids one to which a connection failed", func() {
		o := eightOwners()
		list := o.ofService("s")
		for i, candidate := range list {
			if i != 2 && i != 3 {
				o.recordTeamLoad(candidate.member.PeerAddress, "team", TeamLoad{})
			}
		}
		o.recordConnectFailure(list[2])
		for range 50 {
			Expect(o.choose("s", "team", skipNone)).To(BeIdenticalTo(list[3]))
		}
		Expect(o.choose("s", "team", func(*owner) bool { return true })).To(BeNil())
	})
})

var _ = Describe("owners that reroute requests to one another", func() {
	It("keep a request that has no other owner left, instead of refusing it", func() {
		server := func() string {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(headerFinal) == "" {
					w.Header().Set(headerAnsweredBy, answeredByDaemon)
					p := problem.New(problem.CodeOverloaded, http.StatusServiceUnavailable, "another owner has a free slot")
					p.Reroute = true
					problem.Write(w, p, "id")
					return
				}
				w.Header().Set(headerAnsweredBy, answeredByEndpoint)
			}))
			DeferCleanup(s.Close)
			return s.Listener.Addr().String()
		}
		view := &mutableView{}
		view.Store(&membership.View{Epoch: 1, Members: []membership.Member{
			{Seat: "a", PeerAddress: server(), Active: true}, {Seat: "b", PeerAddress: server(), Active: true},
		}})
		endpoints := map[fleet.EndpointID]fleet.Endpoint{"e": {ID: "e", Service: "s"}, "f": {ID: "f", Service: "s"}}
		f := New(Options{Config: fixedSource{snapshot: &config.Snapshot{Endpoints: endpoints}}, Members: view,
			Upstream: upstream.NewClient(0), Secret: "s"})
		call := &Call{ID: "id", Service: fleet.Service{ID: "s"}, Team: "team", Method: "GET",
			URL: &url.URL{Path: "/"}, Header: http.Header{}, Body: NewBody(nil, nil, 0), Deadline: time.Now().Add(time.Second)}
		resp, trace, err := f.Do(context.Background(), call)
		Expect(err).NotTo(HaveOccurred())
		resp.Close()
		Expect(trace.Reroutes).To(Equal(1))
	})
})

var _ = Describe("an owner that accepts a request and never responds", func() {
	It("is abandoned for an idempotent request when it is inactive, for others when the time limit of the hop has passed", func() {
		unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(unresponsive.Close)
		other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(headerAnsweredBy, answeredByEndpoint)
		}))
		DeferCleanup(other.Close)
		view := &mutableView{}
		members := []membership.Member{
			{Seat: "a", PeerAddress: unresponsive.Addr().String(), Active: true},
			{Seat: "b", PeerAddress: other.Listener.Addr().String()},
		}
		view.Store(&membership.View{Epoch: 1, Members: members})
		f := New(Options{Config: fixedSource{snapshot: &config.Snapshot{Endpoints: map[fleet.EndpointID]fleet.Endpoint{"e": {ID: "e", Service: "s"}}}},
			Members: view, Upstream: upstream.NewClient(0), Secret: "s"})
		f.budget.credit["team"] = 1
		call := &Call{ID: "id", Service: fleet.Service{ID: "s", MaxRunTime: 100 * time.Millisecond}, Team: "team", Method: "GET",
			URL: &url.URL{Path: "/"}, Header: http.Header{}, Body: NewBody(nil, nil, 0)}
		started := time.Now()
		_, _, err = f.Do(context.Background(), call)
		Expect(problem.From(err).Code).To(Equal(problem.CodeRunTimeExceeded))
		Expect(problem.From(err).Outcome).To(Equal(problem.Unknown))
		Expect(time.Since(started)).To(BeNumerically("<", 100*time.Millisecond+2*hopMargin))

		call.Idempotent = true
		time.AfterFunc(100*time.Millisecond, func() {
			updated := slices.Clone(members)
			updated[0].Active, updated[1].Active = false, true
			view.Store(&membership.View{Epoch: 2, Members: updated})
		})
		resp, _, err := f.Do(context.Background(), call)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Status).To(Equal(200))
		resp.Close()
	})
})

var _ = Describe("an owner in a planned stop", func() {
	It("is not considered failed after it has handed over its seat or left", func() {
		// Otherwise requests that it is about to finish would be cancelled.
		view := &mutableView{}
		o := newOwners(Options{Members: view})
		candidate := &owner{member: membership.Member{Seat: "a", Incarnation: "1", Active: true}}
		for _, c := range []struct {
			members []membership.Member
			lost    bool
		}{
			{[]membership.Member{{Seat: "a", Incarnation: "1", Active: true}}, false},
			{[]membership.Member{{Seat: "a", Incarnation: "2", Active: true}}, false},
			{[]membership.Member{{Seat: "a", Incarnation: "2"}}, false},
			{nil, false},
			{[]membership.Member{{Seat: "a", Incarnation: "1"}}, true},
		} {
			view.Store(&membership.View{Members: c.members})
			Expect(o.failedInView(candidate)).To(Equal(c.lost), "%v", c.members)
		}
	})
})

var _ = Describe("the retry budget", func() {
	It("allows one retry in ten requests of a team", func() {
		b := &retryBudget{credit: make(map[fleet.TeamID]float64)}
		retries := 0
		for range 1000 {
			b.recordRequest("team")
			if b.tryAcquire("team") {
				retries++
			}
		}
		Expect(retries).To(Equal(100))
		Expect(b.tryAcquire("other")).To(BeFalse(), "teams do not share a budget")
	})
})

func FuzzParseLoad(f *testing.F) {
	f.Add("slots=8, running=3, queued=0")
	f.Add("slots=8, running=3, queued=0, units=2, load=1, more=1")
	f.Add("slots=, ,=")
	f.Fuzz(func(t *testing.T, value string) {
		l, units, err := ParseLoad(value)
		if err != nil {
			return
		}
		again, unitsAgain, err := ParseLoad(FormatLoad(l, units))
		if err != nil || again != l || (units == nil) != (unitsAgain == nil) || units != nil && *units != *unitsAgain {
			t.Fatalf("%q: %v %v, then %v %v %v", value, l, units, again, unitsAgain, err)
		}
	})
}

func FuzzSplitPath(f *testing.F) {
	f.Add("/quotes/a%2Fb//c")
	f.Add("/quotes")
	f.Add("//x")
	f.Fuzz(func(t *testing.T, path string) {
		u, err := url.ParseRequestURI(path)
		if err != nil {
			return
		}
		service, target, ok := SplitPath(u, "/")
		if !ok {
			return
		}
		rest := u.EscapedPath()[1:]
		rest = strings.TrimPrefix(rest[min(len(rest), strings.IndexByte(rest+"/", '/')):], "/")
		if service == "" || target.EscapedPath() != "/"+rest {
			t.Fatalf("%q: service %q, target %q", path, service, target.EscapedPath())
		}
	})
}

func FuzzReadHop(f *testing.F) {
	f.Add("1", "100", "team", "id", "e1,e2")
	f.Add("2", "-1", "", "", "")
	f.Fuzz(func(t *testing.T, hops, deadline, team, id, avoid string) {
		now := time.Now()
		h := http.Header{headerHops: {hops}, "Samphirestile-Deadline-Ms": {deadline}, headerTeam: {team}, "X-Request-Id": {id}, headerAvoid: {avoid}}
		r, p := readHopHeaders(h, "s", now)
		if p == nil && (r.ID == "" || r.Team == "" || r.Deadline.Before(now)) {
			t.Fatalf("accepted %v as %+v", h, r)
		}
	})
}
