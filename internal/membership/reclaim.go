package membership

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/peerapi/oas"
	"samphirestile.example/samphirestile/internal/store"
)

// listScaleSeats is the number of seats up to which the seats are listed at the list
// interval. In larger cells the interval grows in proportion, so that the bytes per second
// stay constant.
const listScaleSeats = 8

// maxDeleted limits the number of deleted seats that are remembered; they are needed until
// the next renewal.
const maxDeleted = 256

// observation is a seat record as read from the store. Its times are taken after the
// reply, so that they are never earlier than the write of the version.
type observation struct {
	version      uint64
	record       seatRecord
	since        time.Time
	markObserved time.Time
}

// runTimes tracks the longest maximum run time that applies to running work.
type runTimes struct {
	current time.Duration
	// earlier is the longest previous maximum; work that started under it may run until the
	// time in until.
	earlier time.Duration
	until   time.Time
}

// observe records the maximum run time of the active configuration.
func (r *runTimes) observe(d time.Duration, now time.Time) {
	if d < r.current {
		r.earlier = r.longest(now)
		if end := now.Add(r.current); end.After(r.until) {
			r.until = end
		}
	}
	r.current = d
}

func (r *runTimes) longest(now time.Time) time.Duration {
	if now.Before(r.until) {
		return max(r.current, r.earlier)
	}
	return r.current
}

// longestRunTime returns the duration after which all work that runs now has finished, and
// records the maximum run time of the current configuration; ok is false before the first
// configuration.
func (m *Membership) longestRunTime(now time.Time) (d time.Duration, ok bool) {
	c := m.cfg.Config.Current()
	if c == nil {
		return 0, false
	}
	for _, s := range c.Services {
		d = max(d, s.MaxRunTime)
	}
	m.runTimes.observe(d, now)
	return m.runTimes.longest(now), true
}

// listIfDue lists the seats when the list interval has elapsed.
func (m *Membership) listIfDue(ctx context.Context) {
	m.mu.Lock()
	interval := m.cfg.ListInterval * time.Duration(max(1, len(m.cellSeats)/listScaleSeats))
	due := time.Since(m.lastList) >= interval
	m.mu.Unlock()
	if due {
		m.listSeats(ctx)
	}
}

// listSeats reads all seat records and reports whether it succeeded.
func (m *Membership) listSeats(ctx context.Context) bool {
	ctx, cancel := m.call(ctx)
	defer cancel()
	began := time.Now()
	entries, _, err := m.store.List(ctx, SeatPrefix)
	if err != nil {
		m.log.WithError(err).Debug("cannot list the seat records")
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastList = time.Now()
	listed := map[fleet.SeatID]bool{}
	for _, e := range entries {
		id := fleet.SeatID(e.Key[len(SeatPrefix):])
		listed[id] = true
		m.observeRecord(id, e)
	}
	for id, known := range m.cellSeats {
		if !listed[id] && m.held[id] == nil && known.firstObserved.Before(began) && !known.reported {
			m.forgetSeat(id)
		}
	}
	m.refreshView()
	return true
}

func (m *Membership) forgetSeat(id fleet.SeatID) {
	delete(m.cellSeats, id)
	delete(m.observed, id)
	delete(m.declaredGone, id)
	if len(m.deleted) >= maxDeleted {
		clear(m.deleted)
	}
	m.deleted[id] = true
}

// observeRecord processes a record that was just read; it returns nil for a malformed one.
func (m *Membership) observeRecord(id fleet.SeatID, e store.Entry) *observation {
	var rec seatRecord
	if err := json.Unmarshal(e.Value, &rec); err != nil {
		m.log.WithError(err).WithField("seat", id).Error("cannot decode the seat record")
		return nil
	}
	now := time.Now()
	o := m.observed[id]
	if o == nil || o.version != e.Version {
		marked := o != nil && !o.markObserved.IsZero()
		seen := now
		if marked {
			seen = o.markObserved
		}
		o = &observation{version: e.Version, record: rec, since: now}
		if rec.Reclaiming {
			o.markObserved = seen
		}
		m.observed[id] = o
	}
	known := m.mergeSeatState(oas.SeatState{
		Seat: string(id), Daemon: rec.Daemon, Incarnation: rec.Incarnation, PeerAddress: rec.PeerAddress,
		AvailabilityZone: string(rec.Zone), Renewal: rec.Renewal, Moves: oas.NewOptInt64(rec.Moves),
	})
	known.marked = rec.Reclaiming
	if rec.Reclaiming {
		// A marked seat is lost to its occupant, so a vouch for it would only extend an
		// invalid permission.
		for _, voter := range m.held {
			vote := voter.votes[id]
			vote.consented = max(m.consentedTo(voter, id), rec.Renewal)
			voter.votes[id] = vote
		}
	}
	return o
}

// Consent handles a reclaimer's request for the consent of this daemon's seats as voters.
func (m *Membership) Consent(_ context.Context, req *oas.ConsentRequest) (*oas.ConsentReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	reply := &oas.ConsentReply{Voters: []string{}}
	seat, now := fleet.SeatID(req.Seat), time.Now()
	if m.held[seat] != nil {
		reply.WaitMs = (m.cfg.VouchLifetime + m.cfg.Margin).Milliseconds()
		return reply, nil
	}
	for _, voter := range m.held {
		if !voter.created() {
			continue
		}
		vote := voter.votes[seat]
		if left := vote.promisedUntil.Sub(now); left > 0 {
			reply.WaitMs = max(reply.WaitMs, left.Milliseconds()+1)
			continue
		}
		vote.consented = max(m.consentedTo(voter, seat), req.Renewal)
		voter.votes[seat] = vote
		reply.Voters = append(reply.Voters, string(voter.id))
	}
	return reply, nil
}

// DeclareGone declares that the known occupant of the seat has stopped, even if no majority of
// its quorum is left to consent. The caller is responsible for this being true: a live
// occupant could exceed limits until it reads the mark.
func (m *Membership) DeclareGone(seat fleet.SeatID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held[seat] != nil {
		return &SeatError{Seat: seat, Reason: "held by this daemon"}
	}
	known := m.cellSeats[seat]
	if known == nil {
		return &SeatError{Seat: seat, Reason: "not known", Unknown: true}
	}
	m.declaredGone[seat] = known.moves
	return nil
}

// occupantGone reports whether the occupant of the seat was declared gone. This includes an
// occupant that had already handed the seat over to the one that was declared gone.
func (m *Membership) occupantGone(seat fleet.SeatID) bool {
	moves, declared := m.declaredGone[seat]
	known := m.cellSeats[seat]
	return declared && known != nil && known.moves <= moves
}

// reclaimStep advances the reclaim of each seat whose occupant is not active. All
// relevant state is in the store, so any daemon may continue a reclaim that another began.
func (m *Membership) reclaimStep(ctx context.Context) {
	if !m.store.reachable() {
		return
	}
	m.checkHosts(ctx)
	m.mu.Lock()
	now := time.Now()
	runTime, ok := m.longestRunTime(now)
	type action struct {
		id     fleet.SeatID
		finish bool
	}
	var actions []action
	for id, o := range m.observed {
		known := m.cellSeats[id]
		if m.held[id] != nil || (known != nil && m.activeSeat(known) && !m.occupantGone(id)) {
			continue
		}
		// The rank prevents all daemons from requesting consent at the same moment.
		wait := m.cfg.Lease + m.cfg.Margin + time.Duration(m.rank(id))*m.cfg.HeartbeatInterval
		switch {
		case !o.markObserved.IsZero():
			if ok && (m.rejectedDesigns.timeoutReclaim || now.Sub(o.markObserved) >= runTime) {
				actions = append(actions, action{id, true})
			}
		case m.occupantGone(id) || now.Sub(o.since) >= wait:
			actions = append(actions, action{id, false})
		}
	}
	m.mu.Unlock()
	for _, a := range actions {
		if a.finish {
			m.finishReclaim(ctx, a.id)
		} else {
			m.markSeat(ctx, a.id)
		}
	}
}

// rank returns the number of active seats that precede the first seat of this daemon in
// the rendezvous order of the given seat.
func (m *Membership) rank(seat fleet.SeatID) int {
	n := 0
	for _, known := range m.rankedSeats(string(seat)) {
		if m.held[known.id] != nil {
			break
		}
		if m.activeSeat(known) {
			n++
		}
	}
	return n
}

// markSeat marks the seat as lost to its occupant after a majority has consented.
func (m *Membership) markSeat(ctx context.Context, seat fleet.SeatID) {
	ctx, cancel := m.call(ctx)
	defer cancel()
	entry, err := m.store.Get(ctx, SeatPrefix+string(seat))
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		m.mu.Lock()
		m.forgetSeat(seat)
		m.refreshView()
		m.mu.Unlock()
		return
	}
	if err != nil {
		return
	}
	m.mu.Lock()
	before := m.observed[seat]
	o := m.observeRecord(seat, entry)
	ready := o != nil && before == o && o.markObserved.IsZero()
	declared := m.occupantGone(seat)
	m.mu.Unlock()
	if !ready && !(declared && o != nil && o.markObserved.IsZero()) {
		return
	}
	if !declared && !m.rejectedDesigns.timeoutReclaim && !m.requestConsent(ctx, seat, o.record) {
		return
	}
	rec := o.record
	rec.Reclaiming = true
	value, err := json.Marshal(rec)
	if err != nil {
		return
	}
	version, err := m.store.Put(ctx, entry.Key, value, entry.Version, 0)
	if err != nil {
		// A conflict means a renewal or another reclaimer. An unknown outcome is resolved
		// by the read of the next step.
		return
	}
	m.log.WithFields(map[string]any{"seat": seat, "daemon": rec.Daemon}).Warn("seat marked for reclaim")
	m.mu.Lock()
	m.observeRecord(seat, store.Entry{Key: entry.Key, Value: value, Version: version})
	m.refreshView()
	m.mu.Unlock()
}

// requestConsent requests consent from the occupants of the quorum and reports whether a
// majority consents.
func (m *Membership) requestConsent(ctx context.Context, seat fleet.SeatID, rec seatRecord) bool {
	m.mu.Lock()
	addresses := map[string]bool{}
	own := false
	for _, voter := range rec.Quorum {
		if m.held[voter] != nil {
			own = true
		} else if known := m.cellSeats[voter]; known != nil && m.activeSeat(known) {
			addresses[known.address] = true
		}
	}
	m.mu.Unlock()
	req := &oas.ConsentRequest{Seat: string(seat), Renewal: rec.Renewal}
	var mu sync.Mutex
	consents := map[fleet.SeatID]bool{}
	add := func(r *oas.ConsentReply, err error) {
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		for _, voter := range r.Voters {
			consents[fleet.SeatID(voter)] = true
		}
	}
	if own {
		add(m.Consent(ctx, req))
	}
	var wg sync.WaitGroup
	for a := range addresses {
		wg.Go(func() {
			c, err := m.client(a)
			if err != nil {
				return
			}
			add(c.Consent(ctx, req))
		})
	}
	wg.Wait()
	n := 0
	for _, voter := range rec.Quorum {
		if consents[voter] {
			n++
		}
	}
	return n > len(rec.Quorum)/2
}

// finishReclaim removes the seat from the team records and then deletes it.
func (m *Membership) finishReclaim(ctx context.Context, seat fleet.SeatID) {
	ctx, cancel := m.call(ctx)
	defer cancel()
	if m.allotments != nil {
		if err := m.allotments.ReclaimSeat(ctx, seat); err != nil {
			m.log.WithError(err).WithField("seat", seat).Info("units of the seat not removed from the team records; will retry")
			return
		}
	}
	m.mu.Lock()
	o := m.observed[seat]
	m.mu.Unlock()
	if o == nil {
		return
	}
	err := m.store.Delete(ctx, SeatPrefix+string(seat), o.version)
	var missing *store.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return
	}
	m.log.WithField("seat", seat).Info("seat reclaimed")
	m.mu.Lock()
	m.forgetSeat(seat)
	m.refreshView()
	m.mu.Unlock()
}

// checkHosts declares those seats gone whose host the platform reports as gone. The host
// list is read only while a seat is inactive.
func (m *Membership) checkHosts(ctx context.Context) {
	if m.cfg.Hosts == nil {
		return
	}
	m.mu.Lock()
	suspects := map[fleet.HostID][]fleet.SeatID{}
	for id, o := range m.observed {
		if known := m.cellSeats[id]; known != nil && !m.activeSeat(known) && m.held[id] == nil && o.record.Host != "" && !m.occupantGone(id) {
			suspects[o.record.Host] = append(suspects[o.record.Host], id)
		}
	}
	due := len(suspects) > 0 && time.Since(m.lastHosts) >= m.cfg.ListInterval
	if due {
		m.lastHosts = time.Now()
	}
	m.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := m.call(ctx)
	defer cancel()
	hosts, err := m.cfg.Hosts.Hosts(ctx)
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range hosts {
		if h.State == fleet.HostGone {
			for _, id := range slices.Clone(suspects[h.ID]) {
				if o := m.observed[id]; o != nil && o.record.Host == h.ID {
					m.declaredGone[id] = o.record.Moves
				}
			}
		}
	}
}

// SeatDeleted reads the store and reports whether the seat no longer exists.
func (m *Membership) SeatDeleted(ctx context.Context, seat fleet.SeatID) (bool, error) {
	ctx, cancel := m.call(ctx)
	defer cancel()
	_, err := m.store.Get(ctx, SeatPrefix+string(seat))
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return true, nil
	}
	return false, err
}
