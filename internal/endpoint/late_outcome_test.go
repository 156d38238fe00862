package endpoint_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/endpoint"
)

// These specs guard against outcomes of requests that were sent before an endpoint was ejected. It may have restarted since.
var _ = Describe("the health tracker of an endpoint that is probed", func() {
	var (
		now  time.Time
		t    *endpoint.Tracker
		late []endpoint.Attempt
	)
	finish := func(a endpoint.Attempt, failed bool) {
		now = now.Add(10 * time.Millisecond)
		t.Finish(now, a, endpoint.Outcome{Failed: failed, Elapsed: 10 * time.Millisecond, Signature: fmt.Sprint(now)})
	}
	BeforeEach(func() {
		now = time.Unix(1_700_000_000, 0)
		t, late = endpoint.NewTracker(8, now), nil
		for i := range 6 {
			late = append(late, t.Start(now, i+1))
		}
		t.Eject(now)
		now = now.Add(time.Second)
		t.Tick(now)
		Expect(t.State()).To(Equal(endpoint.Probing))
	})

	It("does not eject it again for requests that failed late", func() {
		finish(late[0], true)
		finish(late[1], true)
		Expect(t.State()).To(Equal(endpoint.Probing))
	})

	It("does not readmit it for requests that succeeded late", func() {
		for _, a := range late[:3] {
			finish(a, false)
		}
		Expect(t.State()).To(Equal(endpoint.Probing))
	})

	It("does not count late failures after it was readmitted", func() {
		for range 3 {
			finish(t.Start(now, 1), false)
		}
		Expect(t.State()).To(Equal(endpoint.InUse))
		for _, a := range late {
			finish(a, true)
		}
		Expect(t.Failing()).To(BeFalse())
	})
})
