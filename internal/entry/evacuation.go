package entry

import (
	"context"
	"maps"
	"math"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/store"
)

const (
	// maxConfirmedZones bounds the zones whose keys are preconditions of a confirmation, so that these and the
	// configuration's stay below store.MaxTransactionEntries.
	maxConfirmedZones = 28
	// confirmationsPerBound is how many confirmations fit at least into the bound of an evacuation. An owner whose last
	// confirmation is older than three fifths of the bound sends no start, so one may fail.
	confirmationsPerBound = 3
)

// EvacuationFormat defines the keys by which operators evacuate availability zones.
type EvacuationFormat struct {
	Prefix string
	// Zone returns the zone of a key below Prefix.
	Zone func(key string) (fleet.AvailabilityZone, error)
	// Zones are the zones of the deployment; each confirmation checks their keys.
	Zones []fleet.AvailabilityZone
	// Bound is the time from the write of a key until no task may start in its zone.
	Bound time.Duration
}

// evacuations are the keys of zones under evacuation. The follower's mu guards them.
type evacuations struct {
	// zones is replaced, not changed, as Evacuations returns it.
	zones map[fleet.AvailabilityZone]bool
	// keys holds the last known state of each key, also of removed ones: an answer or event that is older must not
	// restore them.
	keys map[string]evacuationKey
}

type evacuationKey struct {
	// revision is that of the last known write or removal.
	revision uint64
	present  bool
}

// Evacuations returns the zones under evacuation and the time since the store last confirmed them. The caller must not
// change the map.
func (c *ConfigurationFollower) Evacuations() (map[fleet.AvailabilityZone]bool, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmed == 0 {
		return c.evacuations.zones, math.MaxInt64
	}
	return c.evacuations.zones, monotonic.Now().Sub(c.confirmed)
}

// interval returns the interval between confirmations.
func (c *ConfigurationFollower) interval() time.Duration {
	if f := c.format.Evacuation; f != nil {
		return min(confirmInterval, f.Bound/confirmationsPerBound)
	}
	return confirmInterval
}

func (c *ConfigurationFollower) isEvacuation(key string) bool {
	return c.format.Evacuation != nil && strings.HasPrefix(key, c.format.Evacuation.Prefix)
}

// applyEvacuation applies the state of a key as of a revision. The caller holds mu.
func (c *ConfigurationFollower) applyEvacuation(key string, revision uint64, present bool) {
	zone, err := c.format.Evacuation.Zone(key)
	if err != nil {
		if present {
			c.rejections.Report(key, err)
		}
		return
	}
	known := c.evacuations.keys[key]
	if revision < known.revision || revision == known.revision && present {
		return
	}
	if c.evacuations.keys == nil {
		c.evacuations.keys = map[string]evacuationKey{}
	}
	c.evacuations.keys[key] = evacuationKey{revision, present}
	if known.present == present {
		return
	}
	zones := maps.Clone(c.evacuations.zones)
	if zones == nil {
		zones = map[fleet.AvailabilityZone]bool{}
	}
	fields := logrus.Fields{"zone": zone, "revision": revision}
	if present {
		zones[zone] = true
		c.log.WithFields(fields).Info("zone evacuated")
	} else {
		delete(zones, zone)
		c.log.WithFields(fields).Info("zone open again")
	}
	c.evacuations.zones = zones
}

// removeUnlisted removes the keys that a complete listing as of a revision does not contain. Keys that were written after
// it stay. The caller holds mu.
func (c *ConfigurationFollower) removeUnlisted(entries []store.Entry, revision uint64) {
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.Key] = true
	}
	for key, known := range c.evacuations.keys {
		if known.present && !listed[key] && known.revision <= revision {
			c.applyEvacuation(key, revision, false)
		}
	}
}

// readEvacuations lists the keys of zones under evacuation.
func (c *ConfigurationFollower) readEvacuations(ctx context.Context) error {
	if c.format.Evacuation == nil {
		return nil
	}
	entries, revision, err := c.store.List(ctx, c.format.Evacuation.Prefix)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range entries {
		c.apply(e)
	}
	c.removeUnlisted(entries, revision)
	return nil
}

// evacuationConditions returns the preconditions by which a confirmation checks the keys of the named zones. The caller
// holds mu.
func (c *ConfigurationFollower) evacuationConditions() []store.Condition {
	f := c.format.Evacuation
	if f == nil {
		return nil
	}
	var conditions []store.Condition
	for _, zone := range f.Zones[:min(len(f.Zones), maxConfirmedZones)] {
		condition := store.Condition{Key: f.Prefix + string(zone)}
		if known := c.evacuations.keys[condition.Key]; known.present {
			condition.Version = known.revision
		}
		conditions = append(conditions, condition)
	}
	return conditions
}

// applyChangedEvacuations applies the records that the store returned for a confirmation that failed. A key that it did not
// return may be unchanged or removed: a listing, which has a revision, tells.
func (c *ConfigurationFollower) applyChangedEvacuations(ctx context.Context, conditions []store.Condition, changed *store.ConditionError) error {
	unknown := false
	c.mu.Lock()
	for _, condition := range conditions {
		if e, ok := changed.Find(condition.Key); ok {
			c.apply(e)
		} else if condition.Version != 0 && c.evacuations.keys[condition.Key].present {
			unknown = true
		}
	}
	c.mu.Unlock()
	if !unknown {
		return nil
	}
	return c.readEvacuations(ctx)
}
