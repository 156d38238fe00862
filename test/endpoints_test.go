package integration

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/endpoint"
	"samphirestile.example/samphirestile/internal/emulator/history"
	"samphirestile.example/samphirestile/internal/emulator/load"
	"samphirestile.example/samphirestile/internal/emulator/process"
)

// Guarantee 8: a leaving endpoint receives no new work after 3 s. The other specs guard
// against harm that a faulty endpoint does to other requests.
var _ = Describe("endpoints", func() {
	// starts counts the starts by endpoint.
	starts := func(events []history.Event) map[string]int {
		n := map[string]int{}
		for _, e := range events {
			if e.Kind == history.KindStart {
				n[e.Endpoint]++
			}
		}
		return n
	}

	It("receive no new work later than 3 s after they were marked as leaving", func() {
		c := start(standardOptions())
		client := caller(c, "k", "large")
		client.Concurrency = 6
		leaving := c.Endpoints[0]
		r := run(7000, []load.Caller{client}, at(2000, func() error { return c.MarkLeaving(leaving) }))
		events := check(c, r, limits(), history.NewLeaving(3*time.Second), history.NewCompleteResponses(false))
		Expect(starts(events)[leaving.ID]).To(BeNumerically(">", 5), "work before the mark")
	})

	It("that fail every request at once do not attract load", func() {
		c := start(standardOptions())
		Expect(c.Endpoints[0].SetFaults(endpoint.Faults{FailStatus: 500})).To(Succeed())
		// Only failures of several distinct requests mark the endpoint, not the request, as faulty.
		client := caller(c, "k", "large")
		var callers []load.Caller
		for _, path := range []string{"a", "b", "c", "d"} {
			client.Name, client.Path, client.NonIdempotent, client.Rate = path, path, true, &load.Rate{Mean: 30}
			callers = append(callers, client)
		}
		r := run(5000, callers)
		startsBy := starts(check(c, r, limits()))
		total := startsBy[c.Endpoints[0].ID] + startsBy[c.Endpoints[1].ID] + startsBy[c.Endpoints[2].ID]
		// An even distribution would give the failing endpoint one third.
		Expect(startsBy[c.Endpoints[0].ID]).To(BeNumerically("<", total/4), "starts by endpoint: %v", startsBy)
		Expect(r.Total().Answered).To(BeNumerically(">", r.Total().Sent*3/5), "%+v", r.Total())
	})

	It("are not ejected because of one request that always fails", func() {
		c := start(standardOptions())
		for _, e := range c.Endpoints {
			Expect(e.SetFaults(endpoint.Faults{FailStatus: 500, FailPaths: []string{"/bad"}})).To(Succeed())
		}
		bad, good := caller(c, "bad", "large"), caller(c, "good", "tiny")
		bad.Path, bad.Concurrency, bad.RefusalPauseMS = "bad", 4, 5
		bad.NonIdempotent = true
		good.Concurrency = 2
		r := run(4000, []load.Caller{bad, good})
		check(c, r, limits(), history.NewCompleteResponses(true))
		result := r.Callers["good"]
		Expect(result.Answered).To(BeNumerically(">", 100))
		Expect(result.Sent-result.Answered).To(BeNumerically("<=", result.Sent/50), "%+v", result)
	})

	It("that declare twice as many slots as their capacity run about as many requests as their capacity", func() {
		const capacity = 4
		o := standardOptions()
		o.Services[0].Endpoints, o.Services[0].Slots = 2, 2*capacity
		o.Services[0].Behaviour = endpoint.Settings{Shape: endpoint.Fixed, MeanMS: 40, Capacity: capacity}
		o.Teams[1].Limit = 100
		c := start(o)
		client := caller(c, "k", "large")
		client.Concurrency, client.DeadlineMS = 30, 700
		r := run(9000, []load.Caller{client})
		events := check(c, r)
		w := history.Window{To: events[len(events)-1].TimeNS - int64(500*time.Millisecond)}
		w.From = w.To - int64(2*time.Second)
		mean := history.RunningTime(events, w)["large"] / 2 / float64(len(c.Endpoints))
		Expect(mean).To(BeNumerically("<", 1.5*capacity), "mean number of running requests per endpoint")
		Expect(mean).To(BeNumerically(">", 0.7*capacity), "mean number of running requests per endpoint")
	})

	It("that are killed lose no idempotent request", func() {
		c := start(standardOptions())
		client := caller(c, "k", "large")
		client.Concurrency = 6
		r := run(3500, []load.Caller{client}, at(1000, stepFunc(c.Endpoints[0].Kill)))
		check(c, r, limits(), history.NewCompleteResponses(false))
		Expect(r.Total().Unknown).To(BeZero(), "%+v", r.Total())
		Expect(r.Total().Answered).To(BeNumerically(">", 200))
	})
})

// Guarantee 9: no request is lost during a rolling replacement of daemons.
var _ = Describe("planned stops", func() {
	DescribeTable("lose no request", func(prepare func(*process.Cell) error) {
		o := standardOptions()
		o.StoreRelays = true
		c := start(o)
		client := caller(c, "k", "large")
		client.Concurrency, client.NonIdempotent, client.BodyBytes = 6, true, 500
		client.Balancer = load.NewBalancer(30*time.Millisecond, c.ServiceURLs()...)
		defer client.Balancer.Close()
		Expect(c.AwaitQuorums(10 * time.Second)).To(Succeed())
		var replacedNS int64
		r := run(9500, []load.Caller{client},
			at(1500, func() error { return prepare(c) }),
			at(2000, func() error {
				defer func() { replacedNS = history.Now() }()
				return c.ReplaceAll(client.Balancer)
			}))
		events := r.Recorder.Events(0)
		Expect(replacedNS).To(BeNumerically("<", events[len(events)-1].TimeNS), "the load ended before the last replacement")
		check(c, r, limits(), history.NewCompleteResponses(false))
		t := r.Total()
		Expect(t.Unknown+t.Broken+t.Failed+t.Refused).To(BeZero(), "%+v", t)
		Expect(t.Answered).To(BeNumerically(">", 500))
	},
		Entry("while the store is available", func(*process.Cell) error { return nil }),
		Entry("while the store is down", func(c *process.Cell) error { return c.SetStoreSwitches(process.Refused) }),
	)
})
