package tree

// String is a string value.
type String struct {
	position Position
	value    string
}

// NewString returns the string value.
func NewString(p Position, value string) String { return String{position: p, value: value} }

// Position returns the position of the string.
func (t String) Position() Position { return t.position }

// Value returns the string.
func (t String) Value() string { return t.value }

// Number is a number in its shortest JSON form, so that equal numbers have equal literals.
type Number struct {
	position Position
	literal  string
}

// NewNumber returns the number. literal must be its shortest JSON form.
func NewNumber(p Position, literal string) Number { return Number{position: p, literal: literal} }

// Position returns the position of the number.
func (n Number) Position() Position { return n.position }

// Literal returns the number in its shortest JSON form.
func (n Number) Literal() string { return n.literal }

// Bool is a boolean value.
type Bool struct {
	position Position
	value    bool
}

// NewBool returns the boolean value.
func NewBool(p Position, value bool) Bool { return Bool{position: p, value: value} }

// Position returns the position of the boolean.
func (t Bool) Position() Position { return t.position }

// Value returns true or false.
func (t Bool) Value() bool { return t.value }

// Null is the null value. As the value of a field it removes the field in a merge.
type Null struct{ position Position }

// NewNull returns a null value.
func NewNull(p Position) Null { return Null{position: p} }

// Position returns the position of the null.
func (n Null) Position() Position { return n.position }

func (Object) node() {}
func (Array) node()  {}
func (String) node() {}
func (Number) node() {}
func (Bool) node()   {}
func (Null) node()   {}

// PositionOf returns the position of n, the zero value if n is nil.
func PositionOf(n Node) Position {
	switch n := n.(type) {
	case Object:
		return n.position
	case Array:
		return n.position
	case String:
		return n.position
	case Number:
		return n.position
	case Bool:
		return n.position
	case Null:
		return n.position
	}
	return Position{}
}

// KindOf returns the JSON type of n for messages, with its article, or "nothing" if n is nil.
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
