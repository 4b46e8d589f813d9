package table

// Incarnation identifies one run of one member. It is random, never 0, and new
// each time a daemon joins.
type Incarnation uint64

// Member is a daemon that joined, with the target beside it if it has one.
type Member struct {
	incarnation Incarnation
	instance    string
	zone        string
	address     string
	service     string
	phase       Phase
	born        uint64
}

// NewMember returns a member: the daemon of an instance in an availability zone,
// reached by other daemons at address ("ip:port"), with a target of service, or
// none if service is empty.
func NewMember(i Incarnation, instance, zone, address, service string, phase Phase) Member {
	return Member{incarnation: i, instance: instance, zone: zone, address: address, service: service, phase: phase}
}

// Incarnation returns the identity of this run.
func (m Member) Incarnation() Incarnation { return m.incarnation }

// Instance returns the name of the instance.
func (m Member) Instance() string { return m.instance }

// Zone returns the availability zone.
func (m Member) Zone() string { return m.zone }

// Address returns where other daemons reach this one, as "ip:port".
func (m Member) Address() string { return m.address }

// Service returns the service of the target, or "" if there is no target.
func (m Member) Service() string { return m.service }

// WithTargetStartTime returns the member with the time at which its target started, which orders the
// lives of the targets beside one daemon. 0 is not known.
func (m Member) WithTargetStartTime(born uint64) Member {
	m.born = born
	return m
}

// TargetStartTime returns the time at which the target started, 0 if it is not known.
func (m Member) TargetStartTime() uint64 { return m.born }

// Phase returns where the member stands between joining and leaving.
func (m Member) Phase() Phase { return m.phase }

// WithPhase returns the member in another phase.
func (m Member) WithPhase(phase Phase) Member {
	m.phase = phase
	return m
}

// Phase is where a member stands: Warming, Serving or Leaving.
type Phase interface{ phase() }

// Warming members take a growing share of the work.
type Warming struct{}

// Serving members take their full share.
type Serving struct{}

// Leaving members take no new work and hand over what they own.
type Leaving struct{}

func (Warming) phase() {}
func (Serving) phase() {}
func (Leaving) phase() {}

// PhaseName returns the phase in lower-case English.
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
