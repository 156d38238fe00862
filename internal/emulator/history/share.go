package history

import (
	"math"
	"time"
)

// Demand is the offered work of a team, and the weight and limit that determine its
// entitlement. Wanted and Limit have the unit of the capacity.
type Demand struct {
	Weight float64
	// Wanted is the offered work; it is infinite for a team with unlimited demand.
	Wanted float64
	// Limit is the upper limit of the team; 0 means unlimited.
	Limit float64
}

// Entitlements divides capacity by weight (weighted max-min fairness): what a team
// does not want, or may not use because of its limit, is divided among the others.
func Entitlements(capacity float64, teams map[string]Demand) map[string]float64 {
	shares := map[string]float64{}
	remaining := map[string]Demand{}
	for name, d := range teams {
		if d.Limit > 0 {
			d.Wanted = math.Min(d.Wanted, d.Limit)
		}
		remaining[name] = d
	}
	for len(remaining) > 0 {
		weights := 0.0
		for _, d := range remaining {
			weights += d.Weight
		}
		satisfied := 0
		remainingCapacity := capacity
		for name, d := range remaining {
			if d.Wanted <= capacity*d.Weight/weights {
				shares[name] = d.Wanted
				remainingCapacity -= d.Wanted
				delete(remaining, name)
				satisfied++
			}
		}
		if satisfied == 0 {
			for name, d := range remaining {
				shares[name] = capacity * d.Weight / weights
			}
			return shares
		}
		capacity = remainingCapacity
	}
	return shares
}

// Window is a span of event times in nanoseconds.
type Window struct{ From, To int64 }

// SteadyWindow returns the time span of the events without margin at both ends, where
// the load ramps up and down.
func SteadyWindow(events []Event, margin time.Duration) Window {
	if len(events) == 0 {
		return Window{}
	}
	return Window{From: events[0].TimeNS + int64(margin), To: events[len(events)-1].TimeNS - int64(margin)}
}

// RunningTime returns the total running time of the requests of each team in the
// window, in seconds. Shares are measured by running time, so a team with longer
// requests runs fewer of them.
func RunningTime(events []Event, w Window) map[string]float64 {
	runningSeconds := map[string]float64{}
	running := newRunningRequests()
	last := w.From
	for _, e := range events {
		if at := min(e.TimeNS, w.To); at > last {
			for team, n := range running.teams {
				runningSeconds[team] += float64(n) * float64(at-last) / float64(time.Second)
			}
			last = at
		}
		running.observe(e)
	}
	return runningSeconds
}

// ShareErrors returns the deviation of each team's running time from its entitlement,
// in percent of the entitlement. Wanted and Limit are in running requests.
func ShareErrors(events []Event, w Window, teams map[string]Demand) map[string]float64 {
	runningSeconds := RunningTime(events, w)
	total := 0.0
	for name := range teams {
		total += runningSeconds[name]
	}
	seconds := float64(w.To-w.From) / float64(time.Second)
	scaled := map[string]Demand{}
	for name, d := range teams {
		d.Wanted *= seconds
		d.Limit *= seconds
		scaled[name] = d
	}
	result := map[string]float64{}
	for name, entitlement := range Entitlements(total, scaled) {
		if entitlement > 0 {
			result[name] = 100 * (runningSeconds[name] - entitlement) / entitlement
		}
	}
	return result
}

// BusyPercent returns the share of the slots in demand that were busy: at each moment
// min(running, slots) of min(open requests, slots). A request is open from when it was
// sent until its caller received the result. Without any demand the result is 100.
func BusyPercent(events []Event, w Window, slots map[string]int) float64 {
	open, running := map[string]int{}, map[string]int{}
	busyTime, demandedTime := 0.0, 0.0
	last := w.From
	for _, e := range events {
		if at := min(e.TimeNS, w.To); at > last {
			for service, n := range slots {
				demanded := min(open[service], n)
				demandedTime += float64(demanded) * float64(at-last)
				busyTime += float64(min(running[service], demanded)) * float64(at-last)
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
	if demandedTime == 0 {
		return 100
	}
	return 100 * busyTime / demandedTime
}
