package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxPageItems and maxPageBytes bound a page of a list.
	maxPageItems = 500
	maxPageBytes = 1 << 20
	// maxTransactionEntries bounds the conditions, writes and removals of one transaction.
	maxTransactionEntries = 32
	// maxValueBytes bounds the value of an item.
	maxValueBytes = 1 << 20
	maxWatchWait  = 30 * time.Second
)

// item is one key of the store, or the removal of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// kvStore is the platform's store. It keeps its whole history.
type kvStore struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*kvLease
	changed  chan struct{}
	// tooLarge counts the transactions that were refused because of a value that is too large.
	tooLarge int
}

type kvLease struct {
	ttl   time.Duration
	timer *time.Timer
}

func newStore() *kvStore {
	return &kvStore{revision: 100, items: map[string]item{}, leases: map[uint64]*kvLease{}, changed: make(chan struct{})}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have left
}

// put writes a key as the operator or a worker does.
func (s *kvStore) put(key string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, encoded, 0)
	s.wake()
	return nil
}

// drop removes a key.
func (s *kvStore) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.wake()
}

// get returns the value of a key.
func (s *kvStore) get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i.Value, ok
}

// keys returns the keys with a suffix.
func (s *kvStore) keysEnding(suffix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasSuffix(k, suffix) {
			keys = append(keys, k)
		}
	}
	return keys
}

// write sets a key at the current revision. The caller holds mu.
func (s *kvStore) write(key string, value []byte, lease uint64) {
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

// remove removes a key at the current revision. The caller holds mu.
func (s *kvStore) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *kvStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// endLease ends a lease and removes its keys. The caller holds mu.
func (s *kvStore) endLease(id uint64) {
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	var keys []string
	for k, i := range s.items {
		if i.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	s.revision++
	for _, k := range keys {
		s.remove(k)
	}
	s.wake()
}

func (s *kvStore) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.serveKey)
	mux.HandleFunc("GET /api/kv-range", s.serveRange)
	mux.HandleFunc("GET /api/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /api/kv-txn", s.serveTransaction)
	mux.HandleFunc("POST /api/kv-lease", s.serveGrant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.serveEnd)
	return mux
}

func (s *kvStore) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		respond(w, http.StatusNotFound, map[string]any{"currentRev": revision})
		return
	}
	respond(w, http.StatusOK, map[string]any{
		"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "currentRev": revision,
	})
}

func (s *kvStore) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var found []item
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			found = append(found, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	page, size := []item{}, 0
	for _, i := range found {
		if len(page) == maxPageItems || len(page) > 0 && size+len(i.Value) > maxPageBytes {
			break
		}
		page = append(page, i)
		size += len(i.Value)
	}
	respond(w, http.StatusOK, map[string]any{"items": page, "hasMore": len(page) < len(found), "currentRev": revision})
}

func (s *kvStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, err2 := strconv.Atoi(q.Get("waitMs"))
	if err != nil || err2 != nil {
		respond(w, http.StatusBadRequest, struct{}{})
		return
	}
	timeout := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxWatchWait))
	defer timeout.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		events := []item{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, e := range s.history[first:] {
			if strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			respond(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *kvStore) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"precondition"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Precondition)+len(body.Puts)+len(body.Remove) > maxTransactionEntries {
		respond(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range body.Puts {
		if len(p.Value) > maxValueBytes {
			s.tooLarge++
			respond(w, http.StatusBadRequest, struct{}{})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			respond(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	failed := false
	current := []item{}
	for _, c := range body.Precondition {
		i, ok := s.items[c.Key]
		failed = failed || i.Revision != c.Revision
		if ok {
			current = append(current, i)
		}
	}
	if failed {
		respond(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	if len(body.Puts)+len(body.Remove) > 0 {
		s.revision++
		for _, p := range body.Puts {
			s.write(p.Key, p.Value, p.Lease)
		}
		for _, k := range body.Remove {
			s.remove(k)
		}
		s.wake()
	}
	respond(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *kvStore) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMS int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		respond(w, http.StatusBadRequest, struct{}{})
		return
	}
	ttl := time.Duration(max(body.TTLMS, 1000)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := 70_000 + s.revision
	s.leases[id] = &kvLease{ttl: ttl, timer: time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(id)
	})}
	respond(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": ttl.Milliseconds()})
}

func (s *kvStore) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64) // 0 is no lease
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil || !l.timer.Reset(l.ttl) {
		respond(w, http.StatusNotFound, struct{}{})
		return
	}
	respond(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *kvStore) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64) // 0 is no lease
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		respond(w, http.StatusNotFound, struct{}{})
		return
	}
	s.endLease(id)
	respond(w, http.StatusOK, struct{}{})
}
