package peers

import (
	"verbenabank/core/state/peer"
	"verbenabank/core/wire/wirepb"
)

func encodeEntries(entries []peer.Entry) []*wirepb.LogEntry {
	list := make([]*wirepb.LogEntry, 0, len(entries))
	for _, e := range entries {
		p := &wirepb.LogEntry{Index: uint64(e.Index()), Term: uint64(e.Term())}
		switch b := e.Payload().(type) {
		case peer.Noop:
		case peer.Command:
			p.Payload = &wirepb.LogEntry_Command{Command: b.Data()}
		case peer.MembershipChange:
			p.Payload = &wirepb.LogEntry_Group{Group: encodeMembers(b.Members())}
		}
		list = append(list, p)
	}
	return list
}

func decodeEntries(list []*wirepb.LogEntry) ([]peer.Entry, error) {
	var entries []peer.Entry
	for _, p := range list {
		if err := checkRange("decode entry", p.GetIndex(), p.GetTerm()); err != nil {
			return nil, err
		}
		if p.GetIndex() == 0 || p.GetTerm() == 0 {
			return nil, &Error{operation: "decode entry", kind: OutOfRange}
		}
		payload, err := decodePayload(p)
		if err != nil {
			return nil, err
		}
		entries = append(entries, peer.NewEntry(peer.Index(p.GetIndex()), peer.Term(p.GetTerm()), payload))
	}
	return entries, nil
}

func decodePayload(p *wirepb.LogEntry) (peer.Payload, error) {
	switch b := p.GetPayload().(type) {
	case *wirepb.LogEntry_Command:
		return peer.NewCommand(b.Command), nil
	case *wirepb.LogEntry_Group:
		m, err := decodeMembers(b.Group)
		return peer.NewMembershipChange(m), err
	}
	return peer.Noop{}, nil
}

func encodeMembers(m peer.Members) *wirepb.GroupChange {
	g := &wirepb.GroupChange{}
	for _, r := range m.List() {
		g.Replicas = append(g.Replicas, &wirepb.ReplicaRecord{
			Id: uint64(r.ID()), Address: r.Address(), Learner: !r.IsVoter(),
		})
	}
	return g
}

// decodeMembers returns the members of the group. Each must have an address and an ID that no
// other has, and at least one must be a voter.
func decodeMembers(g *wirepb.GroupChange) (peer.Members, error) {
	seen := map[uint64]bool{}
	var replicas []peer.Replica
	for _, r := range g.GetReplicas() {
		if r.GetId() == 0 || r.GetAddress() == "" || seen[r.GetId()] {
			return peer.Members{}, &Error{operation: "decode members", kind: OutOfRange}
		}
		seen[r.GetId()] = true
		var s peer.Suffrage = peer.Voter{}
		if r.GetLearner() {
			s = peer.Learner{}
		}
		replicas = append(replicas, peer.NewReplica(peer.ID(r.GetId()), r.GetAddress(), s))
	}
	m := peer.NewMembers(replicas...)
	if m.VoterCount() == 0 {
		return peer.Members{}, &Error{operation: "decode members", kind: Missing}
	}
	return m, nil
}
