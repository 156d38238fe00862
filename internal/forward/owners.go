package forward

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"samphirestile.example/samphirestile/internal/config"
	"samphirestile.example/samphirestile/internal/dispatch"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/membership"
	"samphirestile.example/samphirestile/internal/ownership"
)

const (
	// loadHalfLife is the time in which a reported load loses half of its weight.
	loadHalfLife = 250 * time.Millisecond
	// localBonus is the part of an owner's slots by which this daemon prefers
	// itself; a local dispatch saves the network hop.
	localBonus = 0.25
	// noUnits is the use of an owner that holds no unit of the team, and
	// unreachable is added to that of an owner that could not be connected to.
	noUnits     = 1e3
	unreachable = 1e6
	// teamLifetime is how long the report of a team's units counts; heartbeats of a
	// pair of daemons are 3.5 s apart in a cell of 8.
	teamLifetime = 4 * time.Second
	// failureTime is how long an owner is avoided after a connection failed. By
	// then the view shows whether it is active.
	failureTime = time.Second
)

// owner is a daemon that owns endpoints of a service.
type owner struct {
	member    membership.Member
	endpoints []fleet.EndpointID
	// slots is the declared number of slots of the endpoints.
	slots int
}

type figureKey struct {
	address string
	service fleet.ServiceID
}

// figure is the load of a service at an owner as seen by this daemon.
type figure struct {
	// inFlight counts the requests of this daemon at the owner.
	inFlight int
	load     dispatch.Load
	// others is the reported load without the requests of this daemon.
	others int
	at     time.Time
}

// ownerTable holds the owners of each service under one configuration and view.
type ownerTable struct {
	snapshot  *config.Snapshot
	epoch     uint64
	byService map[fleet.ServiceID][]*owner
}

func (t *ownerTable) matches(s *config.Snapshot, v membership.View) bool {
	return t != nil && t.snapshot == s && t.epoch == v.Epoch
}

// owners knows the owners of each service and their load.
type owners struct {
	config  config.Source
	members membership.Source
	local   dispatch.Dispatcher
	usage   func(fleet.TeamID) TeamLoad
	// heartbeatUnits is Options.Units.
	heartbeatUnits func(membership.Member, fleet.TeamID) (units int, known bool)

	mu       sync.Mutex
	teams    map[teamKey]*teamFigure
	failures map[string]time.Time
	figures  map[figureKey]*figure

	// building is held while a new table is made.
	building sync.Mutex
	current  atomic.Pointer[ownerTable]
}

func newOwners(o Options) *owners {
	return &owners{
		config: o.Config, members: o.Members, local: o.Dispatcher, usage: o.LocalTeamLoad, heartbeatUnits: o.HeartbeatUnits,
		figures: make(map[figureKey]*figure), teams: make(map[teamKey]*teamFigure), failures: make(map[string]time.Time),
	}
}

// lost reports whether the view shows the owner as failed. An owner that has
// handed its seat over or left still finishes the requests that it took.
func (o *owners) lost(w *owner) bool {
	return slices.ContainsFunc(o.members.View().Members, func(m membership.Member) bool {
		return !m.Active && m.Seat == w.member.Seat && m.Incarnation == w.member.Incarnation
	})
}

// of returns the owners of a service under the configuration and view in force.
func (o *owners) of(service fleet.ServiceID) []*owner {
	snapshot, view := o.config.Current(), o.members.View()
	if snapshot == nil {
		return nil
	}
	if t := o.current.Load(); t.matches(snapshot, view) {
		return t.byService[service]
	}
	return o.rebuild().byService[service]
}

// rebuild makes the table for a new configuration or view. Other requests use
// the old table meanwhile, because this takes about 10 ms at the design size; an
// owner that is no longer one asks them to choose again.
func (o *owners) rebuild() *ownerTable {
	old := o.current.Load()
	if old == nil {
		o.building.Lock()
	} else if !o.building.TryLock() {
		return old
	}
	defer o.building.Unlock()
	snapshot, view := o.config.Current(), o.members.View()
	if t := o.current.Load(); t.matches(snapshot, view) {
		return t
	}
	t := &ownerTable{snapshot, view.Epoch, buildTable(snapshot, view)}
	o.current.Store(t)
	o.dropFigures(t)
	return t
}

func buildTable(snapshot *config.Snapshot, view membership.View) map[fleet.ServiceID][]*owner {
	bySeat := make(map[fleet.SeatID]membership.Member, len(view.Members))
	for _, m := range view.Members {
		bySeat[m.Seat] = m
	}
	table := make(map[fleet.ServiceID][]*owner)
	for id, seat := range ownership.Assign(snapshot.Endpoints, view.Members) {
		e := snapshot.Endpoints[id]
		if e.Leaving {
			continue
		}
		m := bySeat[seat]
		list := table[e.Service]
		i := slices.IndexFunc(list, func(w *owner) bool { return w.member.PeerAddress == m.PeerAddress && w.member.Self == m.Self })
		if i < 0 {
			i = len(list)
			table[e.Service] = append(list, &owner{member: m})
		}
		w := table[e.Service][i]
		w.endpoints = append(w.endpoints, id)
		w.slots += max(e.Slots, 1)
	}
	return table
}

// dropFigures forgets owners that are not in the table; callers in flight keep theirs.
func (o *owners) dropFigures(t *ownerTable) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := make(map[figureKey]bool)
	for service, list := range t.byService {
		for _, w := range list {
			known[figureKey{w.member.PeerAddress, service}] = true
		}
	}
	for k, f := range o.figures {
		if !known[k] && f.inFlight == 0 {
			delete(o.figures, k)
		}
	}
	now := time.Now()
	o.dropTeams(now)
	for address, at := range o.failures {
		if now.Sub(at) > failureTime {
			delete(o.failures, address)
		}
	}
}

// failed notes that an owner could not be connected to.
func (o *owners) failed(w *owner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failures[w.member.PeerAddress] = time.Now()
}

// penalty is what speaks against an owner besides its load.
func (o *owners) penalty(w *owner, now time.Time) float64 {
	if at, ok := o.failures[w.member.PeerAddress]; ok && !w.member.Self && now.Sub(at) < failureTime {
		return unreachable
	}
	return 0
}

func (o *owners) figure(address string, service fleet.ServiceID) *figure {
	k := figureKey{address, service}
	f, ok := o.figures[k]
	if !ok {
		f = &figure{}
		o.figures[k] = f
	}
	return f
}

// begin counts a request at an owner until the returned function is called.
func (o *owners) begin(w *owner, service fleet.ServiceID, team fleet.TeamID) (end func()) {
	o.mu.Lock()
	f := o.figure(w.member.PeerAddress, service)
	t := o.teamFigure(w.member.PeerAddress, team)
	f.inFlight++
	t.inFlight++
	o.mu.Unlock()
	return sync.OnceFunc(func() {
		o.mu.Lock()
		f.inFlight--
		t.inFlight--
		o.mu.Unlock()
	})
}

// report takes the load that an owner told.
func (o *owners) report(w *owner, service fleet.ServiceID, l dispatch.Load) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f := o.figure(w.member.PeerAddress, service)
	f.load, f.at = l, time.Now()
	f.others = max(l.Running+l.Queued-f.inFlight, 0)
}

// use is the estimated part of an owner's slots in use; 1 or more means that a request would wait.
func (o *owners) use(w *owner, service fleet.ServiceID, now time.Time) float64 {
	if w.member.Self && o.local != nil {
		if l, ok := o.local.Load(service); ok {
			return float64(l.Running+l.Queued) / float64(max(l.Slots, 1))
		}
	}
	f := o.figure(w.member.PeerAddress, service)
	slots, others := w.slots, 0.0
	if !f.at.IsZero() {
		slots = max(f.load.Slots, 1)
		age := float64(now.Sub(f.at)) / float64(loadHalfLife)
		others = float64(f.others) * math.Exp2(-age)
	}
	return (float64(f.inFlight) + others) / float64(max(slots, 1))
}

// choose picks an owner by two random choices weighted by slots. It looks at all
// owners when both are full, so that free slots elsewhere are used.
func (o *owners) choose(service fleet.ServiceID, team fleet.TeamID, skip func(*owner) bool) *owner {
	list := slices.DeleteFunc(slices.Clone(o.of(service)), skip)
	if len(list) <= 1 {
		return first(list)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	var best *owner
	bestUse := math.Inf(1)
	consider := func(w *owner) {
		u := max(o.use(w, service, now), o.teamUse(w, team, now)) + o.penalty(w, now)
		if w.member.Self && u < 1 {
			u -= localBonus
		}
		if u < bestUse || best == nil {
			best, bestUse = w, u
		}
	}
	consider(pick(list))
	consider(pick(list))
	for _, w := range list {
		if w.member.Self {
			consider(w)
		}
	}
	if bestUse >= 1 {
		for _, w := range list {
			consider(w)
		}
	}
	return best
}

func first(list []*owner) *owner {
	if len(list) == 0 {
		return nil
	}
	return list[0]
}

// pick draws an owner with a probability in proportion to its slots.
func pick(list []*owner) *owner {
	total := 0
	for _, w := range list {
		total += w.slots
	}
	n := rand.IntN(total)
	for _, w := range list {
		if n -= w.slots; n < 0 {
			return w
		}
	}
	return list[len(list)-1]
}
