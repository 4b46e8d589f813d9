// Package attach decides at which control replica a daemon looks for a session with the leader, and when it
// tries again.
//
// Each attempt costs a replica a connection, and all daemons try at the same time when there is no leader. So the
// delays between failed attempts grow, up to a limit that depends on the size of the fleet.
//
// An attempt without an answer is overdue after OverdueAfter, and another one begins beside it. It stays open, since a
// replica without power looks like a daemon or a leader that has too little processor time for a handshake, and
// such a daemon would never have a session if each attempt started from nothing.
package attach

import "verbenabank/core/clock"

const (
	// OverdueAfter is how long the newest attempt may take before another one begins beside it.
	OverdueAfter = 500 * clock.Millisecond
	// GiveUpAfter is how long an attempt may take.
	GiveUpAfter = 4 * clock.Second
	// MaxOpen is how many attempts may be open at the same time. Those at replicas without an answer fill it only if
	// they begin faster than they are given up.
	MaxOpen = int(GiveUpAfter / OverdueAfter)
)

const (
	minBackoff = 20 * clock.Millisecond
	// The limit of the mean delay between two attempts grows with the fleet, from minLimit to maxLimit, which it
	// reaches at maxLimitFleet daemons.
	minLimit         = 80 * clock.Millisecond
	maxLimit         = 800 * clock.Millisecond
	maxLimitFleet    = 320
	unknownFleetSize = 128 // assumed before the first table
	maxDoublings     = 6
)

// Outcome is how an attempt ended: Served, Redirected, Unconnected or Unanswered.
type Outcome interface{ outcome() }

// Served attempts led to a session, which has ended.
type Served struct{ leader string }

// NewServed returns the outcome. leader is the address that the leader named at the end of the session, "" if none.
func NewServed(leader string) Served { return Served{leader: leader} }

// Redirected attempts reached a replica that does not lead.
type Redirected struct{ leader string }

// NewRedirected returns the outcome. leader is the address that the replica named, "" if it knows none.
func NewRedirected(leader string) Redirected { return Redirected{leader: leader} }

// Unconnected attempts got no connection in time.
type Unconnected struct{}

// Unanswered attempts had a connection, on which they failed or timed out.
type Unanswered struct{}

func (Served) outcome()      {}
func (Redirected) outcome()  {}
func (Unconnected) outcome() {}
func (Unanswered) outcome()  {}

// Plan is the search of one daemon. It is not safe for concurrent use.
type Plan struct {
	random   func(limit clock.Millis) clock.Millis
	fleet    func() int
	next     int
	leader   string // to try next, "" for the next replica in turn
	failures int
	tally    Tally
}

// Option sets one property of a Plan.
type Option func(*Plan)

// WithRandom sets the source of random durations below a limit. It is required.
func WithRandom(random func(limit clock.Millis) clock.Millis) Option {
	return func(p *Plan) { p.random = random }
}

// WithFleetSize sets the function that returns how many daemons the fleet has, 0 if that is not known.
func WithFleetSize(size func() int) Option { return func(p *Plan) { p.fleet = size } }

// New returns a plan that starts with the first replica.
func New(opts ...Option) *Plan {
	p := &Plan{fleet: func() int { return 0 }}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Next begins an attempt and returns the address for it: that of the leader if a replica named it, otherwise that of
// the next of the replicas, of which there must be at least one.
func (p *Plan) Next(replicas []string) string {
	address := p.leader
	p.leader = ""
	if address == "" {
		address = replicas[p.next%len(replicas)]
		p.next++
	}
	p.tally.attempts++
	return address
}

// Overdue records that the newest attempt is overdue, and returns the delay before the next one.
func (p *Plan) Overdue() clock.Millis {
	p.tally.overdue++
	return p.backOff()
}

// End records how the attempt at an address ended, and returns the delay before the next one.
func (p *Plan) End(address string, o Outcome) clock.Millis {
	switch o := o.(type) {
	case Served:
		p.failures, p.tally = 0, Tally{}
		return p.random(p.limit()/2) + p.follow(address, o.leader)
	case Redirected:
		p.tally.redirects++
		return p.follow(address, o.leader)
	case Unconnected:
		p.tally.unconnected++
		return p.backOff()
	case Unanswered:
		p.tally.unanswered++
		return p.backOff()
	}
	return 0
}

// follow makes a leader that was named the next one to try, at once, unless it has just been tried.
func (p *Plan) follow(address, leader string) clock.Millis {
	if leader == "" || leader == address {
		return p.backOff()
	}
	p.leader = leader
	return 0
}

// backOff returns the delay after a failure: exponential backoff with jitter of plus or minus one half.
func (p *Plan) backOff() clock.Millis {
	delay := min(minBackoff<<min(p.failures, maxDoublings), p.limit())
	p.failures++
	return delay/2 + p.random(delay)
}

// limit returns the longest mean delay between two attempts.
func (p *Plan) limit() clock.Millis {
	size := p.fleet()
	if size == 0 {
		size = unknownFleetSize
	}
	return max(minLimit, min(maxLimit, maxLimit*clock.Millis(size)/maxLimitFleet))
}

// Tally returns the attempts since the last session.
func (p *Plan) Tally() Tally { return p.tally }

// Tally counts attempts.
type Tally struct {
	attempts    int
	overdue     int
	redirects   int
	unconnected int
	unanswered  int
}

// Attempts returns how many attempts began.
func (t Tally) Attempts() int { return t.attempts }

// Overdue returns how many took longer than OverdueAfter; they may have ended since.
func (t Tally) Overdue() int { return t.overdue }

// Redirects returns how many ended at a replica that does not lead.
func (t Tally) Redirects() int { return t.redirects }

// Unconnected returns how many got no connection.
func (t Tally) Unconnected() int { return t.unconnected }

// Unanswered returns how many failed or timed out on a connection.
func (t Tally) Unanswered() int { return t.unanswered }
