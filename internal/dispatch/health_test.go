package dispatch_test

import (
	"context"
	"fmt"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/dispatch"
	"samphirestile.example/samphirestile/internal/endpoint"
	"samphirestile.example/samphirestile/internal/fleet"
)

// runClosedLoop runs clients in a closed loop for a time and counts requests and failures
// by endpoint. A request for which fails returns true ends after 1 ms, others after 50 ms.
func (h *harness) runClosedLoop(clients int, length time.Duration, fails func(fleet.EndpointID, string) bool) (all, failed map[fleet.EndpointID]int) {
	all, failed = map[fleet.EndpointID]int{}, map[fleet.EndpointID]int{}
	end := time.Now().Add(length)
	for c := range clients {
		h.wait.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				signature := fmt.Sprint((c + i) % 5)
				g, p := h.acquireFor(context.Background(), dispatch.Request{Team: "a", Signature: signature, Deadline: time.Now().Add(time.Second)})
				if p != nil {
					continue
				}
				id := g.Endpoint().ID
				failing := fails(id, signature)
				if failing {
					time.Sleep(time.Millisecond)
				} else {
					time.Sleep(50 * time.Millisecond)
				}
				g.Done(dispatch.Result{Failed: failing})
				h.mu.Lock()
				all[id]++
				if failing {
					failed[id]++
				}
				h.mu.Unlock()
			}
		})
	}
	h.wait.Wait()
	synctest.Wait()
	return all, failed
}

func total(counts map[fleet.EndpointID]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}

var _ = Describe("a scheduler with failing endpoints", func() {
	healthy := func(fleet.EndpointID, string) bool { return false }

	It("ejects an endpoint that fails every request at once and readmits it after its recovery", bubble(func() {
		h := newHarness(nil, dispatch.Config{}, endpoints(4, 8))
		defer h.Close()
		h.runClosedLoop(32, 5*time.Second, healthy)
		all, failed := h.runClosedLoop(32, 20*time.Second, func(id fleet.EndpointID, _ string) bool { return id == "e0" })
		AddReportEntry(fmt.Sprintf("%d of %d requests failed", total(failed), total(all)))
		Expect(total(failed)).To(BeNumerically("<", total(all)/200))
		Expect(h.Stats()[service].Endpoints["e0"].State).NotTo(Equal(endpoint.InUse))
		all, _ = h.runClosedLoop(32, 60*time.Second, healthy)
		Expect(h.Stats()[service].Endpoints["e0"].State).To(Equal(endpoint.InUse))
		Expect(all["e0"]).To(BeNumerically(">", total(all)/8))
	}))

	It("charges fast failures of a single endpoint the mean service time", bubble(func() {
		h := newHarness(nil, dispatch.Config{}, endpoints(1, 8))
		defer h.Close()
		h.runClosedLoop(16, 5*time.Second, healthy)
		all, _ := h.runClosedLoop(16, 10*time.Second, func(fleet.EndpointID, string) bool { return true })
		Expect(all["e0"]).To(BeNumerically("~", 8*10*20, 8*20))
		Expect(h.Stats()[service].Endpoints["e0"].State).To(Equal(endpoint.InUse))
		all, _ = h.runClosedLoop(16, 10*time.Second, healthy)
		Expect(all["e0"]).To(BeNumerically(">", 7*10*20), "no penalty remains after its recovery")
	}))

	It("does not eject endpoints because of a request that always fails", bubble(func() {
		h := newHarness(nil, dispatch.Config{}, endpoints(4, 8))
		defer h.Close()
		for range 20 {
			h.runClosedLoop(32, time.Second, func(_ fleet.EndpointID, signature string) bool { return signature == "0" || signature == "1" })
			for _, e := range h.Stats()[service].Endpoints {
				Expect(e.State).To(Equal(endpoint.InUse))
			}
		}
	}))

	It("keeps at least half of the endpoints in use when all of them fail", bubble(func() {
		h := newHarness(nil, dispatch.Config{}, endpoints(5, 8))
		defer h.Close()
		for range 20 {
			h.runClosedLoop(32, 500*time.Millisecond, func(fleet.EndpointID, string) bool { return true })
			inUse := 0
			for _, e := range h.Stats()[service].Endpoints {
				if e.State == endpoint.InUse {
					inUse++
				}
			}
			Expect(inUse).To(BeNumerically(">=", 3))
		}
		Expect(h.Stats()[service].Endpoints).To(ContainElement(HaveField("State", Not(Equal(endpoint.InUse)))))
		h.SetEndpoints(fleet.Service{ID: service}, endpoints(1, 8))
		load, ok := h.Load(service)
		Expect(ok).To(BeTrue(), "the only endpoint left is in use")
		Expect(load.Slots).To(BeNumerically(">", 0))
	}))
})
