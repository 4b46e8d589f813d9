package raft

import (
	"testing"

	"verbenabank/core/clock"
	"verbenabank/core/state/peer"
)

// single drives one node of a group of three whose other members answer as a
// test says.
type single struct {
	node     *Node
	now      clock.Millis
	accept   func(peer.AppendRequest) peer.Body
	syncs    bool // whether the disk answers
	events   []Event
	commit   peer.Index
	confirms int
	restored int
}

func newSingle(entries ...peer.Entry) *single {
	members := peer.NewMembers(peer.NewReplica(1, "a", peer.Voter{}), peer.NewReplica(2, "b", peer.Voter{}),
		peer.NewReplica(3, "c", peer.Voter{}))
	log := append([]peer.Entry{peer.NewEntry(1, 1, peer.NewMembershipChange(members))}, entries...)
	term := log[len(log)-1].Term()
	s := &single{now: clock.Second, syncs: true, accept: acceptAll}
	s.node = New(WithAddress("a"), WithSeeds("a", "b", "c"),
		WithStored(peer.NewStoredState(peer.NewHardState(1, 9, term, 0, 1), peer.Snapshot{}, log)))
	s.run(Started{})
	return s
}

func acceptAll(r peer.AppendRequest) peer.Body {
	return peer.NewAppendAccepted(r.PreviousIndex()+peer.Index(len(r.Entries())), r.Round())
}

// elect lets the node win an election.
func (s *single) elect() {
	s.now += ElectionMax
	s.run(Ticked{})
}

func (s *single) run(e Event) {
	s.events = append(s.events, e)
	for len(s.events) > 0 {
		next := s.events[0]
		s.events = s.events[1:]
		for _, f := range s.node.Step(s.now, next) {
			s.obey(f)
		}
	}
}

func (s *single) obey(f Effect) {
	switch f := f.(type) {
	case Persist:
		if s.syncs {
			s.events = append(s.events, NewPersisted(f.Batch().Sequence()))
		}
	case Send:
		if b := s.answer(f.Message()); b != nil {
			route := peer.NewHeader(9, f.Message().To(), f.Address(), 1)
			s.events = append(s.events, NewReceived(peer.NewMessage(route, f.Message().Term(), b)))
		}
	case Apply:
		s.commit = f.Entries()[len(f.Entries())-1].Entry().Index()
		if s.commit%4096 == 0 {
			s.events = append(s.events, NewSnapshotTaken(s.commit, nil))
		}
	case Confirmed:
		s.confirms += len(f.Tokens())
	case Restore:
		s.restored++
	case Dropped, RoleChanged, InvariantViolated:
	}
}

func (s *single) answer(m peer.Message) peer.Body {
	switch b := m.Body().(type) {
	case peer.PreVoteRequest:
		return peer.NewPreVoteReply(true)
	case peer.VoteRequest:
		return peer.NewVoteReply(true)
	case peer.AppendRequest:
		return s.accept(b)
	case peer.PreVoteReply, peer.VoteReply, peer.AppendAccepted, peer.AppendRejected, peer.SnapshotChunk,
		peer.SnapshotReply, peer.Hello, peer.HelloReply, peer.Bootstrap, peer.TimeoutNow:
	}
	return nil
}

// TestEarlierTermIsNotCommittedByCount is the case of figure 3.7 of Ongaro's
// thesis: an entry of an earlier term on a quorum is not yet committed.
func TestEarlierTermIsNotCommittedByCount(t *testing.T) {
	s := newSingle(peer.NewEntry(2, 2, peer.NewCommand([]byte("earlier"))))
	s.accept = func(r peer.AppendRequest) peer.Body {
		return peer.NewAppendAccepted(min(2, r.PreviousIndex()+peer.Index(len(r.Entries()))), r.Round())
	}
	s.elect()
	if s.node.Status().Term() != 3 || s.commit != 1 {
		t.Fatalf("committed %d in term %d", s.commit, s.node.Status().Term())
	}
	s.accept = acceptAll
	s.now += Heartbeat
	s.run(Ticked{})
	if s.commit != 3 {
		t.Fatalf("committed %d", s.commit)
	}
}

// TestOwnCountWaitsForOwnSync lets one of two followers accept while the own
// disk is silent.
func TestOwnCountWaitsForOwnSync(t *testing.T) {
	s := newSingle()
	s.elect()
	before := s.commit
	s.syncs = false
	answered := false
	s.accept = func(r peer.AppendRequest) peer.Body {
		if answered || len(r.Entries()) == 0 {
			return nil
		}
		answered = true
		return acceptAll(r)
	}
	s.run(NewProposed(7, []byte("x")))
	if !answered || s.commit != before {
		t.Fatalf("committed %d of %d on one disk", s.commit, before)
	}
	s.run(NewPersisted(1 << 40))
	if s.commit != before+1 {
		t.Fatalf("committed %d", s.commit)
	}
}

// TestQuestionNeedsALaterRound answers a round that started before the question.
func TestQuestionNeedsALaterRound(t *testing.T) {
	s := newSingle()
	s.elect()
	s.accept = func(peer.AppendRequest) peer.Body { return nil }
	s.now += Heartbeat
	s.run(Ticked{})
	s.run(NewConfirmRequested(7))
	earlier := peer.NewAppendAccepted(s.commit, s.node.lead.round)
	s.run(NewReceived(peer.NewMessage(peer.NewHeader(9, 2, "b", 1), s.node.term, earlier)))
	if s.confirms != 0 {
		t.Fatal("confirmed by a round that started before the question")
	}
	s.accept = acceptAll
	s.now += roundSpacing
	s.run(Ticked{})
	if s.confirms != 1 {
		t.Fatal("not confirmed")
	}
}

// TestOneChangeAtATime lets a blank replica prove itself twice while the first
// change that follows from it is not committed.
func TestOneChangeAtATime(t *testing.T) {
	s := newSingle()
	s.elect()
	s.accept = func(peer.AppendRequest) peer.Body { return nil }
	hello := peer.NewMessage(peer.NewHeader(0, 50, "c", 0), 0, peer.NewHello(1, 1))
	for range 2 {
		s.node.admit(hello)
		s.run(Ticked{})
	}
	if s.node.changed != s.commit+1 || s.node.members.Len() != 2 {
		t.Fatalf("changed at %d, committed %d: %v", s.node.changed, s.commit, s.node.members)
	}
}

func TestOtherGroupIsIgnored(t *testing.T) {
	s := newSingle()
	request := peer.NewAppendRequest(0, 0, 0, 1, nil)
	s.run(NewReceived(peer.NewMessage(peer.NewHeader(8, 2, "b", 1), 7, request)))
	if got := s.node.Status(); got.Term() != 1 || got.Leader() != 0 {
		t.Fatalf("%+v", got)
	}
}

// TestBrokenInvariantsStopTheNode sends what only a broken peer sends.
func TestBrokenInvariantsStopTheNode(t *testing.T) {
	conflict := []peer.Entry{peer.NewEntry(1, 1, peer.Noop{}), peer.NewEntry(2, 2, peer.Noop{})}
	for _, c := range []struct {
		term peer.Term
		body peer.Body
		kind Kind
	}{
		{2, peer.NewAppendRequest(1, 1, 0, 1, nil), TwoLeaders},
		{2, peer.NewAppendAccepted(1000, 1), CommittedLost},
		{3, peer.NewAppendRequest(0, 0, 0, 1, conflict[1:]), 0},
		{3, peer.NewAppendRequest(1, 1, 0, 1, conflict[1:]), 0},
		{3, peer.NewAppendRequest(0, 0, 0, 1, []peer.Entry{peer.NewEntry(1, 3, peer.Noop{})}), CommittedLost},
	} {
		s := newSingle()
		s.elect()
		m := peer.NewMessage(peer.NewHeader(9, 2, "b", 1), c.term, c.body)
		kind := Kind(0)
		for _, f := range s.node.Step(s.now, NewReceived(m)) {
			if v, ok := f.(InvariantViolated); ok {
				kind = v.Err().Kind()
			}
		}
		if kind != c.kind {
			t.Fatalf("%T: kind %d", c.body, kind)
		}
	}
}

func BenchmarkCommit(b *testing.B) {
	s := newSingle()
	s.elect()
	command := make([]byte, 100)
	b.ReportAllocs()
	for k := 1; b.Loop(); k++ {
		s.run(NewProposed(uint64(k), command))
	}
	if s.commit < peer.Index(b.N) {
		b.Fatalf("committed %d of %d", s.commit, b.N)
	}
}

// BenchmarkConfirm asks 180 questions and lets a round answer them, as it would
// be with 7200 daemons that renew each 200 ms and a round each 5 ms.
func BenchmarkConfirm(b *testing.B) {
	s := newSingle()
	s.elect()
	token := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		for range 180 {
			token++
			s.run(NewConfirmRequested(token))
		}
		s.now += roundSpacing
		s.run(Ticked{})
	}
	if s.confirms < int(token)-180 {
		b.Fatalf("confirmed %d of %d", s.confirms, token)
	}
}

// voted reports whether a replica that has the entries, of which none is known to be committed,
// votes for another one.
func voted(entries ...peer.Entry) bool {
	n := New(WithAddress("d"), WithSeeds("a"), WithStored(peer.NewStoredState(peer.NewHardState(4, 9, 1, 0, 0), peer.Snapshot{}, entries)))
	n.Step(clock.Second, Started{})
	route := peer.NewHeader(9, 1, "a", 4)
	effects := n.Step(2*clock.Second, NewReceived(peer.NewMessage(route, 2, peer.NewVoteRequest(9, 1, false))))
	for _, f := range effects {
		if p, ok := f.(Persist); ok && p.Batch().HardState().Vote() == 1 {
			return true
		}
	}
	return false
}

// TestVotesNeedAnEntryOfTheGroup wants no vote of a replica that may still enter another group, and
// that of a learner which does not know yet that it was promoted.
func TestVotesNeedAnEntryOfTheGroup(t *testing.T) {
	members := peer.NewMembers(peer.NewReplica(1, "a", peer.Voter{}), peer.NewReplica(4, "d", peer.Learner{}))
	if voted() {
		t.Error("a replica without an entry votes")
	}
	if !voted(peer.NewEntry(1, 1, peer.NewMembershipChange(members))) {
		t.Error("a learner does not vote")
	}
}

// TestVotesOfOthersThanVotersDoNotCount gives a candidate the votes of a learner and of a stranger.
func TestVotesOfOthersThanVotersDoNotCount(t *testing.T) {
	n := newSingle().node
	n.Step(clock.Second+ElectionMax, Ticked{})
	n.campaign(false)
	n.countVote(1)
	for _, id := range []peer.ID{4, 5} {
		n.countVote(id)
	}
	if n.leads() {
		t.Error("leads by votes of others than voters")
	}
}
