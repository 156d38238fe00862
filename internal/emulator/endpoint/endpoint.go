// Package endpoint emulates a back end of a service: an HTTP server with a
// configurable service time, a limited capacity and fault injection, which records
// the start and completion of every request.
package endpoint

import (
	"context"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/emulator/history"
)

// AdminPrefix is the path prefix of the admin interface.
const AdminPrefix = "/-/emulator/"

// Endpoint is an emulated endpoint. It implements http.Handler.
type Endpoint struct {
	recorder *history.Recorder
	admin    http.Handler

	mu       sync.Mutex
	settings Settings
	faults   Faults
	changed  chan struct{} // closed when the faults change
	rnd      *rand.Rand
	running  int
	peak     int
	counts   Counts

	cpu   *processor
	queue *queue
}

// Counts holds the number of requests by request ID, idempotency key and op (the query
// parameter op, which identifies a request of a load generator).
type Counts struct {
	RequestIDs      map[string]int `json:"request_ids"`
	IdempotencyKeys map[string]int `json:"idempotency_keys"`
	Ops             map[string]int `json:"ops"`
}

// Status is the load of an endpoint.
type Status struct {
	// Running is the current number of running requests, Peak the largest one so far.
	Running int `json:"running"`
	Peak    int `json:"peak"`
	// Total is the number of all requests so far.
	Total int `json:"total"`
	// Dropped is the number of events that the recorder has not kept.
	Dropped int `json:"dropped_events"`
}

// New returns an endpoint that records its events in recorder.
func New(s Settings, recorder *history.Recorder) (*Endpoint, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	e := &Endpoint{
		recorder: recorder,
		settings: s,
		changed:  make(chan struct{}),
		rnd:      rand.New(rand.NewSource(s.Seed)),
		cpu:      newProcessor(0),
		queue:    newQueue(),
		counts: Counts{
			RequestIDs:      map[string]int{},
			IdempotencyKeys: map[string]int{},
			Ops:             map[string]int{},
		},
	}
	e.applyCapacity(s)
	e.admin = e.adminHandler()
	return e, nil
}

// Configure replaces the settings; running requests keep their service times.
func (e *Endpoint) Configure(s Settings) error {
	if err := s.validate(); err != nil {
		return err
	}
	e.mu.Lock()
	e.settings = s
	e.mu.Unlock()
	e.applyCapacity(s)
	return nil
}

// applyCapacity sets the capacity of the processor or of the queue, depending on the
// behaviour above the capacity. OverloadReject uses neither; begin applies it.
func (e *Endpoint) applyCapacity(s Settings) {
	shared, queued := s.Capacity, 0
	switch s.Overload {
	case OverloadQueue:
		shared, queued = 0, s.Capacity
	case OverloadReject:
		shared = 0
	}
	e.cpu.setCapacity(shared)
	e.queue.setCapacity(queued)
}

// SetFaults replaces the injected faults.
func (e *Endpoint) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	close(e.changed)
	e.changed = make(chan struct{})
}

// Events returns the recorded events.
func (e *Endpoint) Events() []history.Event { return e.recorder.Events(0) }

// Status returns the load of the endpoint.
func (e *Endpoint) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := 0
	for _, n := range e.counts.RequestIDs {
		total += n
	}
	return Status{Running: e.running, Peak: e.peak, Total: total, Dropped: e.recorder.Dropped()}
}

// Counts returns a copy of the counts.
func (e *Endpoint) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Counts{
		RequestIDs:      copyCounts(e.counts.RequestIDs),
		IdempotencyKeys: copyCounts(e.counts.IdempotencyKeys),
		Ops:             copyCounts(e.counts.Ops),
	}
}

func copyCounts(m map[string]int) map[string]int {
	c := make(map[string]int, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, AdminPrefix) {
		e.admin.ServeHTTP(w, r)
		return
	}
	x := e.begin(w, r)
	// The completion is recorded before the last byte of the response can be sent, because
	// the daemon may start the next request of the team as soon as it has the response.
	defer x.end()
	x.run()
}

// begin records the start of a request.
func (e *Endpoint) begin(w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{endpoint: e, w: w, r: r, event: history.Event{
		RequestID: r.Header.Get("X-Request-Id"),
		Op:        r.URL.Query().Get("op"),
		Team:      teamOf(r),
		Path:      r.URL.Path,
	}}
	e.mu.Lock()
	defer e.mu.Unlock()
	x.settings, x.faults = e.settings, e.faults
	x.event.Endpoint, x.event.Service = x.settings.Name, x.settings.Service
	x.serviceTime = x.settings.serviceTime(r, e.rnd)
	x.overCapacity = x.settings.Overload == OverloadReject && x.settings.Capacity > 0 && e.running >= x.settings.Capacity
	e.running++
	e.peak = max(e.peak, e.running)
	e.count(r, x.event)
	start := x.event
	start.Kind = history.KindStart
	e.recorder.Add(start)
	return x
}

func (e *Endpoint) count(r *http.Request, ev history.Event) {
	e.counts.RequestIDs[ev.RequestID]++
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		e.counts.IdempotencyKeys[key]++
	}
	if ev.Op != "" {
		e.counts.Ops[ev.Op]++
	}
}

func teamOf(r *http.Request) string {
	if t := r.Header.Get(HeaderTeam); t != "" {
		return t
	}
	return r.URL.Query().Get("team")
}

// waitWhileHanging returns when the fault Hang is off or ctx has ended.
func (e *Endpoint) waitWhileHanging(ctx context.Context) error {
	for {
		e.mu.Lock()
		hang, changed := e.faults.Hang, e.changed
		e.mu.Unlock()
		if !hang {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// queue limits the number of requests that run at the same time.
type queue struct {
	mu       sync.Mutex
	capacity int
	running  int
	waiting  []chan struct{}
}

func newQueue() *queue { return &queue{} }

func (q *queue) setCapacity(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.capacity = n
	q.admit()
}

// admit starts waiting requests while there is free capacity.
func (q *queue) admit() {
	for len(q.waiting) > 0 && (q.capacity == 0 || q.running < q.capacity) {
		q.running++
		close(q.waiting[0])
		q.waiting = q.waiting[1:]
	}
}

// enter waits for free capacity; after it returned nil, leave must be called.
func (q *queue) enter(ctx context.Context) error {
	admitted := make(chan struct{})
	q.mu.Lock()
	q.waiting = append(q.waiting, admitted)
	q.admit()
	q.mu.Unlock()
	select {
	case <-admitted:
		return nil
	case <-ctx.Done():
		return q.abandon(admitted, ctx.Err())
	}
}

// abandon removes a request whose context has ended. If the request has been admitted
// meanwhile, abandon releases its capacity.
func (q *queue) abandon(admitted chan struct{}, err error) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, c := range q.waiting {
		if c == admitted {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return err
		}
	}
	q.running--
	q.admit()
	return err
}

func (q *queue) leave() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	q.admit()
}

// sleep returns after d or when ctx has ended.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
