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
#define CONTEST_MOST 3
/** An owner that kept the pool for this long was not contested: longer than the
 * most patient member waits. */
#define CONTEST_CALM (20 * GB_SEC)
/** A process that was deposed longer ago than this takes the pool for another
 * reason. */
#define CONTEST_LATELY (20 * GB_SEC)

static void
contest_grow(struct contest *c, gb_time now)
{
	if (c->count < CONTEST_MOST)
		c->count++;
	c->since = now;
}

void
contest_take(struct contest *c, gb_time now, const struct contest_row *row,
    uint64_t self, enum contest_cause cause)
{
	bool lately = c->lost_at != 0 && now - c->lost_at < CONTEST_LATELY;

	c->count = row->count < CONTEST_MOST ? row->count : CONTEST_MOST;
	c->since = now;
	c->before = 0;
	if (cause == CONTEST_ASKED)
		return;
	if (cause == CONTEST_AT_WORK || lately)
		contest_grow(c, now);
	else if (row->incarnation != self)
		c->before = row->incarnation;
}

void
contest_lose(struct contest *c, gb_time now)
{
	c->lost_at = now;
}

void
contest_yield(struct contest *c)
{
	c->lost_at = 0;
}

bool
contest_heard(struct contest *c, gb_time now, uint64_t incarnation)
{
	if (c->before == 0 || c->before != incarnation)
		return false;
	c->before = 0;
	contest_grow(c, now);
	return true;
}

void
contest_tick(struct contest *c, gb_time now)
{
	if (c->count == 0 || now - c->since < CONTEST_CALM)
		return;
	c->count--;
	c->since = now;
}
