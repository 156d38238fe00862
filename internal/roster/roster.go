// Package roster follows the list of workers in the store.
package roster

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/follow"
	"samphirestile.example/samphirestile/internal/monotonic"
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

// Roster is the list of workers. It is taken from the workers' own entries, or from
// the digest that a Publisher writes while there is a fresh one.
type Roster struct {
	prefix   string
	decode   Decoder
	needed   func() bool
	log      *logrus.Logger
	entries  *follow.Follower
	digested *follow.Follower

	mu sync.Mutex
	// direct holds the workers' own entries, digest what the publisher says of them.
	direct, digest *table
	// source is the table that was used last.
	source *table
	// publishing is set while this daemon writes the digest.
	publishing bool
	// directSince is when the workers' own entries began to be needed; 0 while they are not.
	directSince monotonic.Time
	// beat is the publisher's last sign of life, beatAt when it changed. beats counts
	// the changes without a long pause.
	beat    string
	beatAt  monotonic.Time
	beats   int
	started chan struct{}
	once    sync.Once

	watchers map[chan struct{}]bool
}

// New returns an empty roster. It reads the list only while needed returns true.
func New(s store.Transactional, prefix string, decode Decoder, needed func() bool, log *logrus.Logger) *Roster {
	r := &Roster{
		prefix: prefix, decode: decode, needed: needed, log: log, direct: newTable(), digest: newTable(),
		watchers: map[chan struct{}]bool{}, started: make(chan struct{}),
	}
	r.source = r.direct
	r.entries = follow.New(follow.Config{
		Store: s, Prefix: prefix, Target: directTarget{r}, RelistInterval: relistInterval, BatchDelay: watchPause, Needed: r.directNeeded, Log: log,
	})
	r.digested = follow.New(follow.Config{
		Store: s, Prefix: digestPrefix, Target: digestTarget{r}, RelistInterval: digestRelist, BatchDelay: digestPause, Needed: r.digestNeeded, Log: log,
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
	return r.current().count()
}

// Version changes whenever Of may return something else for some service.
func (r *Roster) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.current()
	t.expire()
	if t == r.digest {
		return t.version<<1 | 1
	}
	return t.version << 1
}

// Notify wakes the subscribers as after a change of the list.
func (r *Roster) Notify() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notify()
}

// ByService returns the workers of a service, among them those that went missing a moment
// ago. The caller must not change the result.
//
// Load pattern: hundreds of workers write their entries every other second, and each
// owner looks at its own ten times a second.
func (r *Roster) ByService(service fleet.ServiceID) map[worker.ID]worker.Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current().of(service)
}

// Run follows the list until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { r.entries.Run(ctx) })
	group.Go(func() { r.digested.Run(ctx) })
	group.Wait()
}

// current returns the table to use. The caller holds mu.
func (r *Roster) current() *table {
	next := r.source
	switch {
	case !r.publishing && r.digestFresh():
		next = r.digest
	case r.directSince != 0 && r.direct.readAt >= r.directSince:
		next = r.direct
	}
	if next != r.source {
		r.source = next
		r.log.WithFields(logrus.Fields{
			"digest": next == r.digest, "workers": len(next.workers), "beat_age_ms": monotonic.Now().Sub(r.beatAt).Milliseconds(),
		}).Info("list of workers taken from another source")
		r.notify()
	}
	return r.source
}

// directNeeded reports whether the workers' own entries must be followed.
func (r *Roster) directNeeded() bool {
	owner := r.needed()
	r.mu.Lock()
	defer r.mu.Unlock()
	need := r.publishing || (owner && !r.digestFresh())
	switch {
	case !need:
		r.directSince = 0
	case r.directSince == 0:
		r.directSince = monotonic.Now()
	}
	return need
}

func (r *Roster) notify() {
	for c := range r.watchers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// directTarget takes the workers' own entries.
type directTarget struct{ r *Roster }

// Replace implements follow.Target. Workers that are not listed any more are kept for a while.
func (d directTarget) Replace(records []store.Entry, _ uint64) {
	r := d.r
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.direct.version
	seen := map[worker.ID]bool{}
	for _, e := range records {
		if id, ok := r.put(e); ok {
			seen[id] = true
		}
	}
	r.direct.keepOnly(seen)
	now := monotonic.Now()
	r.direct.readAt, r.direct.heardAt = now, now
	r.once.Do(func() { close(r.started) })
	r.noteChange(r.direct, before)
}

// Apply implements follow.Target.
func (d directTarget) Apply(changes []store.Event) {
	r := d.r
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.direct.version
	r.direct.apply(changes, func(key string) worker.ID { return worker.ID(key[len(r.prefix):]) }, func(e store.Entry) { r.put(e) })
	r.direct.heardAt = monotonic.Now()
	r.noteChange(r.direct, before)
}

// put takes one entry of a worker over. The caller holds mu.
func (r *Roster) put(e store.Entry) (worker.ID, bool) {
	w, err := r.decode(e)
	if err != nil {
		r.log.WithError(err).Debug("skipped an entry that names no worker")
		return "", false
	}
	r.direct.put(w)
	return w.ID, true
}

// noteChange wakes the subscribers if the table has changed and is the one in use.
// The caller holds mu.
func (r *Roster) noteChange(t *table, version uint64) {
	if t.version != version && r.current() == t {
		r.notify()
	}
}
