package target

import (
	"bufio"
	"bytes"
)

// peekStatus waits for the status line of a response without reading it, and reports whether its status is a status code
// of three digits from 100 on. The parser takes 000 for 200. Empty lines before the status line are skipped, as the parser
// does.
func peekStatus(r *bufio.Reader) bool {
	for {
		received, _ := r.Peek(r.Buffered())
		text := bytes.TrimLeft(received, "\r\n")
		if line, _, complete := bytes.Cut(text, []byte("\n")); complete {
			return validStatusLine(line)
		}
		if _, err := r.Peek(len(received) + 1); err != nil {
			return false
		}
	}
}

// validStatusLine reports whether a status line has a status code.
func validStatusLine(line []byte) bool {
	_, rest, _ := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), []byte(" "))
	code, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	return len(code) == 3 && code[0] >= '1' && isDigit(code[0]) && isDigit(code[1]) && isDigit(code[2])
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }
