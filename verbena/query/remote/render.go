package remote

import (
	"fmt"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// unixField is the field that has an instant in milliseconds since 1970.
const unixField = "unix_ms"

// render returns JSON as text in which tabs separate columns. Objects become
// lines of name and value, arrays of objects become tables.
func render(v hujson.Value) string {
	var b strings.Builder
	switch t := v.Value.(type) {
	case *hujson.Object:
		renderObject(&b, "", t)
	case *hujson.Array:
		renderArray(&b, "", "", t)
	default:
		fmt.Fprintln(&b, scalar("", v))
	}
	return b.String()
}

func renderObject(b *strings.Builder, indent string, o *hujson.Object) {
	for _, m := range o.Members {
		name := scalar("", m.Name)
		switch t := m.Value.Value.(type) {
		case *hujson.Object:
			fmt.Fprintf(b, "%s%s:\n", indent, name)
			renderObject(b, indent+"  ", t)
		case *hujson.Array:
			renderArray(b, indent, name, t)
		default:
			fmt.Fprintf(b, "%s%s\t%s\n", indent, name, scalar(name, m.Value))
		}
	}
}

func renderArray(b *strings.Builder, indent, name string, a *hujson.Array) {
	columns := columnsOf(a)
	if columns == nil {
		texts := make([]string, 0, len(a.Elements))
		for _, e := range a.Elements {
			texts = append(texts, scalar("", e))
		}
		if len(texts) == 0 {
			texts = []string{"none"}
		}
		fmt.Fprintf(b, "%s%s\t%s\n", indent, name, strings.Join(texts, ", "))
		return
	}
	if name != "" {
		fmt.Fprintf(b, "\n%s%s:\n", indent, name)
	}
	fmt.Fprintf(b, "%s%s\n", indent, strings.Join(columns, "\t"))
	for _, e := range a.Elements {
		cells := make([]string, len(columns))
		for i, c := range columns {
			cells[i] = cell(e, c)
		}
		fmt.Fprintf(b, "%s%s\n", indent, strings.Join(cells, "\t"))
	}
}

// columnsOf returns the names of the fields of the objects in a, or nil if it
// has other values or none.
func columnsOf(a *hujson.Array) []string {
	var columns []string
	seen := map[string]bool{}
	for _, e := range a.Elements {
		o, ok := e.Value.(*hujson.Object)
		if !ok {
			return nil
		}
		for _, m := range o.Members {
			if name := scalar("", m.Name); !seen[name] {
				seen[name] = true
				columns = append(columns, name)
			}
		}
	}
	return columns
}

func cell(v hujson.Value, column string) string {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		return ""
	}
	for _, m := range o.Members {
		if scalar("", m.Name) == column {
			return scalar(column, m.Value)
		}
	}
	return "-"
}

// scalar returns a value on one line, without the control characters in it.
func scalar(name string, v hujson.Value) string {
	l, ok := v.Value.(hujson.Literal)
	if !ok {
		v.Minimize()
		return v.String()
	}
	if name == unixField && l.Kind() == '0' {
		return time.UnixMilli(l.Int()).UTC().Format(time.RFC3339Nano)
	}
	text := strings.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, l.String())
	if text == "" {
		return "-"
	}
	return text
}
