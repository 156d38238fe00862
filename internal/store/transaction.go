package store

import (
	"context"
	"fmt"
	"time"
)

// MaxTransactionEntries bounds the total number of conditions, writes and removals in a
// transaction.
const MaxTransactionEntries = 32

// Condition requires a version of a key; 0 means that the key must not exist.
type Condition struct {
	Key     string
	Version uint64
}

// Write sets a key and attaches it to a lease unless Lease is 0.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Transaction is applied atomically if all conditions hold, and has no effect otherwise.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
	Removals   []string
}

// Transactional is a store with transactions over several keys.
type Transactional interface {
	// Get returns the latest record, or a *NotFoundError.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all records with the prefix and the revision at which the first page was read.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// Watch waits up to wait for changes under prefix after the revision. See Store.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error)
	// Commit returns the new revision, a *ConditionError, a *NotFoundError for a lease, an
	// *UnavailableError (the transaction was not applied) or an *UnknownOutcomeError.
	Commit(ctx context.Context, t Transaction) (uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease; *NotFoundError means that it expired or was revoked.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke revokes a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// ConditionError reports a transaction that was not applied because a condition did not
// hold. Current contains the current records of those keys of its conditions that exist.
type ConditionError struct{ Current []Entry }

func (e *ConditionError) Error() string {
	return fmt.Sprintf("store: a condition does not hold (%d records returned)", len(e.Current))
}

// Find returns the current record of a condition's key.
func (e *ConditionError) Find(key string) (Entry, bool) {
	for _, c := range e.Current {
		if c.Key == key {
			return c, true
		}
	}
	return Entry{}, false
}
