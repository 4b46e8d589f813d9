/*
 * The path of a request: entry daemon, daemon of the owner, target.
 *
 * Covers: the outcomes answered, refused and unknown; retries; loss of a message
 * or connection at each step; late responses and reuse of a connection to a
 * target; refusals by the owner's daemon before it sends the request and failures
 * after; targets that shed a request before they run it, and targets that run it and
 * then shed it.
 * Bounds: two requests, the first not repeatable; two owner's daemons (the
 * second receives the retries), each with one connection at a time to its
 * target; two attempts per request. Any wait may time out at any moment.
 * Left out: deadlines as numbers, bodies, queues, ownership (lease.pml).
 *
 * variant RETRY_AMBIGUOUS: the entry daemon retries an unknown outcome of a request
 *   that is not repeatable.
 * variant REUSE_AFTER_TIMEOUT: the owner's daemon reuses a connection on which a
 *   request timed out, and takes the next response on it for that of its request.
 * variant SHED_IS_PROOF: a shed request counts as not run at targets that shed
 *   requests after they ran them.
 * variant REFUSE_AFTER_SEND: the owner's daemon refuses a request that it has sent.
 * variant RESEND_BY_LIBRARY: the HTTP client resends a request after its connection
 *   broke.
 * variant REFUSE_AFTER_UNKNOWN: the refusal of a retry hides that the first attempt
 *   may have run.
 * witness ANSWERED_BY_RETRY, LATE_RUN
 */

#define REQUESTS 2
#define OWNERS 2
#define ATTEMPTS 2
#define REPEATABLE(r) (r != 0)

mtype = { none, answered, refused, unknown };  /* outcomes */
mtype = { answer, not_run, failure, shed };    /* results of an attempt, from target to owner's daemon to entry daemon */

/* Each attempt of a request is a stream of the method Hop.Forward. */
#define STREAM(r, a) ((r) * ATTEMPTS + (a))
chan forward[OWNERS] = [2] of { byte /* request */, byte /* attempt */ };
chan backward[4] = [1] of { mtype, byte /* request that the response belongs to */ };

/* An owner's daemon has one connection to its target. A request that the target has
 * received may still run after the connection was closed; its response is lost. */
chan to_target[OWNERS] = [2] of { byte /* request */, byte /* connection */ };
chan from_target[OWNERS] = [2] of { mtype, byte /* request */ };
byte connection[OWNERS];

byte executed[REQUESTS];
mtype outcome[REQUESTS] = none;
bool sheds_after_run; /* the targets of the service shed requests after they ran them */
bool shed_is_proof;   /* the rules declare that a shed request did not run (shed_is_not_run) */

inline finish(r, o) {
	outcome[r] = o;
	assert(outcome[r] != refused || executed[r] == 0)
}

proctype Entry(byte r) {
	byte attempt, whose;
	mtype kind;
	bool maybe_run; /* an earlier attempt has an unknown outcome */

	do
	:: atomic {
		if
		:: forward[attempt]!r, attempt; /* attempt n is sent to owner's daemon n */
		   kind = none
		:: kind = none                  /* lost in transit */
		:: kind = not_run               /* no connection to the daemon */
		fi
	   }
	   if
	   :: kind == none ->
		if
		:: backward[STREAM(r, attempt)]?kind, whose
		:: kind = failure /* timeout or broken stream */
		fi
	   :: else
	   fi;
	   atomic {
		if
		:: kind == answer ->
			assert(whose == r);
#ifdef ANSWERED_BY_RETRY
			assert(attempt == 0);
#endif
			finish(r, answered);
			break
		:: kind != answer && attempt + 1 < ATTEMPTS && (kind == not_run || REPEATABLE(r)) ->
			maybe_run = maybe_run || kind != not_run;
			attempt++
#ifdef RETRY_AMBIGUOUS
		:: kind != answer && attempt + 1 < ATTEMPTS && kind != not_run ->
			maybe_run = true;
			attempt++
#endif
#ifdef REFUSE_AFTER_UNKNOWN
		:: kind == not_run -> finish(r, refused); break
#endif
		:: kind == not_run && !maybe_run -> finish(r, refused); break
		:: kind == failure || (kind == not_run && maybe_run) -> finish(r, unknown); break
		fi
	   }
	od
}

inline close_connection(o) {
	connection[o]++;
	do
	:: from_target[o]?_, _
	:: empty(from_target[o]) -> break
	od
}

active [OWNERS] proctype Owner() {
	byte o = _pid;
	byte r, a, whose;
	mtype kind;

end:	do
	:: atomic {
		forward[o]?r, a;
		if
		:: backward[STREAM(r, a)]!not_run, r /* not the owner, overloaded or no connection */
		:: to_target[o]!r, connection[o];
#ifdef RESEND_BY_LIBRARY
		   if
		   :: close_connection(o); to_target[o]!r, connection[o]
		   :: true
		   fi;
#endif
		   goto sent
		fi;
		goto ready
	   }
sent:	   atomic {
		if
		:: from_target[o]?kind, whose
		:: kind = failure; whose = r; /* timeout or broken connection */
#ifndef REUSE_AFTER_TIMEOUT
		   close_connection(o)
#endif
		fi;
		if
		:: kind == answer -> backward[STREAM(r, a)]!answer, whose
		:: kind == answer -> backward[STREAM(r, a)]!failure, r /* lease expired, or truncated response */
		:: kind == shed && shed_is_proof -> backward[STREAM(r, a)]!not_run, r
		:: kind == shed && !shed_is_proof -> backward[STREAM(r, a)]!failure, r
#ifdef REFUSE_AFTER_SEND
		:: kind == failure -> backward[STREAM(r, a)]!not_run, r
#endif
		:: kind == failure -> backward[STREAM(r, a)]!failure, r
		fi;
ready:		r = 0; a = 0; whose = 0; kind = none
	   }
	od
}

inline execute(r) {
	assert(REPEATABLE(r) || executed[r] == 0);
	assert(outcome[r] != refused);
#ifdef LATE_RUN
	assert(outcome[r] == none);
#endif
	executed[r]++
}

inline reply(o, kind, r, c) {
	if
	:: c == connection[o] -> from_target[o]!kind, r
	:: else
	fi
}

active [OWNERS] proctype Target() {
	byte o = _pid - OWNERS;
	byte r, c;

end:	do
	:: atomic {
		to_target[o]?r, c;
		if
		:: skip /* lost before it ran */
		:: reply(o, shed, r, c)
		:: execute(r);
		   if
		   :: skip /* the response is lost */
		   :: reply(o, answer, r, c)
		   :: sheds_after_run -> reply(o, shed, r, c)
		   fi
		fi;
		r = 0; c = 0
	   }
	od
}

init {
	atomic {
		if
		:: sheds_after_run = true
		:: sheds_after_run = false
		fi;
#ifdef SHED_IS_PROOF
		shed_is_proof = true;
#else
		shed_is_proof = !sheds_after_run;
#endif
		run Entry(0);
		run Entry(1)
	}
}
