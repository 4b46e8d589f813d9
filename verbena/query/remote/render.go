package remote

import (
	"fmt"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// timestampField is the field whose value is a Unix time in milliseconds.
const timestampField = "unix_ms"

// render formats JSON as text with tab-separated columns: an object as one line
// for each field, an array of objects as a table.
func render(v hujson.Value) string {
	var b strings.Builder
	switch t := v.Value.(type) {
	case *hujson.Object:
		renderObject(&b, "", t)
	case *hujson.Array:
		renderArray(&b, "", "", t)
	default:
		fmt.Fprintln(&b, formatScalar("", v))
	}
	return b.String()
}

func renderObject(b *strings.Builder, indent string, o *hujson.Object) {
	for _, m := range o.Members {
		name := formatScalar("", m.Name)
		switch t := m.Value.Value.(type) {
		case *hujson.Object:
			fmt.Fprintf(b, "%s%s:\n", indent, name)
			renderObject(b, indent+"  ", t)
		case *hujson.Array:
			renderArray(b, indent, name, t)
		default:
			fmt.Fprintf(b, "%s%s\t%s\n", indent, name, formatScalar(name, m.Value))
		}
	}
}

func renderArray(b *strings.Builder, indent, name string, a *hujson.Array) {
	columns := columnNames(a)
	if columns == nil {
		texts := make([]string, 0, len(a.Elements))
		for _, e := range a.Elements {
			texts = append(texts, formatScalar("", e))
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

// columnNames returns the names of all fields of the objects in a, in the order of
// their first use. It returns nil if a is empty or has an element that is no object.
func columnNames(a *hujson.Array) []string {
	var columns []string
	seen := map[string]bool{}
	for _, e := range a.Elements {
		o, ok := e.Value.(*hujson.Object)
		if !ok {
			return nil
		}
		for _, m := range o.Members {
			if name := formatScalar("", m.Name); !seen[name] {
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
		if formatScalar("", m.Name) == column {
			return formatScalar(column, m.Value)
		}
	}
	return "-"
}

// formatScalar returns a value on one line. Control characters become blanks, so
// that a value from the network cannot send escape sequences to the terminal.
func formatScalar(name string, v hujson.Value) string {
	l, ok := v.Value.(hujson.Literal)
	if !ok {
		v.Minimize()
		return v.String()
	}
	if name == timestampField && l.Kind() == '0' {
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
