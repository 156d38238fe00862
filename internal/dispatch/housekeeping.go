package dispatch

import (
	"math"
	"net/http"
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/allotment"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/problem"
)

// run handles notifications of the limiter and the periodic tasks until the scheduler closes.
func (s *Scheduler) run(changed <-chan struct{}) {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-changed:
			for _, q := range s.queues() {
				q.retryBlocked()
			}
		case <-ticker.C:
			for id, q := range s.queuesByID() {
				q.runPeriodicTasks()
				s.reroute(id, q)
			}
			s.demand.report(s.config.Limiter)
		}
	}
}

func (s *Scheduler) queuesByID() map[fleet.ServiceID]*serviceQueue {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := make(map[fleet.ServiceID]*serviceQueue, len(s.services))
	for id, q := range s.services {
		all[id] = q
	}
	return all
}

// runPeriodicTasks advances the endpoint trackers and retries teams without a unit.
func (s *serviceQueue) runPeriodicTasks() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tick(time.Now())
	s.unblockAll()
	if s.queued > 0 {
		s.dispatch(time.Now())
	}
}

// retryBlocked starts requests of teams that were waiting for a unit of the limiter.
func (s *serviceQueue) retryBlocked() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unblockAll() {
		s.dispatch(time.Now())
	}
}

// unblockAll lets all teams try to acquire a unit again and reports whether one was blocked.
func (s *serviceQueue) unblockAll() bool {
	wasBlocked := false
	for _, t := range s.waiting {
		wasBlocked = wasBlocked || t.blocked
		s.unblock(t)
	}
	return wasBlocked
}

// reroute refuses, with Reroute set, queued requests that another owner could start now
// and those that wait for a unit while only other owners hold units.
func (s *Scheduler) reroute(id fleet.ServiceID, q *serviceQueue) {
	moved := 0
	for _, team := range q.waitingTeams() {
		now := time.Now()
		if s.config.RemoteFreeUnits != nil {
			if n := s.config.RemoteFreeUnits(id, team) - moved; n > 0 {
				moved += q.reroute(team, n, now.Add(-rerouteDelay), "another owner has a free slot")
			}
		}
		if s.config.RemoteUnits == nil {
			continue
		}
		if _, units := s.config.Limiter.Usage(team); units == 0 && s.config.RemoteUnits(id, team) > 0 {
			q.reroute(team, math.MaxInt, now.Add(-noUnitRerouteDelay), "other owners hold the units of the team")
		}
	}
}

func (s *serviceQueue) waitingTeams() []fleet.TeamID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []fleet.TeamID
	for _, t := range s.waiting {
		ids = append(ids, t.id)
	}
	return ids
}

// reroute refuses at most n requests of the team that were queued before the given time,
// urgent ones first and then the oldest, and returns their number.
func (s *serviceQueue) reroute(team fleet.TeamID, n int, before time.Time, reason string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, moved := s.teams[team], 0
	for c := range classes {
		for w := t.lists[c].head; w != nil && moved < n; {
			next := w.next
			if !w.NoReroute && !w.enqueued.After(before) {
				e := problem.New(problem.CodeOverloaded, http.StatusServiceUnavailable,
					"service %s: %s", w.Service, reason).WithRetryAfter(minRetryAfter)
				e.Reroute = true
				s.refuse(w, e)
				moved++
			}
			w = next
		}
	}
	return moved
}

// demand counts the queued requests of each team over all services and reports changes to
// the limiter. The first queued request is reported at once, further changes by the
// periodic tasks, so that a burst of cancellations is cheap.
type demand struct {
	mu               sync.Mutex
	queued, reported map[fleet.TeamID]int
}

func (d *demand) add(l allotment.Limiter, team fleet.TeamID, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queued[team] += n
	if d.reported[team] == 0 && d.queued[team] > 0 {
		d.reported[team] = d.queued[team]
		l.SetDemand(team, d.queued[team])
	}
}

func (d *demand) report(l allotment.Limiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for team, n := range d.queued {
		if d.reported[team] != n {
			d.reported[team] = n
			l.SetDemand(team, n)
		}
		if n == 0 {
			delete(d.queued, team)
			delete(d.reported, team)
		}
	}
}
