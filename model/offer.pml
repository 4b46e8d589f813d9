/*
 * Keys of an ordered service that are granted in the answers to heartbeats.
 *
 * Covers: one range that moves from the daemon A to B and back; heartbeats of A's target that
 * report what it holds and has freed; answers that are lost, or so late that the target has sent
 * another heartbeat; work that outlasts the release; reports of a freed range that are repeated
 * since the answer to them was lost; a restart of A at any step; renewals and the expiry of A's
 * lease.
 * Bounds: one range, EPOCHS epochs, one restart, one late answer at a time. Time is unbounded. A
 * target accepts an answer for TIMEOUT steps, unless it has applied one to a later heartbeat; a
 * lease lasts LEASE steps.
 * Left out: clock drift and the margins that cover it (lease.pml); how the leader decides
 * (lease.pml): a release takes effect in one step; B, which stops and starts at once.
 *
 * variant RELEASE_ON_OMISSION: a range counts as released once an answer has left it out.
 * variant RELEASE_ON_SILENCE: a range that a report does not name counts as released at once,
 *   although an offer of it may still be applied.
 * variant TRUST_REPEATS: a freed range counts without having been seen held at its epoch.
 * variant TRUST_OLD_REPEATS: a freed range counts although it was reported before, while the
 *   range was held at its epoch.
 * variant OFFER_PAST_LEASE: an offer lasts for a whole lease, whatever is left of it.
 * variant COUNT_FROM_ANSWER: the target counts an offer from the arrival of the answer.
 * variant FORGET_AT_RESTART: a daemon that restarts assumes that its target holds nothing.
 * witness MOVED_WITH_TOKEN, CAME_BACK, EXPIRED
 */

#ifndef EPOCHS
#define EPOCHS 3
#endif
#define LEASE 3
#define TIMEOUT 1
#define LONG_AGO 3 /* cap of the ages */

mtype = { wanted, leaving, released };

/* The leader: who owns the range, and what is left of A's lease. */
bool a_owns = true, b_holds;
byte epoch = 1;
byte lease = LEASE;

/* A's record of the range. */
mtype want = wanted;
bool taken, old_freed, restarted;
byte may_hold;             /* steps for which the target may hold the range */
bool offered;              /* the range was offered at this epoch */

/* A's target. */
byte held, held_epoch;
bool releasing, working, freed;

/* The heartbeat under way and what it reported. */
mtype = { none, sent, answered };
mtype beat = none;
byte beat_age;
bool says_held, says_freed;
byte says_epoch;
bool offer_says, offer_has;
byte offer_ttl, offer_epoch;

/* An answer that the target has not got when it sends the next heartbeat. */
bool late, late_says, late_has;
byte late_age, late_ttl, late_epoch;

#define HOLDS (held > 0)
#define SAFE assert(!(b_holds && ((HOLDS && !releasing) || working)))

inline give_to_b() {
	a_owns = false;
	b_holds = true;
	want = released;
	SAFE
}

inline drop_hold() {
	held = 0;
	held_epoch = 0;
	releasing = false;
	working = false
}

/* A target that was told to release frees the range when its work has ended. */
inline finish_release() {
	if
	:: releasing && !working -> drop_hold(); freed = true
	:: else
	fi
}

inline report_wanted() {
	if
	:: says_held && says_epoch == epoch -> taken = true; old_freed = says_freed
	:: else -> taken = false
	fi
}

inline report_leaving() {
	if
	:: says_held ->
		if
		:: says_epoch == epoch -> taken = true; old_freed = says_freed
		:: else
		fi
#if defined(TRUST_OLD_REPEATS)
	:: !says_held && says_freed && taken -> give_to_b()
#elif defined(TRUST_REPEATS)
	:: !says_held && says_freed -> give_to_b()
#else
	:: !says_held && says_freed && taken && !old_freed ->
#ifdef MOVED_WITH_TOKEN
		assert(false);
#endif
		give_to_b()
#endif
#ifdef RELEASE_ON_SILENCE
	:: !says_held -> give_to_b()
#else
	:: !says_held && !offered -> give_to_b()
#endif
	:: else
	fi
}

/* A handles a heartbeat and answers it at once. */
inline handle_beat() {
	if
	:: want == wanted -> report_wanted()
	:: want == leaving -> report_leaving()
	:: else
	fi;
	offer_says = (lease > 0 && a_owns);
	offer_has = (offer_says && want == wanted);
	offer_epoch = epoch;
	offer_ttl = 0;
	if
	:: offer_has ->
#ifdef OFFER_PAST_LEASE
		offer_ttl = LEASE;
#else
		offer_ttl = lease;
#endif
		may_hold = (may_hold > offer_ttl -> may_hold : offer_ttl);
		offered = true
	:: else
	fi;
	beat = answered;
#ifdef RELEASE_ON_OMISSION
	if
	:: offer_says && want == leaving -> give_to_b()
	:: else
	fi
#endif
}

/* The target applies an offer to a heartbeat of an age. The TTL counts from the sending. */
inline apply(says, has, ttl, e, age) {
	if
	:: has && e >= held_epoch ->
#ifdef COUNT_FROM_ANSWER
		held = ttl;
#else
		held = (ttl > age -> ttl - age : 0);
#endif
		held_epoch = e;
		releasing = false;
		if
		:: held == 0 -> drop_hold()
		:: else
		fi
	:: says && !has && HOLDS -> releasing = true; finish_release()
	:: else
	fi;
	SAFE
}

inline apply_answer() {
	if
	:: says_freed -> freed = false
	:: else
	fi;
	end_late();
	apply(offer_says, offer_has, offer_ttl, offer_epoch, beat_age);
	end_beat()
}

inline apply_late() {
	apply(late_says, late_has, late_ttl, late_epoch, late_age);
	end_late()
}

inline delay_answer() {
	late = true;
	late_says = offer_says;
	late_has = offer_has;
	late_ttl = offer_ttl;
	late_epoch = offer_epoch;
	late_age = beat_age;
	end_beat()
}

inline end_late() {
	late = false;
	late_says = false;
	late_has = false;
	late_ttl = 0;
	late_epoch = 0;
	late_age = 0
}

inline end_beat() {
	beat = none;
	beat_age = 0;
	says_held = false;
	says_freed = false;
	says_epoch = 0;
	offer_says = false;
	offer_has = false;
	offer_ttl = 0;
	offer_epoch = 0
}

inline step_time() {
	lease = (lease > 0 -> lease - 1 : 0);
	may_hold = (may_hold > 0 -> may_hold - 1 : 0);
	if
	:: beat != none -> beat_age = (beat_age < LONG_AGO -> beat_age + 1 : LONG_AGO)
	:: else
	fi;
	if
	:: late -> late_age++
	:: else
	fi;
	if
	:: late && late_age > TIMEOUT -> end_late()
	:: else
	fi;
	if
	:: held > 1 -> held--
	:: held == 1 -> drop_hold()
	:: else
	fi
}

active proctype system() {
	do
	:: atomic { step_time() }
	/* the lease is renewed, or has expired */
	:: atomic { a_owns && lease > 0 -> lease = LEASE }
	:: atomic { a_owns && lease == 0 ->
#ifdef EXPIRED
		assert(false);
#endif
		give_to_b() }
	/* a move away, and back */
	:: atomic { a_owns && want == wanted && lease > 0 -> want = leaving }
	:: atomic { !a_owns && epoch < EPOCHS ->
#ifdef CAME_BACK
		assert(!freed);
#endif
		b_holds = false; a_owns = true; epoch++; want = wanted; taken = false; old_freed = false; offered = false; lease = LEASE }
	/* the end of all that was granted */
	:: atomic { a_owns && want == leaving && may_hold == 0 -> give_to_b() }
	/* the daemon restarts */
	:: atomic { !restarted && a_owns ->
		restarted = true; taken = false; old_freed = false;
#ifdef FORGET_AT_RESTART
		may_hold = 0; offered = false
#else
		may_hold = LEASE; offered = true
#endif
	}
	/* the target */
	:: atomic { HOLDS && !releasing && !working -> working = true; SAFE }
	:: atomic { working -> working = false; finish_release() }
	:: atomic { beat == none -> beat = sent; says_held = HOLDS; says_epoch = held_epoch; says_freed = freed }
	:: atomic { beat == sent && beat_age <= TIMEOUT -> handle_beat() }
	:: atomic { beat == answered && beat_age <= TIMEOUT -> apply_answer() }
	:: atomic { beat == answered && !late && beat_age <= TIMEOUT -> delay_answer() }
	:: atomic { late -> apply_late() }
	:: atomic { beat != none && beat_age > TIMEOUT -> end_beat() }
	od
}
