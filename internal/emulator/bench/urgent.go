package bench

import (
	"context"
	"time"

	"samphirestile.example/samphirestile/internal/emulator/history"
	"samphirestile.example/samphirestile/internal/emulator/load"
)

// urgentShare is the share of urgent requests in the load of each team.
const urgentShare = 0.05

// measureUrgent measures the time from sending to the start of urgent requests in an
// overloaded cell, and the share of them that got an outcome (not-run or unknown) instead of
// a response from an endpoint.
func measureUrgent(o Options) ([]Metric, error) {
	c, callers, err := startOverloadedCell(o)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	for i := range callers {
		callers[i].UrgentShare = urgentShare
	}
	r, err := load.Run(context.Background(), load.Plan{Seed: seed, DurationMS: o.durationMS(8, 60), Callers: callers})
	if err != nil {
		return nil, err
	}
	events, err := c.Events(r.Recorder.Events(0))
	if err != nil {
		return nil, err
	}
	urgent, refused := 0, 0
	for _, e := range events {
		if e.Kind == history.KindResult && e.Urgent {
			urgent++
			if e.Outcome != "" {
				refused++
			}
		}
	}
	waits := startLatencies(events, func(e history.Event) bool { return e.Urgent })
	return []Metric{
		{"urgent.start_p99_ms", float64(quantile(waits, 0.99)) / float64(time.Millisecond), "ms"},
		{"urgent.refused_percent", 100 * float64(refused) / float64(max(urgent, 1)), "percent"},
	}, nil
}
