package agent

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"verbenabank/core/clock"
)

// supersedeAfter is how long a target must be silent before one that seems to be older takes
// its place: the time of day that orders them may have been set back.
const supersedeAfter = 2500 * clock.Millisecond

// Beat is what a target says of itself again and again.
type Beat struct {
	service   string
	address   string
	name      string
	startTime uint64
	sequence  uint64
	slots     int
	phase     Mood
}

// Mood is what a target expects: Willing, Retiring or Parting.
type Mood interface{ targetPhase() }

// Willing targets take work.
type Willing struct{}

// Retiring targets are about to stop and finish what they have.
type Retiring struct{}

// Parting targets say nothing more. They may serve on for as long as retiring ones.
type Parting struct{}

func (Willing) targetPhase()  {}
func (Retiring) targetPhase() {}
func (Parting) targetPhase()  {}

// NewBeat returns the word of the target that goes by the name. born orders its lives by the
// time of their start, and sequence, which rises, the words of one life.
func NewBeat(name string, born, sequence uint64, m Mood) Beat {
	return Beat{name: name, startTime: born, sequence: sequence, phase: m}
}

// WithWork adds what the target serves, where ("ip:port"), and how many requests at once.
func (b Beat) WithWork(service, address string, room int) Beat {
	b.service, b.address, b.slots = service, address, room
	return b
}

// heardTarget is the target that was heard last.
type heardTarget struct {
	name         string
	startTime    uint64
	lastSequence uint64
	heardAt      clock.Millis
	retiring     bool
}

// heartbeat takes the word of a target. Late words of the same life, and words of lives that are
// over, change nothing.
func (a *Agent) heartbeat(b Beat) {
	if _, ok := b.phase.(Parting); !ok && !a.fromExpectedTarget(b) {
		return
	}
	same := a.lastHeard.name == b.name && (a.lastHeard.startTime == b.startTime || b.startTime == 0)
	switch {
	case same && b.sequence <= a.lastHeard.lastSequence && b.sequence > 0:
		return
	case !same && !a.supersedes(b):
		return
	case !same:
		a.lastHeard = heardTarget{name: b.name, startTime: b.startTime}
	}
	a.lastHeard.lastSequence, a.lastHeard.heardAt = max(a.lastHeard.lastSequence, b.sequence), a.now
	switch b.phase.(type) {
	case Willing:
		if !a.lastHeard.retiring {
			boot := strconv.FormatUint(a.lastHeard.startTime, 36)
			a.announced(NewAnnounced(b.service, b.address, boot).WithLife(b.name, a.incarnationOf(a.lastHeard), b.slots).WithBorn(a.lastHeard.startTime))
		}
	case Retiring, Parting:
		a.retireTarget()
	}
}

// fromExpectedTarget reports whether the word is of the target beside, and not of another writer.
func (a *Agent) fromExpectedTarget(b Beat) bool {
	if a.targetAddress != "" && b.address != a.targetAddress {
		return false
	}
	_, known := a.rulesOf(b.service)
	return known || a.table.Rules().Version() == 0
}

// supersedes reports whether another life takes the place of the one that was heard last.
func (a *Agent) supersedes(b Beat) bool {
	if _, ok := b.phase.(Parting); ok {
		return false
	}
	if a.lastHeard.name == "" || b.startTime > a.lastHeard.startTime {
		return true
	}
	silent := a.now.Sub(a.lastHeard.heardAt) > supersedeAfter
	return silent && (b.startTime < a.lastHeard.startTime || b.name != a.lastHeard.name)
}

// retireTarget lets the target leave. One that nobody has sent work since this daemon started gets
// none: how long ago it was told that it may leave is not known.
func (a *Agent) retireTarget() {
	if a.lastHeard.retiring {
		return
	}
	a.lastHeard.retiring = true
	if a.target.name == a.lastHeard.name && a.target.service != "" {
		a.withdrawn()
	}
}

// incarnationOf returns the number of a life, which every process on this instance finds again.
func (a *Agent) incarnationOf(l heardTarget) uint64 {
	text := a.instance + "\x00" + l.name + "\x00" + strconv.FormatUint(l.startTime, 36)
	return max(1, xxhash.Sum64String(text))
}
