package merge

import "verbenabank/core/state/tree"

// Contribution is the effect of one file on a path: Set, Merged or Removed.
type Contribution interface{ contribution() }

// Set means that a file assigned a value to the path, which replaced any earlier one.
type Set struct{ value tree.Node }

// Value returns the value, which carries its position in the file.
func (s Set) Value() tree.Node { return s.value }

// Merged means that a file merged fields into the object at the path.
type Merged struct{ value tree.Object }

// Value returns the fields from that file, which carry their positions in it.
func (m Merged) Value() tree.Object { return m.value }

// Removed means that a file removed the path, either by null or by replacing an enclosing object.
type Removed struct{ position tree.Position }

// Position returns the position of the value that removed the path.
func (r Removed) Position() tree.Position { return r.position }

func (Set) contribution()     {}
func (Merged) contribution()  {}
func (Removed) contribution() {}

// Explanation is the history of a path through all files.
type Explanation struct {
	path          tree.Path
	contributions []Contribution
}

// Path returns the explained path.
func (e Explanation) Path() tree.Path { return e.path }

// Contributions returns the effect of each file that concerns the path in merge order, so the one in
// force is last. There are none if no file names the path.
func (e Explanation) Contributions() []Contribution {
	return append([]Contribution(nil), e.contributions...)
}

// Explain returns which files set, merged into or removed the path.
func Explain(layers []Layer, path tree.Path) Explanation {
	e := Explanation{path: path}
	var value tree.Node
	merged := tree.NewObject(tree.Position{}, nil)
	for _, l := range Sorted(layers) {
		merged = overlay(merged, l.root)
		before := value
		value, _ = find(stripNulls(merged), path)
		if c, ok := contributionOf(l.root, path, before, value); ok {
			e.contributions = append(e.contributions, c)
		}
	}
	return e
}

// contributionOf returns the effect of the file with the given root on path, which had the value
// before ahead of that file and after behind it. It reports false if there is none.
func contributionOf(root tree.Object, path tree.Path, before, after tree.Node) (Contribution, bool) {
	value, at := find(root, path)
	if value == nil {
		return Removed{position: at}, before != nil && after == nil
	}
	if _, ok := value.(tree.Null); ok {
		return Removed{position: tree.PositionOf(value)}, true
	}
	object, isObject := value.(tree.Object)
	_, wasObject := before.(tree.Object)
	if isObject && wasObject {
		return Merged{value: object}, true
	}
	return Set{value: value}, true
}

// Find returns the value at path below root, and whether there is one.
func Find(root tree.Object, path tree.Path) (tree.Node, bool) {
	n, _ := find(root, path)
	return n, n != nil
}

// find returns the value at path below root and its position. If there is none, it returns nil and
// the position of the innermost existing value on the path.
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
