package load

// fullPercent is the percentage of all requests.
const fullPercent = 100

// Room is what a daemon tells the sender of a request about the room at its target. For a call of another target it is
// the share of new requests that the target serves, for a new request the share that the daemon admits.
type Room struct {
	called   bool
	priority int
	short    int // percentage without room; the zero value of Room has room for all
}

// NewRoom returns the room for new requests of the priority or a lower one, as a percentage of them.
func NewRoom(priority, share int) Room {
	return Room{priority: priority, short: max(0, min(fullPercent, fullPercent-share))}
}

// ForCall returns the room as told to the sender of a call.
func (r Room) ForCall() Room {
	r.called = true
	return r
}

// Called reports whether the request is a call that a target makes while it runs another request.
func (r Room) Called() bool { return r.called }

// Priority returns the highest priority that the share applies to.
func (r Room) Priority() int { return r.priority }

// Share returns the percentage of new requests that there is room for.
func (r Room) Share() int { return fullPercent - r.short }
