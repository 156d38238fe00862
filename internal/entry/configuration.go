// Package entry takes client calls and brings them to the owners of shards.
package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/hosts"
	"samphirestile.example/samphirestile/internal/jobconfig"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/store"
)

const (
	watchWait = 10 * time.Second
	// confirmInterval is the pause between two confirmations. A watch may miss
	// changes for a second, so it confirms nothing; with the time of one call the
	// pause stays below the time in which a change must apply.
	confirmInterval = 1200 * time.Millisecond
	// wavesInterval bounds how long a silent watch can hide a wave, which has many
	// seconds for its first host.
	wavesInterval = 4 * confirmInterval
	retryPause    = 150 * time.Millisecond
)

// RecordFormat tells how the operators' records look.
type RecordFormat struct {
	Prefix           string
	ConfigurationKey string
	WavePrefix       string
	Configuration    func([]byte) (*jobconfig.Configuration, error)
	// Wave returns ok false for records that are not waves.
	Wave func(store.Entry) (wave hosts.Wave, ok bool, err error)
}

// ConfigurationFollower follows the operators' records.
type ConfigurationFollower struct {
	store  store.Transactional
	source RecordFormat
	log    *logrus.Logger

	mu        sync.Mutex
	current   *jobconfig.Configuration
	waves     map[int64]hosts.Wave
	revision  uint64
	confirmed monotonic.Time
	// recorded is the revision of the newest record of the configuration, readable or not.
	recorded uint64
	// wavesRead is when the records of waves were last read.
	wavesRead monotonic.Time
}

// NewConfigurationFollower returns a follower without a configuration.
func NewConfigurationFollower(s store.Transactional, source RecordFormat, log *logrus.Logger) *ConfigurationFollower {
	return &ConfigurationFollower{store: s, source: source, log: log, waves: map[int64]hosts.Wave{}}
}

// Current returns the newest configuration, or nil, and for how long it has
// not been confirmed.
func (c *ConfigurationFollower) Current() (*jobconfig.Configuration, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current, monotonic.Now().Sub(c.confirmed)
}

// Waves returns the waves that operators have asked for.
func (c *ConfigurationFollower) Waves() []hosts.Wave {
	c.mu.Lock()
	defer c.mu.Unlock()
	var waves []hosts.Wave
	for _, w := range c.waves {
		waves = append(waves, w)
	}
	return waves
}

// Run follows until ctx ends.
func (c *ConfigurationFollower) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { c.follow(ctx) })
	failing := false
	for ctx.Err() == nil {
		pause := confirmInterval
		if err := c.refresh(ctx); err != nil {
			pause = retryPause
			if !failing && ctx.Err() == nil {
				_, age := c.Current()
				c.log.WithError(err).WithField("age_ms", age.Milliseconds()).Warn("configuration not confirmed")
			}
			failing = true
		} else if failing {
			failing = false
			c.log.Info("configuration confirmed again")
		}
		monotonic.Sleep(ctx, pause)
	}
	group.Wait()
}

// refresh reads all records as long as there is no configuration. Later it confirms
// the configuration, and reads the waves now and then.
func (c *ConfigurationFollower) refresh(ctx context.Context) error {
	c.mu.Lock()
	recorded, waves := c.recorded, monotonic.Now().Sub(c.wavesRead) >= wavesInterval
	c.mu.Unlock()
	if recorded == 0 {
		return c.read(ctx, c.source.Prefix)
	}
	if err := c.confirm(ctx, recorded); err != nil {
		return err
	}
	if !waves {
		return nil
	}
	return c.read(ctx, c.source.WavePrefix)
}

// confirm asks the store whether a revision of the configuration is still the
// newest one, and takes over the one that it names otherwise.
//
// Load pattern: a configuration of a thousand queues is some hundred kilobytes. Each
// daemon has to know every second that it has missed no withdrawn key; reading the
// record for that fills the links of small machines and their processors.
func (c *ConfigurationFollower) confirm(ctx context.Context, recorded uint64) error {
	sent := monotonic.Now()
	question := store.Transaction{Conditions: []store.Condition{{Key: c.source.ConfigurationKey, Version: recorded}}}
	var changed *store.ConditionError
	// The transaction writes nothing, so it may be sent again while its answer is missing.
	_, err := store.Hedge(ctx, store.HedgeAfter, store.Answered, func(ctx context.Context) (uint64, error) {
		return c.store.Commit(ctx, question)
	})
	if err != nil && !errors.As(err, &changed) {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if changed != nil {
		for _, e := range changed.Current {
			c.put(e)
		}
	}
	c.confirmed = max(c.confirmed, sent)
	return nil
}

// read reads the records below a prefix.
func (c *ConfigurationFollower) read(ctx context.Context, prefix string) error {
	sent := monotonic.Now()
	entries, revision, err := c.store.List(ctx, prefix)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range entries {
		c.put(e)
	}
	c.wavesRead = sent
	if prefix == c.source.Prefix {
		c.revision = max(c.revision, revision)
		c.confirmed = max(c.confirmed, sent)
	}
	return nil
}

// put takes a record over. Versions only rise. The caller holds mu.
func (c *ConfigurationFollower) put(e store.Entry) {
	if e.Key == c.source.ConfigurationKey {
		if e.Version <= c.recorded {
			return
		}
		c.recorded = e.Version
		next, err := c.source.Configuration(e.Value)
		if err != nil {
			c.log.WithError(err).Error("configuration unreadable; the former one stays in force")
			return
		}
		if c.current != nil && next.Version <= c.current.Version {
			return
		}
		c.current = next
		c.log.WithFields(logrus.Fields{
			"version": next.Version, "revision": e.Version, "queues": len(next.Queues), "accounts": len(next.Accounts),
		}).Info("configuration in force")
		return
	}
	w, ok, err := c.source.Wave(e)
	if err != nil {
		c.log.WithError(err).Error("wave unreadable")
		return
	}
	if ok {
		c.waves[w.Number] = w
	}
}

func (c *ConfigurationFollower) follow(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		after := c.revision
		c.mu.Unlock()
		if after == 0 {
			monotonic.Sleep(ctx, retryPause)
			continue
		}
		events, revision, err := c.store.Watch(ctx, c.source.Prefix, after, watchWait)
		if err != nil {
			monotonic.Sleep(ctx, retryPause)
			if errors.As(err, new(*store.CompactedError)) {
				c.resume(ctx)
			}
			continue
		}
		c.mu.Lock()
		for _, e := range events {
			if !e.Deleted {
				c.put(e.Entry)
			}
		}
		c.revision = max(c.revision, revision)
		c.mu.Unlock()
	}
}

// resume lets the watch go on after its history was dropped. Until then the
// configuration is known by confirmations alone.
func (c *ConfigurationFollower) resume(ctx context.Context) {
	entries, revision, err := c.store.List(ctx, c.source.WavePrefix)
	if err == nil {
		c.mu.Lock()
		recorded := c.recorded
		c.mu.Unlock()
		err = c.confirm(ctx, recorded)
	}
	if err != nil {
		c.log.WithError(err).Info("records of operators not read after a dropped history")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range entries {
		c.put(e)
	}
	c.revision = max(c.revision, revision)
}
