/*
 * Rules (configuration): offers, the version gate, and the span for which a
 * daemon may use the rules that it has.
 *
 * Covers: two operators that race with the same version and different content;
 * an offer of the next version and one that arrives when it is old; offers sent again
 * after a lost verdict; a daemon that is cut off, restarts, or receives answers
 * late and out of order; a leader that was replaced and does not know it.
 * Bounds: three operators that offer any number of times, versions 1 and 2; one daemon
 * (daemons do not talk to each other about rules) with any number of restarts and
 * two renewals in flight; time in steps of one second, without end. The daemon's
 * clock may be slow by 1 s over the span of 3 s, far more than the drift margin.
 * Left out: how the log keeps what is committed (log.pml): a decision commits in
 * one step. Merging and checking of files.
 *
 * variant NO_VERSION_GATE: an offer with a lower version is accepted.
 * variant NO_CONFLICT_CHECK: an offer with the same version and another digest is
 *   accepted.
 * variant NO_RULES_LEASE: a daemon uses the rules it has without end.
 * variant NO_CONFIRM: a leader answers renewals without a quorum round.
 * variant COUNT_FROM_RECEIPT: the span counts from the receipt of the answer.
 * variant UNORDERED_TABLES: a daemon takes an older table from a late answer.
 * witness SERVES_NEWEST, SERVES_SUPERSEDED
 */

#define RULES_SPAN 3 /* s, on the daemon's clock */
#define DRIFT 1      /* s that the daemon's clock may lose over the span */
#define BOUND 4      /* s until an accepted version is in force everywhere */
#define USABLE (RULES_SPAN + DRIFT)
#define OPERATORS 3
#define ATTEMPTS 2

mtype = { accepted, repeated, conflict, older };

byte version, digest; /* the committed rules */

/* For the invariants: the digest accepted first for each version, who won, and
 * the seconds since version 2 was accepted. */
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
	/* What was accepted and is in force is accepted again. */
	assert(!(first_digest[v] == d && version == v) || verdict == accepted || verdict == repeated);
	verdict = 0
}

/* Operators 0 and 1 race with version 1; operator 2 offers version 2. */
proctype Operator(byte op; byte v; byte d) {
end:	do
	:: atomic { decide(op, v, d) } /* the verdict may be lost: the operator offers again */
	od
}

/* A renewal on its way to the leader becomes its answer on the way back. Its
 * age counts from its sending. */
mtype = { free, renewal, answer };
#define SLOTS 2
mtype slot[SLOTS] = free;
byte age[SLOTS];
byte table_version[SLOTS], table_digest[SLOTS];

inline clear(s) {
	slot[s] = free;
	age[s] = 0;
	table_version[s] = 0;
	table_digest[s] = 0
}

#ifdef NO_CONFIRM
/* The view of a leader that was replaced and does not know it. */
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
	/* A quorum round began after the renewal arrived, so it is the leader of
	 * the present term that answers, with the table it has then. */
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

byte daemon_version, daemon_digest; /* 0: none */
byte usable;                        /* seconds for which the rules may be used */
byte served_version;                /* for the invariant: the highest ever served */

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

inline serve() {
	assert(daemon_digest == first_digest[daemon_version]);
	assert(daemon_version >= served_version);
	assert(daemon_version >= 2 || since < BOUND);
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
		:: slot[s] == answer -> receive(s)
		:: slot[s] != free -> clear(s) /* lost, or taken for lost */
		fi;
		s = 0
	   }
	/* After a restart the answers to the former incarnation are ignored. */
	:: d_step { daemon_version > 0 ->
		daemon_version = 0; daemon_digest = 0; usable = 0;
		clear(0); clear(1) }
#ifdef NO_RULES_LEASE
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
