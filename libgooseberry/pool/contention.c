/**
 * @file contention.c
 * Counts takeovers from owners that were at work.
 *
 * Load: members can't hear an owner for as long as paths are cut, or everything
 * is slow, or stands still for a second at a time.  Each takeover reads all
 * that is stored anew, and what the owner before has read is lost; where nobody
 * owns the pool for longer than a takeover takes, nothing is placed.  An owner
 * that turns out to be alive after it was deposed is evidence that silence does
 * not mean much for now.  One that is gone is no such evidence, so that owners
 * that die one after the other are succeeded as quickly as the first.
 */
#include "contention.h"

/** More says nothing new; an owner without contest is soon trusted again. */
#define CONTENTION_MOST 3
/** An owner that kept the pool for this long was not contested: longer than the
 * most patient member waits. */
#define CONTENTION_QUIET (20 * GB_SEC)
/** A process that was deposed longer ago than this takes the pool for another
 * reason. */
#define CONTENTION_RECENT (20 * GB_SEC)

static void
contention_increase(struct contention *c, gb_time now)
{
	if (c->count < CONTENTION_MOST)
		c->count++;
	c->since = now;
}

void
contention_take_over(struct contention *c, gb_time now,
    const struct contention_row *row, uint64_t self, enum takeover_cause cause)
{
	bool lately = c->lost_at != 0 && now - c->lost_at < CONTENTION_RECENT;

	c->count = row->count < CONTENTION_MOST ? row->count : CONTENTION_MOST;
	c->since = now;
	c->before = 0;
	if (cause == TAKEOVER_REQUESTED)
		return;
	if (cause == TAKEOVER_WORKING_OWNER || lately)
		contention_increase(c, now);
	else if (row->incarnation != self)
		c->before = row->incarnation;
}

void
contention_owner_deposed(struct contention *c, gb_time now)
{
	c->lost_at = now;
}

void
contention_release(struct contention *c)
{
	c->lost_at = 0;
}

bool
contention_process_alive(
    struct contention *c, gb_time now, uint64_t incarnation)
{
	if (c->before == 0 || c->before != incarnation)
		return false;
	c->before = 0;
	contention_increase(c, now);
	return true;
}

void
contention_tick(struct contention *c, gb_time now)
{
	if (c->count == 0 || now - c->since < CONTENTION_QUIET)
		return;
	c->count--;
	c->since = now;
}
