// Package jtree turns JSON with comments into documents that know their files
// and lines, and documents into canonical JSON.
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
	MaxBytes = 1 << 20
	MaxDepth = 32
)

// Parse returns the JSON object in data, whose places name file. Comments and
// trailing commas are allowed. It returns every fault that it finds; the object
// is to be used only if there is none.
func Parse(file string, data []byte) (tree.Object, []tree.Fault) {
	p := parser{file: file}
	if len(data) > MaxBytes {
		return tree.Object{}, p.whole(fmt.Sprintf("must be at most %d bytes", MaxBytes))
	}
	if !utf8.Valid(data) {
		return tree.Object{}, p.whole("must be valid UTF-8")
	}
	if depth(data) > MaxDepth {
		return tree.Object{}, p.whole(fmt.Sprintf("must be nested at most %d deep", MaxDepth))
	}
	v, err := hujson.Parse(data)
	if err != nil {
		return tree.Object{}, p.syntax(err)
	}
	p.ends = lineEnds(data)
	object, ok := p.node(v).(tree.Object)
	if !ok {
		p.fault(v, "must be an object: { ... }")
	}
	return object, p.faults
}

// depth returns an upper bound of the nesting of data.
func depth(data []byte) int {
	open, most, text := 0, 0, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case c == '\\' && text:
			i++
		case c == '"':
			text = !text
		case text:
		case c == '{' || c == '[':
			open++
			most = max(most, open)
		case c == '}' || c == ']':
			open--
		}
	}
	return most
}

// lineEnds returns the offset of each line end in data.
func lineEnds(data []byte) []int {
	var ends []int
	for i, c := range data {
		if c == '\n' {
			ends = append(ends, i)
		}
	}
	return ends
}

type parser struct {
	file   string
	ends   []int
	path   []string // of the value that is being read
	faults []tree.Fault
}

func (p *parser) whole(text string) []tree.Fault {
	return []tree.Fault{tree.NewFault(tree.NewPosition(p.file, 1), tree.Path{}, text)}
}

func (p *parser) syntax(err error) []tree.Fault {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	line, column := 1, 1
	if n, _ := fmt.Sscanf(text, "line %d, column %d:", &line, &column); n == 2 {
		text = strings.TrimPrefix(text, fmt.Sprintf("line %d, column %d: ", line, column))
		text = fmt.Sprintf("column %d: %s", column, text)
	}
	return []tree.Fault{tree.NewFault(tree.NewPosition(p.file, line), tree.Path{}, text)}
}

func (p *parser) place(v hujson.Value) tree.Position {
	line, _ := slices.BinarySearch(p.ends, v.StartOffset)
	return tree.NewPosition(p.file, 1+line)
}

func (p *parser) fault(v hujson.Value, text string) {
	p.faults = append(p.faults, tree.NewFault(p.place(v), tree.NewPath(p.path...), text))
}

// below returns the node of the value called name in the present one.
func (p *parser) below(name string, v hujson.Value) tree.Node {
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
			items = append(items, p.below(strconv.Itoa(i), e))
		}
		return tree.NewArray(p.place(v), items...)
	case hujson.Literal:
		return p.literal(v, t)
	}
	return tree.NewNull(p.place(v))
}

func (p *parser) object(v hujson.Value, o *hujson.Object) tree.Object {
	fields := make(map[string]tree.Node, len(o.Members))
	for _, m := range o.Members {
		name := unquote(m.Name.Value.(hujson.Literal))
		if earlier, ok := fields[name]; ok {
			p.twice(name, m.Name, earlier)
			continue
		}
		fields[name] = p.below(name, m.Value)
	}
	return tree.NewObject(p.place(v), fields)
}

func (p *parser) twice(name string, v hujson.Value, earlier tree.Node) {
	p.path = append(p.path, name)
	p.fault(v, fmt.Sprintf("stands twice in this object (first in line %d); keep one", tree.PositionOf(earlier).Line()))
	p.path = p.path[:len(p.path)-1]
}

func (p *parser) literal(v hujson.Value, l hujson.Literal) tree.Node {
	place := p.place(v)
	switch l.Kind() {
	case '"':
		return tree.NewString(place, unquote(l))
	case 't', 'f':
		return tree.NewBool(place, l.Bool())
	case '0':
		form, ok := shortest(string(l))
		if !ok {
			p.fault(v, "is a number out of range")
		}
		return tree.NewNumber(place, form)
	}
	return tree.NewNull(place)
}

// unquote returns the string that l encodes.
func unquote(l hujson.Literal) string {
	if bytes.IndexByte(l, '\\') < 0 {
		return string(l[1 : len(l)-1])
	}
	return l.String()
}
