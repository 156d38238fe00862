// Package jobstore writes the job records of a shard as one chain of transactions.
package jobstore

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/store"
)

const (
	keyPrefix = "samphirestile/"
	// reservedEntries is the number of transaction entries used by two conditions and the chain key.
	reservedEntries = 3
	// MaxBatch is the maximum number of writes, removals and conditions in one batch.
	MaxBatch = store.MaxTransactionEntries - reservedEntries
	// retryDelay is the delay before a batch without a response is sent again.
	retryDelay = 100 * time.Millisecond
)

// JobPrefix returns the key prefix of the shard's jobs as submitted.
func JobPrefix(shard string) string { return keyPrefix + "job/" + shard + "/" }

// ProgressPrefix returns the key prefix of the shard's progress records.
func ProgressPrefix(shard string) string { return keyPrefix + "progress/" + shard + "/" }

// WorkersKey returns the key of the list of workers that may have runs of the shard.
func WorkersKey(shard string) string { return keyPrefix + "workers/" + shard }

func chainKey(shard string) string { return keyPrefix + "chain/" + shard }

// OwnershipLostError reports that the shard has another owner or none.
type OwnershipLostError struct{ Shard string }

func (e *OwnershipLostError) Error() string {
	return fmt.Sprintf("ownership of shard %s lost: it has another owner or none", e.Shard)
}

// PreconditionError reports a batch that was not committed, and never will be, because one of its own
// conditions does not hold.
type PreconditionError struct {
	Shard string
	// Current holds the records that the conditions name.
	Current []store.Entry
}

// Version returns the version of a key that a condition names, 0 if the key does not exist.
func (e *PreconditionError) Version(key string) uint64 {
	for _, c := range e.Current {
		if c.Key == key {
			return c.Version
		}
	}
	return 0
}

func (e *PreconditionError) Error() string {
	return fmt.Sprintf("batch of shard %s not committed: a condition of the batch does not hold", e.Shard)
}

// Chain commits batches sequentially. Each batch is conditional on the revisions of the
// ownership key and of the chain key, and writes the latter. A batch of an owner that lost
// ownership and a delayed duplicate of an earlier batch therefore fail.
type Chain struct {
	store    store.Transactional
	shard    string
	ownerKey string
	token    uint64

	mu       sync.Mutex // held during a commit
	revision uint64
	// sequence is the number of the last batch that was sent. Each batch has its own, so that the
	// record of the chain tells which one was committed.
	sequence uint64
	// abandoned holds the numbers of the batches since revision whose outcome is unknown. At most one
	// of them can be committed.
	abandoned map[string]bool

	state struct {
		sync.Mutex
		pendingSince monotonic.Time
		failing      bool
		committed    uint64
	}
}

// Open returns the chain with its position read from the store.
func Open(ctx context.Context, s store.Transactional, shard, ownerKey string, token uint64) (*Chain, error) {
	c := &Chain{store: s, shard: shard, ownerKey: ownerKey, token: token, abandoned: map[string]bool{}}
	e, err := s.Get(ctx, chainKey(shard))
	if errors.As(err, new(*store.NotFoundError)) {
		return c, nil
	}
	if err != nil {
		return nil, fmt.Errorf("open chain of shard %s: read %s: %w", shard, chainKey(shard), err)
	}
	c.revision = e.Version
	if n, err := strconv.ParseUint(string(e.Value), 10, 64); err == nil {
		c.sequence = n
	}
	// Without a readable number the sequence starts anew: batches of earlier owners and delayed ones
	// are rejected by the revisions, and the number only identifies the batches of this owner.
	return c, nil
}

// Revision returns the revision of the last batch of this owner that is known to be committed, or 0. The token of a later owner
// is higher, because its key is created later.
func (c *Chain) Revision() uint64 {
	c.state.Lock()
	defer c.state.Unlock()
	return c.state.committed
}

// PendingBatch returns how long the current batch has been waiting for the response of the store,
// and whether its last attempt failed.
func (c *Chain) PendingBatch() (time.Duration, bool) {
	c.state.Lock()
	defer c.state.Unlock()
	if c.state.pendingSince == 0 {
		return 0, c.state.failing
	}
	return monotonic.Now().Sub(c.state.pendingSince), c.state.failing
}

func (c *Chain) setState(pendingSince monotonic.Time, failing bool) {
	c.state.Lock()
	c.state.pendingSince, c.state.failing = pendingSince, failing
	c.state.Unlock()
}

// Commit writes one batch and returns once it is committed. It retries until the outcome is
// definite. After an *OwnershipLostError or the end of ctx the batch may have been committed.
//
// The batch may have conditions of its own. They must not hold again once they have failed, because an
// earlier attempt may still arrive after Commit has returned a *PreconditionError.
func (c *Chain) Commit(ctx context.Context, writes []store.Write, removals []string, conditions ...store.Condition) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	sequence := strconv.FormatUint(c.sequence, 10)
	writes = append([]store.Write{{Key: chainKey(c.shard), Value: []byte(sequence)}}, writes...)
	c.setState(monotonic.Now(), false)
	defer c.setState(0, false)
	for {
		t := store.Transaction{
			Conditions: append([]store.Condition{{Key: c.ownerKey, Version: c.token}, {Key: chainKey(c.shard), Version: c.revision}}, conditions...),
			Writes:     writes, Removals: removals,
		}
		// A duplicate of the batch is harmless: only the first one satisfies the chain condition.
		revision, err := store.Hedge(ctx, store.HedgeDelay, committedOrRejected, func(ctx context.Context) (uint64, error) { return c.store.Commit(ctx, t) })
		if err == nil {
			c.advance(revision)
			return nil
		}
		var condition *store.ConditionError
		if errors.As(err, &condition) {
			committed, err := c.resolve(condition, sequence, len(conditions) > 0)
			if committed || err != nil {
				return err
			}
			continue
		}
		if ctx.Err() != nil {
			c.abandoned[sequence] = true
			return fmt.Errorf("commit batch %s of shard %s: %w; last error of the store: %v", sequence, c.shard, ctx.Err(), err)
		}
		c.state.Lock()
		c.state.failing = true
		c.state.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
}

// committedOrRejected reports whether the store has committed the batch or rejected it by a
// condition. It is narrower than store.HasDefiniteOutcome, which also accepts a missing key.
func committedOrRejected(err error) bool {
	return err == nil || errors.As(err, new(*store.ConditionError))
}

// resolve decides whether the failed condition is due to an earlier attempt of this batch, which it
// reports as committed, to an abandoned batch, to another owner or, if it has any, to a condition of the batch.
func (c *Chain) resolve(failed *store.ConditionError, sequence string, conditional bool) (committed bool, err error) {
	owner, ok := failed.Find(c.ownerKey)
	if !ok || owner.Version != c.token {
		return false, &OwnershipLostError{c.shard}
	}
	chain, ok := failed.Find(chainKey(c.shard))
	if conditional && chain.Version == c.revision {
		return false, &PreconditionError{c.shard, failed.Current}
	}
	committed = ok && string(chain.Value) == sequence
	if !committed && !(ok && c.abandoned[string(chain.Value)]) {
		return false, &OwnershipLostError{c.shard}
	}
	c.advance(chain.Version)
	return committed, nil
}

// advance records the revision of the last committed batch. Batches that required an earlier one can
// no longer be committed.
func (c *Chain) advance(revision uint64) {
	c.revision = revision
	clear(c.abandoned)
	c.state.Lock()
	defer c.state.Unlock()
	c.state.committed = revision
}
