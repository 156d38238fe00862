package config

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"samphirestile.example/samphirestile/internal/store"
)

// DocumentChange replaces or removes one document.
type DocumentChange struct {
	Name    string
	Content []byte
	// Remove removes the document; Content is then ignored.
	Remove bool
}

// Change is a set of document changes that is applied atomically.
type Change struct {
	// ID is the idempotency key of the change: a retry with the same ID has no further effect.
	ID       string
	Operator string
	// Expected is the revision that the change is based on.
	Expected  uint64
	Documents []DocumentChange
}

// Accepted is the result of a change.
type Accepted struct {
	Revision uint64
	ChangeID string
	// Repeated is set if the change was accepted by an earlier call.
	Repeated bool
}

// edit returns the document changes to apply to the given head and documents.
type edit func(head *Head, documents map[string][]byte) ([]DocumentChange, error)

// Apply commits a change. It returns a *ConflictError if one of its documents was
// modified after c.Expected; later changes of other documents do not conflict.
func (m *Manager) Apply(ctx context.Context, c Change) (Accepted, error) {
	if err := c.check(); err != nil {
		return Accepted{}, err
	}
	record := ChangeRecord{ID: c.ID, Operator: c.Operator, Digest: digest(c.Documents)}
	return m.commit(ctx, record, func(head *Head, documents map[string][]byte) ([]DocumentChange, error) {
		return c.Documents, c.conflict(head, documents)
	})
}

// Modification is a change that is computed from the current documents.
type Modification struct {
	ID       string
	Operator string
	// Digest distinguishes this modification from another one with the same ID.
	Digest string
	// Edit may be called several times; it must not modify document contents in place.
	Edit func(documents map[string][]byte) ([]DocumentChange, error)
}

// Modify commits a change and recomputes it if another change was committed first.
func (m *Manager) Modify(ctx context.Context, c Modification) (Accepted, error) {
	if err := checkIdentity(c.ID, c.Operator); err != nil {
		return Accepted{}, err
	}
	record := ChangeRecord{ID: c.ID, Operator: c.Operator, Digest: c.Digest}
	return m.commit(ctx, record, func(_ *Head, documents map[string][]byte) ([]DocumentChange, error) {
		return c.Edit(documents)
	})
}

// Validate checks a change against the active configuration without writing it.
func (m *Manager) Validate(c Change) error {
	if err := c.check(); err != nil {
		return err
	}
	s := m.activeConfiguration()
	if s == nil {
		return &NotReadyError{}
	}
	if err := c.conflict(s.head, s.documents); err != nil {
		return err
	}
	_, err := m.config.Render(merge(s.documents, c.Documents))
	return err
}

func (c *Change) check() error {
	if err := checkIdentity(c.ID, c.Operator); err != nil {
		return err
	}
	if len(c.Documents) == 0 {
		return &InvalidChangeError{Field: "documents", Value: "none", Allowed: "at least one document"}
	}
	seen := map[string]bool{}
	for _, d := range c.Documents {
		if strings.HasPrefix(d.Name, "keys/") {
			return &InvalidChangeError{Field: "document", Value: d.Name, Allowed: "any kind but keys, which only key commands write"}
		}
		if seen[d.Name] {
			return &InvalidChangeError{Field: "document", Value: d.Name, Allowed: "each document once"}
		}
		seen[d.Name] = true
	}
	return nil
}

func checkIdentity(id, operator string) error {
	if !changeIDPattern.MatchString(id) {
		return &InvalidChangeError{Field: "change_id", Value: id, Allowed: "1 to 64 characters of A-Z, a-z, 0-9, '.', '_' and '-'"}
	}
	if !operatorPattern.MatchString(operator) {
		return &InvalidChangeError{Field: "operator", Value: operator, Allowed: "up to 64 printable characters"}
	}
	return nil
}

// conflict returns a *ConflictError if one of the documents may have changed after
// c.Expected, or if c.Expected is newer than the head.
func (c *Change) conflict(head *Head, documents map[string][]byte) error {
	if c.Expected == head.Revision {
		return nil
	}
	names := make([]string, len(c.Documents))
	for i, d := range c.Documents {
		names[i] = d.Name
	}
	if c.Expected < head.Revision && !head.mayHaveChanged(c.Expected, names) {
		return nil
	}
	e := &ConflictError{Expected: c.Expected, Current: head.Revision}
	for _, d := range c.Documents {
		yours, theirs := string(d.Content), string(documents[d.Name])
		if d.Remove {
			yours = ""
		}
		if yours != theirs {
			e.Conflicts = append(e.Conflicts, Conflict{Document: d.Name, Yours: yours, Theirs: theirs})
		}
	}
	return e
}

// digest identifies the content of a change.
func digest(changes []DocumentChange) string {
	hasher := sha256.New()
	for _, d := range changes {
		content := "-"
		if !d.Remove {
			content = hashOf(d.Content)
		}
		fmt.Fprintf(hasher, "%q %s\n", d.Name, content)
	}
	return hex.EncodeToString(hasher.Sum(nil)[:16])
}

func merge(documents map[string][]byte, changes []DocumentChange) map[string][]byte {
	merged := maps.Clone(documents)
	for _, d := range changes {
		if d.Remove {
			delete(merged, d.Name)
		} else {
			merged[d.Name] = d.Content
		}
	}
	return merged
}

// pendingChange is the state of a change that is kept between attempts to write the head.
type pendingChange struct {
	record ChangeRecord
	edit   edit
	// revoked lists the key IDs that the change adds to the revoked set.
	revoked []string
	// unconfirmedBases lists the base revisions of head writes with an unknown outcome.
	unconfirmedBases []uint64
}

// commit writes a change. After a lost response it reads the head back and looks for
// the change ID. If the head is unchanged, it repeats the write with the same expected
// version, so that at most one of the two writes can succeed.
func (m *Manager) commit(ctx context.Context, record ChangeRecord, e edit) (Accepted, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	p := &pendingChange{record: record, edit: e}
	delay := minRetryDelay / 4 // shorter than in the background loops
	for {
		accepted, done, err := m.tryCommit(ctx, p)
		if done {
			return accepted, err
		}
		if ctx.Err() != nil || !sleep(ctx, jitter(delay)) {
			return Accepted{}, p.abandonError(err)
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// abandonError returns an *OutcomeUnknownError if one of the head writes may have succeeded,
// and a *StoreUnavailableError otherwise.
func (p *pendingChange) abandonError(cause error) error {
	if len(p.unconfirmedBases) > 0 {
		return &OutcomeUnknownError{ID: p.record.ID, Cause: cause}
	}
	return &StoreUnavailableError{Cause: cause}
}

// tryCommit makes one attempt; done is false if a retry may succeed.
func (m *Manager) tryCommit(ctx context.Context, p *pendingChange) (accepted Accepted, done bool, err error) {
	// Read before the head, because the watch may activate a newer revision meanwhile.
	activeRevision := m.Revision()
	head, version, err := m.readHead(ctx)
	if err != nil {
		// Without an unknown outcome no head was written, so the error is returned at once.
		if len(p.unconfirmedBases) == 0 {
			return Accepted{}, true, operatorError(err)
		}
		return Accepted{}, false, err
	}
	if r, ok := head.findChange(p.record.ID); ok {
		return m.resultOfAccepted(ctx, p, head, r)
	}
	for _, revision := range p.unconfirmedBases {
		if !head.retainsChangesSince(revision) {
			return Accepted{}, true, &OutcomeUnknownError{ID: p.record.ID, Cause: &CatchUpError{Revision: revision, Cause: errRecordEvicted}}
		}
	}
	if head.Revision < activeRevision {
		return Accepted{}, true, &StoreRegressedError{Store: head.Revision, Active: activeRevision}
	}
	next, err := m.prepare(ctx, p, head)
	if err != nil {
		var transient *store.UnavailableError
		if errors.As(err, &transient) && len(p.unconfirmedBases) > 0 {
			return Accepted{}, false, err
		}
		return Accepted{}, true, operatorError(err)
	}
	if err := m.writeHead(ctx, next.head, version); err != nil {
		return m.handleHeadWriteError(p, head, err)
	}
	m.activateAndNotify(next)
	return Accepted{Revision: next.head.Revision, ChangeID: p.record.ID}, true, nil
}

var errRecordEvicted = errors.New("more changes followed than the head remembers")

// handleHeadWriteError decides whether a change is retried after its head write failed.
func (m *Manager) handleHeadWriteError(p *pendingChange, head *Head, err error) (Accepted, bool, error) {
	var conflict *store.ConflictError
	var unknown *store.UnknownOutcomeError
	switch {
	case errors.As(err, &unknown):
		p.unconfirmedBases = append(p.unconfirmedBases, head.Revision)
		return Accepted{}, false, err
	case errors.As(err, &conflict), len(p.unconfirmedBases) > 0:
		return Accepted{}, false, err
	default:
		return Accepted{}, true, operatorError(err)
	}
}

// operatorError converts a store failure to the error type that is reported to operators.
func operatorError(err error) error {
	var unavailable *store.UnavailableError
	var unknown *store.UnknownOutcomeError
	if errors.As(err, &unavailable) || errors.As(err, &unknown) {
		return &StoreUnavailableError{Cause: err}
	}
	return err
}

// resultOfAccepted returns the result of a change that the head already holds, or a
// *ChangeIDError if the content of that change differs.
func (m *Manager) resultOfAccepted(ctx context.Context, p *pendingChange, head *Head, r ChangeRecord) (Accepted, bool, error) {
	if r.Digest != p.record.Digest {
		return Accepted{}, true, &ChangeIDError{ID: r.ID, Revision: r.Revision}
	}
	if err := m.loadAndActivate(ctx, head); err != nil {
		m.log.WithError(err).WithField("revision", r.Revision).WithField("change_id", r.ID).Warn("cannot load the configuration of the accepted change yet")
	}
	return Accepted{Revision: r.Revision, ChangeID: r.ID, Repeated: len(p.unconfirmedBases) == 0}, true, nil
}

// activateAndNotify activates a committed configuration on this daemon and notifies the
// peers that do not report the store as reachable.
func (m *Manager) activateAndNotify(s *configuration) {
	if m.activate(s) {
		m.notifyPeersWithoutStore()
	}
}

// readHead returns the head in the store and its version, which is 0 if there is none.
func (m *Manager) readHead(ctx context.Context) (*Head, uint64, error) {
	e, err := m.config.Store.Get(ctx, headKey)
	var notFound *store.NotFoundError
	if errors.As(err, &notFound) {
		return &Head{Documents: map[string]string{}}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	h, err := parseHead(e.Value)
	return h, e.Version, err
}

// prepare applies a change to a head, renders the result and writes the documents of
// the change. The head itself is not written.
func (m *Manager) prepare(ctx context.Context, p *pendingChange, head *Head) (*configuration, error) {
	documents, err := m.loadDocuments(ctx, head)
	if err != nil {
		return nil, err
	}
	changes, err := p.edit(head, documents)
	if err != nil {
		return nil, err
	}
	merged := merge(documents, changes)
	hashes := maps.Clone(head.Documents)
	record := p.record
	record.Time = time.Now().UTC()
	for _, d := range changes {
		record.Documents = append(record.Documents, d.Name)
		if d.Remove {
			delete(hashes, d.Name)
		} else {
			hashes[d.Name] = hashOf(d.Content)
		}
	}
	revoked := union(head.Revoked, p.revoked)
	next, err := m.render(head.next(hashes, revoked, record), merged)
	if err != nil {
		return nil, err
	}
	for _, d := range changes {
		if err := m.writeDocument(ctx, d); err != nil {
			return nil, err
		}
	}
	return next, nil
}

func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// writeDocument stores a document under its content hash, so an existing document has
// the same content. A document that no head references has no effect.
func (m *Manager) writeDocument(ctx context.Context, d DocumentChange) error {
	if d.Remove {
		return nil
	}
	key := docPrefix + hashOf(d.Content)
	_, err := m.config.Store.Put(ctx, key, d.Content, 0, 0)
	var unknown *store.UnknownOutcomeError
	if errors.As(err, &unknown) {
		// The second write conflicts if the first one succeeded.
		_, err = m.config.Store.Put(ctx, key, d.Content, 0, 0)
	}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}

func (m *Manager) writeHead(ctx context.Context, head *Head, version uint64) error {
	value, err := json.Marshal(head)
	if err != nil {
		return &HeadError{Cause: err}
	}
	if len(value) > store.MaxValueBytes {
		return &TooLargeError{Bytes: len(value), Limit: store.MaxValueBytes}
	}
	_, err = m.config.Store.Put(ctx, headKey, value, version, 0)
	return err
}
