package shard

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against predictions that take a step of many tasks for as short as one task.
func TestStepLastsAsLongAsItsLongestTask(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, n := range []int{1, 8, 32} {
		const samples, logStdDev, tolerance = 4000, 0.4, 0.12
		sum := 0.0
		for range samples {
			longest := 0.0
			for range n {
				longest = max(longest, math.Exp(logStdDev*random.NormFloat64()))
			}
			sum += longest
		}
		mean := sum / samples
		if got := longestOf(n, time.Second, logStdDev).Seconds(); math.Abs(got-mean) > tolerance*mean {
			t.Errorf("longest of %d tasks: expected %.2f s, mean of %d samples %.2f s", n, got, samples, mean)
		}
	}
}
