package capacity_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/capacity"
	"samphirestile.example/samphirestile/internal/worker"
)

var _ = Describe("the calculation of pool sizes", func() {
	host := worker.Resources{CPU: 32_000, MemMB: 128_000}                   // CPU in thousandths of a core
	workPerJob := worker.Resources{CPU: 8_000 * 1300, MemMB: 20_000 * 1300} // resources times milliseconds
	It("requests hosts within a second of the start of a demand peak and returns to the idle size within 3 s of its end", func() {
		var rate capacity.ArrivalRate
		wanted := func(t time.Duration) int {
			return capacity.HostsWanted(capacity.Demand{Rate: rate.PerSecond(t), Host: host})
		}
		now := 100 * time.Second
		idle := wanted(now)
		for range 40 { // twenty jobs a second
			rate.Add(now, workPerJob)
			now += 50 * time.Millisecond
			if now == 101*time.Second {
				Expect(wanted(now)).To(BeNumerically(">=", 6))
			}
		}
		// 20 jobs/s x 8 cores x 1.3 s occupy 208 cores, which is 7 hosts plus packing losses.
		Expect(wanted(now)).To(BeNumerically("~", 8, 1))
		Expect(wanted(now + 3*time.Second)).To(Equal(idle))
	})
	It("predicts a demand peak that rises over three seconds, and little growth from random arrivals at a constant rate", func() {
		var rate capacity.ArrivalRate
		now := 100 * time.Second
		timeToReach := func(hosts int) time.Duration {
			var r capacity.ArrivalRate
			due := 0.0
			for t := time.Duration(0); t < 5*time.Second; t += 10 * time.Millisecond {
				// From zero to forty jobs a second, which occupy 416 cores.
				for due += min(t.Seconds()/3, 1) * 40 * 0.01; due >= 1; due-- {
					r.Add(now+t, workPerJob)
				}
				if capacity.HostsWanted(capacity.Demand{Rate: r.PerSecond(now + t).Plus(r.PredictedGrowth(now + t)), Host: host}) >= hosts {
					return t
				}
			}
			return 0
		}
		// Without a prediction, the arriving work needs twelve hosts, three quarters of the hosts at
		// the full rate, after 2.25 s.
		Expect(timeToReach(12)).To(BeNumerically("<", 2250*time.Millisecond))
		// Random arrivals at a constant rate are not taken for growth.
		random := rand.New(rand.NewPCG(1, 2))
		extra, level := 0.0, 0.0
		for range 2000 {
			now += time.Duration(random.ExpFloat64() * float64(50*time.Millisecond))
			rate.Add(now, workPerJob)
			extra += rate.PredictedGrowth(now).DominantShare(host)
			level += rate.PerSecond(now).DominantShare(host)
		}
		Expect(extra / level).To(BeNumerically("<", 0.1))
	})
	It("does not request more hosts than a single large job can use at the same time", func() {
		// Later steps of a job are not current demand: only tasks that could run count as waiting.
		waiting := worker.Resources{CPU: 64_000 * 1300, MemMB: 100_000 * 1300}
		Expect(capacity.HostsWanted(capacity.Demand{Waiting: waiting, Host: host})).To(BeNumerically("<=", 3))
	})
	It("counts hosts for long-running tasks and their limits per host", func() {
		Expect(capacity.HostsWanted(capacity.Demand{LongRunning: worker.Resources{MemMB: 500_000}, Host: host})).To(Equal(5))
		Expect(capacity.HostsWanted(capacity.Demand{SpreadHosts: 9, Host: host})).To(Equal(9))
	})
	It("leaves a minimum number of hosts in each pool", func() {
		Expect(capacity.MinHostsPerPool(48, 4)).To(Equal(9))
		Expect(capacity.MinHostsPerPool(48, 0)).To(Equal(0))
	})
})
