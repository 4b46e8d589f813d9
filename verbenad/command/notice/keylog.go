package notice

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"verbenabank/core/state/grant"
)

// maxLoggedRows is the number of ranges that a log line lists; it counts the others.
const maxLoggedRows = 64

// logReport logs what the target says about its keys if it differs from its last heartbeat.
func (n *Receiver) logReport(r grant.Report) {
	held := formatRows(r.Held())
	if was, changed := n.swap(&n.held, held); changed || len(r.Freed()) > 0 {
		n.log.WithField("held", held).WithField("was", was).WithField("freed", formatFreed(r.Freed())).Info("keeper: target reports other keys")
	}
}

// logAnswer logs an offer if it differs from the one before.
func (n *Receiver) logAnswer(a grant.Answer) {
	o, ok := a.(grant.Offer)
	if !ok {
		return
	}
	offered := formatRows(o.Rows())
	if was, changed := n.swap(&n.offered, offered); changed {
		n.log.WithField("offered", offered).WithField("was", was).WithField("ttl_ms", int64(o.TTL())).Info("keeper: target is offered other keys")
	}
}

// rejectLogInterval is the least time between two log lines about heartbeats that are not valid.
const rejectLogInterval = time.Second

// HeartbeatRejected logs that a heartbeat was not valid, at most once per rejectLogInterval.
func (n *Receiver) HeartbeatRejected(problem string) {
	n.mu.Lock()
	now := time.Now()
	due := now.Sub(n.rejectLoggedAt) >= rejectLogInterval
	if due {
		n.rejectLoggedAt = now
	}
	n.mu.Unlock()
	if due {
		n.log.WithError(errors.New(problem)).Warn("keeper: heartbeat is not valid and changes nothing")
	}
}

// swap replaces a text and returns the previous one, and whether they differ.
func (n *Receiver) swap(text *string, next string) (previous string, changed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	previous, *text = *text, next
	return previous, previous != next
}

// formatRows formats ranges as "FIRST-LAST@EPOCH", separated by spaces.
func formatRows(rows []grant.Row) string {
	texts := make([]string, 0, min(len(rows), maxLoggedRows))
	for _, r := range rows[:min(len(rows), maxLoggedRows)] {
		texts = append(texts, fmt.Sprintf("%d-%d@%d", r.First(), r.Last(), r.Epoch()))
	}
	return joinRows(texts, len(rows))
}

// formatFreed formats ranges as "FIRST-LAST", separated by spaces.
func formatFreed(rows []grant.FreedRow) string {
	texts := make([]string, 0, min(len(rows), maxLoggedRows))
	for _, r := range rows[:min(len(rows), maxLoggedRows)] {
		texts = append(texts, fmt.Sprintf("%d-%d", r.First(), r.Last()))
	}
	return joinRows(texts, len(rows))
}

// joinRows joins the texts of the first of count rows.
func joinRows(texts []string, count int) string {
	if count <= maxLoggedRows {
		return strings.Join(texts, " ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(texts, " "), count-maxLoggedRows)
}
