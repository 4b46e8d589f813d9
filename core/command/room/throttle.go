package room

import "verbenabank/core/clock"

const (
	// throttleWindow is the length of the two windows over which a throttle counts.
	throttleWindow = 500 * clock.Millisecond
	// throttleFactor is how many attempts are made per attempt that a target had room for.
	throttleFactor = 2
	// minAttempts is the number of attempts up to which nothing is throttled.
	minAttempts = 10
	// maxThrottled is the largest share of attempts that is refused; the others probe for room.
	maxThrottled = 0.9
)

// Throttle refuses attempts of a class at the entry while few targets have room, without a trip (adaptive throttling by
// the success ratio of the sender's own attempts). Attempts beyond throttleFactor times those that found room are
// refused, so that enough still probe for room.
type Throttle struct{ classes map[string]*attempts }

// attempts counts the attempts of one class.
type attempts struct {
	windowEnd         clock.Millis
	current, previous tally
}

// NewThrottle returns a throttle that admits everything.
func NewThrottle() *Throttle { return &Throttle{classes: map[string]*attempts{}} }

// Record counts an attempt that a target had room for or not. An attempt that the throttle refused counts as refused.
func (t *Throttle) Record(class string, admitted bool, now clock.Millis) {
	a, ok := t.classes[class]
	if !ok {
		if len(t.classes) >= maxClasses {
			return
		}
		a = &attempts{}
		t.classes[class] = a
	}
	if now >= a.windowEnd {
		a.previous = a.current
		if now >= a.windowEnd+throttleWindow {
			a.previous = tally{}
		}
		a.current, a.windowEnd = tally{}, now+throttleWindow
	}
	if admitted {
		a.current.admitted++
		return
	}
	a.current.refused++
}

// Refuses reports whether an attempt of the class is refused; random is a random number from 0 up to 1.
func (t *Throttle) Refuses(class string, random float64, now clock.Millis) bool {
	a, ok := t.classes[class]
	if !ok || now >= a.windowEnd+throttleWindow {
		return false
	}
	admitted, total := a.current.admitted+a.previous.admitted, a.current.total()+a.previous.total()
	if total < minAttempts {
		return false
	}
	return random < min(maxThrottled, float64(total-throttleFactor*admitted)/float64(total))
}
