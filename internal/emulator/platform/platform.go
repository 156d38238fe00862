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
//	POST     /admin/leases/expire     ends all leases now
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
	protocol "samphirestile.example/samphirestile/internal/store"
)

// Defaults of Config.
const (
	// DefaultHistory is the number of changes that a watch may lag behind.
	DefaultHistory = 4096
	// maxBodyBytes suffices for the largest value in base64 and its key.
	maxBodyBytes = 2 << 20
	maxWait      = time.Minute
	leaseTick    = 20 * time.Millisecond
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
	// Unreachable closes the connection of every call without an answer or effect.
	Unreachable bool `json:"unreachable"`
	// DelayMS delays every call before it takes effect. A write takes effect even if its
	// caller has timed out meanwhile.
	DelayMS int64 `json:"delay_ms"`
	// LoseWriteAnswers is the number of further writes that are applied, but whose
	// connections are closed without an answer; a negative number means all writes.
	LoseWriteAnswers int `json:"lose_write_answers"`
	// LoseWritePrefix limits LoseWriteAnswers for puts to keys with this prefix.
	LoseWritePrefix string `json:"lose_write_prefix"`
	// StallWatches withholds changes from watches.
	StallWatches bool `json:"stall_watches"`
	// LeaseTTLDivisor expires leases early, after their TTL divided by it.
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
	go p.expireLeases()
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
	handle(p, protocol.PathGet, false, p.get)
	handle(p, protocol.PathList, false, p.list)
	handle(p, protocol.PathPut, true, p.put)
	handle(p, protocol.PathDelete, true, p.remove)
	handle(p, protocol.PathWatch, false, p.watch)
	handle(p, protocol.PathGrant, true, p.grant)
	handle(p, protocol.PathRenew, true, p.renew)
	handle(p, protocol.PathDrain, true, p.command("drain"))
	handle(p, protocol.PathReboot, true, p.command("reboot"))
	p.mux.HandleFunc("POST "+protocol.PathHosts, p.serveHosts)
	p.adminRoutes()
}

// fault is the status and body of a failed call.
type fault struct {
	status int
	body   protocol.Fault
}

func newFault(status int, code, detail string) *fault {
	return &fault{status: status, body: protocol.Fault{Code: code, Detail: detail}}
}

// handle registers a call; write says whether LoseWriteAnswers applies to it.
func handle[Q, A any](p *Platform, path string, write bool, f func(*http.Request, Q) (A, *fault)) {
	kind := strings.TrimPrefix(path, "/v1/")
	p.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var q Q
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		d.DisallowUnknownFields()
		if err := d.Decode(&q); err != nil {
			reply(w, http.StatusBadRequest, protocol.Fault{Code: protocol.FaultBadRequest, Detail: err.Error()})
			return
		}
		if !p.admit(w, r, kind) {
			return
		}
		a, fail := f(r, q)
		if write && fail == nil && p.loseAnswer(q) {
			panic(http.ErrAbortHandler)
		}
		if fail != nil {
			reply(w, fail.status, fail.body)
			return
		}
		reply(w, http.StatusOK, a)
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
		reply(w, http.StatusServiceUnavailable, protocol.Fault{Code: protocol.FaultUnavailable, Detail: "switched off"})
		return false
	}
	return true
}

func (p *Platform) loseAnswer(q any) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseWriteAnswers == 0 {
		return false
	}
	if put, ok := q.(protocol.PutRequest); ok && !strings.HasPrefix(string(put.Key), p.faults.LoseWritePrefix) {
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

func (p *Platform) get(_ *http.Request, q protocol.GetRequest) (protocol.KVRecord, *fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rec, ok := p.records[string(q.Key)]
	if !ok {
		return protocol.KVRecord{}, newFault(http.StatusNotFound, protocol.FaultNotFound, "no such key")
	}
	return protocol.KVRecord{Key: q.Key, Value: rec.value, Version: rec.version}, nil
}

func (p *Platform) list(_ *http.Request, q protocol.ListRequest) (protocol.ListReply, *fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := protocol.ListReply{Records: []protocol.KVRecord{}, Revision: p.revision}
	for key, rec := range p.records {
		if strings.HasPrefix(key, string(q.Prefix)) {
			a.Records = append(a.Records, protocol.KVRecord{Key: []byte(key), Value: rec.value, Version: rec.version})
		}
	}
	sort.Slice(a.Records, func(i, j int) bool { return string(a.Records[i].Key) < string(a.Records[j].Key) })
	return a, nil
}

func (p *Platform) put(_ *http.Request, q protocol.PutRequest) (protocol.VersionReply, *fault) {
	if len(q.Value) > protocol.MaxValueBytes || len(q.Key) > protocol.MaxKeyBytes {
		return protocol.VersionReply{}, newFault(http.StatusRequestEntityTooLarge, protocol.FaultTooLarge, "key or value too large")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key := string(q.Key)
	if f := p.conflict(key, q.Expect); f != nil {
		return protocol.VersionReply{}, f
	}
	if _, ok := p.leases[q.Lease]; q.Lease != 0 && !ok {
		return protocol.VersionReply{}, newFault(http.StatusNotFound, protocol.FaultNotFound, "no such lease")
	}
	p.revision++
	p.records[key] = record{value: q.Value, version: p.revision, lease: q.Lease}
	p.recordChange(change{key: key, value: q.Value, version: p.revision})
	return protocol.VersionReply{Version: p.revision}, nil
}

func (p *Platform) remove(_ *http.Request, q protocol.DeleteRequest) (protocol.VersionReply, *fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := string(q.Key)
	if _, ok := p.records[key]; !ok {
		return protocol.VersionReply{}, newFault(http.StatusNotFound, protocol.FaultNotFound, "no such key")
	}
	if f := p.conflict(key, q.Expect); f != nil {
		return protocol.VersionReply{}, f
	}
	p.delete(key)
	return protocol.VersionReply{Version: p.revision}, nil
}

// conflict returns a fault if the version of a key differs from expect. The caller
// holds the mutex.
func (p *Platform) conflict(key string, expect uint64) *fault {
	current := p.records[key].version
	if current == expect {
		return nil
	}
	return &fault{status: http.StatusConflict, body: protocol.Fault{Code: protocol.FaultConflict, Current: current}}
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
	if over := len(p.history) - p.config.History; over > 0 {
		p.compacted = p.history[over-1].version
		p.history = slices.Delete(p.history, 0, over)
	}
	close(p.wake)
	p.wake = make(chan struct{})
}

func (p *Platform) watch(r *http.Request, q protocol.WatchRequest) (protocol.WatchReply, *fault) {
	timer := time.NewTimer(min(time.Duration(q.WaitMS)*time.Millisecond, maxWait))
	defer timer.Stop()
	for {
		a, wake, f := p.changesAfter(q)
		if f != nil || len(a.Events) > 0 {
			return a, f
		}
		select {
		case <-wake:
		case <-timer.C:
			return a, nil
		case <-r.Context().Done():
			return a, nil
		case <-p.stop:
			return a, nil
		}
	}
}

func (p *Platform) changesAfter(q protocol.WatchRequest) (protocol.WatchReply, <-chan struct{}, *fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := protocol.WatchReply{Events: []protocol.KVRecord{}, Revision: q.After}
	if p.faults.StallWatches {
		return a, p.wake, nil
	}
	// A position above the revision comes from an earlier incarnation of the store.
	if q.After < p.compacted || q.After > p.revision {
		return a, nil, newFault(http.StatusGone, protocol.FaultCompacted, "position "+strconv.FormatUint(q.After, 10))
	}
	for _, c := range p.history {
		if c.version > q.After && strings.HasPrefix(c.key, string(q.Prefix)) {
			a.Events = append(a.Events, protocol.KVRecord{Key: []byte(c.key), Value: c.value, Version: c.version, Deleted: c.deleted})
		}
	}
	a.Revision = p.revision
	return a, p.wake, nil
}
