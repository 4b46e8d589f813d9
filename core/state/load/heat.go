package load

// KeyHistorySize is how many reports of a key a Heat remembers.
const KeyHistorySize = 10

// hotReports is how many reports say whether a key is hot.
const hotReports = 2

// KeyHistory is the share of its member's requests that one key had in the last
// reports of that member.
type KeyHistory struct {
	recent [KeyHistorySize]float64
	count  int
	rate   float64
}

// With returns the heat after one more report with the share, from 0 to 1, and
// the rate in requests per second.
func (h KeyHistory) With(share, rate float64) KeyHistory {
	copy(h.recent[1:], h.recent[:KeyHistorySize-1])
	h.recent[0] = share
	h.count = min(h.count+1, KeyHistorySize)
	h.rate = rate
	return h
}

// Rate returns the requests per second of the last report.
func (h KeyHistory) Rate() float64 { return h.rate }

// LastShare returns the share of the last report.
func (h KeyHistory) LastShare() float64 { return h.recent[0] }

// MinRecentShare returns the least share of the last two reports.
func (h KeyHistory) MinRecentShare() float64 {
	low := h.recent[0]
	for _, s := range h.recent[1:hotReports] {
		low = min(low, s)
	}
	return low
}

// MaxShare returns the greatest share of the last ten reports.
func (h KeyHistory) MaxShare() float64 {
	var high float64
	for _, s := range h.recent {
		high = max(high, s)
	}
	return high
}

// Reports returns how many reports there were, at most HeatReports.
func (h KeyHistory) Reports() int { return h.count }
