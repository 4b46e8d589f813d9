// Package local answers questions about configuration folders.
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

// Check says whether the folder has a valid configuration, and all that is wrong
// with it if not.
func Check(folder string) (show.Report, error) {
	c, err := confd.Read(folder)
	var e *confd.Error
	if errors.As(err, &e) && len(e.Faults()) > 0 {
		return faulty(folder, e.Faults()), nil
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

func faulty(folder string, faults []tree.Fault) show.Report {
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

// effective returns the configuration with every default set.
func effective(c confd.Config) tree.Object {
	document, _ := jtree.Parse("default", confjs.Encode(c.Rules()))
	return document
}

// value is one value of a document with its path.
type value struct {
	path tree.Path
	node tree.Node
}

// values returns the values at and below path that are no objects, save empty
// ones.
func values(path tree.Path, n tree.Node) []value {
	object, ok := n.(tree.Object)
	if !ok || object.Len() == 0 {
		return []value{{path: path, node: n}}
	}
	var all []value
	for _, name := range object.Names() {
		child, _ := object.Field(name)
		all = append(all, values(path.With(name), child)...)
	}
	return all
}

// raw returns n for use in JSON.
func raw(n tree.Node) json.RawMessage { return jtree.Canonical(n) }
