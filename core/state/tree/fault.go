package tree

// Fault is one error in a document.
type Fault struct {
	position Position
	path     Path
	message  string
}

// NewFault returns the fault of the value at path. The message says what must be changed.
func NewFault(p Position, path Path, message string) Fault {
	return Fault{position: p, path: path, message: message}
}

// Position returns the file and line of the value.
func (f Fault) Position() Position { return f.position }

// Path returns the path of the value.
func (f Fault) Path() Path { return f.path }

// Message returns the message, which says what must be changed.
func (f Fault) Message() string { return f.message }

// String returns "file:line: path: message", without the path if it is the root.
func (f Fault) String() string {
	if len(f.path.fields) == 0 {
		return f.position.String() + ": " + f.message
	}
	return f.position.String() + ": " + f.path.String() + ": " + f.message
}
