package folder

import (
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"verbenabank/core/wire/confd"
)

// fingerprint detects changes of a folder by the metadata of its configuration
// files, without reading them.
type fingerprint struct{ files []fileInfo }

type fileInfo struct {
	name string
	info fs.FileInfo // nil if os.Stat fails, as for a broken symbolic link
}

// takeFingerprint returns the current fingerprint of the folder. It follows symbolic
// links. The error is an *Error.
func takeFingerprint(path string) (fingerprint, error) {
	entries, err := os.ReadDir(path)
	if err != nil {
		return fingerprint{}, unreadable(err)
	}
	var fp fingerprint
	for _, e := range entries {
		if !confd.IsConfigFile(e.Name()) {
			continue
		}
		info, err := os.Stat(filepath.Join(path, e.Name()))
		if err != nil {
			info = nil
		}
		fp.files = append(fp.files, fileInfo{name: e.Name(), info: info})
	}
	return fp, nil
}

func (fp fingerprint) equal(other fingerprint) bool {
	return slices.EqualFunc(fp.files, other.files, fileInfo.equal)
}

func (f fileInfo) equal(other fileInfo) bool {
	if f.name != other.name || f.info == nil || other.info == nil {
		return f.name == other.name && f.info == nil && other.info == nil
	}
	return f.info.Size() == other.info.Size() && f.info.ModTime().Equal(other.info.ModTime()) &&
		f.info.Mode() == other.info.Mode() && os.SameFile(f.info, other.info)
}
