package raft

import "verbenabank/core/state/peer"

// memlog is the part of the log that is kept in memory: all entries after base.
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

// at returns the entry at i, which is after base and not after last.
func (l *memlog) at(i peer.Index) peer.Entry { return l.entries[i-l.base-1] }

// matches reports whether the entry at i has the term.
func (l *memlog) matches(i peer.Index, t peer.Term) bool {
	return i >= l.base && i <= l.last() && l.termAt(i) == t
}

// append adds entries after the last one.
func (l *memlog) append(entries ...peer.Entry) { l.entries = append(l.entries, entries...) }

// cut removes the entry at i and all after it. Slices given out stay as they are.
func (l *memlog) cut(i peer.Index) {
	keep := i - l.base - 1
	l.entries = append([]peer.Entry(nil), l.entries[:keep]...)
}

// from returns entries from i on, at least one and at most limit bytes.
func (l *memlog) from(i peer.Index, limit int) []peer.Entry {
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

// membersAt returns the members at index i, committed or not, and the index of
// the entry that set them, or base if it is not in memory.
func (l *memlog) membersAt(i peer.Index) (peer.Members, peer.Index) {
	for ; i > l.base; i-- {
		if c, ok := l.at(i).Payload().(peer.MembershipChange); ok {
			return c.Members(), i
		}
	}
	return l.members, l.base
}

// compact moves base up to i.
func (l *memlog) compact(i peer.Index) {
	members, _ := l.membersAt(i)
	next := memlog{base: i, term: l.termAt(i), members: members}
	next.entries = append([]peer.Entry(nil), l.entries[i-l.base:]...)
	*l = next
}

// reset empties the log and moves it behind a snapshot.
func (l *memlog) reset(s peer.Snapshot) {
	*l = memlog{base: s.Index(), term: s.Term(), members: s.Members()}
}

// hint returns the greatest index up to i, for a request that did not match at
// i, that may match: the last one before the term that conflicts there.
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
