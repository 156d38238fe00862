package membership

import (
	"context"
	"errors"
	"slices"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/peerapi/oas"
	"samphirestile.example/samphirestile/internal/store"
)

// wrongIncarnation is the detail of a refusal by a newer process at the successor's address.
const wrongIncarnation = "incarnation"

// handoverReport tells the successor of an exported seat which units are still in use on
// this daemon.
type handoverReport struct {
	msg       *oas.Handover
	successor successorID
	confirmed bool
	// abandoned is set when the successor was replaced by another process and this daemon
	// can do nothing more for the seat.
	abandoned bool
	// release is set when the seat is to be deleted from the store, because it has no
	// successor or is a spare seat.
	release bool
}

// successorID identifies the process that takes over a seat.
type successorID struct {
	daemon, incarnation, address string
}

// Leave hands over all seats of this daemon. The caller must no longer send new work to
// it: from the call on, its seats start none. It returns when each successor has
// confirmed or ctx is done. Work that still runs is reported until WaitDrained returns.
func (m *Membership) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.leaving = true
	var ids []fleet.SeatID
	for id := range m.held {
		ids = append(ids, id)
	}
	m.mu.Unlock()
	// Wait for an incoming handover that is being accepted; later ones are refused.
	m.handoverMu.Lock()
	m.mu.Lock()
	ids = ids[:0]
	for id := range m.held {
		ids = append(ids, id)
	}
	m.mu.Unlock()
	m.handoverMu.Unlock()
	var failed []fleet.SeatID
	var cause error
	for _, id := range ids {
		if err := m.transferSeat(ctx, id, nil); err != nil {
			failed, cause = append(failed, id), err
		}
	}
	m.runInBackground(m.heartbeatAll)
	if cause != nil {
		return &HandoverError{Seats: failed, Cause: cause}
	}
	return nil
}

// WaitDrained waits until this daemon has reported to the successors that none of its
// work runs under the seats it handed over. The caller must first wait for its running
// requests.
func (m *Membership) WaitDrained(ctx context.Context) error {
	t := time.NewTicker(m.cfg.HeartbeatInterval / 4)
	defer t.Stop()
	for {
		m.mu.Lock()
		n := len(m.reports)
		m.mu.Unlock()
		if n == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// transferSeat hands one seat over to the given successor, or to the best one if to is nil.
func (m *Membership) transferSeat(ctx context.Context, seat fleet.SeatID, to *peer) error {
	successor := to
	if successor == nil {
		successor = m.successor(ctx, nil)
	}
	s := m.stopSeat(seat)
	if s == nil {
		return nil
	}
	r := &handoverReport{}
	var units, running []oas.TeamUnits
	if m.allotments != nil {
		units, running = m.allotments.ExportSeat(seat)
	}
	var claims []oas.Claim
	if m.claims != nil {
		claims = m.claims.ExportClaims(seat)
	}
	r.msg = m.handoverMessage(s, units, running, claims)
	m.mu.Lock()
	m.reports[seat] = r
	m.mu.Unlock()
	defer m.runInBackground(func(ctx context.Context) { m.reportLoop(ctx, seat, r) })
	tried := map[string]bool{}
	for successor != nil {
		m.mu.Lock()
		r.successor = successorID{successor.daemon, successor.incarnation, successor.address}
		m.mu.Unlock()
		r.msg.ID, r.msg.Successor = newID(), oas.NewOptString(r.successor.incarnation)
		taken, retryOther, err := m.deliver(ctx, r)
		if taken {
			m.mu.Lock()
			r.confirmed = true
			leaving := m.leaving
			m.mu.Unlock()
			m.finishClaimsExport(r.successor.address, leaving)
			m.log.WithFields(map[string]any{"seat": seat, "successor": r.successor.daemon}).Info("seat handed over")
			return nil
		}
		if !retryOther {
			m.finishClaimsExport("", false)
			return err
		}
		tried[r.successor.incarnation] = true
		successor = m.successor(ctx, tried)
	}
	m.mu.Lock()
	r.release = true
	m.mu.Unlock()
	m.finishClaimsExport("", false)
	m.log.WithField("seat", seat).Warn("no successor available; seat will be released when its running work has finished")
	return nil
}

func (m *Membership) finishClaimsExport(peerAddress string, leaving bool) {
	if m.claims != nil {
		m.claims.FinishExport(peerAddress, leaving)
	}
}

// stopSeat stops the use of the seat by this daemon, as holder and as voter.
func (m *Membership) stopSeat(seat fleet.SeatID) *heldSeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.held[seat]
	if s == nil {
		return nil
	}
	now := time.Now()
	for _, other := range m.held {
		if other == s {
			continue
		}
		// The votes between seats of this daemon become promises that expire.
		if m.ownVote(s.id, other) {
			other.vouches[s.id] = now
			m.promise(s, other.id, now)
		}
		if m.ownVote(other.id, s) {
			s.vouches[other.id] = now
			m.promise(other, s.id, now)
		}
	}
	s.handingOver = true
	delete(m.held, seat)
	if !s.created() {
		return nil
	}
	m.exported[seat] = s
	if known := m.cellSeats[seat]; known != nil {
		known.reported = false
	}
	m.refreshView()
	return s
}

// handoverMessage returns the handover message for a seat after stopSeat.
func (m *Membership) handoverMessage(s *heldSeat, units, running []oas.TeamUnits, claims []oas.Claim) *oas.Handover {
	m.mu.Lock()
	defer m.mu.Unlock()
	msg := &oas.Handover{
		Seat: oas.SeatState{
			Seat: string(s.id), Daemon: m.cfg.Daemon, Incarnation: m.cfg.Incarnation,
			PeerAddress: m.cfg.PeerAddress, AvailabilityZone: string(m.cfg.Zone),
			Renewal: s.renewal, Moves: oas.NewOptInt64(s.moves),
		},
		Renewal: s.renewal, RecordVersion: oas.NewOptInt64(int64(s.version)),
		Quorum: seatStrings(s.quorum), Units: nonNil(units), Running: nonNil(running),
		Memory: []oas.VouchMemory{}, Claims: nonNil(claims),
	}
	// The record may contain either quorum, so the successor needs a majority of both.
	switch {
	case s.inheritedQuorum != nil:
		msg.PendingQuorum = seatStrings(s.inheritedQuorum)
	case s.pending != nil:
		msg.PendingQuorum = seatStrings(s.pending.Quorum)
	}
	now := time.Now()
	for id, vote := range s.votes {
		msg.Memory = append(msg.Memory, oas.VouchMemory{
			Seat: string(id), Renewal: vote.consented, Consented: vote.consented >= 0,
			PromisedMs: max(0, vote.promisedUntil.Sub(now).Milliseconds()+1),
		})
	}
	return msg
}

// deliver sends the handover to one successor until it replies. retryOther reports that
// the successor certainly did not take the seat, so that another may be tried.
func (m *Membership) deliver(ctx context.Context, r *handoverReport) (taken, retryOther bool, err error) {
	for attempt := 1; ; attempt++ {
		reply, err := m.sendHandover(ctx, r.successor.address, r.msg)
		switch {
		case err == nil && reply.Taken:
			return true, false, nil
		case err == nil && (attempt == 1 || reply.Detail.Or("") != wrongIncarnation):
			return false, true, nil
		case err == nil:
			// An earlier attempt may have reached a process that has exited since.
			m.mu.Lock()
			r.abandoned = true
			m.mu.Unlock()
			return false, false, &SeatError{Seat: fleet.SeatID(r.msg.Seat.Seat), Reason: "successor was replaced by another process before it confirmed the handover"}
		}
		select {
		case <-ctx.Done():
			return false, false, err
		case <-time.After(m.cfg.HeartbeatInterval / 4):
		}
	}
}

func (m *Membership) sendHandover(ctx context.Context, address string, msg *oas.Handover) (*oas.HandoverReply, error) {
	ctx, cancel := m.call(ctx)
	defer cancel()
	c, err := m.client(address)
	if err != nil {
		return nil, err
	}
	return c.Handover(ctx, msg)
}

// successor returns the active daemon with the fewest seats that is not leaving and
// replies to a heartbeat now, or nil.
func (m *Membership) successor(ctx context.Context, except map[string]bool) *peer {
	m.mu.Lock()
	seats := map[string]int{}
	for _, known := range m.cellSeats {
		if known.reported {
			seats[known.incarnation]++
		}
	}
	var candidates []*peer
	for incarnation, p := range m.peers {
		if p.active && !p.leaving && !except[incarnation] {
			candidates = append(candidates, p)
		}
	}
	m.mu.Unlock()
	slices.SortFunc(candidates, func(a, b *peer) int {
		if d := seats[a.incarnation] - seats[b.incarnation]; d != 0 {
			return d
		}
		if score(m.cfg.Incarnation, a.incarnation) < score(m.cfg.Incarnation, b.incarnation) {
			return -1
		}
		return 1
	})
	for _, p := range candidates {
		if m.exchange(ctx, p) != nil {
			continue
		}
		m.mu.Lock()
		leaving := p.leaving
		m.mu.Unlock()
		if !leaving {
			return p
		}
	}
	return nil
}

// Handover takes over a seat from another daemon. A repeated message only lowers the
// units that are still in use there.
func (m *Membership) Handover(_ context.Context, req *oas.Handover) (*oas.HandoverReply, error) {
	m.handoverMu.Lock()
	defer m.handoverMu.Unlock()
	seat := fleet.SeatID(req.Seat.Seat)
	if req.Successor.Or("") != m.cfg.Incarnation {
		return &oas.HandoverReply{Detail: oas.NewOptString(wrongIncarnation)}, nil
	}
	if taken, known := m.handovers[req.ID]; known {
		if taken && m.allotments != nil {
			m.allotments.UpdateRunning(seat, req.Running)
		}
		return &oas.HandoverReply{Taken: taken}, nil
	}
	m.mu.Lock()
	refuse := m.leaving || m.held[seat] != nil || m.exported[seat] != nil
	m.mu.Unlock()
	// The reply is stored, so that a late duplicate cannot reverse a refusal.
	m.handovers[req.ID] = !refuse
	if refuse {
		return &oas.HandoverReply{Detail: oas.NewOptString("refused")}, nil
	}
	if m.allotments != nil {
		m.allotments.ImportSeat(seat, req.Units, req.Running, m.importReservation())
	}
	if m.claims != nil {
		m.claims.ImportClaims(seat, req.Claims)
	}
	m.acceptSeat(req)
	m.runInBackground(m.heartbeatAll)
	m.runInBackground(m.renewDue)
	return &oas.HandoverReply{Taken: true}, nil
}

// importReservation returns the time after which work of the previous holder has
// certainly finished: its permission ends within the longer of lease and vouch lifetime,
// and work that started before runs for at most the maximum run time.
func (m *Membership) importReservation() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	runTime, ok := m.longestRunTime(time.Now())
	if !ok {
		// Without a configuration the maximum run time is not available; the reports of
		// the leaving daemon free the units.
		runTime = 24 * time.Hour
	}
	return max(m.cfg.Lease, m.cfg.VouchLifetime) + m.cfg.Margin + runTime
}

func (m *Membership) acceptSeat(req *oas.Handover) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := newHeldSeat(fleet.SeatID(req.Seat.Seat))
	s.moves = req.Seat.Moves.Or(0) + 1
	s.version, s.renewal = uint64(req.RecordVersion.Or(0)), req.Renewal
	s.quorum = seatIDs(req.Quorum)
	if len(req.PendingQuorum) > 0 {
		s.inheritedQuorum = seatIDs(req.PendingQuorum)
	}
	now := time.Now()
	for _, received := range req.Memory {
		vote := voteRecord{promisedUntil: now.Add(time.Duration(received.PromisedMs) * time.Millisecond), consented: -1}
		if received.Consented {
			vote.consented = received.Renewal
		}
		s.votes[fleet.SeatID(received.Seat)] = vote
	}
	m.held[s.id] = s
	m.recordOwnSeat(s)
	m.log.WithFields(map[string]any{"seat": s.id, "from": req.Seat.Daemon}).Info("seat taken over")
	m.refreshView()
}

// reportLoop reports the units still in use on this daemon until there are none.
func (m *Membership) reportLoop(ctx context.Context, seat fleet.SeatID, r *handoverReport) {
	t := time.NewTicker(m.cfg.HeartbeatInterval / 4)
	defer t.Stop()
	sent := r.msg.Running
	for {
		if m.reportStep(ctx, seat, r, &sent) {
			m.mu.Lock()
			delete(m.reports, seat)
			delete(m.exported, seat)
			m.mu.Unlock()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// reportStep sends one report; it returns true when nothing is left to report.
func (m *Membership) reportStep(ctx context.Context, seat fleet.SeatID, r *handoverReport, sent *[]oas.TeamUnits) bool {
	m.mu.Lock()
	confirmed, abandoned, release := r.confirmed, r.abandoned, r.release
	m.mu.Unlock()
	var running []oas.TeamUnits
	if m.allotments != nil {
		running = m.allotments.SeatRunning(seat)
	}
	if abandoned {
		return true
	}
	if release {
		return len(running) == 0 && m.releaseSeat(ctx, seat)
	}
	if confirmed && slices.Equal(running, *sent) {
		return len(running) == 0
	}
	msg := *r.msg
	msg.Running, msg.Memory, msg.Claims = nonNil(running), []oas.VouchMemory{}, []oas.Claim{}
	if !confirmed {
		// The first message carries the whole seat until it is confirmed.
		msg = *r.msg
	}
	reply, err := m.sendHandover(ctx, r.successor.address, &msg)
	if err != nil {
		return false
	}
	if !reply.Taken {
		return true
	}
	m.mu.Lock()
	r.confirmed = true
	m.mu.Unlock()
	*sent = msg.Running
	return false
}

// releaseSeat deletes a seat that is to be released and has no running work. It returns
// false if the deletion must be retried.
func (m *Membership) releaseSeat(ctx context.Context, seat fleet.SeatID) bool {
	ctx, cancel := m.call(ctx)
	defer cancel()
	if m.allotments != nil {
		if m.allotments.ReclaimSeat(ctx, seat) != nil {
			return false
		}
	}
	var missing *store.NotFoundError
	key := SeatPrefix + string(seat)
	entry, err := m.store.Get(ctx, key)
	if err == nil {
		err = m.store.Delete(ctx, key, entry.Version)
	}
	if err != nil && !errors.As(err, &missing) {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forgetSeat(seat)
	m.refreshView()
	return true
}

// balanceStep hands over a spare seat to a daemon that has none, so that a rolling
// replacement during a store outage does not concentrate the seats on few daemons. When
// every daemon has a seat, the spare one is released: while the store is up, each
// new daemon creates a seat and the daemon that it replaces leaves one behind.
func (m *Membership) balanceStep(ctx context.Context) {
	m.mu.Lock()
	var ids []fleet.SeatID
	for id, s := range m.held {
		if s.created() {
			ids = append(ids, id)
		}
	}
	due := len(ids) > 1 && !m.leaving && time.Since(m.lastBalanced) >= m.cfg.FailureTime
	var to *peer
	if due {
		m.lastBalanced = time.Now()
		for incarnation, p := range m.peers {
			if p.active && !p.leaving && !m.occupies(incarnation) && (to == nil || incarnation < to.incarnation) {
				to = p
			}
		}
	}
	m.mu.Unlock()
	if !due {
		return
	}
	sortSeats(ids)
	spare := ids[len(ids)-1]
	if to == nil {
		if m.store.reachable() {
			m.release(spare)
		}
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.cfg.FailureTime)
	defer cancel()
	if err := m.transferSeat(ctx, spare, to); err != nil {
		m.log.WithError(err).Info("handover of spare seat failed")
	}
}

// release stops the use of a seat and deletes it when its work has finished. The
// idempotency claims stay with this daemon.
func (m *Membership) release(seat fleet.SeatID) {
	if m.stopSeat(seat) == nil {
		return
	}
	if m.allotments != nil {
		m.allotments.ExportSeat(seat)
	}
	r := &handoverReport{release: true, msg: &oas.Handover{}}
	m.mu.Lock()
	m.reports[seat] = r
	m.mu.Unlock()
	m.log.WithField("seat", seat).Info("releasing spare seat")
	m.runInBackground(func(ctx context.Context) { m.reportLoop(ctx, seat, r) })
}

func seatStrings(ids []fleet.SeatID) []string {
	out := make([]string, 0, len(ids))
	for _, id := range ids {
		out = append(out, string(id))
	}
	return out
}

func seatIDs(ss []string) []fleet.SeatID {
	out := make([]fleet.SeatID, 0, len(ss))
	for _, s := range ss {
		out = append(out, fleet.SeatID(s))
	}
	return out
}

func nonNil[T any](s []T) []T {
	if s == nil {
		return []T{}
	}
	return s
}
