package local

import (
	"encoding/json"
	"fmt"
	"strings"

	"verbenabank/core/query/merge"
	"verbenabank/core/state/tree"
	"verbenabank/core/wire/confd"
	"verbenabank/core/wire/confjs"
	"verbenabank/core/wire/jtree"
	"verbenabank/verbena/query/show"
)

// Diff says how the configuration of one folder differs from that of another.
// Both must be valid.
func Diff(from, to string) (show.Report, error) {
	earlier, err := confd.Read(from)
	if err != nil {
		return show.Report{}, err
	}
	later, err := confd.Read(to)
	if err != nil {
		return show.Report{}, err
	}
	return differences(merge.Diff(earlier.Document(), later.Document())), nil
}

// DiffInForce says how the configuration of the folder differs from the one in
// force, which is given with every default set.
func DiffInForce(content []byte, folder string) (show.Report, error) {
	r, err := confjs.Decode("in force", content)
	if err != nil {
		return show.Report{}, err
	}
	later, err := confd.Read(folder)
	if err != nil {
		return show.Report{}, err
	}
	earlier, _ := jtree.Parse("in force", confjs.Encode(r))
	return differences(merge.Diff(earlier, effective(later))), nil
}

// difference is one row of a comparison.
type difference struct {
	Path string          `json:"path"`
	From json.RawMessage `json:"from,omitempty"`
	To   json.RawMessage `json:"to,omitempty"`
}

func differences(changes []merge.Change) show.Report {
	rows := []difference{}
	var text strings.Builder
	for _, c := range changes {
		switch c := c.(type) {
		case merge.Added:
			rows = append(rows, difference{Path: c.Path().String(), To: raw(c.Value())})
			fmt.Fprintf(&text, "+ %s\t%s\t%s\n", c.Path(), jtree.Canonical(c.Value()), tree.PositionOf(c.Value()))
		case merge.Dropped:
			rows = append(rows, difference{Path: c.Path().String(), From: raw(c.Value())})
			fmt.Fprintf(&text, "- %s\t%s\t%s\n", c.Path(), jtree.Canonical(c.Value()), tree.PositionOf(c.Value()))
		case merge.Altered:
			rows = append(rows, difference{Path: c.Path().String(), From: raw(c.From()), To: raw(c.To())})
			fmt.Fprintf(&text, "~ %s\t%s -> %s\t%s -> %s\n", c.Path(),
				jtree.Canonical(c.From()), jtree.Canonical(c.To()), tree.PositionOf(c.From()), tree.PositionOf(c.To()))
		}
	}
	data := struct {
		Differences []difference `json:"differences"`
	}{rows}
	if len(rows) == 0 {
		return show.NewReport(show.OK, data, "no difference\n")
	}
	return show.NewReport(show.Problem, data, text.String())
}
