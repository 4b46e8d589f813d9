// Package merge combines the operators' configuration files into one document. It also explains
// which file set a value, and lists the differences between two documents.
//
// Files are merged in byte order of their names. Objects are merged field by field; any other
// value replaces the earlier one; null removes it. An object replaces an earlier value of another
// kind as a whole.
package merge

import (
	"cmp"
	"slices"

	"verbenabank/core/state/tree"
)

// Layer is one configuration file.
type Layer struct {
	name string
	root tree.Object
}

// NewLayer returns the layer of a file with the given name and parsed content.
func NewLayer(name string, root tree.Object) Layer { return Layer{name: name, root: root} }

// Name returns the file name, which decides the order of merging.
func (l Layer) Name() string { return l.name }

// Root returns the parsed content of the file, nulls included.
func (l Layer) Root() tree.Object { return l.root }

// Sorted returns the layers in merge order. Layers of the same name keep their order.
func Sorted(layers []Layer) []Layer {
	return slices.SortedStableFunc(slices.Values(layers), func(a, b Layer) int {
		return cmp.Compare(a.name, b.name)
	})
}

// Merge returns the merged document. Each value in it carries its position in the file that set it,
// and each object its position in the last file in which it occurs. Nulls remain only in arrays.
func Merge(layers ...Layer) tree.Object {
	merged := tree.NewObject(tree.Position{}, nil)
	for _, l := range Sorted(layers) {
		merged = overlay(merged, l.root)
	}
	return stripNulls(merged)
}

// overlay merges upper into lower and keeps nulls, for stripNulls to remove the fields in the end.
func overlay(lower, upper tree.Object) tree.Object {
	fields := make(map[string]tree.Node, lower.Len()+upper.Len())
	for _, name := range lower.Names() {
		fields[name], _ = lower.Field(name)
	}
	for _, name := range upper.Names() {
		value, _ := upper.Field(name)
		lowerObject, isLowerObject := fields[name].(tree.Object)
		upperObject, isUpperObject := value.(tree.Object)
		if isLowerObject && isUpperObject {
			value = overlay(lowerObject, upperObject)
		}
		fields[name] = value
	}
	return tree.NewObject(upper.Position(), fields)
}

// stripNulls removes the fields whose value is null, at any depth. Arrays stay as they are.
func stripNulls(o tree.Object) tree.Object {
	fields := make(map[string]tree.Node, o.Len())
	for _, name := range o.Names() {
		value, _ := o.Field(name)
		switch value := value.(type) {
		case tree.Object:
			fields[name] = stripNulls(value)
		case tree.Array, tree.String, tree.Number, tree.Bool:
			fields[name] = value
		case tree.Null:
		}
	}
	return tree.NewObject(o.Position(), fields)
}
