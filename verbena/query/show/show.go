// Package show writes the answers to operators' questions as text or JSON.
package show

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Status is the exit status of the program.
type Status int

// The exit statuses.
const (
	OK      Status = 0
	Problem Status = 1 // a problem or a difference was found
	Usage   Status = 2 // the program was called wrongly
)

// Form is how a report is written: Text or JSON.
type Form interface{ form() }

// Text is for people.
type Text struct{}

// JSON is for scripts.
type JSON struct{}

func (Text) form() {}
func (JSON) form() {}

// Report is the answer to one question.
type Report struct {
	status Status
	data   any
	text   string
}

// NewReport returns an answer with data for JSON and text for people. In the
// text, tabs separate columns.
func NewReport(status Status, data any, text string) Report {
	return Report{status: status, data: data, text: text}
}

// Status returns the exit status that fits the answer.
func (r Report) Status() Status { return r.status }

// Write writes r to out.
func Write(out io.Writer, form Form, r Report) error {
	switch form.(type) {
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
