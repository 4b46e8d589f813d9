package merge

import (
	"slices"

	"verbenabank/core/state/tree"
)

// Change is a difference between two documents: Added, Dropped or Altered.
type Change interface{ change() }

// Added means that only the later document has the path.
type Added struct {
	path  tree.Path
	value tree.Node
}

// Path returns the path of the added value.
func (a Added) Path() tree.Path { return a.path }

// Value returns the value in the later document.
func (a Added) Value() tree.Node { return a.value }

// Dropped means that only the earlier document has the path.
type Dropped struct {
	path  tree.Path
	value tree.Node
}

// Path returns the path of the dropped value.
func (d Dropped) Path() tree.Path { return d.path }

// Value returns the value in the earlier document.
func (d Dropped) Value() tree.Node { return d.value }

// Altered means that the documents have different values at the path.
type Altered struct {
	path tree.Path
	from tree.Node
	to   tree.Node
}

// Path returns the path of the values.
func (a Altered) Path() tree.Path { return a.path }

// From returns the value in the earlier document.
func (a Altered) From() tree.Node { return a.from }

// To returns the value in the later document.
func (a Altered) To() tree.Node { return a.to }

func (Added) change()   {}
func (Dropped) change() {}
func (Altered) change() {}

// Diff returns the changes that turn one document into another, in byte order of the field names.
// Arrays are compared as a whole.
func Diff(from, to tree.Object) []Change { return diff(tree.Path{}, from, to) }

func diff(path tree.Path, from, to tree.Object) []Change {
	var changes []Change
	names := append(from.Names(), to.Names()...)
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		at := path.With(name)
		earlier, had := from.Field(name)
		later, has := to.Field(name)
		switch {
		case !had:
			changes = append(changes, Added{path: at, value: later})
		case !has:
			changes = append(changes, Dropped{path: at, value: earlier})
		default:
			changes = append(changes, compare(at, earlier, later)...)
		}
	}
	return changes
}

func compare(path tree.Path, from, to tree.Node) []Change {
	earlier, isEarlierObject := from.(tree.Object)
	later, isLaterObject := to.(tree.Object)
	if isEarlierObject && isLaterObject {
		return diff(path, earlier, later)
	}
	if Equal(from, to) {
		return nil
	}
	return []Change{Altered{path: path, from: from, to: to}}
}

// Equal reports whether a and b have the same value, regardless of their positions. Numbers are
// compared by their shortest JSON form.
func Equal(a, b tree.Node) bool {
	switch a := a.(type) {
	case tree.Object:
		b, ok := b.(tree.Object)
		return ok && len(diff(tree.Path{}, a, b)) == 0
	case tree.Array:
		b, ok := b.(tree.Array)
		return ok && slices.EqualFunc(a.Items(), b.Items(), Equal)
	case tree.String:
		b, ok := b.(tree.String)
		return ok && a.Value() == b.Value()
	case tree.Number:
		b, ok := b.(tree.Number)
		return ok && a.Literal() == b.Literal()
	case tree.Bool:
		b, ok := b.(tree.Bool)
		return ok && a.Value() == b.Value()
	case tree.Null:
		_, ok := b.(tree.Null)
		return ok
	}
	return b == nil
}
