package placement

import (
	"math"
	"time"
)

// RunningTask is a running task that may get a speculative copy.
type RunningTask struct {
	// Elapsed is the time since the worker confirmed the run.
	Elapsed time.Duration
	// Expected is the expected duration on a healthy worker, and LogStdDev the standard
	// deviation of its logarithm.
	Expected  time.Duration
	LogStdDev float64
	// Unresponsive is set if the worker does not respond, so the completion of the run may
	// never be observed.
	Unresponsive bool
}

const (
	// minSlowdown times the expected duration is the minimum age of a run that is copied:
	// the copy takes the expected time, and finishes first only if the worker of the
	// original run is slower by at least this factor.
	minSlowdown = 2.0
	// lateDeviations is the number of standard deviations above the expected duration. One
	// task in forty on healthy workers takes longer.
	lateDeviations = 2.0
)

// ShouldSpeculate reports whether a speculative copy of a running task is worth its cost.
//
// Fault: a slow, stalled or unreachable worker has the last tasks of a step, and the steps
// after it wait while the pool is partly idle.
func ShouldSpeculate(r RunningTask) bool {
	if r.Unresponsive {
		return true
	}
	minElapsedFactor := max(minSlowdown, math.Exp(lateDeviations*r.LogStdDev))
	return r.Elapsed > time.Duration(minElapsedFactor*float64(r.Expected))
}
