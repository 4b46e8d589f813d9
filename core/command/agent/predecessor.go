package agent

import (
	"verbenabank/core/command/hold"
	"verbenabank/core/state/table"
)

// identification is what is known of the process that listens at the address of the target: unidentified, asked or
// identified.
type identification interface{ identification() }

// unidentified means that the process may be another one than the target.
type unidentified struct{}

// asked means that the process was asked for its name.
type asked struct{}

// identified means that the process is the target, so no earlier one listens there.
type identified struct{}

func (unidentified) identification() {}
func (asked) identification()        {}
func (identified) identification()   {}

// endPredecessors tells the leader that the earlier target processes of this instance have ended, which an earlier
// process of the daemon had granted keys: the target listens at their address, and no connection to them is left.
// Until that is certain, their keys wait for the end of their lease.
func (a *Agent) endPredecessors() {
	list := a.predecessors()
	if len(list) == 0 {
		return
	}
	switch a.identification.(type) {
	case unidentified:
		a.identification = asked{}
		a.emit(IdentifyTarget{})
	case asked:
	case identified:
		for _, m := range list {
			a.emit(SendGone{incarnation: m.Incarnation()})
		}
	}
}

// predecessors returns the members that this daemon had with earlier processes of its target, and that own anything.
func (a *Agent) predecessors() []table.Member {
	var list []table.Member
	self := a.member()
	for _, m := range a.table.Members() {
		if m.Precedes(self) && a.table.OwnsAny(m.Service(), m.Incarnation()) {
			list = append(list, m)
		}
	}
	return list
}

// targetIdentified handles the answer to IdentifyTarget.
func (a *Agent) targetIdentified(e TargetIdentified) {
	if e.name != a.target.name {
		return
	}
	a.identification = unidentified{}
	switch e.result.(type) {
	case hold.Done:
		a.identification = identified{}
		if !a.joined {
			a.join()
		}
	case hold.Ended:
		a.targetLost(NewTargetLost(PortClosed{}))
	case hold.Stale, hold.Unanswered, hold.Unreached:
	}
}
