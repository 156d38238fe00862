package bench

import (
	"context"
	"time"

	"samphirestile.example/samphirestile/internal/emulator/endpoint"
	"samphirestile.example/samphirestile/internal/emulator/history"
	"samphirestile.example/samphirestile/internal/emulator/load"
	"samphirestile.example/samphirestile/internal/emulator/process"
)

// limitGrace is the time within which a lowered limit takes effect on every daemon.
const limitGrace = 2 * time.Second

// measureLimit measures the largest number of running requests above an upper limit,
// with one limit below the number of daemons, one limit that is lowered while requests
// run, and a daemon that is killed.
func measureLimit(o Options) ([]Metric, error) {
	service := process.Service{ID: "s", Endpoints: 4, Slots: 8, Behaviour: endpoint.Settings{MeanMS: 40, Shape: endpoint.Exponential}}
	limits := map[string]int{"tiny": 2, "large": 12}
	c, err := o.cell(4, []process.Service{service}, []process.Team{
		{ID: "tiny", Account: "x", Weight: 1, Limit: limits["tiny"]}, {ID: "large", Account: "x", Weight: 1, Limit: limits["large"]},
	})
	if err != nil {
		return nil, err
	}
	defer c.Close()
	var callers []load.Caller
	for team := range limits {
		caller, err := c.Caller(team, team, "s")
		if err != nil {
			return nil, err
		}
		caller.Concurrency, caller.DeadlineMS = 20, 500
		callers = append(callers, caller)
	}
	ms := o.durationMS(12, 60)
	lowered := make(chan error, 1)
	go func() {
		time.Sleep(time.Duration(ms) * time.Millisecond / 4)
		lowered <- c.SetLimit("large", 5)
	}()
	kill := time.AfterFunc(time.Duration(ms)*time.Millisecond/2, c.Daemons[3].Kill)
	defer kill.Stop()
	r, err := load.Run(context.Background(), load.Plan{Seed: seed, DurationMS: ms, Callers: callers})
	if err != nil {
		return nil, err
	}
	if err := <-lowered; err != nil {
		return nil, err
	}
	events, err := c.Events(r.Recorder.Events(0))
	if err != nil {
		return nil, err
	}
	check := history.NewTeamLimit(limits, limitGrace)
	history.Check(events, check)
	return []Metric{{"limit.overshoot_max", float64(check.Overshoot), "requests"}}, nil
}
