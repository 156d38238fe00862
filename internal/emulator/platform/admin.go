package platform

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"net/http"
	"slices"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/store"
)

func (p *Platform) adminRoutes() {
	p.mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, p.Faults()) })
	p.mux.HandleFunc("PUT /admin/faults", admin(p.SetFaults))
	p.mux.HandleFunc("GET /admin/counters", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, p.Counters()) })
	p.mux.HandleFunc("DELETE /admin/counters", func(w http.ResponseWriter, _ *http.Request) {
		p.ResetCounters()
		reply(w, http.StatusOK, store.Empty{})
	})
	p.mux.HandleFunc("GET /admin/hosts", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, p.TrueHosts()) })
	p.mux.HandleFunc("PUT /admin/hosts", admin(p.SetHosts))
	p.mux.HandleFunc("PUT /admin/hosts/state", admin(func(s HostState) { p.SetHostState(s.Host, s.State) }))
	p.mux.HandleFunc("GET /admin/commands", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, p.Commands()) })
	p.mux.HandleFunc("POST /admin/leases/expire", func(w http.ResponseWriter, _ *http.Request) {
		p.ExpireAllLeases()
		reply(w, http.StatusOK, store.Empty{})
	})
}

// admin returns a handler that passes the decoded JSON body to set.
func admin[Q any](set func(Q)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req Q
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		d.DisallowUnknownFields()
		if err := d.Decode(&req); err != nil {
			reply(w, http.StatusBadRequest, store.Fault{Code: store.FaultBadRequest, Detail: err.Error()})
			return
		}
		set(req)
		reply(w, http.StatusOK, store.Empty{})
	}
}

// Faults returns the injected faults.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	// Wake watches that the previous faults stalled.
	close(p.wake)
	p.wake = make(chan struct{})
}

// Counters returns the number of calls by kind, such as kv/put.
func (p *Platform) Counters() map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.counters)
}

// ResetCounters sets all counters to 0.
func (p *Platform) ResetCounters() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters = map[string]int64{}
}

// Commands returns the host commands received so far.
func (p *Platform) Commands() []Command {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Command{}, p.commands...)
}

// TrueHosts returns the current host list, without lag.
func (p *Platform) TrueHosts() []fleet.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]fleet.Host{}, p.hosts[len(p.hosts)-1].hosts...)
}

// SetHosts replaces the host list; callers see it after the lag.
func (p *Platform) SetHosts(hosts []fleet.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setHosts(hosts)
}

// SetHostState changes the state of one host; callers see it after the lag.
func (p *Platform) SetHostState(id fleet.HostID, state fleet.HostState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := slices.Clone(p.hosts[len(p.hosts)-1].hosts)
	for i := range hosts {
		if hosts[i].ID == id {
			hosts[i].State = state
		}
	}
	p.setHosts(hosts)
}

func (p *Platform) setHosts(hosts []fleet.Host) {
	p.hosts = append(p.hosts, hostList{since: time.Now(), hosts: slices.Clone(hosts)})
}

// visibleHosts returns the newest list that is at least as old as the lag, and drops
// older ones.
func (p *Platform) visibleHosts() []fleet.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.hosts) > 1 && time.Since(p.hosts[1].since) >= p.config.HostLag {
		p.hosts = p.hosts[1:]
	}
	return append([]fleet.Host{}, p.hosts[0].hosts...)
}

func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r, "hosts/list") {
		return
	}
	body, err := json.Marshal(store.HostsReply{Hosts: p.visibleHosts()})
	if err != nil {
		reply(w, http.StatusInternalServerError, store.Fault{Detail: err.Error()})
		return
	}
	sum := fnv.New64a()
	sum.Write(body)
	etag := fmt.Sprintf("%q", fmt.Sprintf("%x", sum.Sum64()))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The write fails only when the caller has disconnected.
	_, _ = w.Write(body)
}

// command returns the handler that records host commands of a kind.
func (p *Platform) command(kind string) func(*http.Request, store.HostRequest) (store.Empty, *errorReply) {
	return func(_ *http.Request, req store.HostRequest) (store.Empty, *errorReply) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.commands = append(p.commands, Command{Kind: kind, Host: req.Host, Time: time.Now()})
		return store.Empty{}, nil
	}
}
