package keys

import (
	"maps"
	"slices"
	"sync"
)

// RevokedSet is the set of revoked key IDs that this daemon has received. IDs are added as
// soon as the revocation is received, before a configuration that contains it arrives,
// and are never removed.
type RevokedSet struct {
	mu  sync.RWMutex
	ids map[string]struct{}
}

// NewRevokedSet returns an empty set.
func NewRevokedSet() *RevokedSet { return &RevokedSet{ids: map[string]struct{}{}} }

// Add adds IDs and returns those that were not in the set. Malformed IDs are ignored.
func (r *RevokedSet) Add(ids ...string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var added []string
	for _, id := range ids {
		if _, ok := r.ids[id]; !ok && ValidID(id) {
			r.ids[id] = struct{}{}
			added = append(added, id)
		}
	}
	return added
}

// Has reports whether a key is revoked.
func (r *RevokedSet) Has(id string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	_, ok := r.ids[id]
	return ok
}

// IDs returns the set sorted.
func (r *RevokedSet) IDs() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.Sorted(maps.Keys(r.ids))
}

// Len returns the number of IDs in the set.
func (r *RevokedSet) Len() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.ids)
}
