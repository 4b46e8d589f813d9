package jtree

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"verbenabank/core/state/tree"
)

// Reader reads the fields of one object and collects all faults. For a field that is absent or
// invalid, its methods return the fallback.
type Reader struct {
	faults *[]tree.Fault
	object tree.Object
	path   tree.Path
}

// NewReader returns a reader of the root object. It appends to faults, as do the readers that it
// returns for nested objects.
func NewReader(object tree.Object, faults *[]tree.Fault) Reader {
	return Reader{faults: faults, object: object}
}

// RejectUnknown adds a fault for each field with a name that is not in names.
func (r Reader) RejectUnknown(names ...string) {
	for _, name := range r.object.Names() {
		if !slices.Contains(names, name) {
			r.AddFault(name, "is not a known field; known here: "+strings.Join(names, ", "))
		}
	}
}

// AddFault adds a fault of the field called name. The message says what must be changed. The position
// is that of the object if the field is absent.
func (r Reader) AddFault(name, message string) {
	position := r.object.Position()
	if n, ok := r.object.Field(name); ok {
		position = tree.PositionOf(n)
	}
	*r.faults = append(*r.faults, tree.NewFault(position, r.path.With(name), message))
}

// AddObjectFault adds a fault of the object as a whole.
func (r Reader) AddObjectFault(message string) {
	*r.faults = append(*r.faults, tree.NewFault(r.object.Position(), r.path, message))
}

// Has reports whether there is a field called name.
func (r Reader) Has(name string) bool {
	_, ok := r.object.Field(name)
	return ok
}

// Names returns the names of the fields in byte order.
func (r Reader) Names() []string { return r.object.Names() }

// Object returns a reader of the object called name, and whether the field is an object. If it is
// not, the reader is that of an empty object.
func (r Reader) Object(name string) (Reader, bool) {
	child := Reader{faults: r.faults, object: tree.NewObject(r.object.Position(), nil), path: r.path.With(name)}
	n, ok := r.object.Field(name)
	if !ok {
		return child, false
	}
	object, ok := n.(tree.Object)
	if !ok {
		r.addTypeFault(name, "an object", n)
		return child, false
	}
	child.object = object
	return child, true
}

// Int returns the integer called name. One that is not from lower to upper is a fault.
func (r Reader) Int(name string, lower, upper, fallback int64) int64 {
	n, ok := r.object.Field(name)
	if !ok {
		return fallback
	}
	number, ok := n.(tree.Number)
	if !ok {
		r.addTypeFault(name, "a number", n)
		return fallback
	}
	value, ok := wholeNumber(number.Literal())
	if !ok || value < lower || value > upper {
		r.AddFault(name, fmt.Sprintf("must be a whole number from %d to %d, is %s", lower, upper, number.Literal()))
		return fallback
	}
	return value
}

// wholeNumber parses a number without a fraction, which may be written with one of 0 or an exponent.
func wholeNumber(literal string) (int64, bool) {
	if value, err := strconv.ParseInt(literal, 10, 64); err == nil {
		return value, true
	}
	value, err := strconv.ParseFloat(literal, 64)
	if err != nil || value != math.Trunc(value) || math.Abs(value) > maxExactInt {
		return 0, false
	}
	return int64(value), true
}

// maxExactInt is the largest integer up to which a float64 holds every integer exactly.
const maxExactInt = 1 << 53

// Float returns the number called name. One that is not from lower to upper is a fault.
func (r Reader) Float(name string, lower, upper, fallback float64) float64 {
	n, ok := r.object.Field(name)
	if !ok {
		return fallback
	}
	number, ok := n.(tree.Number)
	if !ok {
		r.addTypeFault(name, "a number", n)
		return fallback
	}
	value, err := strconv.ParseFloat(number.Literal(), 64)
	if err != nil || value < lower || value > upper {
		r.AddFault(name, fmt.Sprintf("must be from %g to %g, is %s", lower, upper, number.Literal()))
		return fallback
	}
	return value
}

// String returns the string called name. Any other type is a fault.
func (r Reader) String(name, fallback string) string {
	n, ok := r.object.Field(name)
	if !ok {
		return fallback
	}
	text, ok := n.(tree.String)
	if !ok {
		r.addTypeFault(name, "a string", n)
		return fallback
	}
	return text.Value()
}

// Bool returns the boolean called name. Any other type is a fault.
func (r Reader) Bool(name string, fallback bool) bool {
	n, ok := r.object.Field(name)
	if !ok {
		return fallback
	}
	boolean, ok := n.(tree.Bool)
	if !ok {
		r.addTypeFault(name, "true or false", n)
		return fallback
	}
	return boolean.Value()
}

// Strings returns the array of strings called name, without duplicates. A duplicate and an item of
// another type are faults.
func (r Reader) Strings(name string, fallback []string) []string {
	n, ok := r.object.Field(name)
	if !ok {
		return fallback
	}
	array, ok := n.(tree.Array)
	if !ok {
		r.addTypeFault(name, "an array of strings", n)
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

// AddItemFault adds a fault of the item at index of the array called name. The position is that of
// the object if there is no such item.
func (r Reader) AddItemFault(name string, index int, message string) {
	n, _ := r.object.Field(name)
	position := r.object.Position()
	if array, ok := n.(tree.Array); ok && index < array.Len() {
		position = tree.PositionOf(array.Items()[index])
	}
	path := r.path.With(name).With(strconv.Itoa(index))
	*r.faults = append(*r.faults, tree.NewFault(position, path, message))
}

func (r Reader) addTypeFault(name, want string, n tree.Node) {
	r.AddFault(name, fmt.Sprintf("must be %s, is %s", want, tree.KindOf(n)))
}
