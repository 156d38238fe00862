// Package jobstore writes the records of a shard's jobs in one chain of transactions.
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
	prefix = "samphirestile/"
	// reserved entries of a transaction: two conditions and the chain's own key.
	reserved = 3
	// MaxBatch is how many writes and removals one transaction takes.
	MaxBatch = store.MaxTransactionEntries - reserved
	// retryPause is the pause before a batch without an answer is sent again.
	retryPause = 100 * time.Millisecond
)

// JobPrefix is the prefix of the shard's jobs as submitted.
func JobPrefix(shard string) string { return prefix + "job/" + shard + "/" }

// ProgressPrefix is the prefix of the shard's progress records.
func ProgressPrefix(shard string) string { return prefix + "progress/" + shard + "/" }

// WorkersKey holds the workers that the shard's runs may be on.
func WorkersKey(shard string) string { return prefix + "workers/" + shard }

func chainKey(shard string) string { return prefix + "chain/" + shard }

// OwnershipLostError reports that the shard has another owner, or none.
type OwnershipLostError struct{ Shard string }

func (e *OwnershipLostError) Error() string {
	return fmt.Sprintf("shard %s is no longer owned", e.Shard)
}

// Chain commits batches one after the other. Each requires the ownership key's
// and the chain key's revision and moves the latter, so that neither a deposed
// owner's batch nor the late repetition of an older one is carried out.
type Chain struct {
	store    store.Transactional
	shard    string
	ownerKey string
	token    uint64

	mu       sync.Mutex // held during a commit
	revision uint64
	number   uint64

	state struct {
		sync.Mutex
		busySince monotonic.Time
		failing   bool
	}
}

// Open reads the chain's position.
func Open(ctx context.Context, s store.Transactional, shard, ownerKey string, token uint64) (*Chain, error) {
	c := &Chain{store: s, shard: shard, ownerKey: ownerKey, token: token}
	e, err := s.Get(ctx, chainKey(shard))
	if errors.As(err, new(*store.NotFoundError)) {
		return c, nil
	}
	if err != nil {
		return nil, fmt.Errorf("open chain of %s: %w", shard, err)
	}
	c.revision = e.Version
	if c.number, err = strconv.ParseUint(string(e.Value), 10, 64); err != nil {
		return nil, fmt.Errorf("open chain of %s: %w", shard, err)
	}
	return c, nil
}

// Stalled returns for how long the present batch has waited for its answer,
// and whether the last attempt failed.
func (c *Chain) Stalled() (time.Duration, bool) {
	c.state.Lock()
	defer c.state.Unlock()
	if c.state.busySince == 0 {
		return 0, c.state.failing
	}
	return monotonic.Now().Sub(c.state.busySince), c.state.failing
}

func (c *Chain) setState(busySince monotonic.Time, failing bool) {
	c.state.Lock()
	c.state.busySince, c.state.failing = busySince, failing
	c.state.Unlock()
}

// Commit carries out one batch and returns once it is recorded. It repeats the
// batch until the outcome is known; *LostError and the end of ctx leave a batch
// that may have been carried out.
func (c *Chain) Commit(ctx context.Context, writes []store.Write, removals []string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	number := strconv.FormatUint(c.number+1, 10)
	t := store.Transaction{
		Conditions: []store.Condition{{Key: c.ownerKey, Version: c.token}, {Key: chainKey(c.shard), Version: c.revision}},
		Writes:     append([]store.Write{{Key: chainKey(c.shard), Value: []byte(number)}}, writes...),
		Removals:   removals,
	}
	c.setState(monotonic.Now(), false)
	defer c.setState(0, false)
	for {
		// A second copy of the batch is harmless: the first to be carried out moves the chain.
		revision, err := store.Hedge(ctx, store.HedgeAfter, isDecided, func(ctx context.Context) (uint64, error) { return c.store.Commit(ctx, t) })
		if err == nil {
			c.number, c.revision = c.number+1, revision
			return nil
		}
		var condition *store.ConditionError
		if errors.As(err, &condition) {
			return c.resolve(condition, number)
		}
		if ctx.Err() != nil {
			return fmt.Errorf("commit to %s: %w", c.shard, ctx.Err())
		}
		c.state.Lock()
		c.state.failing = true
		c.state.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
}

// isDecided reports whether the store has carried the batch out or refused it for good.
func isDecided(err error) bool { return err == nil || errors.As(err, new(*store.ConditionError)) }

// resolve tells an earlier attempt of this batch from a write of another owner.
func (c *Chain) resolve(failed *store.ConditionError, number string) error {
	own, ok := failed.Find(c.ownerKey)
	if !ok || own.Version != c.token {
		return &OwnershipLostError{c.shard}
	}
	chain, ok := failed.Find(chainKey(c.shard))
	if !ok || string(chain.Value) != number {
		return &OwnershipLostError{c.shard}
	}
	c.number, c.revision = c.number+1, chain.Version
	return nil
}
