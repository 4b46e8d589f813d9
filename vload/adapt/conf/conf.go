// Package conf reads and writes the files of the load tool: experiments, layouts and
// settings of targets and daemons, in JSON with comments.
package conf

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/tailscale/hujson"
)

// loadFile decodes the file at path into value. Unknown fields are an error.
func loadFile(path string, value any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fail("read", Unreadable, err)
	}
	plain, err := hujson.Standardize(text)
	if err != nil {
		return fail("read "+path, Invalid, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return fail("read "+path, Invalid, err)
	}
	return nil
}

// saveFile writes value to the file at path as indented JSON.
func saveFile(path string, value any) error {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return fail("encode", Invalid, err)
	}
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return fail("write", Unwritable, err)
	}
	return nil
}
