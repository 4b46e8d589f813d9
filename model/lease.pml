/*
 * Leases of members (incarnations of daemons), ownership of a shard, and change of
 * leader.
 *
 * Covers: renewals and their replies, lost, late or delayed into another term; a
 * superseded leader that does not know it; an Expire that is proposed and left to the
 * next leader; Grant, Move and Release with epochs; expiry of the successor of a move;
 * new incarnations; requests in flight while a shard moves; a pause of any process at
 * any step; targets that check the lease and the epoch, and targets that do not.
 * Bounds: one shard; two daemons, each with its own target; one request at a
 * time; any leader over TERMS terms,
 * EPOCHS epochs, INCARNATIONS incarnations a daemon; one renewal in flight for each
 * daemon, one release and one leave. Time is unbounded; its step is half a lease, and
 * the margin at either end and the drift that it covers are one step.
 * Left out: how the log agrees (log.pml): what the leader of the present term
 * commits takes effect in one step, and an uncommitted Expire is kept or lost at
 * a change of leader; overrides (override.pml); the time for which a target runs
 * a request: it runs at the instant of its check; the target's check of the epoch,
 * which is a second guard behind its check of the lease.
 *
 * variant NO_CONFIRM: a leader replies to a renewal without a quorum round that began
 *   after the renewal arrived.
 * variant NO_WAIT: a new leader does not wait for the leases that its predecessor
 *   granted to expire.
 * variant RENEW_AFTER_EXPIRE: a leader renews the lease of an incarnation whose expiry
 *   it proposed.
 * variant RENEW_BEFORE_OWN_TERM: a new leader replies to renewals before an entry of
 *   its own term is committed and applied.
 * variant COUNT_FROM_RECEIPT: a daemon counts its lease from the receipt of the reply,
 *   not from the sending of the renewal.
 * variant NO_MARGIN: clocks drift, and neither end keeps a margin.
 * variant RELEASE_BEFORE_DRAIN: a daemon releases a shard while a request is in
 *   flight.
 * variant CHECK_BEFORE_ENTER: a request checks the table before it is counted as in
 *   flight.
 * variant NO_FENCE: the target does not check the lease.
 * variant FORGET_UNANSWERED: a request that timed out is no longer counted as in
 *   flight before the lease that it carries has expired.
 * variant LEAVE_BEFORE_LAPSE: a daemon whose target does not respond gives up its
 *   incarnation before the leases that its requests carry have expired.
 * variant REVERT_MOVE: when the successor of a move expires, the owner keeps the shard
 *   at the same epoch, and a late release still takes effect.
 * search -DTERMS=3 -DEPOCHS=2 -DINCARNATIONS=1
 * search -DTERMS=1 -DEPOCHS=3 -DINCARNATIONS=1
 * witness OWNED_AFTER_EXPIRY, OWNED_AFTER_MOVE, RUN_IN_LATER_TERM
 */

#ifndef TERMS
#ifdef REVERT_MOVE
#define TERMS 1
#else
#define TERMS 2
#endif
#endif
#ifndef EPOCHS
#define EPOCHS 2
#endif
#ifndef INCARNATIONS
#define INCARNATIONS 2
#endif

#define LEASE 2 /* steps */
#define DRIFT 1 /* steps that a clock may gain or lose during a lease */
#ifdef NO_MARGIN
#define MARGIN 0
#else
#define MARGIN 1
#endif
/* The longest time for which a daemon with a slow clock considers its lease valid, and
 * the shortest time after which a leader with a fast clock considers it expired. */
#define DAEMON_SPAN (LEASE - MARGIN + DRIFT)
#define LEADER_SPAN (LEASE + MARGIN - DRIFT)

#define OTHER(n) (1 - (n))
mtype = { vacant, owned, moving };

/* The committed table: members and ownership of the shard. */
byte member[2]; /* incarnation of each daemon, 0: not a member */
byte joined[2]; /* latest incarnation of each daemon that joined */
mtype holding = vacant;
byte owner, epoch;
bool successor_gone;

/* The leader of the present term. Leaders of earlier terms may still consider
 * themselves leaders. */
byte term = 1;
bool ready = true; /* an entry of the present term is committed and applied */
byte remaining[2]; /* remaining lease of each member by the clock of the leader */
bool expiring[2];  /* the leader proposed Expire */

/* An Expire that is proposed but not committed, and whether it is in the log of the
 * present leader. */
bool pending, logged;
byte pending_daemon;

/* The renewal of each daemon: in transit, at a replica, or answered. */
mtype = { none, sent, arrived, answered };
mtype renewal[2] = none;
byte age[2]; /* steps since the daemon sent it */

/* The daemons: incarnation, lease, and their copy of the table. */
byte incarnation[2] = 1;
byte lease[2];
mtype seen[2] = vacant; /* owned, moving: this incarnation is the owner */
byte seen_epoch[2];

#define SERVES(d) (seen[d] == owned && lease[d] > 0)

/* A release and a leave in transit, 0: none. */
byte release_epoch, release_daemon, release_incarnation;
byte leave[2]; /* incarnation */

/* A request, the epoch and lease that it carries, and whether its daemon no longer
 * counts it. sent_on: in transit to the target or received by it. */
mtype = { idle, entered, checked, sent_on };
mtype request = idle;
byte request_daemon, request_epoch, request_lease;
bool forgotten;

/* Leader ------------------------------------------------------------------ */

inline vacate(d) {
	member[d] = 0;
	remaining[d] = 0;
	expiring[d] = false;
	if
	:: holding != vacant && owner == d -> holding = vacant; successor_gone = false
#ifdef REVERT_MOVE
	:: holding == moving && owner != d -> holding = owned
#else
	:: holding == moving && owner != d -> successor_gone = true
#endif
	:: else
	fi
}

inline clear_pending() {
	pending = false;
	pending_daemon = 0;
	logged = false
}

inline own(d) {
	holding = owned;
	owner = d;
	epoch++
}

#if defined(RENEW_BEFORE_OWN_TERM)
#define MAY_RENEW(d) (!expiring[d])
#elif defined(RENEW_AFTER_EXPIRE)
#define MAY_RENEW(d) ready
#else
#define MAY_RENEW(d) (ready && !expiring[d])
#endif

inline renew(d) {
	if
	:: renewal[d] == sent ->
		renewal[d] = arrived;
		if
		:: incarnation[d] == member[d] -> remaining[d] = LEADER_SPAN
		:: else
		fi
	/* Confirmed by a quorum round of this term that began after the renewal arrived. */
	:: renewal[d] == arrived && incarnation[d] == member[d] && MAY_RENEW(d) -> renewal[d] = answered
#ifdef NO_CONFIRM
	/* A superseded leader, which does not know of the present term, replies. */
	:: term > 1 && renewal[d] == sent -> renewal[d] = answered
#endif
	fi
}

inline expire(d) {
	if
	:: ready && !pending && member[d] != 0 && remaining[d] == 0 ->
		pending = true;
		pending_daemon = d;
		logged = true;
		expiring[d] = true
	:: ready && pending && pending_daemon == d -> vacate(d); clear_pending()
	:: ready && leave[d] != 0 && leave[d] == member[d] && !pending -> vacate(d); leave[d] = 0
	fi
}

inline join(d) {
	ready && member[d] == 0 && joined[d] < incarnation[d];
	member[d] = incarnation[d];
	joined[d] = incarnation[d];
	remaining[d] = LEADER_SPAN
}

inline place(d) {
	if
	:: ready && holding == vacant && member[d] != 0 && epoch < EPOCHS &&
	   (epoch > 0 || d == 0) -> /* by symmetry daemon 0 is the first */
#ifdef OWNED_AFTER_EXPIRY
		assert(epoch == 0);
#endif
		own(d)
	:: ready && holding == owned && owner != d && member[d] != 0 && epoch < EPOCHS -> holding = moving
	fi
}

inline release() {
	ready && release_epoch != 0;
	if
	:: holding == moving && owner == release_daemon && epoch == release_epoch &&
	   member[release_daemon] == release_incarnation ->
		if
		:: successor_gone -> holding = vacant; successor_gone = false
		:: else ->
			own(OTHER(owner));
#ifdef OWNED_AFTER_MOVE
			assert(false);
#endif
		fi
	:: else
	fi;
	release_epoch = 0; release_daemon = 0; release_incarnation = 0
}

inline lose_arrived(d) {
	if
	:: renewal[d] == arrived -> renewal[d] = none; age[d] = 0
	:: else
	fi
}

inline count_anew(d) {
	if
	:: member[d] != 0 -> remaining[d] = LEADER_SPAN
	:: else
	fi
}

inline elect() {
	term < TERMS;
	term++;
	ready = false;
	lose_arrived(0);
	lose_arrived(1);
	expiring[0] = false;
	expiring[1] = false;
#ifdef NO_WAIT
	remaining[0] = 0;
	remaining[1] = 0;
#else
	count_anew(0);
	count_anew(1);
#endif
	if
	:: pending -> logged = true /* it was replicated to the new leader */
	:: logged = false
	fi
}

inline commit_own_term() {
	!ready;
	ready = true;
	if
	:: logged -> vacate(pending_daemon)
	:: else
	fi;
	clear_pending()
}

active proctype Leader() {
	byte n;
end:	do
	:: atomic {
		if
		:: n = 0
		:: n = 1
		fi;
		if
		:: renew(n)
		:: expire(n)
		:: join(n)
		:: place(n)
		:: release()
		:: elect()
		:: commit_own_term()
		fi;
		n = 0
	   }
	od
}

/* Daemon ------------------------------------------------------------------ */

inline lose_renewal(d) {
	renewal[d] = none;
	age[d] = 0
}

inline send_renewal(d) {
	renewal[d] == none;
	renewal[d] = sent
}

inline receive_lease(d) {
	renewal[d] == answered;
#ifdef COUNT_FROM_RECEIPT
	age[d] = 0;
#endif
	if
	:: age[d] + lease[d] < DAEMON_SPAN ->
		lease[d] = DAEMON_SPAN - age[d]
	:: else
	fi;
	lose_renewal(d)
}

inline receive_table(d) {
	if
	:: holding != vacant && owner == d && member[d] == incarnation[d] ->
		seen[d] = holding; seen_epoch[d] = epoch
	:: else -> seen[d] = vacant; seen_epoch[d] = 0
	fi
}

/* The daemon has a request in flight that may still run. One at the target is counted
 * until the response arrives or else until the lease that it carries has expired. */
#define COUNTED(d) (request != idle && request_daemon == d && !forgotten)
#ifdef FORGET_UNANSWERED
#define LAPSED (request == sent_on)
#else
#define LAPSED (request == sent_on && request_lease == 0)
#endif
#if defined(RELEASE_BEFORE_DRAIN)
#define DRAINED(d) true
#elif defined(CHECK_BEFORE_ENTER)
#define DRAINED(d) (!COUNTED(d) || request == checked || LAPSED)
#else
#define DRAINED(d) (!COUNTED(d) || LAPSED)
#endif

inline send_release(d) {
	seen[d] == moving && release_epoch == 0 && DRAINED(d);
	release_epoch = seen_epoch[d];
	release_daemon = d;
	release_incarnation = incarnation[d]
}

inline clear_request() {
	request = idle; request_daemon = 0; request_epoch = 0; request_lease = 0; forgotten = false
}

/* The process restarts, or rejoins after Rejoin. It ignores replies to the renewals of
 * its former incarnation. The model also discards those renewals at the leader, where
 * they could only make it wait longer for the lease to expire. */
inline restart(d) {
	incarnation[d] < INCARNATIONS;
	incarnation[d]++;
	lose_renewal(d);
	lease[d] = 0;
	seen[d] = vacant;
	seen_epoch[d] = 0;
	if
	:: COUNTED(d) && request == sent_on -> forgotten = true
	:: COUNTED(d) && request != sent_on -> clear_request()
	:: else
	fi
}

#ifdef LEAVE_BEFORE_LAPSE
#define SILENT(d) true
#else
#define SILENT(d) (!COUNTED(d) || (request == sent_on && request_lease == 0))
#endif

/* The target does not respond: the daemon ends its incarnation. */
inline send_leave(d) {
	leave[d] == 0 && SILENT(d);
	leave[d] = incarnation[d];
	restart(d)
}

inline enter(d) {
	request == idle;
	request_daemon = d;
#ifdef CHECK_BEFORE_ENTER
	check_order(d)
#else
	request = entered
#endif
}

#ifdef CHECK_BEFORE_ENTER
#define CHECKED checked
#else
#define CHECKED sent_on
#endif

inline check_order(d) {
	if
	:: SERVES(d) ->
		assert(!SERVES(OTHER(d))); /* at most one owner at a time */
		request = CHECKED;
		request_epoch = seen_epoch[d];
		request_lease = lease[d]
	:: else -> clear_request() /* refused */
	fi
}

active proctype Daemon() {
	byte d;
end:	do
	:: atomic {
		if
		:: d = 0
		:: d = 1
		fi;
		if
		:: send_renewal(d)
		:: renewal[d] != none -> lose_renewal(d)
		:: receive_lease(d)
		:: receive_table(d)
		:: send_release(d)
		:: restart(d)
		:: send_leave(d)
		:: enter(d)
		:: request == entered && request_daemon == d -> check_order(d)
#ifdef CHECK_BEFORE_ENTER
		:: request == checked && request_daemon == d -> request = sent_on
#endif
		fi;
		d = 0
	   }
	od
}

/* Target and clock -------------------------------------------------------- */

inline run_request() {
	assert(holding != vacant && owner == request_daemon && epoch == request_epoch);
#ifdef RUN_IN_LATER_TERM
	assert(term < 2);
#endif
}

active proctype Target() {
end:	do
	:: atomic {
		request == sent_on;
		if
#ifdef NO_FENCE
		:: true -> run_request()
#else
		:: request_lease > 0 -> run_request()
#endif
		:: true /* lost, or refused since its lease expired */
		fi;
		clear_request()
	   }
	od
}

inline pass(counter) {
	if
	:: counter > 0 -> counter--
	:: else
	fi
}

inline pass_daemon(d) {
	pass(lease[d]);
	pass(remaining[d]);
	if
	:: renewal[d] != none && age[d] < DAEMON_SPAN - 1 -> age[d]++
#ifdef COUNT_FROM_RECEIPT
	:: renewal[d] != none && age[d] == DAEMON_SPAN - 1
#else
	:: renewal[d] != none && age[d] == DAEMON_SPAN - 1 -> lose_renewal(d) /* the lease of its reply would have expired */
#endif
	:: else
	fi
}

active proctype Clock() {
end:	do
	:: d_step {
		pass_daemon(0);
		pass_daemon(1);
		pass(request_lease)
	   }
	od
}
