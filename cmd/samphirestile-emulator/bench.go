package main

import (
	"fmt"
	"os"

	"samphirestile.example/samphirestile/internal/emulator/bench"
)

type benchCommand struct {
	Daemon string   `required:"" help:"Path of samphirestiled." type:"existingfile"`
	Mode   string   `help:"short or full." enum:"short,full" default:"short"`
	Only   []string `help:"Groups to run: path, share, burst, urgent, limit, key, config, stop, control, job."`
}

// Run prints the metrics. A missed target is reported on standard error and does not
// fail the run.
func (c *benchCommand) Run() error {
	emulator, err := os.Executable()
	if err != nil {
		return fmt.Errorf("determine the path of the running executable: %w", err)
	}
	return bench.Run(bench.Options{Daemon: c.Daemon, Emulator: emulator, Full: c.Mode == "full", Only: c.Only}, os.Stdout, os.Stderr)
}
