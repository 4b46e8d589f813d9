package route

import "strings"

// pathSegment returns the segment of the path at index, counted from 1, without percent escapes.
// It returns "" if there is no such segment or an escape in it is malformed.
func pathSegment(path string, index int) string {
	path = strings.TrimPrefix(path, "/")
	for ; index > 1; index-- {
		_, rest, ok := strings.Cut(path, "/")
		if !ok {
			return ""
		}
		path = rest
	}
	s, _, _ := strings.Cut(path, "/")
	return unescape(s)
}

// ambiguousPath reports whether a target might normalize the path and so derive another key than
// this package: the path has an empty or malformed segment before its end, or a "." or ".."
// segment.
func ambiguousPath(path string) bool {
	path = strings.TrimPrefix(path, "/")
	for {
		s, rest, more := strings.Cut(path, "/")
		switch text := unescape(s); {
		case text == "." || text == "..", text == "" && more:
			return true
		case !more:
			return false
		}
		path = rest
	}
}

// unescape decodes percent escapes. It returns "" if one is malformed.
func unescape(s string) string {
	if !strings.Contains(s, "%") {
		return s
	}
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		if s[i] != '%' {
			b.WriteByte(s[i])
			continue
		}
		if i+2 >= len(s) {
			return ""
		}
		high, low := hexDigit(s[i+1]), hexDigit(s[i+2])
		if high < 0 || low < 0 {
			return ""
		}
		b.WriteByte(byte(high<<4 | low))
		i += 2
	}
	return b.String()
}

// hexDigit returns the value of a hexadecimal digit, or -1 if c is not one.
func hexDigit(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c|0x20 && c|0x20 <= 'f':
		return int(c|0x20-'a') + 10
	default:
		return -1
	}
}
