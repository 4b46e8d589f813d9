/*
 * The path of a request: entry daemon, owner's daemon, target.
 *
 * Covers: the outcomes answered, refused and unknown; retries; loss of a message
 * or connection at each step; late answers and reuse of a connection to a
 * target; refusals by the owner's daemon before the request is sent and failures
 * after; targets that shed before they run a request and such that run it first.
 * Bounds: two requests, the first not repeatable; two owner's daemons (the
 * second is where a retry goes), each with one connection at a time to its
 * target; two attempts a request. Any wait may time out at any moment.
 * Left out: deadlines as numbers, bodies, queues, ownership (lease.pml).
 *
 * variant RETRY_AMBIGUOUS: the entry retries an unknown outcome of a request
 *   that is not repeatable.
 * variant REUSE_AFTER_TIMEOUT: the owner's daemon keeps a connection on which a
 *   request timed out, and takes the next answer on it for its own.
 * variant SHED_IS_PROOF: a shed counts as not run at targets that run and shed.
 * variant REFUSE_AFTER_SEND: the owner's daemon refuses a request that it sent.
 * variant RESEND_BY_LIBRARY: the HTTP client resends on a broken connection.
 * variant REFUSE_AFTER_UNKNOWN: a refused retry hides that the first attempt may
 *   have run.
 * witness ANSWERED_BY_RETRY, LATE_RUN
 */

#define REQUESTS 2
#define OWNERS 2
#define ATTEMPTS 2
#define REPEATABLE(r) (r != 0)

mtype = { none, answered, refused, unknown };  /* outcomes */
mtype = { answer, not_run, failure, shed };    /* what comes back on a hop */

/* Hop.Forward is one stream for each attempt of a request. */
#define STREAM(r, a) ((r) * ATTEMPTS + (a))
chan forward[OWNERS] = [2] of { byte /* request */, byte /* attempt */ };
chan backward[4] = [1] of { mtype, byte /* whose answer it is */ };

/* An owner's daemon has one connection to its target. What the target has
 * received may still run after the connection was closed; the answer is lost. */
chan to_target[OWNERS] = [2] of { byte /* request */, byte /* connection */ };
chan from_target[OWNERS] = [2] of { mtype, byte /* request */ };
byte connection[OWNERS];

byte executed[REQUESTS];
mtype outcome[REQUESTS] = none;
bool sheds_after_run; /* the targets of the service run a request that they then shed */
bool shed_is_proof;   /* the rules say that a shed proves that the request did not run */

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
		:: forward[attempt]!r, attempt; /* attempt n goes to owner's daemon n */
		   kind = none
		:: kind = none                  /* lost on the way */
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
		:: backward[STREAM(r, a)]!not_run, r /* not the owner, overloaded, no connection */
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
		:: kind == answer -> backward[STREAM(r, a)]!failure, r /* lease lapsed, truncated */
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
		   :: skip /* the answer is lost */
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
