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

// The overloaded cell of the share and urgent groups: 24 slots with a service time of
// 50 ms serve 480 requests per second, and each of three teams sends that many.
const (
	overloadEndpoints     = 6
	overloadSlots         = 4
	overloadServiceMS     = 50
	overloadRatePerSecond = overloadEndpoints * overloadSlots * 1000 / overloadServiceMS
	overloadDeadlineMS    = 1000
	// rampMargin is excluded at both ends of the run, where queues fill and empty.
	rampMargin = 3 * time.Second
)

func overloadTeams() []process.Team {
	return []process.Team{
		{ID: "one", Account: "x", Weight: 1, Limit: 100},
		{ID: "two", Account: "x", Weight: 2, Limit: 100},
		{ID: "four", Account: "y", Weight: 4, Limit: 100},
	}
}

// startOverloadedCell starts the cell and returns open-loop callers that send three times
// the capacity, unevenly distributed over the daemons.
func startOverloadedCell(o Options) (*process.Cell, []load.Caller, error) {
	service := process.Service{
		ID: "full", Endpoints: overloadEndpoints, Slots: overloadSlots, MaxWaitMS: overloadDeadlineMS,
		Behaviour: endpoint.Settings{MeanMS: overloadServiceMS, Capacity: overloadSlots},
	}
	c, err := o.cell(3, []process.Service{service}, overloadTeams())
	if err != nil {
		return nil, nil, err
	}
	// Weights of the daemons for each team.
	weights := [][]float64{{1, 0, 0}, {0.2, 0.8, 0}, {0.1, 0.2, 0.7}}
	var callers []load.Caller
	for i, t := range overloadTeams() {
		caller, err := c.Caller(t.ID, t.ID, "full")
		if err != nil {
			c.Close()
			return nil, nil, err
		}
		for j := range caller.Targets {
			caller.Targets[j].Weight = weights[i][j]
		}
		caller.Rate, caller.DeadlineMS = &load.Rate{Mean: overloadRatePerSecond}, overloadDeadlineMS
		callers = append(callers, caller)
	}
	return c, callers, nil
}

// measureShare measures the largest deviation of a team from its entitlement.
func measureShare(o Options) ([]Metric, error) {
	c, callers, err := startOverloadedCell(o)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	r, err := load.Run(context.Background(), load.Plan{Seed: seed, DurationMS: o.durationMS(12, 60), Callers: callers})
	if err != nil {
		return nil, err
	}
	events, err := c.Events(r.Recorder.Events(0))
	if err != nil {
		return nil, err
	}
	demands := map[string]history.Demand{}
	for _, t := range overloadTeams() {
		demands[t.ID] = history.Demand{Weight: t.Weight, Wanted: overloadEndpoints * overloadSlots}
	}
	largest := 0.0
	for _, e := range history.ShareErrors(events, history.SteadyWindow(events, rampMargin), demands) {
		largest = math.Max(largest, math.Abs(e))
	}
	return []Metric{{"share.error_max_percent", largest, "percent"}}, nil
}
