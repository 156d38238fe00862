package main

import (
	"fmt"
	"io"
	"net/http"
	"os"

	"samphirestile.example/samphirestile/internal/emulator/endpoint"
	"samphirestile.example/samphirestile/internal/emulator/history"
	"samphirestile.example/samphirestile/internal/emulator/relay"
)

// serve serves h on address until the process ends.
func serve(address string, h http.Handler) error {
	if err := http.ListenAndServe(address, h); err != nil {
		return fmt.Errorf("serve on %s: %w", address, err)
	}
	return nil
}

type endpointCommand struct {
	Listen    string  `required:"" help:"IP address and port."`
	Name      string  `help:"Name of the endpoint in events."`
	Service   string  `help:"Name of the service in events."`
	Events    string  `help:"File to which events are appended as JSON lines." type:"path"`
	Shape     string  `help:"Distribution of the service time: fixed, exponential or bimodal." default:"fixed"`
	MeanMS    float64 `name:"mean-ms" help:"Mean service time in milliseconds."`
	SlowMS    float64 `name:"slow-ms" help:"Service time of slow requests of the bimodal shape."`
	SlowShare float64 `name:"slow-share" help:"Share of slow requests."`
	Capacity  int     `help:"Number of requests that run at full speed; 0 means unlimited."`
	Overload  string  `help:"Reaction above the capacity: share, queue or reject." default:"share"`
	Seed      int64   `help:"Seed of the service times."`
}

// Run serves until the process ends.
func (c *endpointCommand) Run() error {
	var out io.Writer
	if c.Events != "" {
		f, err := os.OpenFile(c.Events, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
		if err != nil {
			return fmt.Errorf("open the event file: %w", err)
		}
		defer f.Close()
		out = f
	}
	e, err := endpoint.New(endpoint.Settings{
		Name: c.Name, Service: c.Service, Shape: endpoint.Shape(c.Shape), MeanMS: c.MeanMS, SlowMS: c.SlowMS,
		SlowShare: c.SlowShare, Capacity: c.Capacity, Overload: endpoint.Overload(c.Overload), Seed: c.Seed,
	}, history.NewRecorder(out))
	if err != nil {
		return err
	}
	return serve(c.Listen, e)
}

type relayCommand struct {
	Listen string `required:"" help:"IP address and port to relay from."`
	Target string `required:"" help:"IP address and port to relay to."`
	Admin  string `required:"" help:"IP address and port of the admin path."`
}

// Run relays until the process ends.
func (c *relayCommand) Run() error {
	r, err := relay.Listen(c.Listen, c.Target, nil)
	if err != nil {
		return err
	}
	defer r.Close()
	return serve(c.Admin, r.Admin())
}
