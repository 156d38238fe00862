// Package platform emulates the platform in memory: the key-value store, the host
// list and the host commands, over the protocol of internal/store. Tests, the demo
// and benchmarks use it.
//
// The admin interface injects faults and shows the state:
//
//	GET, PUT /admin/faults            Faults
//	GET      /admin/counters          calls by kind
//	DELETE   /admin/counters          sets all counters to 0
//	GET, PUT /admin/hosts             the current host list; /v1/hosts/list lags behind it
//	PUT      /admin/hosts/state       HostState of one host
//	GET      /admin/commands          received drain and reboot commands
//	POST     /admin/leases/expire     removes all leases and their records
package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/store"
)

// Defaults of Config.
const (
	// DefaultHistory is the number of changes that are kept for watches.
	DefaultHistory = 4096
	// maxBodyBytes suffices for the largest value in base64 and its key.
	maxBodyBytes = 2 << 20
	// maxWatchWait bounds the wait time of a watch.
	maxWatchWait = time.Minute
	// leaseExpiryInterval is the interval at which leases are checked for expiry.
	leaseExpiryInterval = 20 * time.Millisecond
)

// Config configures an emulated platform.
type Config struct {
	// History is the number of changes kept for watches; 0 means DefaultHistory.
	History int
	// HostLag is the delay after which callers see changes of the host list.
	HostLag time.Duration
}

// Faults are the injected faults.
type Faults struct {
	// Down fails every call with 503 unavailable, without effect.
	Down bool `json:"down"`
	// Unreachable closes the connection of every call without a response or effect.
	Unreachable bool `json:"unreachable"`
	// DelayMS delays every call before it takes effect. A write takes effect even if its
	// caller has timed out meanwhile.
	DelayMS int64 `json:"delay_ms"`
	// LoseWriteAnswers is the number of further writes that are applied, but whose
	// connections are closed without a response; a negative number means all writes.
	LoseWriteAnswers int `json:"lose_write_answers"`
	// LoseWritePrefix limits LoseWriteAnswers for puts to keys with this prefix.
	LoseWritePrefix string `json:"lose_write_prefix"`
	// StallWatches withholds changes from watches.
	StallWatches bool `json:"stall_watches"`
	// LeaseTTLDivisor expires leases early, after their TTL divided by it; a value below
	// 1 has no effect.
	LeaseTTLDivisor int64 `json:"lease_ttl_divisor"`
}

// HostState sets the state of one host.
type HostState struct {
	Host  fleet.HostID    `json:"host"`
	State fleet.HostState `json:"state"`
}

// Command is a host command that the platform received.
type Command struct {
	Kind string       `json:"kind"`
	Host fleet.HostID `json:"host"`
	Time time.Time    `json:"time"`
}

type record struct {
	value   []byte
	version uint64
	lease   uint64
}

type change struct {
	key     string
	value   []byte
	version uint64
	deleted bool
}

type lease struct {
	ttl     time.Duration
	renewed time.Time
}

type hostList struct {
	since time.Time
	hosts []fleet.Host
}

// Platform is an emulated platform. It implements http.Handler.
type Platform struct {
	config Config
	mux    *http.ServeMux
	stop   chan struct{}
	once   sync.Once
	done   chan struct{}

	mu        sync.Mutex
	records   map[string]record
	revision  uint64
	compacted uint64
	history   []change
	wake      chan struct{}
	leases    map[uint64]lease
	nextLease uint64
	hosts     []hostList
	commands  []Command
	faults    Faults
	counters  map[string]int64
}

// New starts an emulated platform; Close stops it.
func New(c Config) *Platform {
	if c.History == 0 {
		c.History = DefaultHistory
	}
	p := &Platform{
		config:   c,
		mux:      http.NewServeMux(),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
		records:  map[string]record{},
		wake:     make(chan struct{}),
		leases:   map[uint64]lease{},
		hosts:    []hostList{{}},
		counters: map[string]int64{},
	}
	p.routes()
	go p.runLeaseExpiry()
	return p
}

// Close stops the expiry of leases and ends pending watches.
func (p *Platform) Close() {
	p.once.Do(func() { close(p.stop) })
	<-p.done
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

func (p *Platform) routes() {
	handle(p, store.PathGet, false, p.get)
	handle(p, store.PathList, false, p.list)
	handle(p, store.PathPut, true, p.put)
	handle(p, store.PathDelete, true, p.remove)
	handle(p, store.PathWatch, false, p.watch)
	handle(p, store.PathGrant, true, p.grant)
	handle(p, store.PathRenew, true, p.renew)
	handle(p, store.PathDrain, true, p.command("drain"))
	handle(p, store.PathReboot, true, p.command("reboot"))
	p.mux.HandleFunc("POST "+store.PathHosts, p.serveHosts)
	p.adminRoutes()
}

// errorReply is the status and body of a failed call.
type errorReply struct {
	status int
	body   store.Fault
}

func newErrorReply(status int, code, detail string) *errorReply {
	return &errorReply{status: status, body: store.Fault{Code: code, Detail: detail}}
}

// handle registers a call; write says whether LoseWriteAnswers applies to it.
func handle[Q, A any](p *Platform, path string, write bool, f func(*http.Request, Q) (A, *errorReply)) {
	kind := strings.TrimPrefix(path, "/v1/")
	p.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var req Q
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		d.DisallowUnknownFields()
		if err := d.Decode(&req); err != nil {
			reply(w, http.StatusBadRequest, store.Fault{Code: store.FaultBadRequest, Detail: err.Error()})
			return
		}
		if !p.admit(w, r, kind) {
			return
		}
		result, failure := f(r, req)
		if write && failure == nil && p.loseResponse(req) {
			panic(http.ErrAbortHandler)
		}
		if failure != nil {
			reply(w, failure.status, failure.body)
			return
		}
		reply(w, http.StatusOK, result)
	})
}

// admit counts a call and applies the faults that precede its effect. It reports
// whether the call may proceed.
func (p *Platform) admit(w http.ResponseWriter, _ *http.Request, kind string) bool {
	p.mu.Lock()
	p.counters[kind]++
	f := p.faults
	p.mu.Unlock()
	if f.DelayMS > 0 {
		select {
		case <-time.After(time.Duration(f.DelayMS) * time.Millisecond):
		case <-p.stop:
		}
	}
	if f.Unreachable {
		panic(http.ErrAbortHandler)
	}
	if f.Down {
		reply(w, http.StatusServiceUnavailable, store.Fault{Code: store.FaultUnavailable, Detail: "switched off"})
		return false
	}
	return true
}

// loseResponse reports whether the response to a write must be lost, and if so counts it.
func (p *Platform) loseResponse(req any) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseWriteAnswers == 0 {
		return false
	}
	if put, ok := req.(store.PutRequest); ok && !strings.HasPrefix(string(put.Key), p.faults.LoseWritePrefix) {
		return false
	}
	if p.faults.LoseWriteAnswers > 0 {
		p.faults.LoseWriteAnswers--
	}
	return true
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The write fails only when the caller has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

func (p *Platform) get(_ *http.Request, req store.GetRequest) (store.KVRecord, *errorReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rec, ok := p.records[string(req.Key)]
	if !ok {
		return store.KVRecord{}, newErrorReply(http.StatusNotFound, store.FaultNotFound, "no such key")
	}
	return store.KVRecord{Key: req.Key, Value: rec.value, Version: rec.version}, nil
}

func (p *Platform) list(_ *http.Request, req store.ListRequest) (store.ListReply, *errorReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	result := store.ListReply{Records: []store.KVRecord{}, Revision: p.revision}
	for key, rec := range p.records {
		if strings.HasPrefix(key, string(req.Prefix)) {
			result.Records = append(result.Records, store.KVRecord{Key: []byte(key), Value: rec.value, Version: rec.version})
		}
	}
	sort.Slice(result.Records, func(i, j int) bool { return string(result.Records[i].Key) < string(result.Records[j].Key) })
	return result, nil
}

func (p *Platform) put(_ *http.Request, req store.PutRequest) (store.VersionReply, *errorReply) {
	if len(req.Value) > store.MaxValueBytes || len(req.Key) > store.MaxKeyBytes {
		return store.VersionReply{}, newErrorReply(http.StatusRequestEntityTooLarge, store.FaultTooLarge, "key or value too large")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key := string(req.Key)
	if failure := p.conflict(key, req.Expect); failure != nil {
		return store.VersionReply{}, failure
	}
	if _, ok := p.leases[req.Lease]; req.Lease != 0 && !ok {
		return store.VersionReply{}, newErrorReply(http.StatusNotFound, store.FaultNotFound, "no such lease")
	}
	p.revision++
	p.records[key] = record{value: req.Value, version: p.revision, lease: req.Lease}
	p.recordChange(change{key: key, value: req.Value, version: p.revision})
	return store.VersionReply{Version: p.revision}, nil
}

func (p *Platform) remove(_ *http.Request, req store.DeleteRequest) (store.VersionReply, *errorReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := string(req.Key)
	if _, ok := p.records[key]; !ok {
		return store.VersionReply{}, newErrorReply(http.StatusNotFound, store.FaultNotFound, "no such key")
	}
	if failure := p.conflict(key, req.Expect); failure != nil {
		return store.VersionReply{}, failure
	}
	p.delete(key)
	return store.VersionReply{Version: p.revision}, nil
}

// conflict returns an error reply if the version of a key differs from expect. The caller
// holds the mutex.
func (p *Platform) conflict(key string, expect uint64) *errorReply {
	current := p.records[key].version
	if current == expect {
		return nil
	}
	return &errorReply{status: http.StatusConflict, body: store.Fault{Code: store.FaultConflict, Current: current}}
}

// delete removes a key. The caller holds the mutex.
func (p *Platform) delete(key string) {
	p.revision++
	delete(p.records, key)
	p.recordChange(change{key: key, version: p.revision, deleted: true})
}

// recordChange adds a change to the history and wakes watches. The caller holds the mutex.
func (p *Platform) recordChange(c change) {
	p.history = append(p.history, c)
	if excess := len(p.history) - p.config.History; excess > 0 {
		p.compacted = p.history[excess-1].version
		p.history = slices.Delete(p.history, 0, excess)
	}
	close(p.wake)
	p.wake = make(chan struct{})
}

func (p *Platform) watch(r *http.Request, req store.WatchRequest) (store.WatchReply, *errorReply) {
	timer := time.NewTimer(min(time.Duration(req.WaitMS)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for {
		result, wake, failure := p.changesAfter(req)
		if failure != nil || len(result.Events) > 0 {
			return result, failure
		}
		select {
		case <-wake:
		case <-timer.C:
			return result, nil
		case <-r.Context().Done():
			return result, nil
		case <-p.stop:
			return result, nil
		}
	}
}

// changesAfter returns the changes after the position of a watch, and a channel that is
// closed at the next change.
func (p *Platform) changesAfter(req store.WatchRequest) (store.WatchReply, <-chan struct{}, *errorReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	result := store.WatchReply{Events: []store.KVRecord{}, Revision: req.After}
	if p.faults.StallWatches {
		return result, p.wake, nil
	}
	// A position above the revision comes from an earlier incarnation of the store.
	if req.After < p.compacted || req.After > p.revision {
		return result, nil, newErrorReply(http.StatusGone, store.FaultCompacted, "position "+strconv.FormatUint(req.After, 10))
	}
	for _, c := range p.history {
		if c.version > req.After && strings.HasPrefix(c.key, string(req.Prefix)) {
			result.Events = append(result.Events, store.KVRecord{Key: []byte(c.key), Value: c.value, Version: c.version, Deleted: c.deleted})
		}
	}
	result.Revision = p.revision
	return result, p.wake, nil
}
