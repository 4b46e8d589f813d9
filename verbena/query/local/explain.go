package local

import (
	"encoding/json"
	"fmt"
	"strings"

	"verbenabank/core/query/merge"
	"verbenabank/core/state/tree"
	"verbenabank/core/wire/confd"
	"verbenabank/core/wire/jtree"
	"verbenabank/verbena/query/show"
)

// origin is one row of an explanation.
type origin struct {
	File  string          `json:"file"`
	Line  int             `json:"line"`
	Did   string          `json:"did"`
	Value json.RawMessage `json:"value,omitempty"`
}

// setting is one value in force with the place that set it.
type setting struct {
	Path  string          `json:"path"`
	Value json.RawMessage `json:"value"`
	File  string          `json:"file"`
	Line  int             `json:"line"`
}

// Explain says which file set the value at path, and which files said something
// else before. The folder need not be valid.
func Explain(folder, path string) (show.Report, error) {
	layers, err := confd.ReadLayers(folder)
	if err != nil {
		return show.Report{}, err
	}
	at := tree.ParsePath(path)
	if n, ok := merge.Find(merge.Merge(layers...), at); ok {
		return inForce(at, n, origins(layers, at)), nil
	}
	return absent(layers, at), nil
}

func origins(layers []merge.Layer, path tree.Path) []origin {
	rows := []origin{}
	for _, s := range merge.Explain(layers, path).Contributions() {
		switch s := s.(type) {
		case merge.Set:
			p := tree.PositionOf(s.Value())
			rows = append(rows, origin{p.File(), p.Line(), "set", raw(s.Value())})
		case merge.Merged:
			p := s.Value().Position()
			rows = append(rows, origin{p.File(), p.Line(), "joined", raw(s.Value())})
		case merge.Removed:
			rows = append(rows, origin{File: s.Place().File(), Line: s.Place().Line(), Did: "removed"})
		}
	}
	return rows
}

// inForce explains a path that has the value n.
func inForce(path tree.Path, n tree.Node, rows []origin) show.Report {
	var settings []setting
	var text strings.Builder
	for _, v := range values(path, n) {
		p := tree.PositionOf(v.node)
		settings = append(settings, setting{v.path.String(), raw(v.node), p.File(), p.Line()})
		fmt.Fprintf(&text, "%s\t= %s\t%s\n", v.path, jtree.Canonical(v.node), p)
	}
	writeOrigins(&text, rows)
	data := struct {
		Path    string    `json:"path"`
		Set     bool      `json:"set"`
		Values  []setting `json:"values"`
		Origins []origin  `json:"origins"`
	}{path.String(), true, settings, rows}
	return show.NewReport(show.OK, data, text.String())
}

// absent explains a path that no file sets: it has a default or does not exist.
func absent(layers []merge.Layer, path tree.Path) show.Report {
	rows := origins(layers, path)
	data := struct {
		Path    string          `json:"path"`
		Set     bool            `json:"set"`
		Default json.RawMessage `json:"default,omitempty"`
		Origins []origin        `json:"origins"`
	}{Path: path.String(), Origins: rows}
	var text strings.Builder
	c, err := confd.Check(layers)
	n, ok := merge.Find(effective(c), path)
	if err != nil || !ok {
		fmt.Fprintf(&text, "%s: no file sets it\n", path)
		writeOrigins(&text, rows)
		return show.NewReport(show.Problem, data, text.String())
	}
	data.Default = raw(n)
	for _, v := range values(path, n) {
		fmt.Fprintf(&text, "%s\t= %s\tdefault\n", v.path, jtree.Canonical(v.node))
	}
	writeOrigins(&text, rows)
	return show.NewReport(show.OK, data, text.String())
}

func writeOrigins(text *strings.Builder, rows []origin) {
	if len(rows) == 0 {
		return
	}
	fmt.Fprintln(text, "\nfrom the first file to the last:")
	for _, r := range rows {
		fmt.Fprintf(text, "%s:%d\t%s\t%s\n", r.File, r.Line, r.Did, r.Value)
	}
}
