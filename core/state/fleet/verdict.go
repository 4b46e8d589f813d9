package fleet

// Verdict is the decision on a proposal of an operator, a configuration or the drain of a zone: Accepted,
// Repeated, Conflict, Older or Invalid.
type Verdict interface{ verdict() }

// Accepted means that the configuration is now in force.
type Accepted struct{}

// Repeated means that the configuration was accepted before, with the same content.
type Repeated struct{}

// Conflict means that the configuration has the version in force but different content.
type Conflict struct {
	digest string
	first  Origin
}

// NewConflict returns the verdict on a configuration whose version is taken by the one with
// the digest, which came from first.
func NewConflict(digest string, first Origin) Conflict {
	return Conflict{digest: digest, first: first}
}

// Digest returns the digest of the configuration in force.
func (c Conflict) Digest() string { return c.digest }

// First returns the origin of the configuration in force.
func (c Conflict) First() Origin { return c.first }

// Older means that the configuration is outdated: its version is below the one in force, or
// the version that it is based on is no longer in force.
type Older struct{ version uint64 }

// NewOlder returns the verdict with the version in force.
func NewOlder(version uint64) Older { return Older{version: version} }

// Version returns the version in force.
func (o Older) Version() uint64 { return o.version }

// Invalid means that the configuration cannot replace the one in force.
type Invalid struct{ problem string }

// NewInvalid returns the verdict with a message that says what is wrong and how to correct it.
func NewInvalid(problem string) Invalid { return Invalid{problem: problem} }

// Problem returns the message for the operator: what is wrong and how to correct it.
func (i Invalid) Problem() string { return i.problem }

func (Accepted) verdict() {}
func (Repeated) verdict() {}
func (Conflict) verdict() {}
func (Older) verdict()    {}
func (Invalid) verdict()  {}
