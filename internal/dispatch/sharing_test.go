package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/dispatch"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/problem"
)

// overload returns traffic that demands the given multiple of the slots, in equal parts from
// each team.
func overload(multiple float64, slots int, length time.Duration, durations map[fleet.TeamID]time.Duration) []traffic {
	var all []traffic
	for team, d := range durations {
		each := multiple * float64(slots) / float64(len(durations))
		all = append(all, traffic{
			team: team, meanInterval: time.Duration(float64(d) / each), duration: fixed(d), deadline: 2 * time.Second, stop: length,
		})
	}
	return all
}

// expectShares checks that the slot time of each team between two points in time is within
// 5 % of its share by weight.
func (h *harness) expectShares(from, to time.Time, w map[fleet.TeamID]float64) {
	GinkgoHelper()
	sum := h.slotTime(from, to)
	var weight, total float64
	for team, x := range w {
		weight += x
		total += sum[team]
	}
	for team, x := range w {
		got, want := sum[team]/total, x/weight
		AddReportEntry(fmt.Sprintf("%s: got %.4f, entitled to %.4f", team, got, want))
		Expect(got/want).To(BeNumerically("~", 1, 0.05), "team %s: %v", team, sum)
	}
}

func (h *harness) drain() {
	h.wait.Wait()
	h.Close()
}

var _ = Describe("fair queueing", func() {
	unequal := map[fleet.TeamID]float64{"a": 1, "b": 2, "c": 3, "d": 5, "e": 8}

	DescribeTable("shares slots in proportion to the weights at three times capacity",
		func(d map[fleet.TeamID]time.Duration, owned, slots int) {
			bubble(func() {
				h := newHarness(nil, dispatch.Config{}, endpoints(owned, slots))
				h.SetTeams(weights(unequal))
				began := time.Now()
				for _, t := range overload(3, owned*slots, 25*time.Second, d) {
					h.send(t)
				}
				h.drain()
				from, to := began.Add(5*time.Second), began.Add(25*time.Second)
				h.expectShares(from, to, unequal)
				var busy float64
				for _, x := range h.slotTime(from, to) {
					busy += x
				}
				Expect(busy/20/float64(owned*slots)).To(BeNumerically(">", 0.98), "slots are busy")
			})()
		},
		Entry("equal durations", map[fleet.TeamID]time.Duration{
			"a": 50 * time.Millisecond, "b": 50 * time.Millisecond, "c": 50 * time.Millisecond,
			"d": 50 * time.Millisecond, "e": 50 * time.Millisecond}, 1, 8),
		Entry("durations that differ by a factor of 100", map[fleet.TeamID]time.Duration{
			"a": 5 * time.Millisecond, "b": 500 * time.Millisecond, "c": 20 * time.Millisecond,
			"d": 200 * time.Millisecond, "e": 50 * time.Millisecond}, 2, 8),
	)

	It("shares the first free slots by weight before any duration is known", bubble(func() {
		h := newHarness(nil, dispatch.Config{}, endpoints(1, 1))
		h.SetTeams(weights(map[fleet.TeamID]float64{"a": 1, "b": 3}))
		g, _ := h.acquire("c", time.Second)
		for range 8 {
			for _, team := range []fleet.TeamID{"a", "b"} {
				h.wait.Go(func() { h.runRequest(traffic{team: team, deadline: time.Minute}, time.Hour) })
			}
		}
		synctest.Wait()
		h.SetEndpoints(fleet.Service{ID: service}, endpoints(9, 1))
		synctest.Wait()
		Expect(h.Stats()[service].Teams["a"].Running).To(Equal(2))
		Expect(h.Stats()[service].Teams["b"].Running).To(Equal(6))
		g.Cancel()
		h.Close()
		h.wait.Wait()
	}))

	It("lets other teams use an unused share and restores it within 1 s", bubble(func() {
		w := map[fleet.TeamID]float64{"lender": 3, "borrower": 1}
		h := newHarness(nil, dispatch.Config{}, endpoints(1, 8))
		h.SetTeams(weights(w))
		began := time.Now()
		d := fixed(100 * time.Millisecond)
		h.send(traffic{team: "borrower", meanInterval: 4 * time.Millisecond, duration: d, deadline: time.Second, stop: 20 * time.Second})
		h.send(traffic{team: "lender", meanInterval: 4 * time.Millisecond, duration: d, deadline: time.Second, start: 10 * time.Second, stop: 20 * time.Second})
		h.drain()
		// The first concurrency experiment at the endpoint is over after 4 s.
		Expect(h.slotTime(began.Add(4*time.Second), began.Add(10*time.Second))["borrower"] / 6 / 8).To(BeNumerically(">", 0.98))
		h.expectShares(began.Add(11*time.Second), began.Add(20*time.Second), w)
	}))

	DescribeTable("keeps 95 % of the slots busy during load peaks, also while experiments run",
		func(mean time.Duration) {
			bubble(func() {
				h := newHarness(nil, dispatch.Config{}, endpoints(2, 8))
				exponential := func(r *rand.Rand) time.Duration { return time.Duration(r.ExpFloat64() * float64(mean)) }
				began := time.Now()
				var busy, all float64
				for i := range 6 {
					start := time.Duration(i) * 20 * time.Second
					h.send(traffic{team: "a", meanInterval: mean / 48, duration: exponential, deadline: 4 * time.Second, start: start, stop: start + 5*time.Second})
				}
				h.drain()
				for i := range 6 {
					start := began.Add(time.Duration(i) * 20 * time.Second)
					busy += h.slotTime(start.Add(500*time.Millisecond), start.Add(5*time.Second))["a"]
					all += 16 * 4.5
				}
				AddReportEntry(fmt.Sprintf("%.4f busy", busy/all))
				Expect(busy / all).To(BeNumerically(">", 0.95))
			})()
		},
		Entry("requests of 50 ms", 50*time.Millisecond),
		Entry("requests of 1 s", time.Second),
	)

	It("lets other teams use the share of a team at its upper limit", bubble(func() {
		h := newHarness(map[fleet.TeamID]int{"limited": 1}, dispatch.Config{}, endpoints(1, 8))
		h.SetTeams(weights(map[fleet.TeamID]float64{"limited": 10, "other": 1}))
		began := time.Now()
		d := map[fleet.TeamID]time.Duration{"limited": 50 * time.Millisecond, "other": 50 * time.Millisecond}
		for _, t := range overload(3, 8, 10*time.Second, d) {
			h.send(t)
		}
		h.drain()
		got := h.slotTime(began.Add(time.Second), began.Add(10*time.Second))
		Expect(got["limited"] / 9).To(BeNumerically("~", 1, 0.02))
		Expect(got["other"] / 9).To(BeNumerically("~", 7, 0.1))
		for _, e := range h.events {
			if e.refusal != nil && e.team == "limited" {
				Expect(e.refusal.Code).To(BeElementOf(problem.CodeOverLimit, problem.CodeDeadlineExceeded))
			}
		}
	}))

	DescribeTable("starts urgent requests of a small team within 1.2 s at three times capacity",
		func(background time.Duration, from time.Duration) {
			bubble(func() {
				h := newHarness(nil, dispatch.Config{}, endpoints(1, 8))
				h.SetTeams(weights(map[fleet.TeamID]float64{"small": 1, "big": 50}))
				began := time.Now()
				length := from + 30*time.Second
				for _, team := range []fleet.TeamID{"small", "big"} {
					h.send(traffic{team: team, meanInterval: background * 2 / 3 / 8, duration: fixed(background), deadline: 10 * time.Second, stop: length})
				}
				h.send(traffic{team: "small", meanInterval: time.Second, duration: fixed(50 * time.Millisecond), deadline: 10 * time.Second, urgent: true, stop: length})
				h.drain()
				var starts []time.Duration
				for _, e := range h.events {
					if e.urgent && e.submitted.Sub(began) > from {
						Expect(e.refusal).To(BeNil())
						starts = append(starts, e.decided.Sub(e.submitted))
					}
				}
				AddReportEntry(fmt.Sprintf("slowest of %d urgent starts: %v", len(starts), slices.Max(starts)))
				Expect(slices.Max(starts)).To(BeNumerically("<", 1200*time.Millisecond))
			})()
		},
		Entry("background requests of 100 ms", 100*time.Millisecond, time.Second),
		Entry("background requests of 1 s", time.Second, 5*time.Second),
		Entry("background requests of 10 s, after their mean duration is known", 10*time.Second, 30*time.Second),
	)

	It("bounds what a team gains by marking every request urgent", bubble(func() {
		w := map[fleet.TeamID]float64{"urgent": 1, "plain": 4}
		h := newHarness(nil, dispatch.Config{}, endpoints(1, 8))
		h.SetTeams(weights(w))
		began := time.Now()
		d := fixed(100 * time.Millisecond)
		h.send(traffic{team: "urgent", meanInterval: 8 * time.Millisecond, duration: d, deadline: 2 * time.Second, urgent: true, stop: 20 * time.Second})
		h.send(traffic{team: "plain", meanInterval: 8 * time.Millisecond, duration: d, deadline: 2 * time.Second, stop: 20 * time.Second})
		h.drain()
		h.expectShares(began.Add(2*time.Second), began.Add(20*time.Second), w)
	}))
})

var _ = Describe("the admission of requests", func() {
	It("refuses teams above their share at once and serves the others", bubble(func() {
		h := newHarness(nil, dispatch.Config{}, endpoints(1, 8))
		h.SetTeams(weights(map[fleet.TeamID]float64{"greedy": 1, "modest": 1}))
		exponential := func(r *rand.Rand) time.Duration { return time.Duration(r.ExpFloat64() * float64(100*time.Millisecond)) }
		began := time.Now()
		h.send(traffic{team: "greedy", meanInterval: 4 * time.Millisecond, duration: exponential, deadline: time.Second, stop: 30 * time.Second})
		h.send(traffic{team: "modest", meanInterval: 100 * time.Millisecond, duration: exponential, deadline: time.Second, stop: 30 * time.Second})
		h.drain()
		count := map[string]int{}
		for _, e := range h.events {
			if e.submitted.Sub(began) < 2*time.Second {
				continue
			}
			count[string(e.team)]++
			if e.refusal == nil {
				continue
			}
			Expect(e.team).To(Equal(fleet.TeamID("greedy")))
			count[string(e.refusal.Code)]++
			Expect(e.refusal.RetryAfter).To(BeNumerically(">", 0))
			if e.refusal.Code == problem.CodeOverShare {
				Expect(e.refusal.Status).To(Equal(429))
				Expect(e.decided).To(Equal(e.submitted), "refused at once")
			}
		}
		AddReportEntry(fmt.Sprint(count))
		Expect(count["over_share"]).To(BeNumerically(">", count["greedy"]/2))
		Expect(count["deadline_exceeded"]).To(BeNumerically("<", count["greedy"]/20), "few accepted requests expire")
	}))

	It("refuses requests as overloaded when one team alone exceeds the capacity", bubble(func() {
		h := newHarness(nil, dispatch.Config{}, endpoints(1, 2))
		h.send(traffic{team: "a", meanInterval: 10 * time.Millisecond, duration: fixed(100 * time.Millisecond), deadline: time.Second, stop: 10 * time.Second})
		h.drain()
		refused := 0
		for _, e := range h.events {
			if e.refusal != nil {
				refused++
				Expect(e.refusal.Code).To(BeElementOf(problem.CodeOverloaded, problem.CodeDeadlineExceeded))
				Expect(e.refusal.Status).To(Equal(503))
			}
		}
		Expect(refused).To(BeNumerically(">", 100))
	}))

	It("derives Retry-After from the time in which the queue drains, and sets Reroute if configured", bubble(func() {
		h := newHarness(nil, dispatch.Config{RerouteRefusals: true}, endpoints(1, 1))
		work := func(deadline time.Duration) {
			h.runRequest(traffic{team: "a", deadline: deadline}, 100*time.Millisecond)
		}
		work(time.Second)
		for range 50 {
			h.wait.Go(func() { work(time.Minute) })
		}
		synctest.Wait()
		_, p := h.acquire("a", 1300*time.Millisecond)
		Expect(p.Reroute).To(BeTrue())
		Expect(p.RetryAfter).To(BeNumerically("~", 4000*time.Millisecond, 200*time.Millisecond))
		time.Sleep(p.RetryAfter)
		began := time.Now()
		g, p := h.acquire("a", 1300*time.Millisecond)
		Expect(p).To(BeNil())
		Expect(time.Since(began)).To(BeNumerically(">", 800*time.Millisecond), "Retry-After is not too long")
		g.Cancel()
		h.drain()
	}))

	It("refuses the newest request of the team furthest above its share when the queue is full", bubble(func() {
		h := newHarness(nil, dispatch.Config{MaxQueued: 10}, endpoints(1, 1))
		defer h.Close()
		_, _ = h.acquire("a", time.Second)
		for range 11 {
			h.wait.Go(func() { h.runRequest(traffic{team: "greedy", deadline: time.Second}, 0) })
		}
		synctest.Wait()
		Expect(h.decidedEvents()).To(HaveLen(1))
		h.wait.Go(func() { h.runRequest(traffic{team: "modest", deadline: time.Second}, 0) })
		synctest.Wait()
		Expect(h.decidedEvents()).To(HaveLen(2))
		for _, e := range h.decidedEvents() {
			Expect(e.team).To(Equal(fleet.TeamID("greedy")))
			Expect(e.refusal.Code).To(Equal(problem.CodeOverShare))
		}
		h.wait.Wait()
	}))

	It("reroutes queued requests to another owner with free slots, except those rerouted too often", bubble(func() {
		h := newHarness(nil, dispatch.Config{RemoteFreeUnits: func(fleet.ServiceID, fleet.TeamID) int { return 1 }}, endpoints(1, 1))
		defer h.Close()
		_, _ = h.acquire("a", time.Second)
		began := time.Now()
		_, p := h.acquire("a", time.Second)
		Expect(p.Reroute).To(BeTrue())
		Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond))
		_, p = h.acquireFor(context.Background(), dispatch.Request{Team: "a", Deadline: time.Now().Add(time.Second), NoReroute: true})
		Expect(p.Reroute).To(BeFalse())
	}))

	Context("with the units of a team's limit at another owner", func() {
		held := func(units int) dispatch.Config {
			return dispatch.Config{
				RemoteFreeUnits: func(fleet.ServiceID, fleet.TeamID) int { return 0 },
				RemoteUnits:     func(fleet.ServiceID, fleet.TeamID) int { return units },
			}
		}

		It("reroutes requests to that owner instead of refusing them at their deadline", bubble(func() {
			h := newHarness(map[fleet.TeamID]int{"a": 0}, held(2), endpoints(1, 4))
			defer h.Close()
			began := time.Now()
			_, p := h.acquire("a", 800*time.Millisecond)
			Expect(p.Reroute).To(BeTrue())
			Expect(time.Since(began)).To(BeNumerically("<", 400*time.Millisecond), "half of the time is left for the other owner")
		}))

		It("does not reroute requests while this owner holds units too, or no owner does", bubble(func() {
			for own, elsewhere := range map[int]int{1: 2, 0: 0} {
				h := newHarness(map[fleet.TeamID]int{"a": own}, held(elsewhere), endpoints(1, 4))
				for range own {
					_, p := h.acquire("a", time.Second)
					Expect(p).To(BeNil())
				}
				_, p := h.acquire("a", 800*time.Millisecond)
				Expect(p.Reroute).To(BeFalse())
				h.Close()
			}
		}))
	})
})
