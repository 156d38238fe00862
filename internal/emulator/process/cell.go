package process

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/emulator/history"
	"samphirestile.example/samphirestile/internal/emulator/relay"
)

// Options configures a cell of real processes.
type Options struct {
	// Daemon and Emulator are the paths of the executables.
	Daemon   string
	Emulator string
	// Dir receives settings, logs and events; empty means a new temporary directory.
	Dir      string
	Daemons  int
	Timing   Timing
	LogLevel string
	// MemoryMB and FileDescriptors are the limits of the machine in the settings of the daemons; 0 sets none.
	MemoryMB        int
	FileDescriptors int
	Services        []Service
	Teams           []Team
	// PeerRelays puts a relay in front of each daemon's peer listener, StoreRelays
	// puts one between each daemon and the platform.
	PeerRelays  bool
	StoreRelays bool
	// ConcurrentStart starts all daemons at the same time. Otherwise each one is ready
	// before the next starts, so that every daemon discovers its predecessors.
	ConcurrentStart bool
}

// Cell is a running set of daemons, endpoints and the platform emulator.
type Cell struct {
	Options
	Platform        *Process
	PlatformAddress string
	Daemons         []*Daemon
	Endpoints       []*Endpoint
	// Recorder holds the events of operator actions.
	Recorder *history.Recorder

	changes   int // number of changes and keys requested, for their IDs
	relays    []*relay.Relay
	store     relay.Switches // switches of the relays to the platform
	removeDir bool

	reserved []int // sockets that reserve the addresses of the cell

	mu        sync.Mutex // guards processes, which relays read concurrently
	processes []*Process
}

const (
	operatorToken = "operator-token-of-the-test-harness"
	cellSecret    = "cell-secret-of-the-test-harness-0123456789"
	// startTimeout bounds each wait for a started process.
	startTimeout = 15 * time.Second
)

// New starts the platform emulator and the endpoints, but no daemon.
func New(o Options) (*Cell, error) {
	c := &Cell{Options: o, Recorder: history.NewRecorder(nil)}
	if c.Dir == "" {
		dir, err := os.MkdirTemp("", "samphirestile-cell-")
		if err != nil {
			return nil, &StartError{Name: "directory", Cause: err}
		}
		c.Dir, c.removeDir = dir, true
	}
	for i := range c.Services {
		c.Services[i] = c.Services[i].withDefaults()
	}
	if err := c.startEnvironment(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Start starts a complete cell of platform, endpoints and daemons, waits until
// all daemons are ready and applies the configuration.
func Start(o Options) (*Cell, error) {
	c, err := New(o)
	if err != nil {
		return nil, err
	}
	if err := c.startDaemons(o.Daemons); err != nil {
		err = fmt.Errorf("%w\n%s", err, c.LogTails())
		c.Close()
		return nil, err
	}
	return c, nil
}

// startDaemons starts n daemons and waits until they are ready and have the configuration.
func (c *Cell) startDaemons(n int) error {
	for range n {
		if _, err := c.AddDaemon(); err != nil {
			return err
		}
		if c.ConcurrentStart {
			continue
		}
		if err := c.AwaitReady(startTimeout); err != nil {
			return err
		}
	}
	if err := c.AwaitReady(startTimeout); err != nil {
		return err
	}
	if err := c.ApplyAll(); err != nil {
		return err
	}
	return c.AwaitConfiguration(startTimeout)
}

// startEnvironment starts the platform emulator and the endpoints.
func (c *Cell) startEnvironment() error {
	address, err := c.reserveAddress()
	if err != nil {
		return err
	}
	c.PlatformAddress = address
	if c.Platform, err = c.spawn("platform", c.Emulator, "platform", "--listen", address); err != nil {
		return err
	}
	for _, s := range c.Services {
		for range s.Endpoints {
			if _, err := c.AddEndpoint(s); err != nil {
				return err
			}
		}
	}
	return awaitListening(c.Platform, address, startTimeout)
}

func (c *Cell) spawn(name, path string, args ...string) (*Process, error) {
	p, err := start(c.Dir, name, path, args...)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes = append(c.processes, p)
	return p, nil
}

// started returns all processes that the cell has started, including ended ones.
func (c *Cell) started() []*Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.processes)
}

// Close kills the processes of the cell and closes its relays.
func (c *Cell) Close() {
	for _, p := range c.started() {
		if p.Running() {
			p.Kill()
		}
	}
	for _, r := range c.relays {
		r.Close()
	}
	c.releaseAddresses()
	if c.removeDir {
		// Files left in a temporary directory do no harm.
		_ = os.RemoveAll(c.Dir)
	}
}

// tailBytes limits the log of each process in LogTails.
const tailBytes = 2000

// LogTails returns the last part of the log of each process.
func (c *Cell) LogTails() string {
	text := ""
	for _, p := range c.started() {
		log := p.Log()
		if len(log) > tailBytes {
			log = log[len(log)-tailBytes:]
		}
		if log != "" {
			text += "--- " + p.Name + "\n" + log + "\n"
		}
	}
	return text
}

// NotListeningError reports a process that exited or did not accept connections in time.
type NotListeningError struct{ Name, Address string }

func (e *NotListeningError) Error() string {
	return fmt.Sprintf("process %s exited or did not accept connections on %s in time", e.Name, e.Address)
}

// pollInterval is the interval at which processes are polled for an awaited state.
const pollInterval = 10 * time.Millisecond

// awaitListening waits until the process accepts connections on the address.
func awaitListening(p *Process, address string, timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for time.Now().Before(end) && p.Running() {
		c, err := net.DialTimeout("tcp", address, timeout)
		if err == nil {
			return c.Close()
		}
		time.Sleep(pollInterval)
	}
	return &NotListeningError{Name: p.Name, Address: address}
}

// relayTo starts a relay to target on a reserved address.
func (c *Cell) relayTo(target string, classify func(remote, local net.Addr) string) (*relay.Relay, error) {
	address, err := c.reserveAddress()
	if err != nil {
		return nil, err
	}
	r, err := relay.Listen(address, target, classify)
	if err != nil {
		return nil, err
	}
	c.relays = append(c.relays, r)
	return r, nil
}

func (c *Cell) path(name string) string { return filepath.Join(c.Dir, name) }

func numbered(name string, n int) string { return name + "-" + strconv.Itoa(n) }
