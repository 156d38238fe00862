package process

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"samphirestile.example/samphirestile/internal/emulator/relay"
	"samphirestile.example/samphirestile/internal/operatorapi/oas"
)

// Daemon is one daemon process.
type Daemon struct {
	*Process
	ID              string
	ServiceAddress  string
	PeerAddress     string
	OperatorAddress string
	// PeerRelay forwards to the peer listener, StoreRelay to the platform; nil when
	// the cell has no such relays.
	PeerRelay  *relay.Relay
	StoreRelay *relay.Relay
	Operator   *oas.Client

	advertised   string // peer address that other daemons use
	settingsPath string
}

// ServiceURL returns the base URL of the service listener.
func (d *Daemon) ServiceURL() string { return "http://" + d.ServiceAddress }

type staticToken struct{}

// OperatorToken implements oas.SecuritySource.
func (staticToken) OperatorToken(context.Context, oas.OperationName) (oas.OperatorToken, error) {
	return oas.OperatorToken{Token: operatorToken}, nil
}

// AddDaemon starts one more daemon without waiting until it is ready.
func (c *Cell) AddDaemon() (*Daemon, error) {
	d := &Daemon{ID: numbered("daemon", len(c.Daemons)+1)}
	for _, field := range []*string{&d.ServiceAddress, &d.PeerAddress, &d.OperatorAddress} {
		address, err := c.reserveAddress()
		if err != nil {
			return nil, err
		}
		*field = address
	}
	client, err := oas.NewClient("http://"+d.OperatorAddress, staticToken{}, oas.WithClient(&http.Client{Timeout: startTimeout}))
	if err != nil {
		return nil, fmt.Errorf("create the operator client of %s: %w", d.ID, err)
	}
	d.Operator = client
	if err := c.writeSettings(d); err != nil {
		return nil, err
	}
	if err := c.Boot(d); err != nil {
		return nil, err
	}
	c.Daemons = append(c.Daemons, d)
	return d, nil
}

// Boot starts or restarts the process of d.
func (c *Cell) Boot(d *Daemon) error {
	p, err := c.spawn(d.ID, c.Daemon, "run", "--settings", d.settingsPath)
	if err != nil {
		return err
	}
	d.Process = p
	return nil
}

// writeSettings starts the relays of d, if the cell has any, and writes the settings file.
func (c *Cell) writeSettings(d *Daemon) error {
	d.advertised = d.PeerAddress
	platform := c.PlatformAddress
	var err error
	if c.PeerRelays {
		if d.PeerRelay, err = c.relayTo(d.PeerAddress, c.sourceOf); err != nil {
			return err
		}
		d.advertised = d.PeerRelay.Address()
	}
	if c.StoreRelays {
		if d.StoreRelay, err = c.relayTo(c.PlatformAddress, nil); err != nil {
			return err
		}
		if err := applySwitches(d.StoreRelay, c.store); err != nil {
			return err
		}
		platform = d.StoreRelay.Address()
	}
	raw, err := encode("settings", settings{
		DaemonID:             d.ID,
		AvailabilityZone:     numbered("zone", len(c.Daemons)%zoneCount+1),
		ServiceAddress:       d.ServiceAddress,
		PeerAddress:          d.PeerAddress,
		AdvertisePeerAddress: d.advertised,
		OperatorAddress:      d.OperatorAddress,
		CellSecret:           cellSecret,
		OperatorTokens:       []string{operatorToken},
		PlatformAddress:      platform,
		Peers:                c.peerAddresses(),
		LogLevel:             c.logLevel(),
		MemoryMB:             c.MemoryMB,
		FileDescriptors:      c.FileDescriptors,
		Timing:               c.Timing,
	})
	if err != nil {
		return err
	}
	d.settingsPath = c.path(d.ID + ".json")
	return writeFile(d.settingsPath, raw)
}

// WriteError reports a file that could not be written.
type WriteError struct {
	Path  string
	Cause error
}

func (e *WriteError) Error() string { return fmt.Sprintf("write %s: %v", e.Path, e.Cause) }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Cause }

func writeFile(path string, content []byte) error {
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return &WriteError{Path: path, Cause: err}
	}
	return nil
}

// zoneCount is the number of availability zones in docs/design.md.
const zoneCount = 4

func (c *Cell) logLevel() string {
	if c.LogLevel == "" {
		return "info"
	}
	return c.LogLevel
}

func (c *Cell) peerAddresses() []string {
	peers := []string{}
	for _, d := range c.Daemons {
		peers = append(peers, d.advertised)
	}
	return peers
}

// NotReadyError reports a daemon that did not become ready in time.
type NotReadyError struct {
	Daemon string
	Limit  time.Duration
	Last   string // status or error of the last readiness check
}

func (e *NotReadyError) Error() string {
	return fmt.Sprintf("daemon %s: not ready after %v; last status or error: %q", e.Daemon, e.Limit, e.Last)
}

// Ready reports whether the readiness check of the daemon succeeds, and the status or error.
func (d *Daemon) Ready() (bool, string) {
	client := http.Client{Timeout: readyTimeout}
	resp, err := client.Get(d.ServiceURL() + "/-/ready")
	if err != nil {
		return false, err.Error()
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK, resp.Status
}

// readyTimeout limits one readiness check or one read of a state.
const readyTimeout = time.Second

// AwaitReady waits until the running daemons are ready.
func (c *Cell) AwaitReady(timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for _, d := range c.Running() {
		if err := d.awaitReady(end, timeout); err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) awaitReady(end time.Time, timeout time.Duration) error {
	last := ""
	for time.Now().Before(end) && d.Process.Running() {
		ready, status := d.Ready()
		if ready {
			return nil
		}
		last = status
		time.Sleep(pollInterval)
	}
	return &NotReadyError{Daemon: d.ID, Limit: timeout, Last: last}
}

// Running returns the daemons whose processes are running.
func (c *Cell) Running() []*Daemon {
	return slices.DeleteFunc(slices.Clone(c.Daemons), func(d *Daemon) bool { return !d.Process.Running() })
}

// ServiceURLs returns the base URLs of the service listeners of the running daemons.
func (c *Cell) ServiceURLs() []string {
	var urls []string
	for _, d := range c.Running() {
		urls = append(urls, d.ServiceURL())
	}
	return urls
}
