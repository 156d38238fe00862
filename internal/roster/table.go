package roster

import (
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

// table is the list of workers according to one source. It is guarded by the roster's mu.
type table struct {
	workers map[worker.ID]worker.Worker
	// missing holds when each worker was found to be no longer listed.
	missing map[worker.ID]monotonic.Time
	// views caches the workers of each service until they change.
	views map[fleet.ServiceID]map[worker.ID]worker.Worker
	// version counts the changes of the workers. activeCount is the cached result of count at
	// activeCountVersion.
	version, activeCountVersion uint64
	activeCount                 int
	// readAt is when all entries were last read, receivedAt when any entry was last received.
	readAt, receivedAt monotonic.Time
}

func newTable() *table {
	return &table{
		workers: map[worker.ID]worker.Worker{}, missing: map[worker.ID]monotonic.Time{},
		views: map[fleet.ServiceID]map[worker.ID]worker.Worker{}, version: 1,
	}
}

// workersOf returns the result of Roster.ByService. It is cached until a worker of the
// service changes.
func (t *table) workersOf(service fleet.ServiceID) map[worker.ID]worker.Worker {
	t.evictMissing()
	if view, ok := t.views[service]; ok {
		return view
	}
	view := map[worker.ID]worker.Worker{}
	for id, w := range t.workers {
		if w.Service == service {
			if _, missing := t.missing[id]; missing {
				w.Missing = true
			}
			view[id] = w
		}
	}
	t.views[service] = view
	return view
}

// count returns the result of Roster.Count. It is cached until a worker changes.
func (t *table) count() int {
	if t.activeCountVersion == t.version {
		return t.activeCount
	}
	t.activeCount, t.activeCountVersion = 0, t.version
	for id, w := range t.workers {
		if _, missing := t.missing[id]; !missing && !w.Missing && !w.Draining {
			t.activeCount++
		}
	}
	return t.activeCount
}

// evictMissing removes the workers that have been missing for longer than missingGrace.
func (t *table) evictMissing() {
	now := monotonic.Now()
	for id, since := range t.missing {
		if now.Sub(since) > missingGrace {
			t.invalidate(t.workers[id].Service)
			delete(t.missing, id)
			delete(t.workers, id)
		}
	}
}

// invalidate records that the workers of a service have changed.
func (t *table) invalidate(service fleet.ServiceID) {
	delete(t.views, service)
	t.version++
}

// put applies one entry. Workers rewrite their entries regularly, mostly unchanged.
func (t *table) put(w worker.Worker) {
	old, exists := t.workers[w.ID]
	if _, missing := t.missing[w.ID]; exists && !missing && old.Equal(w) {
		return
	}
	if exists {
		t.invalidate(old.Service)
	}
	t.invalidate(w.Service)
	t.workers[w.ID] = w
	delete(t.missing, w.ID)
}

// markMissing records that a worker is no longer listed.
func (t *table) markMissing(id worker.ID) {
	w, exists := t.workers[id]
	if exists && w.Missing {
		// The publisher of the digest has already waited for missingGrace.
		t.invalidate(w.Service)
		delete(t.workers, id)
		delete(t.missing, id)
		return
	}
	if _, missing := t.missing[id]; exists && !missing {
		t.missing[id] = monotonic.Now()
		t.invalidate(w.Service)
	}
}

// apply applies changes in order: workerOf returns the worker of a deleted key, and put applies an
// entry that was written.
func (t *table) apply(changes []store.Event, workerOf func(key string) worker.ID, put func(store.Entry)) {
	for _, c := range changes {
		if c.Deleted {
			t.markMissing(workerOf(c.Key))
			continue
		}
		put(c.Entry)
	}
}

// markOthersMissing records that all workers except those in seen are no longer listed.
func (t *table) markOthersMissing(seen map[worker.ID]bool) {
	for id := range t.workers {
		if !seen[id] {
			t.markMissing(id)
		}
	}
}
