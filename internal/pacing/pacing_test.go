package pacing_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/pacing"
)

var _ = Describe("the pace of best-effort tasks", func() {
	const target = 100 * time.Millisecond
	// disturbed is the tail latency of a serving task beside best-effort tasks at that pace.
	disturbed := func(percent int) time.Duration { return 50*time.Millisecond + time.Duration(percent)*time.Millisecond }
	It("brings the tail latency below its target within four measurements and keeps it there", func() {
		percent := pacing.FullPace
		for range 4 {
			percent = pacing.Next(percent, []pacing.TailLatency{{Observed: disturbed(percent), Target: target}})
		}
		Expect(disturbed(percent)).To(BeNumerically("<", target))
		for range 50 {
			percent = pacing.Next(percent, []pacing.TailLatency{{Observed: disturbed(percent), Target: target}})
			Expect(disturbed(percent)).To(BeNumerically("<", target))
		}
		Expect(percent).To(BeNumerically(">", 0))
	})
	It("falls to 0 while the tasks interfere at any pace, and rises to full afterwards", func() {
		percent := pacing.FullPace
		for range 5 {
			percent = pacing.Next(percent, []pacing.TailLatency{{Observed: 2 * target, Target: target}})
		}
		Expect(percent).To(BeZero())
		for range 10 {
			percent = pacing.Next(percent, []pacing.TailLatency{{Observed: target / 10, Target: target}})
		}
		Expect(percent).To(Equal(pacing.FullPace))
	})
	It("depends on the worst of several serving tasks", func() {
		Expect(pacing.Next(100, []pacing.TailLatency{{Observed: 1, Target: target}, {Observed: target, Target: target}})).To(BeNumerically("<", 100))
	})
})
