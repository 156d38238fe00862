// Package roster follows the list of workers in the store.
package roster

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/follow"
	"samphirestile.example/samphirestile/internal/steady"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	// watchPause lets the changes of some workers come in one answer: each call
	// to the store counts. It is short against the time that a worker drains.
	watchPause = 200 * time.Millisecond
	// relistInterval bounds how long a silent watch can hide a draining worker.
	relistInterval = 1500 * time.Millisecond
	// missingGrace is how long a worker that is no longer listed may be about to
	// return: entries that lapsed with the store come back within two seconds.
	missingGrace = 2500 * time.Millisecond
)

// Decoder reads one entry of the list.
type Decoder func(store.Entry) (worker.Worker, error)

// Roster is the list of workers.
type Roster struct {
	follower *follow.Follower
	prefix   string
	decode   Decoder
	log      *logrus.Logger

	mu      sync.Mutex
	workers map[worker.ID]worker.Worker
	missing map[worker.ID]steady.Time
	// views are what Of returned since the workers of a service last changed.
	views map[fleet.ServiceID]map[worker.ID]worker.Worker
	// version counts the changes of what is known of the workers. present is how many
	// were listed and did not drain at presentVersion.
	version, presentVersion uint64
	present                 int
	watchers                map[chan struct{}]bool
	started                 chan struct{}
	once                    sync.Once
}

// New returns an empty roster. It reads the list only while needed returns true.
func New(s store.Transactional, prefix string, decode Decoder, needed func() bool, log *logrus.Logger) *Roster {
	r := &Roster{
		prefix: prefix, decode: decode, log: log,
		workers: map[worker.ID]worker.Worker{}, missing: map[worker.ID]steady.Time{},
		views: map[fleet.ServiceID]map[worker.ID]worker.Worker{}, version: 1,
		watchers: map[chan struct{}]bool{}, started: make(chan struct{}),
	}
	r.follower = follow.New(follow.Config{
		Store: s, Prefix: prefix, Target: r, Relist: relistInterval, Gather: watchPause, Needed: needed, Log: log,
	})
	return r
}

// Ready is closed once the list has been read.
func (r *Roster) Ready() <-chan struct{} { return r.started }

// Subscribe returns a channel that receives after each change.
func (r *Roster) Subscribe() chan struct{} {
	c := make(chan struct{}, 1)
	r.mu.Lock()
	r.watchers[c] = true
	r.mu.Unlock()
	return c
}

// Unsubscribe ends a subscription.
func (r *Roster) Unsubscribe(c chan struct{}) {
	r.mu.Lock()
	delete(r.watchers, c)
	r.mu.Unlock()
}

// Count returns how many workers are listed and do not drain.
func (r *Roster) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.presentVersion == r.version {
		return r.present
	}
	r.present, r.presentVersion = 0, r.version
	for id, w := range r.workers {
		if _, gone := r.missing[id]; !gone && !w.Draining {
			r.present++
		}
	}
	return r.present
}

// Version changes whenever Of may return something else for some service.
func (r *Roster) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	return r.version
}

// Notify wakes the subscribers as after a change of the list.
func (r *Roster) Notify() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notify()
}

// Of returns the workers of a service, among them those that went missing a moment
// ago. The caller must not change the result.
//
// Load pattern: hundreds of workers write their entries every other second, and each
// owner looks at its own ten times a second. Nothing is copied while nothing changes.
func (r *Roster) Of(service fleet.ServiceID) map[worker.ID]worker.Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	if view, ok := r.views[service]; ok {
		return view
	}
	view := map[worker.ID]worker.Worker{}
	for id, w := range r.workers {
		if w.Service == service {
			_, w.Missing = r.missing[id]
			view[id] = w
		}
	}
	r.views[service] = view
	return view
}

// expire forgets the workers that have been missing for too long. The caller holds mu.
func (r *Roster) expire() {
	now := steady.Now()
	for id, since := range r.missing {
		if now.Sub(since) > missingGrace {
			r.changed(r.workers[id].Service)
			delete(r.missing, id)
			delete(r.workers, id)
		}
	}
}

// changed notes that the workers of a service are not what they were. The caller holds mu.
func (r *Roster) changed(service fleet.ServiceID) {
	delete(r.views, service)
	r.version++
}

// Run follows the list until ctx ends.
func (r *Roster) Run(ctx context.Context) { r.follower.Run(ctx) }

// Replace implements follow.Target. Workers that are not listed any more are kept for a while.
func (r *Roster) Replace(records []store.Entry, _ uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.version
	seen := map[worker.ID]bool{}
	for _, e := range records {
		if id, ok := r.put(e); ok {
			seen[id] = true
		}
	}
	for id := range r.workers {
		if !seen[id] {
			r.miss(id)
		}
	}
	r.once.Do(func() { close(r.started) })
	r.notifySince(before)
}

// Apply implements follow.Target.
func (r *Roster) Apply(changes []store.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.version
	for _, c := range changes {
		if c.Deleted {
			r.miss(worker.ID(c.Key[len(r.prefix):]))
			continue
		}
		r.put(c.Entry)
	}
	r.notifySince(before)
}

// miss notes that a worker is not listed any more. The caller holds mu.
func (r *Roster) miss(id worker.ID) {
	w, known := r.workers[id]
	if _, gone := r.missing[id]; known && !gone {
		r.missing[id] = steady.Now()
		r.changed(w.Service)
	}
}

// put takes one entry over. Workers write theirs again and again; most say nothing
// new. The caller holds mu.
func (r *Roster) put(e store.Entry) (worker.ID, bool) {
	w, err := r.decode(e)
	if err != nil {
		r.log.WithError(err).Debug("skipped an entry that names no worker")
		return "", false
	}
	old, known := r.workers[w.ID]
	if _, gone := r.missing[w.ID]; known && !gone && old.Equal(w) {
		return w.ID, true
	}
	if known {
		r.changed(old.Service)
	}
	r.changed(w.Service)
	r.workers[w.ID] = w
	delete(r.missing, w.ID)
	return w.ID, true
}

// notifySince wakes the subscribers if something has changed. The caller holds mu.
func (r *Roster) notifySince(version uint64) {
	if r.version != version {
		r.notify()
	}
}

func (r *Roster) notify() {
	for c := range r.watchers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}
