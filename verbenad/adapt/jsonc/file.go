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

// worldReadable is the permission of everyone on the machine to read.
const worldReadable fs.FileMode = 0o004

// path returns the path in the field, relative to the settings file.
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

// file checks that the field names a regular file and returns its path.
func (l loader) file(r jtree.Reader, field string) (string, fs.FileInfo) {
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

// private returns the path and the content of the file that the field names,
// without line ends at its end. Others must not be able to read the file.
func (l loader) private(r jtree.Reader, field string, least int) (string, []byte) {
	path, info := l.file(r, field)
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
	if len(data) < least {
		r.AddFault(field, fmt.Sprintf("%s has %d bytes and must have at least %d", path, len(data), least))
	}
	return path, data
}

func (l loader) secret() []byte {
	_, secret := l.private(l.Reader, "secret_file", minSecretBytes)
	if len(secret) > maxSecretBytes {
		l.AddFault("secret_file", fmt.Sprintf("must have at most %d bytes", maxSecretBytes))
	}
	return secret
}
