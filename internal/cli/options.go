// Package cli holds what the subcommands of the operators' command-line client
// share: options, the client of the daemon, output and failures.
package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	fleetoas "samphirestile.example/samphirestile/internal/fleetapi/oas"
	"samphirestile.example/samphirestile/internal/operatorapi/oas"
)

// Formats of the output.
const (
	FormatTable = "table"
	FormatJSON  = "json"
)

// defaultTimeout is above the time that a daemon takes for one change, so that its
// answer arrives also when it has to read the store back.
const defaultTimeout = 15 * time.Second

// maxFileBytes bounds a settings file and a document.
const maxFileBytes = 1 << 20

// Options are the options of all subcommands. A flag goes before its environment
// variable, and that before the settings file.
type Options struct {
	Server   string `help:"Operator address of a daemon, as IP:port." env:"SAMPHIRESTILE_SERVER" placeholder:"IP:PORT"`
	Token    string `help:"Operator token. Prefer the environment or the settings file: other users can see flags." env:"SAMPHIRESTILE_TOKEN" placeholder:"TOKEN"`
	Operator string `help:"Name that the history shows for changes." env:"SAMPHIRESTILE_OPERATOR" placeholder:"NAME"`
	Settings string `help:"JSON file with server, token, operator and timeout_ms." env:"SAMPHIRESTILE_SETTINGS" placeholder:"FILE"`
	Output   string `help:"Form of the output: table or json." enum:"table,json" default:"table" short:"o"`
}

// settings is the content of the settings file.
type settings struct {
	Server    string `json:"server"`
	Token     string `json:"token"`
	Operator  string `json:"operator"`
	TimeoutMS int64  `json:"timeout_ms"`
}

var errTrailing = errors.New("data after the JSON object")

// readSettings reads a settings file strictly.
func readSettings(data []byte) (settings, error) {
	var s settings
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return settings{}, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return settings{}, errTrailing
	}
	if s.TimeoutMS < 0 || s.TimeoutMS > time.Hour.Milliseconds() {
		return settings{}, fmt.Errorf("%w: timeout_ms is %d, allowed: 0 to %d", errRange, s.TimeoutMS, time.Hour.Milliseconds())
	}
	return s, nil
}

var errRange = errors.New("value out of range")

// defaultSettings is the settings file that is read if it exists.
func defaultSettings() string {
	dir, err := os.UserConfigDir()
	if err != nil {
		return ""
	}
	return filepath.Join(dir, "samphirestile", "settings.json")
}

func (o *Options) load() (settings, error) {
	path, optional := o.Settings, false
	if path == "" {
		path, optional = defaultSettings(), true
	}
	if path == "" {
		return settings{}, nil
	}
	data, err := ReadFile(path)
	if optional && errors.Is(err, fs.ErrNotExist) {
		return settings{}, nil
	}
	if err != nil {
		return settings{}, err
	}
	s, err := readSettings(data)
	if err != nil {
		return settings{}, &FileError{Path: path, Cause: err, Advice: "Correct the settings file; it may hold server, token, operator and timeout_ms."}
	}
	return s, nil
}

var errFileTooLarge = fmt.Errorf("file exceeds %d bytes", maxFileBytes)

// ReadFile reads a file of bounded size.
func ReadFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, &FileError{Path: path, Cause: err, Advice: "Check the path."}
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err == nil && len(data) > maxFileBytes {
		err = errFileTooLarge
	}
	if err != nil {
		return nil, &FileError{Path: path, Cause: err, Advice: "Check the file."}
	}
	return data, nil
}

// Environment is what a subcommand runs with.
type Environment struct {
	Context  context.Context
	Out      io.Writer
	Format   string
	Operator string

	options Options
	client  *oas.Client
	fleet   *fleetoas.Client
}

// NewEnvironment returns an environment; the client is made when it is first used.
func NewEnvironment(ctx context.Context, o Options, out io.Writer) *Environment {
	return &Environment{Context: ctx, Out: out, Format: o.Output, Operator: o.Operator, options: o}
}

// Client returns the client of the daemon.
func (e *Environment) Client() (*oas.Client, error) {
	if e.client != nil {
		return e.client, nil
	}
	server, token, timeout, err := e.daemon()
	if err != nil {
		return nil, err
	}
	e.client, err = newClient(server, token, timeout)
	return e.client, err
}

// FleetClient returns the client of a daemon that serves jobs.
func (e *Environment) FleetClient() (*fleetoas.Client, error) {
	if e.fleet != nil {
		return e.fleet, nil
	}
	server, token, timeout, err := e.daemon()
	if err != nil {
		return nil, err
	}
	e.fleet, err = newFleetClient(server, token, timeout)
	return e.fleet, err
}

// daemon returns the operator address and the token of the daemon, and the time
// limit of a call.
func (e *Environment) daemon() (server, token string, timeout time.Duration, err error) {
	s, err := e.options.load()
	if err != nil {
		return "", "", 0, err
	}
	server, token = first(e.options.Server, s.Server), first(e.options.Token, s.Token)
	e.Operator = first(e.options.Operator, s.Operator)
	if _, err := netip.ParseAddrPort(server); err != nil {
		return "", "", 0, &OptionError{Option: "--server", Value: server, Allowed: "the IP number and port of a daemon's operator interface"}
	}
	if token == "" {
		return "", "", 0, &OptionError{Option: "--token", Allowed: "the operator token of the deployment"}
	}
	timeout = defaultTimeout
	if s.TimeoutMS > 0 {
		timeout = time.Duration(s.TimeoutMS) * time.Millisecond
	}
	return server, token, timeout, nil
}

func first(values ...string) string {
	for _, v := range values {
		if v != "" {
			return v
		}
	}
	return ""
}
