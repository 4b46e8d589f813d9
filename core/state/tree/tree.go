// Package tree holds JSON documents as immutable trees that record the file and line of each
// value.
package tree

import (
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Position is the position of a value in the configuration files.
type Position struct {
	file string
	line int
}

// NewPosition returns the position at a line of a file, counted from 1.
func NewPosition(file string, line int) Position { return Position{file: file, line: line} }

// File returns the name of the file.
func (p Position) File() string { return p.file }

// Line returns the line, counted from 1.
func (p Position) Line() int { return p.line }

// String returns the position as "file:line".
func (p Position) String() string { return p.file + ":" + strconv.Itoa(p.line) }

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
	position Position
	names    []string // in byte order
	fields   map[string]Node
}

// NewObject returns an object with a copy of fields.
func NewObject(p Position, fields map[string]Node) Object {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return Object{position: p, names: names, fields: maps.Clone(fields)}
}

// Position returns the position of the start of the object.
func (o Object) Position() Position { return o.position }

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
	position Position
	items    []Node
}

// NewArray returns an array with a copy of items.
func NewArray(p Position, items ...Node) Array { return Array{position: p, items: slices.Clone(items)} }

// Position returns the position of the start of the array.
func (a Array) Position() Position { return a.position }

// Items returns a copy of the values in order.
func (a Array) Items() []Node { return slices.Clone(a.items) }

// Len returns the number of values.
func (a Array) Len() int { return len(a.items) }
