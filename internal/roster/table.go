package roster

import (
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

// table is what one source says of the workers. It is guarded by the roster's mu.
type table struct {
	workers map[worker.ID]worker.Worker
	missing map[worker.ID]monotonic.Time
	// views are what of returned since the workers of a service last changed.
	views map[fleet.ServiceID]map[worker.ID]worker.Worker
	// version counts the changes of what is known of the workers. present is how many
	// were listed and did not drain at presentVersion.
	version, presentVersion uint64
	present                 int
	// readAt is when all entries were last read, heardAt when some entry last came.
	readAt, heardAt monotonic.Time
}

func newTable() *table {
	return &table{
		workers: map[worker.ID]worker.Worker{}, missing: map[worker.ID]monotonic.Time{},
		views: map[fleet.ServiceID]map[worker.ID]worker.Worker{}, version: 1,
	}
}

// of returns the workers of a service, among them those that went missing a moment
// ago. It copies nothing while nothing changes.
func (t *table) of(service fleet.ServiceID) map[worker.ID]worker.Worker {
	t.expire()
	if view, ok := t.views[service]; ok {
		return view
	}
	view := map[worker.ID]worker.Worker{}
	for id, w := range t.workers {
		if w.Service == service {
			if _, gone := t.missing[id]; gone {
				w.Missing = true
			}
			view[id] = w
		}
	}
	t.views[service] = view
	return view
}

// count returns how many workers are listed and do not drain.
func (t *table) count() int {
	if t.presentVersion == t.version {
		return t.present
	}
	t.present, t.presentVersion = 0, t.version
	for id, w := range t.workers {
		if _, gone := t.missing[id]; !gone && !w.Missing && !w.Draining {
			t.present++
		}
	}
	return t.present
}

// expire forgets the workers that have been missing for too long.
func (t *table) expire() {
	now := monotonic.Now()
	for id, since := range t.missing {
		if now.Sub(since) > missingGrace {
			t.changed(t.workers[id].Service)
			delete(t.missing, id)
			delete(t.workers, id)
		}
	}
}

// changed notes that the workers of a service are not what they were.
func (t *table) changed(service fleet.ServiceID) {
	delete(t.views, service)
	t.version++
}

// put takes one entry over. Workers write theirs again and again; most say nothing new.
func (t *table) put(w worker.Worker) {
	old, known := t.workers[w.ID]
	if _, gone := t.missing[w.ID]; known && !gone && old.Equal(w) {
		return
	}
	if known {
		t.changed(old.Service)
	}
	t.changed(w.Service)
	t.workers[w.ID] = w
	delete(t.missing, w.ID)
}

// miss notes that a worker is not listed any more.
func (t *table) miss(id worker.ID) {
	w, known := t.workers[id]
	if known && w.Missing {
		// The publisher of the digest has waited for its return.
		t.changed(w.Service)
		delete(t.workers, id)
		delete(t.missing, id)
		return
	}
	if _, gone := t.missing[id]; known && !gone {
		t.missing[id] = monotonic.Now()
		t.changed(w.Service)
	}
}

// apply takes changes in their order; id is the worker of a key.
func (t *table) apply(changes []store.Event, id func(key string) worker.ID, put func(store.Entry)) {
	for _, c := range changes {
		if c.Deleted {
			t.miss(id(c.Key))
			continue
		}
		put(c.Entry)
	}
}

// keepOnly notes that the workers that were not seen are not listed any more.
func (t *table) keepOnly(seen map[worker.ID]bool) {
	for id := range t.workers {
		if !seen[id] {
			t.miss(id)
		}
	}
}
