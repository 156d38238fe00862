// Package policy reads the policy file of a daemon: which decisions under load are enabled, and their bounds.
package policy

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"

	"samphirestile.example/samphirestile/internal/intake"
	"samphirestile.example/samphirestile/internal/settings"
)

// Policy switches the decisions under load. The zero value disables all of them.
type Policy struct {
	Admission Admission `json:"admission"`
	Fairness  Fairness  `json:"fairness"`
	LookAhead LookAhead `json:"look_ahead"`
	// Heartbeats finds lost answers of workers before the calls time out.
	Heartbeats Heartbeats `json:"heartbeats"`
	// Packing orders the workers for short tasks.
	Packing Packing `json:"packing"`
	// Draining lets short tasks end on workers whose hosts are moved or maintained.
	Draining Draining `json:"draining"`
	// Intake replaces limits on the input of clients; 0 is the default, which depends on the machine.
	Intake intake.Limits `json:"intake"`
}

// Draining lets tasks that will end soon end on workers that are emptied, instead of starting them again elsewhere.
type Draining struct {
	Enabled bool `json:"enabled"`
}

// Heartbeats queries the status of a worker whose answer to a heartbeat is overdue.
type Heartbeats struct {
	Enabled bool `json:"enabled"`
}

// Packing fills used workers before unused ones, so that large tasks find room and hosts can be released.
type Packing struct {
	Enabled bool `json:"enabled"`
}

// Admission predicts when a job would be completed and refuses one that would be late.
type Admission struct {
	Enabled bool `json:"enabled"`
}

// Fairness divides a contended pool among client accounts by weight.
type Fairness struct {
	Enabled bool `json:"enabled"`
}

// LookAhead reserves workers for tasks that no worker has room for yet.
type LookAhead struct {
	Enabled bool `json:"enabled"`
	// MaxReservations bounds the waiting tasks and gangs for which one scheduling pass reserves workers.
	MaxReservations int `json:"max_reservations"`
	// MaxWaitMS is after how many milliseconds without a worker a large task or gang comes before other jobs, one
	// job in each pass, so that jobs which come before it in the usual order do not starve it.
	MaxWaitMS int `json:"max_wait_ms"`
}

// Limits of the bounds of LookAhead. The processor time of a pass grows with the number of reservations. A task that
// its service has capacity for may wait for 3 s at most.
const (
	maxReservations        = 64
	minWaitMS, maxWaitMS   = 100, 2500
	defaultMaxReservations = 8
	defaultMaxWaitMS       = 1500
)

// Finding describes an invalid value in a policy file.
type Finding = settings.Finding

// Error reports all findings in a policy file, or the cause if it cannot be read.
type Error struct {
	File     string
	Findings []Finding
	Cause    error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("policy %s: %v", e.File, e.Cause)
	}
	return settings.FormatFindings(e.File, e.Findings)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

var errTrailingData = errors.New("data after the policy object")

// Load reads and checks a policy file. An empty path is the policy that disables everything.
func Load(path string) (Policy, error) {
	if path == "" {
		return Policy{}, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Policy{}, &Error{File: path, Cause: err}
	}
	return Parse(path, data)
}

// Parse decodes and checks a policy; file is only used in errors.
func Parse(file string, data []byte) (Policy, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	p := defaults()
	if err := dec.Decode(&p); err != nil {
		return Policy{}, &Error{File: file, Cause: err}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return Policy{}, &Error{File: file, Cause: errTrailingData}
	}
	if findings := p.check(); len(findings) > 0 {
		return Policy{}, &Error{File: file, Findings: findings}
	}
	return p, nil
}

// defaults returns the bounds of fields that a policy file leaves out.
func defaults() Policy {
	return Policy{LookAhead: LookAhead{MaxReservations: defaultMaxReservations, MaxWaitMS: defaultMaxWaitMS}}
}

func (p *Policy) check() []Finding {
	var findings []Finding
	if p.Fairness.Enabled && !p.Admission.Enabled {
		findings = append(findings, Finding{Path: "fairness.enabled", Value: "true", Allowed: "false unless admission.enabled is true, because only its decisions know shares"})
	}
	for _, f := range p.Intake.Check() {
		findings = append(findings, Finding{Path: "intake." + f.Path, Value: f.Value, Allowed: f.Allowed})
	}
	return append(findings, p.LookAhead.check()...)
}

func (l *LookAhead) check() []Finding {
	var findings []Finding
	inRange := func(field string, value, low, high int) {
		if value < low || value > high {
			findings = append(findings, Finding{Path: "look_ahead." + field, Value: strconv.Itoa(value), Allowed: fmt.Sprintf("%d to %d", low, high)})
		}
	}
	inRange("max_reservations", l.MaxReservations, 1, maxReservations)
	inRange("max_wait_ms", l.MaxWaitMS, minWaitMS, maxWaitMS)
	return findings
}
