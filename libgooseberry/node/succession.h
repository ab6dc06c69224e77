/**
 * @file succession.h
 * Who takes the pool over next, and how long the others wait.  No I/O.
 */
#ifndef GB_SUCCESSION_H
#define GB_SUCCESSION_H

#include "gooseberry.h"

/** Successors that are told to all members: more than are lost at once with
 * their owner when a third of 35 nodes is killed. */
#define SUCCESSION_MOST 16
/** Rank of a node that is not among the successors, or was told of none. */
#define SUCCESSION_UNRANKED UINT32_MAX

/** A member as the owner knows it. */
struct succession_member {
	const char *addr;
	uint32_t cpu_milli; /**< its processor, in thousandths */
	gb_time up;	    /**< age of its process */
	gb_time silent;	    /**< since it was last heard */
	bool leaving;
	bool current; /**< has the newest configuration */
};

/** Order members by how well they would own the pool and drop those that can't.
 * Returns how many are left, at the front. */
size_t succession_order(struct succession_member *, size_t count);

/** What a node knows of its place. */
struct succession {
	uint32_t rank;	      /**< its own, or SUCCESSION_UNRANKED */
	unsigned int ranked;  /**< nodes that have a rank */
	unsigned int members; /**< other nodes that are known */
};

/** How long a node waits before it claims a vacant pool, by its place and by
 * how long its last read of the store took. */
gb_time succession_delay(
    const struct succession *, gb_time store_took, uint64_t *seed);

#endif
