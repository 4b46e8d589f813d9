package heads

import "strings"

// tokenMarks are the characters of a token that are neither letters nor digits.
const tokenMarks = "!#$%&'*+-.^_`|~"

// inToken tells which bytes may be part of a token.
var inToken = tokenBytes()

func tokenBytes() (set [256]bool) {
	for c := range set {
		b := byte(c)
		letter := 'a' <= b|0x20 && b|0x20 <= 'z'
		digit := '0' <= b && b <= '9'
		set[c] = letter || digit || strings.IndexByte(tokenMarks, b) >= 0
	}
	return set
}

// IsToken reports whether the name of a field is a token in the sense of RFC 9110.
func IsToken[T string | []byte](name T) bool {
	for i := range len(name) {
		if !inToken[name[i]] {
			return false
		}
	}
	return len(name) > 0
}

// startsWithName reports whether a line starts with a token and a colon.
func startsWithName(line []byte) bool {
	for i, c := range line {
		if !inToken[c] {
			return c == ':' && i > 0
		}
	}
	return false
}
