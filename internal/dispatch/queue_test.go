package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/dispatch"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/problem"
)

var _ = Describe("a scheduler with a limited number of slots", func() {
	It("starts no more requests than slots and the next one when a slot is freed", bubble(func() {
		h := newHarness(nil, dispatch.Config{}, endpoints(1, 2))
		defer h.Close()
		first, _ := h.acquire("a", time.Second)
		_, p := h.acquire("a", time.Second)
		Expect(p).To(BeNil())
		time.AfterFunc(300*time.Millisecond, func() { first.Done(dispatch.Result{}) })
		began := time.Now()
		_, p = h.acquire("a", time.Second)
		Expect(p).To(BeNil())
		Expect(time.Since(began)).To(Equal(300 * time.Millisecond))
	}))

	It("starts no new work on endpoints that are leaving or no longer owned and counts their running work", bubble(func() {
		all := endpoints(2, 1)
		h := newHarness(nil, dispatch.Config{}, all)
		defer h.Close()
		first, _ := h.acquire("a", time.Second)
		second, _ := h.acquire("a", time.Second)
		Expect(first.Endpoint().ID).NotTo(Equal(second.Endpoint().ID))
		all[0].Leaving = true
		h.SetEndpoints(fleet.Service{ID: service}, all[:1])
		Expect(h.InFlight("e0") + h.InFlight("e1")).To(Equal(2))
		first.Done(dispatch.Result{})
		second.Done(dispatch.Result{})
		Expect(h.InFlight("e0") + h.InFlight("e1")).To(BeZero())
		_, p := h.acquire("a", time.Second)
		Expect(p.Code).To(Equal(problem.CodeNotOwner))
		Expect(p.Reroute).To(BeTrue())
	}))

	It("refuses queued requests at once when the last endpoint is no longer owned", bubble(func() {
		h := newHarness(nil, dispatch.Config{}, endpoints(1, 1))
		defer h.Close()
		_, _ = h.acquire("a", time.Second)
		time.AfterFunc(100*time.Millisecond, func() { h.SetEndpoints(fleet.Service{ID: service}, nil) })
		began := time.Now()
		_, p := h.acquire("a", time.Second)
		Expect(p.Code).To(Equal(problem.CodeNotOwner))
		Expect(time.Since(began)).To(Equal(100 * time.Millisecond))
	}))

	It("honours Avoid when another endpoint is possible, without blocking other requests", bubble(func() {
		h := newHarness(nil, dispatch.Config{}, endpoints(2, 1))
		defer h.Close()
		g, _ := h.acquire("a", time.Second)
		other := fleet.EndpointID("e1")
		if g.Endpoint().ID == other {
			other = "e0"
		}
		avoiding := make(chan fleet.EndpointID)
		go func() {
			g, _ := h.acquireFor(context.Background(), dispatch.Request{Team: "a", Avoid: []fleet.EndpointID{other}})
			avoiding <- g.Endpoint().ID
		}()
		time.Sleep(10 * time.Millisecond)
		third, p := h.acquire("a", time.Second)
		Expect(p).To(BeNil(), "a request without Avoid gets the free slot")
		Expect(third.Endpoint().ID).To(Equal(other))
		busy := g.Endpoint().ID
		g.Done(dispatch.Result{})
		Expect(<-avoiding).To(Equal(busy))
		third.Done(dispatch.Result{})
		avoidingAll, p := h.acquireFor(context.Background(), dispatch.Request{Team: "a", Avoid: []fleet.EndpointID{"e0", "e1"}})
		Expect(p).To(BeNil(), "an endpoint to avoid is better than none")
		avoidingAll.Cancel()
	}))

	It("serves a team that gained a unit while none of its requests was queued", bubble(func() {
		h := newHarness(map[fleet.TeamID]int{"a": 0}, dispatch.Config{}, endpoints(1, 1))
		defer h.Close()
		_, p := h.acquire("a", 10*time.Millisecond)
		Expect(p).NotTo(BeNil())
		h.limiter.mu.Lock()
		h.limiter.limits["a"] = 1
		h.limiter.mu.Unlock()
		began := time.Now()
		_, p = h.acquire("a", time.Second)
		Expect(p).To(BeNil())
		Expect(time.Since(began)).To(BeZero())
	}))

	// Guards against queued requests that stay in the counts after a mass cancellation.
	It("removes cancelled requests and reports demand to the limiter", bubble(func() {
		h := newHarness(nil, dispatch.Config{}, endpoints(1, 1))
		defer h.Close()
		g, _ := h.acquire("a", time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		codes := make(chan problem.Code, 10_000)
		for range 10_000 {
			go func() {
				_, p := h.acquireFor(ctx, dispatch.Request{Team: "a", Deadline: time.Now().Add(time.Hour)})
				codes <- p.Code
			}()
		}
		time.Sleep(time.Second)
		synctest.Wait()
		load, _ := h.Load(service)
		Expect(load).To(Equal(dispatch.Load{Slots: 1, Running: 1, Queued: 10_000}))
		Expect(h.limiter.demand["a"]).To(Equal(10_000))
		cancel()
		for range 10_000 {
			Expect(<-codes).To(Equal(problem.CodeCallerGone))
		}
		time.Sleep(time.Second)
		synctest.Wait()
		load, _ = h.Load(service)
		Expect(load.Queued).To(BeZero())
		Expect(h.limiter.demand["a"]).To(BeZero())
		g.Done(dispatch.Result{})
		_, p := h.acquire("a", time.Second)
		Expect(p).To(BeNil())
	}))

	It("starts waiting requests when the limiter gains a unit, and releases a grant only once", bubble(func() {
		h := newHarness(map[fleet.TeamID]int{"a": 0}, dispatch.Config{}, endpoints(1, 1))
		defer h.Close()
		time.AfterFunc(200*time.Millisecond, func() {
			h.limiter.mu.Lock()
			defer h.limiter.mu.Unlock()
			h.limiter.limits["a"] = 1
			h.limiter.notify()
		})
		began := time.Now()
		g, p := h.acquire("a", time.Second)
		Expect(p).To(BeNil())
		Expect(time.Since(began)).To(Equal(200 * time.Millisecond))
		Expect(g.SendPermitted()).To(BeTrue())
		h.limiter.notPermitted = true
		Expect(g.SendPermitted()).To(BeFalse())
		g.Cancel()
		g.Done(dispatch.Result{})
		Expect(h.limiter.running["a"]).To(BeZero(), "a grant is released once")
	}))
})

var _ = Describe("the scheduler", func() {
	It("refuses a queued request at its deadline, not later", bubble(func() {
		h := newHarness(nil, dispatch.Config{}, endpoints(1, 1))
		defer h.Close()
		_, _ = h.acquire("a", time.Second)
		began := time.Now()
		_, p := h.acquire("a", 700*time.Millisecond)
		Expect(p.Code).To(Equal(problem.CodeDeadlineExceeded))
		Expect(p.RetryAfter).To(BeNumerically(">", 0))
		Expect(time.Since(began)).To(Equal(700 * time.Millisecond))
	}))
})

var _ = Describe("the scheduler under random load", func() {
	It("leaves no free slot while a request waits", bubble(func() {
		h := newHarness(nil, dispatch.Config{}, endpoints(3, 4))
		defer h.Close()
		for i := range 60 {
			h.wait.Go(func() {
				r := rand.New(rand.NewPCG(3, uint64(i)))
				for end := time.Now().Add(8 * time.Second); time.Now().Before(end); {
					request := dispatch.Request{Team: fleet.TeamID(fmt.Sprint(r.IntN(5))), Deadline: time.Now().Add(time.Second)}
					if r.IntN(4) == 0 {
						request.Avoid = []fleet.EndpointID{fleet.EndpointID(fmt.Sprint("e", r.IntN(3)))}
					}
					time.Sleep(time.Duration(r.ExpFloat64() * 100 * float64(time.Millisecond)))
					if g, p := h.acquireFor(context.Background(), request); p == nil {
						time.Sleep(time.Duration(r.ExpFloat64() * 50 * float64(time.Millisecond)))
						if r.IntN(10) == 0 {
							g.Cancel()
						} else {
							g.Done(dispatch.Result{})
						}
					}
				}
			})
		}
		waited := 0
		for range 7_000 {
			time.Sleep(time.Millisecond)
			synctest.Wait()
			s := h.Stats()[service]
			free := 0
			for _, e := range s.Endpoints {
				free += max(0, e.Limit-e.InFlight-e.PenaltySlots)
			}
			// Requests that avoid the only endpoint with a free slot may wait.
			if s.Queued > s.Avoiding {
				waited++
				Expect(free).To(BeZero())
			}
		}
		Expect(waited).To(BeNumerically(">", 1000), "requests waited")
		h.wait.Wait()
	}))
})
