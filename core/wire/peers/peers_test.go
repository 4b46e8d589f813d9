package peers

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"verbenabank/core/state/peer"
	"verbenabank/core/wire/wirepb"
)

func members() peer.Members {
	return peer.NewMembers(peer.NewReplica(7, "127.0.0.1:1", peer.Voter{}), peer.NewReplica(8, "127.0.0.2:1", peer.Learner{}))
}

func entries() []peer.Entry {
	return []peer.Entry{
		peer.NewEntry(4, 2, peer.Noop{}),
		peer.NewEntry(5, 2, peer.NewCommand([]byte("grant"))),
		peer.NewEntry(6, 3, peer.NewMembershipChange(members())),
	}
}

func bodies() []peer.Body {
	snapshot := peer.NewSnapshot(9, 3, members(), []byte("state"))
	return []peer.Body{
		peer.NewPreVoteRequest(5, 2), peer.NewPreVoteReply(true),
		peer.NewVoteRequest(5, 2, true), peer.NewVoteReply(true),
		peer.NewAppendRequest(3, 2, 3, 11, entries()),
		peer.NewAppendAccepted(6, 11), peer.NewAppendRejected(6, 2, 11),
		peer.NewSnapshotChunk(snapshot, 512, true, 11), peer.NewSnapshotReply(9, 517, 11),
		peer.NewHello(3, 4), peer.NewHelloReply(4, 5, true, true), peer.NewBootstrap(members(), 6), peer.TimeoutNow{},
	}
}

func messages() []peer.Message {
	var list []peer.Message
	for _, b := range bodies() {
		list = append(list, peer.NewMessage(peer.NewHeader(1, 2, "127.0.0.2:1", 3), 4, b))
	}
	return list
}

func TestMessagesRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, m := range messages() {
		data, err := proto.Marshal(Encode(m))
		is.NoErr(err)
		p := &wirepb.PeerMessage{}
		is.NoErr(proto.Unmarshal(data, p))
		back, err := Decode(p)
		is.NoErr(err)
		is.Equal(back, m)
	}
}

func TestStoredRecordsRoundTrip(t *testing.T) {
	is := is.New(t)
	b := peer.NewBatch(0, peer.NewHardState(1, 2, 3, 4, 5), peer.Snapshot{}, entries())
	data, err := MarshalBatch(b)
	is.NoErr(err)
	back, err := UnmarshalBatch(data)
	is.NoErr(err)
	is.Equal(back, b)

	s := peer.NewSnapshot(9, 3, members(), []byte("state"))
	data, err = MarshalSnapshot(s)
	is.NoErr(err)
	again, err := UnmarshalSnapshot(data)
	is.NoErr(err)
	is.Equal(again, s)
}

func TestDecodeRejectsInvalidMessages(t *testing.T) {
	is := is.New(t)
	for _, p := range []*wirepb.PeerMessage{
		nil, {}, {From: 1},
		{From: 1, Term: 1 << 63, Message: &wirepb.PeerMessage_TimeoutNow{}},
		{From: 1, Message: &wirepb.PeerMessage_AppendRequest{AppendRequest: &wirepb.AppendRequest{PreviousIndex: 1 << 63}}},
		{From: 1, Message: &wirepb.PeerMessage_AppendRequest{AppendRequest: &wirepb.AppendRequest{Entries: []*wirepb.LogEntry{nil}}}},
		{From: 1, Message: &wirepb.PeerMessage_SnapshotChunk{SnapshotChunk: &wirepb.SnapshotChunk{Index: 1}}},
		{From: 1, Message: &wirepb.PeerMessage_Form{}},
	} {
		_, err := Decode(p)
		is.True(err != nil)
	}
}

func FuzzDecode(f *testing.F) {
	for _, m := range messages() {
		data, _ := proto.Marshal(Encode(m))
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		p := &wirepb.PeerMessage{}
		if proto.Unmarshal(data, p) != nil {
			return
		}
		m, err := Decode(p)
		if err != nil {
			return
		}
		again, err := Decode(Encode(m))
		if err != nil {
			t.Fatalf("%v cannot be decoded after encoding: %v", m, err)
		}
		if !proto.Equal(Encode(m), Encode(again)) {
			t.Fatalf("%v decodes as %v after encoding", m, again)
		}
	})
}

func FuzzStored(f *testing.F) {
	data, _ := MarshalBatch(peer.NewBatch(0, peer.NewHardState(1, 2, 3, 4, 5), peer.Snapshot{}, entries()))
	f.Add(data)
	data, _ = MarshalSnapshot(peer.NewSnapshot(9, 3, members(), []byte("state")))
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = UnmarshalBatch(data)
		_, _ = UnmarshalSnapshot(data)
	})
}
