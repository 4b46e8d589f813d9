// Package tree holds JSON documents as immutable values that know the file and
// line of each of their parts.
package tree

import (
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Position is where a value stands in the operators' files.
type Position struct {
	file string
	line int
}

// NewPosition returns the place at a line of a file, counted from 1.
func NewPosition(file string, line int) Position { return Position{file: file, line: line} }

// File returns the name of the file.
func (p Position) File() string { return p.file }

// Line returns the line, counted from 1.
func (p Position) Line() int { return p.line }

// String returns the place as "file:line".
func (p Position) String() string { return p.file + ":" + strconv.Itoa(p.line) }

// Path names a value by the fields that lead to it from the root.
type Path struct{ fields []string }

// NewPath returns the path through fields.
func NewPath(fields ...string) Path { return Path{fields: slices.Clone(fields)} }

// ParsePath returns the path written as field names with dots between them. The
// empty string is the root.
func ParsePath(text string) Path {
	if text == "" {
		return Path{}
	}
	return Path{fields: strings.Split(text, ".")}
}

// Fields returns the field names from the root.
func (p Path) Fields() []string { return slices.Clone(p.fields) }

// With returns the path of the field called name below p.
func (p Path) With(name string) Path {
	return Path{fields: append(slices.Clone(p.fields), name)}
}

// String returns the field names with dots between them.
func (p Path) String() string { return strings.Join(p.fields, ".") }

// Node is one value of a document: Object, Array, Text, Number, Truth or Null.
type Node interface{ node() }

// Object has named fields.
type Object struct {
	place  Position
	names  []string // in byte order
	fields map[string]Node
}

// NewObject returns an object with a copy of fields.
func NewObject(p Position, fields map[string]Node) Object {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return Object{place: p, names: names, fields: maps.Clone(fields)}
}

// Position returns where the object begins.
func (o Object) Position() Position { return o.place }

// Names returns the names of the fields in byte order.
func (o Object) Names() []string { return slices.Clone(o.names) }

// Field returns the value of the field called name.
func (o Object) Field(name string) (Node, bool) {
	n, ok := o.fields[name]
	return n, ok
}

// Len returns the count of fields.
func (o Object) Len() int { return len(o.names) }

// Array has values in order.
type Array struct {
	place Position
	items []Node
}

// NewArray returns an array with a copy of items.
func NewArray(p Position, items ...Node) Array { return Array{place: p, items: slices.Clone(items)} }

// Position returns where the array begins.
func (a Array) Position() Position { return a.place }

// Items returns the values in order.
func (a Array) Items() []Node { return slices.Clone(a.items) }

// Len returns the count of values.
func (a Array) Len() int { return len(a.items) }
