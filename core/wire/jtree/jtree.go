// Package jtree parses JSON with comments (JWCC) to trees that record the file and line of each
// value, and encodes such trees as canonical JSON.
package jtree

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"

	"verbenabank/core/state/tree"
)

// Limits of one document.
const (
	MaxBytes = 1 << 20 // size in bytes
	MaxDepth = 32      // levels of nested objects and arrays
)

// Parse returns the JSON object in data, with the name file in the positions of its values.
// Comments and trailing commas are allowed. Parse returns all faults that it finds; the object is
// valid only if there are none.
func Parse(file string, data []byte) (tree.Object, []tree.Fault) {
	p := parser{file: file}
	if len(data) > MaxBytes {
		return tree.Object{}, p.documentFault(fmt.Sprintf("must be at most %d bytes", MaxBytes))
	}
	if !utf8.Valid(data) {
		return tree.Object{}, p.documentFault("must be valid UTF-8")
	}
	if nestingDepth(data) > MaxDepth {
		return tree.Object{}, p.documentFault(fmt.Sprintf("must be nested at most %d deep", MaxDepth))
	}
	v, err := hujson.Parse(data)
	if err != nil {
		return tree.Object{}, p.syntaxFault(err)
	}
	p.lineEnds = lineEndOffsets(data)
	object, ok := p.node(v).(tree.Object)
	if !ok {
		p.addFault(v, "must be an object: { ... }")
	}
	return object, p.faults
}

// nestingDepth returns an upper bound of the nesting depth of data, before it is parsed.
func nestingDepth(data []byte) int {
	level, deepest, inString := 0, 0, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case c == '\\' && inString:
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			level++
			deepest = max(deepest, level)
		case c == '}' || c == ']':
			level--
		}
	}
	return deepest
}

// lineEndOffsets returns the offsets of the line feeds in data.
func lineEndOffsets(data []byte) []int {
	var ends []int
	for i, c := range data {
		if c == '\n' {
			ends = append(ends, i)
		}
	}
	return ends
}

type parser struct {
	file     string
	lineEnds []int
	path     []string // path of the current value
	faults   []tree.Fault
}

func (p *parser) documentFault(message string) []tree.Fault {
	return []tree.Fault{tree.NewFault(tree.NewPosition(p.file, 1), tree.Path{}, message)}
}

func (p *parser) syntaxFault(err error) []tree.Fault {
	message := strings.TrimPrefix(err.Error(), "hujson: ")
	line, column := 1, 1
	if n, _ := fmt.Sscanf(message, "line %d, column %d:", &line, &column); n == 2 {
		message = strings.TrimPrefix(message, fmt.Sprintf("line %d, column %d: ", line, column))
		message = fmt.Sprintf("column %d: %s", column, message)
	}
	return []tree.Fault{tree.NewFault(tree.NewPosition(p.file, line), tree.Path{}, message)}
}

func (p *parser) position(v hujson.Value) tree.Position {
	line, _ := slices.BinarySearch(p.lineEnds, v.StartOffset)
	return tree.NewPosition(p.file, 1+line)
}

func (p *parser) addFault(v hujson.Value, message string) {
	p.faults = append(p.faults, tree.NewFault(p.position(v), tree.NewPath(p.path...), message))
}

// childNode returns the node for v, which is the field or item called name of the current value.
func (p *parser) childNode(name string, v hujson.Value) tree.Node {
	p.path = append(p.path, name)
	n := p.node(v)
	p.path = p.path[:len(p.path)-1]
	return n
}

func (p *parser) node(v hujson.Value) tree.Node {
	switch t := v.Value.(type) {
	case *hujson.Object:
		return p.object(v, t)
	case *hujson.Array:
		items := make([]tree.Node, 0, len(t.Elements))
		for i, e := range t.Elements {
			items = append(items, p.childNode(strconv.Itoa(i), e))
		}
		return tree.NewArray(p.position(v), items...)
	case hujson.Literal:
		return p.literal(v, t)
	}
	return tree.NewNull(p.position(v))
}

func (p *parser) object(v hujson.Value, o *hujson.Object) tree.Object {
	fields := make(map[string]tree.Node, len(o.Members))
	for _, m := range o.Members {
		name := unquote(m.Name.Value.(hujson.Literal))
		if earlier, ok := fields[name]; ok {
			p.addDuplicateFault(name, m.Name, earlier)
			continue
		}
		fields[name] = p.childNode(name, m.Value)
	}
	return tree.NewObject(p.position(v), fields)
}

func (p *parser) addDuplicateFault(name string, v hujson.Value, earlier tree.Node) {
	p.path = append(p.path, name)
	p.addFault(v, fmt.Sprintf("stands twice in this object (first in line %d); keep one", tree.PositionOf(earlier).Line()))
	p.path = p.path[:len(p.path)-1]
}

func (p *parser) literal(v hujson.Value, l hujson.Literal) tree.Node {
	position := p.position(v)
	switch l.Kind() {
	case '"':
		return tree.NewString(position, unquote(l))
	case 't', 'f':
		return tree.NewBool(position, l.Bool())
	case '0':
		number, ok := shortestNumber(string(l))
		if !ok {
			p.addFault(v, "is a number out of range")
		}
		return tree.NewNumber(position, number)
	}
	return tree.NewNull(position)
}

// unquote returns the value of the string literal l.
func unquote(l hujson.Literal) string {
	if bytes.IndexByte(l, '\\') < 0 {
		return string(l[1 : len(l)-1])
	}
	return l.String()
}
