// Package integration runs real daemons against the emulators and checks their
// guarantees on the recorded histories. Guarantees have the numbers of docs/design.md,
// section 3.
package integration

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"samphirestile.example/samphirestile/internal/emulator/endpoint"
	"samphirestile.example/samphirestile/internal/emulator/history"
	"samphirestile.example/samphirestile/internal/emulator/load"
	"samphirestile.example/samphirestile/internal/emulator/process"
)

func TestIntegration(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "proofs")
}

var programs struct{ daemon, emulator string }

var _ = BeforeSuite(func() {
	var err error
	programs.daemon, err = gexec.Build("samphirestile.example/samphirestile/cmd/samphirestiled")
	Expect(err).NotTo(HaveOccurred())
	programs.emulator, err = gexec.Build("samphirestile.example/samphirestile/cmd/samphirestile-emulator")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})

// seed determines the arrival times and random choices of every run.
const seed = 11

// Upper limits of the teams of a standard cell; tinyLimit is below the number of daemons.
const (
	tinyLimit  = 2
	largeLimit = 8
)

// standardOptions describes a cell of three daemons with short durations and one
// service with three endpoints.
func standardOptions() process.Options {
	return process.Options{
		Daemons: 3, Timing: process.ShortTiming(),
		Services: []process.Service{{
			ID: "work", Endpoints: 3, MaxRunTimeMS: 1000, MaxWaitMS: 800,
			Behaviour: endpoint.Settings{Shape: endpoint.Exponential, MeanMS: 20, Seed: seed},
		}},
		Teams: []process.Team{
			{ID: "tiny", Account: "kanemori", Weight: 1, Limit: tinyLimit},
			{ID: "large", Account: "burrowline", Weight: 1, Limit: largeLimit},
		},
	}
}

// start starts a cell that is closed after the spec; a failed spec reports store
// records and logs.
func start(o process.Options) *process.Cell {
	GinkgoHelper()
	o.Daemon, o.Emulator, o.Dir = programs.daemon, programs.emulator, GinkgoT().TempDir()
	c, err := process.Start(o)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			AddReportEntry("store", c.StoreRecords())
			AddReportEntry("logs", c.LogTails())
		}
		c.Close()
	})
	return c
}

func caller(c *process.Cell, name, team string) load.Caller {
	GinkgoHelper()
	client, err := c.Caller(name, team, "work")
	Expect(err).NotTo(HaveOccurred())
	return client
}

// run sends the load for ms milliseconds while it executes the steps.
func run(ms int, callers []load.Caller, steps ...process.Step) *load.Report {
	GinkgoHelper()
	wait := process.Script(steps...)
	r, err := load.Run(context.Background(), load.Plan{Seed: seed, DurationMS: ms, Callers: callers})
	Expect(err).NotTo(HaveOccurred())
	Expect(wait()).To(Succeed())
	return r
}

// check expects that the given checkers, and those for at-most-once and not-run, find no
// violation in the events of the run and of the endpoints, and returns these events.
func check(c *process.Cell, r *load.Report, checkers ...history.Checker) []history.Event {
	GinkgoHelper()
	events, err := c.Events(r.Recorder.Events(0))
	Expect(err).NotTo(HaveOccurred())
	checkers = append(checkers, history.NewAtMostOnce(), history.NewNotRun())
	var violations []string
	for _, v := range history.Check(events, checkers...) {
		violations = append(violations, v.Error())
	}
	Expect(violations).To(BeEmpty())
	return events
}

// limits returns the check of the upper limits of a standard cell. A lowered limit takes
// effect within 2 s.
func limits() *history.TeamLimit {
	return history.NewTeamLimit(map[string]int{"tiny": tinyLimit, "large": largeLimit}, 2*time.Second)
}

// at returns a step that is executed ms milliseconds after the start of the run.
func at(ms int, do func() error) process.Step {
	return process.Step{At: time.Duration(ms) * time.Millisecond, Do: do}
}

// stepFunc returns do as a function that returns nil, for use in a step.
func stepFunc(do func()) func() error {
	return func() error {
		do()
		return nil
	}
}
