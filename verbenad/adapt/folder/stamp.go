package folder

import (
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"verbenabank/core/wire/confd"
)

// stamp tells apart states of a folder without reading its files.
type stamp struct{ files []file }

type file struct {
	name string
	info fs.FileInfo // nil if the file cannot be looked at
}

// look returns the present stamp of the folder.
func look(path string) (stamp, error) {
	entries, err := os.ReadDir(path)
	if err != nil {
		return stamp{}, gone(err)
	}
	var s stamp
	for _, e := range entries {
		if !confd.IsConfigFile(e.Name()) {
			continue
		}
		info, err := os.Stat(filepath.Join(path, e.Name()))
		if err != nil {
			info = nil
		}
		s.files = append(s.files, file{name: e.Name(), info: info})
	}
	return s, nil
}

func (s stamp) equal(other stamp) bool { return slices.EqualFunc(s.files, other.files, file.equal) }

func (f file) equal(other file) bool {
	if f.name != other.name || f.info == nil || other.info == nil {
		return f.name == other.name && f.info == nil && other.info == nil
	}
	return f.info.Size() == other.info.Size() && f.info.ModTime().Equal(other.info.ModTime()) &&
		f.info.Mode() == other.info.Mode() && os.SameFile(f.info, other.info)
}
