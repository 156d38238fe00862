// Package claim assigns the workers of a pool to its partitions. A claim is the record
// that assigns one worker to the shard of one partition.
package claim

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/follow"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	keyPrefix = "samphirestile/claim/"
	// relistInterval bounds how long a stalled watch can hide a claim.
	relistInterval = 1500 * time.Millisecond
)

// key returns the key of the claim on a worker.
func key(pool fleet.ServiceID, id worker.ID) string {
	return keyPrefix + string(pool) + "/" + string(id)
}

// wantedKey returns the key of the record of how many workers a partition wants. It does
// not collide with claims, as no worker ID starts with a slash.
func wantedKey(pool fleet.ServiceID, shard string) string {
	return keyPrefix + string(pool) + "/" + wantedKeyMark + shard
}

const wantedKeyMark = "/"

const (
	// maxWanted exceeds the workers of any pool; sums over all partitions do not overflow.
	maxWanted = 1_000_000
	// maxShardBytes bounds the names of shards.
	maxShardBytes = 512
)

// RecordError reports an invalid record of a claim or of wanted workers.
type RecordError struct {
	Key   string
	Cause error
}

func (e *RecordError) Error() string { return fmt.Sprintf("claim record %.300q: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

var (
	errShardName = errors.New("not the name of a shard")
	errWanted    = fmt.Errorf("the number of wanted workers is not 0 to %d", maxWanted)
)

func decodeWanted(e store.Entry) (int, error) {
	n, err := strconv.ParseUint(string(e.Value), 10, 32)
	if err != nil || n > maxWanted {
		return 0, &RecordError{e.Key, errWanted}
	}
	return int(n), nil
}

// Claim is the shard that a worker is assigned to. Revision is the revision of its
// record; it is higher than the fencing tokens of all shards that had the worker before.
type Claim struct {
	Shard    string
	Revision uint64
}

// wantedWorkers is how many workers a partition wants, with the revision of its record.
type wantedWorkers struct {
	workers  int
	revision uint64
}

// Table is a daemon's local copy of the claims.
type Table struct {
	follower *follow.Follower
	changed  func()
	// rejections reports records that are read again and again.
	rejections *follow.Rejections

	mu     sync.Mutex
	claims map[fleet.ServiceID]map[worker.ID]Claim
	// views and held cache the results of ByPool and WorkersOf until the claims of a pool
	// change.
	views map[fleet.ServiceID]map[worker.ID]Claim
	held  map[fleet.ServiceID]map[string][]worker.ID
	// wanted is how many workers each partition wants, by shard.
	wanted map[string]wantedWorkers
	// version counts the changes of claims and of wanted workers.
	version uint64
}

// NewTable returns an empty table. It follows the claims in the store only while needed
// returns true, and calls changed after each change.
func NewTable(s store.Transactional, needed func() bool, changed func(), log *logrus.Logger) *Table {
	t := &Table{changed: changed, rejections: follow.NewRejections(log), wanted: map[string]wantedWorkers{}}
	t.claims, t.views, t.held = map[fleet.ServiceID]map[worker.ID]Claim{}, map[fleet.ServiceID]map[worker.ID]Claim{}, map[fleet.ServiceID]map[string][]worker.ID{}
	t.follower = follow.New(follow.Config{
		Store: s, Prefix: keyPrefix, Target: t, RelistInterval: relistInterval, Needed: needed, Log: log,
	})
	return t
}

// Run follows the claims until ctx ends.
func (t *Table) Run(ctx context.Context) { t.follower.Run(ctx) }

// Read reads all claims from the store immediately.
func (t *Table) Read(ctx context.Context) error { return t.follower.Read(ctx) }

// Get returns the claim on a worker.
func (t *Table) Get(pool fleet.ServiceID, id worker.ID) (Claim, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.claims[pool][id]
	return c, ok
}

// ByPool returns the claims on the workers of a pool. The caller must not modify the result.
func (t *Table) ByPool(pool fleet.ServiceID) map[worker.ID]Claim {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.views[pool] == nil {
		t.views[pool] = maps.Clone(t.claims[pool])
	}
	return t.views[pool]
}

// WorkersOf returns the workers of a pool that are claimed by a shard. The caller must
// not modify the result.
func (t *Table) WorkersOf(pool fleet.ServiceID, shard string) []worker.ID {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.held[pool] == nil {
		t.held[pool] = map[string][]worker.ID{}
		for id, c := range t.claims[pool] {
			t.held[pool][c.Shard] = append(t.held[pool][c.Shard], id)
		}
	}
	return t.held[pool][shard]
}

// Version changes with the claims and the wanted workers.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// invalidate drops the cached views of a pool after a change. The caller holds mu.
func (t *Table) invalidate(pool fleet.ServiceID) {
	delete(t.views, pool)
	delete(t.held, pool)
	t.version++
}

// Wanted returns how many workers a partition wants according to its last record.
func (t *Table) Wanted(shard string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.wanted[shard].workers
}

// Replace implements follow.Target. Claims that this daemon has written after the listing
// are kept.
func (t *Table) Replace(records []store.Entry, revision uint64) {
	t.mu.Lock()
	before := t.version
	listed := map[string]bool{}
	for _, r := range records {
		listed[r.Key] = true
		t.put(r)
	}
	for pool, claims := range t.claims {
		for id, c := range claims {
			if c.Revision <= revision && !listed[key(pool, id)] {
				delete(claims, id)
				t.invalidate(pool)
			}
		}
	}
	changed := t.version != before
	t.mu.Unlock()
	if changed {
		t.changed()
	}
}

// Apply implements follow.Target.
func (t *Table) Apply(changes []store.Event) {
	t.mu.Lock()
	before := t.version
	for _, c := range changes {
		if !c.Deleted {
			t.put(c.Entry)
			continue
		}
		// A claim that this daemon has written may be newer than the removal.
		if pool, id, ok := parseKey(c.Key); ok && t.claims[pool][id].Revision <= c.Version {
			delete(t.claims[pool], id)
			t.invalidate(pool)
		}
	}
	changed := t.version != before
	t.mu.Unlock()
	if changed {
		t.changed()
	}
}

func parseKey(claimKey string) (pool fleet.ServiceID, id worker.ID, ok bool) {
	p, w, ok := strings.Cut(strings.TrimPrefix(claimKey, keyPrefix), "/")
	return fleet.ServiceID(p), worker.ID(w), ok
}

func (t *Table) put(e store.Entry) {
	pool, id, ok := parseKey(e.Key)
	if shard, isWanted := strings.CutPrefix(string(id), wantedKeyMark); ok && isWanted {
		n, err := decodeWanted(e)
		if err != nil {
			t.rejections.Report(e.Key, err)
			return
		}
		old := t.wanted[shard]
		if e.Version < old.revision {
			return
		}
		t.wanted[shard] = wantedWorkers{n, e.Version}
		if old.workers != n {
			t.version++
		}
		return
	}
	next := Claim{string(e.Value), e.Version}
	if len(next.Shard) > maxShardBytes {
		// The record exists, but names no shard.
		t.rejections.Report(e.Key, &RecordError{e.Key, errShardName})
		next.Shard = ""
	}
	if old, known := t.claims[pool][id]; !ok || e.Version < old.Revision || (known && old == next) {
		return
	}
	if t.claims[pool] == nil {
		t.claims[pool] = map[worker.ID]Claim{}
	}
	t.claims[pool][id] = next
	t.invalidate(pool)
}
