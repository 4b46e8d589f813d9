package merge

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenabank/core/state/tree"
	"verbenabank/core/wire/jtree"
)

func layer(t testing.TB, name, text string) Layer {
	t.Helper()
	root, faults := jtree.Parse(name, []byte(text))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return NewLayer(name, root)
}

func canonical(o tree.Object) string { return string(jtree.Canonical(o)) }

func TestMergesInOrderOfNames(t *testing.T) {
	is := is.New(t)
	merged := Merge(
		layer(t, "20.json", "{\"a\": {\"y\": 3,\n \"z\": [1]}, \"b\": null}"),
		layer(t, "10.json", `{"a": {"x": 1, "y": 2, "z": [2, 3]}, "b": {"c": 1}}`),
		layer(t, "30.json", `{"d": {"e": null}, "a": {"w": {"k": 1}}}`),
	)
	is.Equal(canonical(merged), `{"a":{"w":{"k":1},"x":1,"y":3,"z":[1]},"d":{}}`)
	a, _ := merged.Field("a")
	z, _ := a.(tree.Object).Field("z")
	is.Equal(tree.PositionOf(z).String(), "20.json:2")
	x, _ := a.(tree.Object).Field("x")
	is.Equal(tree.PositionOf(x).String(), "10.json:1")
}

func TestObjectReplacesOtherKindsAsAWhole(t *testing.T) {
	is := is.New(t)
	is.Equal(canonical(Merge(
		layer(t, "1", `{"a": {"x": 1}}`), layer(t, "2", `{"a": null}`), layer(t, "3", `{"a": {"y": 2}}`),
	)), `{"a":{"y":2}}`)
	is.Equal(canonical(Merge(layer(t, "1", `{"a": 5}`), layer(t, "2", `{"a": {"y": null}}`))), `{"a":{}}`)
}

func TestExplainsEachContribution(t *testing.T) {
	layers := []Layer{
		layer(t, "1", `{"a": {"x": 1}}`), layer(t, "2", `{"a": {"x": 2}}`), layer(t, "3", `{"b": 1}`),
		layer(t, "4", `{"a": null}`), layer(t, "5", `{"a": {"x": 3}}`),
	}
	show := func(path string) string {
		text := ""
		for _, s := range Explain(layers, tree.ParsePath(path)).Contributions() {
			switch s := s.(type) {
			case Set:
				text += fmt.Sprintf("%s=%s ", tree.PositionOf(s.Value()).File(), jtree.Canonical(s.Value()))
			case Merged:
				text += fmt.Sprintf("%s+%s ", s.Value().Position().File(), jtree.Canonical(s.Value()))
			case Removed:
				text += s.Position().File() + "- "
			}
		}
		return text
	}
	is := is.New(t)
	is.Equal(show("a.x"), "1=1 2=2 4- 5=3 ")
	is.Equal(show("a"), `1={"x":1} 2+{"x":2} 4- 5={"x":3} `)
	is.Equal(show("b.c"), "")
}

func TestDiffNamesEachChange(t *testing.T) {
	is := is.New(t)
	changes := Diff(
		layer(t, "old", `{"a": {"x": 1, "y": 2}, "b": [1]}`).Root(),
		layer(t, "new", `{"a": {"x": 1.0, "z": 3}, "b": [2]}`).Root(),
	)
	is.Equal(len(changes), 3)
	is.Equal(changes[0].(Dropped).Path().String(), "a.y")
	is.Equal(changes[1].(Added).Path().String(), "a.z")
	is.Equal(changes[2].(Altered).Path().String(), "b")
}

// drawDocument generates objects in which a name always has the same kind of value, so that no
// value replaces one of another kind.
func drawDocument(t *rapid.T, depth int) tree.Object {
	fields := map[string]tree.Node{}
	for _, name := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"p", "q", "r"}), rapid.ID).Draw(t, "values") {
		number := tree.NewNumber(tree.Position{}, fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "number")))
		fields[name] = rapid.SampledFrom([]tree.Node{number, tree.NewNull(tree.Position{})}).Draw(t, "value")
	}
	for _, name := range []string{"m", "n"} {
		if depth > 0 && rapid.Bool().Draw(t, "nested") {
			fields[name] = drawDocument(t, depth-1)
		}
	}
	return tree.NewObject(tree.Position{}, fields)
}

// TestMergeIsAssociative guards against a result that depends on how files are grouped.
func TestMergeIsAssociative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawDocument(t, 2), drawDocument(t, 2), drawDocument(t, 2)
		left := overlay(overlay(a, b), c)
		right := overlay(a, overlay(b, c))
		if !Equal(left, right) {
			t.Fatalf("merged from the left %s, from the right %s", canonical(left), canonical(right))
		}
	})
}

// splitFields distributes the fields of o at random over count objects.
func splitFields(t *rapid.T, o tree.Object, count int) []tree.Object {
	parts := make([]map[string]tree.Node, count)
	for i := range parts {
		parts[i] = map[string]tree.Node{}
	}
	for _, name := range o.Names() {
		value, _ := o.Field(name)
		if child, ok := value.(tree.Object); ok {
			for i, piece := range splitFields(t, child, count) {
				parts[i][name] = piece
			}
			continue
		}
		parts[rapid.IntRange(0, count-1).Draw(t, "part")][name] = value
	}
	var objects []tree.Object
	for _, p := range parts {
		objects = append(objects, tree.NewObject(tree.Position{}, p))
	}
	return objects
}

// TestDigestDoesNotDependOnTheSplit checks that a document has the same canonical form, however
// its fields are split into files.
func TestDigestDoesNotDependOnTheSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := stripNulls(drawDocument(t, 3))
		var layers []Layer
		for i, part := range splitFields(t, whole, rapid.IntRange(1, 4).Draw(t, "files")) {
			layers = append(layers, NewLayer(fmt.Sprint(i), part))
		}
		want, got := canonical(whole), canonical(Merge(rapid.Permutation(layers).Draw(t, "order")...))
		if want != got {
			t.Fatalf("want %s, got %s", want, got)
		}
	})
}

// FuzzMerge checks that merging the last file again changes nothing, and that Diff reports changes
// exactly if the canonical forms differ.
func FuzzMerge(f *testing.F) {
	f.Add(`{"a": {"b": 1, "c": null}}`, `{"a": {"b": null, "c": {"d": null}}}`)
	f.Add(`{"a": [null, {"x": null}]}`, `{"a": {"": "é\n"}}`)
	f.Fuzz(func(t *testing.T, first, second string) {
		a, faultsA := jtree.Parse("1", []byte(first))
		b, faultsB := jtree.Parse("2", []byte(second))
		if len(faultsA)+len(faultsB) > 0 {
			return
		}
		merged := Merge(NewLayer("1", a), NewLayer("2", b))
		if again := Merge(NewLayer("1", merged), NewLayer("2", b)); !Equal(merged, again) {
			t.Errorf("merging the last file again turns %s into %s", canonical(merged), canonical(again))
		}
		changed := len(Diff(stripNulls(a), merged)) > 0
		if changed != (canonical(stripNulls(a)) != canonical(merged)) {
			t.Errorf("Diff reports changes: %v, for %s and %s", changed, canonical(stripNulls(a)), canonical(merged))
		}
	})
}
