package queries

import (
	"context"
	"maps"
	"slices"
	"strings"

	"samphirestile.example/samphirestile/internal/operatorapi/oas"
	"samphirestile.example/samphirestile/internal/operatorapi/wire"
	"samphirestile.example/samphirestile/internal/template"
)

// GetConfig returns the documents in force except key records, whose hashes are of no
// use to operators.
func (q *Queries) GetConfig(context.Context) (*oas.Config, error) {
	revision, documents, err := q.Configuration.Documents()
	if err != nil {
		return nil, err
	}
	c := &oas.Config{Revision: wire.Revision(revision), Documents: []oas.Document{}}
	for _, name := range slices.Sorted(maps.Keys(documents)) {
		if !strings.HasPrefix(name, template.KindKeys+"/") {
			c.Documents = append(c.Documents, oas.Document{Name: name, Content: oas.NewOptString(string(documents[name]))})
		}
	}
	return c, nil
}

// GetHistory returns the recorded changes, newest first.
func (q *Queries) GetHistory(context.Context) ([]oas.HistoryEntry, error) {
	changes, err := q.Configuration.History()
	if err != nil {
		return nil, err
	}
	entries := make([]oas.HistoryEntry, len(changes))
	for i, c := range changes {
		entries[i] = oas.HistoryEntry{Revision: wire.Revision(c.Revision), ChangeID: c.ID, Operator: c.Operator, Time: c.Time}
	}
	return entries, nil
}

// ValidateConfig checks a change without applying it and returns the revision in
// force.
func (q *Queries) ValidateConfig(_ context.Context, req *oas.Change) (*oas.Accepted, error) {
	change, err := wire.Change(req)
	if err != nil {
		return nil, err
	}
	if err := q.Configuration.Validate(change); err != nil {
		return nil, err
	}
	s, err := q.snapshot()
	if err != nil {
		return nil, err
	}
	return &oas.Accepted{Revision: wire.Revision(s.Revision), ChangeID: change.ID}, nil
}
