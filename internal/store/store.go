// Package store is the interface to the platform that provides the hosts: a key-value
// store and a list of hosts. Another platform protocol only needs another implementation
// of Store and HostLister.
package store

import (
	"context"
	"fmt"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
)

// Entry is a record of the store.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version is the store revision of the last write to this key; it is never 0.
	Version uint64 `json:"version"`
	// Created is the store revision at which the key was created, or 0 if the store does
	// not report it.
	Created uint64 `json:"created,omitempty"`
	// Lease is the lease that the key is attached to, or 0.
	Lease LeaseID `json:"lease,omitempty"`
}

// Event is a change of one key.
type Event struct {
	Entry
	Deleted bool `json:"deleted,omitempty"`
}

// LeaseID identifies a lease of the store; 0 means none.
type LeaseID uint64

// Store is the platform's key-value service.
type Store interface {
	// Get returns the record, or a *NotFoundError.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all records with the prefix and the store revision at which they were read.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// Put writes value if the version of key is expect; 0 means that the key must not exist.
	// It returns the new version, a *ConflictError, or an *UnknownOutcomeError.
	Put(ctx context.Context, key string, value []byte, expect uint64, lease LeaseID) (uint64, error)
	// Delete deletes the key if its version is expect.
	Delete(ctx context.Context, key string, expect uint64) error
	// Watch waits up to wait for changes under prefix after the store revision and returns
	// them with the revision to continue from. It is not an error if there are none. After
	// a *CompactedError the caller must List again.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error)
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease; *NotFoundError means that it expired.
	KeepAlive(ctx context.Context, id LeaseID) error
}

// HostLister returns the platform's list of hosts, which lags behind their actual state.
type HostLister interface {
	Hosts(ctx context.Context) ([]fleet.Host, error)
}

// NotFoundError reports a missing key or lease.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("store: %q not found", e.Key) }

// ConflictError reports a compare-and-swap whose expected version did not match.
type ConflictError struct {
	Key     string
	Expect  uint64
	Current uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: version of %q is %d, expected %d", e.Key, e.Current, e.Expect)
}

// UnavailableError reports a call that had no effect because the store could not be
// reached or rejected it, or a read without a usable response.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string { return fmt.Sprintf("store unavailable: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports a write that may or may not have taken effect.
type UnknownOutcomeError struct {
	Key   string
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("store: outcome of write to %q unknown: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// CompactedError reports that the store no longer holds the changes after a watch position.
type CompactedError struct{ After uint64 }

func (e *CompactedError) Error() string {
	return fmt.Sprintf("store: revision %d is compacted", e.After)
}
