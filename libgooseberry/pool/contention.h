/**
 * @file contention.h
 * Counts contention: takeovers from owners that were still working.  No I/O.
 */
#ifndef GB_POOL_CONTENTION_H
#define GB_POOL_CONTENTION_H

#include "gooseberry.h"

/** What an owner, or a former owner, knows of contention.  The count is stored
 * in the owner's row; the higher it is, the longer members wait before they
 * take the pool from an owner. */
struct contention {
	uint32_t count;
	uint64_t
	    previous_owner; /**< incarnation of the previous owner, 0: none */
	gb_time since;	 /**< start of the ownership, or last change of count */
	gb_time lost_at; /**< when this process was deposed as the owner, 0:
			    never */
};

/** Contents of the previous owner's row. */
struct contention_row {
	uint32_t count;
	uint64_t incarnation; /**< 0: it released the pool */
};

/** Why a process takes over the pool. */
enum takeover_cause {
	TAKEOVER_SILENT_OWNER,	/**< the owner may have terminated */
	TAKEOVER_WORKING_OWNER, /**< the owner renews its row, but can't be
				   reached */
	TAKEOVER_REQUESTED	/**< the owner asked for it */
};

/** Handles that this process, with the incarnation `self`, takes over the
 * pool. */
void contention_take_over(struct contention *, gb_time now,
    const struct contention_row *, uint64_t self, enum takeover_cause);
/** Handles that this process was deposed while it was working as the owner. */
void contention_owner_deposed(struct contention *, gb_time now);
/** Handles that this process released the pool. */
void contention_release(struct contention *);
/** Handles that a process was found alive and not stopping.  Returns true when
 * the count has grown by that. */
bool contention_process_alive(
    struct contention *, gb_time now, uint64_t incarnation);
/** Lowers the count when the owner has kept the pool for long enough. */
void contention_tick(struct contention *, gb_time now);

#endif
