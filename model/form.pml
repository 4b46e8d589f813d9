/*
 * The first formation of the control group by blank replicas.
 *
 * Covers: Hello and its answers, late ones too; a replica that is told of a group
 * before it has an entry of it; late entries of a founder; disks lost before, while
 * and after the group is formed; a replica that cannot be reached and comes back.
 * Bounds: the three replicas of the settings; two groups; two lost disks.
 * Left out: how a replica with a new identity joins (log.pml).
 *
 * variant FORM_WITHOUT_ALL: two replicas without an entry are enough.
 * variant ANY_FOUNDER: each replica may form the group, not only the first in the
 *   settings.
 * variant TWO_AT_ONCE: a second disk is lost before the first is repaired, which is
 *   more than the losses to be tolerated.
 * variant BOUND_WITHOUT_ENTRY: a replica that was told of a group enters no other one.
 * variant LATE_ENTRIES: entries of a founder are taken although its successor at the
 *   same address was answered.
 * witness FORMED, LOST_AFTER_FORMING, LEFT
 */

#define REPLICAS 3
#define LOSSES 2
#define OTHERS(r) (7 & ~(1 << (r)))

byte group[REPLICAS];  /* durable; 0: was told of none */
bool entry[REPLICAS];  /* durable; has an entry of its group */
byte blanks[REPLICAS]; /* who answered that it has no entry, as a set of bits */
byte life[REPLICAS];   /* how many disks it lost */
byte formed;           /* the number of groups formed so far */
byte founder[3];       /* of each group, with the life in which it formed it */
byte birth[3];
byte listed[9];        /* at g * 3 + r: the life of r when g was formed */
byte met[9];           /* at r * 3 + other: the last life of other that r answered */
bool held[3];          /* the group had two members with an entry: it may have committed something */
byte losses;
bool wiped[REPLICAS]; /* its disk was lost and it has no entry yet */

#define MEMBERS(g) ((entry[0] && group[0] == g) + (entry[1] && group[1] == g) + (entry[2] && group[2] == g))

#ifdef BOUND_WITHOUT_ENTRY
#define FREE(r) (group[r] == 0)
#else
#define FREE(r) (!entry[r])
#endif

#ifdef LATE_ENTRIES
#define PRESENT(r, g) true
#else
#define PRESENT(r, g) (met[(r) * 3 + founder[g]] <= birth[g])
#endif

/* Messages are addressed to an identity, which ends with the disk. */
#define ADDRESSED(r, g) (listed[(g) * 3 + (r)] == life[r])

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

inline answer(r, other) {
	r != other && FREE(r) && FREE(other);
	blanks[r] = blanks[r] | (1 << other);
	met[other * 3 + r] = life[r]
}

inline form(r) {
	FREE(r) && ENOUGH(r) && FOUNDER(r) && formed < 2;
	/* A group that may have committed something is never formed again. */
	assert(!held[1]);
	formed++;
	group[r] = formed;
	entry[r] = true;
	founder[formed] = r;
	birth[formed] = life[r];
	listed[formed * 3] = life[0];
	listed[formed * 3 + 1] = life[1];
	listed[formed * 3 + 2] = life[2];
	wiped[r] = false;
#ifdef FORMED
	assert(false);
#endif
	blanks[r] = 0
}

/* A replica without an entry is told of a group, perhaps late. */
inline told(r, g) {
	FREE(r) && g <= formed && (ADDRESSED(r, g) || MEMBERS(g) > 0);
	group[r] = g
}

/* A replica without an entry takes the first one of a group: from its founder, perhaps
 * late, or from a member. */
inline adopt(r, g) {
#ifdef BOUND_WITHOUT_ENTRY
	!entry[r] && (group[r] == 0 || group[r] == g) && g <= formed;
#else
	!entry[r] && g <= formed;
#endif
	(PRESENT(r, g) && ADDRESSED(r, g)) || MEMBERS(g) > 0;
#ifdef LEFT
	assert(group[r] == 0 || group[r] == g);
#endif
	group[r] = g;
	entry[r] = true;
	wiped[r] = false;
	blanks[r] = 0;
	if
	:: MEMBERS(g) >= 2 ->
		held[g] = true;
		assert(!(held[1] && held[2]));
		/* A group that was given up commits nothing. */
		assert(g == formed)
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
	life[r]++;
	group[r] = 0;
	entry[r] = false;
	blanks[r] = 0;
	met[r * 3] = 0;
	met[r * 3 + 1] = 0;
	met[r * 3 + 2] = 0;
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
		:: answer(r, other)
		:: form(r)
		:: other > 0 -> told(r, other)
		:: other > 0 -> adopt(r, other)
		:: lose_disk(r)
		:: else
		fi;
		/* Without any entry left, all can still answer that they are free. */
		assert(entry[0] || entry[1] || entry[2] || (FREE(0) && FREE(1) && FREE(2)));
		r = 0; other = 0
	   }
	od
}
