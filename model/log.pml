/*
 * The replicated log: votes, commit, crashes, and a lost disk with the replacement of
 * its replica.
 *
 * Covers: durable terms, votes and entries as opposed to those in memory; commit on a
 * quorum of synced disks and only through an entry of the leader's own term;
 * crashes that lose unsynced writes; a disk that is lost, whose replica returns under
 * a new identity, is removed, caught up as a learner and added, one membership change
 * at a time; a second loss after that repair; a group formed by blank replicas.
 * Bounds: identities 0, 1 and 2 are the group, 3 is the new identity of the
 * replica whose disk was lost; the first loss hits replica 2, the second, once 3 is a
 * member, replica 1; TERMS terms; LENGTH entries after the one that formed the
 * group; CRASHES crashes.
 * Left out: bootstrap (form.pml), snapshots, pre-vote, heartbeats. Any message may be
 * late or lost: each step is between one replica and one other, and acknowledgements
 * count without limit in their term.
 *
 * search -DTERMS=2 -DLENGTH=1 -DCRASHES=1
 * variant VOTE_FROM_EMPTY: a replica whose disk was lost votes under its old
 *   identity.
 * variant ACK_BEFORE_SYNC -DLENGTH=1 -DCRASHES=1: an entry counts for the quorum
 *   before it is synced.
 * variant VOTE_BEFORE_SYNC -DTERMS=1 -DLENGTH=1 -DCRASHES=1: a replica grants a vote
 *   before the vote is synced.
 * variant TWO_CHANGES -DLENGTH=2: a replica is removed and another added in one
 *   membership change.
 * variant CANDIDATE_STAYS: a candidate does not step down on an append of its own
 *   term.
 * variant SHORT_LOG_WINS -DLENGTH=2: a replica votes for a candidate whose log is
 *   less up to date than its own.
 * witness COMMITTED_AFTER_REPAIR
 * witness OLD_ENTRY_REPLACED -DLENGTH=2
 */

#ifndef TERMS
#define TERMS 2
#endif
#ifndef LENGTH
#define LENGTH 3
#endif
#ifndef CRASHES
#define CRASHES 0
#endif

#define REPLICAS 4
#define NOBODY 15
#define FORMED 7 /* the members 0, 1 and 2, as a bit set */
#define BIT(r) (1 << (r))
#define HAS(set, r) (((set) >> (r)) & 1)
#define COUNT(set) (HAS(set, 0) + HAS(set, 1) + HAS(set, 2) + HAS(set, 3))
#define QUORUM(set, group) (COUNT((set) & (group)) * 2 > COUNT(group))

/* Durable: term, vote, and the synced prefix of the log. */
byte term[REPLICAS];
byte vote[REPLICAS] = NOBODY;
byte synced[REPLICAS];
/* In memory: the length of the log, and whether the replica is the leader of its term. */
byte length[REPLICAS];
bool leads[REPLICAS];
bool lost[REPLICAS]; /* its disk is lost, and with it its identity */

/* Entry i of replica r: its term, and the members from it on, 0 if unchanged. */
#define AT(r, i) ((r) * LENGTH + (i))
byte entry_term[REPLICAS * LENGTH];
byte entry_group[REPLICAS * LENGTH];

byte granted[REPLICAS]; /* the voters for a candidate, as a bit set */

/* The replicas that acknowledged each entry in each term, as bit sets. */
#define ACK(t, i) ((t) * LENGTH + (i))
byte acknowledged[(TERMS + 1) * LENGTH];

/* For the invariants: the leader of each term, and the committed entries. */
byte leader_of[TERMS + 1] = NOBODY;
byte committed, committed_group = FORMED;
byte committed_term[LENGTH]; /* the term of each entry */
byte committed_in[LENGTH];   /* the term whose leader committed it */

byte crashes;
byte i, g, n; /* scratch variables of a step */

#define LAST(r) (length[r] == 0 -> 0 : entry_term[AT(r, length[r] - 1)])
#define SAME(a, b, i) (entry_term[AT(a, i)] == entry_term[AT(b, i)])

#ifdef VOTE_FROM_EMPTY
#define ALIVE(r) true
#else
#define ALIVE(r) (!lost[r])
#endif

/* group_of sets g to the members by the last membership change in the log of r. */
inline group_of(r) {
	g = FORMED;
	for (i : 0 .. LENGTH - 1) {
		if
		:: i < length[r] && entry_group[AT(r, i)] != 0 -> g = entry_group[AT(r, i)]
		:: else
		fi
	}
}

/* prefix sets n to the length of the common prefix of two logs, at most limit. */
inline prefix(a, b, limit) {
	n = 0;
	do
	:: n < limit && n < length[b] && SAME(a, b, n) -> n++
	:: else -> break
	od
}

inline cut(r, to) {
	do
	:: length[r] > to ->
		length[r]--;
		entry_term[AT(r, length[r])] = 0;
		entry_group[AT(r, length[r])] = 0
	:: else -> break
	od;
	if
	:: synced[r] > to -> synced[r] = to
	:: else
	fi
}

inline put(r, t, group) {
	entry_term[AT(r, length[r])] = t;
	entry_group[AT(r, length[r])] = group;
	length[r]++
}

inline step_down(r) {
	leads[r] = false;
	granted[r] = 0
}

inline learn_term(r, t) {
	if
	:: term[r] < t -> term[r] = t; vote[r] = NOBODY; step_down(r)
	:: else
	fi
}

inline campaign(c) {
	ALIVE(c) && !leads[c] && term[c] < TERMS;
	group_of(c);
	if
	:: HAS(g, c) -> term[c]++; vote[c] = c; granted[c] = BIT(c)
	:: else
	fi
}

#ifdef SHORT_LOG_WINS
#define BEHIND(c, v) false
#else
#define BEHIND(c, v) (LAST(c) < LAST(v) || (LAST(c) == LAST(v) && length[c] < length[v]))
#endif

inline vote_for(v, c) {
	v != c && ALIVE(v) && granted[c] != 0 && !BEHIND(c, v) && term[v] <= term[c] && (term[v] < term[c] || vote[v] == NOBODY);
	learn_term(v, term[c]);
	vote[v] = c;
	granted[c] = granted[c] | BIT(v)
}

inline take_office(c) {
	granted[c] != 0;
	group_of(c);
	if
	:: QUORUM(granted[c], g) ->
		assert(leader_of[term[c]] == NOBODY); /* election safety: at most one leader per term */
		leader_of[term[c]] = c;
#ifdef LEADER_AFTER_SECOND_LOSS
		assert(!lost[1]);
#endif
		/* Leader completeness: an entry committed in a term is in the log of the leader
		 * of any later term. */
		for (i : 0 .. LENGTH - 1) {
			assert(i >= committed || committed_in[i] >= term[c] || entry_term[AT(c, i)] == committed_term[i])
		}
		granted[c] = 0;
		leads[c] = true;
		if
		:: length[c] < LENGTH -> put(c, term[c], 0)
		:: else
		fi
	:: else
	fi
}

inline append(l, f) {
	l != f && leads[l] && ALIVE(f) && term[f] <= term[l];
	learn_term(f, term[l]);
#ifndef CANDIDATE_STAYS
	step_down(f);
#endif
	prefix(l, f, length[l]);
	if
	:: n < length[l] ->
#ifdef OLD_ENTRY_REPLACED
		assert(length[f] == n);
#endif
		cut(f, n); put(f, entry_term[AT(l, n)], entry_group[AT(l, n)])
	:: else
	fi
}

#ifdef ACK_BEFORE_SYNC
#define DURABLE(r) length[r]
#else
#define DURABLE(r) synced[r]
#endif

inline acknowledge(l, f) {
	leads[l] && ALIVE(f) && term[f] == term[l];
	prefix(l, f, DURABLE(f));
	for (i : 0 .. LENGTH - 1) {
		if
		:: i < n -> acknowledged[ACK(term[l], i)] = acknowledged[ACK(term[l], i)] | BIT(f)
		:: else
		fi
	}
}

/* The leader counts acknowledgements only of entries of its own term. Earlier entries
 * are committed with them. */
inline commit(l) {
	leads[l] && length[l] > committed && LAST(l) == term[l];
	group_of(l);
	n = length[l] - 1;
	do
	:: n > committed && entry_term[AT(l, n)] == term[l] && !QUORUM(acknowledged[ACK(term[l], n)], g) -> n--
	:: else -> break
	od;
	if
	:: entry_term[AT(l, n)] == term[l] && QUORUM(acknowledged[ACK(term[l], n)], g) ->
		for (i : 0 .. LENGTH - 1) {
			if
			:: i <= n ->
				assert(i >= committed || committed_term[i] == entry_term[AT(l, i)]);
				if
				:: i >= committed -> committed_in[i] = term[l]
				:: else
				fi;
				committed_term[i] = entry_term[AT(l, i)];
				if
				:: entry_group[AT(l, i)] != 0 -> committed_group = entry_group[AT(l, i)]
				:: else
				fi
			:: else
			fi
		}
		committed = n + 1;
#ifdef COMMITTED_AFTER_REPAIR
		assert(!lost[2] || !HAS(committed_group, 3));
#endif
	:: else
	fi
}

/* One membership change at a time, and only once an entry of the leader's term is
 * committed. */
inline change(l) {
	leads[l] && length[l] < LENGTH;
#ifdef TWO_CHANGES
	group_of(l);
	if
	:: HAS(g, 2) -> put(l, term[l], (g & ~BIT(2)) | BIT(3))
	:: else
	fi
#else
	length[l] <= committed && committed_term[committed - 1] == term[l];
	group_of(l);
	if
	:: HAS(g, 2) -> put(l, term[l], g & ~BIT(2))
	:: !HAS(g, 2) && !HAS(g, 3) -> put(l, term[l], g | BIT(3))
	:: else
	fi
#endif
}

inline crash(r) {
	crashes < CRASHES && ALIVE(r);
	crashes++;
	cut(r, synced[r]);
#ifdef VOTE_BEFORE_SYNC
	vote[r] = NOBODY;
#endif
	step_down(r)
}

inline lose_disk(r) {
	!lost[r] && (r == 2 || (r == 1 && lost[2] && HAS(committed_group, 3)));
	lost[r] = true;
	cut(r, 0);
	term[r] = 0;
	vote[r] = NOBODY;
	step_down(r)
}

active proctype Replicas() {
	byte a, b;
end:	do
	:: atomic {
		select(a : 0 .. REPLICAS - 1);
		select(b : 0 .. REPLICAS - 1);
		if
		:: campaign(a)
		:: take_office(a)
		:: commit(a)
		:: change(a)
		:: crash(a)
		:: lose_disk(a)
		:: ALIVE(a) && synced[a] < length[a] -> synced[a] = length[a]
		:: vote_for(a, b)
		:: append(a, b)
		:: acknowledge(a, b)
		:: else
		fi;
		a = 0; b = 0; i = 0; g = 0; n = 0
	   }
	od
}
