package cluster

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/worker"
)

// Advisor emulates the external advisor that approves the starts of a queue. It processes
// one call at a time.
type Advisor struct {
	// Allows decides whether a worker may run tasks of a step.
	Allows func(step string, id worker.ID) bool
	// Decision is the duration of each call.
	Decision time.Duration
	// Validity is the lifetime of approvals.
	Validity time.Duration
	// Workers provides the current incarnations of the workers. An approval is valid only for
	// the incarnation that the worker had when it was given.
	Workers *Workers

	callMu    sync.Mutex
	mu        sync.Mutex
	down      bool
	calls     int
	approvals map[string]approval
}

type approval struct {
	step        string
	worker      worker.ID
	incarnation int
	expiry      time.Time
}

var _ worker.Advisor = (*Advisor)(nil)

// SetDown sets whether calls fail without a response.
func (a *Advisor) SetDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = down
}

// Calls returns the number of successful calls.
func (a *Advisor) Calls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

// Advise implements worker.Advisor.
func (a *Advisor) Advise(ctx context.Context, step string, workers []worker.ID) (worker.Advice, error) {
	a.callMu.Lock()
	defer a.callMu.Unlock()
	monotonic.Sleep(ctx, a.Decision)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		return worker.Advice{}, &worker.NoAnswerError{Cause: errEmulated}
	}
	a.calls++
	advice := worker.Advice{Approvals: map[worker.ID]string{}, Validity: a.Validity}
	for _, id := range workers {
		w := a.Workers.Find(id)
		if w == nil || !a.Allows(step, id) {
			continue
		}
		name := fmt.Sprintf("ticket-%d", len(a.approvals))
		if a.approvals == nil {
			a.approvals = map[string]approval{}
		}
		a.approvals[name] = approval{step, id, w.currentIncarnation(), time.Now().Add(a.Validity)}
		advice.Approvals[id] = name
	}
	return advice, nil
}

// approves reports whether the named approval is valid for starting the task on
// this incarnation of the worker.
func (a *Advisor) approves(name, task string, id worker.ID, incarnation int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	given, ok := a.approvals[name]
	return ok && given.worker == id && given.incarnation == incarnation && time.Now().Before(given.expiry) && given.step == task[:strings.LastIndexByte(task, '.')]
}
