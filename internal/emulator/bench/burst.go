package bench

import (
	"context"
	"fmt"
	"time"

	"samphirestile.example/samphirestile/internal/emulator/endpoint"
	"samphirestile.example/samphirestile/internal/emulator/history"
	"samphirestile.example/samphirestile/internal/emulator/load"
	"samphirestile.example/samphirestile/internal/emulator/process"
)

// The burst pattern on five services: the 12 slots of a service, with a service time of
// 40 ms, serve 300 requests per second, and a demand peak is 1.3 times that.
const (
	burstQueues        = 5
	burstEndpoints     = 3
	burstSlots         = 4
	burstServiceMS     = 40
	burstPeakFactor    = 1.3
	burstMeanPerSecond = burstPeakFactor * burstEndpoints * burstSlots * 1000 / burstServiceMS / load.BurstFactor
	burstDeadlineMS    = 1000
)

// measureBurst measures the busy share of the slots in demand, and the time from sending
// to the start of all requests.
func measureBurst(o Options) ([]Metric, error) {
	var services []process.Service
	for i := range burstQueues {
		services = append(services, process.Service{
			ID: fmt.Sprintf("queue%d", i+1), Endpoints: burstEndpoints, Slots: burstSlots, MaxWaitMS: burstDeadlineMS,
			Behaviour: endpoint.Settings{MeanMS: burstServiceMS, Capacity: burstSlots},
		})
	}
	c, err := o.cell(3, services, []process.Team{
		{ID: "a", Account: "x", Weight: 1, Limit: 200}, {ID: "b", Account: "y", Weight: 2, Limit: 200},
	})
	if err != nil {
		return nil, err
	}
	defer c.Close()
	callers, err := burstCallers(c, services, o.durationMS(2, 5))
	if err != nil {
		return nil, err
	}
	r, err := load.Run(context.Background(), load.Plan{Seed: seed, DurationMS: o.durationMS(10, 100), Callers: callers})
	if err != nil {
		return nil, err
	}
	events, err := c.Events(r.Recorder.Events(0))
	if err != nil {
		return nil, err
	}
	slots := map[string]int{}
	for _, s := range services {
		slots[s.ID] = burstEndpoints * burstSlots
	}
	waits := startLatencies(events, func(history.Event) bool { return true })
	return []Metric{
		{"burst.busy_percent", history.BusyPercent(events, history.SteadyWindow(events, 0), slots), "percent"},
		{"burst.wait_p99_ms", float64(quantile(waits, 0.99)) / float64(time.Millisecond), "ms"},
	}, nil
}

func burstCallers(c *process.Cell, services []process.Service, lengthMS int) ([]load.Caller, error) {
	var callers []load.Caller
	for i, s := range services {
		for _, team := range []string{"a", "b"} {
			caller, err := c.Caller(s.ID+"-"+team, team, s.ID)
			if err != nil {
				return nil, err
			}
			caller.DeadlineMS = burstDeadlineMS
			caller.Rate = &load.Rate{Mean: burstMeanPerSecond / 2, Burst: &load.Burst{Queue: i, Queues: burstQueues, LengthMS: lengthMS}}
			callers = append(callers, caller)
		}
	}
	return callers, nil
}
