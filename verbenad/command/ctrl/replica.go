package ctrl

import (
	"github.com/sirupsen/logrus"

	"verbenabank/core/command/apply"
	"verbenabank/core/command/leader"
	"verbenabank/core/command/raft"
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/peer"
	"verbenabank/core/wire/codec"
	"verbenabank/verbenad/state/view"
)

// snapshotInterval is the number of log entries that are applied between two snapshots.
const snapshotInterval = 4096

// snapshotBytes is the size in bytes of the log entries that are applied between two snapshots, if it is reached earlier.
const snapshotBytes = 8 << 20

// pendingRequest is a request to the replicated log whose result has not arrived yet:
// leaderConfirmation, pendingProposal, pendingRead or pendingZone. The log returns its token with the result.
type pendingRequest interface{ pendingRequest() }

// leaderConfirmation waits for a quorum to confirm that this replica leads. The leader asked for it
// under a token of its own.
type leaderConfirmation struct{ token uint64 }

// pendingProposal waits until its proposal is committed and decided.
type pendingProposal struct{ reply func(ProposalResult) }

// pendingRead waits for a quorum to confirm that this replica leads, before it reads the state.
type pendingRead struct{ reply func(ReadResult) }

// pendingZone is a proposal for a zone that this replica doesn't know.
type pendingZone ZoneDrainProposed

func (leaderConfirmation) pendingRequest() {}
func (pendingRead) pendingRequest()        {}
func (pendingZone) pendingRequest()        {}
func (pendingProposal) pendingRequest()    {}

// stepNode passes an event to the Raft node and carries out the effects. Events that are caused by
// these effects are queued until all of them are carried out, so that batches reach the log store in
// the order in which the node issued them.
func (l *Loop) stepNode(e raft.Event) {
	if l.node == nil {
		return
	}
	l.nodeEvents = append(l.nodeEvents, e)
	if len(l.nodeEvents) > 1 {
		return
	}
	for len(l.nodeEvents) > 0 {
		for _, f := range l.node.Step(l.clock.Now(), l.nodeEvents[0]) {
			l.runNodeEffect(f)
		}
		l.nodeEvents = l.nodeEvents[1:]
	}
}

func (l *Loop) runNodeEffect(f raft.Effect) {
	switch f := f.(type) {
	case raft.Send:
		l.peers.Send(f.Address(), f.Message())
	case raft.Persist:
		l.logStore.Append(f.Batch())
	case raft.Apply:
		for _, c := range f.Entries() {
			l.apply(c)
		}
		l.takeSnapshot()
	case raft.Restore:
		l.restore(f.Snapshot())
	case raft.Confirmed:
		for _, t := range f.Tokens() {
			l.completeConfirmation(t)
		}
	case raft.Dropped:
		for _, t := range f.Tokens() {
			l.dropRequest(t)
		}
	case raft.RoleChanged:
		l.roleChanged(f)
	case raft.InvariantViolated:
		l.fail("replicate", Invariant, f.Err())
	}
}

// apply applies a committed log entry to the fleet state. Entries without a command are skipped.
func (l *Loop) apply(c raft.Committed) {
	p, ok := c.Entry().Payload().(peer.Command)
	if !ok {
		return
	}
	command, timestamp, err := l.codec.DecodeCommand(p.Data())
	if err != nil {
		l.fail("apply", Undecodable, err)
		return
	}
	l.appliedBytes += c.Entry().Size()
	next, effects := apply.Apply(l.fleet, uint64(c.Entry().Index()), timestamp, command)
	l.setFleet(next)
	l.completeProposal(c.Token(), effects)
	l.reportEffects(effects)
	l.logFleetChanges(next)
	if l.leader != nil {
		l.stepLeader(leader.NewApplied(next, command, effects))
	}
}

// completeProposal sends the verdict to the proposer, if the entry was proposed through this replica.
func (l *Loop) completeProposal(token uint64, effects []apply.Effect) {
	p, ok := l.pending[token].(pendingProposal)
	if !ok {
		return
	}
	delete(l.pending, token)
	for _, e := range effects {
		if d, ok := e.(apply.Decided); ok {
			p.reply(Decided{verdict: d.Verdict(), fleet: l.fleet})
		}
	}
}

// logFleetChanges logs the changes of members and of shard and range ownership that the last applied
// command made. Only the leader logs them, since all replicas apply the same commands.
func (l *Loop) logFleetChanges(f *fleet.State) {
	if l.leader == nil {
		return
	}
	for _, r := range f.ControlRecordsSince(f.Index()) {
		if r.Author() == fleet.Control {
			l.log.WithFields(logrus.Fields{
				"index": r.Index(), "subject": r.Subject(), "from": r.From(), "to": r.To(), "outcome": r.Outcome(),
			}).Info("ctrl: change of the fleet")
		}
	}
}

// reportEffects logs decisions on proposed rules and rejected commands, and counts the shard moves that
// begin.
func (l *Loop) reportEffects(effects []apply.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case apply.Rejected:
			l.log.WithError(e.Err()).Debug("ctrl: command rejected")
		case apply.Decided:
			r, _ := l.fleet.NewestRecord()
			l.log.WithFields(logrus.Fields{"author": r.Author(), "from": r.From(), "to": r.To()}).Info("ctrl: " + r.Subject() + " " + r.Outcome())
		case apply.Changed:
			countShardMoves(e.Changes())
		}
	}
}

// setFleet replaces the fleet state. The election timeouts follow its size.
func (l *Loop) setFleet(f *fleet.State) {
	l.fleet = f
	l.node.SetTimeoutScale(raft.TimeoutScale(f.Table().MemberCount()))
}

// restore replaces the fleet state with the one in a snapshot.
func (l *Loop) restore(s peer.Snapshot) {
	f, err := l.codec.DecodeState(s.Data())
	if err != nil {
		l.fail("restore", Undecodable, err)
		return
	}
	l.setFleet(f)
	l.snapshotIndex = uint64(s.Index())
}

// takeSnapshot encodes the state if snapshotInterval entries or snapshotBytes were applied since the last snapshot. The
// encoding runs on a goroutine of its own, since it would block the control goroutine; the state is
// immutable.
func (l *Loop) takeSnapshot() {
	f := l.fleet
	if f.Index() < l.snapshotIndex+snapshotInterval && l.appliedBytes < snapshotBytes {
		return
	}
	l.snapshotIndex, l.appliedBytes = f.Index(), 0
	go func() {
		data, err := codec.EncodeState(f)
		if err != nil {
			l.log.WithError(err).Error("ctrl: cannot encode the fleet state for a snapshot")
			return
		}
		l.Post(SnapshotTaken{index: f.Index(), data: data})
	}()
}

// registerToken returns a new token and records the request that waits for it. p may be nil for a
// proposal whose result nothing waits for.
func (l *Loop) registerToken(p pendingRequest) uint64 {
	l.lastToken++
	if p != nil {
		l.pending[l.lastToken] = p
	}
	return l.lastToken
}

// completeConfirmation handles the confirmation by a quorum that this replica leads.
func (l *Loop) completeConfirmation(token uint64) {
	p, ok := l.pending[token]
	delete(l.pending, token)
	if !ok {
		return
	}
	switch p := p.(type) {
	case leaderConfirmation:
		l.stepLeader(leader.NewConfirmed(p.token))
	case pendingRead:
		p.reply(Confirmed{fleet: l.fleet})
	case pendingZone:
		l.decideUnknownZone(p)
	case pendingProposal:
	}
}

// dropRequest handles a request that the log has dropped, as it does with all requests while this replica
// does not lead. A dropped proposal may still be committed.
func (l *Loop) dropRequest(token uint64) {
	p, ok := l.pending[token]
	delete(l.pending, token)
	if !ok {
		return
	}
	switch p := p.(type) {
	case pendingProposal:
		p.reply(Undecided{leader: l.leaderAddress()})
	case leaderConfirmation:
		l.stepLeader(leader.NewUnconfirmed(p.token))
	case pendingRead:
		p.reply(Unconfirmed{leader: l.leaderAddress()})
	case pendingZone:
		p.reply(Undecided{leader: l.leaderAddress()})
	}
}

// propose proposes a command to the replicated log. p is the request that waits for its result, nil if
// there is none.
func (l *Loop) propose(c logcmd.Command, p pendingRequest) {
	data, err := codec.EncodeCommand(c, l.wallClock())
	if err != nil {
		l.log.WithError(err).Error("ctrl: cannot encode a command for the log")
		return
	}
	l.stepNode(raft.NewProposed(l.registerToken(p), data))
}

// View returns the control state as of the last processed event. It is safe for concurrent use.
func (l *Loop) View() *view.View { return l.view.Load() }

// publishView makes the current state available to queries.
func (l *Loop) publishView() {
	var opts []view.Option
	if l.node != nil {
		opts = append(opts, view.WithStatus(l.node.Status()))
	}
	if l.leader != nil {
		opts = append(opts, view.WithSessions(l.leader.Sessions()))
	}
	l.view.Store(view.New(l.fleet, opts...))
}
