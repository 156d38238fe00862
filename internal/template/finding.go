package template

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Finding describes an invalid or missing value in a document.
type Finding struct {
	// Document is the name of the document that contains the value.
	Document string `json:"document"`
	// Path is the JSON path in the document; $ is the whole document.
	Path string `json:"path"`
	// Value is the value found, or "missing".
	Value string `json:"value"`
	// Allowed describes the allowed values.
	Allowed string `json:"allowed"`
}

// FindingsError reports all findings in a set of documents.
type FindingsError struct{ Findings []Finding }

func (e *FindingsError) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = fmt.Sprintf("%s %s: %s: allowed: %s", f.Document, f.Path, f.Value, f.Allowed)
	}
	return fmt.Sprintf("%d findings: %s", len(lines), strings.Join(lines, "; "))
}

// collector collects findings and omits duplicates.
type collector struct{ findings []Finding }

func (r *collector) add(doc, path, value, allowed string) {
	f := Finding{Document: doc, Path: path, Value: value, Allowed: allowed}
	// A template that several accounts use yields the same finding for each of them.
	if !slices.Contains(r.findings, f) {
		r.findings = append(r.findings, f)
	}
}

func (r *collector) addAt(n *node, allowed string) { r.add(n.doc, n.path, n.display(), allowed) }

func (r *collector) missing(n *node, name, allowed string) {
	r.add(n.doc, n.path+"."+name, "missing", allowed)
}

func (r *collector) err() error {
	if len(r.findings) == 0 {
		return nil
	}
	slices.SortStableFunc(r.findings, func(a, b Finding) int { return strings.Compare(a.Document, b.Document) })
	return &FindingsError{Findings: r.findings}
}

const nameRule = "1 to 63 characters of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// objectReader reads the fields of an object and collects findings about them.
type objectReader struct {
	*collector
	n *node
}

// object returns a reader of n and checks that n is an object with known fields only.
func (r *collector) object(n *node, known ...string) (objectReader, bool) {
	if n.kind == kindUnbound {
		return objectReader{}, false
	}
	if n.kind != kindObject {
		r.addAt(n, "an object")
		return objectReader{}, false
	}
	for _, f := range n.fields {
		if !slices.Contains(known, f.name) {
			r.add(n.doc, n.path+"."+f.name, f.value.display(), "one of the fields "+strings.Join(known, ", "))
		}
	}
	return objectReader{collector: r, n: n}, true
}

// value returns a field; ok is false if the field is missing or its parameter is unbound.
func (r objectReader) value(name string, required bool, allowed string) (*node, bool) {
	v := r.n.get(name)
	if v == nil {
		if required {
			r.missing(r.n, name, allowed)
		}
		return nil, false
	}
	return v, v.kind != kindUnbound
}

// integer reads an integer from low to high. A missing field yields defaultValue, or a
// finding if defaultValue is nil.
func (r objectReader) integer(name string, low, high int64, defaultValue *int64) int64 {
	allowed := fmt.Sprintf("a whole number from %d to %d", low, high)
	v, ok := r.value(name, defaultValue == nil, allowed)
	if !ok {
		if defaultValue == nil {
			return 0
		}
		return *defaultValue
	}
	i, ok := v.integer()
	if !ok || i < low || i > high {
		r.addAt(v, allowed)
	}
	return i
}

func (r objectReader) number(name string, low, high float64) float64 {
	allowed := "a number from " + strconv.FormatFloat(low, 'g', -1, 64) + " to " + strconv.FormatFloat(high, 'g', -1, 64)
	v, ok := r.value(name, true, allowed)
	if !ok {
		return 0
	}
	f, ok := v.number()
	if !ok || f < low || f > high {
		r.addAt(v, allowed)
	}
	return f
}

func (r objectReader) boolean(name string) bool {
	v, ok := r.value(name, false, "")
	if !ok {
		return false
	}
	if v.kind != kindBoolean {
		r.addAt(v, "true or false")
	}
	return v.boolean
}

func (r objectReader) text(name string, required bool, pattern *regexp.Regexp, rule string) (string, *node) {
	v, ok := r.value(name, required, rule)
	if !ok {
		return "", v
	}
	if v.kind != kindString || !pattern.MatchString(v.text) {
		r.addAt(v, rule)
		return "", v
	}
	return v.text, v
}

func (r objectReader) name(name string, required bool) (string, *node) {
	return r.text(name, required, namePattern, nameRule)
}

func (r objectReader) array(name string, required bool) []*node {
	v, ok := r.value(name, required, "an array")
	if !ok {
		return nil
	}
	if v.kind != kindArray {
		r.addAt(v, "an array")
	}
	return v.items
}

// optionalObject returns a reader of an optional object field.
func (r objectReader) optionalObject(name string, known ...string) (objectReader, bool) {
	v, ok := r.value(name, false, "")
	if !ok {
		return objectReader{}, false
	}
	return r.object(v, known...)
}

func defaultTo(v int64) *int64 { return &v }
