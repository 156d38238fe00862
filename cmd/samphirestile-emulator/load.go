package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"

	"samphirestile.example/samphirestile/internal/emulator/load"
)

type loadCommand struct {
	Plan string `arg:"" help:"JSON file with the plan." type:"existingfile"`
}

// Run sends the requests of the plan. It then writes the events to standard output and the
// totals of each caller to standard error.
func (c *loadCommand) Run() error {
	f, err := os.Open(c.Plan)
	if err != nil {
		return fmt.Errorf("open the plan: %w", err)
	}
	defer f.Close()
	var plan load.Plan
	dec := json.NewDecoder(f)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&plan); err != nil {
		return fmt.Errorf("decode the plan %s: %w", c.Plan, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	report, err := load.Run(ctx, plan)
	if err != nil {
		return err
	}
	enc := json.NewEncoder(os.Stdout)
	for _, e := range report.Recorder.Events(0) {
		if err := enc.Encode(e); err != nil {
			return fmt.Errorf("write events: %w", err)
		}
	}
	for name, r := range report.Callers {
		fmt.Fprintf(os.Stderr, "%s: %+v p50 %d us p99 %d us\n", name, r,
			r.Latency.ValueAtQuantile(50), r.Latency.ValueAtQuantile(99))
	}
	return nil
}
