package main

import "fmt"

type platformCommand struct {
	Listen string `required:"" help:"IP address and port."`
}

// UnavailableError reports a subcommand whose package is not part of this build.
type UnavailableError struct{ Subcommand string }

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("subcommand %s is not part of this build", e.Subcommand)
}

// Run serves until the process ends.
func (c *platformCommand) Run() error { return &UnavailableError{Subcommand: "platform"} }
