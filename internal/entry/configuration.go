// Package entry serves client calls and routes them to the owners of shards.
package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/follow"
	"samphirestile.example/samphirestile/internal/hosts"
	"samphirestile.example/samphirestile/internal/jobconfig"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/store"
)

const (
	// watchTimeout is how long one watch waits for changes.
	watchTimeout = 10 * time.Second
	// confirmInterval is the interval between confirmations that the configuration is
	// current. A watch does not confirm the configuration, because it may miss changes for a
	// second. The interval plus one call is shorter than the time within which a change must
	// apply, Gateway.RevocationDeadline.
	confirmInterval = 1200 * time.Millisecond
	// waveRefreshInterval bounds how long a stalled watch can hide a maintenance wave, which
	// allows many seconds for its first host.
	waveRefreshInterval = 4 * confirmInterval
	// retryDelay is the delay after a failed call to the store.
	retryDelay = 150 * time.Millisecond
	// awaitTimeout bounds how long a call waits for a configuration, and awaitInterval is the interval between
	// readings meanwhile.
	awaitTimeout  = time.Second
	awaitInterval = 50 * time.Millisecond
	// maxRejectedLogged is how many invalid parts of one configuration are logged.
	maxRejectedLogged = 10
)

// RecordFormat defines the keys and the encoding of the operators' records.
type RecordFormat struct {
	Prefix           string
	ConfigurationKey string
	WavePrefix       string
	Configuration    func([]byte) (*jobconfig.Configuration, error)
	// Wave returns ok false for records that are not maintenance waves.
	Wave func(store.Entry) (wave hosts.Wave, ok bool, err error)
	// Evacuation is nil where availability zones are not evacuated.
	Evacuation *EvacuationFormat
}

// ConfigurationFollower keeps the operators' configuration and maintenance waves up to date.
type ConfigurationFollower struct {
	store  store.Transactional
	format RecordFormat
	log    *logrus.Logger
	// rejections reports records that are read again and again.
	rejections *follow.Rejections

	mu        sync.Mutex
	current   *jobconfig.Configuration
	waves     map[int64]hosts.Wave
	revision  uint64
	confirmed monotonic.Time
	// recorded is the revision of the newest configuration record, valid or not.
	recorded uint64
	retained retention
	// wavesRead is when the wave records were last read.
	wavesRead   monotonic.Time
	evacuations evacuations
}

// NewConfigurationFollower returns a follower that has no configuration yet.
func NewConfigurationFollower(s store.Transactional, format RecordFormat, log *logrus.Logger) *ConfigurationFollower {
	return &ConfigurationFollower{store: s, format: format, log: log, rejections: follow.NewRejections(log), waves: map[int64]hosts.Wave{}}
}

// Current returns the newest configuration, or nil, and the time since it was last
// confirmed.
func (c *ConfigurationFollower) Current() (*jobconfig.Configuration, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current, monotonic.Now().Sub(c.confirmed)
}

// ConfirmedRecently reports whether the store has confirmed the configuration lately, which
// shows that it responds.
func (c *ConfigurationFollower) ConfirmedRecently() bool {
	_, age := c.Current()
	return age < 2*confirmInterval
}

// Await waits until a version, or a newer one, is in force, and reports whether it is before ctx is done or
// awaitTimeout has passed.
func (c *ConfigurationFollower) Await(ctx context.Context, version int64) bool {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	for {
		if current, _ := c.Current(); current != nil && current.Version >= version {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		if err := c.refresh(ctx); err != nil {
			c.log.WithError(err).WithField("version", version).Info("configuration not read; a call waits for it")
		}
		monotonic.Sleep(ctx, awaitInterval)
	}
}

// Waves returns the maintenance waves that operators have requested.
func (c *ConfigurationFollower) Waves() []hosts.Wave {
	c.mu.Lock()
	defer c.mu.Unlock()
	var waves []hosts.Wave
	for _, w := range c.waves {
		waves = append(waves, w)
	}
	return waves
}

// Run follows the records until ctx is done.
func (c *ConfigurationFollower) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { c.watch(ctx) })
	failing := false
	for ctx.Err() == nil {
		delay := c.interval()
		if err := c.refresh(ctx); err != nil {
			delay = retryDelay
			if !failing && ctx.Err() == nil {
				_, age := c.Current()
				c.log.WithError(err).WithField("age_ms", age.Milliseconds()).Warn("configuration not confirmed")
			}
			failing = true
		} else if failing {
			failing = false
			c.log.Info("configuration confirmed again")
		}
		monotonic.Sleep(ctx, delay)
	}
	group.Wait()
}

// refresh reads all records until there is a configuration. After that it confirms the
// configuration, and reads the waves and the evacuated zones every waveRefreshInterval.
func (c *ConfigurationFollower) refresh(ctx context.Context) error {
	c.mu.Lock()
	recorded, wavesDue := c.recorded, monotonic.Now().Sub(c.wavesRead) >= waveRefreshInterval
	c.mu.Unlock()
	if recorded == 0 {
		return c.readFirst(ctx)
	}
	if err := c.confirm(ctx, recorded); err != nil {
		return err
	}
	c.retain(ctx)
	if !wavesDue {
		return nil
	}
	if err := c.readEvacuations(ctx); err != nil {
		return err
	}
	return c.read(ctx, c.format.WavePrefix)
}

// confirm checks with the store whether a revision of the configuration is still the newest
// one, and otherwise applies the record that the store returns.
//
// Each daemon has to verify every confirmInterval that it has missed no revocation of a key. A
// configuration of a thousand queues has several hundred kilobytes, so reading the record
// each time would saturate the links and CPUs of small machines.
func (c *ConfigurationFollower) confirm(ctx context.Context, recorded uint64) error {
	sent := monotonic.Now()
	c.mu.Lock()
	evacuations := c.evacuationConditions()
	probe := store.Transaction{Conditions: append([]store.Condition{
		{Key: c.format.ConfigurationKey, Version: recorded}, {Key: RetainedKey, Version: c.retained.revision},
	}, evacuations...)}
	c.mu.Unlock()
	var changed *store.ConditionError
	// The transaction writes nothing, so it may be hedged.
	_, err := store.Hedge(ctx, store.HedgeDelay, store.HasDefiniteOutcome, func(ctx context.Context) (uint64, error) {
		return c.store.Commit(ctx, probe)
	})
	if err != nil && !errors.As(err, &changed) {
		return err
	}
	if changed != nil {
		if err := c.applyChangedEvacuations(ctx, evacuations, changed); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if changed != nil {
		e, ok := changed.Find(c.format.ConfigurationKey)
		if !ok {
			return &ConfirmationError{Key: c.format.ConfigurationKey, Revision: recorded}
		}
		c.apply(e)
		kept, _ := changed.Find(RetainedKey)
		c.applyRetained(kept)
	}
	c.confirmed = max(c.confirmed, sent)
	return nil
}

// ConfirmationError reports that the configuration has changed, but that the store did not
// return the record: it was removed, or the response is not complete.
type ConfirmationError struct {
	Key string
	// Revision is the revision that is no longer the newest one.
	Revision uint64
}

func (e *ConfirmationError) Error() string {
	return fmt.Sprintf("%s has changed since revision %d, and its record was not returned", e.Key, e.Revision)
}

// read reads and applies the records below a prefix.
func (c *ConfigurationFollower) read(ctx context.Context, prefix string) error {
	sent := monotonic.Now()
	entries, revision, err := c.store.List(ctx, prefix)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range entries {
		c.apply(e)
	}
	c.wavesRead = sent
	if prefix == c.format.Prefix {
		c.revision = max(c.revision, revision)
		c.confirmed = max(c.confirmed, sent)
	}
	return nil
}

// apply applies a record. It ignores a configuration record unless both its revision and its
// version are higher than those of the last one. The caller holds mu.
func (c *ConfigurationFollower) apply(e store.Entry) {
	if c.isEvacuation(e.Key) {
		c.applyEvacuation(e.Key, e.Version, true)
		return
	}
	if e.Key == c.format.ConfigurationKey {
		if e.Version <= c.recorded {
			return
		}
		c.recorded = e.Version
		next, err := c.format.Configuration(e.Value)
		if err != nil {
			c.log.WithError(err).WithField("revision", e.Version).Error("configuration record invalid; keeping the previous configuration")
			return
		}
		if c.current != nil && next.Version <= c.current.Version {
			c.retained.needed = next.Version < c.current.Version
			c.log.WithFields(logrus.Fields{
				"version": next.Version, "in_force": c.current.Version, "revision": e.Version,
			}).Warn("configuration record with a version that is not higher ignored")
			return
		}
		c.current = next
		c.retained.needed, c.retained.value = false, e.Value
		c.log.WithFields(logrus.Fields{
			"version": next.Version, "revision": e.Version, "queues": len(next.Queues), "accounts": len(next.Accounts),
		}).Info("configuration in force")
		for i, err := range next.Rejected[:min(len(next.Rejected), maxRejectedLogged)] {
			c.log.WithError(err).WithFields(logrus.Fields{"version": next.Version, "rejected": len(next.Rejected), "index": i}).Error("part of the configuration invalid and left out")
		}
		return
	}
	w, ok, err := c.format.Wave(e)
	if err != nil {
		c.rejections.Report(e.Key, err)
		return
	}
	if ok {
		c.waves[w.Number] = w
	}
}

func (c *ConfigurationFollower) watch(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		after := c.revision
		c.mu.Unlock()
		if after == 0 {
			monotonic.Sleep(ctx, retryDelay)
			continue
		}
		events, revision, err := c.store.Watch(ctx, c.format.Prefix, after, watchTimeout)
		if err != nil {
			monotonic.Sleep(ctx, retryDelay)
			if errors.As(err, new(*store.CompactedError)) {
				c.resumeAfterCompaction(ctx)
			}
			continue
		}
		c.mu.Lock()
		for _, e := range events {
			switch {
			case !e.Deleted:
				c.apply(e.Entry)
			case c.isEvacuation(e.Key):
				c.applyEvacuation(e.Key, e.Version, false)
			}
		}
		c.revision = max(c.revision, revision)
		c.mu.Unlock()
	}
}

// resumeAfterCompaction reads the waves and confirms the configuration, so that the watch can
// continue after the store has compacted its history. Until it succeeds only refresh updates the configuration.
func (c *ConfigurationFollower) resumeAfterCompaction(ctx context.Context) {
	entries, revision, err := c.store.List(ctx, c.format.WavePrefix)
	if err == nil {
		c.mu.Lock()
		recorded := c.recorded
		c.mu.Unlock()
		err = c.confirm(ctx, recorded)
	}
	if err == nil {
		err = c.readEvacuations(ctx)
	}
	if err != nil {
		c.log.WithError(err).Info("operator records not read after the store compacted its history; will retry")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range entries {
		c.apply(e)
	}
	c.revision = max(c.revision, revision)
}
