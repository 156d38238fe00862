package template

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"unicode/utf8"
)

// Limits of a document.
const (
	// MaxDocumentBytes is within the store's value limit.
	MaxDocumentBytes = 1 << 20
	maxDepth         = 16
	// maxShownBytes bounds the displayed value in a finding.
	maxShownBytes = 120
)

type kind string

const (
	kindNull    kind = "null"
	kindBoolean kind = "boolean"
	kindNumber  kind = "number"
	kindString  kind = "string"
	kindArray   kind = "array"
	kindObject  kind = "object"
	// kindUnbound is a parameter reference without a value, in a template that no account
	// uses.
	kindUnbound kind = "hole"
)

// node is a JSON value with the document and path where it was written.
type node struct {
	kind    kind
	doc     string
	path    string
	text    string
	boolean bool
	items   []*node
	fields  []field
}

type field struct {
	name  string
	value *node
}

func (n *node) get(name string) *node {
	for _, f := range n.fields {
		if f.name == name {
			return f.value
		}
	}
	return nil
}

// display returns the value as it is shown in a finding.
func (n *node) display() string {
	var s string
	switch n.kind {
	case kindNull:
		s = "null"
	case kindBoolean:
		s = strconv.FormatBool(n.boolean)
	case kindNumber:
		s = n.text
	case kindString:
		s = strconv.Quote(n.text)
	case kindArray:
		s = fmt.Sprintf("array of %d", len(n.items))
	default:
		s = "object"
	}
	if len(s) > maxShownBytes {
		s = s[:maxShownBytes] + "…"
	}
	return s
}

// syntaxError reports a document that is not a single valid JSON value. The detail is the
// rule that was violated.
type syntaxError struct {
	path   string
	detail string
}

func (e *syntaxError) Error() string { return e.path + ": " + e.detail }

// parse decodes exactly one JSON value. Duplicate fields, trailing data and invalid UTF-8
// are rejected, because parsers differ in how they interpret them.
func parse(doc string, content []byte) (*node, error) {
	if len(content) > MaxDocumentBytes {
		return nil, &syntaxError{path: "$", detail: fmt.Sprintf("at most %d bytes", MaxDocumentBytes)}
	}
	if !utf8.Valid(content) {
		return nil, &syntaxError{path: "$", detail: "valid UTF-8"}
	}
	d := json.NewDecoder(bytes.NewReader(content))
	d.UseNumber()
	n, err := parseValue(d, doc, "$", 0)
	if err != nil {
		return nil, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, &syntaxError{path: "$", detail: "one JSON value without trailing data"}
	}
	return n, nil
}

func parseValue(d *json.Decoder, doc, path string, depth int) (*node, error) {
	if depth > maxDepth {
		return nil, &syntaxError{path: path, detail: fmt.Sprintf("at most %d levels", maxDepth)}
	}
	t, err := d.Token()
	if err != nil {
		return nil, &syntaxError{path: path, detail: "a JSON value: " + err.Error()}
	}
	n := &node{doc: doc, path: path}
	switch v := t.(type) {
	case nil:
		n.kind = kindNull
	case bool:
		n.kind, n.boolean = kindBoolean, v
	case json.Number:
		n.kind, n.text = kindNumber, v.String()
	case string:
		n.kind, n.text = kindString, v
	case json.Delim:
		if v == '[' {
			return n, parseArray(d, n, depth)
		}
		return n, parseObject(d, n, depth)
	}
	return n, nil
}

func parseArray(d *json.Decoder, n *node, depth int) error {
	n.kind = kindArray
	for d.More() {
		item, err := parseValue(d, n.doc, fmt.Sprintf("%s[%d]", n.path, len(n.items)), depth+1)
		if err != nil {
			return err
		}
		n.items = append(n.items, item)
	}
	return closeValue(d, n.path)
}

func parseObject(d *json.Decoder, n *node, depth int) error {
	n.kind = kindObject
	seen := map[string]bool{}
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return &syntaxError{path: n.path, detail: "a field name: " + err.Error()}
		}
		name, ok := t.(string)
		if !ok {
			return &syntaxError{path: n.path, detail: "a field name"}
		}
		path := n.path + "." + name
		if seen[name] {
			return &syntaxError{path: path, detail: "each field once"}
		}
		seen[name] = true
		value, err := parseValue(d, n.doc, path, depth+1)
		if err != nil {
			return err
		}
		n.fields = append(n.fields, field{name: name, value: value})
	}
	return closeValue(d, n.path)
}

func closeValue(d *json.Decoder, path string) error {
	if _, err := d.Token(); err != nil {
		return &syntaxError{path: path, detail: "a complete JSON value: " + err.Error()}
	}
	return nil
}

// integer returns the value of a number that is written without fraction and exponent and
// fits in an int64.
func (n *node) integer() (int64, bool) {
	if n.kind != kindNumber {
		return 0, false
	}
	v, err := strconv.ParseInt(n.text, 10, 64)
	return v, err == nil
}

// number returns the value of a finite number.
func (n *node) number() (float64, bool) {
	if n.kind != kindNumber {
		return 0, false
	}
	v, err := strconv.ParseFloat(n.text, 64)
	return v, err == nil && !math.IsInf(v, 0)
}
