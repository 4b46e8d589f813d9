package jtree

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math"
	"strconv"
	"strings"

	"verbenabank/core/state/tree"
)

// Canonical returns n as JSON with field names in byte order, numbers in their shortest form and no
// whitespace, so that equal documents have equal encodings.
func Canonical(n tree.Node) []byte {
	var b bytes.Buffer
	writeNode(&b, n)
	return b.Bytes()
}

// Digest returns the SHA-256 of content in lower-case hexadecimal.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

func writeNode(b *bytes.Buffer, n tree.Node) {
	switch n := n.(type) {
	case tree.Object:
		writeObject(b, n)
	case tree.Array:
		b.WriteByte('[')
		for i, item := range n.Items() {
			if i > 0 {
				b.WriteByte(',')
			}
			writeNode(b, item)
		}
		b.WriteByte(']')
	case tree.String:
		writeString(b, n.Value())
	case tree.Number:
		b.WriteString(n.Literal())
	case tree.Bool:
		b.WriteString(strconv.FormatBool(n.Value()))
	case tree.Null:
		b.WriteString("null")
	}
}

func writeObject(b *bytes.Buffer, o tree.Object) {
	b.WriteByte('{')
	for i, name := range o.Names() {
		if i > 0 {
			b.WriteByte(',')
		}
		writeString(b, name)
		b.WriteByte(':')
		value, _ := o.Field(name)
		writeNode(b, value)
	}
	b.WriteByte('}')
}

// writeString writes s as a JSON string. Marshal does not fail for a string.
func writeString(b *bytes.Buffer, s string) {
	if strings.IndexFunc(s, mayNeedEscape) < 0 {
		b.WriteByte('"')
		b.WriteString(s)
		b.WriteByte('"')
		return
	}
	text, _ := json.Marshal(s)
	b.Write(text)
}

// mayNeedEscape reports whether json.Marshal may escape r. Strings without such characters are
// written without calling it.
func mayNeedEscape(r rune) bool {
	return r < ' ' || r > '~' || strings.ContainsRune(`"\<>&`, r)
}

// shortestNumber returns the shortest form of a JSON number, and false if the number is out of the
// range of float64.
func shortestNumber(literal string) (string, bool) {
	if n, err := strconv.ParseInt(literal, 10, 64); err == nil {
		return strconv.FormatInt(n, 10), true
	}
	if n, err := strconv.ParseUint(literal, 10, 64); err == nil {
		return strconv.FormatUint(n, 10), true
	}
	f, err := strconv.ParseFloat(literal, 64)
	if err != nil {
		return "0", false
	}
	const maxExactInt = 1 << 53 // integers up to here are exact in a float64
	if f == math.Trunc(f) && math.Abs(f) <= maxExactInt {
		return strconv.FormatInt(int64(f), 10), true
	}
	return strconv.FormatFloat(f, 'g', -1, 64), true
}
