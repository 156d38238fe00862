package allotment

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/peerapi/oas"
	"samphirestile.example/samphirestile/internal/platform"
)

const (
	// maxBackoff bounds the time between attempts that gain nothing. A team at its limit
	// has queued requests all the time and must not read the record in vain each moment.
	maxBackoff = 32
	// maxOverBackoff is the bound while the sum is over the limit and nothing may start.
	maxOverBackoff = 4
	// readCost is the price of a read in the budget of writes.
	readCost = 0.25
	// askIntervals is the time between two extra heartbeats, in write intervals.
	askIntervals = 2
	// maxAttempts bounds the writes of one adjustment that meet a conflict.
	maxAttempts = 3
)

// peerDemand is what the peers reported of one team.
type peerDemand struct {
	// demand counts running and queued requests of each peer, starved those without a unit.
	demand  map[string]int
	starved int
	// units is the sum of the peers' units, held those of each peer.
	units int
	held  map[string]int
	// spare lists peers with unused units.
	spare []string
}

// plan is one intended change of a team's record.
type plan struct {
	next  *record
	seats []plannedSeat
}

// plannedSeat is the intended entry of one seat.
type plannedSeat struct {
	seat fleet.SeatID
	u    *seatUnits
	// before is the usable number, to be put back when the write had no effect.
	before, entry, cap int
}

// Run moves units according to demand until ctx ends.
func (a *Allotments) Run(ctx context.Context) error {
	rows, stopRows := a.cfg.Seats.SubscribeRows()
	defer stopRows()
	conf, stopConf := a.cfg.Config.Subscribe()
	defer stopConf()
	tick := time.NewTicker(a.cfg.RetryInterval)
	defer tick.Stop()
	for {
		a.step(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-rows:
		case <-conf:
		case <-a.wake:
		}
		// Requests that find no unit wake this loop; the pause bounds its cost.
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(a.cfg.RetryInterval / 10):
		}
	}
}

// step looks at each team once, the most urgent first.
func (a *Allotments) step(ctx context.Context) {
	if !a.cfg.Seats.StoreVisible() {
		// Nothing can move; caps must not hold work back meanwhile.
		a.liftCaps()
		return
	}
	a.dropLostSeats()
	peers := a.peerDemands()
	for _, id := range a.byUrgency() {
		if ctx.Err() != nil {
			return
		}
		d := peers[id]
		if d == nil {
			d = &peerDemand{}
		}
		a.adjust(ctx, id, d)
	}
}

func (a *Allotments) liftCaps() {
	a.mu.Lock()
	lifted := false
	for _, t := range a.teams {
		for _, u := range t.seats {
			lifted = lifted || u.cap != noCap
			u.cap = noCap
		}
	}
	a.mu.Unlock()
	if lifted {
		a.notify()
	}
}

// dropLostSeats forgets the units of seats that this daemon no longer holds. The
// grace time leaves the units in place while a handover is being prepared.
func (a *Allotments) dropLostSeats() {
	held := map[fleet.SeatID]bool{}
	for _, s := range a.cfg.Seats.HeldSeats() {
		held[s] = true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for _, t := range a.teams {
		for s, u := range t.seats {
			switch {
			case held[s]:
				u.awaited, u.missingSince = false, time.Time{}
			case u.awaited:
			case u.missingSince.IsZero():
				u.missingSince = now
			case u.inUse(now) == 0 && now.Sub(u.missingSince) > a.cfg.CallTimeout:
				delete(t.seats, s)
			}
		}
	}
}

func (a *Allotments) byUrgency() []fleet.TeamID {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c := a.cfg.Config.Current(); c != nil {
		for id := range c.Teams {
			a.team(id)
		}
	}
	ids := make([]fleet.TeamID, 0, len(a.teams))
	class := map[fleet.TeamID]int{}
	for id, t := range a.teams {
		ids = append(ids, id)
		switch {
		case t.record != nil && !a.withinLimit(t):
			class[id] = 0
		case t.queued > 0 || t.missed:
			class[id] = 1
		default:
			class[id] = 2
		}
	}
	slices.SortFunc(ids, func(x, y fleet.TeamID) int {
		return cmp.Or(class[x]-class[y], cmp.Compare(x, y))
	})
	return ids
}

// adjust brings the entries of this daemon's seats for one team in line with demand.
func (a *Allotments) adjust(ctx context.Context, id fleet.TeamID, peers *peerDemand) {
	for range maxAttempts {
		p, read := a.prepare(id, peers)
		if read {
			if !a.read(ctx, id) {
				return
			}
			p, _ = a.prepare(id, peers)
		}
		if p == nil {
			break
		}
		if a.write(ctx, id, p) {
			a.notify()
			break
		}
	}
	a.collectOrphans(ctx, id)
}

// read fetches the record; false ends the adjustment.
func (a *Allotments) read(ctx context.Context, id fleet.TeamID) bool {
	if !a.spend(readCost) {
		return false
	}
	r, err := a.fetch(ctx, id)
	if err != nil {
		a.log.WithError(err).WithField("team", id).Debug("allotments not read")
		return false
	}
	a.mu.Lock()
	a.adopt(a.team(id), r, time.Now())
	a.mu.Unlock()
	a.notify()
	return true
}

// spend takes n from the budget of writes.
func (a *Allotments) spend(n float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refill(time.Now())
	if a.tokens < n {
		return false
	}
	a.tokens -= n
	return true
}

// hasSpareBudget reports whether half of the burst of writes is left. Moves that
// no request waits for must not delay those that some request waits for.
func (a *Allotments) hasSpareBudget(now time.Time) bool {
	a.refill(now)
	return a.tokens >= float64(a.cfg.WriteBurst)/2
}

// refill adds what the budget of writes gained since the last call.
func (a *Allotments) refill(now time.Time) {
	a.tokens += float64(now.Sub(a.refilled)) / float64(a.cfg.WriteInterval)
	a.tokens = min(a.tokens, float64(a.cfg.WriteBurst))
	a.refilled = now
}

// peerDemands sums the peers' rows by team. It is computed once for all teams,
// because the rows of all peers are many at the design size.
func (a *Allotments) peerDemands() map[fleet.TeamID]*peerDemand {
	out := map[fleet.TeamID]*peerDemand{}
	for _, p := range a.cfg.Seats.PeerTeamRows() {
		if !p.Active || p.Leaving {
			continue
		}
		for _, r := range p.Rows {
			d := out[fleet.TeamID(r.Team)]
			if d == nil {
				d = &peerDemand{demand: map[string]int{}, held: map[string]int{}}
				out[fleet.TeamID(r.Team)] = d
			}
			d.add(p.Incarnation, r)
		}
	}
	return out
}

func (d *peerDemand) add(peer string, r oas.TeamRow) {
	d.demand[peer] = r.Running + r.Queued
	d.units += r.Units
	d.starved += max(0, r.Running+r.Queued-r.Units)
	if r.Units > 0 {
		d.held[peer] = r.Units
	}
	if r.Units > r.Running+r.Queued {
		d.spare = append(d.spare, peer)
	}
}

// holders lists the peers with units, the largest first.
func (d *peerDemand) holders() []string {
	return slices.SortedFunc(maps.Keys(d.held), func(x, y string) int {
		return cmp.Or(d.held[y]-d.held[x], cmp.Compare(x, y))
	})
}

// reserve is the number of units that this daemon keeps without demand. All units
// are spread over the active daemons, because none can move during an outage of
// the store and those of a failed daemon stay locked until its seat is reclaimed.
func (a *Allotments) reserve(id fleet.TeamID, limit int) int {
	n, rank := a.rank(id)
	if n == 0 {
		return 0
	}
	if rank < limit%n {
		return limit/n + 1
	}
	return limit / n
}

// floorFactor bounds the units that floors keep from daemons with queued requests
// to a quarter of the limit.
const floorFactor = 4

// floor is the number of units that each daemon keeps while peers have queued
// requests and it has none, so that a failed peer does not hold all units.
func (a *Allotments) floor(id fleet.TeamID, limit int) int {
	if n, _ := a.rank(id); n == 0 || limit < floorFactor*n {
		return 0
	}
	return 1
}

// contested is the part of the limit that daemons with demand share: the floors of
// the others are not to be had.
func (a *Allotments) contested(id fleet.TeamID, limit int, peers *peerDemand) int {
	n, _ := a.rank(id)
	idle := n - 1
	for _, d := range peers.demand {
		if d > 0 {
			idle--
		}
	}
	return limit - max(idle, 0)*a.floor(id, limit)
}

// rank returns the number of active daemons and the place of this daemon among
// them, which differs between teams. Without a seat it returns 0 daemons.
func (a *Allotments) rank(id fleet.TeamID) (n, rank int) {
	daemons := map[string]bool{}
	self := ""
	for _, m := range a.cfg.Seats.View().Members {
		if m.Active {
			daemons[m.Incarnation] = true
		}
		if m.Self {
			self = m.Incarnation
		}
	}
	if self == "" {
		return 0, 0
	}
	for d := range daemons {
		if score(id, d) < score(id, self) {
			rank++
		}
	}
	return len(daemons), rank
}

func score(id fleet.TeamID, daemon string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	h.Write([]byte{0})
	h.Write([]byte(daemon))
	x := h.Sum64()
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// prepare decides on the next change. read asks to read the record first.
// The local counts are lowered here, before the write.
func (a *Allotments) prepare(id fleet.TeamID, peers *peerDemand) (p *plan, read bool) {
	held := a.cfg.Seats.HeldSeats()
	a.mu.Lock()
	defer a.mu.Unlock()
	t, now := a.team(id), time.Now()
	if t.record == nil || t.record.secondHand {
		return nil, now.After(t.tryAfter) && a.delay(t, now, maxOverBackoff)
	}
	if t.importedMore(held) {
		return nil, now.After(t.tryAfter) && a.delay(t, now, maxOverBackoff)
	}
	limit, _ := a.effectiveLimit(t)
	if !a.withinLimit(t) && t.stale {
		return nil, now.After(t.tryAfter) && a.delay(t, now, maxOverBackoff)
	}
	if !a.withinLimit(t) && (t.record.Limit > limit || t.record.sum() > limit) {
		return a.prepareOver(t, held, limit, now)
	}
	d := a.demand(t, held, now)
	want := a.target(t, d, limit, peers)
	if peers.starved == 0 && d.demand <= d.units && !a.hasSpareBudget(now) {
		return nil, false
	}
	return a.prepareTarget(t, held, d, want, limit, peers, now)
}

// importedMore reports whether an imported seat holds more units than the record
// known here says. The record is then older than the handover; a plan made from
// it could find nothing to change and leave the units where they are.
func (t *team) importedMore(held []fleet.SeatID) bool {
	return slices.ContainsFunc(held, func(s fleet.SeatID) bool {
		u := t.seats[s]
		return u != nil && u.imported && !u.exported && u.units > t.record.Holders[s]
	})
}

// delay moves the team's next vain attempt back; it always returns true.
func (a *Allotments) delay(t *team, now time.Time, bound time.Duration) bool {
	if now.Sub(t.tryAfter) > maxBackoff*a.cfg.RetryInterval {
		t.backoff = 0
	}
	t.backoff = min(max(t.backoff*2, a.cfg.RetryInterval), bound*a.cfg.RetryInterval)
	t.tryAfter, t.triedAt = now.Add(t.backoff), now
	return true
}

// demandState is the team's state on this daemon.
type demandState struct {
	units, inUse, demand int
}

func (a *Allotments) demand(t *team, held []fleet.SeatID, now time.Time) demandState {
	var d demandState
	for _, s := range held {
		if t.record.Holders[s] > 0 {
			// An entry that was left without local units goes back to the record.
			t.seat(s)
		}
		if u := t.seats[s]; u != nil && !u.exported {
			d.units += u.units
			d.inUse += u.inUse(now)
		}
	}
	d.demand = d.inUse + t.queued
	if t.missed && t.queued == 0 {
		d.demand++
	}
	t.missed = false
	if now.Sub(t.peakSince) >= a.cfg.IdleTime {
		t.lastPeak, t.peak, t.peakSince = t.peak, 0, now
	}
	t.peak = max(t.peak, d.demand)
	return d
}

// target returns the number of units that this daemon should have.
func (a *Allotments) target(t *team, d demandState, limit int, peers *peerDemand) int {
	if peers.starved > 0 {
		share := max(a.share(t, d.demand, a.contested(t.id, limit, peers), peers), a.floor(t.id, limit))
		// Hysteresis saves writes while the demand of daemons changes a little; unused
		// units go at once.
		if over := d.units - share; over > 0 && over <= share/4 && d.demand >= d.units {
			return d.units
		}
		return share
	}
	idle := max(t.peak, t.lastPeak, a.reserve(t.id, limit))
	if d.demand > d.units {
		// The headroom saves writes while demand grows.
		return max(d.demand+d.demand/4, idle)
	}
	if d.units-idle <= idle/4 {
		return max(d.units, idle)
	}
	return idle
}

// share divides the limit over the daemons by their demand. The largest
// remainders get the units left by rounding, so that a small limit ends up where
// the demand is largest.
func (a *Allotments) share(t *team, demand, limit int, peers *peerDemand) int {
	total := demand
	for _, d := range peers.demand {
		total += d
	}
	if total <= limit || demand == 0 {
		return demand
	}
	self := a.self()
	left, rank := limit-limit*demand/total, 0
	for p, d := range peers.demand {
		left -= limit * d / total
		c := cmp.Compare(limit*d%total, limit*demand%total)
		if c > 0 || (c == 0 && score(t.id, p) < score(t.id, self)) {
			rank++
		}
	}
	if rank < left {
		return limit*demand/total + 1
	}
	return limit * demand / total
}

func (a *Allotments) self() string {
	for _, m := range a.cfg.Seats.View().Members {
		if m.Self {
			return m.Incarnation
		}
	}
	return ""
}

// prepareOver lowers this daemon's entries after the limit was lowered.
func (a *Allotments) prepareOver(t *team, held []fleet.SeatID, limit int, now time.Time) (*plan, bool) {
	if now.Sub(t.readAt) > a.cfg.RetryInterval {
		if now.Before(t.tryAfter) {
			return nil, false
		}
		return nil, a.delay(t, now, maxOverBackoff)
	}
	next := t.record.clone()
	sum := next.sum()
	p := a.newPlan(t, next, limit)
	for _, s := range held {
		u := t.seats[s]
		if u == nil || u.exported {
			continue
		}
		entry := u.units
		if sum > limit {
			entry = min(entry, max(u.inUse(now), u.units*limit/sum))
		}
		p.add(t, s, u, entry, noCap, now)
	}
	return a.checkPlan(t, p), false
}

// prepareTarget raises or lowers the entries towards the target.
func (a *Allotments) prepareTarget(
	t *team, held []fleet.SeatID, d demandState, want, limit int, peers *peerDemand, now time.Time,
) (*plan, bool) {
	next := t.record.clone()
	p := a.newPlan(t, next, limit)
	surplus := max(0, d.units-want)
	raised := false
	for i := len(held) - 1; i >= 0; i-- {
		u := t.seats[held[i]]
		if u == nil || u.exported {
			continue
		}
		entry, limitTo := u.units, noCap
		if surplus > 0 {
			limitTo = max(0, u.units-surplus)
			entry = max(u.inUse(now), limitTo)
			surplus -= min(u.units, surplus)
		}
		p.add(t, held[i], u, entry, limitTo, now)
	}
	if want > d.units {
		free := limit - next.sum()
		if free <= 0 && d.demand > d.units {
			// The peers' rows may show free or unused units before the next attempt is due.
			hopeful := len(peers.spare) > 0 || peers.units+d.units < limit
			if now.After(t.tryAfter) || (hopeful && now.Sub(t.triedAt) > a.cfg.WriteInterval) {
				ask := peers.spare
				if len(ask) == 0 && d.units == 0 {
					// Without any unit, this daemon lets the holders know before their turn.
					ask = peers.holders()
				}
				a.askSpare(ask, now)
				return nil, a.delay(t, now, maxBackoff)
			}
			return a.checkPlan(t, p), false
		}
		for _, s := range held {
			if free > 0 && a.cfg.Seats.SeatMayStart(s) {
				u := t.seat(s)
				if !u.exported {
					p.add(t, s, u, u.units+min(free, want-d.units), noCap, now)
					raised = true
					break
				}
			}
		}
	}
	if raised {
		t.backoff, t.tryAfter = 0, now
	}
	return a.checkPlan(t, p), false
}

// askSpare lets a peer learn of the queued requests at once. One extra heartbeat
// in askIntervals write intervals, for all teams, bounds its cost: with one in each
// interval, 8 daemons with all teams overloaded exceeded 4 KB a second.
func (a *Allotments) askSpare(peers []string, now time.Time) {
	if len(peers) == 0 || now.Sub(a.askedAt) < askIntervals*a.cfg.WriteInterval {
		return
	}
	a.askedAt = now
	a.cfg.Seats.HeartbeatNow(peers[a.asked%len(peers)])
	a.asked++
}

func (a *Allotments) newPlan(t *team, next *record, limit int) *plan {
	if rev := a.revision(); rev >= next.Revision && next.Limit != limit {
		next.Limit, next.Revision = limit, rev
	}
	return &plan{next: next}
}

// add plans the entry of one seat; it replaces an earlier one. No entry goes below the units in use.
func (p *plan) add(t *team, s fleet.SeatID, u *seatUnits, entry, limitTo int, now time.Time) {
	entry = max(entry, min(u.inUse(now), t.record.Holders[s]))
	p.next.set(s, entry)
	p.seats = slices.DeleteFunc(p.seats, func(x plannedSeat) bool { return x.seat == s })
	p.seats = append(p.seats, plannedSeat{seat: s, u: u, before: u.units, entry: entry, cap: limitTo})
}

// checkPlan applies the caps and returns the plan if it changes the record, after
// lowering the local counts.
func (a *Allotments) checkPlan(t *team, p *plan) *plan {
	for _, x := range p.seats {
		x.u.cap = x.cap
	}
	changed := len(p.next.Holders) != len(t.record.Holders)
	raises := false
	for s, n := range p.next.Holders {
		changed = changed || n != t.record.Holders[s]
		raises = raises || n > t.record.Holders[s]
	}
	changed = changed || (p.next.Limit != t.record.Limit && (raises || p.next.Limit < t.record.Limit))
	if !changed || (raises && p.next.sum() > p.next.Limit) {
		return nil
	}
	for _, x := range p.seats {
		x.u.units = min(x.u.units, x.entry)
	}
	return p
}

// write sends the plan; false asks to prepare again.
func (a *Allotments) write(ctx context.Context, id fleet.TeamID, p *plan) bool {
	if !a.spend(1) {
		a.settle(p, func(u *seatUnits, before, _ int) { u.units = before })
		return true
	}
	expect := p.next.version
	err := a.put(ctx, id, p.next)
	var conflict *platform.ConflictError
	var unavailable *platform.UnavailableError
	switch {
	case err == nil:
		a.settle(p, func(u *seatUnits, _, entry int) {
			u.units, u.uncertain, u.imported = entry, false, false
		})
		a.mu.Lock()
		t := a.team(id)
		t.record, t.readAt, t.stale = p.next, time.Now(), false
		a.mu.Unlock()
		return true
	case errors.As(err, &unavailable):
		a.settle(p, func(u *seatUnits, before, _ int) {
			if !u.uncertain {
				u.units = before
			}
		})
		return true
	}
	// A conflict may also follow an own write that applied and was repeated on the way,
	// so both cases use the smaller number until a later version is read.
	a.settle(p, func(u *seatUnits, _, _ int) {
		u.uncertain, u.fence = true, max(u.fence, expect)
	})
	return !errors.As(err, &conflict) || !a.read(ctx, id)
}

// settle applies the outcome of a write to the seats that are still held. A seat
// that was handed over and came back meanwhile has another seatUnits.
func (a *Allotments) settle(p *plan, f func(u *seatUnits, before, entry int)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, x := range p.seats {
		if !x.u.exported {
			f(x.u, x.before, x.entry)
		}
	}
}

// collectOrphans removes entries of seats that no longer exist. Such an entry is
// left when a write of a lost seat is delivered after its reclaim. The record is
// read before the seat, and a seat exists before its first entry and never
// again after its deletion, so an entry of a live seat is never removed.
func (a *Allotments) collectOrphans(ctx context.Context, id fleet.TeamID) {
	known := map[fleet.SeatID]bool{}
	for _, m := range a.cfg.Seats.View().Members {
		known[m.Seat] = true
	}
	a.mu.Lock()
	t := a.team(id)
	var orphan fleet.SeatID
	if t.record != nil && t.backoff > 0 && t.queued > 0 {
		for s := range t.record.Holders {
			if !known[s] {
				orphan = s
			}
		}
	}
	a.mu.Unlock()
	if orphan == "" || !a.spend(1) {
		return
	}
	r, err := a.fetch(ctx, id)
	if err != nil {
		return
	}
	if gone, err := a.cfg.Seats.SeatDeleted(ctx, orphan); err != nil || !gone {
		return
	}
	delete(r.Holders, orphan)
	if a.put(ctx, id, r) == nil {
		a.mu.Lock()
		a.adopt(t, r, time.Now())
		a.mu.Unlock()
	}
}
