package apply

import (
	"fmt"

	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

// newEpoch returns the epoch of all keys that this command grants: its log index. Indexes only
// rise, so it is above every epoch that a key had before.
func (t *transition) newEpoch() table.Epoch { return table.Epoch(t.index) }

func (t *transition) grantSpan(c logcmd.GrantSpan) {
	for _, p := range t.table().SpansWithin(c.Service(), c.First(), c.Last()) {
		if _, ok := p.Ownership().(table.Vacant); !ok {
			t.reject("grant span", UnexpectedOwnership)
			return
		}
	}
	if c.First() > c.Last() || !t.checkOwner("grant span", c.Service(), c.Owner()) {
		return
	}
	t.setSpan(c.Service(), c.First(), c.Last(), table.NewOwned(c.Owner(), t.newEpoch()))
	t.recordSpan(c.Service(), c.First(), c.Last(), "", t.instanceOf(c.Owner()), "granted")
}

func (t *transition) moveSpan(c logcmd.MoveSpan) {
	p, _ := t.table().SpanAt(c.Service(), c.First())
	h, ok := p.Ownership().(table.Owned)
	if !ok || !p.Covers(c.First(), c.Last()) || h.Owner() == c.Successor() {
		t.reject("move span", UnexpectedOwnership)
		return
	}
	if h.Epoch() != c.Epoch() {
		t.reject("move span", StaleEpoch)
		return
	}
	if !t.checkOwner("move span", c.Service(), c.Successor()) {
		return
	}
	t.setSpan(c.Service(), c.First(), c.Last(), table.NewMoving(h.Owner(), c.Successor(), h.Epoch()))
}

// releaseSpan makes the successor the owner of moving keys. The keys become vacant if the
// successor is gone or leaving or in a drained zone, or if their owner releases them without a move.
func (t *transition) releaseSpan(c logcmd.ReleaseSpan) {
	p, _ := t.table().SpanAt(c.Service(), c.First())
	if p.Ownership().Epoch() != c.Epoch() || !p.Covers(c.First(), c.Last()) {
		t.reject("release span", StaleEpoch)
		return
	}
	switch h := p.Ownership().(type) {
	case table.Vacant:
		t.reject("release span", UnexpectedOwnership)
	case table.Owned:
		t.setSpan(c.Service(), c.First(), c.Last(), table.NewVacant(h.Epoch()))
		t.recordSpan(c.Service(), c.First(), c.Last(), t.instanceOf(h.Owner()), "", "given back")
	case table.Moving:
		m, ok := t.table().Member(h.To())
		if !ok || !t.mayOwn(m) {
			t.setSpan(c.Service(), c.First(), c.Last(), table.NewVacant(h.Epoch()))
			return
		}
		next := table.NewOwned(h.To(), t.newEpoch()).WithHandover(c.Handover())
		t.setSpan(c.Service(), c.First(), c.Last(), next)
		t.recordSpan(c.Service(), c.First(), c.Last(), t.instanceOf(h.From()), m.Instance(), "moved")
	}
}

// vacateSpans vacates the spans that a removed member held. Spans that were moving to it stay with
// their owner under a new epoch.
func (t *transition) vacateSpans(service string, gone table.Incarnation) {
	for _, p := range t.table().Spans(service) {
		switch h := p.Ownership().(type) {
		case table.Vacant:
		case table.Owned:
			if h.Owner() == gone {
				t.setSpan(service, p.First(), p.Last(), table.NewVacant(h.Epoch()))
			}
		case table.Moving:
			switch gone {
			case h.From():
				t.setSpan(service, p.First(), p.Last(), table.NewVacant(h.Epoch()))
			case h.To():
				t.setSpan(service, p.First(), p.Last(), table.NewOwned(h.From(), t.newEpoch()))
			}
		}
	}
}

func (t *transition) setSpan(service string, first, last table.Key, h table.Ownership) {
	t.change(table.NewSpanSet(service, table.NewSpan(first, last, h)))
}

func (t *transition) recordSpan(service string, first, last table.Key, from, to, outcome string) {
	t.record(fleet.Control, fmt.Sprintf("keys %s/%d-%d", service, first, last), from, to,
		fmt.Sprintf("%s at epoch %d", outcome, t.newEpoch()))
}
