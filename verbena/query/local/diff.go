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

// Diff compares the configurations of two folders as written, without defaults.
// It fails unless both are valid.
func Diff(from, to string) (show.Report, error) {
	earlier, err := confd.Read(from)
	if err != nil {
		return show.Report{}, err
	}
	later, err := confd.Read(to)
	if err != nil {
		return show.Report{}, err
	}
	return diffReport(merge.Diff(earlier.Document(), later.Document())), nil
}

// DiffInForce compares the configuration in force, given as JSON, with that of the
// folder. Both are compared with every default filled in, since the one in force
// arrives that way.
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
	return diffReport(merge.Diff(earlier, withDefaults(later))), nil
}

// diffRow is a changed value. From is absent for an added one, To for a removed one.
type diffRow struct {
	Path string          `json:"path"`
	From json.RawMessage `json:"from,omitempty"`
	To   json.RawMessage `json:"to,omitempty"`
}

func diffReport(changes []merge.Change) show.Report {
	rows := []diffRow{}
	var text strings.Builder
	for _, c := range changes {
		switch c := c.(type) {
		case merge.Added:
			rows = append(rows, diffRow{Path: c.Path().String(), To: rawJSON(c.Value())})
			fmt.Fprintf(&text, "+ %s\t%s\t%s\n", c.Path(), jtree.Canonical(c.Value()), tree.PositionOf(c.Value()))
		case merge.Dropped:
			rows = append(rows, diffRow{Path: c.Path().String(), From: rawJSON(c.Value())})
			fmt.Fprintf(&text, "- %s\t%s\t%s\n", c.Path(), jtree.Canonical(c.Value()), tree.PositionOf(c.Value()))
		case merge.Altered:
			rows = append(rows, diffRow{Path: c.Path().String(), From: rawJSON(c.From()), To: rawJSON(c.To())})
			fmt.Fprintf(&text, "~ %s\t%s -> %s\t%s -> %s\n", c.Path(),
				jtree.Canonical(c.From()), jtree.Canonical(c.To()), tree.PositionOf(c.From()), tree.PositionOf(c.To()))
		}
	}
	data := struct {
		Differences []diffRow `json:"differences"`
	}{rows}
	if len(rows) == 0 {
		return show.NewReport(show.OK, data, "no difference\n")
	}
	return show.NewReport(show.Problem, data, text.String())
}
