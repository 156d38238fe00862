package process

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"samphirestile.example/samphirestile/internal/emulator/load"
	"samphirestile.example/samphirestile/internal/emulator/relay"
)

// Switches that emulate network failures. Refused rejects connections at once;
// Blackholed keeps connections open and delivers nothing.
var (
	Refused    = relay.Switches{Refuse: true}
	Blackholed = relay.Switches{BlackholeUp: true, BlackholeDown: true}
)

// applySwitches sets the switches of one relay and, when it refuses connections,
// resets the open ones.
func applySwitches(r *relay.Relay, s relay.Switches) error {
	err := r.Set(s)
	if s.Refuse {
		r.ResetConnections(relay.AnySource)
	}
	return err
}

// IsolateFromStore applies switches to the connections of d to the platform; zero
// switches restore them.
func (c *Cell) IsolateFromStore(d *Daemon, s relay.Switches) error {
	return applySwitches(d.StoreRelay, s)
}

// IsolateFromPeers applies switches to the connections of d to and from all other
// daemons; zero switches restore them.
func (c *Cell) IsolateFromPeers(d *Daemon, s relay.Switches) error {
	err := applySwitches(d.PeerRelay, s)
	for _, other := range c.Daemons {
		if other == d {
			continue
		}
		other.PeerRelay.SetFor(d.ID, s)
		if s.Refuse {
			other.PeerRelay.ResetConnections(d.ID)
		}
	}
	return err
}

// SetStoreSwitches applies switches to the connections of all daemons to the platform,
// including daemons added later; zero switches restore them.
func (c *Cell) SetStoreSwitches(s relay.Switches) error {
	c.store = s
	var errs []error
	for _, d := range c.Daemons {
		errs = append(errs, applySwitches(d.StoreRelay, s))
	}
	return errors.Join(errs...)
}

// Caller returns a caller that uses a new key of team and targets all running daemons.
func (c *Cell) Caller(name, team, service string) (load.Caller, error) {
	key, err := c.GiveKey(team)
	if err != nil {
		return load.Caller{}, err
	}
	if err := c.AwaitConfiguration(startTimeout); err != nil {
		return load.Caller{}, err
	}
	return load.Caller{
		Name: name, Team: team, KeyID: key.ID, Key: key.Secret, Service: service, Targets: load.EvenTargets(c.ServiceURLs()...),
	}, nil
}

// stopTimeout bounds one planned stop.
const stopTimeout = 70 * time.Second

// ExitStatusError reports a planned stop with a nonzero exit status.
type ExitStatusError struct {
	Daemon string
	Status int
}

func (e *ExitStatusError) Error() string {
	return fmt.Sprintf("planned stop of %s: exit status %d, want 0", e.Daemon, e.Status)
}

// ReplaceAll replaces the running daemons one after the other, each by a new one that is
// ready before the old one is stopped, and updates the targets of the balancer.
func (c *Cell) ReplaceAll(b *load.Balancer) error {
	for _, old := range c.Running() {
		if _, err := c.AddDaemon(); err != nil {
			return err
		}
		if err := c.AwaitReady(stopTimeout); err != nil {
			return err
		}
		b.SetTargets(c.ServiceURLs()...)
		old.Terminate()
		status, err := old.Wait(stopTimeout)
		if err != nil {
			return err
		}
		if status != 0 {
			return &ExitStatusError{Daemon: old.ID, Status: status}
		}
		b.SetTargets(c.ServiceURLs()...)
	}
	return nil
}

// Step is one action of a script, at a time relative to the script's start.
type Step struct {
	At time.Duration
	Do func() error
}

// Script runs steps in the background, in order, and returns a function that waits
// for the last one and returns their joined errors.
func Script(steps ...Step) (wait func() error) {
	begin := time.Now()
	done := make(chan error, 1)
	go func() {
		var errs []error
		for _, s := range steps {
			time.Sleep(time.Until(begin.Add(s.At)))
			errs = append(errs, s.Do())
		}
		done <- errors.Join(errs...)
	}()
	return func() error { return <-done }
}

// PeakMemory returns the peak resident set size of the process in bytes, 0 when unknown.
func (p *Process) PeakMemory() int64 {
	f, err := os.Open(filepath.Join("/proc", strconv.Itoa(p.PID()), "status"))
	if err != nil {
		return 0
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), "VmHWM:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(text, "kB")), 10, 64)
			return kb << 10
		}
	}
	return 0
}
