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

// place is where a value was written, for findings.
type place struct{ doc, path string }

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

func placeOf(n *node) place {
	if n == nil {
		return place{}
	}
	return place{doc: n.doc, path: n.path}
}

func (r *rendering) serviceBody(name string, n *node) (serviceBody, place) {
	o, ok := r.object(n, "open", "open_team", "max_run_time_ms", "max_wait_ms", "max_body_bytes", "pool", "budget")
	if !ok {
		return serviceBody{}, place{}
	}
	openTeam, openNode := o.name("open_team", false)
	pool, poolNode := o.name("pool", true)
	b := serviceBody{
		service: fleet.Service{
			ID:           fleet.ServiceID(name),
			Open:         o.boolean("open"),
			OpenTeam:     fleet.TeamID(openTeam),
			MaxRunTime:   milliseconds(o.integer("max_run_time_ms", 1, maxRunTimeMS, fallback(defaultRunTimeMS))),
			MaxWait:      milliseconds(o.integer("max_wait_ms", 1, maxWaitMS, fallback(defaultWaitMS))),
			MaxBodyBytes: o.integer("max_body_bytes", 0, maxBodyBytes, fallback(0)),
		},
		pool: pool,
	}
	if budget, ok := o.section("budget", "max_unavailable"); ok {
		b.maxUnavailable = budget.integer("max_unavailable", 0, maxHosts, nil)
	}
	r.checkOpen(o, b.service, openNode)
	return b, placeOf(poolNode)
}

func (r *rendering) checkOpen(o reader, s fleet.Service, openNode *node) {
	if open := o.n.get("open"); open != nil && open.kind == kindHole {
		return
	}
	switch {
	case s.Open && openNode == nil:
		r.missing(o.n, "open_team", "a team, because the service is open")
	case !s.Open && openNode != nil:
		r.at(openNode, "no open_team, because the service is not open")
	case s.Open && s.OpenTeam != "" && s.ID != "":
		// Teams of later accounts are not known yet.
		r.openTeams = append(r.openTeams, openNode)
	}
}

func (r *rendering) poolBody(n *node) (poolBody, place) {
	o, ok := r.object(n, "fleet", "min_hosts", "max_hosts", "spare", "maintenance")
	if !ok {
		return poolBody{}, place{}
	}
	fleetName, fleetNode := o.name("fleet", false)
	b := poolBody{
		fleet:    fleetName,
		minHosts: o.integer("min_hosts", 0, maxHosts, fallback(0)),
		maxHosts: o.integer("max_hosts", 0, maxHosts, fallback(maxHosts)),
		spare:    o.boolean("spare"),
	}
	if b.minHosts > b.maxHosts {
		r.at(o.n.get("min_hosts"), "a number not above max_hosts")
	}
	if m, ok := o.section("maintenance", "max_parallel_hosts", "interval_days"); ok {
		b.parallelHosts = m.integer("max_parallel_hosts", 1, maxHosts, fallback(1))
		b.intervalDays = m.integer("interval_days", 1, maxDays, fallback(42))
	}
	return b, placeOf(fleetNode)
}

func (r *rendering) fleetBody(n *node) (fleetBody, place) {
	o, ok := r.object(n, "spare_pool", "buffer_percent")
	if !ok {
		return fleetBody{}, place{}
	}
	pool, poolNode := o.name("spare_pool", false)
	return fleetBody{
		sparePool:     pool,
		bufferPercent: o.integer("buffer_percent", 0, maxPercent, fallback(0)),
	}, placeOf(poolNode)
}

// checkServices checks references of services after all accounts were read.
func (r *rendering) checkServices() {
	for _, name := range slices.Sorted(maps.Keys(r.services)) {
		b := r.services[name]
		if _, ok := r.pools[b.pool]; !ok && b.pool != "" {
			p := r.places[KindService+"/"+name]
			r.add(p.doc, p.path, b.pool, "the name of a pool that an account uses")
		}
		r.snapshot.Services[b.service.ID] = b.service
	}
	for _, n := range r.openTeams {
		if _, ok := r.snapshot.Teams[fleet.TeamID(n.text)]; !ok {
			r.at(n, "the ID of a team")
		}
	}
}

// checkPools checks the references between pools and fleets.
func (r *rendering) checkPools() {
	for _, name := range slices.Sorted(maps.Keys(r.pools)) {
		b := r.pools[name]
		if _, ok := r.fleets[b.fleet]; !ok && b.fleet != "" {
			p := r.places[KindPool+"/"+name]
			r.add(p.doc, p.path, b.fleet, "the name of a fleet that an account uses")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.fleets)) {
		b := r.fleets[name]
		if p, ok := r.pools[b.sparePool]; b.sparePool != "" && (!ok || !p.spare) {
			p := r.places[KindFleet+"/"+name]
			r.add(p.doc, p.path, b.sparePool, "the name of a pool with spare set")
		}
	}
}
