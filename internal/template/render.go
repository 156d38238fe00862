// Package template renders operator documents into a configuration and reports all errors
// in them before anything is written.
//
// A document is one strict JSON object:
//
//	service/<name>, pool/<name>, fleet/<name>
//	    a template: {"parameters": {name: {"type", "default", "min", "max", "description"}}, "body": {...}}.
//	    In the body, {"$param": "name"} is replaced by the value of a parameter.
//	account/<name>
//	    a client account: {"parameters": {...}, "templates": [{"template", "name", "parameters"}], "teams": [{"id", "weight", "limit"}]}.
//	endpoints/<service>
//	    {"endpoints": [{"id", "address", "host", "slots", "connections", "leaving"}]}.
//	keys/<account>
//	    {"keys": [{"id", "team", "hash", "revoked"}]}, written by key commands only.
//
// Templates are only instantiated for the accounts that use them. Accounts share a service,
// pool or fleet of the same name if they render it to the same values.
package template

import (
	"maps"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"samphirestile.example/samphirestile/internal/config"
	"samphirestile.example/samphirestile/internal/fleet"
)

// Kinds of documents.
const (
	KindService   = "service"
	KindPool      = "pool"
	KindFleet     = "fleet"
	KindAccount   = "account"
	KindEndpoints = "endpoints"
	KindKeys      = "keys"
)

var kinds = []string{KindService, KindPool, KindFleet, KindAccount, KindEndpoints, KindKeys}

// Limits and defaults of values.
const (
	maxRunTimeMS     = 3_600_000
	defaultRunTimeMS = 30_000
	maxWaitMS        = 600_000
	defaultWaitMS    = 10_000
	maxBodyBytes     = 1 << 40
	maxWeight        = 1_000_000
	minWeight        = 0.001
	maxLimit         = 1_000_000
	maxSlots         = 10_000
	maxConnections   = 100_000
	maxHosts         = 100_000
	maxPercent       = 100
	maxIntervalDays  = 3650
)

// SplitName splits a document name into kind and name; ok is false if it is malformed.
func SplitName(document string) (kind, name string, ok bool) {
	kind, name, found := strings.Cut(document, "/")
	return kind, name, found && slices.Contains(kinds, kind) && namePattern.MatchString(name)
}

// renderer is the state of one call of Render.
type renderer struct {
	collector
	snapshot  *config.Snapshot
	roots     map[string]*node
	templates map[string]*templateDocument
	// used holds the names of the templates that an account references.
	used     map[string]bool
	services map[string]serviceBody
	pools    map[string]poolBody
	fleets   map[string]fleetBody
	// referenceLocations holds the location of each object's reference to another object,
	// by kind/name.
	referenceLocations map[string]location
	teamNodes          map[fleet.TeamID]*node
	addresses          map[netip.AddrPort]*node
	openTeams          []*node
}

// Render validates all documents and renders them. It returns a *FindingsError with all
// findings. The revision of the result is 0.
func Render(documents map[string][]byte) (*config.Snapshot, error) {
	r := &renderer{
		snapshot: &config.Snapshot{
			Services:  map[fleet.ServiceID]fleet.Service{},
			Teams:     map[fleet.TeamID]fleet.Team{},
			Keys:      map[string]fleet.Key{},
			Endpoints: map[fleet.EndpointID]fleet.Endpoint{},
		},
		roots:              map[string]*node{},
		templates:          map[string]*templateDocument{},
		used:               map[string]bool{},
		services:           map[string]serviceBody{},
		pools:              map[string]poolBody{},
		fleets:             map[string]fleetBody{},
		referenceLocations: map[string]location{},
		teamNodes:          map[fleet.TeamID]*node{},
		addresses:          map[netip.AddrPort]*node{},
	}
	r.parseAll(documents)
	r.each(KindAccount, r.account)
	r.renderUnused()
	r.checkServices()
	r.checkPools()
	r.each(KindEndpoints, r.endpoints)
	r.each(KindKeys, r.keys)
	if err := r.err(); err != nil {
		return nil, err
	}
	return r.snapshot, nil
}

func (r *renderer) parseAll(documents map[string][]byte) {
	for _, document := range slices.Sorted(maps.Keys(documents)) {
		kind, _, ok := SplitName(document)
		if !ok {
			r.add(document, "$", document, "kind/name with kind one of "+strings.Join(kinds, ", ")+" and name of "+nameRule)
			continue
		}
		root, err := parse(document, documents[document])
		if err != nil {
			path, allowed := "$", err.Error()
			if s, ok := err.(*syntaxError); ok {
				path, allowed = s.path, s.detail
			}
			r.add(document, path, "not readable", allowed)
			continue
		}
		r.roots[document] = root
		if kind == KindService || kind == KindPool || kind == KindFleet {
			r.templates[document] = r.parseTemplate(document, root)
		}
	}
}

// each calls f for the documents of a kind in name order.
func (r *renderer) each(kind string, f func(name string, root *node)) {
	for _, document := range slices.Sorted(maps.Keys(r.roots)) {
		if k, name, _ := SplitName(document); k == kind {
			f(name, r.roots[document])
		}
	}
}

func (r *renderer) account(account string, root *node) {
	o, ok := r.object(root, "parameters", "templates", "teams")
	if !ok {
		return
	}
	accountParameters, _ := o.value("parameters", false, "")
	if accountParameters != nil && accountParameters.kind != kindObject {
		r.addAt(accountParameters, "an object")
		accountParameters = nil
	}
	declared := map[string]bool{}
	for _, n := range o.array("templates", false) {
		r.renderTemplate(n, accountParameters, declared)
	}
	if accountParameters != nil {
		for _, f := range accountParameters.fields {
			if !declared[f.name] {
				r.addAt(f.value, "a parameter of a template that this account uses")
			}
		}
	}
	for _, n := range o.array("teams", false) {
		r.team(account, n)
	}
}

// renderTemplate renders one reference of an account to a template and adds the parameters
// of the template to declared.
func (r *renderer) renderTemplate(n, accountParameters *node, declared map[string]bool) {
	o, ok := r.object(n, "template", "name", "parameters")
	if !ok {
		return
	}
	const rule = "the name of a service, pool or fleet document"
	ref, ok := o.value("template", true, rule)
	if !ok {
		return
	}
	t := r.templates[ref.text]
	if ref.kind != kindString || t == nil {
		r.addAt(ref, rule)
		return
	}
	referenceParameters, _ := o.value("parameters", false, "")
	if referenceParameters != nil && referenceParameters.kind != kindObject {
		r.addAt(referenceParameters, "an object")
		referenceParameters = nil
	}
	if referenceParameters != nil {
		for _, f := range referenceParameters.fields {
			if _, ok := t.parameters[f.name]; !ok {
				r.addAt(f.value, "a parameter of "+t.name)
			}
		}
	}
	for name := range t.parameters {
		declared[name] = true
	}
	r.used[t.name] = true
	kind, name, _ := SplitName(t.name)
	if override, _ := o.name("name", false); override != "" {
		name = override
	}
	if t.body != nil {
		r.renderBody(kind, name, substitute(t.body, r.bind(t, referenceParameters, accountParameters, n)), n)
	}
}

// renderUnused validates the templates that no account uses, with the default values of
// their parameters. Fields with a parameter that has no default are not checked.
func (r *renderer) renderUnused() {
	for _, document := range slices.Sorted(maps.Keys(r.templates)) {
		t := r.templates[document]
		if r.used[document] || t.body == nil {
			continue
		}
		kind, _, _ := SplitName(document)
		r.renderBody(kind, "", substitute(t.body, t.defaults()), nil)
	}
}

// renderBody reads the body of a template after substitution. If name is empty, the body is
// only validated.
func (r *renderer) renderBody(kind, name string, n, referenceNode *node) {
	var loc location
	switch kind {
	case KindService:
		var b serviceBody
		b, loc = r.serviceBody(name, n)
		collect(r, r.services, name, b, referenceNode)
	case KindPool:
		var b poolBody
		b, loc = r.poolBody(n)
		collect(r, r.pools, name, b, referenceNode)
	case KindFleet:
		var b fleetBody
		b, loc = r.fleetBody(n)
		collect(r, r.fleets, name, b, referenceNode)
	}
	if name != "" {
		r.referenceLocations[kind+"/"+name] = loc
	}
}

// collect stores an object that an account rendered with the given reference. Two different
// objects of the same name yield a finding.
func collect[T comparable](r *renderer, all map[string]T, name string, v T, referenceNode *node) {
	if name == "" {
		return
	}
	if other, ok := all[name]; ok && other != v {
		r.add(referenceNode.doc, referenceNode.path, name, "a name that no account renders to other values")
		return
	}
	all[name] = v
}

func (r *renderer) team(account string, n *node) {
	o, ok := r.object(n, "id", "weight", "limit")
	if !ok {
		return
	}
	id, _ := o.name("id", true)
	t := fleet.Team{
		ID: fleet.TeamID(id), Account: account,
		Weight: o.number("weight", minWeight, maxWeight),
		Limit:  int(o.integer("limit", 0, maxLimit, nil)),
	}
	if id == "" {
		return
	}
	if other, ok := r.teamNodes[t.ID]; ok {
		r.addAt(n.get("id"), "a team ID that is not in use; "+other.doc+" "+other.path+" has it")
		return
	}
	r.teamNodes[t.ID] = n
	r.snapshot.Teams[t.ID] = t
}

func (r *renderer) endpoints(service string, root *node) {
	o, ok := r.object(root, "endpoints")
	if !ok {
		return
	}
	if _, ok := r.services[service]; !ok {
		r.add(root.doc, "$", service, "the name of a service that an account uses")
	}
	for _, n := range o.array("endpoints", true) {
		r.endpoint(service, n)
	}
}

func (r *renderer) endpoint(service string, n *node) {
	o, ok := r.object(n, "id", "address", "host", "slots", "connections", "leaving")
	if !ok {
		return
	}
	id, idNode := o.name("id", true)
	host, _ := o.name("host", false)
	e := fleet.Endpoint{
		ID: fleet.EndpointID(id), Service: fleet.ServiceID(service), Host: fleet.HostID(host),
		Address:     r.address(o),
		Slots:       int(o.integer("slots", 1, maxSlots, nil)),
		Connections: int(o.integer("connections", 1, maxConnections, nil)),
		Leaving:     o.boolean("leaving"),
	}
	if id == "" {
		return
	}
	if other, ok := r.snapshot.Endpoints[e.ID]; ok {
		r.addAt(idNode, "an endpoint ID that is not in use; service "+string(other.Service)+" has it")
		return
	}
	r.snapshot.Endpoints[e.ID] = e
}

func (r *renderer) address(o objectReader) string {
	const rule = "an IP number and port, such as 192.0.2.1:8080"
	v, ok := o.value("address", true, rule)
	if !ok {
		return ""
	}
	a, err := netip.ParseAddrPort(v.text)
	if v.kind != kindString || err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		r.addAt(v, rule)
		return ""
	}
	a = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	if other, ok := r.addresses[a]; ok {
		r.addAt(v, "an address that is not in use; "+other.doc+" "+other.path+" has it")
	}
	r.addresses[a] = v
	return a.String()
}

var (
	keyIDPattern = regexp.MustCompile(`^[0-9a-f]{16}$`)
	hashPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

func (r *renderer) keys(account string, root *node) {
	o, ok := r.object(root, "keys")
	if !ok {
		return
	}
	for _, n := range o.array("keys", true) {
		r.key(account, n)
	}
}

// key reads one key record. Keys of a team that the account no longer has are omitted, so
// that a team can be removed and its keys are then rejected.
func (r *renderer) key(account string, n *node) {
	o, ok := r.object(n, "id", "team", "hash", "revoked")
	if !ok {
		return
	}
	id, idNode := o.text("id", true, keyIDPattern, "16 hexadecimal digits")
	team, _ := o.name("team", true)
	hash, _ := o.text("hash", true, hashPattern, "64 hexadecimal digits")
	k := fleet.Key{ID: id, Team: fleet.TeamID(team), Hash: hash, Revoked: o.boolean("revoked")}
	if id == "" {
		return
	}
	if _, ok := r.snapshot.Keys[id]; ok {
		r.addAt(idNode, "a key ID that is not in use")
		return
	}
	if r.snapshot.Teams[k.Team].Account == account {
		r.snapshot.Keys[id] = k
	}
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
