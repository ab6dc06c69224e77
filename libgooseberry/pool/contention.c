/**
 * @file contention.c
 * Counts contention: takeovers from owners that were still working.
 *
 * Members may get no answer from an owner that works: while network paths are
 * cut, or while processes are slow or paused for a second at a time.  Each
 * takeover reads all stored data again and discards what the previous owner has
 * read; if no owner lasts longer than a takeover takes, no task is placed.
 *
 * When a deposed owner turns out to be alive, a missing answer is weak evidence
 * for now that an owner has terminated.  An owner that has terminated doesn't
 * count, so that owners that terminate one after the other are succeeded as
 * quickly as the first.
 */
#include "contention.h"

/** Maximum count.  Members act no differently at a higher one, and a low
 * maximum lets the count return to 0 soon. */
#define CONTENTION_COUNT_MAX 3
/** The count falls by one when the owner has kept the pool for this long, which
 * is longer than the longest timeout of members. */
#define CONTENTION_FALL_TIME (20 * GB_SEC)
/** A takeover by a process that was deposed longer ago than this is no
 * contention. */
#define CONTENTION_DEPOSED_RECENTLY (20 * GB_SEC)

static void
contention_increase(struct contention *c, gb_time now)
{
	if (c->count < CONTENTION_COUNT_MAX)
		c->count++;
	c->since = now;
}

void
contention_take_over(struct contention *c, gb_time now,
    const struct contention_row *previous, uint64_t self,
    enum takeover_cause cause)
{
	bool recently_deposed =
	    c->deposed_at != 0 &&
	    now - c->deposed_at < CONTENTION_DEPOSED_RECENTLY;

	c->count = previous->count < CONTENTION_COUNT_MAX
		       ? previous->count
		       : CONTENTION_COUNT_MAX;
	c->since = now;
	c->previous_owner = 0;
	if (cause == TAKEOVER_REQUESTED)
		return;
	if (cause == TAKEOVER_WORKING_OWNER || recently_deposed)
		contention_increase(c, now);
	else if (previous->incarnation != self)
		c->previous_owner = previous->incarnation;
}

void
contention_owner_deposed(struct contention *c, gb_time now)
{
	c->deposed_at = now;
}

void
contention_release(struct contention *c)
{
	c->deposed_at = 0;
}

bool
contention_process_alive(
    struct contention *c, gb_time now, uint64_t incarnation)
{
	if (c->previous_owner == 0 || c->previous_owner != incarnation)
		return false;
	c->previous_owner = 0;
	contention_increase(c, now);
	return true;
}

void
contention_tick(struct contention *c, gb_time now)
{
	if (c->count == 0 || now - c->since < CONTENTION_FALL_TIME)
		return;
	c->count--;
	c->since = now;
}
