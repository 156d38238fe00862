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
	// loadHalfLife is the half-life of the weight of a reported load.
	loadHalfLife = 250 * time.Millisecond
	// localPreference is the utilization by which this daemon favors itself, because a local
	// dispatch saves the network hop.
	localPreference = 0.25
	// noUnitsUtilization is the minimum utilization of an owner that holds no unit of the team.
	noUnitsUtilization = 1e3
	// unreachablePenalty is added to the utilization of an owner that refused a connection
	// or could not be reached.
	unreachablePenalty = 1e6
	// teamReportTTL is how long a report of a team's units is used. It exceeds the interval
	// between the heartbeats of a pair of daemons, which is 3.5 s in a cell of 8.
	teamReportTTL = 4 * time.Second
	// failurePenaltyTTL is how long an owner is avoided after a failed connection attempt.
	// After that time the membership view shows whether it is active.
	failurePenaltyTTL = time.Second
)

// owner is a daemon that owns endpoints of a service.
type owner struct {
	member    membership.Member
	endpoints []fleet.EndpointID
	// slots is the sum of the configured slots of the endpoints.
	slots int
}

type serviceKey struct {
	address string
	service fleet.ServiceID
}

// serviceEstimate is this daemon's estimate of the load of a service at an owner.
type serviceEstimate struct {
	// inFlight counts the requests that this daemon has in flight at the owner.
	inFlight int
	load     dispatch.Load
	// othersLoad is the reported load minus the requests of this daemon.
	othersLoad int
	reportedAt time.Time
}

// ownerTable holds the owners of each service for one configuration and membership view.
type ownerTable struct {
	snapshot  *config.Snapshot
	epoch     uint64
	byService map[fleet.ServiceID][]*owner
}

func (t *ownerTable) matches(s *config.Snapshot, v membership.View) bool {
	return t != nil && t.snapshot == s && t.epoch == v.Epoch
}

// owners tracks the owners of each service and estimates their load.
type owners struct {
	config        config.Source
	members       membership.Source
	local         dispatch.Dispatcher
	localTeamLoad func(fleet.TeamID) TeamLoad
	// heartbeatUnits is Options.HeartbeatUnits.
	heartbeatUnits func(membership.Member, fleet.TeamID) (units int, known bool)

	mu            sync.Mutex
	teamEstimates map[teamKey]*teamEstimate
	// failures holds the time of the last failed connection attempt by peer address.
	failures         map[string]time.Time
	serviceEstimates map[serviceKey]*serviceEstimate

	// rebuildMu is held while a new table is built.
	rebuildMu sync.Mutex
	current   atomic.Pointer[ownerTable]
}

func newOwners(o Options) *owners {
	return &owners{
		config: o.Config, members: o.Members, local: o.Dispatcher, localTeamLoad: o.LocalTeamLoad, heartbeatUnits: o.HeartbeatUnits,
		serviceEstimates: make(map[serviceKey]*serviceEstimate), teamEstimates: make(map[teamKey]*teamEstimate), failures: make(map[string]time.Time),
	}
}

// failedInView reports whether the owner is inactive in the membership view. An owner that
// has handed over its seat or has left still finishes the requests that it accepted.
func (o *owners) failedInView(target *owner) bool {
	return slices.ContainsFunc(o.members.View().Members, func(m membership.Member) bool {
		return !m.Active && m.Seat == target.member.Seat && m.Incarnation == target.member.Incarnation
	})
}

// ofService returns the owners of a service for the current configuration and view.
func (o *owners) ofService(service fleet.ServiceID) []*owner {
	snapshot, view := o.config.Current(), o.members.View()
	if snapshot == nil {
		return nil
	}
	if t := o.current.Load(); t.matches(snapshot, view) {
		return t.byService[service]
	}
	return o.rebuild().byService[service]
}

// rebuild builds the table for a new configuration or view. Concurrent requests use the
// old table meanwhile, because building takes about 10 ms at the design size; a daemon that
// no longer owns the endpoint refuses such a request with a reroute.
func (o *owners) rebuild() *ownerTable {
	old := o.current.Load()
	if old == nil {
		o.rebuildMu.Lock()
	} else if !o.rebuildMu.TryLock() {
		return old
	}
	defer o.rebuildMu.Unlock()
	snapshot, view := o.config.Current(), o.members.View()
	if t := o.current.Load(); t.matches(snapshot, view) {
		return t
	}
	t := &ownerTable{snapshot, view.Epoch, buildTable(snapshot, view)}
	o.current.Store(t)
	o.pruneEstimates(t)
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
		i := slices.IndexFunc(list, func(candidate *owner) bool {
			return candidate.member.PeerAddress == m.PeerAddress && candidate.member.Self == m.Self
		})
		if i < 0 {
			i = len(list)
			table[e.Service] = append(list, &owner{member: m})
		}
		candidate := table[e.Service][i]
		candidate.endpoints = append(candidate.endpoints, id)
		candidate.slots += max(e.Slots, 1)
	}
	return table
}

// pruneEstimates removes the estimates of owners that are not in the table, unless they
// have requests in flight, and expired failures.
func (o *owners) pruneEstimates(t *ownerTable) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := make(map[serviceKey]bool)
	for service, list := range t.byService {
		for _, candidate := range list {
			known[serviceKey{candidate.member.PeerAddress, service}] = true
		}
	}
	for k, est := range o.serviceEstimates {
		if !known[k] && est.inFlight == 0 {
			delete(o.serviceEstimates, k)
		}
	}
	now := time.Now()
	o.pruneTeamEstimates(now)
	for address, at := range o.failures {
		if now.Sub(at) > failurePenaltyTTL {
			delete(o.failures, address)
		}
	}
}

// recordConnectFailure records that a connection to an owner could not be established.
func (o *owners) recordConnectFailure(target *owner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failures[target.member.PeerAddress] = time.Now()
}

// penalty returns unreachablePenalty if a connection to the owner failed within
// failurePenaltyTTL, and 0 otherwise.
func (o *owners) penalty(target *owner, now time.Time) float64 {
	if at, ok := o.failures[target.member.PeerAddress]; ok && !target.member.Self && now.Sub(at) < failurePenaltyTTL {
		return unreachablePenalty
	}
	return 0
}

func (o *owners) serviceEstimate(address string, service fleet.ServiceID) *serviceEstimate {
	k := serviceKey{address, service}
	est, ok := o.serviceEstimates[k]
	if !ok {
		est = &serviceEstimate{}
		o.serviceEstimates[k] = est
	}
	return est
}

// trackRequest counts a request at an owner until the returned function is called.
func (o *owners) trackRequest(target *owner, service fleet.ServiceID, team fleet.TeamID) (end func()) {
	o.mu.Lock()
	est := o.serviceEstimate(target.member.PeerAddress, service)
	t := o.teamEstimate(target.member.PeerAddress, team)
	est.inFlight++
	t.inFlight++
	o.mu.Unlock()
	return sync.OnceFunc(func() {
		o.mu.Lock()
		est.inFlight--
		t.inFlight--
		o.mu.Unlock()
	})
}

// recordLoad stores the load that an owner reported with a response.
func (o *owners) recordLoad(target *owner, service fleet.ServiceID, l dispatch.Load) {
	o.mu.Lock()
	defer o.mu.Unlock()
	est := o.serviceEstimate(target.member.PeerAddress, service)
	est.load, est.reportedAt = l, time.Now()
	est.othersLoad = max(l.Running+l.Queued-est.inFlight, 0)
}

// slotUtilization is the estimated fraction of an owner's slots in use; at 1 or more a
// request would have to wait.
func (o *owners) slotUtilization(target *owner, service fleet.ServiceID, now time.Time) float64 {
	if target.member.Self && o.local != nil {
		if l, ok := o.local.Load(service); ok {
			return float64(l.Running+l.Queued) / float64(max(l.Slots, 1))
		}
	}
	est := o.serviceEstimate(target.member.PeerAddress, service)
	slots, others := target.slots, 0.0
	if !est.reportedAt.IsZero() {
		slots = max(est.load.Slots, 1)
		halfLives := float64(now.Sub(est.reportedAt)) / float64(loadHalfLife)
		others = float64(est.othersLoad) * math.Exp2(-halfLives)
	}
	return (float64(est.inFlight) + others) / float64(max(slots, 1))
}

// choose selects an owner by the power of two random choices, weighted by slots. It also
// considers this daemon if it is an owner. When all of these are full it considers all
// owners, so that free slots elsewhere are used.
func (o *owners) choose(service fleet.ServiceID, team fleet.TeamID, skip func(*owner) bool) *owner {
	list := slices.DeleteFunc(slices.Clone(o.ofService(service)), skip)
	if len(list) <= 1 {
		return first(list)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	var best *owner
	bestUtilization := math.Inf(1)
	consider := func(candidate *owner) {
		u := max(o.slotUtilization(candidate, service, now), o.unitUtilization(candidate, team, now)) + o.penalty(candidate, now)
		if candidate.member.Self && u < 1 {
			u -= localPreference
		}
		if u < bestUtilization || best == nil {
			best, bestUtilization = candidate, u
		}
	}
	consider(pickWeighted(list))
	consider(pickWeighted(list))
	for _, candidate := range list {
		if candidate.member.Self {
			consider(candidate)
		}
	}
	if bestUtilization >= 1 {
		for _, candidate := range list {
			consider(candidate)
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

// pickWeighted picks a random owner with a probability proportional to its slots.
func pickWeighted(list []*owner) *owner {
	total := 0
	for _, candidate := range list {
		total += candidate.slots
	}
	n := rand.IntN(total)
	for _, candidate := range list {
		if n -= candidate.slots; n < 0 {
			return candidate
		}
	}
	return list[len(list)-1]
}
