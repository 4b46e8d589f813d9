package tree

// Fault is one thing wrong with a document.
type Fault struct {
	place Position
	path  Path
	text  string
}

// NewFault returns a fault of the value at path. The text says what must be
// changed.
func NewFault(p Position, path Path, text string) Fault {
	return Fault{place: p, path: path, text: text}
}

// Position returns the file and line of the fault.
func (f Fault) Position() Position { return f.place }

// Path returns the value that is wrong.
func (f Fault) Path() Path { return f.path }

// Message returns what must be changed.
func (f Fault) Message() string { return f.text }

// String returns "file:line: path: text", without the path if it is the root.
func (f Fault) String() string {
	if len(f.path.fields) == 0 {
		return f.place.String() + ": " + f.text
	}
	return f.place.String() + ": " + f.path.String() + ": " + f.text
}
