package route

import "strings"

// segment returns the decoded segment of the path at index, counted from 1, or "" if
// there is none or it is malformed.
func segment(path string, index int) string {
	path = strings.TrimPrefix(path, "/")
	for ; index > 1; index-- {
		_, rest, ok := strings.Cut(path, "/")
		if !ok {
			return ""
		}
		path = rest
	}
	s, _, _ := strings.Cut(path, "/")
	return decode(s)
}

// ambiguous reports whether a target may resolve the path to another key than
// this package does: it has empty or dot segments before its end.
func ambiguous(path string) bool {
	path = strings.TrimPrefix(path, "/")
	for {
		s, rest, more := strings.Cut(path, "/")
		switch d := decode(s); {
		case d == "." || d == "..", d == "" && more:
			return true
		case !more:
			return false
		}
		path = rest
	}
}

// decode replaces percent escapes. It returns "" if one is malformed.
func decode(s string) string {
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
		high, low := digit(s[i+1]), digit(s[i+2])
		if high < 0 || low < 0 {
			return ""
		}
		b.WriteByte(byte(high<<4 | low))
		i += 2
	}
	return b.String()
}

// digit returns the value of a hexadecimal digit, -1 if c is none.
func digit(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c|0x20 && c|0x20 <= 'f':
		return int(c|0x20-'a') + 10
	default:
		return -1
	}
}
