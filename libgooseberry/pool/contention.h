/**
 * @file contention.h
 * Counts takeovers from owners that were at work.  No I/O.
 */
#ifndef GB_POOL_CONTENTION_H
#define GB_POOL_CONTENTION_H

#include "gooseberry.h"

/** What an owner, or a process that was one, knows of such takeovers.  The
 * count stands in the owner's row; members are the more patient with an owner,
 * the higher it is. */
struct contention {
	uint32_t count;
	uint64_t before; /**< incarnation that was taken from, 0: none */
	gb_time since;	 /**< of ownership, or of the last change of count */
	gb_time lost_at; /**< this process was deposed, 0: never */
};

/** What the row of the owner before says. */
struct contention_row {
	uint32_t count;
	uint64_t incarnation; /**< 0: it gave the pool up */
};

/** Why a process takes the pool. */
enum takeover_cause {
	TAKEOVER_SILENT_OWNER,	/**< its owner may be gone */
	TAKEOVER_WORKING_OWNER, /**< its owner renews its row, and is not heard
				 */
	TAKEOVER_REQUESTED	/**< by the owner itself */
};

/** This process, of the incarnation `self`, takes the pool. */
void contention_take_over(struct contention *, gb_time now,
    const struct contention_row *, uint64_t self, enum takeover_cause);
/** This process was deposed while it was at work. */
void contention_owner_deposed(struct contention *, gb_time now);
/** This process gave the pool up. */
void contention_release(struct contention *);
/** A process is alive and not stopping; true when the count has grown by it. */
bool contention_process_alive(
    struct contention *, gb_time now, uint64_t incarnation);
/** Time passes for the owner. */
void contention_tick(struct contention *, gb_time now);

#endif
