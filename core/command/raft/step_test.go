package raft

import (
	"testing"

	"verbenabank/core/clock"
	"verbenabank/core/state/peer"
)

// singleNode drives one node of a group of three. The replies of the other members are set by the test.
type singleNode struct {
	node      *Node
	now       clock.Millis
	accept    func(peer.AppendRequest) peer.Body
	diskSyncs bool // whether the disk confirms batches
	events    []Event
	commit    peer.Index
	confirms  int
	restored  int
}

func newSingleNode(entries ...peer.Entry) *singleNode {
	members := peer.NewMembers(peer.NewReplica(1, "a", peer.Voter{}), peer.NewReplica(2, "b", peer.Voter{}),
		peer.NewReplica(3, "c", peer.Voter{}))
	log := append([]peer.Entry{peer.NewEntry(1, 1, peer.NewMembershipChange(members))}, entries...)
	term := log[len(log)-1].Term()
	s := &singleNode{now: clock.Second, diskSyncs: true, accept: acceptAll}
	s.node = New(WithAddress("a"), WithSeeds("a", "b", "c"),
		WithStored(peer.NewStoredState(peer.NewHardState(1, 9, term, 0, 1), peer.Snapshot{}, log)))
	s.run(Started{})
	return s
}

func acceptAll(r peer.AppendRequest) peer.Body {
	return peer.NewAppendAccepted(r.PreviousIndex()+peer.Index(len(r.Entries())), r.Round())
}

// elect makes the node win an election.
func (s *singleNode) elect() {
	s.now += ElectionTimeoutMax
	s.run(Ticked{})
}

func (s *singleNode) run(e Event) {
	s.events = append(s.events, e)
	for len(s.events) > 0 {
		next := s.events[0]
		s.events = s.events[1:]
		for _, f := range s.node.Step(s.now, next) {
			s.execute(f)
		}
	}
}

func (s *singleNode) execute(f Effect) {
	switch f := f.(type) {
	case Persist:
		if s.diskSyncs {
			s.events = append(s.events, NewPersisted(f.Batch().Sequence()))
		}
	case Send:
		if b := s.answer(f.Message()); b != nil {
			header := peer.NewHeader(9, f.Message().To(), f.Address(), 1)
			s.events = append(s.events, NewReceived(peer.NewMessage(header, f.Message().Term(), b)))
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

func (s *singleNode) answer(m peer.Message) peer.Body {
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

// TestEarlierTermIsNotCommittedByCount is the case of figure 3.7 of Ongaro's thesis: an entry of an
// earlier term that is stored on a quorum is not committed yet.
func TestEarlierTermIsNotCommittedByCount(t *testing.T) {
	s := newSingleNode(peer.NewEntry(2, 2, peer.NewCommand([]byte("earlier"))))
	s.accept = func(r peer.AppendRequest) peer.Body {
		return peer.NewAppendAccepted(min(2, r.PreviousIndex()+peer.Index(len(r.Entries()))), r.Round())
	}
	s.elect()
	if s.node.Status().Term() != 3 || s.commit != 1 {
		t.Fatalf("committed %d in term %d", s.commit, s.node.Status().Term())
	}
	s.accept = acceptAll
	s.now += HeartbeatInterval
	s.run(Ticked{})
	if s.commit != 3 {
		t.Fatalf("committed %d", s.commit)
	}
}

// TestOwnCountWaitsForOwnSync lets one of two followers accept an entry while the local disk does not
// answer. The entry must not be committed.
func TestOwnCountWaitsForOwnSync(t *testing.T) {
	s := newSingleNode()
	s.elect()
	before := s.commit
	s.diskSyncs = false
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
		t.Fatalf("committed %d, after %d before, without the local disk", s.commit, before)
	}
	s.run(NewPersisted(1 << 40))
	if s.commit != before+1 {
		t.Fatalf("committed %d", s.commit)
	}
}

// TestConfirmationNeedsLaterRound acknowledges a round that started before the confirmation request.
func TestConfirmationNeedsLaterRound(t *testing.T) {
	s := newSingleNode()
	s.elect()
	s.accept = func(peer.AppendRequest) peer.Body { return nil }
	s.now += HeartbeatInterval
	s.run(Ticked{})
	s.run(NewConfirmRequested(7))
	earlier := peer.NewAppendAccepted(s.commit, s.node.lead.round)
	s.run(NewReceived(peer.NewMessage(peer.NewHeader(9, 2, "b", 1), s.node.term, earlier)))
	if s.confirms != 0 {
		t.Fatal("confirmed by a round that started before the request")
	}
	s.accept = acceptAll
	s.now += minRoundInterval
	s.run(Ticked{})
	if s.confirms != 1 {
		t.Fatal("not confirmed by a round that started after the request")
	}
}

// TestOneMembershipChangeAtATime admits a blank replica twice while the first membership change that
// results from it is not committed.
func TestOneMembershipChangeAtATime(t *testing.T) {
	s := newSingleNode()
	s.elect()
	s.accept = func(peer.AppendRequest) peer.Body { return nil }
	hello := peer.NewMessage(peer.NewHeader(0, 50, "c", 0), 0, peer.NewHello(1, 1))
	for range 2 {
		s.node.admitReplica(hello)
		s.run(Ticked{})
	}
	if s.node.membersIndex != s.commit+1 || s.node.members.Len() != 2 {
		t.Fatalf("members set at index %d, committed %d: %v", s.node.membersIndex, s.commit, s.node.members)
	}
}

func TestOtherGroupIsIgnored(t *testing.T) {
	s := newSingleNode()
	request := peer.NewAppendRequest(0, 0, 0, 1, nil)
	s.run(NewReceived(peer.NewMessage(peer.NewHeader(8, 2, "b", 1), 7, request)))
	if got := s.node.Status(); got.Term() != 1 || got.Leader() != 0 {
		t.Fatalf("%+v", got)
	}
}

// TestInvariantViolationStopsNode sends messages that only a faulty peer sends.
func TestInvariantViolationStopsNode(t *testing.T) {
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
		s := newSingleNode()
		s.elect()
		m := peer.NewMessage(peer.NewHeader(9, 2, "b", 1), c.term, c.body)
		kind := Kind(0)
		for _, f := range s.node.Step(s.now, NewReceived(m)) {
			if v, ok := f.(InvariantViolated); ok {
				kind = v.Err().Kind()
			}
		}
		if kind != c.kind {
			t.Fatalf("%T: violation of kind %d", c.body, kind)
		}
	}
}

func BenchmarkCommit(b *testing.B) {
	s := newSingleNode()
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

// BenchmarkConfirm makes 180 confirmation requests and answers them with one round. This corresponds to
// 7200 daemons that each renew every 200 ms, with a round every 5 ms.
func BenchmarkConfirm(b *testing.B) {
	s := newSingleNode()
	s.elect()
	token := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		for range 180 {
			token++
			s.run(NewConfirmRequested(token))
		}
		s.now += minRoundInterval
		s.run(Ticked{})
	}
	if s.confirms < int(token)-180 {
		b.Fatalf("confirmed %d of %d", s.confirms, token)
	}
}

// voted reports whether a replica with the given entries, none of which is known to be committed, votes
// for another one.
func voted(entries ...peer.Entry) bool {
	n := New(WithAddress("d"), WithSeeds("a"), WithStored(peer.NewStoredState(peer.NewHardState(4, 9, 1, 0, 0), peer.Snapshot{}, entries)))
	n.Step(clock.Second, Started{})
	header := peer.NewHeader(9, 1, "a", 4)
	effects := n.Step(2*clock.Second, NewReceived(peer.NewMessage(header, 2, peer.NewVoteRequest(9, 1, false))))
	for _, f := range effects {
		if p, ok := f.(Persist); ok && p.Batch().HardState().Vote() == 1 {
			return true
		}
	}
	return false
}

// TestVoteRequiresLogEntry checks that a replica that may still join another group does not vote, and
// that a learner which does not know yet that it was promoted does.
func TestVoteRequiresLogEntry(t *testing.T) {
	members := peer.NewMembers(peer.NewReplica(1, "a", peer.Voter{}), peer.NewReplica(4, "d", peer.Learner{}))
	if voted() {
		t.Error("a replica without an entry of the group voted")
	}
	if !voted(peer.NewEntry(1, 1, peer.NewMembershipChange(members))) {
		t.Error("a learner with an entry of the group did not vote")
	}
}

// TestOnlyVotersAreCounted gives a candidate the votes of a learner and of a replica that is no member.
func TestOnlyVotersAreCounted(t *testing.T) {
	n := newSingleNode().node
	n.Step(clock.Second+ElectionTimeoutMax, Ticked{})
	n.campaign(false)
	n.countVote(1)
	for _, id := range []peer.ID{4, 5} {
		n.countVote(id)
	}
	if n.leads() {
		t.Error("won an election by votes of replicas that are no voters")
	}
}
