package dispatch_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/dispatch"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/problem"
)

var _ = Describe("slots", func() {
	It("starts no more requests than slots and the next one when a slot is freed", bubble(func() {
		b := newBench(nil, dispatch.Config{}, endpoints(1, 2))
		defer b.Close()
		first, _ := b.acquire("a", time.Second)
		_, p := b.acquire("a", time.Second)
		Expect(p).To(BeNil())
		time.AfterFunc(300*time.Millisecond, func() { first.Done(dispatch.Result{}) })
		began := time.Now()
		_, p = b.acquire("a", time.Second)
		Expect(p).To(BeNil())
		Expect(time.Since(began)).To(Equal(300 * time.Millisecond))
	}))

	It("gives no new work to leaving or lost endpoints and counts their running work", bubble(func() {
		all := endpoints(2, 1)
		b := newBench(nil, dispatch.Config{}, all)
		defer b.Close()
		one, _ := b.acquire("a", time.Second)
		two, _ := b.acquire("a", time.Second)
		Expect(one.Endpoint().ID).NotTo(Equal(two.Endpoint().ID))
		all[0].Leaving = true
		b.SetEndpoints(fleet.Service{ID: service}, all[:1])
		Expect(b.InFlight("e0") + b.InFlight("e1")).To(Equal(2))
		one.Done(dispatch.Result{})
		two.Done(dispatch.Result{})
		Expect(b.InFlight("e0") + b.InFlight("e1")).To(BeZero())
		_, p := b.acquire("a", time.Second)
		Expect(p.Code).To(Equal(problem.CodeNotOwner))
		Expect(p.Reroute).To(BeTrue())
	}))

	It("refuses queued requests at once when the last endpoint is lost", bubble(func() {
		b := newBench(nil, dispatch.Config{}, endpoints(1, 1))
		defer b.Close()
		_, _ = b.acquire("a", time.Second)
		time.AfterFunc(100*time.Millisecond, func() { b.SetEndpoints(fleet.Service{ID: service}, nil) })
		began := time.Now()
		_, p := b.acquire("a", time.Second)
		Expect(p.Code).To(Equal(problem.CodeNotOwner))
		Expect(time.Since(began)).To(Equal(100 * time.Millisecond))
	}))

	It("honours Avoid when another endpoint is possible, without holding up other requests", bubble(func() {
		b := newBench(nil, dispatch.Config{}, endpoints(2, 1))
		defer b.Close()
		g, _ := b.acquire("a", time.Second)
		other := fleet.EndpointID("e1")
		if g.Endpoint().ID == other {
			other = "e0"
		}
		avoiding := make(chan fleet.EndpointID)
		go func() {
			g, _ := b.do(context.Background(), dispatch.Request{Team: "a", Avoid: []fleet.EndpointID{other}})
			avoiding <- g.Endpoint().ID
		}()
		time.Sleep(10 * time.Millisecond)
		h, p := b.acquire("a", time.Second)
		Expect(p).To(BeNil(), "the free slot is used by a request that may use it")
		Expect(h.Endpoint().ID).To(Equal(other))
		busy := g.Endpoint().ID
		g.Done(dispatch.Result{})
		Expect(<-avoiding).To(Equal(busy))
		h.Done(dispatch.Result{})
		both, p := b.do(context.Background(), dispatch.Request{Team: "a", Avoid: []fleet.EndpointID{"e0", "e1"}})
		Expect(p).To(BeNil(), "an endpoint to avoid is better than none")
		both.Cancel()
	}))

	It("removes cancelled requests and reports demand to the limiter", bubble(func() {
		b := newBench(nil, dispatch.Config{}, endpoints(1, 1))
		defer b.Close()
		g, _ := b.acquire("a", time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		codes := make(chan problem.Code, 10_000)
		for range 10_000 {
			go func() {
				_, p := b.do(ctx, dispatch.Request{Team: "a", Deadline: time.Now().Add(time.Hour)})
				codes <- p.Code
			}()
		}
		time.Sleep(time.Second)
		load, _ := b.Load(service)
		Expect(load).To(Equal(dispatch.Load{Slots: 1, Running: 1, Queued: 10_000}))
		Expect(b.limiter.demand["a"]).To(Equal(10_000))
		cancel()
		for range 10_000 {
			Expect(<-codes).To(Equal(problem.CodeCallerGone))
		}
		time.Sleep(time.Second)
		load, _ = b.Load(service)
		Expect(load.Queued).To(BeZero())
		Expect(b.limiter.demand["a"]).To(BeZero())
		g.Done(dispatch.Result{})
		_, p := b.acquire("a", time.Second)
		Expect(p).To(BeNil())
	}))

	It("starts waiting requests when the limiter gains a unit", bubble(func() {
		b := newBench(map[fleet.TeamID]int{"a": 0}, dispatch.Config{}, endpoints(1, 1))
		defer b.Close()
		time.AfterFunc(200*time.Millisecond, func() {
			b.limiter.mu.Lock()
			defer b.limiter.mu.Unlock()
			b.limiter.limits["a"] = 1
			b.limiter.notify()
		})
		began := time.Now()
		g, p := b.acquire("a", time.Second)
		Expect(p).To(BeNil())
		Expect(time.Since(began)).To(Equal(200 * time.Millisecond))
		Expect(g.StillValid()).To(BeTrue())
		b.limiter.invalid = true
		Expect(g.StillValid()).To(BeFalse())
		g.Cancel()
		g.Done(dispatch.Result{})
		Expect(b.limiter.running["a"]).To(BeZero(), "a grant is released once")
	}))
})

var _ = Describe("deadlines", func() {
	It("refuses a queued request at its deadline, not later", bubble(func() {
		b := newBench(nil, dispatch.Config{}, endpoints(1, 1))
		defer b.Close()
		_, _ = b.acquire("a", time.Second)
		began := time.Now()
		_, p := b.acquire("a", 700*time.Millisecond)
		Expect(p.Code).To(Equal(problem.CodeDeadlineExceeded))
		Expect(p.RetryAfter).To(BeNumerically(">", 0))
		Expect(time.Since(began)).To(Equal(700 * time.Millisecond))
	}))
})
