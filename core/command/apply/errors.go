package apply

// Kind is the reason for which a command was rejected.
type Kind string

// Kinds of rejection.
const (
	UnknownMember       Kind = "no such member"
	TargetHasLeft       Kind = "the target has said that it stops"
	AlreadyMember       Kind = "the incarnation is already a member"
	StaleEpoch          Kind = "the shard has a different epoch"
	UnexpectedOwnership Kind = "the ownership state of the shard does not match the command"
	MemberLeaving       Kind = "the member is leaving"
	ZoneDrained         Kind = "the zone of the member is drained"
	WrongService        Kind = "the member has no target of the service"
	NotKeyed            Kind = "the service is not keyed"
	NotPlaced           Kind = "the key is not placed alone"
	AlreadyPlaced       Kind = "the key is already placed alone"
	DifferentOwners     Kind = "the key and its hash range have different owners"
)

// Error is the rejection of a command.
type Error struct {
	op   string
	kind Kind
}

// Op names the rejected operation, as in "grant span".
func (e *Error) Op() string { return e.op }

// Kind returns the reason.
func (e *Error) Kind() Kind { return e.kind }

// Error returns the operation and the reason, prefixed with the package.
func (e *Error) Error() string { return "apply: " + e.op + ": " + string(e.kind) }
