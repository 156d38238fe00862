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

// Endpoint is an endpoint emulator in its own process.
type Endpoint struct {
	*Process
	ID      string
	Address string
	Service Service
	Leaving bool

	eventsPath string
	stopped    []history.Event
}

// AddEndpoint starts one more endpoint of s. The configuration is not changed.
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
	return e, awaitListening(e.Process, address, startLimit)
}

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

// Kill ends the endpoint at once; its running work ends with it. The stop is
// recorded before the kill, because a daemon sees the connections close before
// this process sees the end, and again after it for requests that came in between.
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
	return awaitListening(p, e.Address, startLimit)
}

// SetFaults switches the failure modes of the endpoint.
func (e *Endpoint) SetFaults(f endpoint.Faults) error {
	return putAdmin("http://"+e.Address+endpoint.AdminPrefix+"faults", f)
}

// Configure replaces the behaviour of the endpoint.
func (e *Endpoint) Configure(s endpoint.Settings) error {
	s.Name, s.Service = e.ID, e.Service.ID
	return putAdmin("http://"+e.Address+endpoint.AdminPrefix+"settings", s)
}

// AdminError reports a refused admin call.
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
		return fmt.Errorf("admin call: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("admin call: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		detail, _ := io.ReadAll(resp.Body)
		return &AdminError{URL: url, Status: resp.StatusCode, Detail: string(detail)}
	}
	return nil
}

// Events returns what the endpoint recorded, also across restarts.
func (e *Endpoint) Events() ([]history.Event, error) {
	f, err := os.Open(e.eventsPath)
	if err != nil {
		return nil, fmt.Errorf("events of %s: %w", e.ID, err)
	}
	defer f.Close()
	events, err := history.Read(f)
	if err != nil {
		return nil, err
	}
	return append(events, e.stopped...), nil
}

// Events returns the merged events of all endpoints, the operator's actions and the given lists.
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
