// Package worker defines the workers on hosts, which run tasks under leases, and the commands that
// they accept.
package worker

import (
	"context"
	"fmt"
	"slices"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
)

// ID identifies a worker. A restarted worker may keep its ID; its incarnations are
// distinguished by Status.IncarnationStartMS.
type ID string

// Resources is an amount of CPU, memory and accelerators.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU   int64 `json:"cpu,omitempty"`
	MemMB int64 `json:"mem_mb,omitempty"`
	GPU   int64 `json:"gpu,omitempty"`
}

// Plus returns r + o in each dimension.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemMB + o.MemMB, r.GPU + o.GPU}
}

// Minus returns r - o in each dimension; a result may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemMB - o.MemMB, r.GPU - o.GPU}
}

// Min returns the smaller amount in each dimension.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.CPU, o.CPU), min(r.MemMB, o.MemMB), min(r.GPU, o.GPU)}
}

// Fits reports whether r is at most free in every dimension.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.MemMB <= free.MemMB && r.GPU <= free.GPU
}

// Times returns r * n in each dimension.
func (r Resources) Times(n int64) Resources { return Resources{r.CPU * n, r.MemMB * n, r.GPU * n} }

// DominantShare returns the largest fraction of total that r uses in any dimension.
func (r Resources) DominantShare(total Resources) float64 {
	fraction := func(a, b int64) float64 {
		if b <= 0 {
			return 0
		}
		return float64(a) / float64(b)
	}
	return max(fraction(r.CPU, total.CPU), fraction(r.MemMB, total.MemMB), fraction(r.GPU, total.GPU))
}

// Worker is one entry of the platform's worker list.
type Worker struct {
	ID               ID
	Service          fleet.ServiceID
	Address          string
	AvailabilityZone fleet.AvailabilityZone
	Draining         bool
	// Missing is set for a short time after a worker has left the list; it may return.
	Missing bool
	// StartMS is the Unix time in milliseconds at which the listed incarnation started; 0 if unknown.
	StartMS  int64
	Capacity Resources
	// Labels holds the worker's kind and its rack, in this order.
	Labels []string
}

// Equal reports whether all fields of the entries are equal.
func (w Worker) Equal(o Worker) bool {
	return w.ID == o.ID && w.Service == o.Service && w.Address == o.Address && w.AvailabilityZone == o.AvailabilityZone &&
		w.Draining == o.Draining && w.Missing == o.Missing && w.StartMS == o.StartMS && w.Capacity == o.Capacity && slices.Equal(w.Labels, o.Labels)
}

// Kind returns the worker's kind, or "".
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

// MaxRunNumber bounds run numbers, with room for the numbers that owners skip.
const MaxRunNumber = 1 << 40

// Run is a run that a worker reports as running.
type Run struct {
	Task       string
	Number     int
	Checkpoint string
	// Percent is the share of the task that is active, 0 to 100.
	Percent int
	// Usage is the tail latency in milliseconds for a serving task, and the CPU in use in
	// thousandths of a core for any other task.
	Usage int64
}

// FinishCause is how a run finished.
type FinishCause string

const (
	FinishDone    FinishCause = "done"
	FinishFailed  FinishCause = "failed"
	FinishStopped FinishCause = "stopped"
	// FinishLapsed means that the run's lease expired.
	FinishLapsed FinishCause = "lapsed"
	FinishBroken FinishCause = "broken"
	FinishAlone  FinishCause = "alone"
)

// FinishedRun reports the completion of one run.
type FinishedRun struct {
	// Sequence starts at 1 in each incarnation of a worker and increases.
	Sequence   int64
	Task       string
	Number     int
	Cause      FinishCause
	Checkpoint string
}

// Status is a worker's response to a heartbeat.
type Status struct {
	// ClockMS is the worker's monotonic clock in milliseconds.
	ClockMS int64
	// IncarnationStartMS is the Unix time in milliseconds at which this incarnation started.
	IncarnationStartMS int64
	Running            []Run
	Finished           []FinishedRun
}

// MaxFinishedPerStatus is how many finished runs a worker lists in one status.
const MaxFinishedPerStatus = 500

// HeartbeatCommand extends the leases of all runs and requests a status.
type HeartbeatCommand struct {
	Token uint64
	// Acknowledged is the sequence of the last completion that is recorded.
	Acknowledged int64
	// LeaseEndMS is on the worker's clock; 0 leaves the leases unchanged.
	LeaseEndMS int64
	// Wait is how long the worker may wait for a completion before it responds.
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
	// Approval is the advisor's approval token; "" for a queue without an advisor.
	Approval string
}

// Conn sends commands to one incarnation of a worker.
type Conn interface {
	Heartbeat(ctx context.Context, c HeartbeatCommand) (Status, error)
	// Start, Stop and Pace return the worker's clock in milliseconds.
	Start(ctx context.Context, c StartCommand) (int64, error)
	Stop(ctx context.Context, token uint64, task string, number int) (int64, error)
	Pace(ctx context.Context, token uint64, task string, number, percent int) (int64, error)
	Close()
}

// Dialer opens connections to workers.
type Dialer interface {
	Dial(w Worker) Conn
}

// Advice lists which of the workers in a request may run a step.
type Advice struct {
	// Approvals holds the approval token of each worker that may run the step. A
	// requested worker that is absent may never run it.
	Approvals map[ID]string
	// Validity is how long the approvals are valid after they were granted.
	Validity time.Duration
}

// MaxAdvised is how many workers one call to an advisor may list.
const MaxAdvised = 100

// Advisor returns which workers the policy of a queue allows to run a step.
type Advisor interface {
	Advise(ctx context.Context, step string, workers []ID) (Advice, error)
}

// AdvisorBusyError reports that too many calls are waiting for the advisor.
type AdvisorBusyError struct{}

func (*AdvisorBusyError) Error() string { return "too many calls are waiting for the advisor" }

// Refusal is why a worker refused a command.
type Refusal string

const (
	// RefusedFence is a fencing token lower than one that the worker has received.
	RefusedFence Refusal = "fence"
	// RefusedStaleRun is a run number not above the highest one that the worker has received
	// for the task, or a task of which another run is still on the worker.
	RefusedStaleRun Refusal = "old"
	// RefusedExpired is a lease end that has already passed.
	RefusedExpired Refusal = "late"
	// RefusedCapacity is a task that exceeds the worker's free resources.
	RefusedCapacity Refusal = "room"
	// RefusedApproval is a start without a valid approval of the advisor.
	RefusedApproval Refusal = "ticket"
	// RefusedInvalid is a malformed command.
	RefusedInvalid Refusal = "invalid"
	// RefusedUnhealthy comes from a worker that did not execute the command at all.
	RefusedUnhealthy Refusal = "unhealthy"
)

// RefusedError reports a command that a worker refused to execute.
type RefusedError struct {
	Reason  Refusal
	ClockMS int64
}

func (e *RefusedError) Error() string { return fmt.Sprintf("worker refused the command: %s", e.Reason) }

// GoneError reports that another incarnation of the worker answered.
type GoneError struct{ ID ID }

func (e *GoneError) Error() string {
	return fmt.Sprintf("worker %s was replaced by another incarnation", e.ID)
}

// UnreachableError reports a command that was not sent because no connection could be made.
type UnreachableError struct{ Cause error }

func (e *UnreachableError) Error() string { return fmt.Sprintf("worker unreachable: %v", e.Cause) }

func (e *UnreachableError) Unwrap() error { return e.Cause }

// NoAnswerError reports a command without an answer, which may have been executed or may
// still be executed.
type NoAnswerError struct{ Cause error }

func (e *NoAnswerError) Error() string { return fmt.Sprintf("no answer from worker: %v", e.Cause) }

func (e *NoAnswerError) Unwrap() error { return e.Cause }
