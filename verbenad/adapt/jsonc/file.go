package jsonc

import (
	"bytes"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"verbenabank/core/wire/jtree"
)

const (
	minSecretBytes = 16
	maxSecretBytes = 4096
)

// worldReadable is the read permission of users who neither own the file nor are in its group.
const worldReadable fs.FileMode = 0o004

// path returns the path in a field; a relative path is joined to the folder of the
// settings file. It returns "" after a fault.
func (l loader) path(r jtree.Reader, field string) string {
	path := r.String(field, "")
	if path == "" {
		r.AddFault(field, "must be a path")
		return ""
	}
	if filepath.IsAbs(path) {
		return filepath.Clean(path)
	}
	return filepath.Join(l.folder, path)
}

// regularFile checks that a field names a regular file and returns its path and
// metadata. The path is "" after a fault.
func (l loader) regularFile(r jtree.Reader, field string) (string, fs.FileInfo) {
	path := l.path(r, field)
	if path == "" {
		return "", nil
	}
	info, err := os.Stat(path)
	if err != nil {
		r.AddFault(field, fmt.Sprintf("names a file that cannot be read: %v", err))
		return "", nil
	}
	if !info.Mode().IsRegular() {
		r.AddFault(field, "must name a regular file, and "+path+" is none")
		return "", nil
	}
	return path, info
}

// privateFile returns the path and the content, without trailing line breaks, of the
// file that a field names. World-readable files and those with less than minBytes
// bytes of content are faults.
func (l loader) privateFile(r jtree.Reader, field string, minBytes int) (string, []byte) {
	path, info := l.regularFile(r, field)
	if path == "" {
		return "", nil
	}
	if info.Mode()&worldReadable != 0 {
		r.AddFault(field, "everyone on the machine can read "+path+"; run chmod o= on it")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		r.AddFault(field, fmt.Sprintf("names a file that cannot be read: %v", err))
		return "", nil
	}
	data = bytes.TrimRight(data, "\r\n")
	if len(data) < minBytes {
		r.AddFault(field, fmt.Sprintf("%s has %d bytes and must have at least %d", path, len(data), minBytes))
	}
	return path, data
}

func (l loader) secret() []byte {
	_, secret := l.privateFile(l.Reader, "secret_file", minSecretBytes)
	if len(secret) > maxSecretBytes {
		l.AddFault("secret_file", fmt.Sprintf("must have at most %d bytes", maxSecretBytes))
	}
	return secret
}
