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

// packEvery is how many entries are applied between two snapshots.
const packEvery = 4096

// pending is what waits for a token of the log: round or offer.
type pending interface{ pending() }

// round waits for a confirmation of the leader.
type round struct{ token uint64 }

// offer waits for a verdict.
type offer struct{ answer func(ProposalResult) }

// question waits for a quorum to confirm that this replica leads.
type question struct{ answer func(ReadResult) }

func (round) pending()    {}
func (question) pending() {}
func (offer) pending()    {}

// stepNode carries out what the replicated log decides. Events that arise from
// its effects wait until all of these are carried out, so that batches reach the
// disk in their order.
func (l *Loop) stepNode(e raft.Event) {
	if l.node == nil {
		return
	}
	l.waiting = append(l.waiting, e)
	if len(l.waiting) > 1 {
		return
	}
	for len(l.waiting) > 0 {
		for _, f := range l.node.Step(l.clock.Now(), l.waiting[0]) {
			l.replicate(f)
		}
		l.waiting = l.waiting[1:]
	}
}

func (l *Loop) replicate(f raft.Effect) {
	switch f := f.(type) {
	case raft.Send:
		l.peers.Send(f.Address(), f.Message())
	case raft.Persist:
		l.disk.Append(f.Batch())
	case raft.Apply:
		for _, c := range f.Entries() {
			l.apply(c)
		}
		l.pack()
	case raft.Restore:
		l.restore(f.Snapshot())
	case raft.Confirmed:
		for _, t := range f.Tokens() {
			l.confirmed(t)
		}
	case raft.Dropped:
		for _, t := range f.Tokens() {
			l.dropped(t)
		}
	case raft.RoleChanged:
		l.became(f)
	case raft.InvariantViolated:
		l.fail("replicate", Invariant, f.Err())
	}
}

// apply carries out one committed entry.
func (l *Loop) apply(c raft.Committed) {
	p, ok := c.Entry().Payload().(peer.Command)
	if !ok {
		return
	}
	command, stamp, err := l.codec.DecodeCommand(p.Data())
	if err != nil {
		l.fail("apply", BadEntry, err)
		return
	}
	next, effects := apply.Apply(l.fleet, uint64(c.Entry().Index()), stamp, command)
	l.fleet = next
	l.answer(c.Token(), effects)
	l.report(effects)
	l.record(next)
	if l.leader != nil {
		l.stepLeader(leader.NewApplied(next, command, effects))
	}
}

// answer tells who offered a configuration what became of it.
func (l *Loop) answer(token uint64, effects []apply.Effect) {
	o, ok := l.pending[token].(offer)
	if !ok {
		return
	}
	delete(l.pending, token)
	for _, e := range effects {
		if d, ok := e.(apply.Decided); ok {
			o.answer(Decided{verdict: d.Verdict(), fleet: l.fleet})
		}
	}
}

// record logs what a command changed, on the leader: members and owners of keys.
func (l *Loop) record(f *fleet.State) {
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

// report logs what the audit trail gained and what was rejected.
func (l *Loop) report(effects []apply.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case apply.Rejected:
			l.log.WithError(e.Err()).Debug("ctrl: command rejected")
		case apply.Decided:
			r, _ := l.fleet.NewestRecord()
			l.log.WithFields(logrus.Fields{"author": r.Author(), "from": r.From(), "to": r.To()}).Info("ctrl: rules " + r.Outcome())
		case apply.Changed:
			countMoves(e.Changes())
		}
	}
}

func (l *Loop) restore(s peer.Snapshot) {
	f, err := l.codec.DecodeState(s.Data())
	if err != nil {
		l.fail("restore", BadEntry, err)
		return
	}
	l.fleet = f
	l.packed = uint64(s.Index())
}

// pack encodes the state off the control goroutine once enough was applied.
func (l *Loop) pack() {
	f := l.fleet
	if f.Index() < l.packed+packEvery {
		return
	}
	l.packed = f.Index()
	go func() {
		data, err := codec.EncodeState(f)
		if err != nil {
			l.log.WithError(err).Error("ctrl: state cannot be encoded")
			return
		}
		l.Post(Compacted{index: f.Index(), data: data})
	}()
}

// nextToken returns a token of its own, and remembers what waits for it, if
// anything does.
func (l *Loop) nextToken(p pending) uint64 {
	l.token++
	if p != nil {
		l.pending[l.token] = p
	}
	return l.token
}

func (l *Loop) confirmed(token uint64) {
	p, ok := l.pending[token]
	delete(l.pending, token)
	if !ok {
		return
	}
	switch p := p.(type) {
	case round:
		l.stepLeader(leader.NewConfirmed(p.token))
	case question:
		p.answer(Confirmed{fleet: l.fleet})
	case offer:
	}
}

func (l *Loop) dropped(token uint64) {
	p, ok := l.pending[token]
	delete(l.pending, token)
	if !ok {
		return
	}
	switch p := p.(type) {
	case offer:
		p.answer(Undecided{leader: l.leaderAddress()})
	case round:
		l.stepLeader(leader.NewUnconfirmed(p.token))
	case question:
		p.answer(Unconfirmed{leader: l.leaderAddress()})
	}
}

// propose appends a command to the log.
func (l *Loop) propose(c logcmd.Command, p pending) {
	data, err := codec.EncodeCommand(c, l.stamp())
	if err != nil {
		l.log.WithError(err).Error("ctrl: command cannot be encoded")
		return
	}
	l.stepNode(raft.NewProposed(l.nextToken(p), data))
}

// View returns the control state as it was after the last event.
func (l *Loop) View() *view.View { return l.view.Load() }

// show publishes the state for queries.
func (l *Loop) show() {
	var opts []view.Option
	if l.node != nil {
		opts = append(opts, view.WithStatus(l.node.Status()))
	}
	if l.leader != nil {
		opts = append(opts, view.WithSessions(l.leader.Sessions()))
	}
	l.view.Store(view.New(l.fleet, opts...))
}
