package dispatch

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/problem"
)

// statusCallerGone is the status recorded when the caller closed its connection.
const statusCallerGone = 499

// Scheduler implements Dispatcher for the endpoints that this daemon owns.
type Scheduler struct {
	config Config

	mu       sync.RWMutex
	services map[fleet.ServiceID]*serviceQueue
	teams    map[fleet.TeamID]fleet.Team
	closed   bool

	demand demand
	stop   chan struct{}
	done   sync.WaitGroup
}

var _ Dispatcher = (*Scheduler)(nil)

// New returns a running Scheduler that owns no endpoints. Close stops it.
func New(c Config) *Scheduler {
	s := &Scheduler{
		config:   c.withDefaults(),
		services: map[fleet.ServiceID]*serviceQueue{},
		stop:     make(chan struct{}),
		demand:   demand{queued: map[fleet.TeamID]int{}, reported: map[fleet.TeamID]int{}},
	}
	changed, unsubscribe := c.Limiter.Subscribe()
	s.done.Go(func() {
		defer unsubscribe()
		s.run(changed)
	})
	return s
}

// Close refuses all queued requests and stops the scheduler. Running requests may
// still finish.
func (s *Scheduler) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	s.mu.Unlock()
	close(s.stop)
	s.done.Wait()
	for _, q := range s.queues() {
		q.close()
	}
}

// SetEndpoints sets the endpoints of the service that this daemon owns. An endpoint that
// is leaving or no longer owned gets no new requests; its running requests may finish.
func (s *Scheduler) SetEndpoints(service fleet.Service, owned []fleet.Endpoint) {
	s.mu.Lock()
	q := s.services[service.ID]
	if q == nil {
		q = newServiceQueue(s.config)
		s.services[service.ID] = q
	}
	s.mu.Unlock()

	q.mu.Lock()
	defer q.mu.Unlock()
	q.config = service
	now := time.Now()
	q.setEndpoints(owned, now)
	if slots, _ := q.capacity(); slots == 0 {
		q.refuseAll(notOwner(service.ID))
	}
	q.dispatch(now)
}

// SetTeams sets the weights of the teams.
func (s *Scheduler) SetTeams(teams map[fleet.TeamID]fleet.Team) {
	s.mu.Lock()
	s.teams = teams
	s.mu.Unlock()
	for _, q := range s.queues() {
		q.mu.Lock()
		for id, t := range q.teams {
			team, ok := teams[id]
			t.weight = weightOf(team, ok)
			if !ok && t.queued+t.running == 0 {
				delete(q.teams, id)
			}
		}
		q.mu.Unlock()
	}
}

// InFlight returns the number of exchanges with the endpoint that have not ended.
func (s *Scheduler) InFlight(id fleet.EndpointID) int {
	n := 0
	for _, q := range s.queues() {
		q.mu.Lock()
		for _, e := range q.endpoints {
			if e.ID == id {
				n += e.inFlight
			}
		}
		q.mu.Unlock()
	}
	return n
}

// Load implements Dispatcher.
func (s *Scheduler) Load(service fleet.ServiceID) (load Load, ok bool) {
	q := s.queue(service)
	if q == nil {
		return Load{}, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	load.Slots, load.Running = q.reportedCapacity()
	load.Queued = q.queued
	return load, load.Slots > 0
}

// Acquire implements Dispatcher.
func (s *Scheduler) Acquire(ctx context.Context, r Request) (Grant, error) {
	q := s.queue(r.Service)
	if q == nil {
		return nil, notOwner(r.Service)
	}
	if ctx.Err() != nil {
		return nil, callerGone(ctx)
	}
	w, refusal := q.submit(r, s.weight(r.Team))
	if refusal != nil {
		return nil, refusal
	}
	select {
	case d := <-w.decided:
		return d.result()
	default:
	}
	s.demand.add(s.config.Limiter, r.Team, 1)
	defer s.demand.add(s.config.Limiter, r.Team, -1)
	return q.wait(ctx, w)
}

func (d decision) result() (Grant, error) {
	if d.refusal != nil {
		return nil, d.refusal
	}
	return d.grant, nil
}

// submit queues the request and starts it if it is next.
func (s *serviceQueue) submit(r Request, weight float64) (*waiter, *problem.Error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if slots, _ := s.capacity(); slots == 0 || s.closed {
		return nil, notOwner(r.Service)
	}
	w := &waiter{
		Request: r, team: s.team(r.Team, weight), class: classOf(r), enqueued: now,
		deadline: s.deadline(r, now), decided: make(chan decision, 1),
	}
	s.enqueue(w)
	s.dispatch(now)
	if w.list == nil {
		return w, nil
	}
	if e := s.admit(w, now); e != nil {
		e.Reroute = s.rerouteRefusals && !w.NoReroute
		s.refuse(w, e)
		return w, nil
	}
	s.enforceQueueBound()
	return w, nil
}

func (s *serviceQueue) team(id fleet.TeamID, weight float64) *teamQueue {
	t := s.teams[id]
	if t == nil {
		t = &teamQueue{id: id, weight: weight, vtime: s.vtime}
		s.teams[id] = t
	}
	return t
}

func (s *serviceQueue) deadline(r Request, now time.Time) time.Time {
	switch {
	case !r.Deadline.IsZero():
		return r.Deadline
	case s.config.MaxWait > 0:
		return now.Add(s.config.MaxWait)
	default:
		return now.Add(defaultMaxWait)
	}
}

// wait blocks until the request is granted or refused, its deadline passes or ctx ends.
func (s *serviceQueue) wait(ctx context.Context, w *waiter) (Grant, error) {
	timer := time.NewTimer(time.Until(w.deadline))
	defer timer.Stop()
	select {
	case d := <-w.decided:
		return d.result()
	case <-timer.C:
		s.withdraw(w, func() *problem.Error { return s.deadlineRefusal(w) })
		return (<-w.decided).result()
	case <-ctx.Done():
		s.withdraw(w, func() *problem.Error { return callerGone(ctx) })
		d := <-w.decided
		if d.grant != nil {
			d.grant.Cancel()
			return nil, callerGone(ctx)
		}
		return d.result()
	}
}

// withdraw refuses the request unless it was already granted or refused. Removing a
// request frees no slot, so nothing is dispatched here and a burst of cancellations is cheap.
func (s *serviceQueue) withdraw(w *waiter, reason func() *problem.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.list == nil {
		return
	}
	s.refuse(w, reason())
	if s.queued == 0 {
		s.advance(time.Now())
		s.contended = false
	}
}

func (s *serviceQueue) refuseAll(e *problem.Error) {
	for _, t := range s.teams {
		for w := t.newest(); w != nil; w = t.newest() {
			s.refuse(w, e)
		}
	}
}

func (s *serviceQueue) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	e := problem.New(problem.CodeNotReady, http.StatusServiceUnavailable, "the daemon is stopping").WithRetryAfter(minRetryAfter)
	e.Reroute = true
	s.refuseAll(e)
}

func notOwner(service fleet.ServiceID) *problem.Error {
	e := problem.New(problem.CodeNotOwner, http.StatusServiceUnavailable,
		"this daemon owns no endpoint of service %s that takes work", service).WithRetryAfter(minRetryAfter)
	e.Reroute = true
	return e
}

func callerGone(ctx context.Context) *problem.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return problem.New(problem.CodeDeadlineExceeded, http.StatusServiceUnavailable, "the deadline of the request passed in the queue")
	}
	e := problem.New(problem.CodeCallerGone, statusCallerGone, "the caller left before the request started")
	e.Cause = context.Cause(ctx)
	return e
}

func (s *Scheduler) queue(id fleet.ServiceID) *serviceQueue {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.services[id]
}

func (s *Scheduler) queues() []*serviceQueue {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := make([]*serviceQueue, 0, len(s.services))
	for _, q := range s.services {
		all = append(all, q)
	}
	return all
}

func (s *Scheduler) weight(id fleet.TeamID) float64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	t, ok := s.teams[id]
	return weightOf(t, ok)
}
