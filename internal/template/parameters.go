package template

import (
	"fmt"
	"slices"
	"strings"
)

// paramField marks a reference to a parameter: {"$param": "name"}.
const paramField = "$param"

const (
	typeInteger = "integer"
	typeNumber  = "number"
	typeString  = "string"
	typeBoolean = "boolean"
)

var parameterTypes = []string{typeInteger, typeNumber, typeString, typeBoolean}

// parameter is the declaration of a template parameter.
type parameter struct {
	typeName     string
	low          *float64
	high         *float64
	defaultValue *node
}

// allowedValues describes the values that the parameter accepts.
func (p parameter) allowedValues() string {
	s := map[string]string{
		typeInteger: "a whole number", typeNumber: "a number",
		typeString: "a string", typeBoolean: "true or false",
	}[p.typeName]
	if p.low != nil {
		s += fmt.Sprintf(" of at least %g", *p.low)
	}
	if p.high != nil {
		s += fmt.Sprintf(" up to %g", *p.high)
	}
	return s
}

// accepts reports whether a value matches the parameter's type and range.
func (p parameter) accepts(n *node) bool {
	switch p.typeName {
	case typeString:
		return n.kind == kindString
	case typeBoolean:
		return n.kind == kindBoolean
	case typeInteger:
		if _, ok := n.integer(); !ok {
			return false
		}
	}
	v, ok := n.number()
	return ok && (p.low == nil || v >= *p.low) && (p.high == nil || v <= *p.high)
}

// templateDocument is a parsed document of kind service, pool or fleet.
type templateDocument struct {
	name       string
	parameters map[string]parameter
	body       *node
}

// parseTemplate reads {"parameters": {...}, "body": {...}}.
func (r *collector) parseTemplate(name string, root *node) *templateDocument {
	t := &templateDocument{name: name, parameters: map[string]parameter{}}
	o, ok := r.object(root, "parameters", "body")
	if !ok {
		return t
	}
	if parameters, ok := o.value("parameters", false, ""); ok {
		if parameters.kind != kindObject {
			r.addAt(parameters, "an object")
		}
		for _, f := range parameters.fields {
			t.parameters[f.name] = r.parseParameter(f.value)
			if !namePattern.MatchString(f.name) {
				r.addAt(f.value, "a parameter name of "+nameRule)
			}
		}
	}
	t.body, _ = o.value("body", true, "an object")
	if t.body != nil {
		r.checkReferences(t, t.body)
	}
	return t
}

func (r *collector) parseParameter(n *node) parameter {
	o, ok := r.object(n, "type", "default", "min", "max", "description")
	if !ok {
		return parameter{}
	}
	rule := "one of " + strings.Join(parameterTypes, ", ")
	p := parameter{}
	if v, ok := o.value("type", true, rule); ok {
		if v.kind != kindString || !slices.Contains(parameterTypes, v.text) {
			r.addAt(v, rule)
			return parameter{}
		}
		p.typeName = v.text
	}
	p.low, p.high = r.bound(o, "min", p), r.bound(o, "max", p)
	if v, ok := o.value("description", false, ""); ok && v.kind != kindString {
		r.addAt(v, "a string")
	}
	if v, ok := o.value("default", false, ""); ok {
		p.defaultValue = v
		if p.typeName != "" && !p.accepts(v) {
			r.addAt(v, p.allowedValues())
		}
	}
	return p
}

// bound reads the limit min or max of a parameter. It returns nil if there is none.
func (r *collector) bound(o objectReader, name string, p parameter) *float64 {
	v, ok := o.value(name, false, "")
	if !ok {
		return nil
	}
	f, ok := v.number()
	if !ok || (p.typeName != typeInteger && p.typeName != typeNumber) {
		r.addAt(v, "a number, with type integer or number")
		return nil
	}
	return &f
}

// reference returns the name node if n is a parameter reference: {"$param": "name"}.
func reference(n *node) (*node, bool) {
	if n.kind != kindObject {
		return nil, false
	}
	v := n.get(paramField)
	return v, v != nil
}

// checkReferences checks that all parameter references in n name declared parameters.
func (r *collector) checkReferences(t *templateDocument, n *node) {
	if ref, ok := reference(n); ok {
		if _, declared := t.parameters[ref.text]; len(n.fields) != 1 || ref.kind != kindString || !declared {
			r.addAt(ref, "the name of a parameter of this template, as the only field")
		}
		return
	}
	for _, item := range n.items {
		r.checkReferences(t, item)
	}
	for _, f := range n.fields {
		r.checkReferences(t, f.value)
	}
}

// substitute returns a copy of n in which parameter references are replaced by their
// values. References without a value become kindUnbound nodes.
func substitute(n *node, values map[string]*node) *node {
	if ref, ok := reference(n); ok {
		if v, ok := values[ref.text]; ok {
			return v
		}
		return &node{kind: kindUnbound, doc: n.doc, path: n.path}
	}
	c := *n
	c.items, c.fields = nil, nil
	for _, item := range n.items {
		c.items = append(c.items, substitute(item, values))
	}
	for _, f := range n.fields {
		c.fields = append(c.fields, field{name: f.name, value: substitute(f.value, values)})
	}
	return &c
}

// defaults returns the default values of the template's parameters.
func (t *templateDocument) defaults() map[string]*node {
	values := map[string]*node{}
	for name, p := range t.parameters {
		if p.defaultValue != nil {
			values[name] = p.defaultValue
		}
	}
	return values
}

// bind determines the parameter values for one reference of an account to a template. Values
// given in the reference take precedence over those of the account, and both over the
// defaults. referenceNode is the whole reference.
func (r *collector) bind(t *templateDocument, referenceValues, accountValues *node, referenceNode *node) map[string]*node {
	values := t.defaults()
	for name, p := range t.parameters {
		v := (*node)(nil)
		if accountValues != nil {
			v = accountValues.get(name)
		}
		if referenceValues != nil && referenceValues.get(name) != nil {
			v = referenceValues.get(name)
		}
		switch {
		case v == nil && p.defaultValue == nil:
			r.missing(referenceNode, "parameters."+name, p.allowedValues()+", required by "+t.name)
		case v != nil && p.typeName != "" && !p.accepts(v):
			r.addAt(v, p.allowedValues()+", as declared by "+t.name)
		case v != nil:
			values[name] = v
		}
	}
	return values
}
