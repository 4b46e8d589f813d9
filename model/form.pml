/*
 * Bootstrap of the control group by blank replicas, which have no log entry.
 *
 * Covers: Hello and its replies, late ones too; a replica that learns of a group
 * before it has an entry of it; late entries of a founder; disks lost before, while
 * and after the group is formed; a replica that is unreachable and returns.
 * Bounds: the three replicas of the settings; two groups; two lost disks.
 * Left out: how a replica with a new identity joins (log.pml).
 *
 * variant FORM_WITHOUT_ALL: one other replica without an entry is enough.
 * variant ANY_FOUNDER: any replica may form the group, not only the first in the
 *   settings.
 * variant TWO_AT_ONCE: a second disk is lost before the first is repaired, which
 *   exceeds the failures to be tolerated.
 * variant BOUND_WITHOUT_ENTRY: a replica that learned of a group joins no other one,
 *   even if it has no entry of that group.
 * variant LATE_ENTRIES: a replica accepts entries of a founder although it has replied
 *   to the founder's successor at the same address.
 * witness FORMED, LOST_AFTER_FORMING, LEFT
 */

#define REPLICAS 3
#define LOSSES 2
#define OTHERS(r) (7 & ~(1 << (r)))

byte group[REPLICAS];  /* durable; the group it knows, 0: none */
bool entry[REPLICAS];  /* durable; has an entry of its group */
byte blanks[REPLICAS]; /* the replicas that replied that they have no entry, as a bit set */
byte life[REPLICAS];   /* number of disks it lost */
byte formed;           /* number of groups formed so far */
byte founder[3];       /* founder of each group; birth: the founder's life at that time */
byte birth[3];
byte listed[9];        /* [g * 3 + r]: life of r when g was formed */
byte met[9];           /* [r * 3 + other]: the latest life of other that r replied to */
bool held[3];          /* two members had an entry, a quorum: the group may have committed an entry */
byte losses;
bool wiped[REPLICAS]; /* its disk was lost and it has no entry since */

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

/* Messages are addressed to an identity, which is lost with the disk. */
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
	/* No second group is formed once the first may have committed an entry. */
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

/* A replica without an entry learns of a group, perhaps by a late message. */
inline told(r, g) {
	FREE(r) && g <= formed && (ADDRESSED(r, g) || MEMBERS(g) > 0);
	group[r] = g
}

/* A replica without an entry appends the first entry of a group: from a late or timely
 * message of its founder, or from a member. */
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
		/* An abandoned group commits nothing. */
		assert(g == formed)
	:: else
	fi
}

/* Once a group may have committed an entry, one lost disk at a time is tolerated: the
 * next may be lost only after the replica is a member with an entry again. */
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
		/* If no replica has an entry, all can reply that they are blank, so that a group can
		 * still be formed. */
		assert(entry[0] || entry[1] || entry[2] || (FREE(0) && FREE(1) && FREE(2)));
		r = 0; other = 0
	   }
	od
}
