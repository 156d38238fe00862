// Command samphirestile is the operators' command-line client.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"

	"samphirestile.example/samphirestile/internal/cli"
	"samphirestile.example/samphirestile/internal/command"
	"samphirestile.example/samphirestile/internal/query"
)

type app struct {
	cli.Options

	Apply    command.Apply  `cmd:"" help:"Replace or remove documents in one change, or change nothing."`
	Diff     query.Diff     `cmd:"" help:"Show how documents differ from those in force, and the revision in force."`
	Validate query.Validate `cmd:"" help:"Check documents without changing anything."`
	History  query.History  `cmd:"" help:"List recent changes, newest first."`
	Key      struct {
		Give     command.KeyGive     `cmd:"" help:"Make a key for a team; its secret is shown once."`
		Withdraw command.KeyWithdraw `cmd:"" help:"Revoke a key on all daemons, for good."`
		List     query.KeyList       `cmd:"" help:"List keys without their secrets."`
	} `cmd:"" help:"Keys of teams."`
	Team struct {
		List query.TeamList `cmd:"" help:"List teams."`
	} `cmd:"" help:"Teams."`
	Service struct {
		List query.ServiceList `cmd:"" help:"List services."`
	} `cmd:"" help:"Services."`
	Endpoint struct {
		List query.EndpointList `cmd:"" help:"List endpoints and their owners."`
	} `cmd:"" help:"Endpoints."`
	Daemon struct {
		List        query.DaemonList    `cmd:"" help:"List seats and daemons."`
		DeclareGone command.DeclareGone `cmd:"" help:"State that the daemon of a seat is gone for good. Never do this to a daemon that may still run: its team limits would be exceeded."`
	} `cmd:"" help:"Daemons."`
	Job struct {
		List   query.JobList     `cmd:"" help:"List jobs that have not ended."`
		Show   query.JobShow     `cmd:"" help:"Show a job with its steps and runs."`
		Cancel command.JobCancel `cmd:"" help:"Cancel a job for good."`
	} `cmd:"" help:"Jobs, on a daemon that serves jobs."`
	Pool struct {
		List query.PoolList `cmd:"" help:"List pools with their owners and use."`
	} `cmd:"" help:"Pools of hosts."`
	Host struct {
		List query.HostList `cmd:"" help:"List hosts and their workers."`
	} `cmd:"" help:"Hosts."`
	Worker struct {
		List   query.WorkerList     `cmd:"" help:"List workers as the owners of their pools see them."`
		Empty  command.WorkerEmpty  `cmd:"" help:"Close a worker to new tasks and move what it runs."`
		Reopen command.WorkerReopen `cmd:"" help:"Open a worker to new tasks again."`
	} `cmd:"" help:"Workers."`
	Zone struct {
		List query.ZoneList `cmd:"" help:"List availability zones, whether they are evacuated, and what still runs there."`
	} `cmd:"" help:"Availability zones."`
	Maintenance struct {
		List query.MaintenanceList `cmd:"" help:"List the waves of upkeep with their progress."`
	} `cmd:"" help:"Maintenance of hosts."`
	Report struct {
		Why query.ReportWhy `cmd:"" help:"Collect the decisions on one job from the logs of several daemons."`
	} `cmd:"" help:"Reports."`
	Version query.Version `cmd:"" help:"Show the version of this client."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes one command line and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var a app
	helpExitCode := -1
	parser, err := kong.New(&a,
		kong.Name("samphirestile"),
		kong.Description("Operates a samphirestile cell through the operator interface of any of its daemons.\n\n"+cli.ExitHelp),
		kong.Writers(out, errOut),
		kong.UsageOnError(),
		kong.Exit(func(code int) { helpExitCode = code }),
	)
	if err != nil {
		return fail(err, cli.FormatTable, errOut)
	}
	parsed, err := parser.Parse(args)
	if helpExitCode >= 0 {
		// --help was handled by the parser.
		return helpExitCode
	}
	if err != nil {
		return fail(&cli.UsageError{Cause: err}, a.Output, errOut)
	}
	if err := parsed.Run(cli.NewEnvironment(ctx, a.Options, out)); err != nil {
		return fail(err, a.Output, errOut)
	}
	return cli.ExitOK
}

func fail(err error, format string, w io.Writer) int {
	r := cli.Describe(err)
	r.Write(w, format)
	return r.ExitCode
}
