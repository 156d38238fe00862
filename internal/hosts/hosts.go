// Package hosts maintains hosts in waves and moves them between pools.
package hosts

import (
	"context"
	"fmt"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/worker"
)

// State is what the platform says of a host.
type State string

// States of a host.
const (
	Up          State = "up"
	Moving      State = "moving"
	Maintenance State = "upkeep"
	Down        State = "down"
)

// Host is one machine of the platform's list.
type Host struct {
	ID               fleet.HostID
	Pool             fleet.ServiceID
	State            State
	AvailabilityZone fleet.AvailabilityZone
	Labels           []string
	Capacity         worker.Resources
	// Worker is the worker that runs on the host, or "".
	Worker worker.ID
}

// Holder gives orders to hosts. Only one holder does so at a time.
type Holder struct {
	Name  string
	Token uint64
}

// Platform lists hosts and takes orders for them.
type Platform interface {
	List(ctx context.Context) ([]Host, error)
	Maintain(ctx context.Context, by Holder, host fleet.HostID, wave int64) error
	Move(ctx context.Context, by Holder, host fleet.HostID, pool fleet.ServiceID) error
}

// RefusedError reports an order that was not carried out.
type RefusedError struct{ Reason string }

func (e *RefusedError) Error() string { return fmt.Sprintf("order to a host refused: %s", e.Reason) }

// NotSentError reports an order that had no effect.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string {
	return fmt.Sprintf("order to a host had no effect: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// NoAnswerError reports an order that may have been carried out.
type NoAnswerError struct{ Cause error }

func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("no answer to an order to a host: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Cause }
