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
	seat fleet.SeatID
	u    *seatUnits
	// before is the usable number, to be put back when the write had no effect.
	before, entry, cap int
}

// prepare decides on the next change. read asks to read the record first.
// The local counts are lowered here, before the write.
func (a *Allotments) prepare(id fleet.TeamID, peers *peerDemand) (p *plan, read bool) {
	held := a.cfg.Seats.HeldSeats()
	a.mu.Lock()
	defer a.mu.Unlock()
	t, now := a.team(id), time.Now()
	if t.outdated {
		return nil, true
	}
	if t.record == nil || t.record.secondHand {
		return nil, now.After(t.tryAfter) && a.delay(t, now, maxOverBackoff)
	}
	if t.importedMore(held) {
		return nil, now.After(t.tryAfter) && a.delay(t, now, maxOverBackoff)
	}
	limit, _ := a.effectiveLimit(t)
	if !a.withinLimit(t) && t.stale {
		return nil, now.After(t.tryAfter) && a.delay(t, now, maxOverBackoff)
	}
	if !a.withinLimit(t) && (t.record.Limit > limit || t.record.sum() > limit) {
		return a.prepareOver(t, held, limit, now)
	}
	d := a.demand(t, held, now)
	want := a.target(t, d, limit, peers)
	if peers.starved == 0 && d.demand <= d.units && !a.hasSpareBudget(now) {
		return nil, false
	}
	return a.prepareTarget(t, held, d, want, limit, peers, now)
}

// importedMore reports whether an imported seat holds more units than the record
// known here says. The record is then older than the handover; a plan made from
// it could find nothing to change and leave the units where they are.
func (t *team) importedMore(held []fleet.SeatID) bool {
	return slices.ContainsFunc(held, func(s fleet.SeatID) bool {
		u := t.seats[s]
		return u != nil && u.imported && !u.exported && u.units > t.record.Holders[s]
	})
}

// delay moves the team's next vain attempt back; it always returns true.
func (a *Allotments) delay(t *team, now time.Time, bound time.Duration) bool {
	if now.Sub(t.tryAfter) > maxBackoff*a.cfg.RetryInterval {
		t.backoff = 0
	}
	t.backoff = min(max(t.backoff*2, a.cfg.RetryInterval), bound*a.cfg.RetryInterval)
	t.tryAfter, t.triedAt = now.Add(t.backoff), now
	return true
}

// prepareOver lowers this daemon's entries after the limit was lowered.
func (a *Allotments) prepareOver(t *team, held []fleet.SeatID, limit int, now time.Time) (*plan, bool) {
	if now.Sub(t.readAt) > a.cfg.RetryInterval {
		if now.Before(t.tryAfter) {
			return nil, false
		}
		return nil, a.delay(t, now, maxOverBackoff)
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
	return a.checkPlan(t, p), false
}

// prepareTarget raises or lowers the entries towards the target.
func (a *Allotments) prepareTarget(
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
		entry, limitTo := u.units, noCap
		if surplus > 0 {
			limitTo = max(0, u.units-surplus)
			entry = max(u.inUse(now), limitTo)
			surplus -= min(u.units, surplus)
		}
		p.add(t, held[i], u, entry, limitTo, now)
	}
	if want > d.units {
		free := limit - next.sum()
		if free <= 0 && d.demand > d.units {
			// The peers' rows may show free or unused units before the next attempt is due.
			hopeful := len(peers.spare) > 0 || peers.units+d.units < limit
			if now.After(t.tryAfter) || (hopeful && now.Sub(t.triedAt) > a.cfg.WriteInterval) {
				ask := peers.spare
				if len(ask) == 0 && d.units == 0 {
					// Without any unit, this daemon lets the holders know before their turn.
					ask = peers.holders()
				}
				a.askSpare(ask, now)
				return nil, a.delay(t, now, maxBackoff)
			}
			return a.checkPlan(t, p), false
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
		t.backoff, t.tryAfter = 0, now
	}
	return a.checkPlan(t, p), false
}

// askSpare lets a peer learn of the queued requests at once. One extra heartbeat
// in askIntervals write intervals, for all teams, bounds its cost: with one in each
// interval, 8 daemons with all teams overloaded exceeded 4 KB a second.
func (a *Allotments) askSpare(peers []string, now time.Time) {
	if len(peers) == 0 || now.Sub(a.askedAt) < askIntervals*a.cfg.WriteInterval {
		return
	}
	a.askedAt = now
	a.cfg.Seats.HeartbeatNow(peers[a.asked%len(peers)])
	a.asked++
}

func (a *Allotments) newPlan(t *team, next *record, limit int) *plan {
	if rev := a.revision(); rev >= next.Revision && next.Limit != limit {
		next.Limit, next.Revision = limit, rev
	}
	return &plan{next: next}
}

// add plans the entry of one seat; it replaces an earlier one. No entry goes below the units in use.
func (p *plan) add(t *team, s fleet.SeatID, u *seatUnits, entry, limitTo int, now time.Time) {
	entry = max(entry, min(u.inUse(now), t.record.Holders[s]))
	p.next.set(s, entry)
	p.seats = slices.DeleteFunc(p.seats, func(x plannedSeat) bool { return x.seat == s })
	p.seats = append(p.seats, plannedSeat{seat: s, u: u, before: u.units, entry: entry, cap: limitTo})
}

// checkPlan applies the caps and returns the plan if it changes the record, after
// lowering the local counts.
func (a *Allotments) checkPlan(t *team, p *plan) *plan {
	changed := len(p.next.Holders) != len(t.record.Holders)
	for _, x := range p.seats {
		x.u.cap = x.cap
		// The same record is written again, or read after the conflict, if it may hold more
		// units for this daemon than it knows of, or holds those that it wants to use.
		changed = changed || (x.u.uncertain && !x.u.imported) || x.entry > x.u.units
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
		x.u.units = min(x.u.units, x.entry)
	}
	return p
}
