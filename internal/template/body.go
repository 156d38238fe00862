package template

import (
	"maps"
	"slices"

	"samphirestile.example/samphirestile/internal/fleet"
)

// serviceBody is a rendered service.
type serviceBody struct {
	service        fleet.Service
	pool           string
	maxUnavailable int64
}

// location is the document and path at which a finding is reported.
type location struct{ doc, path string }

type poolBody struct {
	fleet              string
	minHosts, maxHosts int64
	spare              bool
	parallelHosts      int64
	intervalDays       int64
}

type fleetBody struct {
	sparePool     string
	bufferPercent int64
}

func locationOf(n *node) location {
	if n == nil {
		return location{}
	}
	return location{doc: n.doc, path: n.path}
}

func (r *renderer) serviceBody(name string, n *node) (serviceBody, location) {
	o, ok := r.object(n, "open", "open_team", "max_run_time_ms", "max_wait_ms", "max_body_bytes", "pool", "budget")
	if !ok {
		return serviceBody{}, location{}
	}
	openTeam, openNode := o.name("open_team", false)
	pool, poolNode := o.name("pool", true)
	b := serviceBody{
		service: fleet.Service{
			ID:           fleet.ServiceID(name),
			Open:         o.boolean("open"),
			OpenTeam:     fleet.TeamID(openTeam),
			MaxRunTime:   milliseconds(o.integer("max_run_time_ms", 1, maxRunTimeMS, defaultTo(defaultRunTimeMS))),
			MaxWait:      milliseconds(o.integer("max_wait_ms", 1, maxWaitMS, defaultTo(defaultWaitMS))),
			MaxBodyBytes: o.integer("max_body_bytes", 0, maxBodyBytes, defaultTo(0)),
		},
		pool: pool,
	}
	if budget, ok := o.optionalObject("budget", "max_unavailable"); ok {
		b.maxUnavailable = budget.integer("max_unavailable", 0, maxHosts, nil)
	}
	r.checkOpen(o, b.service, openNode)
	return b, locationOf(poolNode)
}

func (r *renderer) checkOpen(o objectReader, s fleet.Service, openNode *node) {
	if open := o.n.get("open"); open != nil && open.kind == kindUnbound {
		return
	}
	switch {
	case s.Open && openNode == nil:
		r.missing(o.n, "open_team", "a team, because the service is open")
	case !s.Open && openNode != nil:
		r.addAt(openNode, "no open_team, because the service is not open")
	case s.Open && s.OpenTeam != "" && s.ID != "":
		// Checked after all accounts were read, because a later account may define the team.
		r.openTeams = append(r.openTeams, openNode)
	}
}

func (r *renderer) poolBody(n *node) (poolBody, location) {
	o, ok := r.object(n, "fleet", "min_hosts", "max_hosts", "spare", "maintenance")
	if !ok {
		return poolBody{}, location{}
	}
	fleetName, fleetNode := o.name("fleet", false)
	b := poolBody{
		fleet:    fleetName,
		minHosts: o.integer("min_hosts", 0, maxHosts, defaultTo(0)),
		maxHosts: o.integer("max_hosts", 0, maxHosts, defaultTo(maxHosts)),
		spare:    o.boolean("spare"),
	}
	if b.minHosts > b.maxHosts {
		r.addAt(o.n.get("min_hosts"), "a number not above max_hosts")
	}
	if m, ok := o.optionalObject("maintenance", "max_parallel_hosts", "interval_days"); ok {
		b.parallelHosts = m.integer("max_parallel_hosts", 1, maxHosts, defaultTo(1))
		b.intervalDays = m.integer("interval_days", 1, maxIntervalDays, defaultTo(42)) // six weeks
	}
	return b, locationOf(fleetNode)
}

func (r *renderer) fleetBody(n *node) (fleetBody, location) {
	o, ok := r.object(n, "spare_pool", "buffer_percent")
	if !ok {
		return fleetBody{}, location{}
	}
	pool, poolNode := o.name("spare_pool", false)
	return fleetBody{
		sparePool:     pool,
		bufferPercent: o.integer("buffer_percent", 0, maxPercent, defaultTo(0)),
	}, locationOf(poolNode)
}

// checkServices checks the references of services to pools and teams after all accounts
// were read, and adds the services to the snapshot.
func (r *renderer) checkServices() {
	for _, name := range slices.Sorted(maps.Keys(r.services)) {
		b := r.services[name]
		if _, ok := r.pools[b.pool]; !ok && b.pool != "" {
			loc := r.referenceLocations[KindService+"/"+name]
			r.add(loc.doc, loc.path, b.pool, "the name of a pool that an account uses")
		}
		r.snapshot.Services[b.service.ID] = b.service
	}
	for _, n := range r.openTeams {
		if _, ok := r.snapshot.Teams[fleet.TeamID(n.text)]; !ok {
			r.addAt(n, "the ID of a team")
		}
	}
}

// checkPools checks the references between pools and fleets.
func (r *renderer) checkPools() {
	for _, name := range slices.Sorted(maps.Keys(r.pools)) {
		b := r.pools[name]
		if _, ok := r.fleets[b.fleet]; !ok && b.fleet != "" {
			loc := r.referenceLocations[KindPool+"/"+name]
			r.add(loc.doc, loc.path, b.fleet, "the name of a fleet that an account uses")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.fleets)) {
		b := r.fleets[name]
		if pool, ok := r.pools[b.sparePool]; b.sparePool != "" && (!ok || !pool.spare) {
			loc := r.referenceLocations[KindFleet+"/"+name]
			r.add(loc.doc, loc.path, b.sparePool, "the name of a pool with spare set")
		}
	}
}
