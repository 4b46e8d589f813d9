package jtree

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"verbenabank/core/state/tree"
)

// Reader reads the fields of one object and collects every fault. A field that
// is absent or wrong reads as the fallback.
type Reader struct {
	faults *[]tree.Fault
	object tree.Object
	path   tree.Path
}

// NewReader returns a reader of the root object, which adds to faults.
func NewReader(object tree.Object, faults *[]tree.Fault) Reader {
	return Reader{faults: faults, object: object}
}

// RejectUnknown refuses every field but those called names.
func (r Reader) RejectUnknown(names ...string) {
	for _, name := range r.object.Names() {
		if !slices.Contains(names, name) {
			r.AddFault(name, "is not a known field; known here: "+strings.Join(names, ", "))
		}
	}
}

// AddFault notes that the field called name is wrong. The text says what must be
// changed. The place is that of the object if the field is absent.
func (r Reader) AddFault(name, text string) {
	place := r.object.Position()
	if n, ok := r.object.Field(name); ok {
		place = tree.PositionOf(n)
	}
	*r.faults = append(*r.faults, tree.NewFault(place, r.path.With(name), text))
}

// AddObjectFault notes that the object itself is wrong.
func (r Reader) AddObjectFault(text string) {
	*r.faults = append(*r.faults, tree.NewFault(r.object.Position(), r.path, text))
}

// Has reports whether there is a field called name.
func (r Reader) Has(name string) bool {
	_, ok := r.object.Field(name)
	return ok
}

// Names returns the names of all fields in byte order.
func (r Reader) Names() []string { return r.object.Names() }

// Object returns a reader of the object called name, which is empty if the
// field is absent or wrong, and whether it is there.
func (r Reader) Object(name string) (Reader, bool) {
	child := Reader{faults: r.faults, object: tree.NewObject(r.object.Position(), nil), path: r.path.With(name)}
	n, ok := r.object.Field(name)
	if !ok {
		return child, false
	}
	object, ok := n.(tree.Object)
	if !ok {
		r.wrong(name, "an object", n)
		return child, false
	}
	child.object = object
	return child, true
}

// Int returns the whole number called name, from least to most.
func (r Reader) Int(name string, least, most, fallback int64) int64 {
	n, ok := r.object.Field(name)
	if !ok {
		return fallback
	}
	number, ok := n.(tree.Number)
	if !ok {
		r.wrong(name, "a number", n)
		return fallback
	}
	value, err := strconv.ParseInt(number.Literal(), 10, 64)
	if err != nil || value < least || value > most {
		r.AddFault(name, fmt.Sprintf("must be a whole number from %d to %d, is %s", least, most, number.Literal()))
		return fallback
	}
	return value
}

// Float returns the number called name, from least to most.
func (r Reader) Float(name string, least, most, fallback float64) float64 {
	n, ok := r.object.Field(name)
	if !ok {
		return fallback
	}
	number, ok := n.(tree.Number)
	if !ok {
		r.wrong(name, "a number", n)
		return fallback
	}
	value, err := strconv.ParseFloat(number.Literal(), 64)
	if err != nil || value < least || value > most {
		r.AddFault(name, fmt.Sprintf("must be from %g to %g, is %s", least, most, number.Literal()))
		return fallback
	}
	return value
}

// String returns the string called name.
func (r Reader) String(name, fallback string) string {
	n, ok := r.object.Field(name)
	if !ok {
		return fallback
	}
	text, ok := n.(tree.String)
	if !ok {
		r.wrong(name, "a string", n)
		return fallback
	}
	return text.Value()
}

// Bool returns the true or false called name.
func (r Reader) Bool(name string, fallback bool) bool {
	n, ok := r.object.Field(name)
	if !ok {
		return fallback
	}
	truth, ok := n.(tree.Bool)
	if !ok {
		r.wrong(name, "true or false", n)
		return fallback
	}
	return truth.Value()
}

// Strings returns the array of strings called name. Its strings are distinct.
func (r Reader) Strings(name string, fallback []string) []string {
	n, ok := r.object.Field(name)
	if !ok {
		return fallback
	}
	array, ok := n.(tree.Array)
	if !ok {
		r.wrong(name, "an array of strings", n)
		return fallback
	}
	values := make([]string, 0, array.Len())
	for i, item := range array.Items() {
		text, ok := item.(tree.String)
		switch {
		case !ok:
			r.AddItemFault(name, i, "must be a string, is "+tree.KindOf(item))
		case slices.Contains(values, text.Value()):
			r.AddItemFault(name, i, fmt.Sprintf("%q stands twice; keep one", text.Value()))
		default:
			values = append(values, text.Value())
		}
	}
	return values
}

// AddItemFault notes that the item at index of the array called name is wrong.
func (r Reader) AddItemFault(name string, index int, text string) {
	n, _ := r.object.Field(name)
	place := r.object.Position()
	if array, ok := n.(tree.Array); ok && index < array.Len() {
		place = tree.PositionOf(array.Items()[index])
	}
	path := r.path.With(name).With(strconv.Itoa(index))
	*r.faults = append(*r.faults, tree.NewFault(place, path, text))
}

func (r Reader) wrong(name, want string, n tree.Node) {
	r.AddFault(name, fmt.Sprintf("must be %s, is %s", want, tree.KindOf(n)))
}
