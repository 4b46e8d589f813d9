package jtree

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestCanonicalForm(t *testing.T) {
	is := is.New(t)
	object, faults := Parse("a", []byte("// comment\n{\"b\": 1e3, \"a\": [true, -0, 1.50, \"\\u0041<\",], }"))
	is.Equal(len(faults), 0)
	is.Equal(string(Canonical(object)), `{"a":[true,0,1.5,"A\u003c"],"b":1000}`)
}

func TestParseFaults(t *testing.T) {
	for text, want := range map[string]string{
		"":                           "f:1: column 1: ",
		"[]":                         "f:1: must be an object",
		"{\"a\": 1,\n\"a\": 2}":      "f:2: a: stands twice in this object (first in line 1)",
		"{\"a\": {\"b\":\n1e999}}":   "f:2: a.b: is a number out of range",
		"{\"a\":\n tru}":             "f:2: column ",
		"{\"a\": \"\xff\"}":          "f:1: must be valid UTF-8",
		strings.Repeat("[", 1000):    "f:1: must be nested at most",
		strings.Repeat(" ", 2*1<<20): "f:1: must be at most",
	} {
		_, faults := Parse("f", []byte(text))
		if len(faults) != 1 || !strings.HasPrefix(faults[0].String(), want) {
			t.Errorf("got %v, want %q", faults, want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"a": [1, 2.5, {"b": null}], /* c */ "d": "\ud800"}`))
	f.Add([]byte(`{"n": 123456789012345678901234567890, "m": 1e-400, "k": 18446744073709551615}`))
	f.Add([]byte("\xef\xbb\xbf{}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		object, faults := Parse("f", data)
		if len(faults) > 0 {
			return
		}
		content := Canonical(object)
		again, faults := Parse("f", content)
		if len(faults) > 0 || string(Canonical(again)) != string(content) {
			t.Errorf("%q changes to %q when parsed again (faults %v)", content, Canonical(again), faults)
		}
	})
}
