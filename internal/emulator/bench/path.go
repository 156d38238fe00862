package bench

import (
	"context"
	"fmt"
	"time"

	"samphirestile.example/samphirestile/internal/emulator/endpoint"
	"samphirestile.example/samphirestile/internal/emulator/load"
	"samphirestile.example/samphirestile/internal/emulator/process"
)

// pathServiceMS is the service time of the latency comparison.
const pathServiceMS = 5

// pathConcurrency is the number of concurrent requests on each of the two paths.
const pathConcurrency = 4

// NoForwardingDaemonError reports that no daemon has to forward requests to another one.
type NoForwardingDaemonError struct{}

func (e *NoForwardingDaemonError) Error() string {
	return "no daemon forwards requests: each one owns the endpoint"
}

// measurePath compares the latency through two daemons with that of direct requests,
// sent to the same endpoint at the same time.
func measurePath(o Options) ([]Metric, error) {
	service := process.Service{ID: "path", Endpoints: 1, Slots: 64, Behaviour: endpoint.Settings{MeanMS: pathServiceMS}}
	c, err := o.cell(2, []process.Service{service}, []process.Team{{ID: "a", Account: "x", Weight: 1, Limit: 100}})
	if err != nil {
		return nil, err
	}
	defer c.Close()
	entry, err := forwardingDaemon(c)
	if err != nil {
		return nil, err
	}
	via, err := c.Caller("via", "a", "path")
	if err != nil {
		return nil, err
	}
	via.Targets, via.Concurrency = load.EvenTargets(entry.ServiceURL()), pathConcurrency
	direct := via
	direct.Name, direct.Targets = "direct", load.EvenTargets("http://"+c.Endpoints[0].Address)
	plan := load.Plan{Seed: seed, DurationMS: 1000, Callers: []load.Caller{via, direct}}
	if _, err := load.Run(context.Background(), plan); err != nil { // warm-up: opens the connections
		return nil, err
	}
	plan.DurationMS = o.durationMS(5, 30)
	before := cpu(c)
	r, err := load.Run(context.Background(), plan)
	if err != nil {
		return nil, err
	}
	used := cpu(c) - before
	return pathMetrics(r, used), nil
}

func pathMetrics(r *load.Report, used time.Duration) []Metric {
	via, direct := r.Callers["via"], r.Callers["direct"]
	ratio := func(q float64) float64 {
		return float64(via.Latency.ValueAtQuantile(q)) / float64(direct.Latency.ValueAtQuantile(q))
	}
	return []Metric{
		{"path.latency_ratio_p50", ratio(50), "ratio"},
		{"path.latency_ratio_p99", ratio(99), "ratio"},
		{"path.requests_per_core_second", float64(via.Answered) / used.Seconds(), "requests/s"},
		{"path.refused", float64(via.Sent - via.Answered), "requests"},
	}
}

// cpu returns the CPU time that the daemons have used so far.
func cpu(c *process.Cell) time.Duration {
	var sum time.Duration
	for _, d := range c.Daemons {
		sum += d.CPU()
	}
	return sum
}

// forwardingDaemon returns a daemon that does not own the single endpoint.
func forwardingDaemon(c *process.Cell) (*process.Daemon, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, d := range c.Daemons {
		endpoints, err := d.Operator.ListEndpoints(ctx)
		if err != nil {
			return nil, fmt.Errorf("list the endpoints on %s: %w", d.ID, err)
		}
		seats, err := d.Operator.ListDaemons(ctx)
		if err != nil {
			return nil, fmt.Errorf("list the daemons on %s: %w", d.ID, err)
		}
		for _, s := range seats {
			if s.Self && len(endpoints) > 0 && endpoints[0].Owner != s.Seat {
				return d, nil
			}
		}
	}
	return nil, &NoForwardingDaemonError{}
}
