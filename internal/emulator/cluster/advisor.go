package cluster

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"samphirestile.example/samphirestile/internal/worker"
)

// maxWaitingCalls is how many calls of one host may wait for the advisor.
const maxWaitingCalls = 32

// Advisor emulates the external advisor that approves the starts of a queue. It processes the calls of
// one host one at a time, also those that the host has given up. Advise calls it from a single host.
type Advisor struct {
	// Allows decides whether a worker may run tasks of a step.
	Allows func(step string, id worker.ID) bool
	// Decision is the duration of each call, beside PerWorker for each worker that it names.
	Decision, PerWorker time.Duration
	// Validity is the lifetime of approvals, which begins with the answer.
	Validity time.Duration
	// ValidFromCall is set if the lifetime begins when the advisor begins to process the call.
	ValidFromCall bool
	// Workers provides the current incarnations of the workers. An approval is valid only for
	// the incarnation that the worker had when it was given.
	Workers *Workers

	host advisorHost
	// processing counts the calls that are not processed yet.
	processing sync.WaitGroup

	mu           sync.Mutex
	down         bool
	calls, named int
	approvals    map[string]approval
}

// advisorHost holds the calls of one host.
type advisorHost struct {
	once sync.Once
	// turn is a channel, because a simulated clock stands still while a goroutine waits for a mutex.
	turn    chan struct{}
	waiting atomic.Int32
}

// take waits for the turn of a call, and returns a function that ends it.
func (h *advisorHost) take() (end func()) {
	h.once.Do(func() { h.turn = make(chan struct{}, 1) })
	h.turn <- struct{}{}
	return func() { <-h.turn }
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

// Named returns how many workers the successful calls have named.
func (a *Advisor) Named() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.named
}

// Wait waits until all calls are processed.
func (a *Advisor) Wait() { a.processing.Wait() }

// Host returns the advisor as another host calls it.
func (a *Advisor) Host() worker.Advisor { return &hostAdvisor{advisor: a} }

type hostAdvisor struct {
	advisor *Advisor
	host    advisorHost
}

// Advise implements worker.Advisor.
func (h *hostAdvisor) Advise(ctx context.Context, step string, workers []worker.ID) (worker.Advice, error) {
	return h.advisor.advise(ctx, &h.host, step, workers)
}

// Advise implements worker.Advisor.
func (a *Advisor) Advise(ctx context.Context, step string, workers []worker.ID) (worker.Advice, error) {
	return a.advise(ctx, &a.host, step, workers)
}

func (a *Advisor) advise(ctx context.Context, host *advisorHost, step string, workers []worker.ID) (worker.Advice, error) {
	if host.waiting.Add(1) > maxWaitingCalls {
		host.waiting.Add(-1)
		return worker.Advice{}, &worker.AdvisorBusyError{}
	}
	type result struct {
		advice worker.Advice
		err    error
	}
	answer := make(chan result, 1)
	a.processing.Go(func() {
		defer host.take()()
		host.waiting.Add(-1)
		advice, err := a.process(step, workers)
		answer <- result{advice, err}
	})
	select {
	case r := <-answer:
		return r.advice, r.err
	case <-ctx.Done():
		return worker.Advice{}, &worker.NoAnswerError{Cause: ctx.Err()}
	}
}

// process processes one call.
func (a *Advisor) process(step string, workers []worker.ID) (worker.Advice, error) {
	began := time.Now()
	time.Sleep(a.Decision + time.Duration(len(workers))*a.PerWorker)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		return worker.Advice{}, &worker.NoAnswerError{Cause: errEmulated}
	}
	valid := time.Now().Add(a.Validity)
	if a.ValidFromCall {
		valid = began.Add(a.Validity)
	}
	a.calls++
	a.named += len(workers)
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
		a.approvals[name] = approval{step, id, w.currentIncarnation(), valid}
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
