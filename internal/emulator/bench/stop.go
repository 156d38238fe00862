package bench

import (
	"context"
	"time"

	"samphirestile.example/samphirestile/internal/emulator/endpoint"
	"samphirestile.example/samphirestile/internal/emulator/load"
	"samphirestile.example/samphirestile/internal/emulator/process"
)

// balancerInterval is the interval of the load balancer's readiness checks.
const balancerInterval = 50 * time.Millisecond

// measureStop replaces every daemon under load and counts interrupted requests; refused
// requests are reported separately.
func measureStop(o Options) ([]Metric, error) {
	daemons := 3
	if o.Full {
		daemons = 8
	}
	service := process.Service{ID: "s", Endpoints: 4, Behaviour: endpoint.Settings{MeanMS: 30, Shape: endpoint.Exponential}}
	c, err := process.Start(process.Options{
		Daemon: o.Daemon, Emulator: o.Emulator, Daemons: daemons, LogLevel: "warning", Timing: process.Timing{GraceMS: 500},
		Services: []process.Service{service}, Teams: []process.Team{{ID: "a", Account: "x", Weight: 1, Limit: 100}},
	})
	if err != nil {
		return nil, err
	}
	defer c.Close()
	caller, err := c.Caller("k", "a", "s")
	if err != nil {
		return nil, err
	}
	caller.Balancer = load.NewBalancer(balancerInterval, c.ServiceURLs()...)
	defer caller.Balancer.Close()
	caller.Concurrency, caller.NonIdempotent = 12, true
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	replaced := make(chan error, 1)
	finished := make(chan struct{})
	go func() {
		replaced <- c.ReplaceAll(caller.Balancer)
		close(finished)
	}()
	total, err := loadUntil(ctx, caller, finished)
	if err != nil {
		return nil, err
	}
	if err := <-replaced; err != nil {
		return nil, err
	}
	return []Metric{
		{"stop.cut_requests", float64(total.Broken + total.Unknown + total.Failed), "requests"},
		{"stop.refused_requests", float64(total.Refused), "requests"},
		{"stop.answered_requests", float64(total.Answered), "requests"},
	}, nil
}

// loadUntil repeats short runs until finished is closed, so that no request is
// cancelled at the end.
func loadUntil(ctx context.Context, caller load.Caller, finished <-chan struct{}) (load.Result, error) {
	var sum load.Result
	for i := int64(0); ; i++ {
		r, err := load.Run(ctx, load.Plan{Seed: seed + i, DurationMS: 1000, Callers: []load.Caller{caller}})
		if err != nil {
			return sum, err
		}
		t := r.Total()
		sum.Answered += t.Answered
		sum.Broken += t.Broken
		sum.Unknown += t.Unknown
		sum.Failed += t.Failed
		sum.Refused += t.Refused
		select {
		case <-finished:
			return sum, nil
		default:
		}
	}
}
