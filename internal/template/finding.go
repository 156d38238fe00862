package template

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Finding is one fault in a document.
type Finding struct {
	// Document is the name of the document where the value was written.
	Document string `json:"document"`
	// Path is the JSON path inside the document; $ is the whole document.
	Path    string `json:"path"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// FindingsError reports all faults of a set of documents.
type FindingsError struct{ Findings []Finding }

func (e *FindingsError) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = fmt.Sprintf("%s %s: %s: allowed: %s", f.Document, f.Path, f.Value, f.Allowed)
	}
	return fmt.Sprintf("%d findings: %s", len(lines), strings.Join(lines, "; "))
}

// report collects findings.
type report struct{ findings []Finding }

func (r *report) add(doc, path, value, allowed string) {
	f := Finding{Document: doc, Path: path, Value: value, Allowed: allowed}
	// A template that several accounts use yields the same finding several times.
	if !slices.Contains(r.findings, f) {
		r.findings = append(r.findings, f)
	}
}

func (r *report) at(n *node, allowed string) { r.add(n.doc, n.path, n.shown(), allowed) }

func (r *report) missing(n *node, name, allowed string) {
	r.add(n.doc, n.path+"."+name, "missing", allowed)
}

func (r *report) err() error {
	if len(r.findings) == 0 {
		return nil
	}
	slices.SortStableFunc(r.findings, func(a, b Finding) int { return strings.Compare(a.Document, b.Document) })
	return &FindingsError{Findings: r.findings}
}

const nameRule = "1 to 63 characters of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// reader reads the fields of one object and collects what is wrong with them.
type reader struct {
	*report
	n *node
}

// object checks that n is an object with known fields only.
func (r *report) object(n *node, known ...string) (reader, bool) {
	if n.kind == kindHole {
		return reader{}, false
	}
	if n.kind != kindObject {
		r.at(n, "an object")
		return reader{}, false
	}
	for _, f := range n.fields {
		if !slices.Contains(known, f.name) {
			r.add(n.doc, n.path+"."+f.name, f.value.shown(), "one of the fields "+strings.Join(known, ", "))
		}
	}
	return reader{report: r, n: n}, true
}

// value returns a field that is present and has a value.
func (r reader) value(name string, required bool, allowed string) (*node, bool) {
	v := r.n.get(name)
	if v == nil {
		if required {
			r.missing(r.n, name, allowed)
		}
		return nil, false
	}
	return v, v.kind != kindHole
}

// integer reads a whole number from low to high; absent means fallback, or a
// finding when fallback is nil.
func (r reader) integer(name string, low, high int64, fallback *int64) int64 {
	allowed := fmt.Sprintf("a whole number from %d to %d", low, high)
	v, ok := r.value(name, fallback == nil, allowed)
	if !ok {
		if fallback == nil {
			return 0
		}
		return *fallback
	}
	i, ok := v.integer()
	if !ok || i < low || i > high {
		r.at(v, allowed)
	}
	return i
}

func (r reader) number(name string, low, high float64) float64 {
	allowed := "a number from " + strconv.FormatFloat(low, 'g', -1, 64) + " to " + strconv.FormatFloat(high, 'g', -1, 64)
	v, ok := r.value(name, true, allowed)
	if !ok {
		return 0
	}
	f, ok := v.number()
	if !ok || f < low || f > high {
		r.at(v, allowed)
	}
	return f
}

func (r reader) boolean(name string) bool {
	v, ok := r.value(name, false, "")
	if !ok {
		return false
	}
	if v.kind != kindBoolean {
		r.at(v, "true or false")
	}
	return v.flag
}

func (r reader) text(name string, required bool, pattern *regexp.Regexp, rule string) (string, *node) {
	v, ok := r.value(name, required, rule)
	if !ok {
		return "", v
	}
	if v.kind != kindString || !pattern.MatchString(v.text) {
		r.at(v, rule)
		return "", v
	}
	return v.text, v
}

func (r reader) name(name string, required bool) (string, *node) {
	return r.text(name, required, namePattern, nameRule)
}

func (r reader) array(name string, required bool) []*node {
	v, ok := r.value(name, required, "an array")
	if !ok {
		return nil
	}
	if v.kind != kindArray {
		r.at(v, "an array")
	}
	return v.items
}

// section reads an optional object.
func (r reader) section(name string, known ...string) (reader, bool) {
	v, ok := r.value(name, false, "")
	if !ok {
		return reader{}, false
	}
	return r.object(v, known...)
}

func fallback(v int64) *int64 { return &v }
