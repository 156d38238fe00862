// Package bench measures the figures of docs/design.md, section 10: those of the job path
// in this process on an emulated cluster, all others on real processes.
package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"samphirestile.example/samphirestile/internal/emulator/history"
	"samphirestile.example/samphirestile/internal/emulator/process"
)

// Options selects the measurements.
type Options struct {
	Daemon   string
	Emulator string
	// Full runs longer measurements at the sizes of docs/design.md.
	Full bool
	// Only lists the groups to run; empty means all.
	Only []string
}

// Metric is one measured value.
type Metric struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// group measures related metrics on a cell of its own.
type group struct {
	name    string
	measure func(Options) ([]Metric, error)
}

func groups() []group {
	return []group{
		{"path", measurePath},
		{"share", measureShare},
		{"burst", measureBurst},
		{"urgent", measureUrgent},
		{"limit", measureLimit},
		{"key", measureKey},
		{"config", measureConfig},
		{"stop", measureStop},
		{"control", measureControl},
		{"job", measureJob},
	}
}

// target is a bound that docs/design.md sets for a metric.
type target struct {
	bound   float64
	atLeast bool // the bound is a minimum, otherwise a maximum
}

func targets() map[string]target {
	return map[string]target{
		"path.latency_ratio_p50":   {bound: 1.15},
		"path.latency_ratio_p99":   {bound: 1.5},
		"share.error_max_percent":  {bound: 5},
		"burst.busy_percent":       {bound: 95, atLeast: true},
		"urgent.start_p99_ms":      {bound: 1200},
		"limit.overshoot_max":      {bound: 0},
		"key.withdraw_p99_ms":      {bound: 2000},
		"config.rollout_p99_ms":    {bound: 2000},
		"config.reverts":           {bound: 0},
		"stop.cut_requests":        {bound: 0},
		"control.bytes_per_second": {bound: 4096},
		"control.cpu_percent":      {bound: 1.3},
		"control.heap_mb":          {bound: 32},
		"job.start_p99_ms":         {bound: 150},
		"takeover.idle_ms":         {bound: takeoverBoundMS},
	}
}

// GroupError reports a group that could not be measured.
type GroupError struct {
	Group string
	Cause error
}

func (e *GroupError) Error() string {
	return fmt.Sprintf("measure bench group %s: %v", e.Group, e.Cause)
}

// Unwrap returns the cause.
func (e *GroupError) Unwrap() error { return e.Cause }

// Run writes the metrics to out, and missed targets and failures to diagnostics. When
// a group fails, it continues with the others and returns the first failure.
func Run(o Options, out, diagnostics io.Writer) error {
	var first error
	for _, g := range groups() {
		if len(o.Only) > 0 && !slices.Contains(o.Only, g.name) {
			continue
		}
		metrics, err := g.measure(o)
		if err != nil {
			failed := &GroupError{Group: g.name, Cause: err}
			fmt.Fprintln(diagnostics, failed)
			if first == nil {
				first = failed
			}
		}
		if err := report(metrics, out, diagnostics); err != nil {
			return err
		}
	}
	return first
}

func report(metrics []Metric, out, diagnostics io.Writer) error {
	enc := json.NewEncoder(out)
	for _, m := range metrics {
		if err := enc.Encode(m); err != nil {
			return fmt.Errorf("write metric %s: %w", m.Name, err)
		}
		t, known := targets()[m.Name]
		if known && (t.atLeast && m.Value < t.bound || !t.atLeast && m.Value > t.bound) {
			fmt.Fprintf(diagnostics, "missed: %s is %.4g %s, target %.4g\n", m.Name, m.Value, m.Unit, t.bound)
		}
	}
	return nil
}

// seed determines the arrival times in all groups.
const seed = 20261

// cell starts a cell with the given daemons, services and teams.
func (o Options) cell(daemons int, services []process.Service, teams []process.Team) (*process.Cell, error) {
	return process.Start(process.Options{
		Daemon: o.Daemon, Emulator: o.Emulator, Daemons: daemons, Services: services, Teams: teams, LogLevel: "warning",
	})
}

// durationMS returns the duration of the short or the full mode in milliseconds; both
// arguments are in seconds.
func (o Options) durationMS(shortSeconds, fullSeconds int) int {
	if o.Full {
		return fullSeconds * 1000
	}
	return shortSeconds * 1000
}

// startLatencies returns, for each selected request that started, the time in nanoseconds
// from sending to the start at an endpoint.
func startLatencies(events []history.Event, selected func(history.Event) bool) []int64 {
	sent := map[string]int64{}
	var waits []int64
	for _, e := range events {
		switch {
		case e.Kind == history.KindSend && selected(e):
			sent[e.Op] = e.TimeNS
		case e.Kind == history.KindStart:
			if at, ok := sent[e.Op]; ok {
				waits = append(waits, e.TimeNS-at)
				delete(sent, e.Op)
			}
		}
	}
	return waits
}

// quantile sorts the values and returns the q-quantile, or 0 if there are none.
func quantile(values []int64, q float64) int64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}
