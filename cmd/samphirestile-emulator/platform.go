package main

import (
	"time"

	"samphirestile.example/samphirestile/internal/emulator/platform"
)

type platformCommand struct {
	Listen  string        `required:"" help:"IP address and port."`
	HostLag time.Duration `help:"Age of the host list that callers see."`
}

// Run serves until the process ends.
func (c *platformCommand) Run() error {
	p := platform.New(platform.Config{HostLag: c.HostLag})
	defer p.Close()
	return serve(c.Listen, p)
}
