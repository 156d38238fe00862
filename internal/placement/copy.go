package placement

import (
	"math"
	"time"
)

// RunningTask is one task at work, as a candidate for a second copy.
type RunningTask struct {
	// Elapsed is since the worker confirmed the run.
	Elapsed time.Duration
	// Expected is what the task takes on a sound worker, and Spread the standard
	// deviation of the logarithm of that time.
	Expected  time.Duration
	LogStdDev float64
	// Unresponsive workers do not answer, so the run may never be seen to end.
	Unresponsive bool
}

const (
	// lateFactor times the expected duration is the least age of a run that is
	// copied: a fresh copy takes the expected time, and the late run has at most
	// as much left only where its worker is slow by this factor.
	lateFactor = 2.0
	// lateDeviations above the expected duration leave one task in forty of those
	// that run on sound workers.
	lateDeviations = 2.0
)

// ShouldSpeculate reports whether a second copy of a running task pays.
//
// Load pattern: a pool that is partly idle, in which a slow, stalled or
// unreachable worker keeps the last tasks of a step, and the steps after it wait.
func ShouldSpeculate(r RunningTask) bool {
	if r.Unresponsive {
		return true
	}
	late := max(lateFactor, math.Exp(lateDeviations*r.LogStdDev))
	return r.Elapsed > time.Duration(late*float64(r.Expected))
}
