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

// Guards against checks that pass on any history: load that bypasses the daemons breaks
// the guarantees, so every check must fail.
var _ = Describe("without daemons", func() {
	startWithoutDaemons := func() *process.Cell {
		o := standardOptions()
		o.Emulator, o.Dir = programs.emulator, GinkgoT().TempDir()
		c, err := process.New(o)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		return c
	}
	direct := func(c *process.Cell, name string) load.Caller {
		var urls []string
		for _, e := range c.Endpoints {
			urls = append(urls, "http://"+e.Address)
		}
		return load.Caller{Name: name, Team: "large", KeyID: "k", Service: "work", Targets: load.EvenTargets(urls...), Concurrency: 24}
	}
	expectViolation := func(c *process.Cell, r *load.Report, checker history.Checker) {
		GinkgoHelper()
		events, err := c.Events(r.Recorder.Events(0))
		Expect(err).NotTo(HaveOccurred())
		Expect(history.Check(events, checker)).NotTo(BeEmpty())
	}

	It("the checks of limits, revoked keys and leaving endpoints fail", func() {
		c := startWithoutDaemons()
		r := run(4500, []load.Caller{direct(c, "k")}, at(500, func() error {
			c.Recorder.Add(history.Event{Kind: history.KindRevoked, KeyID: "k"})
			c.Recorder.Add(history.Event{Kind: history.KindLeaving, Endpoint: c.Endpoints[0].ID})
			return nil
		}))
		expectViolation(c, r, limits())
		expectViolation(c, r, history.NewRevokedKey(2*time.Second))
		// The run ends 4 s after the mark. A mark that is made late on a busy machine must leave time for requests
		// beyond the allowed time.
		expectViolation(c, r, history.NewLeaving(2900*time.Millisecond))
	})

	It("the checks of complete responses and at-most-once fail", func() {
		c := startWithoutDaemons()
		client := direct(c, "k")
		client.NonIdempotent, client.Concurrency = true, 2
		first := run(500, []load.Caller{client})
		Expect(c.Endpoints[0].SetFaults(endpoint.Faults{CloseMidBody: true})).To(Succeed())
		// The same seed sends the same requests again, as a faulty retry does.
		again := run(500, []load.Caller{client})
		expectViolation(c, first, history.NewAtMostOnce())
		expectViolation(c, again, history.NewCompleteResponses(false))
	})

	It("the check of not-run outcomes fails when an executed request is reported as not-run", func() {
		c := startWithoutDaemons()
		r := run(300, []load.Caller{direct(c, "k")})
		for i, e := range r.Recorder.Events(0) {
			if e.Kind == history.KindResult && i%7 == 0 {
				e.Outcome = "not-run"
				c.Recorder.Add(e)
			}
		}
		expectViolation(c, r, history.NewNotRun())
	})
})
