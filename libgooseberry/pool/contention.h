/**
 * @file contention.h
 * Counts contention: takeovers from owners that were still working.  No I/O.
 */
#ifndef GB_POOL_CONTENTION_H
#define GB_POOL_CONTENTION_H

#include "gooseberry.h"

/** What an owner, or a former owner, knows of contention.  The count of recent
 * contested takeovers is stored in the owner's row; the higher it is, the
 * longer members wait before they take the pool from an owner. */
struct contention {
	uint32_t count;
	uint64_t
	    previous_owner; /**< incarnation of the previous owner, 0: none */
	gb_time since; /**< start of the ownership, or last change of count */
	gb_time deposed_at; /**< when another process took the pool from this
			       one while it was working, 0: none */
};

/** Contents of the previous owner's row. */
struct contention_row {
	uint32_t count;
	uint64_t incarnation; /**< 0: it released the pool */
};

/** Why a process takes over the pool. */
enum takeover_cause {
	TAKEOVER_SILENT_OWNER,	/**< nothing shows that the owner still runs */
	TAKEOVER_WORKING_OWNER, /**< the owner renews its row, but can't be
				   reached */
	TAKEOVER_REQUESTED	/**< the owner asked for it */
};

/** Handles that this process, with the incarnation `self`, takes over the pool:
 * sets the count for its own row from that in the previous owner's row. */
void contention_take_over(struct contention *, gb_time now,
    const struct contention_row *, uint64_t self, enum takeover_cause);
/** Handles that this process was deposed while it was working as the owner. */
void contention_owner_deposed(struct contention *, gb_time now);
/** Handles that this process released the pool. */
void contention_release(struct contention *);
/** Handles that a process was found alive and not stopping.  If it is the
 * previous owner, the takeover was contested: the count grows, and the function
 * returns true. */
bool contention_process_alive(
    struct contention *, gb_time now, uint64_t incarnation);
/** Lowers the count when the owner has kept the pool for long enough. */
void contention_tick(struct contention *, gb_time now);

#endif
