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

// noCap is the value of seatUnits.cap that imposes no cap.
const noCap = -1

// seatUnits holds the allotment units of one team under one seat of this daemon.
type seatUnits struct {
	// units is the number of units that may be in use. It never exceeds the seat's entry
	// in the record, even after writes with an unknown outcome.
	units int
	// cap limits new work to fewer than units while a lower entry is to be written.
	cap     int
	running int
	// inUseAtPreviousHolder counts units still in use at the daemon that handed the seat
	// over; it applies until previousHolderUntil at the latest.
	inUseAtPreviousHolder int
	previousHolderUntil   time.Time
	// uncertain is set while a write with an unknown outcome that was based on a version
	// up to fence may still be applied. The next confirmed write, or a record of a later
	// version, clears it.
	uncertain bool
	fence     uint64
	// imported is set on units taken over in a handover. They stay uncertain until a write
	// of this daemon is confirmed, because it does not know on which version the previous
	// holder's last write was based.
	imported bool
	// awaitingMembership is set on an imported seat until membership lists it.
	awaitingMembership bool
	// missingSince is when membership stopped listing the seat.
	missingSince time.Time
	// exported is set once the seat was handed over; its running work continues.
	exported bool
}

func (u *seatUnits) inUse(now time.Time) int {
	if now.Before(u.previousHolderUntil) {
		return u.running + u.inUseAtPreviousHolder
	}
	return u.running
}

// usable returns the number of units that may be in use at once: units, or cap if it is lower.
func (u *seatUnits) usable() int {
	if u.cap != noCap {
		return min(u.units, u.cap)
	}
	return u.units
}

// team holds the state of one team on this daemon.
type team struct {
	id     fleet.TeamID
	seats  map[fleet.SeatID]*seatUnits
	record *record
	// readAt is when the record was last read or written.
	readAt time.Time
	// revision is the newest configuration revision observed. stale is set when a revision in
	// between was skipped that may have raised the limit and other daemons' entries.
	revision uint64
	stale    bool
	queued   int
	// acquireFailed is set if a request has found no free unit since the last adjustment.
	acquireFailed bool
	// idlePeak and writePeak are the largest demands of the last one to two IdleTimes and
	// write intervals.
	idlePeak, writePeak recentPeak
	// readRequired is set after a conflict until the record has been read again. Another
	// write before that would certainly fail and use up the budget that the read needs.
	readRequired bool
	// retryAfter and backoff space out attempts that gain no unit; lastAttemptAt is the last one.
	retryAfter    time.Time
	lastAttemptAt time.Time
	backoff       time.Duration
}

// Allotments implements Limiter over the seats of one daemon.
type Allotments struct {
	cfg Config
	log logrus.FieldLogger

	mu    sync.Mutex
	teams map[fleet.TeamID]*team
	subs  map[chan struct{}]struct{}
	// writeBudget is the remaining budget, in store writes; a read costs readCost.
	writeBudget      float64
	budgetRefilledAt time.Time
	wake             chan struct{}
	// spareRequestedAt is when the last heartbeat was sent to request spare units;
	// spareRequests counts these heartbeats.
	spareRequestedAt time.Time
	spareRequests    int
}

var _ Limiter = (*Allotments)(nil)

// New returns Allotments that hold no units until Run is called.
func New(cfg Config) *Allotments {
	cfg = cfg.withDefaults()
	return &Allotments{
		cfg: cfg, log: cfg.Log, teams: map[fleet.TeamID]*team{}, subs: map[chan struct{}]struct{}{},
		writeBudget: float64(cfg.WriteBurst), budgetRefilledAt: time.Now(), wake: make(chan struct{}, 1),
	}
}

func (a *Allotments) team(id fleet.TeamID) *team {
	t := a.teams[id]
	if t == nil {
		t = &team{id: id, seats: map[fleet.SeatID]*seatUnits{}}
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

// Unit is one unit of a team's allotment, in use by one request.
type Unit struct {
	a     *Allotments
	seat  fleet.SeatID
	units *seatUnits
	once  sync.Once
}

// Release frees the unit. It is called when the exchange with the endpoint has ended.
func (u *Unit) Release() { u.once.Do(func() { u.a.release(u.units) }) }

// SendPermitted reports whether the request may be sent now under the unit's own seat.
func (u *Unit) SendPermitted() bool { return u.a.cfg.Seats.SeatSendPermitted(u.seat) }

// TryAcquireUnit is TryAcquire with a permission check for each request, so that
// remaining work under a lost or handed-over seat does not block work under another seat.
func (a *Allotments) TryAcquireUnit(id fleet.TeamID) (*Unit, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	unit := a.acquire(id, false)
	return unit, unit != nil
}

// TryAcquire acquires one unit of the team's allotment for one request.
func (a *Allotments) TryAcquire(id fleet.TeamID) (release func(), ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	unit := a.acquire(id, true)
	if unit == nil {
		return nil, false
	}
	return unit.Release, true
}

// acquire takes a unit. With wholeTeam, it also requires that SendPermitted holds for the team.
func (a *Allotments) acquire(id fleet.TeamID, wholeTeam bool) *Unit {
	t := a.teams[id]
	if t == nil {
		if _, exists := a.limit(id); !exists {
			return nil
		}
		t = a.team(id)
	}
	seat, u := a.freeUnit(t)
	if u == nil || (wholeTeam && !a.sendPermitted(t)) {
		if !t.acquireFailed {
			t.acquireFailed = true
			a.wakeRun()
		}
		return nil
	}
	u.running++
	return &Unit{a: a, seat: seat, units: u}
}

// freeUnit returns a seat under which one more request of the team may start now.
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

// SendPermitted reports whether every seat under which the team has work on this daemon
// still permits sending. Requests do not carry the seat under which they run, so
// TryAcquire also refuses units while one of these seats does not permit sending.
func (a *Allotments) SendPermitted(id fleet.TeamID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.teams[id]
	return t != nil && a.sendPermitted(t)
}

func (a *Allotments) sendPermitted(t *team) bool {
	for s, u := range t.seats {
		if u.running > 0 && !a.cfg.Seats.SeatSendPermitted(s) {
			return false
		}
	}
	return true
}

// SetDemand sets the number of the team's requests that are queued on this daemon.
func (a *Allotments) SetDemand(id fleet.TeamID, queued int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.team(id)
	rises := queued > t.queued
	t.queued = queued
	if _, free := a.freeUnit(t); rises && free == nil {
		a.wakeRun()
	}
}

// Usage returns the team's running requests and allotment units on this daemon.
func (a *Allotments) Usage(id fleet.TeamID) (running, units int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t := a.teams[id]; t != nil {
		running, units = t.usage(time.Now())
	}
	return running, units
}

// Holders returns the team's units by seat, as of the last time its record was read or
// written. It returns nil before the first time.
func (a *Allotments) Holders(id fleet.TeamID) map[fleet.SeatID]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t := a.teams[id]; t != nil && t.record != nil {
		return maps.Clone(t.record.Holders)
	}
	return nil
}

// Queued returns the number of the team's requests that are queued on this daemon.
func (a *Allotments) Queued(id fleet.TeamID) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t := a.teams[id]; t != nil {
		return t.queued
	}
	return 0
}

// usage counts the requests running on this daemon, including those under exported
// seats, and the units available to its own requests.
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

// wakeRun makes Run reconcile the teams soon.
func (a *Allotments) wakeRun() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// limit returns the team's limit in the current configuration and whether the team exists.
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

// effectiveLimit returns the limit in force. If the record was written with a newer
// configuration than this daemon's, the record's limit takes precedence.
func (a *Allotments) effectiveLimit(t *team) (int, bool) {
	limit, ok := a.limit(t.id)
	if ok && t.record != nil && t.record.Revision > a.revision() {
		limit = t.record.Limit
	}
	return limit, ok
}

// withinLimit records the configuration revision observed and reports whether the record
// permits new work. Raises keep the sum of the entries within the limit in the record. After
// a limit is lowered, nothing starts until the record carries the lower limit, because a
// daemon without the new configuration could still raise its entry.
func (a *Allotments) withinLimit(t *team) bool {
	if c := a.cfg.Config.Current(); c != nil && c.Revision != t.revision {
		// Revisions that did not change the team's account, such as new keys, did not raise its limit.
		t.stale = t.stale || (t.revision != 0 && c.Revision > t.revision+1 && c.LimitRevision(t.id) > t.revision)
		t.revision = c.Revision
	}
	if t.stale && a.cfg.Seats.StoreReachable() {
		return false
	}
	limit, ok := a.effectiveLimit(t)
	return ok && t.record != nil && t.record.Limit <= limit && t.record.sum() <= limit
}
