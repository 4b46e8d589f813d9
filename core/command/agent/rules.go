package agent

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
)

// A daemon asks other members for rules when its own are unconfirmed: no renewal that it sent in the last
// unconfirmedIntervals renewal intervals was answered. A lost session, a slow leader and a full link look the same
// here, and other members that do have a session have every configuration soon after its acknowledgement.
const (
	unconfirmedIntervals = 2
	askInterval          = 150 * clock.Millisecond
	askFanout            = 3 // members asked at a time
)

// freshness is what the agent knows of how new its rules are.
type freshness struct {
	newest      rules.Rules  // from another member, the zero value if the leader's are as new
	fromLeader  uint64       // version that the leader sent last
	nextAsk     clock.Millis // when other members may be asked again
	askCursor   int          // next member to ask
	lapsed      bool         // the lease on the rules had ended at the last step
	lapsedSince clock.Millis
}

// nextAskDue returns when other members are asked next. Before the first answered renewal they are not asked: a
// restarted daemon could get rules that are older than those it used before.
func (a *Agent) nextAskDue() clock.Millis {
	confirmed := a.holder.RulesConfirmed()
	if confirmed == 0 || a.table.MemberCount() < 2 {
		return never
	}
	return max(a.freshness.nextAsk, confirmed.Add(unconfirmedIntervals*a.params.RenewInterval()))
}

// askRules asks the next members in turn if the rules are unconfirmed.
func (a *Agent) askRules() {
	if a.now < a.nextAskDue() {
		return
	}
	a.freshness.nextAsk = a.now.Add(askInterval)
	if list := a.membersToAsk(); len(list) > 0 {
		a.emit(AskRules{asked: a.now, version: a.table.Rules().Version(), addresses: list})
	}
}

// membersToAsk returns the addresses of the next askFanout members after those asked last. Each daemon starts with
// another one.
func (a *Agent) membersToAsk() []string {
	members := a.table.Members()
	if a.freshness.askCursor == 0 {
		a.freshness.askCursor = int(a.random() % uint64(len(members)))
	}
	var list []string
	for range members {
		m := members[a.freshness.askCursor%len(members)]
		a.freshness.askCursor++
		if m.Address() != a.address {
			list = append(list, m.Address())
		}
		if len(list) == askFanout {
			break
		}
	}
	return list
}

// AnswerRules returns a daemon's answer to a question, from its snapshot at now.
func AnswerRules(q AskRules, s *snap.Snapshot, now clock.Millis) RulesAnswered {
	r := s.Table().Rules()
	e := NewRulesAnswered(q.asked, s.Group(), r.Version())
	if r.Version() > q.version {
		e = e.WithNewer(r)
	}
	if at := s.RulesConfirmed(); at > 0 {
		e = e.WithConfirmation(now.Sub(at))
	}
	return e
}

// rulesAnswered takes newer rules from another member, and its confirmation. What was the newest version at a time is
// not newer than these rules, so they were up to date then as well.
func (a *Agent) rulesAnswered(e RulesAnswered) {
	if a.group == 0 || e.group != a.group {
		return
	}
	if e.newer.Version() > a.table.Rules().Version() {
		a.freshness.newest = e.newer
		a.table = a.withNewestRules(a.table)
	}
	if e.confirmed && e.version <= a.table.Rules().Version() {
		a.holder.RecordConfirmation(e.asked.Sub(e.age))
	}
	a.publish()
}

// withNewestRules returns the table with the rules from another member if they are newer: the leader's updates to
// this daemon may lag behind. A configuration never divides the keys of a service with owners anew, so it
// doesn't matter in which order it and the changes of owners arrive.
func (a *Agent) withNewestRules(t *table.Table) *table.Table {
	if a.freshness.newest.Version() <= t.Rules().Version() {
		return t
	}
	return t.With(t.Version(), table.NewRulesSet(a.freshness.newest))
}

// updatedRules returns the version of the rules after an update of the leader, and whether the update says it.
func updatedRules(e TableUpdated) (uint64, bool) {
	version, found := uint64(0), e.full
	for _, c := range e.changes {
		if r, ok := c.(table.RulesSet); ok {
			version, found = r.Rules().Version(), true
		}
	}
	return version, found
}

// nextRulesLapse returns when the lease on the rules ends.
func (a *Agent) nextRulesLapse() clock.Millis {
	if end := a.holder.RulesEnd(); end > 0 && !a.freshness.lapsed {
		return end
	}
	return never
}

// watchRulesLease reports when the lease on the rules ends, and when it is renewed. With lasting rules the daemon goes on
// in between, but never unnoticed.
func (a *Agent) watchRulesLease() {
	end := a.holder.RulesEnd()
	switch lapsed := end > 0 && a.now >= end; {
	case lapsed && !a.freshness.lapsed:
		a.freshness.lapsed, a.freshness.lapsedSince = true, end
		a.emit(RulesLapsed{})
	case !lapsed && a.freshness.lapsed:
		a.freshness.lapsed = false
		a.emit(RulesRenewed{after: a.now.Sub(a.freshness.lapsedSince)})
	}
}
