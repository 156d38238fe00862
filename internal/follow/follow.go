// Package follow keeps a copy of the records below a prefix of the store.
package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/store"
)

const (
	// watchWait is how long one watch waits; the store counts each as a call.
	watchWait  = 10 * time.Second
	retryPause = 200 * time.Millisecond
	// recordsPerRelist is how many records are read again in each interval, some tens of
	// kilobytes. A list of 3,000 workers takes a second of a link of 10 Mbit/s.
	recordsPerRelist = 100
	// checkWait is how long a watch waits that only asks for what was missed.
	checkWait = time.Millisecond
)

// Target takes what the store says. Its methods are called one at a time.
type Target interface {
	// Replace takes all records as they were at a revision.
	Replace(records []store.Entry, revision uint64)
	// Apply takes changes in their order.
	Apply(changes []store.Event)
}

// Config is what a follower works with.
type Config struct {
	Store  store.Transactional
	Prefix string
	Target Target
	// RelistInterval bounds how long a watch whose connection has fallen silent can hide a
	// change. All records are read in it, or as many intervals as they are multiples of
	// recordsPerRelist; in the others the changes are asked for on another connection.
	RelistInterval time.Duration
	// BatchDelay is a pause before each watch, so that several changes come in one answer.
	BatchDelay time.Duration
	// Needed tells whether to follow at present; nil means always.
	Needed func() bool
	Log    *logrus.Logger
}

// Follower follows a prefix.
type Follower struct {
	Config

	mu       sync.Mutex
	revision uint64
	// records is how many there were at the last reading.
	records int
}

// New returns a follower that has read nothing yet.
func New(c Config) *Follower { return &Follower{Config: c} }

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { f.watch(ctx) })
	for ctx.Err() == nil {
		pause := f.RelistInterval
		if !f.needed() {
			f.mu.Lock()
			f.revision = 0
			f.mu.Unlock()
			pause = retryPause
		} else if err := f.Read(ctx); err != nil {
			if ctx.Err() == nil {
				f.Log.WithError(err).WithField("prefix", f.Prefix).Info("records not read")
			}
			pause = retryPause
		} else {
			f.check(ctx)
		}
		f.rest(ctx, pause)
	}
	group.Wait()
}

// rest waits for d, or until the records are not needed any more: when they are again,
// they have to be read at once.
func (f *Follower) rest(ctx context.Context, d time.Duration) {
	for end := monotonic.Now().Add(d); ctx.Err() == nil && monotonic.Now() < end; {
		monotonic.Sleep(ctx, min(end.Sub(monotonic.Now()), retryPause))
		if !f.needed() {
			return
		}
	}
}

// check asks for changes in the intervals between two readings of many records. It
// ends early when the answer is not enough.
func (f *Follower) check(ctx context.Context) {
	f.mu.Lock()
	intervals := f.records / recordsPerRelist
	f.mu.Unlock()
	for range intervals {
		f.rest(ctx, f.RelistInterval)
		f.mu.Lock()
		after := f.revision
		f.mu.Unlock()
		if ctx.Err() != nil || after == 0 || !f.needed() {
			return
		}
		changes, revision, err := f.Store.Watch(ctx, f.Prefix, after, checkWait)
		if err != nil {
			f.Log.WithError(err).WithField("prefix", f.Prefix).Info("changes not read; all records are read instead")
			return
		}
		f.apply(changes, revision)
	}
}

func (f *Follower) needed() bool { return f.Needed == nil || f.Needed() }

// Read reads all records now.
func (f *Follower) Read(ctx context.Context) error {
	records, revision, err := f.Store.List(ctx, f.Prefix)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision < f.revision {
		// The watch has already shown later changes.
		return nil
	}
	f.Target.Replace(records, revision)
	f.revision, f.records = revision, len(records)
	return nil
}

func (f *Follower) watch(ctx context.Context) {
	for ctx.Err() == nil {
		monotonic.Sleep(ctx, f.BatchDelay)
		f.mu.Lock()
		after := f.revision
		f.mu.Unlock()
		if after == 0 || !f.needed() {
			monotonic.Sleep(ctx, retryPause)
			continue
		}
		changes, revision, err := f.Store.Watch(ctx, f.Prefix, after, watchWait)
		switch {
		case err == nil:
			f.apply(changes, revision)
		case errors.As(err, new(*store.CompactedError)):
			if err := f.Read(ctx); err != nil {
				f.Log.WithError(err).WithField("prefix", f.Prefix).Info("records not read after a dropped history")
				monotonic.Sleep(ctx, retryPause)
			}
		default:
			// The next reading covers what this watch has missed.
			monotonic.Sleep(ctx, retryPause)
		}
	}
}

func (f *Follower) apply(changes []store.Event, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fresh := changes[:0:0]
	for _, c := range changes {
		if c.Version > f.revision {
			fresh = append(fresh, c)
		}
	}
	if len(fresh) > 0 {
		f.Target.Apply(fresh)
	}
	f.revision = max(f.revision, revision)
}
