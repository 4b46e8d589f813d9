// Package confd reads configuration folders: the operators' files, merged and
// checked.
package confd

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/ansel1/merry/v2"

	"verbenabank/core/query/merge"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/tree"
	"verbenabank/core/wire/confjs"
	"verbenabank/core/wire/jtree"
)

// MaxFiles is the largest count of files in one folder.
const MaxFiles = 1000

// Config is the checked configuration of one folder. It is immutable.
type Config struct {
	document tree.Object
	rules    rules.Rules
	content  []byte
}

// Document returns the merged document, whose places name the files.
func (c Config) Document() tree.Object { return c.document }

// Rules returns the configuration with its version and digest.
func (c Config) Rules() rules.Rules { return c.rules }

// Content returns the merged document as canonical JSON. Callers must not
// change it.
func (c Config) Content() []byte { return c.content }

// IsConfigFile reports whether a file called name is part of a configuration: its
// name ends in .json or .jsonc and does not begin with a dot.
func IsConfigFile(name string) bool {
	ending := filepath.Ext(name)
	return !strings.HasPrefix(name, ".") && (ending == ".json" || ending == ".jsonc")
}

// ReadLayers returns the files of the folder that belong to its configuration. An
// *Error has every fault.
func ReadLayers(folder string) ([]merge.Layer, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, &Error{op: OpRead, kind: KindUnreadable, cause: merry.Wrap(err)}
	}
	var layers []merge.Layer
	var faults []tree.Fault
	for _, e := range entries {
		if !IsConfigFile(e.Name()) {
			continue
		}
		layer, found := read(filepath.Join(folder, e.Name()))
		layers = append(layers, layer)
		faults = append(faults, found...)
	}
	switch {
	case len(layers) == 0:
		return nil, &Error{op: OpRead, kind: KindEmpty, cause: merry.Errorf("%s has no .json or .jsonc file", folder)}
	case len(layers) > MaxFiles:
		return nil, &Error{op: OpRead, kind: KindInvalid, cause: merry.Errorf("%s has more than %d files", folder, MaxFiles)}
	case len(faults) > 0:
		return nil, &Error{op: OpRead, kind: KindInvalid, faults: faults}
	}
	return layers, nil
}

func read(path string) (merge.Layer, []tree.Fault) {
	data, err := os.ReadFile(path)
	if err != nil {
		var e *fs.PathError
		if errors.As(err, &e) {
			err = e.Err
		}
		fault := tree.NewFault(tree.NewPosition(path, 1), tree.Path{}, fmt.Sprintf("cannot be read: %v", err))
		return merge.Layer{}, []tree.Fault{fault}
	}
	root, faults := jtree.Parse(path, data)
	return merge.NewLayer(path, root), faults
}

// Check returns the checked merge of the layers. An *Error has every fault.
func Check(layers []merge.Layer) (Config, error) {
	document := merge.Merge(layers...)
	r, err := confjs.Check(document)
	if err != nil {
		e := &Error{op: OpCheck, kind: KindInvalid, cause: err}
		var checked *confjs.Error
		if errors.As(err, &checked) {
			e.faults, e.cause = checked.Faults(), nil
		}
		return Config{}, e
	}
	return Config{document: document, rules: r, content: jtree.Canonical(document)}, nil
}

// Read returns the checked configuration of the folder. An *Error has every
// fault.
func Read(folder string) (Config, error) {
	layers, err := ReadLayers(folder)
	if err != nil {
		return Config{}, err
	}
	return Check(layers)
}
