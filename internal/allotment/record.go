package allotment

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/store"
)

// recordPrefix is the store prefix of the team records.
const recordPrefix = "allotments/"

// record is the stored form of the allotments of one team.
type record struct {
	// Limit and Revision come from the newest configuration that a writer had. A writer
	// with an older configuration obeys them.
	Limit    int                  `json:"limit"`
	Revision uint64               `json:"revision"`
	Holders  map[fleet.SeatID]int `json:"holders"`

	version uint64
	// fromHandover is set on a summary received from the daemon that handed a seat over.
	fromHandover bool
}

func (r *record) sum() int {
	n := 0
	for _, u := range r.Holders {
		n += u
	}
	return n
}

func (r *record) clone() *record {
	c := *r
	c.Holders = maps.Clone(r.Holders)
	if c.Holders == nil {
		c.Holders = map[fleet.SeatID]int{}
	}
	return &c
}

func (r *record) set(seat fleet.SeatID, units int) {
	if units <= 0 {
		delete(r.Holders, seat)
		return
	}
	r.Holders[seat] = units
}

// fetch reads the team's record. A missing record is returned empty, with version 0.
func (a *Allotments) fetch(ctx context.Context, id fleet.TeamID) (*record, error) {
	ctx, cancel := context.WithTimeout(ctx, a.cfg.CallTimeout)
	defer cancel()
	e, err := a.cfg.Store.Get(ctx, recordPrefix+string(id))
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return &record{Holders: map[fleet.SeatID]int{}}, nil
	}
	if err != nil {
		return nil, err
	}
	return decode(e)
}

func decode(e store.Entry) (*record, error) {
	r := &record{}
	if err := json.Unmarshal(e.Value, r); err != nil {
		return nil, err
	}
	if r.Holders == nil {
		r.Holders = map[fleet.SeatID]int{}
	}
	r.version = e.Version
	return r, nil
}

// put writes the record if its version in the store is the one that it was derived from.
func (a *Allotments) put(ctx context.Context, id fleet.TeamID, r *record) error {
	value, err := json.Marshal(r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, a.cfg.CallTimeout)
	defer cancel()
	version, err := a.cfg.Store.Put(ctx, recordPrefix+string(id), value, r.version, 0)
	if err != nil {
		return err
	}
	r.version = version
	return nil
}

// applyRecord applies a record that was read. Writes based on an earlier version are no
// longer uncertain: they were applied before the read or never will be.
func (a *Allotments) applyRecord(t *team, r *record, now time.Time) {
	t.readRequired = false
	if t.record != nil && r.version < t.record.version {
		return
	}
	t.record, t.readAt, t.stale = r, now, false
	for s, u := range t.seats {
		if u.exported {
			continue
		}
		entry := r.Holders[s]
		if u.uncertain && !u.imported && u.fence < r.version {
			u.units, u.uncertain = entry, false
		}
		u.units = min(u.units, entry)
	}
}
