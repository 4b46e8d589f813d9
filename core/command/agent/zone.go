package agent

import "verbenabank/core/clock"

// DefaultZoneDrain is the default limit on the time for which a daemon in a drained zone serves keys that it has not
// handed over yet, in milliseconds.
const DefaultZoneDrain = 5 * clock.Second

// WithZoneDrain limits for how long the daemon serves keys once its zone is drained, in milliseconds.
func WithZoneDrain(limit clock.Millis) Option { return func(a *Agent) { a.zoneDrain = limit } }

// trackZoneDrain sets until when keys are served after the zone of this daemon was drained. The drain was accepted no
// earlier than the last answered renewal was sent, or that answer would have come with it; so the limit counts from
// there. A daemon that was restarted has no such renewal and serves no keys.
func (a *Agent) trackZoneDrain() {
	switch drained := a.table.ZoneDrained(a.zone); {
	case !drained:
		a.keysEnd = 0
	case a.keysEnd == 0 && a.holder.LastGranted() == 0:
		a.keysEnd = max(1, a.now)
	case a.keysEnd == 0:
		a.keysEnd = a.holder.LastGranted().Add(a.zoneDrain)
	}
}
