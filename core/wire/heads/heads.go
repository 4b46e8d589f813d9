// Package heads checks the heads of HTTP/1.1 responses as they are received. A parser can't tell afterwards: it trims
// blanks from names, joins lines that start with one to the value before them, and takes some invalid statuses for 200.
package heads

import "bytes"

// Limits of what precedes a response.
const (
	// MaxInterimResponses is how many interim responses (1xx) may precede the final one.
	MaxInterimResponses = 1000
	// finalStatus is the lowest status of a final response.
	finalStatus = 200
	// switchingProtocols is the only status below finalStatus that no other response follows.
	switchingProtocols = 101
)

// Progress tells how far a head, or a trailer, was checked. The zero value is the start of a head.
type Progress struct {
	checked     int
	status      int
	afterStatus bool
	complete    bool
}

// StartOfTrailer returns the start of a trailer, which consists of fields only.
func StartOfTrailer() Progress { return Progress{afterStatus: true} }

// Complete reports whether the head was received and checked completely.
func (p Progress) Complete() bool { return p.complete }

// Length returns the number of bytes in sound lines: those of the head once it is complete.
func (p Progress) Length() int { return p.checked }

// Status returns the status, 0 unless the status line was checked.
func (p Progress) Status() int { return p.status }

// IsInterim reports whether the head is that of an interim response, which another one follows.
func (p Progress) IsInterim() bool {
	return p.complete && p.status > 0 && p.status < finalStatus && p.status != switchingProtocols
}

// Scan continues the check of a head whose first part was received. It returns an *Error for the first line that is
// not sound: a status line without a status code, a field whose name is no token, or a line that doesn't end with
// CRLF. Empty lines before the status line are skipped.
func Scan(received []byte, p Progress) (Progress, error) {
	for !p.complete {
		end := bytes.IndexByte(received[p.checked:], '\n')
		if end < 0 {
			return p, nil
		}
		if err := p.passLine(received[p.checked : p.checked+end]); err != nil {
			return p, err
		}
		p.checked += end + 1
	}
	return p, nil
}

// passLine checks the next line, which is given without its newline.
func (p *Progress) passLine(line []byte) error {
	text, terminated := bytes.CutSuffix(line, []byte("\r"))
	switch {
	case !p.afterStatus && len(text) == 0:
	case !terminated:
		return &Error{op: opCheck, kind: BareNewline}
	case !p.afterStatus:
		return p.passStatusLine(text)
	case len(text) == 0:
		p.complete = true
	case !startsWithName(text):
		return &Error{op: opCheck, kind: OddFieldName}
	}
	return nil
}

func (p *Progress) passStatusLine(text []byte) error {
	status, ok := statusOf(text)
	if !ok {
		return &Error{op: opCheck, kind: OddStatus}
	}
	p.status, p.afterStatus = status, true
	return nil
}

// statusOf returns the status code in a status line, three digits from 100 on, and whether there is one.
func statusOf(line []byte) (int, bool) {
	_, rest, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if len(code) != 3 || code[0] < '1' {
		return 0, false
	}
	status := 0
	for _, c := range code {
		if c < '0' || c > '9' {
			return 0, false
		}
		status = 10*status + int(c-'0')
	}
	return status, true
}
