package history

import (
	"math"
	"time"
)

// Demand is what a team asks of a full fleet.
type Demand struct {
	Weight float64
	// Wanted is the work that the team offers; infinite when it always has more.
	Wanted float64
	// Limit bounds the team; 0 means unlimited.
	Limit float64
}

// Entitlements divides capacity by weight; what a team does not want or may not
// have goes to the others by weight, until nothing is left to give.
func Entitlements(capacity float64, teams map[string]Demand) map[string]float64 {
	given := map[string]float64{}
	open := map[string]Demand{}
	for name, d := range teams {
		if d.Limit > 0 {
			d.Wanted = math.Min(d.Wanted, d.Limit)
		}
		open[name] = d
	}
	for len(open) > 0 {
		weights := 0.0
		for _, d := range open {
			weights += d.Weight
		}
		satisfied := 0
		rest := capacity
		for name, d := range open {
			if d.Wanted <= capacity*d.Weight/weights {
				given[name] = d.Wanted
				rest -= d.Wanted
				delete(open, name)
				satisfied++
			}
		}
		if satisfied == 0 {
			for name, d := range open {
				given[name] = capacity * d.Weight / weights
			}
			return given
		}
		capacity = rest
	}
	return given
}

// Window is a span of event times in nanoseconds.
type Window struct{ From, To int64 }

// SteadyWindow returns the span of the events without margin at both ends, in which
// the load rises and falls.
func SteadyWindow(events []Event, margin time.Duration) Window {
	if len(events) == 0 {
		return Window{}
	}
	return Window{From: events[0].TimeNS + int64(margin), To: events[len(events)-1].TimeNS - int64(margin)}
}

// RunningTime returns the running time of each team in the window, in seconds. It is
// the measure of a share: a team with long requests gets fewer of them.
func RunningTime(events []Event, w Window) map[string]float64 {
	work := map[string]float64{}
	running := newRunningWork()
	last := w.From
	for _, e := range events {
		if at := min(e.TimeNS, w.To); at > last {
			for team, n := range running.teams {
				work[team] += float64(n) * float64(at-last) / float64(time.Second)
			}
			last = at
		}
		running.observe(e)
	}
	return work
}

// ShareErrors returns, for each team, how far its work is from its entitlement,
// in percent of the entitlement. Wanted and Limit are in running requests.
func ShareErrors(events []Event, w Window, teams map[string]Demand) map[string]float64 {
	work := RunningTime(events, w)
	total := 0.0
	for name := range teams {
		total += work[name]
	}
	seconds := float64(w.To-w.From) / float64(time.Second)
	scaled := map[string]Demand{}
	for name, d := range teams {
		d.Wanted *= seconds
		d.Limit *= seconds
		scaled[name] = d
	}
	result := map[string]float64{}
	for name, want := range Entitlements(total, scaled) {
		if want > 0 {
			result[name] = 100 * (work[name] - want) / want
		}
	}
	return result
}

// BusyPercent returns the share of usable slots that were busy while there was
// work for them: at each moment min(running, slots) of min(open requests, slots).
// A request is open from when it was sent until its caller has the result.
func BusyPercent(events []Event, w Window, slots map[string]int) float64 {
	open, running := map[string]int{}, map[string]int{}
	busy, possible := 0.0, 0.0
	last := w.From
	for _, e := range events {
		if at := min(e.TimeNS, w.To); at > last {
			for service, n := range slots {
				could := min(open[service], n)
				possible += float64(could) * float64(at-last)
				busy += float64(min(running[service], could)) * float64(at-last)
			}
			last = at
		}
		switch e.Kind {
		case KindSend:
			open[e.Service]++
		case KindResult:
			open[e.Service]--
		case KindStart:
			running[e.Service]++
		case KindEnd:
			running[e.Service]--
		}
	}
	if possible == 0 {
		return 100
	}
	return 100 * busy / possible
}
