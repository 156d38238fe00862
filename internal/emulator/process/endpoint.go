package process

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"

	"samphirestile.example/samphirestile/internal/emulator/endpoint"
	"samphirestile.example/samphirestile/internal/emulator/history"
)

// Endpoint is an endpoint emulator that runs as a separate process.
type Endpoint struct {
	*Process
	ID      string
	Address string
	Service Service
	Leaving bool

	eventsPath string
	stopped    []history.Event // KindStopped events, which this process records
}

// AddEndpoint starts one more endpoint of s. It does not change the configuration.
func (c *Cell) AddEndpoint(s Service) (*Endpoint, error) {
	address, err := c.reserveAddress()
	if err != nil {
		return nil, err
	}
	id := numbered(s.ID, len(c.Endpoints)+1)
	e := &Endpoint{ID: id, Address: address, Service: s.withDefaults(), eventsPath: c.path(id + ".events")}
	if e.Process, err = c.spawn("endpoint-"+id, c.Emulator, e.arguments()...); err != nil {
		return nil, err
	}
	c.Endpoints = append(c.Endpoints, e)
	return e, awaitListening(e.Process, address, startTimeout)
}

// arguments returns the command-line arguments of the emulator.
func (e *Endpoint) arguments() []string {
	b := e.Service.Behaviour
	args := []string{"endpoint", "--listen", e.Address, "--name", e.ID, "--service", e.Service.ID, "--events", e.eventsPath,
		"--mean-ms", strconv.FormatFloat(b.MeanMS, 'f', -1, 64), "--slow-ms", strconv.FormatFloat(b.SlowMS, 'f', -1, 64),
		"--slow-share", strconv.FormatFloat(b.SlowShare, 'f', -1, 64), "--capacity", strconv.Itoa(b.Capacity),
		"--seed", strconv.FormatInt(b.Seed, 10)}
	if b.Shape != "" {
		args = append(args, "--shape", string(b.Shape))
	}
	if b.Overload != "" {
		args = append(args, "--overload", string(b.Overload))
	}
	return args
}

// Kill kills the endpoint and with it its running requests. The stop is recorded
// before the kill, because a daemon may see the connections close before this
// process sees the exit, and again after it for requests that started in between.
func (e *Endpoint) Kill() {
	stopped := history.Event{Kind: history.KindStopped, Endpoint: e.ID}
	before := history.Stamp(stopped)
	e.Process.Kill()
	e.stopped = append(e.stopped, before, history.Stamp(stopped))
}

// Restart starts a killed endpoint again on the same address.
func (c *Cell) Restart(e *Endpoint) error {
	p, err := c.spawn("endpoint-"+e.ID, c.Emulator, e.arguments()...)
	if err != nil {
		return err
	}
	e.Process = p
	return awaitListening(p, e.Address, startTimeout)
}

// SetFaults replaces the injected faults of the endpoint.
func (e *Endpoint) SetFaults(f endpoint.Faults) error {
	return putAdmin("http://"+e.Address+endpoint.AdminPrefix+"faults", f)
}

// Configure replaces the settings of the endpoint.
func (e *Endpoint) Configure(s endpoint.Settings) error {
	s.Name, s.Service = e.ID, e.Service.ID
	return putAdmin("http://"+e.Address+endpoint.AdminPrefix+"settings", s)
}

// AdminError reports an admin call with an error status.
type AdminError struct {
	URL    string
	Status int
	Detail string
}

func (e *AdminError) Error() string {
	return fmt.Sprintf("admin call %s: status %d: %s", e.URL, e.Status, e.Detail)
}

func putAdmin(url string, v any) error {
	body, err := encode(url, v)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create the admin call to %s: %w", url, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("send the admin call: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		detail, _ := io.ReadAll(resp.Body)
		return &AdminError{URL: url, Status: resp.StatusCode, Detail: string(detail)}
	}
	return nil
}

// Events returns the events of the endpoint, including those before restarts.
func (e *Endpoint) Events() ([]history.Event, error) {
	f, err := os.Open(e.eventsPath)
	if err != nil {
		return nil, fmt.Errorf("open the events of endpoint %s: %w", e.ID, err)
	}
	defer f.Close()
	events, err := history.Read(f)
	if err != nil {
		return nil, err
	}
	return append(events, e.stopped...), nil
}

// Events returns the events of all endpoints, of operator actions and of the given
// lists, merged in time order.
func (c *Cell) Events(more ...[]history.Event) ([]history.Event, error) {
	lists := append(more, c.Recorder.Events(0))
	for _, e := range c.Endpoints {
		events, err := e.Events()
		if err != nil {
			return nil, err
		}
		lists = append(lists, events)
	}
	return history.Merge(lists...), nil
}
