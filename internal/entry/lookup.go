package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/jobstore"
	"samphirestile.example/samphirestile/internal/lease"
	"samphirestile.example/samphirestile/internal/partition"
	"samphirestile.example/samphirestile/internal/store"
)

// lookupTimeout bounds one lookup of a job in the store, because refusals must be immediate.
const lookupTimeout = 400 * time.Millisecond

// Presence is what the store says about a job.
type Presence int

// Values of Presence.
const (
	// PresenceUnknown means that the job may be recorded now or later.
	PresenceUnknown Presence = iota
	// Recorded means that the job has been accepted.
	Recorded
	// NotRecorded means that the job is not recorded, and that no owner can record it on
	// behalf of an earlier call.
	NotRecorded
)

// Lookup looks jobs up in the store, without an owner.
type Lookup struct {
	Store  store.Transactional
	Depths func() partition.Depths
	// Responds reports whether the store has responded recently. While it does not, lookups
	// would only delay refusals.
	Responds func() bool
}

// LookupError reports that the presence of a job was not determined.
type LookupError struct {
	ID    job.ID
	Cause error
}

func (e *LookupError) Error() string { return fmt.Sprintf("look up job %s: %v", e.ID, e.Cause) }

// Unwrap returns the cause.
func (e *LookupError) Unwrap() error { return e.Cause }

var errStoreSilent = errors.New("the store has not responded recently")

// FindIn asks the store for the job in several pools.
func (l *Lookup) FindIn(ctx context.Context, pools []fleet.ServiceID, id job.ID) (Presence, error) {
	result := NotRecorded
	var failures []error
	for _, pool := range pools {
		found, err := l.Find(ctx, pool, id)
		if found == Recorded {
			return Recorded, nil
		}
		if found == PresenceUnknown {
			result, failures = PresenceUnknown, append(failures, err)
		}
	}
	return result, errors.Join(failures...)
}

// Find asks the store for the job in one pool. It reads the job's records, the ownership of its shard and
// the depth of its partition in one transaction, so that they belong to the same revision.
func (l *Lookup) Find(ctx context.Context, pool fleet.ServiceID, id job.ID) (Presence, error) {
	if !l.Responds() {
		return PresenceUnknown, &LookupError{id, errStoreSilent}
	}
	p := l.Depths().Route(pool, id)
	// Keys that exist fail the condition, and the store returns their records.
	probe := store.Transaction{Conditions: []store.Condition{{Key: lease.OwnerKey(p.Shard())}, {Key: lease.PartitionKey(p.Shard())}}}
	for _, name := range append([]string{p.Shard()}, p.Ancestors()...) {
		probe.Conditions = append(probe.Conditions,
			store.Condition{Key: jobstore.JobPrefix(name) + string(id)}, store.Condition{Key: jobstore.ProgressPrefix(name) + string(id)})
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	// The transaction writes nothing, so it may be hedged.
	_, err := store.Hedge(ctx, store.HedgeDelay/2, store.HasDefiniteOutcome, func(ctx context.Context) (uint64, error) {
		return l.Store.Commit(ctx, probe)
	})
	var exists *store.ConditionError
	if err != nil && !errors.As(err, &exists) {
		return PresenceUnknown, &LookupError{id, err}
	}
	return presence(p, exists)
}

// presence decides from the records that exist, of those that Find asks for.
func presence(p partition.Partition, exists *store.ConditionError) (Presence, error) {
	if exists == nil {
		return NotRecorded, nil
	}
	depth, owned := 0, false
	for _, e := range exists.Current {
		switch e.Key {
		case lease.OwnerKey(p.Shard()):
			owned = true
		case lease.PartitionKey(p.Shard()):
			var err error
			if depth, err = partition.DecodeDepth(e); err != nil {
				return PresenceUnknown, err
			}
		default:
			return Recorded, nil
		}
	}
	// An owner may still be recording the job. In a deeper partition the job may belong to a
	// shard that was not asked for.
	if owned || depth > p.Depth || len(exists.Current) == 0 {
		return PresenceUnknown, nil
	}
	return NotRecorded, nil
}
