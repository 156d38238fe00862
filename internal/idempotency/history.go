package idempotency

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/membership"
	"samphirestile.example/samphirestile/internal/ownership"
	"samphirestile.example/samphirestile/internal/problem"
)

const (
	// homesPerKey is two, so that one record of each claim survives the crash of a daemon.
	homesPerKey = 2
	// maxViews limits the number of recorded earlier views. A cell only has more of them
	// within Retention (10 minutes) when seats fail and return continuously.
	maxViews = 256
)

// ViewRecord is a set of active seats, current or earlier, under which keys may have been
// claimed.
type ViewRecord struct {
	Seats []fleet.SeatID `json:"seats"`
	// AgeMS is the time in milliseconds since the view was replaced; 0 for the current view.
	AgeMS int64 `json:"age_ms"`
}

type pastView struct {
	seats      []fleet.SeatID
	replacedAt time.Time
}

// history records the views within Retention (10 minutes). The caller must synchronize access.
type history struct {
	current []fleet.SeatID
	past    []pastView
	// incompleteUntil is the time until which claims that were made under an earlier view
	// that is not recorded may still be in force.
	incompleteUntil time.Time
}

func activeSeats(v membership.View) []fleet.SeatID {
	var seats []fleet.SeatID
	for _, m := range v.Members {
		if m.Active {
			seats = append(seats, m.Seat)
		}
	}
	slices.Sort(seats)
	return slices.Compact(seats)
}

// ownSeats returns the seats of this daemon.
func ownSeats(v membership.View) []fleet.SeatID {
	var seats []fleet.SeatID
	for _, m := range v.Members {
		if m.Self {
			seats = append(seats, m.Seat)
		}
	}
	return seats
}

// update records a change of the set of active seats.
func (h *history) update(v membership.View, now time.Time) {
	h.past = slices.DeleteFunc(h.past, func(p pastView) bool { return now.Sub(p.replacedAt) >= Retention })
	seats := activeSeats(v)
	if slices.Equal(seats, h.current) {
		return
	}
	h.add(pastView{h.current, now})
	h.past = slices.DeleteFunc(h.past, func(p pastView) bool { return slices.Equal(p.seats, seats) })
	h.current = seats
}

// add records an earlier view. Each set of seats is kept once, with the latest time at which
// it was replaced.
func (h *history) add(p pastView) {
	if len(p.seats) == 0 {
		return
	}
	if i := slices.IndexFunc(h.past, func(known pastView) bool { return slices.Equal(known.seats, p.seats) }); i >= 0 {
		if p.replacedAt.After(h.past[i].replacedAt) {
			h.past[i].replacedAt = p.replacedAt
		}
		return
	}
	if len(h.past) == maxViews {
		oldest := slices.MinFunc(h.past, func(a, b pastView) int { return a.replacedAt.Compare(b.replacedAt) })
		h.past = slices.DeleteFunc(h.past, func(known pastView) bool { return known.replacedAt.Equal(oldest.replacedAt) })
		if end := oldest.replacedAt.Add(Retention); end.After(h.incompleteUntil) {
			h.incompleteUntil = end
		}
	}
	h.past = append(h.past, p)
}

// homes returns the seats that must grant a claim, in the same order on all daemons. Of two
// requests that claim the same key concurrently, the first common seat then grants only one,
// so that they cannot block each other.
func (h *history) homes(name string, now time.Time) ([]fleet.SeatID, *problem.Error) {
	if len(h.current) == 0 {
		return nil, problem.New(problem.CodeNotReady, http.StatusServiceUnavailable, "no seat is active").WithRetryAfter(time.Second)
	}
	if now.Before(h.incompleteUntil) {
		return nil, problem.New(problem.CodeIdempotencyUnknown, http.StatusServiceUnavailable,
			"this daemon does not know the recent views of the cell yet").WithRetryAfter(h.incompleteUntil.Sub(now))
	}
	homes := topSeats(name, h.current)
	for _, p := range h.past {
		survivors := 0
		for _, seat := range topSeats(name, p.seats) {
			if _, active := slices.BinarySearch(h.current, seat); active {
				survivors++
				homes = append(homes, seat)
			}
		}
		if survivors == 0 {
			return nil, problem.NewUnknown(problem.CodeIdempotencyUnknown, http.StatusServiceUnavailable, nil,
				"all daemons that knew this idempotency key under an earlier view are lost")
		}
	}
	slices.Sort(homes)
	return slices.Compact(homes), nil
}

// topSeats returns the homesPerKey seats with the highest rendezvous hashing scores for the
// name.
func topSeats(name string, seats []fleet.SeatID) []fleet.SeatID {
	sorted := slices.SortedFunc(slices.Values(seats), func(a, b fleet.SeatID) int {
		return cmp.Or(cmp.Compare(ownership.Score(name, b), ownership.Score(name, a)), cmp.Compare(a, b))
	})
	return sorted[:min(homesPerKey, len(sorted))]
}

// exportViews returns the current view and the recorded earlier ones, with their ages.
func (h *history) exportViews(now time.Time) []ViewRecord {
	views := []ViewRecord{{Seats: slices.Clone(h.current)}}
	for _, p := range h.past {
		views = append(views, ViewRecord{Seats: slices.Clone(p.seats), AgeMS: max(now.Sub(p.replacedAt).Milliseconds(), 1)})
	}
	return views
}

// mergeViews adds the views that another daemon recorded. Their ages are counted from now.
func (h *history) mergeViews(views []ViewRecord, now time.Time) {
	for _, v := range views {
		seats := slices.Clone(v.Seats)
		slices.Sort(seats)
		seats = slices.Compact(seats)
		age := time.Duration(max(v.AgeMS, 0)) * time.Millisecond
		if age < Retention && !slices.Equal(seats, h.current) {
			h.add(pastView{seats, now.Add(-age)})
		}
	}
}
