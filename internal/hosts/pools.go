package hosts

import (
	"context"
	"errors"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/capacity"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	// demandInterval is the pause between two questions for the pools' demand.
	demandInterval = 300 * time.Millisecond
	// giveUpMove is how long a host may take to become empty.
	giveUpMove = 5 * time.Second
	// rememberDemand is how long the last answer of a pool's owner holds. It covers
	// the loss of the owner: its lease and the time to read its records.
	rememberDemand = 4 * time.Second
	// arrivalSlack is added to the time of a move before the host must be listed.
	arrivalSlack = 4 * time.Second
)

// transfer is a move that has been decided.
type transfer struct {
	Move
	from    fleet.ServiceID
	decided monotonic.Time
	// ordered is when the move was last sent; 0 means never.
	ordered  monotonic.Time
	accepted bool
}

// balance moves hosts to where they are needed.
func (m *Manager) balance(ctx context.Context) error {
	now := monotonic.Now()
	if now.Sub(m.demandAt) > demandInterval {
		m.askDemand(ctx)
	}
	for id, t := range m.transfers {
		if m.transferDone(t) {
			delete(m.transfers, id)
		}
	}
	for _, move := range planMoves(m.poolStates(now), movesAtOnce(len(m.hosts)), m.movable) {
		h := m.hosts[move.Host]
		m.transfers[move.Host] = &transfer{Move: move, from: h.Pool, decided: now}
		m.Log.WithFields(logrus.Fields{
			"host": move.Host, "from": h.Pool, "to": move.To, "wanted": move.Wanted, "demand_age_ms": now.Sub(m.demandAt).Milliseconds(),
		}).Info("move decided")
	}
	return m.advanceTransfers(ctx)
}

func (m *Manager) askDemand(ctx context.Context) {
	m.demandAt = monotonic.Now()
	demand := map[fleet.ServiceID]Demand{}
	for _, name := range m.Pools() {
		d, err := m.Shards.Demand(ctx, name, m.due(name))
		if err != nil {
			m.Log.WithError(err).WithField("pool", name).Debug("demand not known")
			continue
		}
		demand[name] = d
		if d.Settling {
			// What the former owner said last holds for a while.
			continue
		}
		if m.wanted[name] == nil {
			m.wanted[name] = &wantedHistory{}
		}
		m.wanted[name].note(m.demandAt, d.Wanted)
	}
	m.demand = demand
}

// poolStates describes the pools for a plan.
func (m *Manager) poolStates(now monotonic.Time) []*pool {
	byName := map[fleet.ServiceID]*pool{}
	floor := capacity.MinHostsPerPool(len(m.hosts), len(m.Pools()))
	add := func(name fleet.ServiceID) *pool {
		p := byName[name]
		if p == nil {
			d, known := m.demand[name]
			p = &pool{name: name, spare: m.Spare()[name], known: known, wanted: max(d.Wanted, floor), needed: d.Wanted, releasable: d.Releasable}
			h := m.wanted[name]
			remembered := h != nil && now.Sub(h.last().at) < rememberDemand
			switch {
			case known && d.Settling && remembered:
				// A pool keeps its size and lends what it has beyond it while its owner changes.
				p.wanted, p.needed = max(p.wanted, h.last().wanted), max(p.needed, h.last().wanted)
				p.lendWanted, p.restWanted = max(h.most(now, lendAfter), p.wanted), max(h.most(now, restAfter), p.wanted)
			case known && d.Settling:
				p.keep = true
			case h != nil && known:
				p.lendWanted, p.restWanted = max(h.most(now, lendAfter), floor), max(h.most(now, restAfter), floor)
			case remembered:
				p.wanted, p.needed = max(h.last().wanted, floor), h.last().wanted
			case !known:
				p.wanted = 0
			}
			byName[name] = p
		}
		return p
	}
	// Pools without a host are listed as well: all spare hosts may be lent out.
	for _, name := range m.Pools() {
		add(name)
	}
	for name, spare := range m.Spare() {
		if spare {
			add(name)
		}
	}
	for _, h := range m.hosts {
		p := add(h.Pool)
		t := m.transfers[h.ID]
		switch {
		case t != nil && h.Pool != t.To:
			// Counted where it goes, below.
		case h.State == Up || h.State == Moving:
			p.hosts = append(p.hosts, h)
		case h.State == Maintenance:
			p.incoming++
		}
	}
	for _, t := range m.transfers {
		if p := byName[t.To]; p != nil && m.hosts[t.Host].Pool != t.To {
			p.incoming++
		}
	}
	pools := make([]*pool, 0, len(byName))
	for _, p := range byName {
		sort.Slice(p.hosts, func(i, j int) bool { return p.hosts[i].ID < p.hosts[j].ID })
		if p.keep {
			p.wanted, p.needed = max(p.wanted, p.size()), max(p.needed, p.size())
			p.lendWanted, p.restWanted = p.wanted, p.wanted
		}
		pools = append(pools, p)
	}
	sort.Slice(pools, func(i, j int) bool { return pools[i].name < pools[j].name })
	return pools
}

// movable reports whether a host may leave its pool now.
func (m *Manager) movable(h Host) bool {
	if h.State != Up || m.transfers[h.ID] != nil {
		return false
	}
	if monotonic.Now() < m.blocked[h.ID] {
		return false
	}
	for _, w := range m.waves {
		// A host that is due is maintained where it is, while it is free.
		if p := w.progress[h.ID]; p != nil && !w.completed && (p.down() || !p.begun()) {
			return false
		}
	}
	return true
}

// surpluses returns by pool how many hosts it can spare for their upkeep.
func (m *Manager) surpluses(now monotonic.Time) map[fleet.ServiceID]int {
	out := map[fleet.ServiceID]int{}
	for _, p := range m.poolStates(now) {
		if !p.spare {
			out[p.name] = p.forUpkeep()
		}
	}
	return out
}

// due returns the workers on hosts that still wait for their upkeep.
func (m *Manager) due(name fleet.ServiceID) []worker.ID {
	var ids []worker.ID
	for _, w := range m.waves {
		for id, p := range w.progress {
			if h, ok := m.hosts[id]; ok && !w.completed && !p.begun() && h.Pool == name && h.Worker != "" {
				ids = append(ids, h.Worker)
			}
		}
	}
	return ids
}

// advanceTransfers empties the hosts that are to move and orders the moves.
func (m *Manager) advanceTransfers(ctx context.Context) error {
	now := monotonic.Now()
	var orders []*order
	for _, t := range m.transfers {
		h, ok := m.hosts[t.Host]
		if !ok || t.accepted || h.Pool == t.To || h.State != Up || (t.ordered != 0 && now.Sub(t.ordered) < orderRetry) {
			continue
		}
		orders = append(orders, &order{host: h, known: true})
	}
	// The oldest first: those that are not reached now come next.
	sort.Slice(orders, func(i, j int) bool {
		a, b := m.transfers[orders[i].host.ID], m.transfers[orders[j].host.ID]
		if a.decided != b.decided {
			return a.decided < b.decided
		}
		return a.Host < b.Host
	})
	to := map[fleet.HostID]fleet.ServiceID{}
	for _, o := range orders {
		to[o.host.ID] = m.transfers[o.host.ID].To
	}
	finishing, cancel := finishingContext(ctx)
	defer cancel()
	m.atOnce(orders, func(o *order) {
		if o.err = m.mayGiveOrder(o.host.ID); o.err != nil || !m.empty(ctx, o.host) {
			return
		}
		o.sent = monotonic.Now()
		o.err = m.Platform.Move(finishing, m.Holder, o.host.ID, to[o.host.ID])
	})
	var failures []error
	for _, o := range orders {
		failures = append(failures, m.noteMove(o))
	}
	return first(failures)
}

// noteMove notes what became of the order to move a host. It returns an error
// when no further order makes sense now.
func (m *Manager) noteMove(o *order) error {
	if o.sent == 0 {
		return o.err
	}
	t := m.transfers[o.host.ID]
	before := t.ordered
	t.ordered, m.lastOrder[t.Host] = o.sent, o.sent
	fields := logrus.Fields{"host": t.Host, "from": t.from, "to": t.To, "token": m.Holder.Token, "emptied_ms": o.sent.Sub(t.decided).Milliseconds()}
	var refused *RefusedError
	switch {
	case o.err == nil:
		t.accepted = true
		m.listedAt = 0
		m.Log.WithFields(fields).Info("move ordered")
		return nil
	case errors.As(o.err, &refused):
		m.Log.WithFields(fields).WithField("reason", refused.Reason).Info("move refused")
		delete(m.transfers, t.Host)
		return nil
	case errors.As(o.err, new(*NotSentError)):
		t.ordered = before
	}
	return o.err
}

// transferDone reports whether a move has ended, one way or the other.
func (m *Manager) transferDone(t *transfer) bool {
	h, ok := m.hosts[t.Host]
	now := monotonic.Now()
	switch {
	case !ok:
		return now.Sub(t.decided) > giveUpMove
	case h.Pool == t.To:
		return h.State == Up
	case t.accepted:
		return now.Sub(t.ordered) > m.MoveTime+arrivalSlack
	case t.ordered == 0 && now.Sub(t.decided) > giveUpMove:
		m.Log.WithFields(logrus.Fields{"host": t.Host, "from": t.from, "to": t.To}).Info("move given up; the host did not become empty")
		return true
	}
	return false
}
