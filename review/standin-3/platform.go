package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/store"
)

const (
	// maxValueBytes is valueBytes of the settings; maxKeyBytes and maxTxnEntries are those of the protocol.
	maxValueBytes = 1048576
	maxKeyBytes   = 200
	maxTxnEntries = 32
	// maxPageItems and maxPageBytes bound one page of a range.
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

// platform serves the store and the list of machines.
type platform struct {
	store   *cluster.Store
	record  *record
	address string
	minions func() []*minion
	// refused counts the transactions refused because of a value or key above the limits.
	refused counter
}

func startPlatform(r *record, minions func() []*minion) (*platform, error) {
	p := &platform{store: cluster.NewStore(), record: r, minions: minions}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", p.key)
	mux.HandleFunc("GET /api/kv-range", p.keyRange)
	mux.HandleFunc("GET /api/kv-watch", p.watch)
	mux.HandleFunc("POST /api/kv-txn", p.txn)
	mux.HandleFunc("POST /api/kv-lease", p.lease)
	mux.HandleFunc("POST /api/kv-keep/{id}", p.keep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", p.endLease)
	mux.HandleFunc("GET /api/machines", p.machines)
	mux.HandleFunc("POST /api/machine-move", busy)
	mux.HandleFunc("POST /api/machine-upkeep", busy)
	var err error
	p.address, err = listen(mux)
	return p, err
}

// listen serves HTTP on a free loopback port.
func listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String(), nil
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func busy(w http.ResponseWriter, _ *http.Request) {
	respond(w, http.StatusConflict, map[string]any{"reason": "busy"})
}

type wireItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func toWire(e store.Entry) wireItem {
	return wireItem{Key: e.Key, Value: e.Value, Revision: e.Version, Created: e.Created, Lease: uint64(e.Lease)}
}

func (p *platform) key(w http.ResponseWriter, r *http.Request) {
	e, err := p.store.Get(r.Context(), r.URL.Query().Get("key"))
	if err != nil {
		storeError(w, err)
		return
	}
	respond(w, http.StatusOK, toWire(e))
}

func (p *platform) keyRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	entries, revision, err := p.store.List(r.Context(), q.Get("prefix"))
	if err != nil {
		storeError(w, err)
		return
	}
	items, bytes, more := []wireItem{}, 0, false
	for _, e := range entries {
		if e.Key <= q.Get("after") {
			continue
		}
		if len(items) > 0 && (len(items) == maxPageItems || bytes+len(e.Value) > maxPageBytes) {
			more = true
			break
		}
		items, bytes = append(items, toWire(e)), bytes+len(e.Value)
	}
	respond(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "currentRev": revision})
}

func (p *platform) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	events, revision, err := p.store.Watch(r.Context(), q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	if err != nil {
		storeError(w, err)
		return
	}
	items := []wireItem{}
	for _, e := range events {
		i := toWire(e.Entry)
		i.Deleted = e.Deleted
		items = append(items, i)
	}
	respond(w, http.StatusOK, map[string]any{"events": items, "currentRev": revision})
}

func (p *platform) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Precondition []wireItem `json:"precondition"`
		Puts         []wireItem `json:"puts"`
		Remove       []string   `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Precondition)+len(body.Puts)+len(body.Remove) > maxTxnEntries {
		respond(w, http.StatusBadRequest, struct{}{})
		return
	}
	t := store.Transaction{Removals: body.Remove}
	for _, c := range body.Precondition {
		t.Conditions = append(t.Conditions, store.Condition{Key: c.Key, Version: c.Revision})
	}
	for _, put := range body.Puts {
		if len(put.Value) > maxValueBytes || len(put.Key) > maxKeyBytes {
			if p.refused.add(1) == 1 {
				p.record.line("store: value of %d bytes for %s refused with 400, the limit is %d (further refusals are counted only)", len(put.Value), put.Key, maxValueBytes)
			}
			respond(w, http.StatusBadRequest, struct{}{})
			return
		}
		t.Writes = append(t.Writes, store.Write{Key: put.Key, Value: put.Value, Lease: store.LeaseID(put.Lease)})
	}
	revision, err := p.store.Commit(r.Context(), t)
	if err != nil {
		storeError(w, err)
		return
	}
	respond(w, http.StatusOK, map[string]any{"revision": revision})
}

func (p *platform) lease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMS int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		respond(w, http.StatusBadRequest, struct{}{})
		return
	}
	ttl := min(max(body.TTLMS, 1000), 600_000)
	id, err := p.store.Grant(r.Context(), time.Duration(ttl)*time.Millisecond)
	if err != nil {
		storeError(w, err)
		return
	}
	respond(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": ttl})
}

func leaseID(r *http.Request) store.LeaseID {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	return store.LeaseID(id)
}

func (p *platform) keep(w http.ResponseWriter, r *http.Request) {
	if err := p.store.KeepAlive(r.Context(), leaseID(r)); err != nil {
		storeError(w, err)
		return
	}
	respond(w, http.StatusOK, struct{}{})
}

func (p *platform) endLease(w http.ResponseWriter, r *http.Request) {
	if err := p.store.Revoke(r.Context(), leaseID(r)); err != nil {
		storeError(w, err)
		return
	}
	respond(w, http.StatusOK, struct{}{})
}

func storeError(w http.ResponseWriter, err error) {
	var condition *store.ConditionError
	switch {
	case errors.As(err, &condition):
		items := []wireItem{}
		for _, e := range condition.Current {
			items = append(items, toWire(e))
		}
		respond(w, http.StatusPreconditionFailed, map[string]any{"items": items})
	case errors.As(err, new(*store.NotFoundError)):
		respond(w, http.StatusNotFound, struct{}{})
	case errors.As(err, new(*store.CompactedError)):
		respond(w, http.StatusGone, struct{}{})
	default:
		respond(w, http.StatusServiceUnavailable, struct{}{})
	}
}

func (p *platform) machines(w http.ResponseWriter, _ *http.Request) {
	machines := []any{}
	for _, m := range p.minions() {
		machines = append(machines, map[string]any{
			"machine": "m-" + m.id, "pool": m.service, "state": "up", "zone": m.zone, "labels": m.labels, "capacity": m.capacity, "id": m.id,
		})
	}
	respond(w, http.StatusOK, map[string]any{"machines": machines, "nextToken": nil})
}

// put writes a key of the operator or of a minion.
func (p *platform) put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	if _, err := p.store.Commit(context.Background(), store.Transaction{Writes: []store.Write{{Key: key, Value: b}}}); err != nil {
		p.record.line("store: %s not written: %v", strings.TrimSpace(key), err)
	}
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
