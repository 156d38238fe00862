package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"samphirestile.example/samphirestile/internal/emulator/endpoint"
	"samphirestile.example/samphirestile/internal/emulator/history"
	"samphirestile.example/samphirestile/internal/emulator/load"
	"samphirestile.example/samphirestile/internal/emulator/process"
)

type demoCommand struct {
	Daemon string `required:"" help:"Path of samphirestiled." type:"existingfile"`
}

// UnexpectedError reports a step with an unexpected result.
type UnexpectedError struct{ Step, Detail string }

func (e *UnexpectedError) Error() string { return fmt.Sprintf("%s: %s", e.Step, e.Detail) }

const (
	demoDaemons   = 3
	demoEndpoints = 2
	demoLimit     = 6
	demoSeed      = 1
)

// Run executes the steps of the demo. It returns nil only if every step had the expected
// result.
func (c *demoCommand) Run() error {
	emulator, err := os.Executable()
	if err != nil {
		return fmt.Errorf("determine the path of the running executable: %w", err)
	}
	cell, err := process.Start(process.Options{
		Daemon: c.Daemon, Emulator: emulator, Daemons: demoDaemons, Timing: process.ShortTiming(),
		Services: []process.Service{{ID: "quotes", Endpoints: demoEndpoints, Behaviour: endpoint.Settings{MeanMS: 5, Capacity: 8}}},
		Teams:    []process.Team{{ID: "quoting", Account: "burrowline", Weight: 1, Limit: demoLimit}},
	})
	if err != nil {
		return err
	}
	defer cell.Close()
	fmt.Printf("started the platform, %d daemons and %d endpoints; the configuration is in force\n", demoDaemons, demoEndpoints)
	if err := demonstrate(cell); err != nil {
		return fmt.Errorf("%w\n%s", err, cell.LogTails())
	}
	fmt.Println("all steps went as expected")
	return nil
}

func demonstrate(cell *process.Cell) error {
	key, err := cell.GiveKey("quoting")
	if err != nil {
		return err
	}
	fmt.Printf("issued key %s to team quoting\n", key.ID)
	if err := cell.AwaitConfiguration(5 * time.Second); err != nil {
		return err
	}
	var events []history.Event
	for _, d := range cell.Daemons {
		r, err := demoLoad(key, 200, d.ServiceURL())
		if err != nil {
			return err
		}
		events = append(events, r.Recorder.Events(0)...)
		if totals := r.Total(); totals.Answered != totals.Sent {
			return &UnexpectedError{"requests through " + d.ID, fmt.Sprintf("%d of %d answered", totals.Answered, totals.Sent)}
		}
		fmt.Printf("%s answered 200 requests\n", d.ID)
	}
	killEvents, err := demoKill(cell, key)
	if err != nil {
		return err
	}
	if err := demoStop(cell); err != nil {
		return err
	}
	return demoCheck(cell, events, killEvents)
}

func demoCaller(name string, key process.Key) load.Caller {
	return load.Caller{
		Name: name, Team: key.Team, KeyID: key.ID, Key: key.Secret, Service: "quotes", Concurrency: 4, NonIdempotent: true, BodyBytes: 100,
	}
}

func demoLoad(key process.Key, requests int, url string) (*load.Report, error) {
	caller := demoCaller("demo-"+url, key)
	caller.Targets = load.EvenTargets(url)
	return load.Run(context.Background(), load.Plan{Seed: demoSeed, DurationMS: 20000, MaxRequests: requests, Callers: []load.Caller{caller}})
}

// Durations of the step that kills a daemon.
const (
	// demoKillDelay is the time for the load to spread over the daemons before the kill.
	demoKillDelay = 1500 * time.Millisecond
	// demoKillMS is the duration of the load. It lasts until the allotment units of the killed
	// daemon are usable again.
	demoKillMS = 9000
	// demoFinalWindow is the last part of the load, in which every response must be complete.
	demoFinalWindow = 500 * time.Millisecond
)

// demoKill kills the last daemon while a load balancer distributes requests to all
// daemons. The other daemons must continue to serve.
func demoKill(cell *process.Cell, key process.Key) ([]history.Event, error) {
	if err := cell.AwaitQuorums(10 * time.Second); err != nil {
		return nil, err
	}
	victim := cell.Daemons[len(cell.Daemons)-1]
	caller := demoCaller("kill", key)
	caller.Balancer = load.NewBalancer(50*time.Millisecond, cell.ServiceURLs()...)
	defer caller.Balancer.Close()
	killTimer := time.AfterFunc(demoKillDelay, victim.Kill)
	defer killTimer.Stop()
	r, err := load.Run(context.Background(), load.Plan{Seed: demoSeed, DurationMS: demoKillMS, Callers: []load.Caller{caller}})
	if err != nil {
		return nil, err
	}
	totals, events := r.Total(), r.Recorder.Events(0)
	late, lost := 0, 0
	for _, e := range events {
		if e.Kind == history.KindResult && e.TimeNS > events[len(events)-1].TimeNS-int64(demoFinalWindow) {
			late++
			if !e.Whole {
				lost++
			}
		}
	}
	fmt.Printf("killed %s under load: %d requests answered, %d refused, %d with unknown outcome, %d connections broken; in the last %v %d of %d answered\n",
		victim.ID, totals.Answered, totals.Refused, totals.Unknown, totals.Broken, demoFinalWindow, late-lost, late)
	if victim.Running() || late == 0 || lost > 0 {
		return nil, &UnexpectedError{"service after the kill", fmt.Sprintf("%d of the last %d requests lost", lost, late)}
	}
	return events, nil
}

// demoStopTimeout limits the duration of one planned stop.
const demoStopTimeout = 15 * time.Second

func demoStop(cell *process.Cell) error {
	for _, d := range cell.Running() {
		d.Terminate()
		code, err := d.Wait(demoStopTimeout)
		if err != nil {
			return err
		}
		if code != 0 {
			return &UnexpectedError{"planned stop of " + d.ID, fmt.Sprintf("exit status %d", code)}
		}
		fmt.Printf("stopped %s: exit status 0\n", d.ID)
	}
	return nil
}

func demoCheck(cell *process.Cell, lists ...[]history.Event) error {
	events, err := cell.Events(lists...)
	if err != nil {
		return err
	}
	limit := history.NewTeamLimit(map[string]int{"quoting": demoLimit}, 0)
	violations := history.Check(events, limit, history.NewAtMostOnce(), history.NewNotRun(), history.NewCompleteResponses(true))
	if len(violations) > 0 {
		return violations[0]
	}
	fmt.Printf("checked %d events: at most %d requests ran at once, limit %d\n", len(events), limit.Peak["quoting"], demoLimit)
	return nil
}
