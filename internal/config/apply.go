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

// Change is a set of documents that takes effect as a whole or not at all.
type Change struct {
	// ID names the change; repeating a change with the same ID has no further effect.
	ID       string
	Operator string
	// Expected is the revision that the change was made from.
	Expected  uint64
	Documents []DocumentChange
}

// Accepted is the result of a change.
type Accepted struct {
	Revision uint64
	ChangeID string
	// Repeated is set when the change had been accepted before this call.
	Repeated bool
}

// edit computes the document changes of a change from the documents in the store.
type edit func(head *Head, documents map[string][]byte) ([]DocumentChange, error)

// Apply makes a change effective. It fails with a *ConflictError when one of its
// documents changed after c.Expected; documents of other changes do not conflict.
func (m *Manager) Apply(ctx context.Context, c Change) (Accepted, error) {
	if err := c.check(); err != nil {
		return Accepted{}, err
	}
	record := ChangeRecord{ID: c.ID, Operator: c.Operator, Digest: digest(c.Documents)}
	return m.commit(ctx, record, func(head *Head, documents map[string][]byte) ([]DocumentChange, error) {
		return c.Documents, c.conflict(head, documents)
	})
}

// Modification is a change that is computed from the documents in force.
type Modification struct {
	ID       string
	Operator string
	// Digest tells this modification from another one with the same ID.
	Digest string
	// Edit may run several times; it must not change document contents in place.
	Edit func(documents map[string][]byte) ([]DocumentChange, error)
}

// Modify makes a change that is computed again when another change came first.
func (m *Manager) Modify(ctx context.Context, c Modification) (Accepted, error) {
	if err := checkIdentity(c.ID, c.Operator); err != nil {
		return Accepted{}, err
	}
	record := ChangeRecord{ID: c.ID, Operator: c.Operator, Digest: c.Digest}
	return m.commit(ctx, record, func(_ *Head, documents map[string][]byte) ([]DocumentChange, error) {
		return c.Edit(documents)
	})
}

// Validate checks a change against the configuration in force without writing.
func (m *Manager) Validate(c Change) error {
	if err := c.check(); err != nil {
		return err
	}
	s := m.inForce()
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

// conflict compares the change with the head that it would replace.
func (c *Change) conflict(head *Head, documents map[string][]byte) error {
	if c.Expected == head.Revision {
		return nil
	}
	names := make([]string, len(c.Documents))
	for i, d := range c.Documents {
		names[i] = d.Name
	}
	if c.Expected < head.Revision && !head.touched(c.Expected, names) {
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
	sum := sha256.New()
	for _, d := range changes {
		content := "-"
		if !d.Remove {
			content = hashOf(d.Content)
		}
		fmt.Fprintf(sum, "%q %s\n", d.Name, content)
	}
	return hex.EncodeToString(sum.Sum(nil)[:16])
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

// attempt is the state of one change over its attempts to write the head.
type attempt struct {
	record ChangeRecord
	edit   edit
	// revoked are key IDs that the change adds to the revoked set.
	revoked []string
	// unknownAt holds the revisions from which a head was written without an answer.
	unknownAt []uint64
}

// commit writes a change. After a lost answer it reads the head back and looks for
// the change ID; if the head did not move, it writes the same version again, so
// that at most one of the two writes can take effect.
func (m *Manager) commit(ctx context.Context, record ChangeRecord, f edit) (Accepted, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	a := &attempt{record: record, edit: f}
	retry := retryFirst / 4
	for {
		accepted, done, err := m.try(ctx, a)
		if done {
			return accepted, err
		}
		if ctx.Err() != nil || !sleep(ctx, jitter(retry)) {
			return Accepted{}, a.failure(err)
		}
		retry = min(2*retry, retryLast)
	}
}

// failure is the error of a change that was given up.
func (a *attempt) failure(cause error) error {
	if len(a.unknownAt) > 0 {
		return &OutcomeUnknownError{ID: a.record.ID, Cause: cause}
	}
	return &StoreUnavailableError{Cause: cause}
}

// try makes one attempt; done is false when another one may succeed.
func (m *Manager) try(ctx context.Context, a *attempt) (accepted Accepted, done bool, err error) {
	// Taken before the head is read: the watch may move on meanwhile.
	inForce := m.Revision()
	head, version, err := m.readHead(ctx)
	if err != nil {
		// Without an unknown outcome nothing was written, and the operator is told at once.
		if len(a.unknownAt) == 0 {
			return Accepted{}, true, storeFailure(err)
		}
		return Accepted{}, false, err
	}
	if r, ok := head.find(a.record.ID); ok {
		return m.alreadyAccepted(ctx, a, head, r)
	}
	for _, revision := range a.unknownAt {
		if !head.remembers(revision) {
			return Accepted{}, true, &OutcomeUnknownError{ID: a.record.ID, Cause: &CatchUpError{Revision: revision, Cause: errForgotten}}
		}
	}
	if head.Revision < inForce {
		return Accepted{}, true, &StoreRegressedError{Store: head.Revision, Active: inForce}
	}
	next, err := m.prepare(ctx, a, head)
	if err != nil {
		var transient *store.UnavailableError
		if errors.As(err, &transient) && len(a.unknownAt) > 0 {
			return Accepted{}, false, err
		}
		return Accepted{}, true, storeFailure(err)
	}
	if err := m.writeHead(ctx, next.head, version); err != nil {
		return m.headNotWritten(a, head, err)
	}
	m.accepted(next)
	return Accepted{Revision: next.head.Revision, ChangeID: a.record.ID}, true, nil
}

var errForgotten = errors.New("more changes followed than the head remembers")

// headNotWritten decides about an attempt whose head write failed.
func (m *Manager) headNotWritten(a *attempt, head *Head, err error) (Accepted, bool, error) {
	var conflict *store.ConflictError
	var unknown *store.UnknownOutcomeError
	switch {
	case errors.As(err, &unknown):
		a.unknownAt = append(a.unknownAt, head.Revision)
		return Accepted{}, false, err
	case errors.As(err, &conflict), len(a.unknownAt) > 0:
		return Accepted{}, false, err
	default:
		return Accepted{}, true, storeFailure(err)
	}
}

// storeFailure gives failures of the store the type that operators see.
func storeFailure(err error) error {
	var unavailable *store.UnavailableError
	var unknown *store.UnknownOutcomeError
	if errors.As(err, &unavailable) || errors.As(err, &unknown) {
		return &StoreUnavailableError{Cause: err}
	}
	return err
}

func (m *Manager) alreadyAccepted(ctx context.Context, a *attempt, head *Head, r ChangeRecord) (Accepted, bool, error) {
	if r.Digest != a.record.Digest {
		return Accepted{}, true, &ChangeIDError{ID: r.ID, Revision: r.Revision}
	}
	if err := m.adoptHead(ctx, head); err != nil {
		m.log.WithError(err).Warn("accepted configuration not loaded yet")
	}
	return Accepted{Revision: r.Revision, ChangeID: r.ID, Repeated: len(a.unknownAt) == 0}, true, nil
}

// accepted puts a written configuration in force here and tells peers.
func (m *Manager) accepted(s *state) {
	if m.install(s) {
		m.noticeBlind()
	}
}

// readHead returns the head in the store and its version; 0 when there is none.
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

// prepare renders the change on top of a head and writes its documents.
func (m *Manager) prepare(ctx context.Context, a *attempt, head *Head) (*state, error) {
	documents, err := m.load(ctx, head)
	if err != nil {
		return nil, err
	}
	changes, err := a.edit(head, documents)
	if err != nil {
		return nil, err
	}
	merged := merge(documents, changes)
	hashes := maps.Clone(head.Documents)
	record := a.record
	record.Time = time.Now().UTC()
	for _, d := range changes {
		record.Documents = append(record.Documents, d.Name)
		if d.Remove {
			delete(hashes, d.Name)
		} else {
			hashes[d.Name] = hashOf(d.Content)
		}
	}
	revoked := union(head.Revoked, a.revoked)
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

// writeDocument stores a document under its hash. A document that exists already
// has the same content. A document without a head that names it has no effect.
func (m *Manager) writeDocument(ctx context.Context, d DocumentChange) error {
	if d.Remove {
		return nil
	}
	key := docPrefix + hashOf(d.Content)
	_, err := m.config.Store.Put(ctx, key, d.Content, 0, 0)
	var unknown *store.UnknownOutcomeError
	if errors.As(err, &unknown) {
		// The second write conflicts if the first one took effect.
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
