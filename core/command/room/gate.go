package room

import "verbenabank/core/clock"

const (
	// gateInterval is the time between two changes of a gate's shares.
	gateInterval = 200 * clock.Millisecond
	// minShare is the share that a gate always admits, so that no class is starved.
	minShare = 25
	// shareStep is the additive increase of a share per interval, in percent.
	shareStep = 4
	// yieldDivisor is the part of the distance to the reported share by which a share falls per interval.
	yieldDivisor = 3
)

// Gate limits the new requests of a target that makes calls. Two shares are admitted: that of all new requests falls
// by the part of the target's calls that were refused, and rises by a step (additive increase, multiplicative decrease),
// so that few requests run that fail for lack of their calls; that of requests of a lower priority falls to the share of more urgent new
// requests that the called targets have room for, so that a patient request doesn't displace an urgent one by its calls.
type Gate struct {
	intervalEnd  clock.Millis
	calls, lost  int // in this interval
	all          int // share of all new requests
	yield        int // share of those of priority yieldTo or a lower one
	yieldTo      int
	reported     int // the lowest share that a called target reported in this interval
	reportedRank int
	anonymous    int // sum of the shares of requests without an ID since the last admitted one, in percent
}

// NewGate returns a gate that admits everything.
func NewGate() *Gate { return &Gate{all: Full, yield: Full, reported: Full} }

// RecordCall counts a call of the target that was answered or refused for lack of room.
func (g *Gate) RecordCall(refused bool, now clock.Millis) {
	g.advance(now)
	g.calls++
	if refused {
		g.lost++
	}
}

// RecordShare notes that a called target serves only a share of its new requests of the priority.
func (g *Gate) RecordShare(priority, share int, now clock.Millis) {
	g.advance(now)
	if share < g.reported {
		g.reported, g.reportedRank = share, priority
	}
}

// advance applies the counts of the intervals that have ended.
func (g *Gate) advance(now clock.Millis) {
	if now < g.intervalEnd {
		return
	}
	idle := 0
	if g.intervalEnd > 0 {
		idle = int(min(Full, (now-g.intervalEnd)/gateInterval))
	}
	if g.lost > 0 {
		g.all -= g.all * g.lost / g.calls
	}
	g.all = max(minShare, min(Full, g.all+shareStep))
	if g.reported < g.yield {
		g.yield = max(minShare, g.yield-(g.yield-g.reported+yieldDivisor-1)/yieldDivisor)
		g.yieldTo = g.reportedRank
	} else {
		g.yield = min(Full, g.yield+shareStep)
	}
	g.all, g.yield = min(Full, g.all+idle*shareStep), min(Full, g.yield+idle*shareStep)
	g.calls, g.lost, g.reported = 0, 0, Full
	g.intervalEnd = now + gateInterval
}

// Share returns the percentage of new requests of the priority that are admitted, as of the latest interval.
func (g *Gate) Share(priority int, now clock.Millis) int {
	idle := 0
	if now > g.intervalEnd {
		idle = int(min(Full, (now-g.intervalEnd)/gateInterval))
	}
	share := g.all
	if priority >= g.yieldTo {
		share = min(share, g.yield)
	}
	return min(Full, share+idle*shareStep)
}

// Admits reports whether the new request with the ID is among the share that is admitted. Requests without an ID are
// admitted at regular intervals.
func (g *Gate) Admits(id string, priority int, now clock.Millis) bool {
	share := g.Share(priority, now)
	switch {
	case share >= Full:
		return true
	case id != "":
		return draw(id) < share
	}
	g.anonymous += share
	if g.anonymous < Full {
		return false
	}
	g.anonymous -= Full
	return true
}
