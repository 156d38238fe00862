package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"testing"
)

func FuzzParseHead(f *testing.F) {
	f.Add([]byte(`{"revision":1,"documents":{},"changes":[]}`))
	f.Add([]byte(`{"revision":2,"documents":{"a/b":"` + hashOf(nil) + `"},"revoked":["00"],"changes":[{"id":"x","time":"2026-01-01T00:00:00Z","revision":2}]} x`))
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := parseHead(data)
		if err != nil {
			if !errors.As(err, new(*HeadError)) {
				t.Fatalf("untyped error %T", err)
			}
			return
		}
		again, err := json.Marshal(h)
		if err != nil {
			t.Fatal(err)
		}
		if h2, err := parseHead(again); err != nil || h2.Revision != h.Revision || !reflect.DeepEqual(h2.Documents, h.Documents) {
			t.Fatalf("decoding the encoded head again: %v", err)
		}
	})
}

func FuzzParseWire(f *testing.F) {
	f.Add([]byte(`{"head":{"revision":0,"documents":{},"changes":null},"documents":{}}`))
	f.Add(fmt.Appendf(nil, `{"head":{"revision":1,"documents":{"a/b":%q},"changes":[]},"documents":{"a/b":"x"},"leaving":["h"]}`, hashOf([]byte("x"))))
	f.Fuzz(func(t *testing.T, data []byte) {
		w, err := parseWire(data)
		if err != nil {
			return
		}
		for name, hash := range w.Head.Documents {
			if hashOf([]byte(w.Documents[name])) != hash {
				t.Fatalf("document %q does not match its hash", name)
			}
		}
	})
}

// Guards against a missed duplicate or a missed conflict after more changes than the head
// retains.
func TestHeadRetention(t *testing.T) {
	h := &Head{Documents: map[string]string{}}
	for i := range maxRetainedChanges + 5 {
		h = h.next(h.Documents, nil, ChangeRecord{ID: fmt.Sprint(i), Documents: []string{fmt.Sprintf("pool/p%d", i)}})
	}
	last := h.Revision
	if len(h.Changes) != maxRetainedChanges || h.hasChangesSince(3) || !h.hasChangesSince(last-maxRetainedChanges) {
		t.Fatalf("wrong retention of %d changes", len(h.Changes))
	}
	for _, c := range []struct {
		revision uint64
		document string
		touched  bool
	}{
		{last, "pool/p36", false}, {last - 1, "pool/p36", true}, {last - 1, "pool/p35", false}, {3, "pool/none", true},
	} {
		if got := h.mayHaveChanged(c.revision, []string{c.document}); got != c.touched {
			t.Errorf("mayHaveChanged(%d, %s) = %v", c.revision, c.document, got)
		}
	}
}

// Guards against a late response that replaces a newer configuration.
func TestInstallNeverLower(t *testing.T) {
	m := New(Config{Revoked: noRevoked{}})
	for _, c := range []struct {
		revision  uint64
		installed bool
	}{{2, true}, {1, false}, {2, false}, {3, true}, {0, false}} {
		s := &configuration{head: &Head{Revision: c.revision}, rendered: &Snapshot{Revision: c.revision}}
		before := m.Revision()
		if got := m.activate(s); got != c.installed || m.Revision() != max(before, c.revision) {
			t.Errorf("activate revision %d over %d: %v, now %d", c.revision, before, got, m.Revision())
		}
	}
}

// Guards against a daemon that queries no peer because its view contains only itself.
func TestPeerAddresses(t *testing.T) {
	view := []string{"self"}
	m := New(Config{Revoked: noRevoked{}, Self: "self", Peers: []string{"b", "self"}, Members: func() []string { return view }})
	if got := m.peerAddresses(); !reflect.DeepEqual(got, []string{"b"}) {
		t.Errorf("alone: %v", got)
	}
	view = []string{"self", "c"}
	m.Observe("d", 0, true, 0)
	m.Observe("self", 0, true, 0)
	if got := m.peerAddresses(); !reflect.DeepEqual(got, []string{"c", "d"}) {
		t.Errorf("with a view: %v", got)
	}
}

type noRevoked struct{}

func (noRevoked) Add(...string) []string { return nil }
func (noRevoked) Has(string) bool        { return false }
func (noRevoked) IDs() []string          { return nil }
func (noRevoked) Len() int               { return 0 }
