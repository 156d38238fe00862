package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/worker"
	"samphirestile.example/samphirestile/platform/standin"
)

const (
	clients = 6
	// tries is how often a client hands one job in before it gives up.
	tries = 12
	// clientPatience is how long a client waits for an answer.
	clientPatience = 3 * time.Second
)

// result is what the clients have seen of one job.
type result struct {
	id    job.ID
	steps []job.Step
	// accepted is set after a 2xx; rejected when every try was answered with 429 or 503.
	accepted, rejected bool
	// completedAt is when a daemon first showed the job as completed.
	completedAt time.Time
	final       job.State
}

func (r *result) tasks() []string {
	var names []string
	for i, s := range r.steps {
		for t := range s.Count {
			names = append(names, fmt.Sprintf("%s.0.%d.%d", r.id, i, t))
		}
	}
	return names
}

// load hands jobs in to any daemon and asks for their states.
type load struct {
	cell *cell
	seed uint64

	mu      sync.Mutex
	results []*result
	odd     []string
}

func (l *load) unexpected(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.odd = append(l.odd, fmt.Sprintf(format, args...))
}

// run hands jobs in until ctx ends.
func (l *load) run(ctx context.Context) {
	var group sync.WaitGroup
	for n := range clients {
		group.Go(func() {
			random := rand.New(rand.NewPCG(l.seed, uint64(100+n)))
			client := standin.Client{Queue: queue, Timeout: clientPatience, HTTP: &http.Client{Transport: &http.Transport{}}}
			defer client.HTTP.CloseIdleConnections()
			for i := 0; ctx.Err() == nil; i++ {
				r := &result{id: job.ID(fmt.Sprintf("%04x%04x%08x", l.seed&0xffff, n, i)), steps: steps(random)}
				l.mu.Lock()
				l.results = append(l.results, r)
				l.mu.Unlock()
				l.submit(client, r, random)
				time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
				l.ask(client, r, random)
			}
		})
	}
	group.Wait()
}

func steps(random *rand.Rand) []job.Step {
	need := worker.Resources{CPU: int64(500 + random.IntN(3000)), MemMB: 500}
	list := []job.Step{{Count: 1 + random.IntN(5), Need: need, Estimate: 250 * time.Millisecond}}
	if random.IntN(2) == 0 {
		list = append(list, job.Step{Count: 1 + random.IntN(3), Need: need, Estimate: 250 * time.Millisecond, After: []int{0}})
	}
	return list
}

func (l *load) anyDaemon(random *rand.Rand) string {
	return l.cell.nodes[random.IntN(len(l.cell.nodes))].ip
}

// submit repeats a submission that was not answered, or was refused, with the same ID.
func (l *load) submit(c standin.Client, r *result, random *rand.Rand) {
	refusals, sent := 0, 0
	for range tries {
		status, err := c.Submit(context.Background(), l.anyDaemon(random), r.id, "spec", r.steps)
		sent++
		switch {
		case err == nil && status/100 == 2:
			l.mu.Lock()
			r.accepted = true
			l.mu.Unlock()
			return
		case err == nil && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable):
			refusals++
		case err == nil && status != http.StatusBadGateway && status != http.StatusGatewayTimeout:
			l.unexpected("job %s answered with %d", r.id, status)
		}
		time.Sleep(time.Duration(200+random.IntN(400)) * time.Millisecond)
	}
	l.mu.Lock()
	r.rejected = refusals == sent
	l.mu.Unlock()
}

// ask notes the state that one daemon shows for an accepted job.
func (l *load) ask(c standin.Client, r *result, random *rand.Rand) {
	l.mu.Lock()
	accepted := r.accepted
	l.mu.Unlock()
	if !accepted {
		return
	}
	status, state, err := c.State(context.Background(), l.anyDaemon(random), r.id)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if status == http.StatusOK && state.Final() && r.final == "" {
		r.final, r.completedAt = state, time.Now()
	}
}

// open returns the accepted jobs whose end has not been shown.
func (l *load) open() []*result {
	l.mu.Lock()
	defer l.mu.Unlock()
	var rest []*result
	for _, r := range l.results {
		if r.accepted && r.final == "" {
			rest = append(rest, r)
		}
	}
	return rest
}
