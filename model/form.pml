/*
 * The first formation of the control group by blank replicas.
 *
 * Covers: Hello and its answers, late ones too; disks lost before, while and after
 * the group is formed; a replica that cannot be reached and comes back.
 * Bounds: the three replicas of the settings; two groups; two lost disks.
 * Left out: how a replica with a new identity joins (log.pml).
 *
 * variant FORM_WITHOUT_ALL: two blank replicas are enough.
 * variant ANY_FOUNDER: each replica may form the group, not only the first in the
 *   settings.
 * variant TWO_AT_ONCE: a second disk is lost before the first is repaired, which is
 *   more than the losses to be tolerated.
 * witness FORMED, LOST_AFTER_FORMING
 */

#define REPLICAS 3
#define LOSSES 2
#define OTHERS(r) (7 & ~(1 << (r)))

byte group[REPLICAS];  /* durable; 0: blank */
byte blanks[REPLICAS]; /* who answered as blank, as a set of bits */
byte formed;           /* the number of groups formed so far */
bool held[3];          /* the group had two members: it may have committed something */
byte losses;
bool wiped[REPLICAS]; /* its disk was lost and it has no group yet */

#define MEMBERS(g) ((group[0] == g) + (group[1] == g) + (group[2] == g))

#ifdef FORM_WITHOUT_ALL
#define ENOUGH(r) (blanks[r] != 0)
#else
#define ENOUGH(r) (blanks[r] == OTHERS(r))
#endif

#ifdef ANY_FOUNDER
#define FOUNDER(r) true
#else
#define FOUNDER(r) (r == 0)
#endif

inline form(r) {
	group[r] == 0 && ENOUGH(r) && FOUNDER(r) && formed < 2;
	/* A group that may have committed something is never formed again. */
	assert(!held[1]);
	formed++;
	group[r] = formed;
	wiped[r] = false;
#ifdef FORMED
	assert(false);
#endif
	blanks[r] = 0
}

/* A blank replica takes the group from the founder's first append. */
inline adopt(r, from) {
	group[r] == 0 && group[from] != 0;
	group[r] = group[from];
	wiped[r] = false;
	blanks[r] = 0;
	if
	:: MEMBERS(group[r]) >= 2 ->
		held[group[r]] = true;
		assert(!(held[1] && held[2]))
	:: else
	fi
}

/* Once a group may have committed something, the losses to be tolerated are one
 * disk at a time: the next only after the replica is back in the group. */
#ifdef TWO_AT_ONCE
#define TOLERATED true
#else
#define TOLERATED (!held[1] || !(wiped[0] || wiped[1] || wiped[2]))
#endif

inline lose_disk(r) {
	losses < LOSSES && TOLERATED;
	wiped[r] = true;
	losses++;
	group[r] = 0;
	blanks[r] = 0;
#ifdef LOST_AFTER_FORMING
	assert(!held[1]);
#endif
	skip
}

active proctype Replicas() {
	byte r, other;
end:	do
	:: atomic {
		select(r : 0 .. REPLICAS - 1);
		select(other : 0 .. REPLICAS - 1);
		if
		:: r != other && group[r] == 0 && group[other] == 0 -> blanks[r] = blanks[r] | (1 << other)
		:: form(r)
		:: adopt(r, other)
		:: lose_disk(r)
		:: else
		fi;
		r = 0; other = 0
	   }
	od
}
