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

// origin is what one file contributed to a value.
type origin struct {
	File   string          `json:"file"`
	Line   int             `json:"line"`
	Action string          `json:"did"`
	Value  json.RawMessage `json:"value,omitempty"`
}

// setting is an effective value with the position that set it.
type setting struct {
	Path  string          `json:"path"`
	Value json.RawMessage `json:"value"`
	File  string          `json:"file"`
	Line  int             `json:"line"`
}

// Explain reports which file set the value at path, and which files set it before
// and were overridden. The folder need not be valid.
func Explain(folder, path string) (show.Report, error) {
	layers, err := confd.ReadLayers(folder)
	if err != nil {
		return show.Report{}, err
	}
	at := tree.ParsePath(path)
	if n, ok := merge.Find(merge.Merge(layers...), at); ok {
		return explainSet(at, n, origins(layers, at)), nil
	}
	return explainUnset(layers, at), nil
}

func origins(layers []merge.Layer, path tree.Path) []origin {
	rows := []origin{}
	for _, s := range merge.Explain(layers, path).Contributions() {
		switch s := s.(type) {
		case merge.Set:
			p := tree.PositionOf(s.Value())
			rows = append(rows, origin{p.File(), p.Line(), "set", rawJSON(s.Value())})
		case merge.Merged:
			p := s.Value().Position()
			rows = append(rows, origin{p.File(), p.Line(), "joined", rawJSON(s.Value())})
		case merge.Removed:
			rows = append(rows, origin{File: s.Position().File(), Line: s.Position().Line(), Action: "removed"})
		}
	}
	return rows
}

// explainSet reports on a path that the files set to n.
func explainSet(path tree.Path, n tree.Node, rows []origin) show.Report {
	var settings []setting
	var text strings.Builder
	for _, v := range leaves(path, n) {
		p := tree.PositionOf(v.node)
		settings = append(settings, setting{v.path.String(), rawJSON(v.node), p.File(), p.Line()})
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

// explainUnset reports on a path that no file sets. Its status is Problem if the
// path has no default either, or if the defaults are unknown since the folder is
// not valid.
func explainUnset(layers []merge.Layer, path tree.Path) show.Report {
	rows := origins(layers, path)
	data := struct {
		Path    string          `json:"path"`
		Set     bool            `json:"set"`
		Default json.RawMessage `json:"default,omitempty"`
		Origins []origin        `json:"origins"`
	}{Path: path.String(), Origins: rows}
	var text strings.Builder
	c, err := confd.Check(layers)
	n, ok := merge.Find(withDefaults(c), path)
	if err != nil || !ok {
		fmt.Fprintf(&text, "%s: no file sets it\n", path)
		writeOrigins(&text, rows)
		return show.NewReport(show.Problem, data, text.String())
	}
	data.Default = rawJSON(n)
	for _, v := range leaves(path, n) {
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
		fmt.Fprintf(text, "%s:%d\t%s\t%s\n", r.File, r.Line, r.Action, r.Value)
	}
}
