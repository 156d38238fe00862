package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/jobdaemon"
	"samphirestile.example/samphirestile/internal/logging"
	"samphirestile.example/samphirestile/internal/policy"
	"samphirestile.example/samphirestile/platform"
)

type serveCommand struct {
	LogLevel string `default:"info" help:"Least severe level of log lines." enum:"debug,info,warning,error"`
	LogLines int    `default:"2000" help:"Log lines a second beyond which lines are dropped."`
	Policy   string `help:"Policy file (JSON) that enables decisions under load; without one all are disabled." placeholder:"FILE"`
	// OperatorTokens enable the operators' interface.
	OperatorTokens []string `env:"SAMPHIRESTILE_OPERATOR_TOKENS" help:"Tokens of operators, separated by commas. Without one there is no interface for operators."`
}

// Run serves jobs until SIGTERM or SIGINT and then performs a planned stop.
func (c *serveCommand) Run() error {
	s, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return err
	}
	level, err := logrus.ParseLevel(c.LogLevel)
	if err != nil {
		return err
	}
	p, err := policy.Load(c.Policy)
	if err != nil {
		return err
	}
	out := logging.NewWriter(os.Stdout, c.LogLines)
	defer out.Close()
	log := logging.New(out, level)
	d, err := jobdaemon.New(s, p, c.OperatorTokens, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go reportReloads(log)
	return d.Run(ctx)
}

// reportReloads checks the settings file on SIGHUP and logs the result. Addresses and
// bounds are fixed while the process runs, so changes take effect at the next start.
func reportReloads(log *logrus.Logger) {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	for range reload {
		if _, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable)); err != nil {
			log.WithError(err).Error("changed settings are invalid")
			continue
		}
		log.Info("settings checked; they take effect at the next start")
	}
}
