package agent

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"verbenabank/core/clock"
	"verbenabank/core/state/grant"
)

// supersedeAfter is how long a target that was lost must be silent before one with an earlier start time
// is used: start times come from the wall clock, which may have been set back.
const supersedeAfter = 2500 * clock.Millisecond

// Heartbeat is sent by a target periodically, with its address, capacity and life-cycle phase. Each one
// is answered by one AnswerHeartbeat effect, at once or a little later. Those of a target that leaves get no answer
// before the table says that it has left.
type Heartbeat struct {
	id        uint64
	report    grant.Report
	service   string
	address   string
	name      string
	startTime uint64
	sequence  uint64
	slots     int
	phase     TargetPhase
	coldTime  clock.Millis
	coldKnown bool
}

// TargetPhase is the life-cycle phase in a heartbeat: Accepting, Retiring or Exiting.
type TargetPhase interface{ targetPhase() }

// Accepting targets receive requests.
type Accepting struct{}

// Retiring targets are about to stop and finish their requests in flight.
type Retiring struct{}

// Exiting targets send no further heartbeat. They may serve for as long as retiring ones.
type Exiting struct{}

func (Accepting) targetPhase() {}
func (Retiring) targetPhase()  {}
func (Exiting) targetPhase()   {}

// NewHeartbeat returns a heartbeat of the named target. startTime orders the processes of the
// target, and sequence, which increases, the heartbeats of one process. Either may be 0 if
// it is not known.
func NewHeartbeat(name string, startTime, sequence uint64, phase TargetPhase) Heartbeat {
	return Heartbeat{name: name, startTime: startTime, sequence: sequence, phase: phase}
}

// WithService adds the service of the target, its address ("ip:port") and how many requests it runs
// at once, 0 if the rules decide.
func (h Heartbeat) WithService(service, address string, slots int) Heartbeat {
	h.service, h.address, h.slots = service, address, slots
	return h
}

// WithReport adds what the target says about its keys.
func (h Heartbeat) WithReport(r grant.Report) Heartbeat {
	h.report = r
	return h
}

// WithColdTime adds for how long the target stays cold, 0 if it is warm.
func (h Heartbeat) WithColdTime(left clock.Millis) Heartbeat {
	h.coldTime, h.coldKnown = left, true
	return h
}

// ColdTime returns for how long the target stays cold, and whether that is known.
func (h Heartbeat) ColdTime() (clock.Millis, bool) { return h.coldTime, h.coldKnown }

// Name returns the name of the target.
func (h Heartbeat) Name() string { return h.name }

// Report returns what the target says about its keys.
func (h Heartbeat) Report() grant.Report { return h.report }

// WithID sets the ID by which the answer is matched.
func (h Heartbeat) WithID(id uint64) Heartbeat {
	h.id = id
	return h
}

// heardTarget is the target process that sent the last accepted heartbeat.
type heardTarget struct {
	name         string
	startTime    uint64
	lastSequence uint64
	heardAt      clock.Millis
	retiring     bool
}

// heartbeat handles a heartbeat and answers it, at once unless it may learn more by waiting.
func (a *Agent) heartbeat(h Heartbeat) {
	retiring := a.lastHeard.retiring
	if !a.acceptHeartbeat(h) {
		a.answerNothing(h.id)
		return
	}
	a.openHeartbeat(h, a.lastHeard.retiring != retiring)
}

// acceptHeartbeat records a heartbeat, and reports whether it is the newest of the local target.
// Reordered heartbeats of the same process, and those of earlier processes, are ignored.
func (a *Agent) acceptHeartbeat(h Heartbeat) bool {
	if _, ok := h.phase.(Exiting); !ok && !a.fromExpectedTarget(h) {
		return false
	}
	same := a.lastHeard.name == h.name && (a.lastHeard.startTime == h.startTime || h.startTime == 0)
	switch {
	case same && h.sequence <= a.lastHeard.lastSequence && h.sequence > 0:
		return false
	case !same && !a.supersedes(h):
		return false
	case !same:
		a.lastHeard = heardTarget{name: h.name, startTime: h.startTime}
	}
	a.lastHeard.lastSequence, a.lastHeard.heardAt = max(a.lastHeard.lastSequence, h.sequence), a.now
	defer a.reportCold(h)
	switch h.phase.(type) {
	case Accepting:
		if !a.lastHeard.retiring {
			boot := strconv.FormatUint(a.lastHeard.startTime, 36)
			a.announced(NewAnnounced(h.service, h.address, boot).WithIncarnation(h.name, a.incarnationOf(a.lastHeard), h.slots).WithStartTime(a.lastHeard.startTime))
		}
	case Retiring, Exiting:
		a.retireTarget()
	}
	return true
}

// fromExpectedTarget reports whether the heartbeat comes from the local target and not from
// another sender.
func (a *Agent) fromExpectedTarget(h Heartbeat) bool {
	if a.targetAddress != "" && h.address != a.targetAddress {
		return false
	}
	_, known := a.rulesOf(h.service)
	return known || a.table.Rules().Version() == 0
}

// supersedes reports whether the sender replaces the target process that was heard last. One that started
// earlier does so only once that process was lost: its heartbeat may be late, and silence says nothing about a
// target that answers requests.
func (a *Agent) supersedes(h Heartbeat) bool {
	if a.lastHeard.name == "" {
		return true
	}
	if _, ok := h.phase.(Exiting); ok {
		return false
	}
	if h.startTime > a.lastHeard.startTime {
		return true
	}
	lost := a.target.service == "" && a.now.Sub(a.lastHeard.heardAt) > supersedeAfter
	return lost && (h.startTime < a.lastHeard.startTime || h.name != a.lastHeard.name)
}

// retireTarget starts the withdrawal of the target. A target that has received no requests since this
// daemon started receives none: it is not known how long ago it was told that it may stop.
func (a *Agent) retireTarget() {
	if a.lastHeard.retiring {
		return
	}
	a.lastHeard.retiring = true
	if a.target.name == a.lastHeard.name && a.target.service != "" {
		a.withdrawn()
	}
}

// incarnationOf derives the incarnation of a target process. A daemon that is restarted on this
// instance derives the same number.
func (a *Agent) incarnationOf(t heardTarget) uint64 {
	text := a.instance + "\x00" + t.name + "\x00" + strconv.FormatUint(t.startTime, 36)
	return max(1, xxhash.Sum64String(text))
}

// reportCold passes on whether the target in use is cold.
func (a *Agent) reportCold(h Heartbeat) {
	if h.coldKnown && a.target.service != "" && a.target.name == h.name {
		a.emit(ReportCold{name: h.name, left: h.coldTime})
	}
}
