package bench

import (
	"context"
	"math"
	"time"

	"samphirestile.example/samphirestile/internal/emulator/endpoint"
	"samphirestile.example/samphirestile/internal/emulator/history"
	"samphirestile.example/samphirestile/internal/emulator/load"
	"samphirestile.example/samphirestile/internal/emulator/process"
)

// The full fleet of the share and urgent groups: 24 slots with a service time
// of 50 ms carry 480 requests per second; each of three teams offers that much.
const (
	fullEndpoints = 6
	fullSlots     = 4
	fullServiceMS = 50
	fullRate      = fullEndpoints * fullSlots * 1000 / fullServiceMS
	fullDeadline  = 1000
	// fullMargin is cut off at both ends, where queues fill and drain.
	fullMargin = 3 * time.Second
)

func fullTeams() []process.Team {
	return []process.Team{
		{ID: "one", Account: "x", Weight: 1, Limit: 100},
		{ID: "two", Account: "x", Weight: 2, Limit: 100},
		{ID: "four", Account: "y", Weight: 4, Limit: 100},
	}
}

// startFull starts the cell and returns open-loop callers that offer three
// times the capacity, unevenly distributed over the daemons.
func startFull(o Options) (*process.Cell, []load.Caller, error) {
	service := process.Service{
		ID: "full", Endpoints: fullEndpoints, Slots: fullSlots, MaxWaitMS: fullDeadline,
		Behaviour: endpoint.Settings{MeanMS: fullServiceMS, Capacity: fullSlots},
	}
	c, err := o.cell(3, []process.Service{service}, fullTeams())
	if err != nil {
		return nil, nil, err
	}
	spread := [][]float64{{1, 0, 0}, {0.2, 0.8, 0}, {0.1, 0.2, 0.7}}
	var callers []load.Caller
	for i, t := range fullTeams() {
		k, err := c.Caller(t.ID, t.ID, "full")
		if err != nil {
			c.Close()
			return nil, nil, err
		}
		for j := range k.Targets {
			k.Targets[j].Weight = spread[i][j]
		}
		k.Rate, k.DeadlineMS = &load.Rate{Mean: fullRate}, fullDeadline
		callers = append(callers, k)
	}
	return c, callers, nil
}

// measureShare gives the largest deviation of a team from its entitlement.
func measureShare(o Options) ([]Metric, error) {
	c, callers, err := startFull(o)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	r, err := load.Run(context.Background(), load.Plan{Seed: seed, DurationMS: o.seconds(12, 60), Callers: callers})
	if err != nil {
		return nil, err
	}
	events, err := c.Events(r.Recorder.Events(0))
	if err != nil {
		return nil, err
	}
	demands := map[string]history.Demand{}
	for _, t := range fullTeams() {
		demands[t.ID] = history.Demand{Weight: t.Weight, Wanted: fullEndpoints * fullSlots}
	}
	worst := 0.0
	for _, e := range history.ShareErrors(events, history.SteadyWindow(events, fullMargin), demands) {
		worst = math.Max(worst, math.Abs(e))
	}
	return []Metric{{"share.error_max_percent", worst, "percent"}}, nil
}
