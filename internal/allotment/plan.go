package allotment

import (
	"slices"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
)

// plan is one intended change of a team's record.
type plan struct {
	next  *record
	seats []plannedSeat
}

// plannedSeat is the intended entry of one seat.
type plannedSeat struct {
	seat  fleet.SeatID
	units *seatUnits
	// previous is the number of units to restore if the write has no effect.
	previous, entry, cap int
}

// planChange returns the next change of the team's record. read is set if the record
// must be read first. The local counts are lowered here, before the write.
func (a *Allotments) planChange(id fleet.TeamID, peers *peerDemand) (p *plan, read bool) {
	held := a.cfg.Seats.HeldSeats()
	a.mu.Lock()
	defer a.mu.Unlock()
	t, now := a.team(id), time.Now()
	if t.readRequired {
		return nil, !a.overLimit(t) || a.canAfford(readCost+1, now)
	}
	if t.record == nil || t.record.fromHandover || t.recordPredatesImport(held) || (!a.withinLimit(t) && t.stale) {
		return nil, a.startBlockedAttempt(t, now, readCost)
	}
	limit, _ := a.effectiveLimit(t)
	if a.overLimit(t) {
		return a.planOverLimit(t, held, limit, now)
	}
	d := a.demand(t, held, now)
	want := a.target(t, d, limit, peers)
	if peers.unmet == 0 && d.demand <= d.units && !a.hasSpareBudget(now) {
		return nil, false
	}
	return a.planTowardsTarget(t, held, d, want, limit, peers, now)
}

// recordPredatesImport reports whether an imported seat holds more units than its entry
// in the cached record. The record then predates the handover; a plan based on it could
// find nothing to change and leave unneeded units with this daemon.
func (t *team) recordPredatesImport(held []fleet.SeatID) bool {
	return slices.ContainsFunc(held, func(s fleet.SeatID) bool {
		u := t.seats[s]
		return u != nil && u.imported && !u.exported && u.units > t.record.Holders[s]
	})
}

// startAttempt postpones the team's next attempt, by at most maxIntervals retry intervals. It
// returns true as the read result of planChange: the attempt that is due now reads the record.
func (a *Allotments) startAttempt(t *team, now time.Time, maxIntervals time.Duration) bool {
	if now.Sub(t.retryAfter) > maxBackoffIntervals*a.cfg.RetryInterval {
		t.backoff = 0
	}
	t.backoff = min(max(t.backoff*2, a.cfg.RetryInterval), maxIntervals*a.cfg.RetryInterval)
	t.retryAfter, t.lastAttemptAt = now.Add(t.backoff), now
	return true
}

// startBlockedAttempt is startAttempt for a team of which this daemon may start no request or
// lacks a current record. It does nothing before the attempt is due and the budget suffices for
// its cost.
func (a *Allotments) startBlockedAttempt(t *team, now time.Time, cost float64) bool {
	due := now.After(t.retryAfter) || now.Sub(t.lastAttemptAt) > maxBlockedBackoffIntervals*a.cfg.RetryInterval
	return due && a.canAfford(cost, now) && a.startAttempt(t, now, maxBlockedBackoffIntervals)
}

// overLimit reports whether no request may start until the team's record carries the limit
// in force and its entries are within it.
func (a *Allotments) overLimit(t *team) bool {
	limit, _ := a.effectiveLimit(t)
	return t.record != nil && (t.record.Limit > limit || t.record.sum() > limit)
}

// planOverLimit lowers this daemon's entries after the limit was lowered.
func (a *Allotments) planOverLimit(t *team, held []fleet.SeatID, limit int, now time.Time) (*plan, bool) {
	if now.Sub(t.readAt) > a.cfg.RetryInterval {
		// A read without the budget for the write that follows would only delay that write.
		return nil, a.startBlockedAttempt(t, now, readCost+1)
	}
	next := t.record.clone()
	sum := next.sum()
	p := a.newPlan(t, next, limit)
	for _, s := range held {
		u := t.seats[s]
		if u == nil || u.exported {
			continue
		}
		entry := u.units
		if sum > limit {
			entry = min(entry, max(u.inUse(now), u.units*limit/sum))
		}
		p.add(t, s, u, entry, noCap, now)
	}
	return a.finishPlan(t, p), false
}

// planTowardsTarget raises or lowers the entries towards the target.
func (a *Allotments) planTowardsTarget(
	t *team, held []fleet.SeatID, d demandState, want, limit int, peers *peerDemand, now time.Time,
) (*plan, bool) {
	next := t.record.clone()
	p := a.newPlan(t, next, limit)
	surplus := max(0, d.units-want)
	raised := false
	for i := len(held) - 1; i >= 0; i-- {
		u := t.seats[held[i]]
		if u == nil || u.exported {
			continue
		}
		entry, capTo := u.units, noCap
		if surplus > 0 {
			capTo = max(0, u.units-surplus)
			entry = max(u.inUse(now), capTo)
			surplus -= min(u.units, surplus)
		}
		p.add(t, held[i], u, entry, capTo, now)
	}
	if want > d.units {
		free := limit - next.sum()
		if free <= 0 && d.demand > d.units {
			// The peers' rows may show free or unused units before the next attempt is due.
			unitsLikely := len(peers.spare) > 0 || peers.units+d.units < limit
			if now.After(t.retryAfter) || (unitsLikely && now.Sub(t.lastAttemptAt) > a.cfg.WriteInterval) {
				recipients := peers.spare
				if len(recipients) == 0 && d.units == 0 {
					// Without any unit, this daemon notifies the holders before their next regular heartbeat.
					recipients = peers.holders()
				}
				a.requestSpare(recipients, now)
				a.startAttempt(t, now, maxBackoffIntervals)
				// Right after a conflict the record has just been read.
				if now.Sub(t.readAt) >= a.cfg.RetryInterval {
					return nil, true
				}
			}
			return a.finishPlan(t, p), false
		}
		for _, s := range held {
			if free > 0 && a.cfg.Seats.SeatStartPermitted(s) {
				u := t.seat(s)
				if !u.exported {
					p.add(t, s, u, u.units+min(free, want-d.units), noCap, now)
					raised = true
					break
				}
			}
		}
	}
	if raised {
		t.backoff, t.retryAfter = 0, now
	}
	return a.finishPlan(t, p), false
}

// requestSpare notifies one of the peers, in turn, of the queued requests with an immediate
// heartbeat. The rate is limited to one in spareRequestIntervals write intervals over all
// teams: one in each interval would exceed the control traffic budget of 4 KB a second per
// daemon when all teams of a cell of 8 daemons are overloaded.
func (a *Allotments) requestSpare(incarnations []string, now time.Time) {
	if len(incarnations) == 0 || now.Sub(a.spareRequestedAt) < spareRequestIntervals*a.cfg.WriteInterval {
		return
	}
	a.spareRequestedAt = now
	a.cfg.Seats.HeartbeatNow(incarnations[a.spareRequests%len(incarnations)])
	a.spareRequests++
}

func (a *Allotments) newPlan(t *team, next *record, limit int) *plan {
	if rev := a.revision(); rev >= next.Revision && next.Limit != limit {
		next.Limit, next.Revision = limit, rev
	}
	return &plan{next: next}
}

// add plans the entry of one seat, replacing an earlier plan. No entry is set below the units in use.
func (p *plan) add(t *team, s fleet.SeatID, u *seatUnits, entry, capTo int, now time.Time) {
	entry = max(entry, min(u.inUse(now), t.record.Holders[s]))
	p.next.set(s, entry)
	p.seats = slices.DeleteFunc(p.seats, func(x plannedSeat) bool { return x.seat == s })
	p.seats = append(p.seats, plannedSeat{seat: s, units: u, previous: u.units, entry: entry, cap: capTo})
}

// finishPlan applies the caps. If the plan changes the record, it lowers the local counts
// and returns the plan.
func (a *Allotments) finishPlan(t *team, p *plan) *plan {
	changed := len(p.next.Holders) != len(t.record.Holders)
	for _, x := range p.seats {
		x.units.cap = x.cap
		// An unchanged record is also written (or read after the conflict) if it may hold more
		// units for this daemon than the daemon has confirmed, or holds units that it wants to use.
		changed = changed || (x.units.uncertain && !x.units.imported) || x.entry > x.units.units
	}
	raises := false
	for s, n := range p.next.Holders {
		changed = changed || n != t.record.Holders[s]
		raises = raises || n > t.record.Holders[s]
	}
	changed = changed || (p.next.Limit != t.record.Limit && (raises || p.next.Limit < t.record.Limit))
	if !changed || (raises && p.next.sum() > p.next.Limit) {
		return nil
	}
	for _, x := range p.seats {
		x.units.units = min(x.units.units, x.entry)
	}
	return p
}
