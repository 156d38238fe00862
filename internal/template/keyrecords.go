package template

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"samphirestile.example/samphirestile/internal/fleet"
)

// keyDocument is the content of keys/<account>.
type keyDocument struct {
	Keys []fleet.Key `json:"keys"`
}

// KeyDocumentError reports a malformed document of key records.
type KeyDocumentError struct {
	Document string
	Cause    error
}

func (e *KeyDocumentError) Error() string { return e.Document + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *KeyDocumentError) Unwrap() error { return e.Cause }

// KeyRecords returns the key records of all accounts, including those of removed teams.
func KeyRecords(documents map[string][]byte) ([]fleet.Key, error) {
	var all []fleet.Key
	for _, document := range slices.Sorted(maps.Keys(documents)) {
		if !strings.HasPrefix(document, KindKeys+"/") {
			continue
		}
		var d keyDocument
		if err := json.Unmarshal(documents[document], &d); err != nil {
			return nil, &KeyDocumentError{Document: document, Cause: err}
		}
		all = append(all, d.Keys...)
	}
	return all, nil
}

// WithKey returns the name of the account's key document and its content with record
// appended.
func WithKey(documents map[string][]byte, account string, record fleet.Key) (document string, content []byte, err error) {
	document = KindKeys + "/" + account
	var d keyDocument
	if old, ok := documents[document]; ok {
		if err := json.Unmarshal(old, &d); err != nil {
			return "", nil, &KeyDocumentError{Document: document, Cause: err}
		}
	}
	d.Keys = append(d.Keys, record)
	content, err = json.Marshal(d)
	return document, content, err
}
