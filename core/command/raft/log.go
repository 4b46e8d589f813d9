package raft

import "verbenabank/core/state/peer"

// memlog is the part of the log that is kept in memory: all entries after index base.
type memlog struct {
	base    peer.Index
	term    peer.Term    // of the entry at base
	members peer.Members // at base
	entries []peer.Entry
}

func (l *memlog) last() peer.Index { return l.base + peer.Index(len(l.entries)) }

func (l *memlog) lastTerm() peer.Term { return l.termAt(l.last()) }

// termAt returns the term of the entry at i, 0 if it is not in memory.
func (l *memlog) termAt(i peer.Index) peer.Term {
	if i == l.base {
		return l.term
	}
	if i < l.base || i > l.last() {
		return 0
	}
	return l.at(i).Term()
}

// at returns the entry at i, which must be after base and not after last.
func (l *memlog) at(i peer.Index) peer.Entry { return l.entries[i-l.base-1] }

// matches reports whether the entry at i is in memory, or at base, and has term t.
func (l *memlog) matches(i peer.Index, t peer.Term) bool {
	return i >= l.base && i <= l.last() && l.termAt(i) == t
}

// append adds entries after the last one.
func (l *memlog) append(entries ...peer.Entry) { l.entries = append(l.entries, entries...) }

// truncate removes the entry at i and all after it. It copies, so slices returned earlier stay valid.
func (l *memlog) truncate(i peer.Index) {
	keep := i - l.base - 1
	l.entries = append([]peer.Entry(nil), l.entries[:keep]...)
}

// entriesFrom returns the entries from i on: as many as fit into limit bytes, but at least one.
func (l *memlog) entriesFrom(i peer.Index, limit int) []peer.Entry {
	all := l.entries[i-l.base-1:]
	size := 0
	for k, e := range all {
		size += e.Size()
		if k > 0 && size > limit {
			return all[:k:k]
		}
	}
	return all[:len(all):len(all)]
}

// membersAt returns the members in force at index i, committed or not, and the index of the entry
// that set them, or base if that entry is not in memory.
func (l *memlog) membersAt(i peer.Index) (peer.Members, peer.Index) {
	for ; i > l.base; i-- {
		if c, ok := l.at(i).Payload().(peer.MembershipChange); ok {
			return c.Members(), i
		}
	}
	return l.members, l.base
}

// trailingFrom returns the index after which the trailing entries up to end begin: at most count of them, of at most limit
// bytes.
func (l *memlog) trailingFrom(end, count peer.Index, limit int) peer.Index {
	i, size := end, 0
	for i > l.base && end-i < count {
		if size += l.at(i).Size(); size > limit {
			break
		}
		i--
	}
	return i
}

// compact discards the entries up to and including i, which becomes the new base.
func (l *memlog) compact(i peer.Index) {
	members, _ := l.membersAt(i)
	next := memlog{base: i, term: l.termAt(i), members: members}
	next.entries = append([]peer.Entry(nil), l.entries[i-l.base:]...)
	*l = next
}

// reset discards all entries and sets base to the index of a snapshot.
func (l *memlog) reset(s peer.Snapshot) {
	*l = memlog{base: s.Index(), term: s.Term(), members: s.Members()}
}

// hint returns where the leader should probe next after a request did not match at i: the last index
// before the conflicting term, or the end of the log if that is before i. It does not go below the
// commit index.
func (l *memlog) hint(i, commit peer.Index) peer.Index {
	if i > l.last() {
		return l.last()
	}
	t := l.termAt(i)
	for i > commit && i > l.base && l.termAt(i) == t {
		i--
	}
	return i
}
