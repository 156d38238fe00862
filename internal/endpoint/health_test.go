package endpoint_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/endpoint"
)

var _ = Describe("the health tracker", func() {
	var (
		now time.Time
		t   *endpoint.Tracker
	)
	attempt := func(signature string, failed bool) {
		now = now.Add(10 * time.Millisecond)
		a := t.Start(now, 1)
		t.Finish(now, a, endpoint.Outcome{Failed: failed, Elapsed: 10 * time.Millisecond, Signature: signature})
	}
	fail := func(n int) {
		for i := range n {
			attempt(fmt.Sprint(i), true)
		}
	}
	BeforeEach(func() {
		now = time.Unix(1_700_000_000, 0)
		t = endpoint.NewTracker(8, now)
	})

	It("reports an endpoint as failing when most requests of several signatures fail", func() {
		attempt("0", false)
		fail(5)
		Expect(t.Failing()).To(BeTrue())
	})

	It("does not report the endpoint as failing because of requests that always fail", func() {
		for range 100 {
			attempt("always", true)
			Expect(t.Failing()).To(BeFalse())
		}
		for i := range 100 {
			attempt("always", true)
			attempt("always as well", true)
			attempt("always, too", true)
			for j := range 4 {
				attempt(fmt.Sprint("good", i, j), false)
			}
			Expect(t.Failing()).To(BeFalse())
		}
	})

	It("probes an ejected endpoint with one request at a time and readmits it in slow start", func() {
		for range 2 {
			now = now.Add(500 * time.Millisecond)
			t.Tick(now)
		}
		Expect(t.Limit()).To(Equal(8))
		t.Eject(now)
		Expect(t.Limit()).To(BeZero())
		t.Tick(now.Add(900 * time.Millisecond))
		Expect(t.State()).To(Equal(endpoint.Ejected))
		now = now.Add(time.Second)
		t.Tick(now)
		Expect(t.State()).To(Equal(endpoint.Probing))
		Expect(t.Limit()).To(Equal(1))
		attempt("always fails", true)
		for range 3 {
			Expect(t.State()).To(Equal(endpoint.Probing))
			attempt("0", false)
		}
		Expect(t.State()).To(Equal(endpoint.InUse))
		Expect(t.Limit()).To(Equal(2))
		for range 2 {
			a := t.Start(now, t.Limit())
			t.Finish(now, a, endpoint.Outcome{Elapsed: time.Millisecond})
		}
		Expect(t.Limit()).To(Equal(4))
	})

	It("ejects for a longer time after each failed probing, up to a bound", func() {
		wait := time.Duration(0)
		for range 8 {
			t.Eject(now)
			ejected := now
			for t.State() == endpoint.Ejected {
				now = now.Add(100 * time.Millisecond)
				t.Tick(now)
			}
			Expect(now.Sub(ejected)).To(BeNumerically(">=", min(2*wait, 30*time.Second)))
			wait = now.Sub(ejected)
			fail(2)
			Expect(t.State()).To(Equal(endpoint.Ejected))
		}
		Expect(wait).To(Equal(30 * time.Second))
	})
})
