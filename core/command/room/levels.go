package room

import "verbenabank/core/clock"

// levelLifetime is how long an entry applies a share after the reply that named it.
const levelLifetime = 500 * clock.Millisecond

// Levels holds, for each class, the share of requests that the gates of its targets admit, as replies have named it.
// Requests beyond the share are refused at the entry, without a trip. Gates draw by request ID too, so the entry
// refuses what they would refuse.
type Levels struct{ classes map[string]level }

// level is the share of one class.
type level struct {
	share int
	until clock.Millis
}

// NewLevels returns Levels that admit everything.
func NewLevels() *Levels { return &Levels{classes: map[string]level{}} }

// Record notes the share that a target of the class admits. One target alone doesn't set the share of all: the share
// follows the replies by half of the difference.
func (l *Levels) Record(class string, share int, now clock.Millis) {
	old, ok := l.classes[class]
	if !ok || now >= old.until {
		if share >= Full || (!ok && len(l.classes) >= maxClasses) {
			delete(l.classes, class)
			return
		}
		old.share = Full
	}
	next := (old.share + share + 1) / 2
	if next >= Full {
		delete(l.classes, class)
		return
	}
	l.classes[class] = level{share: next, until: now + levelLifetime}
}

// Admits reports whether the request with the ID is to be forwarded. Those without an ID are left to the gates.
func (l *Levels) Admits(class, id string, now clock.Millis) bool {
	v, ok := l.classes[class]
	return id == "" || !ok || now >= v.until || draw(id) < v.share
}

// Share returns the percentage of requests of the class that is forwarded.
func (l *Levels) Share(class string, now clock.Millis) int {
	if v, ok := l.classes[class]; ok && now < v.until {
		return v.share
	}
	return Full
}
