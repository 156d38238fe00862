package membership

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/peerapi/oas"
)

const (
	// maxTeamRows limits the team rows of one heartbeat; the others follow in later ones.
	maxTeamRows = 8
	// rowRefreshIntervals is the number of heartbeat intervals after which an unchanged row
	// is sent again, because the reply that carried it may have been lost.
	rowRefreshIntervals = 15
	// maxProbes is the number of failed probes after which a peer becomes inactive.
	maxProbes = 3
	// forgetAfterFailureTimes is the number of failure times after which an inactive daemon
	// without seats is removed.
	forgetAfterFailureTimes = 20
)

// peer is another daemon, identified by its incarnation. Membership.mu guards it.
type peer struct {
	daemon      string
	incarnation string
	address     string
	zone        fleet.AvailabilityZone
	leaving     bool
	active      bool
	probing     bool
	// suspect is set if this daemon's own last exchange with the peer failed. Only such
	// peers are reported to others: passing on reports of third parties would keep all
	// daemons probing each other.
	suspect bool
	// supersededAt is when another incarnation was recorded at the same address, or zero. Only the reply to a request
	// that was sent later shows that this one is there.
	supersededAt  time.Time
	lastSeen      time.Time
	lastHeartbeat time.Time
	rows          map[string]oas.TeamRow
	sent          map[string]sentRow
}

type sentRow struct {
	row oas.TeamRow
	at  time.Time
	// repeated is set if the same row was sent before, so that a delayed earlier message
	// cannot replace it at the peer.
	repeated bool
	// delivered is set once the peer has replied to a request with a repeated row. A row without
	// units and demand is repeated until then.
	delivered bool
}

// PeerRows holds the team rows received from one peer.
type PeerRows struct {
	Daemon      string
	Incarnation string
	PeerAddress string
	Active      bool
	// Leaving daemons start no new work under their seats.
	Leaving bool
	Rows    []oas.TeamRow
}

// PeerTeamRows returns the last rows received from each peer.
func (m *Membership) PeerTeamRows() []PeerRows {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]PeerRows, 0, len(m.peers))
	for _, p := range m.peers {
		r := PeerRows{
			Daemon: p.daemon, Incarnation: p.incarnation, PeerAddress: p.address,
			Active: p.active, Leaving: p.leaving,
		}
		for _, row := range p.rows {
			r.Rows = append(r.Rows, row)
		}
		slices.SortFunc(r.Rows, func(a, b oas.TeamRow) int { return cmp.Compare(a.Team, b.Team) })
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b PeerRows) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return out
}

// SubscribeRows returns a channel that receives a value after rows of a peer changed.
func (m *Membership) SubscribeRows() (<-chan struct{}, func()) { return m.rowSubs.subscribe() }

// heartbeatStep exchanges one heartbeat with the peer whose last one is the oldest.
// Voters of this daemon's seats have precedence, so that each voter vouches well within
// the vouch lifetime in a cell of any size; one heartbeat in maxQuorum (7) goes to
// another peer.
func (m *Membership) heartbeatStep(ctx context.Context) {
	m.mu.Lock()
	m.forgetPeers()
	m.heartbeatRounds++
	var candidates, others []*peer
	isVoter := m.voterIncarnations()
	for _, p := range m.peers {
		if isVoter[p.incarnation] {
			candidates = append(candidates, p)
		} else {
			others = append(others, p)
		}
	}
	if len(others) > 0 && (len(candidates) == 0 || m.heartbeatRounds%maxQuorum == 0) {
		candidates = others
	}
	var next *peer
	for _, p := range candidates {
		if next == nil || p.lastHeartbeat.Before(next.lastHeartbeat) {
			next = p
		}
	}
	m.mu.Unlock()
	if next != nil {
		m.runInBackground(func(ctx context.Context) { m.exchangeOrProbe(ctx, next) })
	}
}

// voterIncarnations returns the occupants of the seats that vote for this daemon's seats.
func (m *Membership) voterIncarnations() map[string]bool {
	out := map[string]bool{}
	for _, s := range m.held {
		for _, quorum := range [][]fleet.SeatID{s.quorum, s.inheritedQuorum} {
			for _, voter := range quorum {
				if known := m.cellSeats[voter]; known != nil {
					out[known.incarnation] = true
				}
			}
		}
	}
	return out
}

// heartbeatAll exchanges a heartbeat with every peer concurrently. It is used at start
// and after a change of this daemon's seats.
func (m *Membership) heartbeatAll(ctx context.Context) {
	m.mu.Lock()
	peers := make([]*peer, 0, len(m.peers))
	for _, p := range m.peers {
		peers = append(peers, p)
	}
	m.mu.Unlock()
	var wg sync.WaitGroup
	for _, p := range peers {
		wg.Go(func() { m.exchangeOrProbe(ctx, p) })
	}
	wg.Wait()
}

// HeartbeatNow exchanges a heartbeat with the given incarnations immediately.
func (m *Membership) HeartbeatNow(incarnations ...string) {
	m.mu.Lock()
	var peers []*peer
	for _, incarnation := range incarnations {
		if p := m.peers[incarnation]; p != nil && p.active {
			peers = append(peers, p)
		}
	}
	m.mu.Unlock()
	for _, p := range peers {
		m.runInBackground(func(ctx context.Context) { m.exchangeOrProbe(ctx, p) })
	}
}

// Probe starts a check of the peer after a forwarded request could not connect to it.
func (m *Membership) Probe(peerAddress string) {
	m.mu.Lock()
	var found *peer
	for _, p := range m.peers {
		if p.address == peerAddress && p.active {
			found = p
		}
	}
	m.mu.Unlock()
	if found != nil {
		m.runInBackground(func(ctx context.Context) { m.probe(ctx, found, time.Now()) })
	}
}

func (m *Membership) exchangeOrProbe(ctx context.Context, p *peer) {
	start := time.Now()
	if m.exchange(ctx, p) != nil {
		m.probe(ctx, p, start)
	}
}

// probe repeats the heartbeat at each interval until the peer replies or becomes inactive.
func (m *Membership) probe(ctx context.Context, p *peer, start time.Time) {
	m.mu.Lock()
	if p.probing || !p.active {
		m.mu.Unlock()
		return
	}
	p.probing = true
	m.mu.Unlock()
	defer func() { m.mu.Lock(); p.probing = false; m.mu.Unlock() }()
	for failed := 0; failed < maxProbes && time.Since(start) < m.cfg.FailureTime; failed++ {
		next := time.Now().Add(m.cfg.HeartbeatInterval)
		if m.exchange(ctx, p) == nil {
			return
		}
		if failed == maxProbes-1 {
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.active && p.lastSeen.Before(start) {
		p.active = false
		m.log.WithFields(map[string]any{
			"peer": p.daemon, "address": p.address, "incarnation": p.incarnation, "silent_ms": time.Since(p.lastSeen).Milliseconds(),
		}).Warn("peer inactive")
		m.refreshView()
	}
}

// exchange sends one heartbeat and processes the reply.
func (m *Membership) exchange(ctx context.Context, p *peer) error {
	ctx, cancel := m.call(ctx)
	defer cancel()
	rows := m.teamRows()
	m.mu.Lock()
	now := time.Now()
	p.lastHeartbeat = now
	msg := m.heartbeatFor(p, rows, now)
	address, self := p.address, m.cfg.Incarnation
	m.mu.Unlock()
	client, err := m.client(address)
	if err != nil {
		return err
	}
	sent := time.Now()
	reply, err := client.Heartbeat(ctx, msg)
	if err != nil {
		m.mu.Lock()
		p.requestEnded(msg, now, false)
		p.suspect = true
		m.mu.Unlock()
		return err
	}
	if reply.State.Incarnation == self {
		return fmt.Errorf("heartbeat to %s at %s: the address is that of this daemon", p.incarnation, address)
	}
	defer m.notifyPeerState(&reply.State)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordPeer(&reply.State, sent)
	p.requestEnded(msg, now, reply.State.Incarnation == p.incarnation)
	for _, vouch := range reply.Vouched {
		if s := m.held[fleet.SeatID(vouch.Seat)]; s != nil && s.vouches[fleet.SeatID(vouch.Voter)].Before(sent) {
			s.vouches[fleet.SeatID(vouch.Voter)] = sent
		}
	}
	if reply.State.Incarnation != p.incarnation {
		return fmt.Errorf("heartbeat to %s at %s: the process at the address is %s", p.incarnation, address, reply.State.Incarnation)
	}
	return nil
}

func (m *Membership) client(address string) (Peer, error) {
	m.mu.Lock()
	c := m.clients[address]
	m.mu.Unlock()
	if c != nil {
		return c, nil
	}
	c, err := m.cfg.Dial(address)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	m.clients[address] = c
	m.mu.Unlock()
	return c, nil
}

// heartbeatFor returns this daemon's heartbeat for p and records its team rows as sent to p.
// The identity fields of its own seats stay empty: they equal those of the heartbeat.
func (m *Membership) heartbeatFor(p *peer, rows []oas.TeamRow, now time.Time) *oas.Heartbeat {
	h := &oas.Heartbeat{
		Daemon: m.cfg.Daemon, Incarnation: m.cfg.Incarnation, PeerAddress: m.cfg.PeerAddress,
		AvailabilityZone: string(m.cfg.Zone), Seats: []oas.SeatState{}, StoreVisible: m.store.reachable(),
	}
	if m.leaving {
		h.Leaving = oas.NewOptBool(true)
	}
	if c := m.cfg.Config.Current(); c != nil {
		h.Revision = int64(c.Revision)
	}
	if m.cfg.RevokedCount != nil {
		h.Revoked = oas.NewOptInt(m.cfg.RevokedCount())
	}
	for _, s := range m.held {
		if s.created() {
			st := oas.SeatState{Seat: string(s.id), Renewal: s.renewal}
			if s.moves > 0 {
				st.Moves = oas.NewOptInt64(s.moves)
			}
			h.Seats = append(h.Seats, st)
		}
	}
	for _, other := range m.peers {
		if (other.suspect || !other.active) && other != p && m.occupies(other.incarnation) {
			h.Inactive = append(h.Inactive, other.incarnation)
		}
	}
	h.Teams = m.rowsFor(p, rows, now)
	return h
}

// teamRows returns the team rows of this daemon. It must be called without m.mu, because
// the limiter checks permissions while it holds its own lock.
func (m *Membership) teamRows() []oas.TeamRow {
	if m.allotments == nil {
		return nil
	}
	return m.allotments.TeamRows()
}

func (m *Membership) notifyPeerState(h *oas.Heartbeat) {
	if m.cfg.OnPeerState != nil {
		m.cfg.OnPeerState(h)
	}
}

// rowsFor returns up to maxTeamRows rows that p does not have, and records them as sent to
// p. If there are more, those sent least recently come first.
func (m *Membership) rowsFor(p *peer, all []oas.TeamRow, now time.Time) []oas.TeamRow {
	refresh := rowRefreshIntervals * m.cfg.HeartbeatInterval
	var rows []oas.TeamRow
	for _, r := range all {
		last, ok := p.sent[r.Team]
		empty := r.Units == 0 && r.Running == 0 && r.Queued == 0
		due := last.row != r || (now.Sub(last.at) > refresh && !(empty && last.delivered))
		if (ok && due) || (!ok && !empty) {
			rows = append(rows, r)
		}
	}
	if len(rows) > maxTeamRows {
		slices.SortStableFunc(rows, func(a, b oas.TeamRow) int {
			return p.sent[a.Team].at.Compare(p.sent[b.Team].at)
		})
		rows = rows[:maxTeamRows]
	}
	for _, r := range rows {
		last, ok := p.sent[r.Team]
		p.sent[r.Team] = sentRow{row: r, at: now, repeated: ok && last.row == r}
	}
	return rows
}

// requestEnded records whether the rows of a request that was sent at the given time have
// certainly reached the peer. Rows that may be lost are due again at once.
func (p *peer) requestEnded(msg *oas.Heartbeat, at time.Time, received bool) {
	for _, r := range msg.Teams {
		last := p.sent[r.Team]
		switch {
		case !received:
			last.at = time.Time{}
		case last.at.Equal(at):
			last.delivered = last.repeated
		}
		p.sent[r.Team] = last
	}
}

// Heartbeat replies to a peer and vouches for its seats.
func (m *Membership) Heartbeat(_ context.Context, req *oas.Heartbeat) (*oas.HeartbeatReply, error) {
	rows := m.teamRows()
	if req.Incarnation != m.cfg.Incarnation {
		defer m.notifyPeerState(req)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if req.Incarnation != m.cfg.Incarnation {
		m.recordPeer(req, time.Time{})
	}
	now := time.Now()
	reply := &oas.HeartbeatReply{Vouched: []oas.Vouch{}}
	for _, voter := range m.held {
		if !voter.created() {
			continue
		}
		for _, st := range req.Seats {
			if m.vouch(voter, fleet.SeatID(st.Seat), st.Renewal, now) {
				reply.Vouched = append(reply.Vouched, oas.Vouch{Voter: string(voter.id), Seat: st.Seat})
			}
		}
	}
	p := m.peers[req.Incarnation]
	if p == nil {
		p = &peer{sent: map[string]sentRow{}}
	}
	reply.State = *m.heartbeatFor(p, rows, now)
	return reply, nil
}

// vouch promises not to consent to a reclaim of the seat for the vouch lifetime and margin,
// and reports whether it did. It refuses if this daemon holds the seat or if the voter has
// consented to the reclaim of this or a later renewal. A holder whose last write has an unknown
// outcome sends the previous counter, so earlier counters are refused too.
func (m *Membership) vouch(voter *heldSeat, seat fleet.SeatID, renewal int64, now time.Time) bool {
	if renewal <= m.consentedTo(voter, seat) || m.held[seat] != nil {
		return false
	}
	m.promise(voter, seat, now)
	return true
}

// recordPeer records the state received from a peer, in the reply to a request that was sent at a time, or in
// a request of the peer if that is zero. A message of an incarnation that was replaced at its address may arrive late.
func (m *Membership) recordPeer(h *oas.Heartbeat, sent time.Time) {
	now := time.Now()
	p := m.peers[h.Incarnation]
	if p == nil {
		p = &peer{incarnation: h.Incarnation, sent: map[string]sentRow{}, rows: map[string]oas.TeamRow{}}
		m.peers[h.Incarnation] = p
	}
	if !p.supersededAt.IsZero() && !sent.After(p.supersededAt) {
		m.ignoreSuperseded(p, now)
		return
	}
	if sent.IsZero() {
		m.recordContact(now)
	} else {
		m.recordContact(sent)
	}
	p.daemon, p.address, p.zone = h.Daemon, h.PeerAddress, fleet.AvailabilityZone(h.AvailabilityZone)
	p.active, p.suspect, p.lastSeen, p.supersededAt = true, false, now, time.Time{}
	// A daemon that leaves does not stay. An earlier message of it may arrive later.
	p.leaving = p.leaving || h.Leaving.Or(false)
	for _, other := range m.peers {
		// An address belongs to one process: an earlier incarnation at it has stopped.
		if other != p && other.address == p.address {
			other.active, other.supersededAt = false, now
		}
	}
	for _, known := range m.cellSeats {
		if known.incarnation == h.Incarnation {
			known.reported = false
		}
	}
	for _, st := range h.Seats {
		st.Daemon, st.Incarnation, st.PeerAddress = h.Daemon, h.Incarnation, h.PeerAddress
		st.AvailabilityZone = h.AvailabilityZone
		if known := m.mergeSeatState(st); known.incarnation == h.Incarnation {
			known.reported = true
		}
	}
	for _, incarnation := range h.Inactive {
		if other := m.peers[incarnation]; other != nil && other.active && !other.probing && now.Sub(other.lastHeartbeat) >= m.cfg.HeartbeatInterval {
			m.runInBackgroundLocked(func(ctx context.Context) { m.probe(ctx, other, time.Now()) })
		}
	}
	for _, r := range h.Teams {
		p.rows[r.Team] = r
	}
	if len(h.Teams) > 0 {
		m.rowSubs.notify()
	}
	m.refreshView()
}

// ignoreSuperseded handles a message of an incarnation that was replaced at its address. Which of two incarnations is there
// is certain only once the address was asked.
func (m *Membership) ignoreSuperseded(p *peer, now time.Time) {
	m.log.WithFields(map[string]any{
		"peer": p.daemon, "address": p.address, "incarnation": p.incarnation, "superseded_ms": now.Sub(p.supersededAt).Milliseconds(),
	}).Info("message of a replaced peer ignored")
	if now.Sub(p.lastHeartbeat) >= m.cfg.HeartbeatInterval {
		m.runInBackgroundLocked(func(ctx context.Context) { m.exchangeOrProbe(ctx, p) })
	}
}

// mergeSeatState merges a received state of one seat. The occupant with more handovers
// takes precedence, and the highest renewal counter is kept.
func (m *Membership) mergeSeatState(st oas.SeatState) *cellSeat {
	id := fleet.SeatID(st.Seat)
	known := m.cellSeats[id]
	if known == nil {
		known = &cellSeat{id: id, moves: -1, firstObserved: time.Now()}
		m.cellSeats[id] = known
	}
	moves := st.Moves.Or(0)
	if moves > known.moves {
		known.daemon, known.incarnation, known.address = st.Daemon, st.Incarnation, st.PeerAddress
		known.zone, known.moves, known.reported = fleet.AvailabilityZone(st.AvailabilityZone), moves, false
	}
	known.renewal = max(known.renewal, st.Renewal)
	if known.incarnation != m.cfg.Incarnation && m.peers[known.incarnation] == nil {
		m.peers[known.incarnation] = &peer{
			daemon: known.daemon, incarnation: known.incarnation, address: known.address, zone: known.zone,
			lastSeen: time.Now(), sent: map[string]sentRow{}, rows: map[string]oas.TeamRow{},
		}
	}
	return known
}

// occupies reports whether any seat of the cell has the incarnation as its occupant.
func (m *Membership) occupies(incarnation string) bool {
	for _, known := range m.cellSeats {
		if known.incarnation == incarnation {
			return true
		}
	}
	return false
}

// forgetPeers removes inactive daemons that occupy no seat.
func (m *Membership) forgetPeers() {
	for incarnation, p := range m.peers {
		if !p.active && !p.probing && time.Since(p.lastSeen) > forgetAfterFailureTimes*m.cfg.FailureTime && !m.occupies(incarnation) {
			delete(m.peers, incarnation)
		}
	}
}
