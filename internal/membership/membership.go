package membership

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/peerapi/oas"
)

// cellSeat is the latest state of a seat of the cell that this daemon has observed.
type cellSeat struct {
	id          fleet.SeatID
	daemon      string
	incarnation string
	address     string
	zone        fleet.AvailabilityZone
	renewal     int64
	moves       int64
	marked      bool
	// reported is set if the last heartbeat of the occupant listed the seat.
	reported      bool
	firstObserved time.Time
}

// Membership maintains the seats of this daemon and its view of the cell.
type Membership struct {
	cfg   Config
	store *contactStore
	log   logrus.FieldLogger

	allotments      Allotments
	claims          Claims
	rejectedDesigns rejectedDesigns

	mu        sync.Mutex
	held      map[fleet.SeatID]*heldSeat
	exported  map[fleet.SeatID]*heldSeat
	cellSeats map[fleet.SeatID]*cellSeat
	peers     map[string]*peer
	clients   map[string]Peer
	epoch     uint64
	view      View
	subs      notifier
	rowSubs   notifier
	// lastContact is when the last request was sent to which the store or a peer replied, or when the last request of a
	// peer arrived.
	lastContact     time.Time
	leaving         bool
	heartbeatRounds int
	runTimes        runTimes
	observed        map[fleet.SeatID]*observation
	// declaredGone holds the number of handovers of each seat whose occupant was declared gone. A
	// later occupant, after more handovers, is not gone.
	declaredGone map[fleet.SeatID]int64
	// deleted holds seats that no longer exist and may still be in a quorum.
	deleted      map[fleet.SeatID]bool
	reports      map[fleet.SeatID]*handoverReport
	background   sync.WaitGroup
	lastBalanced time.Time
	lastList     time.Time
	lastHosts    time.Time

	// handoverMu serialises incoming handovers.
	handoverMu sync.Mutex
	handovers  map[string]bool

	// runCtx is the context of Run; stopped is set before Run waits for its background work.
	runCtx  context.Context
	stopped bool
}

// New returns a Membership that is inactive until Run is called.
func New(cfg Config) *Membership {
	cfg = cfg.withDefaults()
	m := &Membership{
		cfg: cfg, log: cfg.Log.WithField("daemon", cfg.Daemon),
		held: map[fleet.SeatID]*heldSeat{}, exported: map[fleet.SeatID]*heldSeat{},
		cellSeats: map[fleet.SeatID]*cellSeat{}, peers: map[string]*peer{}, clients: map[string]Peer{},
		observed: map[fleet.SeatID]*observation{}, declaredGone: map[fleet.SeatID]int64{}, deleted: map[fleet.SeatID]bool{},
		reports: map[fleet.SeatID]*handoverReport{}, handovers: map[string]bool{},
	}
	m.store = &contactStore{Store: cfg.Store, contact: m.recordStoreContact}
	return m
}

// Attach sets the owners of the state that is transferred with a seat; c may be nil. It
// must be called before Run.
func (m *Membership) Attach(a Allotments, c Claims) { m.allotments, m.claims = a, c }

// Run maintains the seats until ctx is done. It does not release them; see Leave.
func (m *Membership) Run(ctx context.Context) error {
	m.mu.Lock()
	m.runCtx = ctx
	m.mu.Unlock()
	m.join(ctx)
	loops := []struct {
		interval time.Duration
		step     func(context.Context)
	}{
		{m.cfg.HeartbeatInterval, m.heartbeatStep},
		{m.cfg.HeartbeatInterval, m.renewDue},
		{m.cfg.HeartbeatInterval, m.listIfDue},
		{m.cfg.HeartbeatInterval, m.reclaimStep},
		{m.cfg.HeartbeatInterval, m.balanceStep},
	}
	var wg sync.WaitGroup
	for _, l := range loops {
		wg.Go(func() {
			t := time.NewTicker(l.interval)
			defer t.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-t.C:
					l.step(ctx)
				}
			}
		})
	}
	wg.Wait()
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	m.background.Wait()
	return ctx.Err()
}

// join reads the seats, contacts their occupants and creates a seat.
func (m *Membership) join(ctx context.Context) {
	listed := m.listSeats(ctx)
	m.heartbeatAll(ctx)
	if listed {
		m.createSeat(ctx)
	}
}

// call returns a context with the timeout of one call to the store or to a peer, so that
// a stalled call delays no loop.
func (m *Membership) call(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, m.cfg.HeartbeatInterval)
}

// runInBackground runs f in the background with the context of Run.
func (m *Membership) runInBackground(f func(ctx context.Context)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runInBackgroundLocked(f)
}

// runInBackgroundLocked is runInBackground for callers that hold m.mu. The lock orders it
// before the final wait of Run, because messages of peers still arrive then.
func (m *Membership) runInBackgroundLocked(f func(ctx context.Context)) {
	ctx := m.runCtx
	if ctx == nil || ctx.Err() != nil || m.stopped {
		return
	}
	m.background.Go(func() { f(ctx) })
}

func (m *Membership) createSeat(ctx context.Context) {
	m.mu.Lock()
	if len(m.held) > 0 || m.leaving {
		m.mu.Unlock()
		return
	}
	s := newHeldSeat(fleet.SeatID(newID()))
	m.held[s.id] = s
	m.mu.Unlock()
	m.renewLogged(ctx, s)
	m.mu.Lock()
	created := s.created()
	m.mu.Unlock()
	if created {
		// Daemons that start at the same time may have listed the seats before the
		// others created theirs.
		m.listSeats(ctx)
		m.heartbeatAll(ctx)
	}
}

// renewDue renews the seats whose last renewal is older than the renewal interval.
func (m *Membership) renewDue(ctx context.Context) {
	m.mu.Lock()
	now := time.Now()
	var due []*heldSeat
	for _, s := range m.held {
		if m.quorumOutdated(s) || now.Sub(s.renewedAt) >= m.cfg.RenewalInterval-m.cfg.HeartbeatInterval/2 {
			due = append(due, s)
		}
	}
	none := len(m.held) == 0 && !m.leaving
	m.mu.Unlock()
	var wg sync.WaitGroup
	for _, s := range due {
		wg.Go(func() { m.renewLogged(ctx, s) })
	}
	wg.Wait()
	if none && m.listSeats(ctx) {
		m.createSeat(ctx)
	}
}

func (m *Membership) renewLogged(ctx context.Context, s *heldSeat) {
	ctx, cancel := m.call(ctx)
	defer cancel()
	if err := m.renewSeat(ctx, s); err != nil {
		m.log.WithError(err).WithField("seat", s.id).Debug("seat not renewed")
	}
}

// View returns this daemon's view of the seats of the cell.
func (m *Membership) View() View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view
}

// Subscribe returns a channel that receives a value after each change of the view.
func (m *Membership) Subscribe() (<-chan struct{}, func()) { return m.subs.subscribe() }

// refreshView recomputes the view and notifies the subscribers if it has changed.
func (m *Membership) refreshView() {
	members := make([]Member, 0, len(m.cellSeats))
	for _, known := range m.cellSeats {
		self := m.held[known.id] != nil
		members = append(members, Member{
			Seat: known.id, Daemon: known.daemon, Incarnation: known.incarnation, PeerAddress: known.address, Zone: known.zone,
			Active: self || m.activeSeat(known), Self: self,
		})
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Seat, b.Seat) })
	if slices.Equal(members, m.view.Members) {
		return
	}
	m.epoch++
	m.view = View{Epoch: m.epoch, Members: members}
	m.subs.notify()
}

func (m *Membership) activeSeat(known *cellSeat) bool {
	if known.incarnation == m.cfg.Incarnation {
		return m.held[known.id] != nil
	}
	p := m.peers[known.incarnation]
	return p != nil && p.active && known.reported && !known.marked
}

// recordOwnSeat adds a seat of this daemon to the seats of the cell.
func (m *Membership) recordOwnSeat(s *heldSeat) {
	m.cellSeats[s.id] = &cellSeat{
		id: s.id, daemon: m.cfg.Daemon, incarnation: m.cfg.Incarnation, address: m.cfg.PeerAddress,
		zone: m.cfg.Zone, renewal: s.renewal, moves: s.moves, reported: true, firstObserved: time.Now(),
	}
}

// LastContact returns when the last request was sent to which the store or a peer replied, or when the last request
// of a peer arrived. A reply may arrive long after its request, for example after a pause of this process.
func (m *Membership) LastContact() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastContact
}

// StoreReachable reports whether the store responded to the last call.
func (m *Membership) StoreReachable() bool { return m.store.reachable() }

func (m *Membership) recordStoreContact(sent time.Time, recovered bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordContact(sent)
	if recovered {
		// A record that was not renewed during the store outage does not show that its
		// occupant has failed.
		clear(m.observed)
	}
}

// recordContact records a contact of the given time. The caller holds mu.
func (m *Membership) recordContact(at time.Time) {
	if at.After(m.lastContact) {
		m.lastContact = at
	}
}

// Seats returns the observed seats of the cell, for snapshots sent to peers.
func (m *Membership) Seats() []oas.SeatState {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]oas.SeatState, 0, len(m.cellSeats))
	for _, known := range m.cellSeats {
		out = append(out, oas.SeatState{
			Seat: string(known.id), Daemon: known.daemon, Incarnation: known.incarnation, PeerAddress: known.address,
			AvailabilityZone: string(known.zone), Renewal: known.renewal, Moves: oas.NewOptInt64(known.moves),
		})
	}
	return out
}

// MergeSeats merges the seats of a peer's snapshot, so that a daemon that starts during a
// store outage discovers its peers.
func (m *Membership) MergeSeats(seats []oas.SeatState) {
	m.mu.Lock()
	for _, s := range seats {
		m.mergeSeatState(s)
	}
	m.mu.Unlock()
	m.runInBackground(m.heartbeatAll)
}

// rankedSeats returns the seats of the cell in rendezvous order for key.
func (m *Membership) rankedSeats(key string) []*cellSeat {
	out := make([]*cellSeat, 0, len(m.cellSeats))
	for _, known := range m.cellSeats {
		out = append(out, known)
	}
	slices.SortFunc(out, func(a, b *cellSeat) int {
		return cmp.Or(cmp.Compare(score(key, string(a.id)), score(key, string(b.id))), cmp.Compare(a.id, b.id))
	})
	return out
}

func score(a, b string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(a))
	h.Write([]byte{0})
	h.Write([]byte(b))
	// FNV maps similar inputs to close values; the multiplication spreads them.
	x := h.Sum64()
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

func sortSeats(ids []fleet.SeatID) { slices.Sort(ids) }

// newID returns 64 random bits in hexadecimal. Seat IDs are never reused.
func newID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
