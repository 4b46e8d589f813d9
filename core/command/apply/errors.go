package apply

// Kind is why a command was rejected.
type Kind string

// Kinds of rejection.
const (
	UnknownMember Kind = "no such member"
	KnownMember   Kind = "the incarnation is a member already"
	StaleEpoch    Kind = "the shard is at another epoch"
	WrongHolding  Kind = "the shard is not held as the command expects"
	MemberLeaving Kind = "the member is leaving"
	WrongService  Kind = "the member has no target of the service"
	NotKeyed      Kind = "the service has no keys"
	NotPlaced     Kind = "the key is not placed alone"
	IsPlaced      Kind = "the key is placed alone already"
	Apart         Kind = "the key and its hash range have different owners"
)

// Error is a rejected command.
type Error struct {
	op   string
	kind Kind
}

// Op returns the rejected operation.
func (e *Error) Op() string { return e.op }

// Kind returns why it was rejected.
func (e *Error) Kind() Kind { return e.kind }

// Error returns the operation and the kind.
func (e *Error) Error() string { return "apply: " + e.op + ": " + string(e.kind) }
