package tree

// Text is a string value.
type Text struct {
	position Place
	value    string
}

// NewText returns the string value.
func NewText(p Place, value string) Text { return Text{position: p, value: value} }

// Place returns the position of the string.
func (t Text) Place() Place { return t.position }

// Value returns the string.
func (t Text) Value() string { return t.value }

// Number is a number in its shortest JSON form, so that equal numbers have equal literals.
type Number struct {
	position Place
	literal  string
}

// NewNumber returns the number. literal must be its shortest JSON form.
func NewNumber(p Place, literal string) Number { return Number{position: p, literal: literal} }

// Place returns the position of the number.
func (n Number) Place() Place { return n.position }

// Form returns the number in its shortest JSON form.
func (n Number) Form() string { return n.literal }

// Truth is a boolean value.
type Truth struct {
	position Place
	value    bool
}

// NewTruth returns the boolean value.
func NewTruth(p Place, value bool) Truth { return Truth{position: p, value: value} }

// Place returns the position of the boolean.
func (t Truth) Place() Place { return t.position }

// Value returns true or false.
func (t Truth) Value() bool { return t.value }

// Null is the null value. As the value of a field it removes the field in a merge.
type Null struct{ position Place }

// NewNull returns a null value.
func NewNull(p Place) Null { return Null{position: p} }

// Place returns the position of the null.
func (n Null) Place() Place { return n.position }

func (Object) node() {}
func (Array) node()  {}
func (Text) node()   {}
func (Number) node() {}
func (Truth) node()  {}
func (Null) node()   {}

// PlaceOf returns the position of n, the zero value if n is nil.
func PlaceOf(n Node) Place {
	switch n := n.(type) {
	case Object:
		return n.position
	case Array:
		return n.position
	case Text:
		return n.position
	case Number:
		return n.position
	case Truth:
		return n.position
	case Null:
		return n.position
	}
	return Place{}
}

// KindOf returns the JSON type of n for messages, with its article, or "nothing" if n is nil.
func KindOf(n Node) string {
	switch n.(type) {
	case Object:
		return "an object"
	case Array:
		return "an array"
	case Text:
		return "a string"
	case Number:
		return "a number"
	case Truth:
		return "true or false"
	case Null:
		return "null"
	}
	return "nothing"
}
