// Package local inspects configuration folders and log files.
package local

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"verbenabank/core/state/tree"
	"verbenabank/core/wire/confd"
	"verbenabank/core/wire/confjs"
	"verbenabank/core/wire/jtree"
	"verbenabank/verbena/query/show"
)

// Check validates the configuration in folder and reports all its faults. A folder
// that cannot be read is an error.
func Check(folder string) (show.Report, error) {
	c, err := confd.Read(folder)
	var e *confd.Error
	if errors.As(err, &e) && len(e.Faults()) > 0 {
		return invalidReport(folder, e.Faults()), nil
	}
	if err != nil {
		return show.Report{}, err
	}
	r := c.Rules()
	data := struct {
		Folder   string   `json:"folder"`
		Valid    bool     `json:"valid"`
		Version  uint64   `json:"version"`
		Digest   string   `json:"digest"`
		Services []string `json:"services"`
	}{folder, true, r.Version(), r.Digest(), r.ServiceNames()}
	text := fmt.Sprintf("%s: valid\nversion\t%d\ndigest\t%s\nservices\t%s\n",
		folder, r.Version(), r.Digest(), strings.Join(r.ServiceNames(), ", "))
	return show.NewReport(show.OK, data, text), nil
}

func invalidReport(folder string, faults []tree.Fault) show.Report {
	type row struct {
		File string `json:"file"`
		Line int    `json:"line"`
		Path string `json:"path"`
		Text string `json:"text"`
	}
	data := struct {
		Folder string `json:"folder"`
		Valid  bool   `json:"valid"`
		Faults []row  `json:"faults"`
	}{Folder: folder}
	var text strings.Builder
	for _, f := range faults {
		data.Faults = append(data.Faults, row{f.Position().File(), f.Position().Line(), f.Path().String(), f.Message()})
		fmt.Fprintln(&text, f)
	}
	fmt.Fprintf(&text, "%s: not valid, faults: %d\n", folder, len(faults))
	return show.NewReport(show.Problem, data, text.String())
}

// withDefaults returns the configuration with every default filled in.
func withDefaults(c confd.Config) tree.Object {
	document, _ := jtree.Parse("default", confjs.Encode(c.Rules()))
	return document
}

// leaf is a value of a document with its path.
type leaf struct {
	path tree.Path
	node tree.Node
}

// leaves returns the values at and below path other than objects, and the empty
// objects.
func leaves(path tree.Path, n tree.Node) []leaf {
	object, ok := n.(tree.Object)
	if !ok || object.Len() == 0 {
		return []leaf{{path: path, node: n}}
	}
	var all []leaf
	for _, name := range object.Names() {
		child, _ := object.Field(name)
		all = append(all, leaves(path.With(name), child)...)
	}
	return all
}

// rawJSON returns the canonical JSON of n.
func rawJSON(n tree.Node) json.RawMessage { return jtree.Canonical(n) }
