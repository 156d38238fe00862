// Command samphirestile-emulator emulates the systems that samphirestile depends on and
// generates load, for the demo, tests and benchmarks.
package main

import (
	"github.com/alecthomas/kong"
)

type commandLine struct {
	Platform platformCommand `cmd:"" help:"Emulate the platform: key-value store and host list."`
	Endpoint endpointCommand `cmd:"" help:"Emulate an endpoint of a service."`
	Worker   workerCommand   `cmd:"" help:"Emulate one worker and record its runs."`
	Relay    relayCommand    `cmd:"" help:"Relay TCP connections with fault switches."`
	Load     loadCommand     `cmd:"" help:"Send the requests of a plan and print the events as JSON lines."`
	Demo     demoCommand     `cmd:"" help:"Run the whole path on this machine once."`
	Jobs     jobsCommand     `cmd:"" help:"Run jobs on an emulated store and workers, and lose their owner."`
	Bench    benchCommand    `cmd:"" help:"Measure the figures of the design page; one JSON object per line."`
}

func main() {
	var c commandLine
	ctx := kong.Parse(&c, kong.Name("samphirestile-emulator"), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}
