// Package worker describes hosts' workers, which run tasks under leases, and the orders they take.
package worker

import (
	"context"
	"fmt"
	"slices"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
)

// ID names one life of a worker. A worker may start again under the ID that it had.
type ID string

// Resources is an amount of processor time, memory and accelerators.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU   int64 `json:"cpu,omitempty"`
	MemMB int64 `json:"mem_mb,omitempty"`
	GPU   int64 `json:"gpu,omitempty"`
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemMB + o.MemMB, r.GPU + o.GPU}
}

// Minus returns the difference.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemMB - o.MemMB, r.GPU - o.GPU}
}

// Fits reports whether r is at most free in every dimension.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.MemMB <= free.MemMB && r.GPU <= free.GPU
}

// Times returns r multiplied by n.
func (r Resources) Times(n int64) Resources { return Resources{r.CPU * n, r.MemMB * n, r.GPU * n} }

// DominantShare returns the largest part of total that r takes in any dimension.
func (r Resources) DominantShare(total Resources) float64 {
	part := func(a, b int64) float64 {
		if b <= 0 {
			return 0
		}
		return float64(a) / float64(b)
	}
	return max(part(r.CPU, total.CPU), part(r.MemMB, total.MemMB), part(r.GPU, total.GPU))
}

// Worker is one entry of the platform's list.
type Worker struct {
	ID               ID
	Service          fleet.ServiceID
	Address          string
	AvailabilityZone fleet.AvailabilityZone
	Draining         bool
	// Missing workers have just left the list; they may return.
	Missing  bool
	Capacity Resources
	// Labels are the kind of the worker and its rack, in this order.
	Labels []string
}

// Equal reports whether the entries say the same.
func (w Worker) Equal(o Worker) bool {
	return w.ID == o.ID && w.Service == o.Service && w.Address == o.Address && w.AvailabilityZone == o.AvailabilityZone &&
		w.Draining == o.Draining && w.Missing == o.Missing && w.Capacity == o.Capacity && slices.Equal(w.Labels, o.Labels)
}

// Kind returns the kind of the worker, or "".
func (w Worker) Kind() string {
	if len(w.Labels) > 0 {
		return w.Labels[0]
	}
	return ""
}

// Rack returns the worker's rack, or "".
func (w Worker) Rack() string {
	if len(w.Labels) > 1 {
		return w.Labels[1]
	}
	return ""
}

// HasLabel reports whether the worker carries the label.
func (w Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Run is one run that a worker reports as going on.
type Run struct {
	Task       string
	Number     int
	Checkpoint string
	// Percent is the share of the task that is at work, 0 to 100.
	Percent int
	// Usage is the tail of response times in milliseconds for a task that
	// serves, and thousandths of a core in use for any other task.
	Usage int64
}

// FinishCause tells how a run ended.
type FinishCause string

// Causes of ends.
const (
	FinishDone    FinishCause = "done"
	FinishFailed  FinishCause = "failed"
	FinishStopped FinishCause = "stopped"
	FinishLapsed  FinishCause = "lapsed"
	FinishBroken  FinishCause = "broken"
	FinishAlone   FinishCause = "alone"
)

// FinishedRun is the end of one run.
type FinishedRun struct {
	// Sequence starts at 1 in each life of a worker and rises.
	Sequence   int64
	Task       string
	Number     int
	Cause      FinishCause
	Checkpoint string
}

// Status is a worker's report on its runs.
type Status struct {
	// ClockMS is the worker's monotonic clock in milliseconds.
	ClockMS int64
	// IncarnationStartMS is the Unix time in milliseconds at which this life began.
	IncarnationStartMS int64
	Running            []Run
	Finished           []FinishedRun
}

// MaxFinishedPerStatus is how many ends a worker lists at once.
const MaxFinishedPerStatus = 500

// HeartbeatCommand extends the lease of all runs and asks for a status.
type HeartbeatCommand struct {
	Token uint64
	// Acknowledged is the sequence of the last end that is recorded.
	Acknowledged int64
	// LeaseEndMS is on the worker's clock; 0 leaves the lease as it is.
	LeaseEndMS int64
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// StartCommand starts one run.
type StartCommand struct {
	Token      uint64
	Task       string
	Number     int
	Spec       string
	Checkpoint string
	LeaseEndMS int64
	// Approval is the advisor's permission, where a queue has an advisor.
	Approval string
}

// Conn gives orders to one life of one worker.
type Conn interface {
	Heartbeat(ctx context.Context, o HeartbeatCommand) (Status, error)
	// Start, Stop and Pace return the worker's clock in milliseconds.
	Start(ctx context.Context, o StartCommand) (int64, error)
	Stop(ctx context.Context, token uint64, task string, number int) (int64, error)
	Pace(ctx context.Context, token uint64, task string, number, percent int) (int64, error)
	Close()
}

// Dialer opens connections to workers.
type Dialer interface {
	Dial(w Worker) Conn
}

// Advice tells which of the workers asked about may run a step.
type Advice struct {
	// Approvals holds the permission for each worker that may run the step. What is
	// not in it may never run the step.
	Approvals map[ID]string
	// Validity is how long the tickets hold from when they were given.
	Validity time.Duration
}

// MaxAdvised is how many workers one call to an advisor may name.
const MaxAdvised = 100

// Advisor knows which workers the policy of a queue allows to run a step.
type Advisor interface {
	Advise(ctx context.Context, step string, workers []ID) (Advice, error)
}

// AdvisorBusyError reports an advisor with too many waiting calls.
type AdvisorBusyError struct{}

func (*AdvisorBusyError) Error() string { return "too many calls wait for the advisor" }

// Refusal is why a worker refused an order.
type Refusal string

// Reasons of refusals.
const (
	RefusedFence    Refusal = "fence"
	RefusedStaleRun Refusal = "old"
	RefusedExpired  Refusal = "late"
	RefusedCapacity Refusal = "room"
	RefusedApproval Refusal = "ticket"
	// RefusedInvalid is a malformed order.
	RefusedInvalid Refusal = "invalid"
	// RefusedUnhealthy comes from a worker that has done nothing.
	RefusedUnhealthy Refusal = "unhealthy"
)

// RefusedError reports an order that a worker did not carry out.
type RefusedError struct {
	Reason  Refusal
	ClockMS int64
}

func (e *RefusedError) Error() string { return fmt.Sprintf("worker refused the order: %s", e.Reason) }

// GoneError reports that another life of the worker answered.
type GoneError struct{ ID ID }

func (e *GoneError) Error() string { return fmt.Sprintf("worker %s is gone", e.ID) }

// UnreachableError reports an order that did not leave, because no connection could be made.
type UnreachableError struct{ Cause error }

func (e *UnreachableError) Error() string { return fmt.Sprintf("worker unreachable: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// NoAnswerError reports an order that may have been carried out, or may be later.
type NoAnswerError struct{ Cause error }

func (e *NoAnswerError) Error() string { return fmt.Sprintf("no answer from worker: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Cause }
