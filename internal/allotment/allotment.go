package allotment

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/peerapi/oas"
)

// noCap is the cap of a seat whose units may all be used.
const noCap = -1

// seatUnits are the units of one team under one seat of this daemon.
type seatUnits struct {
	// units is the number that may be in use. It is never above the entry of the
	// record, also after writes whose outcome is not known.
	units int
	// cap holds new work below units while the entry is to be lowered.
	cap     int
	running int
	// reserved units are in use at the daemon that handed the seat over, at most until reservedUntil.
	reserved      int
	reservedUntil time.Time
	// uncertain is set while a write with an unknown outcome may still apply after
	// the version fence. The next confirmed write, or a record of another version, ends it.
	uncertain bool
	fence     uint64
	// imported units stay uncertain until this daemon's own confirmed write, because
	// the version on which the earlier holder's last write was based is not known here.
	imported bool
	// awaited is set until membership lists an imported seat.
	awaited bool
	// missingSince is when membership no longer listed the seat.
	missingSince time.Time
	// exported is set when the seat was handed over; running work goes on.
	exported bool
}

func (u *seatUnits) inUse(now time.Time) int {
	if now.Before(u.reservedUntil) {
		return u.running + u.reserved
	}
	return u.running
}

// usable is the number of units that work may take.
func (u *seatUnits) usable() int {
	if u.cap != noCap {
		return min(u.units, u.cap)
	}
	return u.units
}

// team is the state of one team on this daemon.
type team struct {
	id     fleet.TeamID
	seats  map[fleet.SeatID]*seatUnits
	record *record
	// readAt is when the record was last read or written.
	readAt time.Time
	// revision is the newest configuration seen; stale is set when one in between was
	// skipped, which may have raised the limit and the entries of others.
	revision uint64
	stale    bool
	queued   int
	// missed is set when a request found no unit since the last adjustment.
	missed bool
	// peak is the largest demand since peakSince, lastPeak that of the idle time before.
	peak, lastPeak int
	peakSince      time.Time
	// outdated is set after a conflict until the record was read again. Another write
	// before that would fail for certain and use up the budget that the read needs.
	outdated bool
	// tryAfter and backoff space the attempts that gain nothing; triedAt is the last one.
	tryAfter time.Time
	triedAt  time.Time
	backoff  time.Duration
}

// Allotments is the Limiter over the seats of one daemon.
type Allotments struct {
	cfg Config
	log logrus.FieldLogger

	mu    sync.Mutex
	teams map[fleet.TeamID]*team
	subs  map[chan struct{}]struct{}
	// tokens is the budget of store writes.
	tokens   float64
	refilled time.Time
	wake     chan struct{}
	// askedAt and asked are the time and number of the heartbeats sent to get spare units.
	askedAt time.Time
	asked   int
}

var _ Limiter = (*Allotments)(nil)

// New returns an Allotments that holds no units until Run.
func New(cfg Config) *Allotments {
	cfg = cfg.withDefaults()
	return &Allotments{
		cfg: cfg, log: cfg.Logger, teams: map[fleet.TeamID]*team{}, subs: map[chan struct{}]struct{}{},
		tokens: float64(cfg.WriteBurst), refilled: time.Now(), wake: make(chan struct{}, 1),
	}
}

func (a *Allotments) team(id fleet.TeamID) *team {
	t := a.teams[id]
	if t == nil {
		t = &team{id: id, seats: map[fleet.SeatID]*seatUnits{}, peakSince: time.Now()}
		a.teams[id] = t
	}
	return t
}

func (t *team) seat(id fleet.SeatID) *seatUnits {
	u := t.seats[id]
	if u == nil {
		u = &seatUnits{cap: noCap}
		t.seats[id] = u
	}
	return u
}

// Unit is one unit of a team's allotment in use by one request.
type Unit struct {
	a    *Allotments
	seat fleet.SeatID
	u    *seatUnits
	once sync.Once
}

// Release gives the unit back; it is called when the exchange with the endpoint has ended.
func (n *Unit) Release() { n.once.Do(func() { n.a.release(n.u) }) }

// StillValid reports whether the request may be sent now under the unit's own seat.
func (n *Unit) StillValid() bool { return n.a.cfg.Seats.SeatSendPermitted(n.seat) }

// TryAcquireUnit is TryAcquire with a check of the right for each request, so
// that old work under a lost or handed-over seat does not hold up work under another.
func (a *Allotments) TryAcquireUnit(id fleet.TeamID) (*Unit, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.acquire(id, false)
	return n, n != nil
}

// TryAcquire takes one unit of the team's allotment for one request.
func (a *Allotments) TryAcquire(id fleet.TeamID) (release func(), ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.acquire(id, true)
	if n == nil {
		return nil, false
	}
	return n.Release, true
}

// acquire takes a unit. allRights asks that StillValid holds for the whole team.
func (a *Allotments) acquire(id fleet.TeamID, allRights bool) *Unit {
	t := a.teams[id]
	if t == nil {
		if _, exists := a.limit(id); !exists {
			return nil
		}
		t = a.team(id)
	}
	seat, u := a.freeUnit(t)
	if u == nil || (allRights && !a.rightOf(t)) {
		if !t.missed {
			t.missed = true
			a.requestStep()
		}
		return nil
	}
	u.running++
	return &Unit{a: a, seat: seat, u: u}
}

// freeUnit returns a seat that may start one more request of the team now.
func (a *Allotments) freeUnit(t *team) (fleet.SeatID, *seatUnits) {
	if !a.withinLimit(t) {
		return "", nil
	}
	now := time.Now()
	for _, s := range a.sortedSeats(t) {
		u := t.seats[s]
		if !u.exported && u.inUse(now) < u.usable() && a.cfg.Seats.SeatStartPermitted(s) {
			return s, u
		}
	}
	return "", nil
}

func (a *Allotments) sortedSeats(t *team) []fleet.SeatID {
	ids := make([]fleet.SeatID, 0, len(t.seats))
	for s := range t.seats {
		ids = append(ids, s)
	}
	slices.Sort(ids)
	return ids
}

func (a *Allotments) release(u *seatUnits) {
	a.mu.Lock()
	u.running--
	a.mu.Unlock()
	a.notify()
}

// StillValid reports whether the right of every seat under which the team has
// work on this daemon still holds. A request does not say under which seat it
// runs, so TryAcquire starts nothing either while one of them is without right.
func (a *Allotments) StillValid(id fleet.TeamID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.teams[id]
	return t != nil && a.rightOf(t)
}

func (a *Allotments) rightOf(t *team) bool {
	for s, u := range t.seats {
		if u.running > 0 && !a.cfg.Seats.SeatSendPermitted(s) {
			return false
		}
	}
	return true
}

// SetDemand tells how many requests of the team are queued on this daemon.
func (a *Allotments) SetDemand(id fleet.TeamID, queued int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.team(id)
	rises := queued > t.queued
	t.queued = queued
	if _, free := a.freeUnit(t); rises && free == nil {
		a.requestStep()
	}
}

// Usage returns running requests and units of the team on this daemon.
func (a *Allotments) Usage(id fleet.TeamID) (running, units int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t := a.teams[id]; t != nil {
		running, units = t.usage(time.Now())
	}
	return running, units
}

// Holders returns the units of the team by seat, as of the last reading of the
// team's record. The result is nil before the first one.
func (a *Allotments) Holders(id fleet.TeamID) map[fleet.SeatID]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t := a.teams[id]; t != nil && t.record != nil {
		return maps.Clone(t.record.Holders)
	}
	return nil
}

// Queued returns the queued requests of the team on this daemon.
func (a *Allotments) Queued(id fleet.TeamID) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t := a.teams[id]; t != nil {
		return t.queued
	}
	return 0
}

// usage counts running requests of this daemon, also of exported seats, and the
// units that its own requests may use.
func (t *team) usage(now time.Time) (running, units int) {
	for _, u := range t.seats {
		running += u.running
		if !u.exported {
			units += max(0, u.units-(u.inUse(now)-u.running))
		}
	}
	return running, units
}

// TeamRows returns the rows that heartbeats carry to peers.
func (a *Allotments) TeamRows() []oas.TeamRow {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	rows := make([]oas.TeamRow, 0, len(a.teams))
	for _, t := range a.teams {
		running, units := t.usage(now)
		rows = append(rows, oas.TeamRow{Team: string(t.id), Units: units, Running: running, Queued: t.queued})
	}
	slices.SortFunc(rows, func(x, y oas.TeamRow) int { return cmp.Compare(x.Team, y.Team) })
	return rows
}

// Subscribe returns a channel that receives a value when a unit may have become free.
func (a *Allotments) Subscribe() (<-chan struct{}, func()) {
	ch := make(chan struct{}, 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.subs[ch] = struct{}{}
	return ch, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.subs, ch)
	}
}

func (a *Allotments) notify() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for ch := range a.subs {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// requestStep asks Run to look at the teams soon.
func (a *Allotments) requestStep() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// limit returns the limit in force and whether the team exists.
func (a *Allotments) limit(id fleet.TeamID) (int, bool) {
	c := a.cfg.Config.Current()
	if c == nil {
		return 0, false
	}
	t, ok := c.Teams[id]
	return max(0, t.Limit), ok
}

func (a *Allotments) revision() uint64 {
	if c := a.cfg.Config.Current(); c != nil {
		return c.Revision
	}
	return 0
}

// effectiveLimit returns the limit in force. A record of a newer configuration
// than this daemon's counts more than its own.
func (a *Allotments) effectiveLimit(t *team) (int, bool) {
	limit, ok := a.limit(t.id)
	if ok && t.record != nil && t.record.Revision > a.revision() {
		limit = t.record.Limit
	}
	return limit, ok
}

// withinLimit reports whether the record allows new work. The record's limit
// bounds every raise, so after a lowered limit nothing starts before the record
// carries the lower one: a daemon that has not yet learned of it could still raise.
func (a *Allotments) withinLimit(t *team) bool {
	if rev := a.revision(); rev != t.revision {
		t.stale = t.stale || (t.revision != 0 && rev > t.revision+1)
		t.revision = rev
	}
	if t.stale && a.cfg.Seats.StoreVisible() {
		return false
	}
	limit, ok := a.effectiveLimit(t)
	return ok && t.record != nil && t.record.Limit <= limit && t.record.sum() <= limit
}
