// Package tree holds JSON documents as immutable trees that record the file and line of each
// value.
package tree

import (
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Place is the position of a value in the configuration files.
type Place struct {
	file string
	line int
}

// NewPlace returns the position at a line of a file, counted from 1.
func NewPlace(file string, line int) Place { return Place{file: file, line: line} }

// File returns the name of the file.
func (p Place) File() string { return p.file }

// Line returns the line, counted from 1.
func (p Place) Line() int { return p.line }

// String returns the position as "file:line".
func (p Place) String() string { return p.file + ":" + strconv.Itoa(p.line) }

// Path identifies a value by the names of the fields from the root to it.
type Path struct{ fields []string }

// NewPath returns the path with a copy of fields. Without fields it is the root.
func NewPath(fields ...string) Path { return Path{fields: slices.Clone(fields)} }

// ParsePath parses a path written as field names separated by dots. The empty string is the
// root.
func ParsePath(text string) Path {
	if text == "" {
		return Path{}
	}
	return Path{fields: strings.Split(text, ".")}
}

// Fields returns a copy of the field names, from the root on.
func (p Path) Fields() []string { return slices.Clone(p.fields) }

// With returns the path of the field called name of the object at p.
func (p Path) With(name string) Path {
	return Path{fields: append(slices.Clone(p.fields), name)}
}

// String returns the field names separated by dots.
func (p Path) String() string { return strings.Join(p.fields, ".") }

// Node is one value of a document: Object, Array, String, Number, Bool or Null.
type Node interface{ node() }

// Object has named fields.
type Object struct {
	position Place
	names    []string // in byte order
	fields   map[string]Node
}

// NewObject returns an object with a copy of fields.
func NewObject(p Place, fields map[string]Node) Object {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return Object{position: p, names: names, fields: maps.Clone(fields)}
}

// Place returns the position of the start of the object.
func (o Object) Place() Place { return o.position }

// Names returns a copy of the field names, in byte order.
func (o Object) Names() []string { return slices.Clone(o.names) }

// Field returns the value of the field called name, and whether there is one.
func (o Object) Field(name string) (Node, bool) {
	n, ok := o.fields[name]
	return n, ok
}

// Len returns the number of fields.
func (o Object) Len() int { return len(o.names) }

// Array has values in order.
type Array struct {
	position Place
	items    []Node
}

// NewArray returns an array with a copy of items.
func NewArray(p Place, items ...Node) Array { return Array{position: p, items: slices.Clone(items)} }

// Place returns the position of the start of the array.
func (a Array) Place() Place { return a.position }

// Items returns a copy of the values in order.
func (a Array) Items() []Node { return slices.Clone(a.items) }

// Len returns the number of values.
func (a Array) Len() int { return len(a.items) }
