// Package pacing throttles best-effort tasks that interfere with serving tasks on the
// same worker.
package pacing

import "time"

// TailLatency is the tail latency of one serving task and its target.
type TailLatency struct {
	Observed, Target time.Duration
}

const (
	// slowDownThreshold and speedUpThreshold are fractions of the target. Above the first,
	// best-effort tasks slow down; below the second, they speed up. The gap prevents
	// oscillation.
	slowDownThreshold = 0.85
	speedUpThreshold  = 0.6
	// slowDownFactor is the factor of one step down. A few steps fit into the time for which
	// the tail latency may exceed its target.
	slowDownFactor = 0.4
	// speedUpPercent is the size of one step up, in percentage points.
	speedUpPercent = 10
	// minPercent is the pace, in percent, below which best-effort tasks are paused.
	minPercent = 10
	// FullPace is the pace of a task at its start, in percent.
	FullPace = 100
)

// Next returns the next pace, in percent, of the best-effort tasks on one worker, given
// the tail latencies of the serving tasks there.
//
// Load pattern: interference changes within seconds, and the tail latency must not stay
// above its target for more than a few seconds. So the pace is decreased by a factor at
// each high measurement and increased by small steps.
func Next(percent int, tails []TailLatency) int {
	worst := 0.0
	for _, t := range tails {
		if t.Target > 0 {
			worst = max(worst, float64(t.Observed)/float64(t.Target))
		}
	}
	switch {
	case worst > slowDownThreshold:
		percent = int(float64(percent) * slowDownFactor)
		if percent < minPercent {
			percent = 0
		}
	case worst < speedUpThreshold && percent < FullPace:
		percent = min(FullPace, percent+speedUpPercent)
	}
	return percent
}
