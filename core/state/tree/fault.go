package tree

// Fault is one error in a document.
type Fault struct {
	position Place
	path     Path
	message  string
}

// NewFault returns the fault of the value at path. The message says what must be changed.
func NewFault(p Place, path Path, message string) Fault {
	return Fault{position: p, path: path, message: message}
}

// Place returns the file and line of the value.
func (f Fault) Place() Place { return f.position }

// Path returns the path of the value.
func (f Fault) Path() Path { return f.path }

// Text returns the message, which says what must be changed.
func (f Fault) Text() string { return f.message }

// String returns "file:line: path: message", without the path if it is the root.
func (f Fault) String() string {
	if len(f.path.fields) == 0 {
		return f.position.String() + ": " + f.message
	}
	return f.position.String() + ": " + f.path.String() + ": " + f.message
}
