package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/worker"
	"samphirestile.example/samphirestile/platform/standin"
)

const (
	clientCount = 6
	// maxSubmitAttempts is how often a client submits one job before it abandons it.
	maxSubmitAttempts = 12
	// jobPause bounds the pause of a client between two jobs, unless workers are to be idle at times.
	jobPause = 400 * time.Millisecond
	// idleJobPause leaves workers idle at times: an idle worker gets no heartbeats, so its restart is seen late.
	idleJobPause = 1500 * time.Millisecond
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
	// shown holds when the latest call was sent that showed each state.
	shown      map[job.State]time.Time
	acceptedAt time.Time
	// goneAt is when a call for the state was sent that was answered with 410.
	goneAt time.Time

	cancelSent bool
	// cancelledAt is when a cancel was answered with 2xx, cancelGone whether one was answered with 410.
	cancelledAt time.Time
	cancelGone  bool
}

// isCancelled reports whether a cancel of the job was acknowledged.
func (r *result) isCancelled() bool { return !r.cancelledAt.IsZero() }

// cancellation is the moment at which a client cancels a job.
type cancellation int

const (
	neverCancelled cancellation = iota
	cancelledAtOnce
	cancelledWhileRunning
	cancelledBetweenSteps
	// cancelledLongRunning jobs have tasks that last until the cancel: at once, later or after the last fault.
	cancelledLongRunning
)

// cancellations are chosen from with equal probability.
var cancellations = []cancellation{
	neverCancelled, neverCancelled, neverCancelled, cancelledAtOnce, cancelledWhileRunning, cancelledBetweenSteps, cancelledLongRunning, cancelledLongRunning,
}

// longRunningMark begins the last part of the ID of a job with long-running tasks.
const longRunningMark = '8'

func isLongRunning(task string) bool { return task[8] == longRunningMark }

const (
	// speculativeMark begins the last part of the ID of a job that allows copies of its tasks, which is every
	// speculativeInterval-th job of a client.
	speculativeMark     = '4'
	speculativeInterval = 3
)

func isSpeculative(task string) bool { return task[8] == speculativeMark }

const (
	// longMark begins the last part of the ID of a job whose tasks take as long as a worker may be cut off.
	longMark     = 'c'
	longInterval = 6
)

func isLong(task string) bool { return task[8] == longMark }

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
	// maxPause bounds the pause of a client between two jobs.
	maxPause time.Duration
	// manyLong makes every longInterval-th job a long one, and all of them wide and of small tasks. None is cancelled.
	manyLong bool

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
				when := cancellations[random.IntN(len(cancellations))]
				r := &result{id: job.ID(fmt.Sprintf("%04x%04x%08x", l.seed&0xffff, n, i)), steps: steps(random, when), shown: map[job.State]time.Time{}}
				if l.manyLong {
					when = neverCancelled
					r.steps = []job.Step{{Count: 4 + random.IntN(8), Need: worker.Resources{CPU: 400, MemMB: 200}, Estimate: 250 * time.Millisecond}}
					if i%longInterval == 0 {
						r.id = r.id[:8] + job.ID(longMark) + r.id[9:]
						r.steps[0].Estimate = 7 * time.Second
					}
				} else if when == cancelledLongRunning {
					r.id = r.id[:8] + job.ID(longRunningMark) + r.id[9:]
				} else if i%speculativeInterval == 0 {
					r.id = r.id[:8] + job.ID(speculativeMark) + r.id[9:]
					for s := range r.steps {
						r.steps[s].Speculative = true
					}
				}
				l.mu.Lock()
				l.results = append(l.results, r)
				l.mu.Unlock()
				l.submit(client, r, random)
				if when != neverCancelled && r.accepted {
					random := rand.New(rand.NewPCG(l.seed, random.Uint64()))
					group.Go(func() { l.cancelAt(ctx, when, client, r, random) })
				}
				time.Sleep(randomDuration(random, 0, l.maxPause))
				l.pollState(client, r, random)
			}
		})
	}
	group.Wait()
}

// steps returns one or two random steps.
func steps(random *rand.Rand, when cancellation) []job.Step {
	if when == cancelledLongRunning {
		return []job.Step{{Count: 1 + random.IntN(2), Need: worker.Resources{CPU: 200, MemMB: 200}, LongRunning: true}}
	}
	need := worker.Resources{CPU: int64(500 + random.IntN(3000)), MemMB: 500}
	list := []job.Step{{Count: 1 + random.IntN(5), Need: need, Estimate: 250 * time.Millisecond}}
	if random.IntN(2) == 0 || when == cancelledBetweenSteps {
		list = append(list, job.Step{Count: 1 + random.IntN(3), Need: need, Estimate: 250 * time.Millisecond, After: []int{0}})
	}
	return list
}

func (l *jobLoad) anyDaemon(random *rand.Rand) string {
	return l.cell.nodes[random.IntN(len(l.cell.nodes))].ip
}

// submit submits a job and retries, with the same ID, if there is no response or a rejection.
func (l *jobLoad) submit(c standin.Client, r *result, random *rand.Rand) {
	spec, err := json.Marshal(profile(string(r.id)))
	if err != nil {
		l.recordUnexpected("spec of job %s: %v", r.id, err)
	}
	rejections, sent := 0, 0
	for range maxSubmitAttempts {
		status, err := c.Submit(context.Background(), l.anyDaemon(random), r.id, string(spec), r.steps)
		sent++
		switch {
		case err == nil && status/100 == 2:
			l.mu.Lock()
			r.accepted, r.acceptedAt = true, time.Now()
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

// cancelAt cancels a job at a moment, or when ctx ends, and repeats the cancel at any daemon until it is answered. It
// then requests the state of the job.
func (l *jobLoad) cancelAt(ctx context.Context, when cancellation, c standin.Client, r *result, random *rand.Rand) {
	delay := time.Duration(random.IntN(5000)) * time.Microsecond
	switch when {
	case cancelledWhileRunning:
		delay = time.Duration(50+random.IntN(600)) * time.Millisecond
	case cancelledBetweenSteps:
		l.awaitFirstStep(ctx, r)
	case cancelledLongRunning:
		delay = []time.Duration{delay, time.Duration(random.IntN(1000)) * time.Millisecond, time.Duration(random.IntN(3000)) * time.Millisecond, *length}[random.IntN(4)]
	}
	monotonic.Sleep(ctx, delay)
	l.mu.Lock()
	r.cancelSent = true
	l.mu.Unlock()
	for end := time.Now().Add(*length + completionTimeout); time.Now().Before(end); time.Sleep(time.Duration(50+random.IntN(200)) * time.Millisecond) {
		status, err := c.Cancel(context.Background(), l.anyDaemon(random), r.id)
		if err != nil || status >= http.StatusInternalServerError || status == http.StatusTooManyRequests {
			continue
		}
		l.mu.Lock()
		r.cancelGone = status == http.StatusGone
		if status/100 == 2 {
			r.cancelledAt = time.Now()
		}
		l.mu.Unlock()
		if status/100 != 2 && status != http.StatusGone {
			l.recordUnexpected("cancel of job %s: unexpected status %d", r.id, status)
		}
		break
	}
	for range len(l.cell.nodes) {
		l.pollState(c, r, random)
	}
}

// awaitFirstStep waits until the first step of a job is done, at most 3 s.
func (l *jobLoad) awaitFirstStep(ctx context.Context, r *result) {
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(2 * time.Millisecond) {
		if !slices.ContainsFunc(r.tasks()[:r.steps[0].Count], func(t string) bool { return !l.cell.pool.completed(t) }) {
			return
		}
	}
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
	sent := time.Now()
	status, state, err := c.State(context.Background(), l.anyDaemon(random), r.id)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if status == http.StatusGone && r.goneAt.IsZero() && sent.Sub(r.acceptedAt) > visibleTime {
		r.goneAt = sent
	}
	if status != http.StatusOK {
		return
	}
	if sent.After(r.shown[state]) {
		r.shown[state] = sent
	}
	if state.IsFinal() && r.final == "" {
		r.final, r.finalAt = state, time.Now()
	}
}

// accepted returns the accepted jobs that match.
func (l *jobLoad) accepted(match func(*result) bool) []*result {
	l.mu.Lock()
	defer l.mu.Unlock()
	var matching []*result
	for _, r := range l.results {
		if r.accepted && match(r) {
			matching = append(matching, r)
		}
	}
	return matching
}
