// Command samphirestiled is the samphirestile daemon. Each entry host runs one instance.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/daemon"
	"samphirestile.example/samphirestile/internal/policy"
	"samphirestile.example/samphirestile/internal/settings"
	"samphirestile.example/samphirestile/platform"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

type runCommand struct {
	Settings string `required:"" help:"Settings file (JSON)." placeholder:"FILE"`
}

// Run serves until SIGTERM or SIGINT and then performs a planned stop.
func (c *runCommand) Run() error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	log.SetOutput(os.Stderr)
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		return fmt.Errorf("parse the log level: %w", err)
	}
	log.SetLevel(level)
	d, err := daemon.New(s, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return d.Run(ctx)
}

type checkCommand struct {
	Settings string `xor:"file" required:"" help:"Settings file (JSON) of the command run." placeholder:"FILE"`
	Platform string `xor:"file" required:"" help:"Settings file of the platform for the command serve." placeholder:"FILE"`
	Policy   string `xor:"file" required:"" help:"Policy file (JSON) of the command serve." placeholder:"FILE"`
}

// Run checks a settings or policy file without starting anything.
func (c *checkCommand) Run() error {
	var err error
	switch {
	case c.Platform != "":
		_, err = platform.LoadSettings(c.Platform)
	case c.Policy != "":
		_, err = policy.Load(c.Policy)
	default:
		_, err = settings.Load(c.Settings)
	}
	if err != nil {
		return err
	}
	fmt.Println("settings are valid")
	return nil
}

type program struct {
	Serve serveCommand `cmd:"" help:"Serve jobs on the users' platform, with its settings file."`
	Run   runCommand   `cmd:"" help:"Run the daemon."`
	Check checkCommand `cmd:"" help:"Check a settings file without starting."`
}

func main() {
	ctx := kong.Parse(&program{}, kong.Name("samphirestiled"), kong.Description("Daemon of samphirestile."), kong.UsageOnError())
	err := ctx.Run()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "samphirestiled:", err)
	var settingsErr *settings.Error
	if errors.As(err, &settingsErr) || errors.As(err, new(*platform.SettingsError)) || errors.As(err, new(*policy.Error)) {
		os.Exit(exitSettings)
	}
	os.Exit(exitFailed)
}
