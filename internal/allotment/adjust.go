package allotment

import (
	"context"
	"errors"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/store"
)

const (
	// maxBackoffIntervals bounds the backoff after attempts that gain no unit, in retry
	// intervals. A team at its limit always has queued requests; without the backoff it
	// would read its record in every interval to no effect.
	maxBackoffIntervals = 32
	// maxBlockedBackoffIntervals is the bound, in retry intervals, while this daemon may start
	// no request or lacks a current record: the record is missing, outdated or above the limit.
	maxBlockedBackoffIntervals = 4
	// readCost is the cost of a read in the write budget, in writes. A read transfers as many
	// bytes as a write but loads the store less.
	readCost = 0.5
	// spareRequestIntervals is the minimum time between two extra heartbeats, in write intervals.
	spareRequestIntervals = 2
	// maxAttempts bounds the attempts of one adjustment, including the first, when its writes
	// conflict.
	maxAttempts = 3
)

// Run redistributes allotment units according to demand until ctx ends.
func (a *Allotments) Run(ctx context.Context) error {
	rows, stopRows := a.cfg.Seats.SubscribeRows()
	defer stopRows()
	conf, stopConf := a.cfg.Config.Subscribe()
	defer stopConf()
	tick := time.NewTicker(a.cfg.RetryInterval)
	defer tick.Stop()
	for {
		a.reconcile(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-rows:
		case <-conf:
		case <-a.wake:
		}
		// Requests that find no free unit wake this loop; the pause limits its CPU cost.
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(a.cfg.RetryInterval / 10):
		}
	}
}

// reconcile adjusts each team once, the most urgent first.
func (a *Allotments) reconcile(ctx context.Context) {
	if !a.cfg.Seats.StoreReachable() {
		// No unit can be transferred, so caps would hold back work for nothing.
		a.liftCaps()
		return
	}
	a.dropLostSeats()
	peers := a.peerDemands()
	for _, id := range a.byUrgency() {
		if ctx.Err() != nil {
			return
		}
		d := peers[id]
		if d == nil {
			d = &peerDemand{}
		}
		a.adjust(ctx, id, d)
		if a.savesBudget(id) {
			return
		}
	}
}

// savesBudget reports whether the budget does not suffice yet for the read and the write after
// which requests of the team may start again. Less urgent teams must not use it up meanwhile.
func (a *Allotments) savesBudget(id fleet.TeamID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.overLimit(a.team(id)) && !a.canAfford(readCost+1, time.Now())
}

func (a *Allotments) liftCaps() {
	a.mu.Lock()
	lifted := false
	for _, t := range a.teams {
		for _, u := range t.seats {
			lifted = lifted || u.cap != noCap
			u.cap = noCap
		}
	}
	a.mu.Unlock()
	if lifted {
		a.notify()
	}
}

// dropLostSeats removes the units of seats that this daemon no longer holds. They are kept
// for another CallTimeout, because a handover may be in preparation.
func (a *Allotments) dropLostSeats() {
	held := map[fleet.SeatID]bool{}
	for _, s := range a.cfg.Seats.HeldSeats() {
		held[s] = true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for _, t := range a.teams {
		for s, u := range t.seats {
			switch {
			case held[s]:
				u.awaitingMembership, u.missingSince = false, time.Time{}
			case u.awaitingMembership:
			case u.missingSince.IsZero():
				u.missingSince = now
			case u.inUse(now) == 0 && now.Sub(u.missingSince) > a.cfg.CallTimeout:
				delete(t.seats, s)
			}
		}
	}
}

// adjust updates the entries of this daemon's seats in one team's record to match demand.
func (a *Allotments) adjust(ctx context.Context, id fleet.TeamID, peers *peerDemand) {
	for range maxAttempts {
		p, read := a.planChange(id, peers)
		if read {
			if !a.read(ctx, id) {
				return
			}
			p, _ = a.planChange(id, peers)
		}
		if p == nil {
			break
		}
		if a.write(ctx, id, p) {
			a.notify()
			break
		}
	}
	a.collectOrphan(ctx, id)
}

// read fetches the team's record and applies it. It returns false if the adjustment must stop.
func (a *Allotments) read(ctx context.Context, id fleet.TeamID) bool {
	if !a.consumeBudget(readCost) {
		return false
	}
	r, err := a.fetch(ctx, id)
	if err != nil {
		a.log.WithError(err).WithField("team", id).Debug("cannot read the allotment record of the team")
		return false
	}
	a.mu.Lock()
	a.applyRecord(a.team(id), r, time.Now())
	a.mu.Unlock()
	a.notify()
	return true
}

// write stores the planned record. It returns false if a new plan is needed.
func (a *Allotments) write(ctx context.Context, id fleet.TeamID, p *plan) bool {
	if !a.consumeBudget(1) {
		a.applyOutcome(p, func(u *seatUnits, previous, _ int) { u.units = previous })
		return true
	}
	expect := p.next.version
	err := a.put(ctx, id, p.next)
	var conflict *store.ConflictError
	var unavailable *store.UnavailableError
	switch {
	case err == nil:
		a.applyOutcome(p, func(u *seatUnits, _, entry int) {
			u.units, u.uncertain, u.imported = entry, false, false
		})
		a.mu.Lock()
		t := a.team(id)
		t.record, t.readAt, t.stale = p.next, time.Now(), false
		a.mu.Unlock()
		return true
	case errors.As(err, &unavailable):
		a.applyOutcome(p, func(u *seatUnits, previous, _ int) {
			if !u.uncertain {
				u.units = previous
			}
		})
		return true
	}
	// A conflict can also be reported for a write of this daemon that was applied and then
	// retransmitted. In both cases the smaller count applies until a later version is read.
	a.applyOutcome(p, func(u *seatUnits, _, _ int) {
		u.uncertain, u.fence = true, max(u.fence, expect)
	})
	if !errors.As(err, &conflict) {
		return true
	}
	a.mu.Lock()
	a.team(id).readRequired = true
	a.mu.Unlock()
	// A new plan is needed if the current record could be read.
	return !a.read(ctx, id)
}

// applyOutcome applies the outcome of a write to the seats that are still held. A seat
// that was handed over and returned in the meantime has a new seatUnits.
func (a *Allotments) applyOutcome(p *plan, f func(u *seatUnits, previous, entry int)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, x := range p.seats {
		if !x.units.exported {
			f(x.units, x.previous, x.entry)
		}
	}
}

// collectOrphan removes the entry of one seat that no longer exists, if there is any. Such
// an entry remains if a delayed write for a lost seat reaches the store after the seat's
// reclaim. The record is read before the seat; a seat exists before its first entry is
// written and is never recreated after its deletion, so the entry of an existing seat is
// never removed.
func (a *Allotments) collectOrphan(ctx context.Context, id fleet.TeamID) {
	listed := map[fleet.SeatID]bool{}
	for _, m := range a.cfg.Seats.View().Members {
		listed[m.Seat] = true
	}
	a.mu.Lock()
	t := a.team(id)
	var orphan fleet.SeatID
	if t.record != nil && t.backoff > 0 && t.queued > 0 {
		for s := range t.record.Holders {
			if !listed[s] {
				orphan = s
			}
		}
	}
	a.mu.Unlock()
	if orphan == "" || !a.consumeBudget(1) {
		return
	}
	r, err := a.fetch(ctx, id)
	if err != nil {
		return
	}
	if _, exists := r.Holders[orphan]; !exists {
		// The reclaimer has removed the entry since the record was read here.
		a.mu.Lock()
		a.applyRecord(t, r, time.Now())
		a.writeBudget += 1 - readCost
		a.mu.Unlock()
		a.notify()
		return
	}
	if deleted, err := a.cfg.Seats.SeatDeleted(ctx, orphan); err != nil || !deleted {
		return
	}
	delete(r.Holders, orphan)
	if a.put(ctx, id, r) == nil {
		a.mu.Lock()
		a.applyRecord(t, r, time.Now())
		a.mu.Unlock()
	}
}
