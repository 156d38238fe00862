// Package pacing slows down tasks that fill where they disturb tasks that serve.
package pacing

import "time"

// TailLatency is the response time of one serving task against its target.
type TailLatency struct {
	Observed, Target time.Duration
}

const (
	// highTail and lowTail are parts of the target. Above the first, fillers slow
	// down; below the second, they speed up. The gap prevents oscillation.
	highTail = 0.85
	lowTail  = 0.6
	// slowDown is the factor of one step down; a few steps fit into the time
	// that a tail may be too high.
	slowDown = 0.4
	// speedUp is the step back up in percent.
	speedUp = 10
	// minPercent below which fillers are paused.
	minPercent = 10
	// FullPace is the pace of a task at its start.
	FullPace = 100
)

// Next returns the pace in percent of the fillers on one worker, given the
// tails of the tasks that serve there.
//
// Load pattern: disturbance changes within seconds, and the tail must not stay
// above its target for more than a few seconds on end. So the pace falls by a
// factor at each bad reading and rises by small steps.
func Next(percent int, tails []TailLatency) int {
	worst := 0.0
	for _, t := range tails {
		if t.Target > 0 {
			worst = max(worst, float64(t.Observed)/float64(t.Target))
		}
	}
	switch {
	case worst > highTail:
		percent = int(float64(percent) * slowDown)
		if percent < minPercent {
			percent = 0
		}
	case worst < lowTail && percent < FullPace:
		percent = min(FullPace, percent+speedUp)
	}
	return percent
}
