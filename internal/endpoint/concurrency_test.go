package endpoint_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/endpoint"
)

func TestEndpoint(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "endpoint")
}

// overloadBehaviour is the behaviour of a simulated endpoint above its capacity.
type overloadBehaviour int

const (
	slowsDown overloadBehaviour = iota
	queues
	refuses
)

// simulation drives a tracker with a saturated endpoint in steps of stepTime.
type simulation struct {
	tracker  *endpoint.Tracker
	capacity int
	mode     overloadBehaviour
	// demand returns the random work of a request in milliseconds; failureRate is the fraction of
	// requests that fails for reasons other than concurrency.
	demand      func(*rand.Rand) float64
	failureRate float64
	rand        *rand.Rand
	now         time.Time
	inFlight    []*request
	// penalties holds the times until which a failed request keeps its slot occupied, as
	// the dispatcher does.
	penalties []time.Time
	// served and failed count finished requests; limits sums up the limit over all steps.
	served, failed int
	steps, limits  int
	// work is the completed work in milliseconds; unlike served it has no sampling noise.
	work float64
}

type request struct {
	attempt     endpoint.Attempt
	started     time.Time
	remainingMS float64
	signature   string
}

// run advances the simulation by d and restarts the statistics, so that a first run serves as warm-up.
func (s *simulation) run(d time.Duration) {
	s.served, s.failed, s.steps, s.limits, s.work = 0, 0, 0, 0, 0
	for end := s.now.Add(d); s.now.Before(end); s.steps++ {
		s.now = s.now.Add(stepTime)
		if s.steps%25 == 0 {
			s.tracker.Tick(s.now)
		}
		s.limits += s.tracker.Limit()
		s.serve()
		for len(s.penalties) > 0 && s.penalties[0].Before(s.now) {
			s.penalties = s.penalties[1:]
		}
		for len(s.inFlight)+len(s.penalties) < s.tracker.Limit() {
			s.send()
		}
	}
}

func (s *simulation) serve() {
	progress := stepMS
	if s.mode == slowsDown && len(s.inFlight) > s.capacity {
		progress *= float64(s.capacity) / float64(len(s.inFlight))
	}
	var unfinished []*request
	for i, req := range s.inFlight {
		if s.mode != queues || i < s.capacity {
			req.remainingMS -= progress
			s.work += progress
		}
		if req.remainingMS > 0 {
			unfinished = append(unfinished, req)
			continue
		}
		s.end(req, s.rand.Float64() < s.failureRate)
	}
	s.inFlight = unfinished
}

func (s *simulation) end(req *request, failed bool) {
	elapsed := s.now.Sub(req.started)
	if failed {
		s.failed++
		s.penalties = append(s.penalties, s.now.Add(s.tracker.MeanDuration()-elapsed))
	} else {
		s.served++
	}
	s.tracker.Finish(s.now, req.attempt, endpoint.Outcome{Failed: failed, Latency: elapsed, Elapsed: elapsed, Signature: req.signature})
}

func (s *simulation) send() {
	req := &request{started: s.now, remainingMS: s.demand(s.rand), signature: fmt.Sprint(s.rand.IntN(3))}
	req.attempt = s.tracker.Start(s.now, len(s.inFlight)+1)
	if s.mode == refuses && len(s.inFlight) >= s.capacity {
		s.end(req, true)
		return
	}
	s.inFlight = append(s.inFlight, req)
}

func (s *simulation) meanLimit() float64 { return float64(s.limits) / float64(s.steps) }

func constant(ms float64) func(*rand.Rand) float64 {
	return func(*rand.Rand) float64 { return ms }
}

func exponential(ms float64) func(*rand.Rand) float64 {
	return func(r *rand.Rand) float64 { return ms * r.ExpFloat64() }
}

// bimodal has a mean of 60 ms: 1 in 10 requests takes 50 times as long as the others.
func bimodal(r *rand.Rand) float64 {
	if r.IntN(10) == 0 {
		return 500
	}
	return 10
}

func noisy(ms float64) func(*rand.Rand) float64 {
	return func(r *rand.Rand) float64 { return ms * max(0.2, 1+0.4*r.NormFloat64()) }
}

const (
	seeds = 4
	// stepTime is short compared with the shortest request, 10 ms.
	stepTime = 2 * time.Millisecond
	stepMS   = float64(stepTime) / float64(time.Millisecond)
)

func newSimulation(seed, declared, capacity int, mode overloadBehaviour, demand func(*rand.Rand) float64) *simulation {
	now := time.Unix(1_700_000_000, 0)
	return &simulation{
		tracker: endpoint.NewTracker(declared, now), capacity: capacity, mode: mode, demand: demand,
		rand: rand.New(rand.NewPCG(uint64(seed), 7)), now: now,
	}
}

var _ = Describe("the concurrency limiter", func() {
	// maxLimitRatio bounds the limit to detect overload; minThroughputRatio bounds the throughput
	// to detect a limit that falls too far. Both are relative to the capacity.
	DescribeTable("finds the real capacity and keeps the throughput",
		func(declared, capacity int, mode overloadBehaviour, demand func(*rand.Rand) float64, maxLimitRatio, minThroughputRatio float64) {
			var highestLimitRatio, lowestThroughputRatio, failures float64
			lowestThroughputRatio = 2
			for seed := range seeds {
				s := newSimulation(seed, declared, capacity, mode, demand)
				s.run(20 * time.Second)
				s.run(60 * time.Second)
				highestLimitRatio = max(highestLimitRatio, s.meanLimit()/float64(capacity))
				lowestThroughputRatio = min(lowestThroughputRatio, s.work/60_000/float64(capacity))
				failures = max(failures, float64(s.failed)/float64(s.served+s.failed))
			}
			AddReportEntry(fmt.Sprintf("limit/capacity at most %.3f, throughput at least %.3f, failing %.4f", highestLimitRatio, lowestThroughputRatio, failures))
			Expect(highestLimitRatio).To(BeNumerically("<", maxLimitRatio))
			Expect(lowestThroughputRatio).To(BeNumerically(">", minThroughputRatio))
			Expect(failures).To(BeNumerically("<", 0.02))
		},
		Entry("declared slots equal the capacity, constant service time", 8, 8, slowsDown, constant(50), 1.01, 0.93),
		Entry("declared slots equal the capacity, noisy service time", 8, 8, slowsDown, noisy(50), 1.01, 0.93),
		Entry("declared slots equal the capacity, exponential service time", 8, 8, slowsDown, exponential(50), 1.01, 0.93),
		Entry("declared slots equal the capacity, bimodal service time", 8, 8, slowsDown, bimodal, 1.01, 0.90),
		Entry("one declared slot, capacity 1, exponential service time", 1, 1, slowsDown, exponential(50), 1.01, 0.93),
		Entry("declared slots are twice the capacity, endpoint slows down, constant service time", 8, 4, slowsDown, constant(50), 1.5, 0.93),
		Entry("declared slots are twice the capacity, endpoint slows down, noisy service time", 8, 4, slowsDown, noisy(50), 1.5, 0.93),
		Entry("declared slots are twice the capacity, endpoint slows down, exponential service time", 8, 4, slowsDown, exponential(50), 1.5, 0.93),
		Entry("declared slots are twice the capacity, endpoint slows down, bimodal service time", 8, 4, slowsDown, bimodal, 1.6, 0.85),
		Entry("declared slots are twice the capacity, endpoint queues, noisy service time", 8, 4, queues, noisy(50), 1.5, 0.93),
		Entry("declared slots are twice the capacity, endpoint queues, exponential service time", 8, 4, queues, exponential(50), 1.5, 0.93),
		Entry("declared slots are twice the capacity, endpoint queues, bimodal service time", 8, 4, queues, bimodal, 1.5, 0.90),
		Entry("declared slots are twice the capacity, endpoint refuses, noisy service time", 8, 4, refuses, noisy(50), 1.1, 0.93),
		Entry("declared slots are twice the capacity, endpoint refuses, bimodal service time", 8, 4, refuses, bimodal, 1.1, 0.90),
		Entry("declared slots are 4/3 of the capacity, endpoint slows down, noisy service time", 8, 6, slowsDown, noisy(50), 1.34, 0.93),
		Entry("32 declared slots, capacity 16, endpoint slows down, exponential service time", 32, 16, slowsDown, exponential(50), 1.5, 0.93),
	)

	// The first experiment of a new service runs at all of its endpoints at the same time,
	// during its first load peak.
	It("uses more than nine tenths of a new endpoint's capacity during the first experiment", func() {
		for _, slots := range []int{4, 8} {
			s := newSimulation(1, slots, slots, slowsDown, constant(50))
			s.run(200 * time.Millisecond)
			s.run(1900 * time.Millisecond)
			Expect(s.work/1900/float64(slots)).To(BeNumerically(">", 0.9), "%d slots", slots)
		}
	})

	It("follows a capacity that halves and then recovers", func() {
		for seed := range seeds {
			s := newSimulation(seed, 8, 8, slowsDown, noisy(50))
			s.run(30 * time.Second)
			s.capacity = 4
			s.run(60 * time.Second)
			s.run(30 * time.Second)
			Expect(s.meanLimit()).To(BeNumerically("<", 6), "seed %d", seed)
			s.capacity = 8
			s.run(90 * time.Second)
			s.run(30 * time.Second)
			Expect(s.meanLimit()).To(BeNumerically(">", 7), "seed %d", seed)
		}
	})

	DescribeTable("keeps the limit when failures do not depend on concurrency",
		func(failureRate float64) {
			for seed := range seeds {
				s := newSimulation(seed, 8, 8, slowsDown, exponential(50))
				s.failureRate = failureRate
				s.run(20 * time.Second)
				s.run(60 * time.Second)
				Expect(s.meanLimit()).To(BeNumerically(">", 6), "seed %d", seed)
			}
		},
		Entry("1 in 20 fails", 0.05),
		Entry("1 in 3 fails", 0.33),
		Entry("2 in 3 fail", 0.67),
	)

	It("finds the capacity of an endpoint with long requests", func() {
		s := newSimulation(1, 8, 4, slowsDown, noisy(2000))
		s.run(120 * time.Second)
		s.run(60 * time.Second)
		AddReportEntry(fmt.Sprintf("limit %.2f", s.meanLimit()))
		Expect(s.meanLimit()).To(BeNumerically("<", 6))
	})
})
