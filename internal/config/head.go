package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Keys of the store.
const (
	headKey   = "config/head"
	docPrefix = "config/doc/"
)

const (
	// maxRetainedChanges bounds the change records in the head. A change whose response
	// was lost can be recognized until as many later changes were committed.
	maxRetainedChanges = 32
	// maxListedDocuments bounds the document names in one change record.
	maxListedDocuments = 64
	// allDocuments replaces the names of more than maxListedDocuments documents.
	allDocuments = "*"
	// accountPrefix starts the names of the documents that hold the limits of teams.
	accountPrefix = "account/"
)

var (
	changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)
	operatorPattern = regexp.MustCompile(`^[^\x00-\x1f\x7f]{0,64}$`)
	hashPattern     = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// ChangeRecord describes an accepted change in the head.
type ChangeRecord struct {
	ID       string    `json:"id"`
	Operator string    `json:"operator,omitempty"`
	Time     time.Time `json:"time"`
	Revision uint64    `json:"revision"`
	// Documents lists the names of the documents that the change replaced or removed.
	Documents []string `json:"documents,omitempty"`
	// Digest identifies the content of the change.
	Digest string `json:"digest,omitempty"`
}

// Head is the store record that references all documents of the current configuration.
// Replacing it with a compare-and-swap commits a change atomically.
type Head struct {
	Revision uint64 `json:"revision"`
	// Documents maps document names to the SHA-256 hashes of their contents.
	Documents map[string]string `json:"documents"`
	// Revoked holds the revoked key IDs in sorted order; IDs are never removed.
	Revoked []string `json:"revoked,omitempty"`
	// Changes holds the most recent changes, oldest first.
	Changes []ChangeRecord `json:"changes"`
}

// HeadError reports a head record that cannot be encoded or decoded.
type HeadError struct{ Cause error }

func (e *HeadError) Error() string { return fmt.Sprintf("configuration head: %v", e.Cause) }

// Unwrap returns the cause.
func (e *HeadError) Unwrap() error { return e.Cause }

var (
	errTrailing    = errors.New("data after the record")
	errNoRevision  = errors.New("no revision")
	errBadHash     = errors.New("malformed document hash")
	errChangeOrder = errors.New("changes out of order")
)

// parseHead decodes a head record strictly. Unknown fields, such as those of a later
// version, are rejected, because this daemon would drop them with its next write.
func parseHead(value []byte) (*Head, error) {
	d := json.NewDecoder(bytes.NewReader(value))
	d.DisallowUnknownFields()
	var h Head
	if err := d.Decode(&h); err != nil {
		return nil, &HeadError{Cause: err}
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, &HeadError{Cause: errTrailing}
	}
	if h.Revision == 0 {
		return nil, &HeadError{Cause: errNoRevision}
	}
	for _, hash := range h.Documents {
		if !hashPattern.MatchString(hash) {
			return nil, &HeadError{Cause: errBadHash}
		}
	}
	last := uint64(0)
	for _, c := range h.Changes {
		if c.Revision <= last || c.Revision > h.Revision {
			return nil, &HeadError{Cause: errChangeOrder}
		}
		last = c.Revision
	}
	return &h, nil
}

// findChange returns the retained change record with the given ID.
func (h *Head) findChange(id string) (ChangeRecord, bool) {
	i := slices.IndexFunc(h.Changes, func(c ChangeRecord) bool { return c.ID == id })
	if i < 0 {
		return ChangeRecord{}, false
	}
	return h.Changes[i], true
}

// retainsChangesSince reports whether the head still holds the records of all changes
// after revision.
func (h *Head) retainsChangesSince(revision uint64) bool {
	return h.Revision <= revision || (len(h.Changes) > 0 && h.Changes[0].Revision <= revision+1)
}

// mayHaveChanged reports whether one of the documents may have been modified after
// revision.
func (h *Head) mayHaveChanged(revision uint64, documents []string) bool {
	if !h.retainsChangesSince(revision) {
		return true
	}
	for _, c := range h.Changes {
		if c.Revision <= revision {
			continue
		}
		for _, name := range c.Documents {
			if name == allDocuments || slices.Contains(documents, name) {
				return true
			}
		}
	}
	return false
}

// accountRevisions returns the last revision that may have changed each account, by name, and
// the last one that may have changed any account, including removed ones.
func (h *Head) accountRevisions() (each map[string]uint64, last uint64) {
	each = map[string]uint64{}
	for document := range h.Documents {
		if name, ok := strings.CutPrefix(document, accountPrefix); ok {
			each[name] = h.lastChange(func(changed string) bool { return changed == document })
		}
	}
	return each, h.lastChange(func(changed string) bool { return strings.HasPrefix(changed, accountPrefix) })
}

// lastChange returns the last revision that may have changed a matching document: the last
// revision whose record is no longer retained, unless a later change names one.
func (h *Head) lastChange(matches func(document string) bool) uint64 {
	for _, c := range slices.Backward(h.Changes) {
		if slices.ContainsFunc(c.Documents, func(name string) bool { return name == allDocuments || matches(name) }) {
			return c.Revision
		}
	}
	if len(h.Changes) == 0 {
		return h.Revision
	}
	return h.Changes[0].Revision - 1
}

// next returns the head after a change. It shares no mutable data with h.
func (h *Head) next(documents map[string]string, revoked []string, record ChangeRecord) *Head {
	record.Revision = h.Revision + 1
	if len(record.Documents) > maxListedDocuments {
		record.Documents = []string{allDocuments}
	}
	changes := append(slices.Clone(h.Changes), record)
	if excess := len(changes) - maxRetainedChanges; excess > 0 {
		changes = changes[excess:]
	}
	return &Head{Revision: record.Revision, Documents: documents, Revoked: revoked, Changes: changes}
}

// hashOf returns the SHA-256 in hex under which a document is stored.
func hashOf(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}
