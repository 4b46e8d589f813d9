package codec

import (
	"verbenabank/core/clock"
	"verbenabank/core/command/agent"
	"verbenabank/core/command/leader"
	"verbenabank/core/state/load"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
	"verbenabank/core/wire/wirepb"
)

// EncodeJoin returns the report by which a daemon joins as a member.
func EncodeJoin(e agent.SendJoin) *wirepb.Report {
	return &wirepb.Report{Report: &wirepb.Report_Join{Join: encodeJoin(e.Member(), e.Group())}}
}

// EncodeLeave returns the report that the member is about to leave and its shards have to move.
func EncodeLeave(e agent.SendLeave) *wirepb.Report {
	m := &wirepb.Leave{Incarnation: uint64(e.Incarnation()), TargetLeft: e.TargetLeft()}
	return &wirepb.Report{Report: &wirepb.Report_Leave{Leave: m}}
}

// EncodeGone returns the report that the member owns nothing and will not own anything again.
func EncodeGone(e agent.SendGone) *wirepb.Report {
	return &wirepb.Report{Report: &wirepb.Report_Leave{Leave: &wirepb.Leave{Incarnation: uint64(e.Incarnation()), Gone: true}}}
}

// EncodeRenew returns the lease renewal, with the releases and the load since the previous one.
func EncodeRenew(e agent.SendRenew) *wirepb.Report {
	m := &wirepb.Renew{Incarnation: uint64(e.Incarnation()), Sequence: e.Sequence(), TableVersion: e.Version()}
	for _, r := range e.Releases() {
		m.Releases = append(m.Releases, encodeRelease(r))
	}
	for _, s := range e.Report().Shards() {
		m.Loads = append(m.Loads, &wirepb.ShardLoad{Shard: uint32(s.Shard()), Requests: s.Requests(), BusyMs: s.Busy()})
	}
	for _, r := range e.Spans() {
		m.Released = append(m.Released, encodeSpanRelease(r))
	}
	for _, c := range e.Report().Cells() {
		m.Cells = append(m.Cells, &wirepb.CellLoad{Cell: uint32(c.Number()), Requests: c.Requests()})
	}
	if p := e.Report().TargetStats(); p.Slots() > 0 {
		m.Pace = &wirepb.Pace{Slots: uint32(p.Slots()), MeanUs: uint64(p.MeanTime() * 1000), Waiting: uint64(p.Waiting())}
	}
	for _, k := range e.Report().HotKeys() {
		m.Hot = append(m.Hot, &wirepb.KeyLoad{Key: k.Key(), Requests: k.Requests()})
	}
	return &wirepb.Report{Report: &wirepb.Report_Renew{Renew: m}}
}

// DecodeReport returns the leader's event for a report that arrived in the session.
func DecodeReport(s leader.SessionID, m *wirepb.Report) (leader.Event, error) {
	switch x := m.GetReport().(type) {
	case *wirepb.Report_Join:
		if x.Join.GetIncarnation() == 0 {
			return nil, newError("join", Missing, nil)
		}
		return leader.NewJoinRequested(s, decodeJoin(x.Join), x.Join.GetGroup()), nil
	case *wirepb.Report_Renew:
		return decodeRenew(s, x.Renew), nil
	case *wirepb.Report_Leave:
		i := table.Incarnation(x.Leave.GetIncarnation())
		if x.Leave.GetGone() {
			return leader.NewGoneReported(i), nil
		}
		return leader.NewLeaveRequested(i).WithTargetLeft(x.Leave.GetTargetLeft()), nil
	}
	return nil, newError("report", Missing, nil)
}

func decodeRenew(s leader.SessionID, m *wirepb.Renew) leader.Event {
	releases := make([]logcmd.Release, 0, len(m.GetReleases()))
	for _, r := range m.GetReleases() {
		releases = append(releases, decodeRelease(r))
	}
	shards := make([]load.Shard, 0, len(m.GetLoads()))
	for _, l := range m.GetLoads() {
		shards = append(shards, load.NewShard(table.Shard(l.GetShard()), l.GetRequests(), l.GetBusyMs()))
	}
	keys := make([]load.Key, 0, len(m.GetHot()))
	for _, k := range m.GetHot() {
		keys = append(keys, load.NewKey(k.GetKey(), k.GetRequests()))
	}
	var cells []load.Cell
	for _, c := range m.GetCells() {
		cells = append(cells, load.NewCell(int(c.GetCell()), c.GetRequests()))
	}
	var spans []logcmd.ReleaseSpan
	for _, r := range m.GetReleased() {
		spans = append(spans, decodeSpanRelease(r))
	}
	p := load.NewTargetStats(int(m.GetPace().GetSlots()), float64(m.GetPace().GetMeanUs())/1000, int(m.GetPace().GetWaiting()))
	return leader.NewRenewRequested(s, table.Incarnation(m.GetIncarnation()), m.GetSequence(), m.GetTableVersion(),
		releases, load.NewReport(shards, keys).WithCells(cells, p)).WithSpans(spans)
}

// EncodeLease returns the leader's answer to a renewal. Its TTLs run from the time at which the
// daemon sent the renewal. group is the ID of the control group.
func EncodeLease(e leader.SendLease, group uint64) *wirepb.Order {
	return &wirepb.Order{Order: &wirepb.Order_Lease{Lease: &wirepb.Lease{
		Sequence: e.Sequence(), LeaseMs: int64(e.TTL()), RulesMs: int64(e.RulesTTL()),
		TableVersion: e.Version(), Group: group,
	}}}
}

// EncodeUpdate returns the order that updates the daemon's copy of the routing table.
func EncodeUpdate(u leader.Update) *wirepb.Order {
	return &wirepb.Order{Order: &wirepb.Order_Update{Update: &wirepb.Update{
		Full: u.Full(), From: u.From(), To: u.To(), Changes: EncodeChanges(u.Changes()),
	}}}
}

// EncodeRejoin returns the order to join again: the incarnation is not a member.
func EncodeRejoin(e leader.SendRejoin) *wirepb.Order {
	return &wirepb.Order{Order: &wirepb.Order_Rejoin{Rejoin: &wirepb.Rejoin{Incarnation: uint64(e.Incarnation())}}}
}

// EncodeRedirect returns the order to connect to the leader at address, "" if the leader is not
// known.
func EncodeRedirect(address string) *wirepb.Order {
	return &wirepb.Order{Order: &wirepb.Order_Redirect{Redirect: &wirepb.Redirect{Address: address}}}
}

// EncodeWelcome returns the first order of a session, by which the leader identifies its group
// and lists the addresses of the group's replicas.
func EncodeWelcome(group uint64, replicas []string) *wirepb.Order {
	return &wirepb.Order{Order: &wirepb.Order_Welcome{Welcome: &wirepb.Welcome{Group: group, Replicas: replicas}}}
}

// DecodeOrder returns the agent's event for an order of the leader. Redirect and Welcome concern
// the session and not the agent: they are an error here.
func (c *Codec) DecodeOrder(m *wirepb.Order) (agent.Event, error) {
	switch x := m.GetOrder().(type) {
	case *wirepb.Order_Lease:
		l := x.Lease
		return agent.NewLeaseGranted(l.GetSequence(), clock.Millis(l.GetLeaseMs()), clock.Millis(l.GetRulesMs()),
			l.GetTableVersion(), l.GetGroup()), nil
	case *wirepb.Order_Update:
		changes, err := c.DecodeChanges(x.Update.GetChanges())
		return agent.NewTableUpdated(x.Update.GetFull(), x.Update.GetFrom(), x.Update.GetTo(), changes), err
	case *wirepb.Order_Rejoin:
		return agent.NewRejoinRequired(table.Incarnation(x.Rejoin.GetIncarnation())), nil
	case *wirepb.Order_Redirect, *wirepb.Order_Welcome:
	}
	return nil, newError("order", Missing, nil)
}
