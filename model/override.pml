/*
 * An override gives a hot key a dedicated shard, first owned by the owner of the hash
 * range of the key; then the new shard moves.
 *
 * Covers: requests for the key that were counted as in flight before the override was
 * known, and after; Move and Release of the dedicated shard and of the hash shard; a
 * daemon whose table is behind.
 * Bounds: one key, one hash shard, two daemons, two requests in flight, one
 * override, two moves. Every daemon is a member throughout and has its lease:
 * lease.pml covers those.
 * Left out: removal of the override, expiry.
 *
 * variant DRAIN_OWN_SHARD_ONLY: a release waits only for requests that were admitted
 *   under the shard that is released.
 * variant GRANT_BEFORE_TABLE: a daemon learns that it owns the hash shard without the
 *   overrides that precede it.
 * witness MOVED_ALONE, MOVED_BOTH
 */

mtype = { owned, moving };

/* Shards: 0 is the hash range, 1 the dedicated shard of the key. */
#define HASH 0
#define ALONE 1
#define OTHER(n) (1 - (n))

/* The committed table. */
bool override;
mtype holding[2] = owned;
byte owner[2];
byte moves;

/* Each daemon's copy of the table. */
bool seen_override[2];
mtype seen_0[2] = owned; /* state of each shard at daemon 0 */
mtype seen_1[2] = owned;
byte seen_owner_0[2], seen_owner_1[2];

#define SEEN(d, s) (d == 0 -> seen_0[s] : seen_1[s])
#define SEEN_OWNER(d, s) (d == 0 -> seen_owner_0[s] : seen_owner_1[s])

/* Requests for the key: the daemon and the shard under which each was admitted. */
#define REQUESTS 2
mtype = { idle, checked };
mtype request[REQUESTS] = idle;
byte request_daemon[REQUESTS], request_shard[REQUESTS];

#define AT(r, d, s) (request[r] != idle && request_daemon[r] == d && request_shard[r] == s)
#define IN_FLIGHT(d, s) (AT(0, d, s) || AT(1, d, s))

/* The shard of the key in the committed table. */
#define SHARD (override -> ALONE : HASH)

active proctype Leader() {
	byte s;
end:	do
	:: atomic { !override && holding[HASH] == owned -> override = true; owner[ALONE] = owner[HASH] }
	:: atomic {
		if
		:: s = HASH
		:: override -> s = ALONE
		fi;
		if
		:: holding[s] == owned && moves < 2 -> holding[s] = moving; moves++
		:: else
		fi;
		s = 0
	   }
	od
}

inline receive_table(d) {
#ifdef GRANT_BEFORE_TABLE
	if
	:: seen_override[d] = override
	:: true
	fi;
#else
	seen_override[d] = override;
#endif
	if
	:: d == 0 ->
		seen_0[0] = holding[0]; seen_0[1] = holding[1];
		seen_owner_0[0] = owner[0]; seen_owner_0[1] = owner[1]
	:: else ->
		seen_1[0] = holding[0]; seen_1[1] = holding[1];
		seen_owner_1[0] = owner[0]; seen_owner_1[1] = owner[1]
	fi
}

#ifdef DRAIN_OWN_SHARD_ONLY
#define DRAINED(d, s) (!IN_FLIGHT(d, s))
#else
/* Requests that were admitted under the hash shard may be for the key. */
#define DRAINED(d, s) (!IN_FLIGHT(d, s) && (s == HASH || !IN_FLIGHT(d, HASH)))
#endif

/* The release of a shard is sent and applied in one step. */
inline release(d, s) {
	SEEN(d, s) == moving && SEEN_OWNER(d, s) == d && holding[s] == moving && owner[s] == d && DRAINED(d, s);
	owner[s] = OTHER(d);
	holding[s] = owned;
#ifdef MOVED_ALONE
	assert(s != ALONE);
#endif
#ifdef MOVED_BOTH
	assert(moves < 2 || owner[0] == owner[1] || !override);
#endif
}

inline enter(d, r) {
	request[r] == idle;
	byte s = (seen_override[d] -> ALONE : HASH);
	if
	:: SEEN(d, s) == owned && SEEN_OWNER(d, s) == d ->
		request[r] = checked;
		request_daemon[r] = d;
		request_shard[r] = s
	:: else
	fi;
	s = 0
}

/* The target runs the request, at which time its daemon must own the key. */
inline run_request(r) {
	request[r] == checked;
	assert(request_daemon[r] == owner[SHARD]);
	request[r] = idle;
	request_daemon[r] = 0;
	request_shard[r] = 0
}

active [2] proctype Daemon() {
	byte d = _pid - 1;
	byte n;
end:	do
	:: atomic {
		if
		:: n = 0
		:: n = 1
		fi;
		if
		:: receive_table(d)
		:: release(d, n)
		:: enter(d, n)
		:: request_daemon[n] == d -> run_request(n)
		fi;
		n = 0
	   }
	od
}
