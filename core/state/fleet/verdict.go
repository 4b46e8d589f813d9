package fleet

// Verdict is what became of an offered configuration: Accepted, Repeated,
// Conflict, Older or Invalid.
type Verdict interface{ verdict() }

// Accepted offers are in force.
type Accepted struct{}

// Repeated offers were accepted before, with the same content.
type Repeated struct{}

// Conflict offers carry the version in force with other content.
type Conflict struct {
	digest string
	first  Origin
}

// NewConflict returns the verdict on an offer that came after first, whose
// content has the digest.
func NewConflict(digest string, first Origin) Conflict {
	return Conflict{digest: digest, first: first}
}

// Digest returns the digest in force.
func (c Conflict) Digest() string { return c.digest }

// First returns who offered the version in force.
func (c Conflict) First() Origin { return c.first }

// Older offers carry a version below the one in force.
type Older struct{ version uint64 }

// NewOlder returns the verdict on an offer below the version in force.
func NewOlder(version uint64) Older { return Older{version: version} }

// Version returns the version in force.
func (o Older) Version() uint64 { return o.version }

// Invalid offers cannot follow the rules in force.
type Invalid struct{ problem string }

// NewInvalid returns the verdict with what is wrong and what to do.
func NewInvalid(problem string) Invalid { return Invalid{problem: problem} }

// Problem returns what is wrong and what to do.
func (i Invalid) Problem() string { return i.problem }

func (Accepted) verdict() {}
func (Repeated) verdict() {}
func (Conflict) verdict() {}
func (Older) verdict()    {}
func (Invalid) verdict()  {}
