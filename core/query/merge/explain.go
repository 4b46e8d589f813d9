package merge

import "verbenabank/core/state/tree"

// Setting is one file's say on a path: Set, Joined or Removed.
type Setting interface{ setting() }

// Set says that a file gave the path a value, which replaced any earlier one.
type Set struct{ value tree.Node }

// Value returns the value, which knows its place.
func (s Set) Value() tree.Node { return s.value }

// Merged says that a file added fields to the object at the path.
type Merged struct{ value tree.Object }

// Value returns the fields of that file, which know their places.
func (j Merged) Value() tree.Object { return j.value }

// Removed says that a file removed the path: by null, or since it replaced an
// object around it.
type Removed struct{ place tree.Position }

// Place returns where the path was removed.
func (r Removed) Place() tree.Position { return r.place }

func (Set) setting()     {}
func (Merged) setting()  {}
func (Removed) setting() {}

// Explanation is who set a path and what was set before, from the first file to
// the last. It is empty if no file names the path.
type Explanation struct {
	path     tree.Path
	settings []Setting
}

// Path returns the path that is explained.
func (e Explanation) Path() tree.Path { return e.path }

// Contributions returns what each file said, the one in force last.
func (e Explanation) Contributions() []Setting { return append([]Setting(nil), e.settings...) }

// Explain returns which files set, joined or removed the path.
func Explain(layers []Layer, path tree.Path) Explanation {
	e := Explanation{path: path}
	var value tree.Node
	below := tree.NewObject(tree.Position{}, nil)
	for _, l := range Sorted(layers) {
		below = overlay(below, l.root)
		before := value
		value, _ = find(strip(below), path)
		if s, ok := say(l.root, path, before, value); ok {
			e.settings = append(e.settings, s)
		}
	}
	return e
}

// say returns what the file with the given root said on path, which had one
// value before the file and another after it.
func say(root tree.Object, path tree.Path, before, after tree.Node) (Setting, bool) {
	named, at := find(root, path)
	if named == nil {
		return Removed{place: at}, before != nil && after == nil
	}
	if _, ok := named.(tree.Null); ok {
		return Removed{place: tree.PositionOf(named)}, true
	}
	own, ownObject := named.(tree.Object)
	_, wasObject := before.(tree.Object)
	if ownObject && wasObject {
		return Merged{value: own}, true
	}
	return Set{value: named}, true
}

// Find returns the value at path below root.
func Find(root tree.Object, path tree.Path) (tree.Node, bool) {
	n, _ := find(root, path)
	return n, n != nil
}

// find returns the value at path below root, or nil and the place of the
// innermost value on the way to it.
func find(root tree.Object, path tree.Path) (tree.Node, tree.Position) {
	var n tree.Node = root
	for _, name := range path.Fields() {
		object, ok := n.(tree.Object)
		if !ok {
			return nil, tree.PositionOf(n)
		}
		if n, ok = object.Field(name); !ok {
			return nil, object.Position()
		}
	}
	return n, tree.PositionOf(n)
}
