package agent

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"verbenabank/core/clock"
)

// deposeAfter is how long a target must be silent before one that seems to be older takes
// its place: the time of day that orders them may have been set back.
const deposeAfter = 2500 * clock.Millisecond

// Heartbeat is what a target says of itself again and again.
type Heartbeat struct {
	service  string
	address  string
	name     string
	born     uint64
	sequence uint64
	room     int
	mood     TargetPhase
}

// TargetPhase is what a target expects: Willing, Retiring or Parting.
type TargetPhase interface{ mood() }

// Accepting targets take work.
type Accepting struct{}

// Retiring targets are about to stop and finish what they have.
type Retiring struct{}

// Exiting targets say nothing more. They may serve on for as long as retiring ones.
type Exiting struct{}

func (Accepting) mood() {}
func (Retiring) mood()  {}
func (Exiting) mood()   {}

// NewHeartbeat returns the word of the target that goes by the name. born orders its lives by the
// time of their start, and sequence, which rises, the words of one life.
func NewHeartbeat(name string, born, sequence uint64, m TargetPhase) Heartbeat {
	return Heartbeat{name: name, born: born, sequence: sequence, mood: m}
}

// WithService adds what the target serves, where ("ip:port"), and how many requests at once.
func (b Heartbeat) WithService(service, address string, room int) Heartbeat {
	b.service, b.address, b.room = service, address, room
	return b
}

// life is the target that was heard last.
type life struct {
	name     string
	born     uint64
	sequence uint64
	heard    clock.Millis
	retired  bool
}

// beat takes the word of a target. Late words of the same life, and words of lives that are
// over, change nothing.
func (a *Agent) beat(b Heartbeat) {
	if _, ok := b.mood.(Exiting); !ok && !a.expects(b) {
		return
	}
	same := a.heard.name == b.name && (a.heard.born == b.born || b.born == 0)
	switch {
	case same && b.sequence <= a.heard.sequence && b.sequence > 0:
		return
	case !same && !a.succeeds(b):
		return
	case !same:
		a.heard = life{name: b.name, born: b.born}
	}
	a.heard.sequence, a.heard.heard = max(a.heard.sequence, b.sequence), a.now
	switch b.mood.(type) {
	case Accepting:
		if !a.heard.retired {
			boot := strconv.FormatUint(a.heard.born, 36)
			a.announced(NewAnnounced(b.service, b.address, boot).WithIncarnation(b.name, a.lifeOf(a.heard), b.room).WithStartTime(a.heard.born))
		}
	case Retiring, Exiting:
		a.retire()
	}
}

// expects reports whether the word is of the target beside, and not of another writer.
func (a *Agent) expects(b Heartbeat) bool {
	if a.beside != "" && b.address != a.beside {
		return false
	}
	_, known := a.rulesOf(b.service)
	return known || a.table.Rules().Version() == 0
}

// succeeds reports whether another life takes the place of the one that was heard last.
func (a *Agent) succeeds(b Heartbeat) bool {
	if _, ok := b.mood.(Exiting); ok {
		return false
	}
	if a.heard.name == "" || b.born > a.heard.born {
		return true
	}
	silent := a.now.Sub(a.heard.heard) > deposeAfter
	return silent && (b.born < a.heard.born || b.name != a.heard.name)
}

// retire lets the target leave. One that nobody has sent work since this daemon started gets
// none: how long ago it was told that it may leave is not known.
func (a *Agent) retire() {
	if a.heard.retired {
		return
	}
	a.heard.retired = true
	if a.target.name == a.heard.name && a.target.service != "" {
		a.withdrawn()
	}
}

// lifeOf returns the number of a life, which every process on this instance finds again.
func (a *Agent) lifeOf(l life) uint64 {
	text := a.instance + "\x00" + l.name + "\x00" + strconv.FormatUint(l.born, 36)
	return max(1, xxhash.Sum64String(text))
}
