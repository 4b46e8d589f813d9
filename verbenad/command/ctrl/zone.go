package ctrl

import (
	"strings"

	"verbenabank/core/command/raft"
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/snap"
)

// proposeZoneDrain proposes the drain of a zone that a member was ever in. A zone that is not known here is refused
// only after a quorum has confirmed that this replica leads, and not while no zone is known at all: its members may be
// about to join.
func (l *Loop) proposeZoneDrain(e ZoneDrainProposed) {
	switch _, known := l.fleet.Zone(e.proposal.Zone()); {
	case l.leader == nil:
		e.reply(Undecided{leader: l.leaderAddress()})
	case known:
		l.propose(e.proposal, pendingProposal{reply: e.reply})
	default:
		l.stepNode(raft.NewConfirmRequested(l.registerToken(pendingZone(e))))
	}
}

// decideUnknownZone answers the proposal for a zone that was not known, now that this replica is certain to lead.
func (l *Loop) decideUnknownZone(p pendingZone) {
	switch _, known := l.fleet.Zone(p.proposal.Zone()); {
	case known:
		l.proposeZoneDrain(ZoneDrainProposed(p))
	case len(l.fleet.Zones()) == 0:
		p.reply(Undecided{leader: l.leaderAddress()})
	default:
		p.reply(Decided{verdict: fleet.NewInvalid("no instance was ever in the zone " + p.proposal.Zone()), fleet: l.fleet})
	}
}

// logDrainedZones logs the drained zones if they differ from those of the previous snapshot.
func (l *Loop) logDrainedZones(previous, next *snap.Snapshot) {
	if next.Table().SharesDrainedZones(previous.Table()) {
		return
	}
	l.log.WithField("zones", strings.Join(next.Table().DrainedZones(), ",")).WithField("table", next.Table().Version()).
		Info("ctrl: drained zones changed")
}
