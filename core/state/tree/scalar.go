package tree

// Text is a string.
type Text struct {
	place Place
	value string
}

// NewText returns the string value.
func NewText(p Place, value string) Text { return Text{place: p, value: value} }

// Place returns where the string stands.
func (t Text) Place() Place { return t.place }

// Value returns the string.
func (t Text) Value() string { return t.value }

// Number is a number in its shortest JSON form, so that equal numbers have
// equal forms.
type Number struct {
	place Place
	form  string
}

// NewNumber returns the number with the given shortest JSON form.
func NewNumber(p Place, form string) Number { return Number{place: p, form: form} }

// Place returns where the number stands.
func (n Number) Place() Place { return n.place }

// Form returns the shortest JSON form.
func (n Number) Form() string { return n.form }

// Truth is true or false.
type Truth struct {
	place Place
	value bool
}

// NewTruth returns the truth value.
func NewTruth(p Place, value bool) Truth { return Truth{place: p, value: value} }

// Place returns where the value stands.
func (t Truth) Place() Place { return t.place }

// Value returns true or false.
func (t Truth) Value() bool { return t.value }

// Null removes the field that it is the value of.
type Null struct{ place Place }

// NewNull returns a null.
func NewNull(p Place) Null { return Null{place: p} }

// Place returns where the null stands.
func (n Null) Place() Place { return n.place }

func (Object) node() {}
func (Array) node()  {}
func (Text) node()   {}
func (Number) node() {}
func (Truth) node()  {}
func (Null) node()   {}

// PlaceOf returns where n stands.
func PlaceOf(n Node) Place {
	switch n := n.(type) {
	case Object:
		return n.place
	case Array:
		return n.place
	case Text:
		return n.place
	case Number:
		return n.place
	case Truth:
		return n.place
	case Null:
		return n.place
	}
	return Place{}
}

// KindOf returns the JSON name of the type of n, with its article.
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
