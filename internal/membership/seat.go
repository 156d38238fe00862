package membership

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/store"
)

// SeatPrefix is the store prefix of the seat records.
const SeatPrefix = "seats/"

// maxQuorum limits the voters of a seat, so that the cost of heartbeats does not grow with
// the cell.
const maxQuorum = 7

// seatRecord is the stored form of a seat.
type seatRecord struct {
	Daemon      string                 `json:"daemon"`
	Incarnation string                 `json:"incarnation"`
	PeerAddress string                 `json:"peer_address"`
	Zone        fleet.AvailabilityZone `json:"zone,omitempty"`
	Host        fleet.HostID           `json:"host,omitempty"`
	Quorum      []fleet.SeatID         `json:"quorum"`
	Renewal     int64                  `json:"renewal"`
	Moves       int64                  `json:"moves,omitempty"`
	// Reclaiming marks the seat as lost to its occupant.
	Reclaiming bool `json:"reclaiming,omitempty"`
}

// heldSeat is a seat that this daemon occupies. Membership.mu guards it.
type heldSeat struct {
	id    fleet.SeatID
	moves int64
	// version is the store version of the last confirmed record; 0 before the seat exists.
	version uint64
	// renewal and quorum are those of the last confirmed write.
	renewal int64
	quorum  []fleet.SeatID
	// pending is a write with an unknown outcome. It is repeated unchanged until the
	// outcome is resolved, so that only one write can follow a version.
	pending   *seatRecord
	pendingAt time.Time
	// inheritedQuorum is the quorum of a write of the previous occupant that has an unknown
	// outcome. The first write repeats it, so that at most two quorums are possible.
	inheritedQuorum []fleet.SeatID
	renewedAt       time.Time
	vouches         map[fleet.SeatID]time.Time
	// votes holds the promises and consents that this seat gave as a voter, by seat.
	votes map[fleet.SeatID]voteRecord
	// handingOver is set before a handover is sent; no work starts under the seat afterwards.
	handingOver bool
	writing     bool
}

// voteRecord holds the promise and the consent that one voter gave for one seat.
type voteRecord struct {
	promisedUntil time.Time
	// consented is the highest renewal counter whose reclaim the voter consented to; -1 for none.
	consented int64
}

func newHeldSeat(id fleet.SeatID) *heldSeat {
	return &heldSeat{id: id, vouches: map[fleet.SeatID]time.Time{}, votes: map[fleet.SeatID]voteRecord{}}
}

// created reports whether the store has confirmed that the seat exists.
func (s *heldSeat) created() bool { return s.version != 0 }

// permittedAt reports whether the permission to use the seat's allotments is valid at now.
func (m *Membership) permittedAt(s *heldSeat, now time.Time) bool {
	if !s.created() {
		return false
	}
	if !s.renewedAt.IsZero() && now.Sub(s.renewedAt) < m.cfg.Lease {
		return true
	}
	if m.rejectedDesigns.stopAtLeaseEnd || !m.hasMajority(s, s.quorum, now) {
		return false
	}
	if s.pending != nil && !m.hasMajority(s, s.pending.Quorum, now) {
		return false
	}
	return s.inheritedQuorum == nil || m.hasMajority(s, s.inheritedQuorum, now)
}

// hasMajority reports whether more than half of the quorum vouch for the seat at now.
func (m *Membership) hasMajority(s *heldSeat, quorum []fleet.SeatID, now time.Time) bool {
	n := 0
	for _, voter := range quorum {
		at, ok := s.vouches[voter]
		if voter == s.id || (ok && now.Sub(at) < m.cfg.VouchLifetime) || m.ownVote(voter, s) {
			n++
		}
	}
	return n > len(quorum)/2
}

// ownVote reports whether the voter is another seat of this daemon and votes for s. A
// handover of either seat turns this vote into a promise that expires.
func (m *Membership) ownVote(voter fleet.SeatID, s *heldSeat) bool {
	voting := m.held[voter]
	return voting != nil && voting.created() && !s.handingOver && m.consentedTo(voting, s.id) < s.renewal
}

// consentedTo returns the highest renewal counter of the seat to whose reclaim
// the voter consented, or -1.
func (m *Membership) consentedTo(voter *heldSeat, seat fleet.SeatID) int64 {
	if vote, ok := voter.votes[seat]; ok {
		return vote.consented
	}
	return -1
}

// promise records that the voter vouched for the seat at now.
func (m *Membership) promise(voter *heldSeat, seat fleet.SeatID, now time.Time) {
	voter.votes[seat] = voteRecord{
		promisedUntil: now.Add(m.cfg.VouchLifetime + m.cfg.Margin),
		consented:     m.consentedTo(voter, seat),
	}
}

// SeatStartPermitted reports whether new work may start under the seat now.
func (m *Membership) SeatStartPermitted(seat fleet.SeatID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.held[seat]
	return s != nil && m.permittedAt(s, time.Now())
}

// SeatSendPermitted reports whether work that was admitted under the seat may still be
// sent. This is also permitted during a handover of the seat, because the successor keeps
// the units in use reserved.
func (m *Membership) SeatSendPermitted(seat fleet.SeatID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.held[seat]
	if s == nil {
		s = m.exported[seat]
	}
	return s != nil && m.permittedAt(s, time.Now())
}

// HeldSeats returns the seats of this daemon that exist in the store, sorted.
func (m *Membership) HeldSeats() []fleet.SeatID {
	m.mu.Lock()
	defer m.mu.Unlock()
	ids := make([]fleet.SeatID, 0, len(m.held))
	for id, s := range m.held {
		if s.created() {
			ids = append(ids, id)
		}
	}
	sortSeats(ids)
	return ids
}

// StartPermitted reports whether any seat of this daemon may start work now.
func (m *Membership) StartPermitted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, s := range m.held {
		if m.permittedAt(s, now) {
			return true
		}
	}
	return false
}

// renewSeat writes the next record of the seat and applies the result.
func (m *Membership) renewSeat(ctx context.Context, s *heldSeat) error {
	m.mu.Lock()
	if s.handingOver || s.writing || m.held[s.id] != s {
		m.mu.Unlock()
		return nil
	}
	s.writing = true
	firstAttempt := s.pending == nil
	if firstAttempt {
		s.pending = m.nextRecord(s)
		s.pendingAt = time.Now()
	}
	rec, expect := *s.pending, s.version
	m.mu.Unlock()
	defer func() { m.mu.Lock(); s.writing = false; m.mu.Unlock() }()

	sent := time.Now()
	value, err := json.Marshal(rec)
	if err != nil {
		return err
	}
	version, err := m.store.Put(ctx, SeatPrefix+string(s.id), value, expect, 0)
	var conflict *store.ConflictError
	var unavailable *store.UnavailableError
	switch {
	case err == nil:
		m.confirm(s, rec, version, sent)
		return nil
	case errors.As(err, &conflict):
		return m.resolveConflict(ctx, s)
	case errors.As(err, &unavailable) && firstAttempt:
		// The write had no effect. After an earlier attempt with an unknown outcome it must be
		// repeated unchanged.
		m.mu.Lock()
		if !s.handingOver {
			s.pending = nil
		}
		m.mu.Unlock()
	}
	return err
}

func (m *Membership) nextRecord(s *heldSeat) *seatRecord {
	quorum := s.inheritedQuorum
	if quorum == nil {
		quorum = m.chooseQuorum(s)
	}
	return &seatRecord{
		Daemon: m.cfg.Daemon, Incarnation: m.cfg.Incarnation, PeerAddress: m.cfg.PeerAddress,
		Zone: m.cfg.Zone, Host: m.cfg.Host,
		Quorum: quorum, Renewal: s.renewal + 1, Moves: s.moves,
	}
}

// confirm records a write that was applied and was sent no earlier than sent.
func (m *Membership) confirm(s *heldSeat, rec seatRecord, version uint64, sent time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.handingOver {
		return
	}
	created := s.created()
	s.version, s.renewal, s.quorum = version, rec.Renewal, rec.Quorum
	s.pending, s.inheritedQuorum = nil, nil
	s.renewedAt = sent
	m.recordOwnSeat(s)
	if !created {
		m.log.WithField("seat", s.id).Info("seat created")
	}
	m.refreshView()
}

// resolveConflict reads the seat's record after a conflict, to find out whether an earlier attempt
// of the write was applied or the seat was lost.
func (m *Membership) resolveConflict(ctx context.Context, s *heldSeat) error {
	entry, err := m.store.Get(ctx, SeatPrefix+string(s.id))
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		m.loseSeat(s, "record deleted")
		return nil
	}
	if err != nil {
		return err
	}
	var rec seatRecord
	if err := json.Unmarshal(entry.Value, &rec); err != nil {
		return err
	}
	if rec.Reclaiming {
		m.loseSeat(s, "marked for reclaim")
		return nil
	}
	if rec.Moves > s.moves || (rec.Incarnation != m.cfg.Incarnation && rec.Moves == s.moves) {
		m.loseSeat(s, "occupied by another daemon")
		return nil
	}
	m.mu.Lock()
	if s.handingOver {
		m.mu.Unlock()
		return nil
	}
	if s.pending != nil && rec.Incarnation == m.cfg.Incarnation && rec.Moves == s.moves &&
		rec.Renewal == s.pending.Renewal {
		sent := s.pendingAt
		m.mu.Unlock()
		m.confirm(s, rec, entry.Version, sent)
		return nil
	}
	// Another write of this seat was applied, such as a delayed one of the previous occupant.
	if entry.Version != s.version {
		s.version, s.renewal, s.quorum = entry.Version, rec.Renewal, rec.Quorum
		s.pending, s.inheritedQuorum = nil, nil
	}
	m.mu.Unlock()
	return nil
}

// loseSeat removes a seat that this daemon has lost for good.
func (m *Membership) loseSeat(s *heldSeat, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held[s.id] != s {
		return
	}
	delete(m.held, s.id)
	if known := m.cellSeats[s.id]; known != nil && known.incarnation == m.cfg.Incarnation {
		delete(m.cellSeats, s.id)
	}
	m.log.WithFields(map[string]any{"seat": s.id, "reason": reason}).Warn("seat lost")
	m.refreshView()
}

// chooseQuorum selects the voters for the next write of the seat. Active members of the
// current quorum stay. An inactive one may be replaced by an active seat, but is not
// removed without replacement while its seat exists: a daemon that is isolated from all
// peers must not shrink the quorum to itself, because then no other daemon could consent
// to a reclaim.
func (m *Membership) chooseQuorum(s *heldSeat) []fleet.SeatID {
	quorum := []fleet.SeatID{s.id}
	incarnations := map[string]bool{m.cfg.Incarnation: true}
	selected := map[fleet.SeatID]bool{s.id: true}
	add := func(known *cellSeat) {
		if !selected[known.id] && !m.deleted[known.id] && len(quorum) < maxQuorum {
			quorum = append(quorum, known.id)
			selected[known.id] = true
			incarnations[known.incarnation] = true
		}
	}
	old := map[fleet.SeatID]bool{}
	for _, id := range s.quorum {
		old[id] = true
		if known := m.cellSeats[id]; known != nil && m.activeSeat(known) && !incarnations[known.incarnation] {
			add(known)
		}
	}
	ranked := m.rankedSeats(string(s.id))
	for _, known := range ranked {
		if m.activeSeat(known) && !known.marked && !incarnations[known.incarnation] {
			add(known)
		}
	}
	for _, known := range ranked {
		if old[known.id] && !known.marked && known.incarnation != m.cfg.Incarnation {
			add(known)
		}
	}
	return quorum
}

// quorumOutdated reports whether the quorum must be written before the renewal is due:
// the first daemon of a cell has only itself in the quorum, and a deleted seat cannot vote.
func (m *Membership) quorumOutdated(s *heldSeat) bool {
	if !s.created() {
		return false
	}
	if len(s.quorum) < maxQuorum && len(m.chooseQuorum(s)) > len(s.quorum) {
		return true
	}
	for _, voter := range s.quorum {
		if m.deleted[voter] {
			return true
		}
	}
	return false
}
