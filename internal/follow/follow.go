// Package follow maintains a local copy of the store records below a prefix.
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
	// watchTimeout is how long one watch waits for changes. It is long because the store
	// counts each watch as a call.
	watchTimeout = 10 * time.Second
	// retryDelay is the delay after a failed call, and between checks whether the records are needed.
	retryDelay = 200 * time.Millisecond
	// recordsPerRelist is the number of records read per RelistInterval on average, some tens
	// of kilobytes. A list of 3,000 workers occupies a link of 10 Mbit/s for a second.
	recordsPerRelist = 100
	// pollTimeout is the timeout of a watch that only fetches missed changes.
	pollTimeout = time.Millisecond
)

// Target receives the records. Its methods are called one at a time.
type Target interface {
	// Replace receives all records as of a revision.
	Replace(records []store.Entry, revision uint64)
	// Apply receives changes in order.
	Apply(changes []store.Event)
}

// Config holds the dependencies and settings of a follower.
type Config struct {
	Store  store.Transactional
	Prefix string
	Target Target
	// RelistInterval bounds how long a watch on a stalled connection can hide a change. Fewer
	// than recordsPerRelist records are read in each interval. A larger number n is read about
	// every n/recordsPerRelist intervals, and the other intervals poll for changes on another
	// connection.
	RelistInterval time.Duration
	// BatchDelay is a delay before each watch that combines several changes in one response.
	BatchDelay time.Duration
	// Needed reports whether the records are currently needed; nil means always.
	Needed func() bool
	Log    *logrus.Logger
}

// Follower passes the records below a prefix and their changes to a Target.
type Follower struct {
	Config

	mu       sync.Mutex
	revision uint64
	// newestListed is the revision of the newest record of the last full read, which is higher than revision if
	// records changed while its pages were read.
	newestListed uint64
	// recordCount is the number of records at the last full read.
	recordCount int
	wake        chan struct{}
}

// New returns a follower that has read no records yet.
func New(c Config) *Follower { return &Follower{Config: c, wake: make(chan struct{}, 1)} }

// Wake makes a follower whose records were not needed check at once whether they are.
func (f *Follower) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Run follows the records until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { f.watch(ctx) })
	for ctx.Err() == nil {
		delay := f.RelistInterval
		if !f.needed() {
			f.mu.Lock()
			f.revision = 0
			f.mu.Unlock()
			f.waitForWake(ctx)
			continue
		} else if err := f.Read(ctx); err != nil {
			if ctx.Err() == nil {
				f.Log.WithError(err).WithField("prefix", f.Prefix).Info("records not read; will retry")
			}
			delay = retryDelay
		} else {
			f.pollChanges(ctx)
		}
		f.wait(ctx, delay)
	}
	group.Wait()
}

// waitForWake waits for retryDelay or a call of Wake.
func (f *Follower) waitForWake(ctx context.Context) {
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.wake:
	case <-timer.C:
	}
}

// wait waits for d, or until the records are no longer needed: once they are needed again,
// they must be read without delay.
func (f *Follower) wait(ctx context.Context, d time.Duration) {
	for deadline := monotonic.Now().Add(d); ctx.Err() == nil && monotonic.Now() < deadline; {
		monotonic.Sleep(ctx, min(deadline.Sub(monotonic.Now()), retryDelay))
		if !f.needed() {
			return
		}
	}
}

// pollChanges polls for changes in the intervals between two full reads of many records. It
// returns early if a poll fails, which brings the next full read forward.
func (f *Follower) pollChanges(ctx context.Context) {
	f.mu.Lock()
	intervals := f.recordCount / recordsPerRelist
	f.mu.Unlock()
	for range intervals {
		f.wait(ctx, f.RelistInterval)
		f.mu.Lock()
		after := f.revision
		f.mu.Unlock()
		if ctx.Err() != nil || after == 0 || !f.needed() {
			return
		}
		changes, revision, err := f.Store.Watch(ctx, f.Prefix, after, pollTimeout)
		if err != nil {
			f.Log.WithError(err).WithField("prefix", f.Prefix).Info("changes not read; reading all records instead")
			return
		}
		f.apply(changes, revision)
	}
}

func (f *Follower) needed() bool { return f.Needed == nil || f.Needed() }

// Read reads all records immediately.
func (f *Follower) Read(ctx context.Context) error {
	records, revision, err := f.Store.List(ctx, f.Prefix)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision < f.revision {
		// The watch has already delivered later changes.
		return nil
	}
	f.Target.Replace(records, revision)
	f.revision, f.recordCount, f.newestListed = revision, len(records), 0
	for _, r := range records {
		f.newestListed = max(f.newestListed, r.Version)
	}
	return nil
}

func (f *Follower) watch(ctx context.Context) {
	for ctx.Err() == nil {
		monotonic.Sleep(ctx, f.BatchDelay)
		f.mu.Lock()
		after := f.revision
		f.mu.Unlock()
		if after == 0 || !f.needed() {
			monotonic.Sleep(ctx, retryDelay)
			continue
		}
		changes, revision, err := f.Store.Watch(ctx, f.Prefix, after, watchTimeout)
		switch {
		case err == nil:
			f.apply(changes, revision)
		case errors.As(err, new(*store.CompactedError)):
			if err := f.Read(ctx); err != nil {
				f.Log.WithError(err).WithField("prefix", f.Prefix).Info("records not read after the store compacted its history; will retry")
				monotonic.Sleep(ctx, retryDelay)
			}
		default:
			// The next read or poll covers the changes that this watch has missed.
			monotonic.Sleep(ctx, retryDelay)
		}
	}
}

func (f *Follower) apply(changes []store.Event, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.revision == 0 {
		// The records ceased to be needed during the call. Its revision must not hide the next
		// read, which covers all changes.
		return
	}
	if revision < f.newestListed {
		// The watch ended before the last full read did: its changes would undo later ones. The next watch delivers all.
		return
	}
	newer := changes[:0:0]
	for _, c := range changes {
		if c.Version > f.revision {
			newer = append(newer, c)
		}
	}
	if len(newer) > 0 {
		f.Target.Apply(newer)
	}
	f.revision = max(f.revision, revision)
}
