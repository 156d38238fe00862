package share_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/share"
)

var _ = Describe("the order of waiting jobs", func() {
	now := monotonic.Time(time.Hour)
	in := func(d time.Duration) monotonic.Time { return now.Add(d) }
	It("places long-running jobs first, then by priority, then by least slack", func() {
		jobs := []share.WaitingJob{
			{Priority: 1, Deadline: in(time.Second)},
			{Deadline: in(3 * time.Second), Remaining: time.Second},
			{Deadline: in(2 * time.Second), Remaining: 500 * time.Millisecond},
			{LongRunning: true, Priority: 2, Deadline: in(time.Minute)},
		}
		Expect(share.Order(jobs, now)).To(Equal([]int{3, 2, 1, 0}))
	})
	It("places jobs that can meet their objective before late ones", func() {
		// Least slack alone would place the late jobs first and make all jobs late.
		jobs := []share.WaitingJob{
			{Deadline: in(-time.Second), Remaining: time.Second, Accepted: 2},
			{Deadline: in(2 * time.Second), Remaining: time.Second, Accepted: 3},
			{Deadline: in(-2 * time.Second), Remaining: time.Second, Accepted: 1},
		}
		Expect(share.Order(jobs, now)).To(Equal([]int{1, 2, 0}))
	})
	// Guards against jobs without a worker that hide the others of their kind in each pass.
	It("places jobs that passes have skipped before others of their kind", func() {
		jobs := []share.WaitingJob{
			{Deadline: in(time.Second)}, {Deadline: in(3 * time.Second), Skips: 1}, {Deadline: in(2 * time.Second), Priority: 1, Skips: 2},
			{LongRunning: true, Deadline: in(time.Minute)},
		}
		Expect(share.Order(jobs, now)).To(Equal([]int{3, 2, 1, 0}))
	})
	It("places the job of the account with the lowest usage first among jobs of equal slack", func() {
		jobs := []share.WaitingJob{{Deadline: in(time.Second), Usage: 2}, {Deadline: in(time.Second), Usage: 1}}
		Expect(share.Order(jobs, now)).To(Equal([]int{1, 0}))
	})
})
