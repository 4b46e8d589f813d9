/*
 * Leases of incarnations, ownership of a shard, and change of leader.
 *
 * Covers: renewals and their answers, lost, late or delayed past a term; a leader
 * that was replaced and does not know it; Expire proposed and left to the next
 * leader; Grant, Move and Release with epochs; expiry of a successor; new
 * incarnations; requests in flight while a shard moves; a pause of any process
 * at any step; targets that check the lease and the epoch, and such that do not.
 * Bounds: one shard; two daemons, each with its own target and one request in
 * flight; two replicas that may lead (the log lets a third one vote); TERMS terms,
 * EPOCHS epochs, INCARNATIONS incarnations a daemon; one renewal in flight for each
 * daemon; one release in flight. Time has no end. A step of time is a third of the
 * lease; the margin is one step at either end, and the drift that it covers too.
 * Left out: how the log agrees (log.pml): what the leader of the present term
 * commits takes effect in one step, and an uncommitted Expire is kept or lost at
 * a change of leader; overrides (override.pml); several shards under one lease; the
 * time that the target runs a request: it runs at the instant of its check.
 *
 * variant NO_CONFIRM: a leader answers a renewal without a quorum round that began
 *   after the renewal arrived.
 * variant NO_WAIT: a new leader does not wait out the leases of its predecessor.
 * variant RENEW_AFTER_EXPIRE: a leader renews an incarnation that it proposed to
 *   expire.
 * variant RENEW_BEFORE_OWN_TERM: a new leader answers renewals before an entry of
 *   its own term is committed and applied.
 * variant COUNT_FROM_RECEIPT: a daemon counts its lease from the receipt of the
 *   answer.
 * variant NO_MARGIN: clocks drift, and neither end keeps a margin.
 * variant RELEASE_BEFORE_DRAIN: a daemon releases while a request is in flight.
 * variant CHECK_BEFORE_ENTER: a request checks the table before it enters the
 *   in-flight count.
 * variant NO_FENCE: the target does not check.
 * variant REVERT_MOVE: when a successor expires, the owner keeps the shard at the
 *   same epoch and a release that is late still counts.
 * variant REUSE_INCARNATION: a daemon joins again under the incarnation that
 *   expired.
 * witness SECOND_OWNER_BY_EXPIRY, SECOND_OWNER_BY_MOVE, THIRD_TERM
 */

#ifndef TERMS
#define TERMS 3
#endif
#ifndef EPOCHS
#define EPOCHS 3
#endif
#ifndef INCARNATIONS
#define INCARNATIONS 2
#endif

#define LEASE 3 /* steps */
#define DRIFT 1 /* steps that a clock may gain or lose over a lease */
#ifdef NO_MARGIN
#define MARGIN 0
#else
#define MARGIN 1
#endif
/* The longest time for which a slow daemon thinks that it has the lease, and the
 * shortest after which a fast leader thinks that it ran out. */
#define DAEMON_SPAN (LEASE - MARGIN + DRIFT)
#define LEADER_SPAN (LEASE + MARGIN - DRIFT)

#define other(n) (1 - (n))
mtype = { vacant, owned, moving };

/* The applied table of the control group: the members and one holding. */
byte member[2];  /* incarnation of each daemon, 0: no member */
byte joined[2];  /* the last incarnation of each daemon that joined */
mtype holding = vacant;
byte owner, owner_incarnation, successor, epoch;

/* The leaders. */
byte term = 1;
byte leader;            /* of the present term */
bool ready = true;      /* an entry of the present term is committed and applied */
bool believes[2];       /* thinks that it leads */
byte remaining_0[2], remaining_1[2]; /* leader's count of the lease, for each daemon */
bool expiring_0[2], expiring_1[2];   /* the leader proposed Expire in its term */
/* An Expire that is proposed and not committed, and who has it in its log. */
bool pending;
byte pending_daemon;
bool logged[2];

/* Renewals: one of each daemon, on its way to a leader, there, or answered. */
mtype = { none, sent, arrived, answered };
mtype renewal[2] = none;
byte age[2];
byte renewal_incarnation[2];
byte renewal_leader[2];

/* The daemons: incarnation, what is left of the lease, and the table they have. */
byte incarnation[2];
byte lease[2];
mtype seen_holding[2] = vacant;
bool seen_owner[2]; /* the daemon's table shows this incarnation as the owner */
byte seen_epoch[2];

/* A release on its way. */
bool release_sent;
byte release_incarnation, release_daemon, release_epoch;

/* One request at each daemon. */
mtype = { idle, entered, checked, at_target };
mtype request[2] = idle;
bool in_flight[2];
byte request_epoch[2];
byte highest_epoch[2]; /* that the target saw */
