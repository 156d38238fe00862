// Package hosts carries out maintenance waves and moves hosts between pools.
package hosts

import (
	"context"
	"fmt"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/worker"
)

// State is the state of a host as reported by the platform.
type State string

// States of a host.
const (
	Up          State = "up"
	Moving      State = "moving"
	Maintenance State = "upkeep"
	Down        State = "down"
	// Unreadable is a host whose entry in the list cannot be read. It is left as it is.
	Unreadable State = "unreadable"
)

// Host is one machine as listed by the platform.
type Host struct {
	ID               fleet.HostID
	Pool             fleet.ServiceID
	State            State
	AvailabilityZone fleet.AvailabilityZone
	Labels           []string
	Capacity         worker.Resources
	// Worker is the worker that runs on the host; it is empty if there is none.
	Worker worker.ID
}

// Holder identifies the daemon that holds the singleton role of issuing commands
// to hosts.
type Holder struct {
	Name  string
	Token uint64
	// Valid reports whether the holder may still issue commands; nil means that it may. It is
	// asked when a command is about to be written to the connection, because the platform may
	// not compare fencing tokens.
	Valid func() bool
}

// Platform lists hosts and accepts commands for them.
type Platform interface {
	List(ctx context.Context) ([]Host, error)
	Maintain(ctx context.Context, holder Holder, host fleet.HostID, wave int64) error
	Move(ctx context.Context, holder Holder, host fleet.HostID, pool fleet.ServiceID) error
}

// RefusedError reports a command that the platform rejected and did not carry out.
type RefusedError struct{ Reason string }

func (e *RefusedError) Error() string {
	return fmt.Sprintf("host command rejected by the platform: %s", e.Reason)
}

// NoEffectError reports a command that certainly had no effect.
type NoEffectError struct{ Cause error }

func (e *NoEffectError) Error() string {
	return fmt.Sprintf("host command had no effect: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NoEffectError) Unwrap() error { return e.Cause }

// NoAnswerError reports a command without a response. It may have been carried out.
type NoAnswerError struct{ Cause error }

func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("no response to host command, which may have been carried out: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Cause }
