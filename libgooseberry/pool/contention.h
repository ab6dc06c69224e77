/**
 * @file contention.h
 * Counts takeovers from owners that were at work.  No I/O.
 */
#ifndef GB_POOL_CONTEST_H
#define GB_POOL_CONTEST_H

#include "gooseberry.h"

/** What an owner, or a process that was one, knows of such takeovers.  The
 * count stands in the owner's row; members are the more patient with an owner,
 * the higher it is. */
struct contest {
	uint32_t count;
	uint64_t before; /**< incarnation that was taken from, 0: none */
	gb_time since;	 /**< of ownership, or of the last change of count */
	gb_time lost_at; /**< this process was deposed, 0: never */
};

/** What the row of the owner before says. */
struct contest_row {
	uint32_t count;
	uint64_t incarnation; /**< 0: it gave the pool up */
};

/** Why a process takes the pool. */
enum contest_cause {
	CONTEST_SILENT,	 /**< its owner may be gone */
	CONTEST_AT_WORK, /**< its owner renews its row, and is not heard */
	CONTEST_ASKED	 /**< by the owner itself */
};

/** This process, of the incarnation `self`, takes the pool. */
void contest_take(struct contest *, gb_time now, const struct contest_row *,
    uint64_t self, enum contest_cause);
/** This process was deposed while it was at work. */
void contest_lose(struct contest *, gb_time now);
/** This process gave the pool up. */
void contest_yield(struct contest *);
/** A process is alive and not stopping; true when the count has grown by it. */
bool contest_heard(struct contest *, gb_time now, uint64_t incarnation);
/** Time passes for the owner. */
void contest_tick(struct contest *, gb_time now);

#endif
