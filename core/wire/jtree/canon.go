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

// Canonical returns n as JSON with sorted names, shortest numbers and no
// whitespace, so that equal documents give equal bytes.
func Canonical(n tree.Node) []byte {
	var b bytes.Buffer
	write(&b, n)
	return b.Bytes()
}

// Digest returns the SHA-256 of content in lower-case hexadecimal.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

func write(b *bytes.Buffer, n tree.Node) {
	switch n := n.(type) {
	case tree.Object:
		writeObject(b, n)
	case tree.Array:
		b.WriteByte('[')
		for i, item := range n.Items() {
			if i > 0 {
				b.WriteByte(',')
			}
			write(b, item)
		}
		b.WriteByte(']')
	case tree.String:
		writeText(b, n.Value())
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
		writeText(b, name)
		b.WriteByte(':')
		value, _ := o.Field(name)
		write(b, value)
	}
	b.WriteByte('}')
}

// writeText writes s as a JSON string. Encoding a string cannot fail.
func writeText(b *bytes.Buffer, s string) {
	if strings.IndexFunc(s, special) < 0 {
		b.WriteByte('"')
		b.WriteString(s)
		b.WriteByte('"')
		return
	}
	text, _ := json.Marshal(s)
	b.Write(text)
}

// special reports whether r may have an escaped form in JSON.
func special(r rune) bool {
	return r < ' ' || r > '~' || strings.ContainsRune(`"\<>&`, r)
}

// shortest returns the shortest form of the JSON number in text, or false if it
// is out of range.
func shortest(text string) (string, bool) {
	if n, err := strconv.ParseInt(text, 10, 64); err == nil {
		return strconv.FormatInt(n, 10), true
	}
	if n, err := strconv.ParseUint(text, 10, 64); err == nil {
		return strconv.FormatUint(n, 10), true
	}
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return "0", false
	}
	const exact = 1 << 53
	if f == math.Trunc(f) && math.Abs(f) <= exact {
		return strconv.FormatInt(int64(f), 10), true
	}
	return strconv.FormatFloat(f, 'g', -1, 64), true
}
