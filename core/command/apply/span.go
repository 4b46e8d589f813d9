package apply

import (
	"fmt"

	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

// epoch is that of all keys granted by the present command. Indexes only rise, so it is
// above all epochs that any key had.
func (s *step) epoch() table.Epoch { return table.Epoch(s.index) }

func (s *step) grantSpan(c logcmd.GrantSpan) {
	for _, p := range s.table().SpansWithin(c.Service(), c.First(), c.Last()) {
		if _, ok := p.Ownership().(table.Vacant); !ok {
			s.reject("grant span", WrongHolding)
			return
		}
	}
	if c.First() > c.Last() || !s.canOwn("grant span", c.Service(), c.Owner()) {
		return
	}
	s.holdSpan(c.Service(), c.First(), c.Last(), table.NewOwned(c.Owner(), s.epoch()))
	s.spanRecord(c.Service(), c.First(), c.Last(), "", s.instance(c.Owner()), "granted")
}

func (s *step) moveSpan(c logcmd.MoveSpan) {
	p, _ := s.table().SpanAt(c.Service(), c.First())
	h, ok := p.Ownership().(table.Owned)
	if !ok || !p.Covers(c.First(), c.Last()) || h.Owner() == c.Successor() {
		s.reject("move span", WrongHolding)
		return
	}
	if h.Epoch() != c.Epoch() {
		s.reject("move span", StaleEpoch)
		return
	}
	if !s.canOwn("move span", c.Service(), c.Successor()) {
		return
	}
	s.holdSpan(c.Service(), c.First(), c.Last(), table.NewMoving(h.Owner(), c.Successor(), h.Epoch()))
}

// releaseSpan gives moving keys to their successor. They are vacant if it is gone or about
// to leave, and so are keys that their owner gives back unasked.
func (s *step) releaseSpan(c logcmd.ReleaseSpan) {
	p, _ := s.table().SpanAt(c.Service(), c.First())
	if p.Ownership().Epoch() != c.Epoch() || !p.Covers(c.First(), c.Last()) {
		s.reject("release span", StaleEpoch)
		return
	}
	switch h := p.Ownership().(type) {
	case table.Vacant:
		s.reject("release span", WrongHolding)
	case table.Owned:
		s.holdSpan(c.Service(), c.First(), c.Last(), table.NewVacant(h.Epoch()))
		s.spanRecord(c.Service(), c.First(), c.Last(), s.instance(h.Owner()), "", "given back")
	case table.Moving:
		m, ok := s.table().Member(h.To())
		if _, leaving := m.Phase().(table.Leaving); !ok || leaving {
			s.holdSpan(c.Service(), c.First(), c.Last(), table.NewVacant(h.Epoch()))
			return
		}
		next := table.NewOwned(h.To(), s.epoch()).WithHandover(c.Handover())
		s.holdSpan(c.Service(), c.First(), c.Last(), next)
		s.spanRecord(c.Service(), c.First(), c.Last(), s.instance(h.From()), m.Instance(), "moved")
	}
}

// expireSpans ends what a member held and what was on its way to it.
func (s *step) expireSpans(service string, gone table.Incarnation) {
	for _, p := range s.table().Spans(service) {
		switch h := p.Ownership().(type) {
		case table.Vacant:
		case table.Owned:
			if h.Owner() == gone {
				s.holdSpan(service, p.First(), p.Last(), table.NewVacant(h.Epoch()))
			}
		case table.Moving:
			switch gone {
			case h.From():
				s.holdSpan(service, p.First(), p.Last(), table.NewVacant(h.Epoch()))
			case h.To():
				s.holdSpan(service, p.First(), p.Last(), table.NewOwned(h.From(), s.epoch()))
			}
		}
	}
}

func (s *step) holdSpan(service string, first, last table.Key, h table.Ownership) {
	s.change(table.NewSpanSet(service, table.NewSpan(first, last, h)))
}

func (s *step) spanRecord(service string, first, last table.Key, from, to, outcome string) {
	s.record(fleet.Control, fmt.Sprintf("keys %s/%d-%d", service, first, last), from, to,
		fmt.Sprintf("%s at epoch %d", outcome, s.epoch()))
}
