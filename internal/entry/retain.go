package entry

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/store"
)

// RetainedKey holds a configuration that the operators' record has replaced by a lower version.
//
// Fault: an operator's write that is carried out late puts an older version into the store. Running
// daemons ignore it, but restarted ones would take it for the newest, with keys that the later
// version has revoked.
const RetainedKey = "samphirestile/configuration"

// retention is the state of the record at RetainedKey.
type retention struct {
	// revision is the revision of the record, 0 if there is none, and version the version of
	// the configuration in it.
	revision uint64
	version  int64
	// needed is set while the operators' record has a lower version than the configuration
	// in force, whose record has the given value.
	needed bool
	value  []byte
}

// readFirst reads the operators' records and the retained configuration, and uses the
// configuration with the higher version.
func (c *ConfigurationFollower) readFirst(ctx context.Context) error {
	sent := monotonic.Now()
	kept, err := c.store.Get(ctx, RetainedKey)
	if err != nil && !errors.As(err, new(*store.NotFoundError)) {
		return err
	}
	entries, revision, err := c.store.List(ctx, c.format.Prefix)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyRetained(kept)
	for _, e := range entries {
		c.apply(e)
	}
	c.removeUnlisted(entries, revision)
	c.wavesRead = sent
	c.revision = max(c.revision, revision)
	c.confirmed = max(c.confirmed, sent)
	return nil
}

// applyRetained applies the record at RetainedKey; a zero Entry means that there is none. The
// caller holds mu.
func (c *ConfigurationFollower) applyRetained(e store.Entry) {
	if e.Version == c.retained.revision {
		return
	}
	c.retained.revision, c.retained.version = e.Version, 0
	if e.Version == 0 {
		return
	}
	next, err := c.format.Configuration(e.Value)
	if err != nil {
		c.log.WithError(err).WithField("revision", e.Version).Error("retained configuration invalid")
		return
	}
	c.retained.version = next.Version
	if c.current != nil && next.Version <= c.current.Version {
		return
	}
	c.current = next
	c.retained.needed, c.retained.value = true, e.Value
	c.log.WithFields(logrus.Fields{"version": next.Version, "revision": e.Version}).Warn("retained configuration in force; the operators' record has a lower version")
}

// retain records the configuration in force if the operators' record has a lower version and
// no daemon has recorded it yet. A failed write is repeated after the next confirmation.
func (c *ConfigurationFollower) retain(ctx context.Context) {
	c.mu.Lock()
	due := c.retained.needed && c.retained.version < c.current.Version
	version, t := int64(0), store.Transaction{}
	if due {
		version = c.current.Version
		t = store.Transaction{
			Conditions: []store.Condition{{Key: c.format.ConfigurationKey, Version: c.recorded}, {Key: RetainedKey, Version: c.retained.revision}},
			Writes:     []store.Write{{Key: RetainedKey, Value: c.retained.value}},
		}
	}
	c.mu.Unlock()
	if !due {
		return
	}
	revision, err := c.store.Commit(ctx, t)
	if errors.As(err, new(*store.ConditionError)) {
		// Another daemon was first, or the operators' record has changed.
		return
	}
	if err != nil {
		c.log.WithError(err).WithField("version", version).Warn("configuration not retained; will retry")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retained.revision, c.retained.version = revision, version
	c.log.WithFields(logrus.Fields{"version": version, "revision": revision}).Info("configuration retained")
}
