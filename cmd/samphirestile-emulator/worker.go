package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/worker"
	"samphirestile.example/samphirestile/platform/standin"
)

// workerCommand emulates one incarnation of a worker. The spec of a job is a cluster.Profile.
type workerCommand struct {
	Listen      string        `required:"" help:"IP address and port."`
	ID          string        `required:"" help:"ID of the worker."`
	Incarnation int           `help:"Number of earlier starts under this ID."`
	StartMS     int64         `name:"start-ms" help:"Unix time of the start in milliseconds; 0 means now."`
	History     string        `required:"" help:"File to which events are appended as JSON lines." type:"path"`
	Seed        uint64        `help:"Seed of the durations and results of runs."`
	SlowStops   time.Duration `help:"How long a run goes on after it was told to stop."`
	HiddenStops bool          `help:"Whether a run that was told to stop is listed no longer."`
	ClockStart  time.Duration `help:"Beginning of the clock; 0 chooses it by the ID and the incarnation."`
}

// Run serves until the process ends.
func (c *workerCommand) Run() error {
	f, err := os.OpenFile(c.History, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("open the history: %w", err)
	}
	defer f.Close()
	random, lines := rand.New(rand.NewPCG(c.Seed, uint64(c.Incarnation))), json.NewEncoder(f)
	clockStart := cluster.AnyClockStart
	if c.ClockStart != 0 {
		clockStart = func(worker.ID, int) time.Duration { return c.ClockStart }
	}
	w := &cluster.Workers{ClockStart: clockStart, ClockRate: cluster.AnyClockRate, SpecBehaviour: func(spec string) cluster.Behaviour {
		var p cluster.Profile
		if err := json.Unmarshal([]byte(spec), &p); err != nil {
			logrus.WithError(err).Warn("spec is not a profile; the run fails")
			return cluster.Behaviour{Fails: true}
		}
		return p.Draw(random)
	}}
	// Each line is written by one call, so it is complete when the process is killed.
	w.History.Record = func(e cluster.Event) {
		if err := lines.Encode(e); err != nil {
			logrus.WithError(err).Fatal("event not recorded")
		}
	}
	start := time.Now()
	if c.StartMS != 0 {
		// Add keeps the reading of the monotonic clock.
		start = start.Add(time.Duration(c.StartMS-start.UnixMilli()) * time.Millisecond)
	}
	d := worker.Worker{ID: worker.ID(c.ID)}
	w.AddIncarnation(d, c.Incarnation, start).SetFaults(cluster.WorkerFaults{SlowStops: c.SlowStops, HiddenStops: c.HiddenStops})
	return serve(c.Listen, standin.WorkerHandler(d.ID, w.Dial(d)))
}
