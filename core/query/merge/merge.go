// Package merge decides what the operators' files mean together: the merged
// document, who set each value, and how two documents differ.
//
// Files are merged in byte order of their names. Objects merge field by field;
// any other value replaces the earlier one; null removes it. An object that
// meets a value of another kind replaces it as a whole.
package merge

import (
	"cmp"
	"slices"

	"verbenabank/core/state/tree"
)

// Layer is one file of the operators.
type Layer struct {
	name string
	root tree.Object
}

// NewLayer returns the file called name with the given content.
func NewLayer(name string, root tree.Object) Layer { return Layer{name: name, root: root} }

// Name returns the name of the file.
func (l Layer) Name() string { return l.name }

// Root returns the content of the file.
func (l Layer) Root() tree.Object { return l.root }

// Sorted returns the layers in the order in which they are merged.
func Sorted(layers []Layer) []Layer {
	return slices.SortedStableFunc(slices.Values(layers), func(a, b Layer) int {
		return cmp.Compare(a.name, b.name)
	})
}

// Merge returns the document that the layers mean together. Each value in it
// has the place of the file that set it, each object that of the last file that
// touched it. There is no null in it, save in arrays.
func Merge(layers ...Layer) tree.Object {
	merged := tree.NewObject(tree.Position{}, nil)
	for _, l := range Sorted(layers) {
		merged = overlay(merged, l.root)
	}
	return strip(merged)
}

// overlay puts upper over lower and keeps the nulls.
func overlay(lower, upper tree.Object) tree.Object {
	fields := make(map[string]tree.Node, lower.Len()+upper.Len())
	for _, name := range lower.Names() {
		fields[name], _ = lower.Field(name)
	}
	for _, name := range upper.Names() {
		value, _ := upper.Field(name)
		below, hasBelow := fields[name].(tree.Object)
		above, hasAbove := value.(tree.Object)
		if hasBelow && hasAbove {
			value = overlay(below, above)
		}
		fields[name] = value
	}
	return tree.NewObject(upper.Position(), fields)
}

// strip removes the fields whose value is null.
func strip(o tree.Object) tree.Object {
	fields := make(map[string]tree.Node, o.Len())
	for _, name := range o.Names() {
		value, _ := o.Field(name)
		switch value := value.(type) {
		case tree.Object:
			fields[name] = strip(value)
		case tree.Array, tree.String, tree.Number, tree.Bool:
			fields[name] = value
		case tree.Null:
		}
	}
	return tree.NewObject(o.Position(), fields)
}
