package agent

import (
	"verbenabank/core/clock"
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

// nextAskDue returns when other members are asked next. Before the first answered renewal they are not asked: a
// restarted daemon could get rules that are older than those it used before.
func (a *Agent) nextAskDue() clock.Millis {
	confirmed := a.holder.RulesConfirmed()
	if confirmed == 0 || a.table.MemberCount() < 2 {
		return never
	}
	return max(a.nextAsk, confirmed.Add(unconfirmedIntervals*a.params.RenewInterval()))
}

// askRules asks the next members in turn if the rules are unconfirmed.
func (a *Agent) askRules() {
	if a.now < a.nextAskDue() {
		return
	}
	a.nextAsk = a.now.Add(askInterval)
	if list := a.membersToAsk(); len(list) > 0 {
		a.emit(AskRules{asked: a.now, version: a.table.Rules().Version(), addresses: list})
	}
}

// membersToAsk returns the addresses of the next askFanout members after those asked last. Each daemon starts with
// another one.
func (a *Agent) membersToAsk() []string {
	members := a.table.Members()
	if a.askCursor == 0 {
		a.askCursor = int(a.random() % uint64(len(members)))
	}
	var list []string
	for range members {
		m := members[a.askCursor%len(members)]
		a.askCursor++
		if m.Address() != a.address {
			list = append(list, m.Address())
		}
		if len(list) == askFanout {
			break
		}
	}
	return list
}

// rulesAnswered takes newer rules from another member, and its confirmation. What was the newest version at a time is
// not newer than these rules, so they were up to date then as well.
func (a *Agent) rulesAnswered(e RulesAnswered) {
	if a.group == 0 || e.group != a.group {
		return
	}
	if e.newer.Version() > a.table.Rules().Version() {
		a.newestRules = e.newer
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
	if a.newestRules.Version() <= t.Rules().Version() {
		return t
	}
	return t.With(t.Version(), table.NewRulesSet(a.newestRules))
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
	if end := a.holder.RulesEnd(); end > 0 && !a.rulesLapsed {
		return end
	}
	return never
}

// watchRulesLease reports when the lease on the rules ends, and when it is renewed. With lasting rules the daemon goes on
// in between, but never unnoticed.
func (a *Agent) watchRulesLease() {
	end := a.holder.RulesEnd()
	switch lapsed := end > 0 && a.now >= end; {
	case lapsed && !a.rulesLapsed:
		a.rulesLapsed, a.lapsedSince = true, end
		a.emit(RulesLapsed{})
	case !lapsed && a.rulesLapsed:
		a.rulesLapsed = false
		a.emit(RulesRenewed{after: a.now.Sub(a.lapsedSince)})
	}
}
