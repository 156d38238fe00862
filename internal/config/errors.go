package config

import (
	"errors"
	"fmt"
)

// Conflict is a document with the operator's version and the active one.
type Conflict struct {
	Document string
	// Yours and Theirs are JSON texts; an empty text means that the document does not exist.
	Yours  string
	Theirs string
}

// ConflictError reports a change that is based on an outdated revision. Nothing was
// written.
type ConflictError struct {
	Expected  uint64
	Current   uint64
	Conflicts []Conflict
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the change was made from revision %d, but revision %d is in force and changed the same documents", e.Expected, e.Current)
}

// ChangeIDError reports a change ID that was already used for another change.
type ChangeIDError struct {
	ID       string
	Revision uint64
}

func (e *ChangeIDError) Error() string {
	return fmt.Sprintf("change ID %q already names another change, accepted as revision %d", e.ID, e.Revision)
}

// InvalidChangeError reports a malformed field of a change request.
type InvalidChangeError struct {
	Field   string
	Value   string
	Allowed string
}

func (e *InvalidChangeError) Error() string {
	return fmt.Sprintf("change: %s %.64q: allowed: %s", e.Field, e.Value, e.Allowed)
}

// OutcomeUnknownError reports a change that may have been committed. Retrying it with
// the same ID is safe.
type OutcomeUnknownError struct {
	ID    string
	Cause error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("it is not known whether change %q was accepted: %v", e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// StoreUnavailableError reports a change that was not written because the store was
// unavailable.
type StoreUnavailableError struct{ Cause error }

func (e *StoreUnavailableError) Error() string {
	return fmt.Sprintf("the store is not available, nothing was written: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *StoreUnavailableError) Unwrap() error { return e.Cause }

// StoreRegressedError reports that the store has an older configuration than the
// active one, for example after a restore from a backup. Nothing is written to such
// a store.
type StoreRegressedError struct {
	Store  uint64
	Active uint64
}

func (e *StoreRegressedError) Error() string {
	return fmt.Sprintf("the store has revision %d, but revision %d is in force", e.Store, e.Active)
}

// TooLargeError reports a configuration whose head exceeds the store's value limit.
type TooLargeError struct {
	Bytes int
	Limit int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the configuration head has %d bytes, the limit is %d", e.Bytes, e.Limit)
}

// DocumentError reports a document whose content does not match its hash.
type DocumentError struct{ Name, Hash string }

func (e *DocumentError) Error() string {
	return fmt.Sprintf("document %s does not have the hash %s", e.Name, e.Hash)
}

// NotReadyError reports that this daemon has not activated a configuration yet.
type NotReadyError struct{}

func (e *NotReadyError) Error() string { return "no configuration is in force yet" }

// CatchUpError reports that neither the store nor a peer returned the target revision. In
// an OutcomeUnknownError it reports that the head no longer holds the changes after Revision.
type CatchUpError struct {
	Revision uint64
	Cause    error
}

func (e *CatchUpError) Error() string {
	return fmt.Sprintf("no source gave revision %d: %v", e.Revision, e.Cause)
}

// Unwrap returns the cause.
func (e *CatchUpError) Unwrap() error { return e.Cause }

// PeerDataError reports an invalid configuration snapshot from a peer.
type PeerDataError struct {
	Peer  string
	Cause error
}

func (e *PeerDataError) Error() string {
	return fmt.Sprintf("snapshot of peer %s: %v", e.Peer, e.Cause)
}

// Unwrap returns the cause.
func (e *PeerDataError) Unwrap() error { return e.Cause }

// errNoSource is the cause if all sources responded but none had the target revision.
var errNoSource = errors.New("no source returned a newer configuration")
