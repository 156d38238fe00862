// Package cli provides the options, daemon clients, output and error reports that the
// subcommands of samphirestile share.
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

// Values of Options.Output.
const (
	FormatTable = "table"
	FormatJSON  = "json"
)

// defaultTimeout is longer than the 8 s to which a daemon limits one change
// (applyTimeout in package config), including the read after a lost response of the store.
const defaultTimeout = 15 * time.Second

// maxFileBytes is the maximum size of a settings file and of a document.
const maxFileBytes = 1 << 20

// Options are the options of all subcommands. A flag takes precedence over its
// environment variable, which takes precedence over the settings file.
type Options struct {
	Server   string `help:"Operator address of a daemon, as IP:port." env:"SAMPHIRESTILE_SERVER" placeholder:"IP:PORT"`
	Token    string `help:"Operator token. Prefer the environment or the settings file: other users can see flags." env:"SAMPHIRESTILE_TOKEN" placeholder:"TOKEN"`
	Operator string `help:"Name that the history shows for changes." env:"SAMPHIRESTILE_OPERATOR" placeholder:"NAME"`
	Settings string `help:"JSON file with server, token, operator and timeout_ms." env:"SAMPHIRESTILE_SETTINGS" placeholder:"FILE"`
	Output   string `help:"Form of the output: table or json." enum:"table,json" default:"table" short:"o"`
}

// settings holds the values of the settings file.
type settings struct {
	Server    string `json:"server"`
	Token     string `json:"token"`
	Operator  string `json:"operator"`
	TimeoutMS int64  `json:"timeout_ms"`
}

var errTrailingData = errors.New("data after the JSON object")

// readSettings decodes a settings file and rejects unknown fields and trailing data.
func readSettings(data []byte) (settings, error) {
	var s settings
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return settings{}, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return settings{}, errTrailingData
	}
	if s.TimeoutMS < 0 || s.TimeoutMS > time.Hour.Milliseconds() {
		return settings{}, fmt.Errorf("%w: timeout_ms is %d, allowed: 0 to %d", errOutOfRange, s.TimeoutMS, time.Hour.Milliseconds())
	}
	return s, nil
}

var errOutOfRange = errors.New("value out of range")

// defaultSettingsPath returns the path of the settings file that is read if it exists.
func defaultSettingsPath() string {
	dir, err := os.UserConfigDir()
	if err != nil {
		return ""
	}
	return filepath.Join(dir, "samphirestile", "settings.json")
}

// loadSettings reads the settings file. It returns empty settings if no file is given and
// the default one does not exist.
func (o *Options) loadSettings() (settings, error) {
	path, optional := o.Settings, false
	if path == "" {
		path, optional = defaultSettingsPath(), true
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

var errFileTooLarge = fmt.Errorf("file is larger than the maximum of %d bytes", maxFileBytes)

// ReadFile reads a file of at most maxFileBytes.
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
		return nil, &FileError{Path: path, Cause: err, Advice: fmt.Sprintf("Check that the file is readable and at most %d bytes long.", maxFileBytes)}
	}
	return data, nil
}

// Environment holds the output, the options and the daemon clients of a subcommand.
type Environment struct {
	Context  context.Context
	Out      io.Writer
	Format   string
	Operator string

	options Options
	client  *oas.Client
	fleet   *fleetoas.Client
}

// NewEnvironment returns an environment; it creates the clients on first use.
func NewEnvironment(ctx context.Context, o Options, out io.Writer) *Environment {
	return &Environment{Context: ctx, Out: out, Format: o.Output, Operator: o.Operator, options: o}
}

// Client returns the client of the operators' interface of the daemon.
func (e *Environment) Client() (*oas.Client, error) {
	if e.client != nil {
		return e.client, nil
	}
	server, token, timeout, err := e.connection()
	if err != nil {
		return nil, err
	}
	e.client, err = newClient(server, token, timeout)
	return e.client, err
}

// FleetClient returns the client of the fleet interface, for daemons that serve jobs.
func (e *Environment) FleetClient() (*fleetoas.Client, error) {
	if e.fleet != nil {
		return e.fleet, nil
	}
	server, token, timeout, err := e.connection()
	if err != nil {
		return nil, err
	}
	e.fleet, err = newFleetClient(server, token, timeout)
	return e.fleet, err
}

// connection returns the operator address of the daemon, the operator token and the
// timeout of a call. It also sets e.Operator from the flag, the environment or the settings
// file.
func (e *Environment) connection() (server, token string, timeout time.Duration, err error) {
	s, err := e.options.loadSettings()
	if err != nil {
		return "", "", 0, err
	}
	server, token = firstNonEmpty(e.options.Server, s.Server), firstNonEmpty(e.options.Token, s.Token)
	e.Operator = firstNonEmpty(e.options.Operator, s.Operator)
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

func firstNonEmpty(values ...string) string {
	for _, v := range values {
		if v != "" {
			return v
		}
	}
	return ""
}
