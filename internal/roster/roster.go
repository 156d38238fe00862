// Package roster maintains the list of workers from the store.
package roster

import (
	"context"
	"strings"
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
	// batchDelay combines the changes of several workers in one response to save calls to the
	// store. It is short compared with the time for which a worker drains.
	batchDelay = 200 * time.Millisecond
	// relistInterval bounds how long a stalled watch can hide a draining worker.
	relistInterval = 1500 * time.Millisecond
	// missingGrace is how long an unlisted worker is kept: entries that expired in a store
	// outage reappear within two seconds.
	missingGrace = 2500 * time.Millisecond
	// unfollowedRetention is how long a list that is not followed is kept as a record of the
	// workers whose entries may have expired. It covers store outages in which this daemon
	// loses its shards and acquires shards again.
	unfollowedRetention = 30 * time.Second
)

// Decoder decodes one entry of the list.
type Decoder func(store.Entry) (worker.Worker, error)

// Roster is the list of workers. Its source is the digest written by a Publisher while that
// is fresh, and otherwise the workers' own entries.
type Roster struct {
	prefix         string
	decode         Decoder
	needed         func() bool
	log            *logrus.Logger
	rejections     *follow.Rejections
	directFollower *follow.Follower
	digestFollower *follow.Follower

	mu sync.Mutex
	// direct is built from the workers' own entries, digest from the publisher's records.
	direct, digest *table
	// active is the table that was used last.
	active *table
	// publishing is set while this daemon publishes the digest.
	publishing bool
	// directNeededSince is when the workers' own entries became needed; 0 if they are not.
	directNeededSince monotonic.Time
	// heartbeat is the publisher's last heartbeat, heartbeatAt when it changed. heartbeats
	// counts the consecutive ones, without an interruption of heartbeatTimeout.
	heartbeat   string
	heartbeatAt monotonic.Time
	heartbeats  int
	// unfollowed is set until a list has been read since it became needed. unfollowedSince
	// is then when the lists were last followed, 0 if they never were. ready is closed when
	// unfollowed is reset, and replaced when it is set.
	unfollowed      bool
	unfollowedSince monotonic.Time
	ready           chan struct{}

	subscribers map[chan struct{}]bool
}

// New returns an empty roster. It reads the list only while needed returns true or this
// daemon publishes the digest.
func New(s store.Transactional, prefix string, decode Decoder, needed func() bool, log *logrus.Logger) *Roster {
	r := &Roster{
		prefix: prefix, decode: decode, needed: needed, log: log, rejections: follow.NewRejections(log), direct: newTable(), digest: newTable(),
		active: newTable(), unfollowed: true, subscribers: map[chan struct{}]bool{}, ready: make(chan struct{}),
	}
	r.directFollower = follow.New(follow.Config{
		Store: s, Prefix: prefix, Target: directTarget{r}, RelistInterval: relistInterval, BatchDelay: batchDelay, Needed: r.directNeeded, Log: log,
	})
	r.digestFollower = follow.New(follow.Config{
		Store: s, Prefix: digestPrefix, Target: digestTarget{r}, RelistInterval: digestRelistInterval, BatchDelay: digestBatchDelay, Needed: r.digestNeeded, Log: log,
	})
	return r
}

// Ready returns a channel that is closed once the list has been read since it became needed.
func (r *Roster) Ready() <-chan struct{} {
	r.directNeeded()
	r.directFollower.Wake()
	r.digestFollower.Wake()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready
}

// Subscribe returns a channel that receives a value after changes.
func (r *Roster) Subscribe() chan struct{} {
	c := make(chan struct{}, 1)
	r.mu.Lock()
	r.subscribers[c] = true
	r.mu.Unlock()
	return c
}

// Unsubscribe ends a subscription.
func (r *Roster) Unsubscribe(c chan struct{}) {
	r.mu.Lock()
	delete(r.subscribers, c)
	r.mu.Unlock()
}

// Count returns the number of listed workers that are not draining.
func (r *Roster) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.activeTable().count()
}

// Version returns a number that changes whenever a result of ByService may have changed.
func (r *Roster) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.activeTable()
	t.evictMissing()
	if t == r.digest {
		return t.version<<1 | 1
	}
	return t.version << 1
}

// Notify notifies the subscribers as after a change of the list.
func (r *Roster) Notify() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notify()
}

// ByService returns the workers of a service, including those that went missing less than
// missingGrace ago. The caller must not modify the result, which is cached: hundreds of
// workers write their entries every other second, and each owner reads its workers ten
// times a second.
func (r *Roster) ByService(service fleet.ServiceID) map[worker.ID]worker.Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.activeTable().workersOf(service)
}

// Run follows the list until ctx is done.
func (r *Roster) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { r.directFollower.Run(ctx) })
	group.Go(func() { r.digestFollower.Run(ctx) })
	group.Wait()
}

// activeTable returns the table to use, and notifies the subscribers when the source
// changes. The caller holds mu.
func (r *Roster) activeTable() *table {
	next := r.active
	switch {
	case !r.publishing && r.digestFresh():
		next = r.digest
	case r.directNeededSince != 0 && r.direct.readAt >= r.directNeededSince:
		next = r.direct
	}
	if next != r.active {
		r.active = next
		r.log.WithFields(logrus.Fields{
			"digest": next == r.digest, "workers": len(next.workers), "beat_age_ms": monotonic.Now().Sub(r.heartbeatAt).Milliseconds(),
		}).Info("list of workers taken from another source")
		r.notify()
	}
	return r.active
}

// directNeeded reports whether this daemon must follow the workers' own entries.
func (r *Roster) directNeeded() bool {
	owner := r.needed()
	r.mu.Lock()
	defer r.mu.Unlock()
	need := r.publishing || (owner && !r.digestFresh())
	r.recordNeed(owner || r.publishing)
	switch {
	case !need:
		r.directNeededSince = 0
	case r.directNeededSince == 0:
		r.directNeededSince = monotonic.Now()
	}
	return need
}

// recordNeed records whether the list is followed. A list that was not followed is not used
// before it has been read again. The caller holds mu.
//
// Fault: a daemon that acquires a shard long after it has lost its last one has the list of that time,
// with workers that have left or moved to another pool since.
func (r *Roster) recordNeed(needed bool) {
	now := monotonic.Now()
	switch {
	case !needed && !r.unfollowed:
		r.unfollowed, r.unfollowedSince = true, now
		r.active = newTable()
		r.ready = make(chan struct{})
	case needed && r.unfollowedSince != 0 && now.Sub(r.unfollowedSince) > unfollowedRetention:
		r.dropTables()
		r.unfollowedSince = now
	}
}

// dropTables drops what is known of the workers. The caller holds mu.
func (r *Roster) dropTables() {
	for _, t := range []**table{&r.direct, &r.digest} {
		version := (*t).version
		*t = newTable()
		(*t).version = version + 1
	}
}

// confirmFollowing records that a list has been read since it became needed. The caller
// holds mu.
func (r *Roster) confirmFollowing() {
	if r.unfollowed {
		r.unfollowed, r.unfollowedSince = false, 0
		close(r.ready)
	}
}

func (r *Roster) notify() {
	for c := range r.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// directTarget receives the workers' own entries.
type directTarget struct{ r *Roster }

// Replace implements follow.Target. Unlisted workers are kept for missingGrace.
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
	r.direct.markOthersMissing(seen)
	now := monotonic.Now()
	r.direct.readAt, r.direct.receivedAt = now, now
	if r.directNeededSince != 0 {
		r.confirmFollowing()
	}
	r.notifyIfChanged(r.direct, before)
}

// Apply implements follow.Target.
func (d directTarget) Apply(changes []store.Event) {
	r := d.r
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.direct.version
	r.direct.apply(changes, r.workerOf, func(e store.Entry) {
		if _, ok := r.put(e); !ok {
			// As in Replace: an entry that describes no worker does not list one.
			r.direct.markMissing(r.workerOf(e.Key))
		}
	})
	r.direct.receivedAt = monotonic.Now()
	r.notifyIfChanged(r.direct, before)
}

// workerOf returns the worker of a key below the prefix.
func (r *Roster) workerOf(key string) worker.ID { return worker.ID(strings.TrimPrefix(key, r.prefix)) }

// put applies one entry of a worker. The caller holds mu.
func (r *Roster) put(e store.Entry) (worker.ID, bool) {
	w, err := r.decode(e)
	if err != nil {
		r.rejections.Report(e.Key, err)
		return "", false
	}
	r.direct.put(w)
	return w.ID, true
}

// notifyIfChanged notifies the subscribers if the table has changed since the version and
// is the active one. The caller holds mu.
func (r *Roster) notifyIfChanged(t *table, version uint64) {
	if t.version != version && r.activeTable() == t {
		r.notify()
	}
}
