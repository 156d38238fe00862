package allotment

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/membership"
	"samphirestile.example/samphirestile/internal/peerapi/oas"
	"samphirestile.example/samphirestile/internal/store"
)

var _ membership.Allotments = (*Allotments)(nil)

// ExportSeat stops the use of the seat's units and returns them with the units still in use.
func (a *Allotments) ExportSeat(seat fleet.SeatID) (units, running []oas.TeamUnits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for _, t := range a.teams {
		u := t.seats[seat]
		if u == nil {
			continue
		}
		u.exported = true
		if u.units > 0 {
			row := oas.TeamUnits{Team: string(t.id), Units: u.units}
			if t.record != nil {
				row.Limit, row.Sum = oas.NewOptInt(t.record.Limit), oas.NewOptInt(t.record.sum())
				row.Revision = oas.NewOptInt64(int64(t.record.Revision))
			}
			units = append(units, row)
		}
		if n := u.inUse(now); n > 0 {
			running = append(running, oas.TeamUnits{Team: string(t.id), Units: n})
		}
	}
	sortUnits(units)
	sortUnits(running)
	return units, running
}

// SeatRunning returns the units of the seat that are in use here or at its previous holder.
func (a *Allotments) SeatRunning(seat fleet.SeatID) []oas.TeamUnits {
	a.mu.Lock()
	defer a.mu.Unlock()
	var running []oas.TeamUnits
	now := time.Now()
	for _, t := range a.teams {
		if u := t.seats[seat]; u != nil && u.inUse(now) > 0 {
			running = append(running, oas.TeamUnits{Team: string(t.id), Units: u.inUse(now)})
		}
	}
	sortUnits(running)
	return running
}

// ImportSeat takes over the units of a seat that is being handed over.
func (a *Allotments) ImportSeat(seat fleet.SeatID, units, running []oas.TeamUnits, reservation time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	until := time.Now().Add(reservation)
	for _, t := range a.teams {
		delete(t.seats, seat)
	}
	importedUnits := func(team string) *seatUnits {
		u := a.team(fleet.TeamID(team)).seat(seat)
		u.awaitingMembership, u.uncertain, u.imported, u.previousHolderUntil = true, true, true, until
		return u
	}
	for _, r := range units {
		importedUnits(r.Team).units = r.Units
		if t := a.team(fleet.TeamID(r.Team)); t.record == nil && r.Limit.Set {
			// The sender's summary permits starts while the store is down, but no write is based on it.
			t.record = &record{
				Limit: r.Limit.Value, Revision: uint64(r.Revision.Or(0)),
				Holders: map[fleet.SeatID]int{seat: r.Sum.Or(0)}, fromHandover: true,
			}
		}
	}
	for _, r := range running {
		importedUnits(r.Team).inUseAtPreviousHolder = r.Units
	}
}

// UpdateRunning lowers the units of an imported seat that its previous holder still
// uses. Delayed duplicates of the message cannot raise them again.
func (a *Allotments) UpdateRunning(seat fleet.SeatID, running []oas.TeamUnits) {
	inUse := map[string]int{}
	for _, r := range running {
		inUse[r.Team] = r.Units
	}
	a.mu.Lock()
	for _, t := range a.teams {
		if u := t.seats[seat]; u != nil {
			u.inUseAtPreviousHolder = min(u.inUseAtPreviousHolder, inUse[string(t.id)])
		}
	}
	a.mu.Unlock()
	a.notify()
}

// ReclaimSeat removes the seat's entries from all team records of the store.
func (a *Allotments) ReclaimSeat(ctx context.Context, seat fleet.SeatID) error {
	entries, _, err := a.cfg.Store.List(ctx, recordPrefix)
	if err != nil {
		return &ReclaimError{Seat: seat, Cause: err}
	}
	for _, e := range entries {
		id := fleet.TeamID(e.Key[len(recordPrefix):])
		r, err := decode(e)
		if err != nil {
			return &ReclaimError{Seat: seat, Cause: err}
		}
		if err := a.removeEntry(ctx, id, r, seat); err != nil {
			return &ReclaimError{Seat: seat, Cause: err}
		}
	}
	return nil
}

// removeEntry retries the compare-and-swap until the record has no entry of the seat.
func (a *Allotments) removeEntry(ctx context.Context, id fleet.TeamID, r *record, seat fleet.SeatID) error {
	for {
		if _, ok := r.Holders[seat]; !ok {
			return nil
		}
		delete(r.Holders, seat)
		err := a.put(ctx, id, r)
		if err == nil {
			return nil
		}
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		if r, err = a.fetch(ctx, id); err != nil {
			return err
		}
	}
}

func sortUnits(us []oas.TeamUnits) {
	slices.SortFunc(us, func(x, y oas.TeamUnits) int { return cmp.Compare(x.Team, y.Team) })
}
