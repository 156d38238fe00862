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

// Advisor emulates the advisor of a queue's policy. It answers one call at a time.
type Advisor struct {
	// Allows is the policy.
	Allows func(step string, id worker.ID) bool
	// Decision is the time that an answer takes.
	Decision time.Duration
	// Validity is how long tickets hold.
	Validity time.Duration
	// Workers are asked for the lives that tickets are for.
	Workers *Workers

	turn    sync.Mutex
	mu      sync.Mutex
	down    bool
	calls   int
	tickets map[string]ticket
}

type ticket struct {
	step   string
	worker worker.ID
	life   int
	until  time.Time
}

var _ worker.Advisor = (*Advisor)(nil)

// SetDown lets calls end without an answer.
func (a *Advisor) SetDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = down
}

// Calls returns how many calls were answered.
func (a *Advisor) Calls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

// Advise implements worker.Advisor.
func (a *Advisor) Advise(ctx context.Context, step string, workers []worker.ID) (worker.Advice, error) {
	a.turn.Lock()
	defer a.turn.Unlock()
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
		name := fmt.Sprintf("ticket-%d", len(a.tickets))
		if a.tickets == nil {
			a.tickets = map[string]ticket{}
		}
		a.tickets[name] = ticket{step, id, w.currentLife(), time.Now().Add(a.Validity)}
		advice.Approvals[id] = name
	}
	return advice, nil
}

// holds reports whether a start of the task may carry the ticket.
func (a *Advisor) holds(name, task string, id worker.ID, life int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.tickets[name]
	return ok && t.worker == id && t.life == life && time.Now().Before(t.until) && t.step == task[:strings.LastIndexByte(task, '.')]
}
