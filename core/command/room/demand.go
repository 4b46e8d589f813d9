package room

import "verbenabank/core/clock"

const (
	// demandWindow is the length of the two windows over which Demand counts.
	demandWindow = 500 * clock.Millisecond
	// minDemand is the number of requests from which a share is reported.
	minDemand = 8
	// demandTries is the number of targets that a request tries before it counts as refused.
	demandTries = 3
	// enough is the share from which there is room for all.
	enough = 95
	// priorities is the number of priorities that are counted apart; lower ones count as the last.
	priorities = 8
)

// Demand measures which share of the new requests a target has room for, by priority, in the last one to two windows.
type Demand struct {
	windowEnd         clock.Millis
	current, previous [priorities]tally
}

// tally counts the requests of one priority in a window.
type tally struct{ admitted, refused int }

func (t tally) total() int { return t.admitted + t.refused }

// shareAfterTries returns the percentage of requests that one of several targets has room for, if all have as much room.
func (t tally) shareAfterTries() int {
	lost := float64(t.refused) / float64(t.total())
	share := float64(Full)
	for range demandTries {
		share *= lost
	}
	return Full - int(share)
}

// NewDemand returns a Demand without counts.
func NewDemand() *Demand { return &Demand{} }

// Record counts a new request that the target had room for or not.
func (d *Demand) Record(priority int, admitted bool, now clock.Millis) {
	if now >= d.windowEnd {
		d.previous = d.current
		if now >= d.windowEnd+demandWindow {
			d.previous = [priorities]tally{}
		}
		d.current, d.windowEnd = [priorities]tally{}, now+demandWindow
	}
	t := &d.current[max(0, min(priority, priorities-1))]
	if admitted {
		t.admitted++
		return
	}
	t.refused++
}

// Share returns the highest priority whose requests the target has too little room for, and the percentage of them
// that find room at one of demandTries targets. The share is Full if there is room for all.
func (d *Demand) Share(now clock.Millis) (priority, share int) {
	if now >= d.windowEnd+demandWindow {
		return 0, Full
	}
	for p := range priorities {
		t := tally{d.current[p].admitted + d.previous[p].admitted, d.current[p].refused + d.previous[p].refused}
		if t.total() < minDemand {
			continue
		}
		if share := t.shareAfterTries(); share < enough {
			return p, share
		}
	}
	return 0, Full
}
