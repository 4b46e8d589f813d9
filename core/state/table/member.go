package table

// Incarnation identifies one membership of a daemon, from joining to removal. It is random,
// never 0, and new each time the daemon joins.
type Incarnation uint64

// Member is a daemon that has joined, with its local target if it has one.
type Member struct {
	incarnation     Incarnation
	instance        string
	zone            string
	address         string
	service         string
	phase           Phase
	targetStartTime uint64
}

// NewMember returns a member: the daemon of an instance in an availability zone,
// reached by other daemons at address ("ip:port"), with a target of service, or
// none if service is empty.
func NewMember(i Incarnation, instance, zone, address, service string, phase Phase) Member {
	return Member{incarnation: i, instance: instance, zone: zone, address: address, service: service, phase: phase}
}

// Incarnation returns the identity of this membership.
func (m Member) Incarnation() Incarnation { return m.incarnation }

// Instance returns the name of the instance.
func (m Member) Instance() string { return m.instance }

// Zone returns the availability zone.
func (m Member) Zone() string { return m.zone }

// Address returns where other daemons reach this one, as "ip:port".
func (m Member) Address() string { return m.address }

// Service returns the service of the target, or "" if there is no target.
func (m Member) Service() string { return m.service }

// WithTargetStartTime returns the member with the start time of its target process, 0 if it is not known.
// It tells which of two target processes of one daemon is the later one.
func (m Member) WithTargetStartTime(startTime uint64) Member {
	m.targetStartTime = startTime
	return m
}

// TargetStartTime returns the start time of the target process, 0 if it is not known.
func (m Member) TargetStartTime() uint64 { return m.targetStartTime }

// Precedes reports whether the member is of the same instance as another one and its target process started
// earlier, as far as both start times are known.
func (m Member) Precedes(other Member) bool {
	return m.instance == other.instance && m.incarnation != other.incarnation &&
		m.targetStartTime > 0 && m.targetStartTime < other.targetStartTime
}

// Phase returns the phase in the life cycle of the member.
func (m Member) Phase() Phase { return m.phase }

// WithPhase returns the member with the given phase.
func (m Member) WithPhase(phase Phase) Member {
	m.phase = phase
	return m
}

// Phase is the phase in the life cycle of a member: Warming, Serving or Leaving.
type Phase interface{ phase() }

// Warming members receive a growing share of the requests (slow start).
type Warming struct{}

// Serving members receive their full share of the requests.
type Serving struct{}

// Leaving members are draining: they receive no new requests and hand over what they own.
type Leaving struct{}

func (Warming) phase() {}
func (Serving) phase() {}
func (Leaving) phase() {}

// PhaseName returns the name of the phase in lower case, as in the audit trail and in status output.
func PhaseName(p Phase) string {
	switch p.(type) {
	case Warming:
		return "warming"
	case Serving:
		return "serving"
	case Leaving:
		return "leaving"
	}
	return ""
}
