// Package claim assigns the workers of a pool to the shards that are its parts.
package claim

import (
	"context"
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
	prefix = "samphirestile/claim/"
	// relistInterval bounds how long a silent watch can hide a claim.
	relistInterval = 1500 * time.Millisecond
)

// key is the record of the shard that a worker belongs to.
func key(pool fleet.ServiceID, id worker.ID) string {
	return prefix + string(pool) + "/" + string(id)
}

// wantedKey is the record of how many workers a part wants. No worker's ID begins with a slash.
func wantedKey(pool fleet.ServiceID, shard string) string {
	return prefix + string(pool) + "/" + wantedMark + shard
}

const wantedMark = "/"

// Claim is the shard that a worker belongs to. Revision is that of its record; it
// is higher than the tokens of all shards to which the worker belonged before.
type Claim struct {
	Shard    string
	Revision uint64
}

// Book is this daemon's copy of the claims.
type Book struct {
	follower *follow.Follower
	changed  func()
	log      *logrus.Logger

	mu     sync.Mutex
	claims map[fleet.ServiceID]map[worker.ID]Claim
	// views and held are what Of and Held returned since the claims of a pool last changed.
	views map[fleet.ServiceID]map[worker.ID]Claim
	held  map[fleet.ServiceID]map[string][]worker.ID
	// wanted is how many workers parts want, by shard.
	wanted map[string]int
	// version counts the changes of claims and of wanted workers.
	version uint64
}

// NewBook returns an empty book. It follows the claims only while needed returns
// true, and calls changed after each change.
func NewBook(s store.Transactional, needed func() bool, changed func(), log *logrus.Logger) *Book {
	b := &Book{changed: changed, log: log, wanted: map[string]int{}}
	b.claims, b.views, b.held = map[fleet.ServiceID]map[worker.ID]Claim{}, map[fleet.ServiceID]map[worker.ID]Claim{}, map[fleet.ServiceID]map[string][]worker.ID{}
	b.follower = follow.New(follow.Config{
		Store: s, Prefix: prefix, Target: b, RelistInterval: relistInterval, Needed: needed, Log: log,
	})
	return b
}

// Run follows the claims until ctx ends.
func (b *Book) Run(ctx context.Context) { b.follower.Run(ctx) }

// Read reads all claims now.
func (b *Book) Read(ctx context.Context) error { return b.follower.Read(ctx) }

// Get returns the claim on a worker.
func (b *Book) Get(pool fleet.ServiceID, id worker.ID) (Claim, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, ok := b.claims[pool][id]
	return c, ok
}

// Of returns the claims on the workers of a pool. The caller must not change the result.
func (b *Book) Of(pool fleet.ServiceID) map[worker.ID]Claim {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.views[pool] == nil {
		b.views[pool] = maps.Clone(b.claims[pool])
	}
	return b.views[pool]
}

// Held returns the workers of a pool that a shard has claimed. The caller must not
// change the result.
func (b *Book) Held(pool fleet.ServiceID, shard string) []worker.ID {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held[pool] == nil {
		b.held[pool] = map[string][]worker.ID{}
		for id, c := range b.claims[pool] {
			b.held[pool][c.Shard] = append(b.held[pool][c.Shard], id)
		}
	}
	return b.held[pool][shard]
}

// Version changes with the claims and the wanted workers.
func (b *Book) Version() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
}

// altered notes that the claims of a pool are not what they were. The caller holds mu.
func (b *Book) altered(pool fleet.ServiceID) {
	delete(b.views, pool)
	delete(b.held, pool)
	b.version++
}

// Wanted returns how many workers a part wants, as far as it has said.
func (b *Book) Wanted(shard string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.wanted[shard]
}

// Replace implements follow.Target. Claims that this daemon has written meanwhile stay.
func (b *Book) Replace(records []store.Entry, revision uint64) {
	b.mu.Lock()
	before := b.version
	listed := map[string]bool{}
	for _, r := range records {
		listed[r.Key] = true
		b.put(r)
	}
	for pool, claims := range b.claims {
		for id, c := range claims {
			if c.Revision <= revision && !listed[key(pool, id)] {
				delete(claims, id)
				b.altered(pool)
			}
		}
	}
	altered := b.version != before
	b.mu.Unlock()
	if altered {
		b.changed()
	}
}

// Apply implements follow.Target.
func (b *Book) Apply(changes []store.Event) {
	b.mu.Lock()
	before := b.version
	for _, c := range changes {
		if !c.Deleted {
			b.put(c.Entry)
			continue
		}
		if pool, id, ok := parse(c.Key); ok {
			delete(b.claims[pool], id)
			b.altered(pool)
		}
	}
	altered := b.version != before
	b.mu.Unlock()
	if altered {
		b.changed()
	}
}

func parse(k string) (pool fleet.ServiceID, id worker.ID, ok bool) {
	p, w, ok := strings.Cut(strings.TrimPrefix(k, prefix), "/")
	return fleet.ServiceID(p), worker.ID(w), ok
}

func (b *Book) put(e store.Entry) {
	pool, id, ok := parse(e.Key)
	if shard, isWanted := strings.CutPrefix(string(id), wantedMark); ok && isWanted {
		n, err := strconv.Atoi(string(e.Value))
		if err != nil {
			b.log.WithError(err).WithField("key", e.Key).Warn("skipped an unreadable record")
			return
		}
		if b.wanted[shard] != n {
			b.wanted[shard] = n
			b.version++
		}
		return
	}
	next := Claim{string(e.Value), e.Version}
	if old, known := b.claims[pool][id]; !ok || e.Version < old.Revision || (known && old == next) {
		return
	}
	if b.claims[pool] == nil {
		b.claims[pool] = map[worker.ID]Claim{}
	}
	b.claims[pool][id] = next
	b.altered(pool)
}
