/*
 * Rules (configuration): proposals, the version check, and the time for which a daemon
 * may use its rules.
 *
 * Covers: two operators that race with the same version and different content;
 * a proposal of the next version, and one that is outdated on arrival; proposals that
 * are repeated after a lost verdict; a daemon that is cut off, restarts, or receives
 * replies late and out of order; a superseded leader that does not know it.
 * Bounds: three operators that propose any number of times, versions 1 and 2; one
 * daemon with any number of restarts and two renewals or questions in flight, and another
 * member, which has the rules of any of its own renewals; time in steps of one second,
 * unbounded. The daemon's clock may lose 1 s over the TTL of 3 s, far more than the drift
 * margin.
 * LASTING: a daemon uses its rules without a time limit (lasting_rules). Beyond the bound it
 * does so only with rules that it knows to be unconfirmed.
 * search -DLASTING=0
 * search -DLASTING=1
 * Left out: how the log keeps what is committed (log.pml): a decision commits in
 * one step. Merging and validation of files.
 *
 * variant NO_VERSION_GATE: a proposal with a lower version is accepted.
 * variant NO_CONFLICT_CHECK: a proposal with the same version and another digest is
 *   accepted.
 * variant NO_RULES_LEASE: a daemon uses its rules without a time limit.
 * variant NO_CONFIRM: a leader replies to renewals without a quorum round.
 * variant COUNT_FROM_RECEIPT: the TTL counts from the receipt of the reply.
 * variant COUNT_FROM_MEMBER: the TTL counts from the receipt of another member's answer.
 * variant ASK_BEFORE_LEASE: a restarted daemon takes another member's rules before a leader
 *   has answered it.
 * variant LASTING_UNSEEN -DLASTING=1: with lasting rules, the daemon does not know that its rules
 *   are unconfirmed.
 * variant UNORDERED_TABLES: a daemon replaces its table by an older one from a late
 *   reply.
 * witness SERVES_NEWEST, SERVES_SUPERSEDED
 */

#define RULES_SPAN 3 /* s, TTL of the rules by the daemon's clock */
#define DRIFT 1      /* s that the daemon's clock may lose during the TTL */
#define BOUND 4      /* s after which an accepted version must be in force everywhere */
#define USABLE (RULES_SPAN + DRIFT)
#define OPERATORS 3
#define ATTEMPTS 2

#ifndef LASTING
#define LASTING 0
#endif

mtype = { accepted, repeated, conflict, older };

byte version, digest; /* the committed rules */

/* For the invariants: the digest first accepted for each version, the operators whose
 * proposal was accepted, and the seconds since version 2 was accepted. */
byte first_digest[3];
bool won[OPERATORS];
byte since;

inline decide(op, v, d) {
	mtype verdict;
	if
	:: v > version -> verdict = accepted
	:: v == version && d == digest -> verdict = repeated
#ifdef NO_CONFLICT_CHECK
	:: v == version && d != digest -> verdict = accepted
#else
	:: v == version && d != digest -> verdict = conflict
#endif
#ifdef NO_VERSION_GATE
	:: v < version -> verdict = accepted
#else
	:: v < version -> verdict = older
#endif
	fi;
	if
	:: verdict == accepted ->
		assert(v >= version);
		assert(first_digest[v] == 0 || first_digest[v] == d);
		version = v;
		digest = d;
		first_digest[v] = d;
		won[op] = true
	:: verdict == repeated -> won[op] = true
	:: else
	fi;
	assert(!(won[0] && won[1]));
	/* A repeated proposal of the version in force is accepted: proposals are idempotent. */
	assert(!(first_digest[v] == d && version == v) || verdict == accepted || verdict == repeated);
	verdict = 0
}

/* Operators 0 and 1 race with version 1; operator 2 proposes version 2. */
proctype Operator(byte op; byte v; byte d) {
end:	do
	:: atomic { decide(op, v, d) } /* the operator repeats its proposal, since the verdict may be lost */
	od
}

/* A slot has a renewal in transit to the leader, then the reply in transit back. The
 * age counts from the sending of the renewal. */
mtype = { free, renewal, answer };
#define SLOTS 2
mtype slot[SLOTS] = free;
byte age[SLOTS];
bool asked[SLOTS]; /* the slot has another member's answer */
byte table_version[SLOTS], table_digest[SLOTS];

inline clear(s) {
	slot[s] = free;
	asked[s] = false;
	age[s] = 0;
	table_version[s] = 0;
	table_digest[s] = 0
}

#ifdef NO_CONFIRM
/* The table of a superseded leader that does not know it. */
bool replaced;
byte old_version, old_digest;
#endif

inline answer_with(s, v, d) {
	slot[s] = answer;
	table_version[s] = v;
	table_digest[s] = d
}

active proctype Leader() {
	byte s;
end:	do
	/* A quorum round that began after the renewal arrived confirms that the leader of
	 * the present term replies, with its table at that time. */
	:: atomic {
		select(s : 0 .. SLOTS - 1);
		if
		:: slot[s] == renewal -> answer_with(s, version, digest)
#ifdef NO_CONFIRM
		:: slot[s] == renewal && replaced -> answer_with(s, old_version, old_digest)
		:: !replaced -> replaced = true; old_version = version; old_digest = digest
#endif
		fi;
		s = 0
	   }
	od
}

/* Another member: the table of the last answer to it, 0 if none, and the age of the renewal. */
byte member_version, member_digest, member_age;

active proctype Member() {
end:	do
	:: d_step { member_version = version; member_digest = digest; member_age = 0 }
	od
}

byte daemon_version, daemon_digest; /* 0: none */
bool led; /* a leader has answered the daemon since its start */
byte usable;                        /* remaining seconds for which the rules may be used */
byte served_version;                /* for the invariant: the highest version ever served */

inline receive(s) {
	if
#ifdef UNORDERED_TABLES
	:: true ->
#else
	:: table_version[s] > daemon_version ->
#endif
		daemon_version = table_version[s];
		daemon_digest = table_digest[s]
	:: table_version[s] <= daemon_version
	fi;
#ifdef COUNT_FROM_RECEIPT
	age[s] = 0;
#endif
	if
	:: age[s] + usable < USABLE -> usable = USABLE - age[s]
	:: else
	fi;
	clear(s)
}

/* The answer of a member that is on its way; its age is that of the member's renewal. */
inline ask(s) {
	slot[s] = answer;
	asked[s] = true;
	age[s] = member_age;
	table_version[s] = member_version;
	table_digest[s] = member_digest
}

inline receive_from_member(s) {
#ifdef COUNT_FROM_MEMBER
	age[s] = 0;
#endif
	receive(s)
}

inline serve() {
	assert(daemon_digest == first_digest[daemon_version]);
	assert(daemon_version >= served_version);
#if LASTING && !defined(LASTING_UNSEEN)
	assert(daemon_version >= 2 || since < BOUND || usable == 0);
#else
	assert(daemon_version >= 2 || since < BOUND);
#endif
#ifdef SERVES_NEWEST
	assert(daemon_version < 2);
#endif
#ifdef SERVES_SUPERSEDED
	assert(daemon_version == version);
#endif
	served_version = daemon_version
}

active proctype Daemon() {
	byte s;
end:	do
	:: atomic {
		select(s : 0 .. SLOTS - 1);
		if
		:: slot[s] == free -> slot[s] = renewal
		:: slot[s] == answer && !asked[s] -> led = true; receive(s)
		:: slot[s] == answer && asked[s] -> receive_from_member(s)
#ifdef ASK_BEFORE_LEASE
		:: slot[s] == free && member_version > 0 -> ask(s)
#else
		:: slot[s] == free && member_version > 0 && led -> ask(s)
#endif
		:: slot[s] != free -> clear(s) /* lost, or considered lost */
		fi;
		s = 0
	   }
	/* Restart: replies to the former incarnation are ignored. */
	:: d_step { daemon_version > 0 ->
		daemon_version = 0; daemon_digest = 0; usable = 0; led = false;
		clear(0); clear(1) }
#if LASTING || defined(NO_RULES_LEASE)
	:: atomic { daemon_version > 0 -> serve() }
#else
	:: atomic { daemon_version > 0 && usable > 0 -> serve() }
#endif
	od
}

inline older_by_one(s) {
	if
	:: slot[s] != free && age[s] < USABLE -> age[s]++
	:: else
	fi
}

active proctype Clock() {
end:	do
	:: d_step {
		older_by_one(0);
		older_by_one(1);
		if
		:: member_age < USABLE -> member_age++
		:: else
		fi;
		if
		:: usable > 0 -> usable--
		:: else
		fi;
		if
		:: version == 2 && since < BOUND -> since++
		:: else
		fi
	   }
	od
}

init {
	atomic {
		run Operator(0, 1, 1);
		run Operator(1, 1, 2);
		run Operator(2, 2, 3)
	}
}
