package load

// KeyHistorySize is the number of reports that a KeyHistory remembers.
const KeyHistorySize = 10

// recentReports is the number of reports that decide whether a key is hot.
const recentReports = 2

// KeyHistory is the history of one key: which share of the requests of its member it had in the last
// reports of that member.
type KeyHistory struct {
	shares  [KeyHistorySize]float64
	reports int
	rate    float64
}

// With returns the history with one more report: the share, from 0 to 1, and the rate in
// requests per second.
func (h KeyHistory) With(share, rate float64) KeyHistory {
	copy(h.shares[1:], h.shares[:KeyHistorySize-1])
	h.shares[0] = share
	h.reports = min(h.reports+1, KeyHistorySize)
	h.rate = rate
	return h
}

// Rate returns the rate in the last report, in requests per second.
func (h KeyHistory) Rate() float64 { return h.rate }

// LastShare returns the share in the last report.
func (h KeyHistory) LastShare() float64 { return h.shares[0] }

// MinRecentShare returns the lowest share in the last two reports.
func (h KeyHistory) MinRecentShare() float64 {
	low := h.shares[0]
	for _, s := range h.shares[1:recentReports] {
		low = min(low, s)
	}
	return low
}

// MaxShare returns the highest share in the remembered reports.
func (h KeyHistory) MaxShare() float64 {
	var high float64
	for _, s := range h.shares {
		high = max(high, s)
	}
	return high
}

// Reports returns the number of remembered reports, at most KeyHistorySize.
func (h KeyHistory) Reports() int { return h.reports }
