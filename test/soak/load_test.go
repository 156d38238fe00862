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
	clientCount = 6
	// maxSubmitAttempts is how often a client submits one job before it abandons it.
	maxSubmitAttempts = 12
	// clientTimeout limits one request of a client.
	clientTimeout = 3 * time.Second
)

// result is the state of one job as observed by its client.
type result struct {
	id    job.ID
	steps []job.Step
	// accepted is set after a 2xx response, rejected when every attempt got 429 or 503.
	accepted, rejected bool
	// finalAt is when the client first observed a final state.
	finalAt time.Time
	final   job.State
}

// tasks returns the names of all tasks of the job.
func (r *result) tasks() []string {
	var names []string
	for i, s := range r.steps {
		for t := range s.Count {
			names = append(names, fmt.Sprintf("%s.0.%d.%d", r.id, i, t))
		}
	}
	return names
}

// jobLoad submits jobs to random daemons and polls their states.
type jobLoad struct {
	cell *cell
	seed uint64

	mu         sync.Mutex
	results    []*result
	unexpected []string
}

func (l *jobLoad) recordUnexpected(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unexpected = append(l.unexpected, fmt.Sprintf(format, args...))
}

// run submits jobs until ctx ends.
func (l *jobLoad) run(ctx context.Context) {
	var group sync.WaitGroup
	for n := range clientCount {
		group.Go(func() {
			random := rand.New(rand.NewPCG(l.seed, uint64(100+n)))
			client := standin.Client{Queue: queue, Timeout: clientTimeout, HTTP: &http.Client{Transport: &http.Transport{}}}
			defer client.HTTP.CloseIdleConnections()
			for i := 0; ctx.Err() == nil; i++ {
				r := &result{id: job.ID(fmt.Sprintf("%04x%04x%08x", l.seed&0xffff, n, i)), steps: steps(random)}
				l.mu.Lock()
				l.results = append(l.results, r)
				l.mu.Unlock()
				l.submit(client, r, random)
				time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
				l.pollState(client, r, random)
			}
		})
	}
	group.Wait()
}

// steps returns one or two random steps.
func steps(random *rand.Rand) []job.Step {
	need := worker.Resources{CPU: int64(500 + random.IntN(3000)), MemMB: 500}
	list := []job.Step{{Count: 1 + random.IntN(5), Need: need, Estimate: 250 * time.Millisecond}}
	if random.IntN(2) == 0 {
		list = append(list, job.Step{Count: 1 + random.IntN(3), Need: need, Estimate: 250 * time.Millisecond, After: []int{0}})
	}
	return list
}

func (l *jobLoad) anyDaemon(random *rand.Rand) string {
	return l.cell.nodes[random.IntN(len(l.cell.nodes))].ip
}

// submit submits a job and retries, with the same ID, if there is no response or a rejection.
func (l *jobLoad) submit(c standin.Client, r *result, random *rand.Rand) {
	rejections, sent := 0, 0
	for range maxSubmitAttempts {
		status, err := c.Submit(context.Background(), l.anyDaemon(random), r.id, "spec", r.steps)
		sent++
		switch {
		case err == nil && status/100 == 2:
			l.mu.Lock()
			r.accepted = true
			l.mu.Unlock()
			return
		case err == nil && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable):
			rejections++
		case err == nil && status != http.StatusBadGateway && status != http.StatusGatewayTimeout:
			l.recordUnexpected("submission of job %s: unexpected status %d", r.id, status)
		}
		time.Sleep(time.Duration(200+random.IntN(400)) * time.Millisecond)
	}
	l.mu.Lock()
	r.rejected = rejections == sent
	l.mu.Unlock()
}

// pollState requests the state of an accepted job from a random daemon and records a
// final state.
func (l *jobLoad) pollState(c standin.Client, r *result, random *rand.Rand) {
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
	if status == http.StatusOK && state.IsFinal() && r.final == "" {
		r.final, r.finalAt = state, time.Now()
	}
}

// unfinished returns the accepted jobs without an observed final state.
func (l *jobLoad) unfinished() []*result {
	l.mu.Lock()
	defer l.mu.Unlock()
	var unfinished []*result
	for _, r := range l.results {
		if r.accepted && r.final == "" {
			unfinished = append(unfinished, r)
		}
	}
	return unfinished
}
