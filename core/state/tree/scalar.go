package tree

// String is a string.
type String struct {
	place Position
	value string
}

// NewString returns the string value.
func NewString(p Position, value string) String { return String{place: p, value: value} }

// Position returns where the string stands.
func (t String) Position() Position { return t.place }

// Value returns the string.
func (t String) Value() string { return t.value }

// Number is a number in its shortest JSON form, so that equal numbers have
// equal forms.
type Number struct {
	place Position
	form  string
}

// NewNumber returns the number with the given shortest JSON form.
func NewNumber(p Position, form string) Number { return Number{place: p, form: form} }

// Position returns where the number stands.
func (n Number) Position() Position { return n.place }

// Literal returns the shortest JSON form.
func (n Number) Literal() string { return n.form }

// Bool is true or false.
type Bool struct {
	place Position
	value bool
}

// NewBool returns the truth value.
func NewBool(p Position, value bool) Bool { return Bool{place: p, value: value} }

// Position returns where the value stands.
func (t Bool) Position() Position { return t.place }

// Value returns true or false.
func (t Bool) Value() bool { return t.value }

// Null removes the field that it is the value of.
type Null struct{ place Position }

// NewNull returns a null.
func NewNull(p Position) Null { return Null{place: p} }

// Position returns where the null stands.
func (n Null) Position() Position { return n.place }

func (Object) node() {}
func (Array) node()  {}
func (String) node() {}
func (Number) node() {}
func (Bool) node()   {}
func (Null) node()   {}

// PositionOf returns where n stands.
func PositionOf(n Node) Position {
	switch n := n.(type) {
	case Object:
		return n.place
	case Array:
		return n.place
	case String:
		return n.place
	case Number:
		return n.place
	case Bool:
		return n.place
	case Null:
		return n.place
	}
	return Position{}
}

// KindOf returns the JSON name of the type of n, with its article.
func KindOf(n Node) string {
	switch n.(type) {
	case Object:
		return "an object"
	case Array:
		return "an array"
	case String:
		return "a string"
	case Number:
		return "a number"
	case Bool:
		return "true or false"
	case Null:
		return "null"
	}
	return "nothing"
}
