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
	// demandInterval is the minimum time between two queries of the pools' demand.
	demandInterval = 300 * time.Millisecond
	// drainTimeout is how long a host that is to move may take to become empty.
	drainTimeout = 5 * time.Second
	// demandTTL is how long the last demand reported by a pool's owner stays valid. It covers the
	// loss of the owner: the expiry of its lease and the time to read its records.
	demandTTL = 4 * time.Second
	// arrivalSlack is added to the time of a move before the transfer of a host that is
	// not yet listed in its new pool is abandoned.
	arrivalSlack = 4 * time.Second
)

// transfer is a move in progress.
type transfer struct {
	Move
	from      fleet.ServiceID
	decidedAt monotonic.Time
	// commandedAt is when the move command was last sent; 0 means never.
	commandedAt monotonic.Time
	accepted    bool
}

// balance moves hosts to the pools that need them.
func (m *Manager) balance(ctx context.Context) error {
	now := monotonic.Now()
	if now.Sub(m.demandAt) > demandInterval {
		m.queryDemand(ctx)
	}
	for id, t := range m.transfers {
		if m.transferDone(t) {
			delete(m.transfers, id)
		}
	}
	for _, move := range planMoves(m.poolStates(now), maxConcurrentMoves(len(m.hosts)), m.movable) {
		h := m.hosts[move.Host]
		m.transfers[move.Host] = &transfer{Move: move, from: h.Pool, decidedAt: now}
		m.Log.WithFields(logrus.Fields{
			"host": move.Host, "from": h.Pool, "to": move.To, "wanted": move.Wanted, "demand_age_ms": now.Sub(m.demandAt).Milliseconds(),
		}).Info("move decided")
	}
	return m.advanceTransfers(ctx)
}

func (m *Manager) queryDemand(ctx context.Context) {
	m.demandAt = monotonic.Now()
	demand := map[fleet.ServiceID]Demand{}
	for _, name := range m.Pools() {
		d, err := m.Shards.Demand(ctx, name, m.workersDueForMaintenance(name))
		if err != nil {
			m.Log.WithError(err).WithField("pool", name).Debug("demand of pool unknown")
			continue
		}
		demand[name] = d
		if d.Settling {
			// The last demand reported by the former owner stays valid for demandTTL.
			continue
		}
		if m.wanted[name] == nil {
			m.wanted[name] = &wantedHistory{}
		}
		m.wanted[name].record(m.demandAt, d.Wanted)
	}
	m.demand = demand
}

// poolStates returns the state of the pools for planning, sorted by name.
func (m *Manager) poolStates(now monotonic.Time) []*pool {
	byName := map[fleet.ServiceID]*pool{}
	available := 0
	for _, h := range m.hosts {
		if !m.evacuated(h) {
			available++
		}
	}
	floor := capacity.MinHostsPerPool(available, len(m.Pools()))
	add := func(name fleet.ServiceID) *pool {
		p := byName[name]
		if p == nil {
			d, known := m.demand[name]
			p = &pool{name: name, spare: m.Spare()[name], known: known, wanted: max(d.Wanted, floor), needed: d.Wanted, releasable: d.Releasable}
			h := m.wanted[name]
			remembered := h != nil && now.Sub(h.latest().at) < demandTTL
			switch {
			case known && d.Settling && remembered:
				// While its owner changes, a pool keeps the hosts that it needed last and may
				// give up the others.
				p.wanted, p.needed = max(p.wanted, h.latest().wanted), max(p.needed, h.latest().wanted)
				p.reassignPeak, p.switchOffPeak = max(h.peak(now, reassignDelay), p.wanted), max(h.peak(now, switchOffDelay), p.wanted)
			case known && d.Settling:
				p.keepSize = true
			case h != nil && known:
				p.reassignPeak, p.switchOffPeak = max(h.peak(now, reassignDelay), floor), max(h.peak(now, switchOffDelay), floor)
			case remembered:
				p.wanted, p.needed = max(h.latest().wanted, floor), h.latest().wanted
			case !known:
				p.wanted = 0
			}
			byName[name] = p
		}
		return p
	}
	// Pools without hosts are included: all hosts of the spare pool may be in use elsewhere.
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
		if m.evacuated(h) {
			continue
		}
		t := m.transfers[h.ID]
		switch {
		case t != nil && h.Pool != t.To:
			// Counted as incoming in its target pool, below.
		case h.State == Up || h.State == Moving:
			p.hosts = append(p.hosts, h)
		case h.State == Maintenance:
			p.incoming++
		}
	}
	for _, t := range m.transfers {
		if p := byName[t.To]; p != nil && m.hosts[t.Host].Pool != t.To && !m.evacuated(m.hosts[t.Host]) {
			p.incoming++
		}
	}
	pools := make([]*pool, 0, len(byName))
	for _, p := range byName {
		sort.Slice(p.hosts, func(i, j int) bool { return p.hosts[i].ID < p.hosts[j].ID })
		if p.keepSize {
			p.wanted, p.needed = max(p.wanted, p.size()), max(p.needed, p.size())
			p.reassignPeak, p.switchOffPeak = p.wanted, p.wanted
		}
		pools = append(pools, p)
	}
	sort.Slice(pools, func(i, j int) bool { return pools[i].name < pools[j].name })
	return pools
}

// evacuated reports whether a host is in an availability zone under evacuation. Its worker gets no tasks, so it is no
// capacity of its pool.
func (m *Manager) evacuated(h Host) bool {
	return m.Evacuated != nil && m.Evacuated()[h.AvailabilityZone]
}

// movable reports whether a host may leave its pool now.
func (m *Manager) movable(h Host) bool {
	if h.State != Up || m.transfers[h.ID] != nil || m.evacuated(h) {
		return false
	}
	if monotonic.Now() < m.blocked[h.ID] {
		return false
	}
	for _, w := range m.waves {
		// A host that is due for maintenance stays in its pool and is maintained there while
		// it is free.
		if p := w.progress[h.ID]; p != nil && !w.completed && (p.down() || !p.begun()) {
			return false
		}
	}
	return true
}

// surpluses returns how many hosts each pool can spare for maintenance.
func (m *Manager) surpluses(now monotonic.Time) map[fleet.ServiceID]int {
	out := map[fleet.ServiceID]int{}
	for _, p := range m.poolStates(now) {
		if !p.spare {
			out[p.name] = p.maxInMaintenance()
		}
	}
	return out
}

// workersDueForMaintenance returns the workers of a pool whose hosts still wait for maintenance.
func (m *Manager) workersDueForMaintenance(name fleet.ServiceID) []worker.ID {
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

// advanceTransfers drains the hosts that are to move and commands the moves.
func (m *Manager) advanceTransfers(ctx context.Context) error {
	now := monotonic.Now()
	var commands []*command
	for _, t := range m.transfers {
		h, ok := m.hosts[t.Host]
		if !ok || t.accepted || h.Pool == t.To || h.State != Up || (t.commandedAt != 0 && now.Sub(t.commandedAt) < commandRetryInterval) {
			continue
		}
		commands = append(commands, &command{host: h, up: true})
	}
	// Oldest first, so that transfers that were not handled in this pass come first in the next.
	sort.Slice(commands, func(i, j int) bool {
		a, b := m.transfers[commands[i].host.ID], m.transfers[commands[j].host.ID]
		if a.decidedAt != b.decidedAt {
			return a.decidedAt < b.decidedAt
		}
		return a.Host < b.Host
	})
	to := map[fleet.HostID]fleet.ServiceID{}
	for _, c := range commands {
		to[c.host.ID] = m.transfers[c.host.ID].To
	}
	finishing, cancel := finishingContext(ctx)
	defer cancel()
	m.runConcurrently(commands, func(c *command) {
		if c.err = m.checkCommandAllowed(ctx, c.host.ID); c.err != nil {
			return
		}
		if m.drain(ctx, c); c.empty {
			m.send(ctx, c, func() error { return m.Platform.Move(finishing, m.Holder, c.host.ID, to[c.host.ID]) })
		}
	})
	var failures []error
	for _, c := range commands {
		failures = append(failures, m.recordMoveResult(c))
	}
	return firstError(failures)
}

// recordMoveResult applies the result of a move command. It returns an error if no
// further command should be issued in this pass.
func (m *Manager) recordMoveResult(c *command) error {
	if c.sent == 0 {
		return c.err
	}
	t := m.transfers[c.host.ID]
	before := t.commandedAt
	t.commandedAt, m.lastCommand[t.Host] = c.sent, c.ended
	fields := logrus.Fields{"host": t.Host, "from": t.from, "to": t.To, "token": m.Holder.Token, "emptied_ms": c.sent.Sub(t.decidedAt).Milliseconds()}
	var refused *RefusedError
	switch {
	case c.err == nil:
		t.accepted = true
		m.listedAt = 0
		m.Log.WithFields(fields).Info("move ordered")
		return nil
	case errors.As(c.err, &refused):
		m.Log.WithFields(fields).WithField("reason", refused.Reason).Info("move refused")
		delete(m.transfers, t.Host)
		return nil
	case errors.As(c.err, new(*NoEffectError)):
		t.commandedAt = before
	}
	return c.err
}

// transferDone reports whether a transfer is finished, cancelled or timed out.
func (m *Manager) transferDone(t *transfer) bool {
	h, ok := m.hosts[t.Host]
	now := monotonic.Now()
	switch {
	case !ok:
		return now.Sub(t.decidedAt) > drainTimeout
	case h.Pool == t.To:
		return h.State == Up
	case t.commandedAt == 0 && m.evacuated(h):
		m.Log.WithFields(logrus.Fields{"host": t.Host, "from": t.from, "to": t.To, "zone": h.AvailabilityZone}).Info("move cancelled: zone is evacuated")
		return true
	case t.accepted:
		return now.Sub(t.commandedAt) > m.MoveTime+arrivalSlack
	case t.commandedAt == 0 && now.Sub(t.decidedAt) > drainTimeout:
		m.Log.WithFields(logrus.Fields{"host": t.Host, "from": t.from, "to": t.To}).Info("move cancelled: host did not become empty in time")
		return true
	}
	return false
}
