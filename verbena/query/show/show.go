// Package show writes reports as text or JSON.
package show

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Status is the exit status of the process.
type Status int

// Exit statuses, which scripts of operators rely on.
const (
	OK      Status = 0
	Problem Status = 1 // a problem or a difference was found, or the query failed
	Usage   Status = 2 // invalid command line
)

// Format is the output format of a report: Text or JSON.
type Format interface{ format() }

// Text writes aligned columns for people.
type Text struct{}

// JSON writes indented JSON for scripts.
type JSON struct{}

func (Text) format() {}
func (JSON) format() {}

// Report is the result of a query.
type Report struct {
	status Status
	data   any
	text   string
}

// NewReport returns a report with data to be encoded as JSON, and the same content
// as text with tab-separated columns.
func NewReport(status Status, data any, text string) Report {
	return Report{status: status, data: data, text: text}
}

// Status returns the exit status for the report.
func (r Report) Status() Status { return r.status }

// Write writes r to out in the given format.
func Write(out io.Writer, format Format, r Report) error {
	switch format.(type) {
	case Text:
		return writeText(out, r.text)
	case JSON:
		e := json.NewEncoder(out)
		e.SetEscapeHTML(false)
		e.SetIndent("", "  ")
		return e.Encode(r.data)
	}
	return nil
}

func writeText(out io.Writer, text string) error {
	const padding = 2
	w := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	for line := range strings.Lines(text) {
		if _, err := fmt.Fprint(w, line); err != nil {
			return err
		}
	}
	return w.Flush()
}
