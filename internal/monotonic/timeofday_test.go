package monotonic

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestTimeOfDayIgnoresJumps guards against occurrences of jobs that start early or late by a jump of the time of day.
func TestTimeOfDayIgnoresJumps(t *testing.T) {
	g := NewWithT(t)
	const start = 1_700_000_000_000
	clock, now := TimeOfDay{}, Time(time.Hour)
	run := func(seconds int, jump int64) {
		for range seconds {
			now = now.Add(sampleInterval)
			clock.sample(start+now.Milliseconds()+jump, now)
		}
	}
	run(30, 0)
	for _, jump := range []int64{6700, -6700} {
		run(10, jump)
		g.Expect(clock.UnixMS(now)).To(Equal(start + now.Milliseconds()))
		run(60, 0)
		g.Expect(clock.UnixMS(now)).To(Equal(start + now.Milliseconds()))
	}
	// A time of day that stays changed is a correction.
	run(samplesKept, 2000)
	g.Expect(clock.UnixMS(now)).To(Equal(start + 2000 + now.Milliseconds()))
}

// TestTimeOfDayWithoutHistory guards against an estimate of zero before the first interval.
func TestTimeOfDayWithoutHistory(t *testing.T) {
	g := NewWithT(t)
	g.Expect(NewTimeOfDay().UnixMS(Now())).To(BeNumerically("~", time.Now().UnixMilli(), 1000))
}
