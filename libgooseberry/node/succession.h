/**
 * @file succession.h
 * Order in which members may claim a vacant pool, and how long each waits.
 * Does no I/O.
 */
#ifndef GB_SUCCESSION_H
#define GB_SUCCESSION_H

#include "gooseberry.h"

/** Largest number of successors that get a rank: more than are lost together
 * with the owner when a third of 35 nodes is killed. */
#define SUCCESSION_RANKED_MAX 16
/** Rank of a node that is not among the successors, or doesn't know its rank.
 */
#define SUCCESSION_UNRANKED UINT32_MAX

/** A member as the owner knows it. */
struct succession_member {
	const char *addr;
	uint32_t cpu_milli; /**< its processor in milli-cores */
	gb_time up;	    /**< age of its process, in microseconds */
	gb_time silent;	    /**< microseconds since its last hello */
	bool leaving;	    /**< its process is stopping */
	bool current;	    /**< has the newest configuration */
};

/** Sort the members that can own the pool to the front, the most suitable
 * first, and return their number. */
size_t succession_order(struct succession_member *, size_t count);

/** Place of a node in the order of succession, as far as it knows. */
struct succession {
	uint32_t rank; /**< 0 is the first successor, or SUCCESSION_UNRANKED */
	unsigned int ranked;  /**< number of nodes that have a rank */
	unsigned int members; /**< number of other nodes that it knows */
};

/** Time in microseconds that a node waits before it claims a vacant pool.
 * @param store_read_time duration of its last read of the store, in
 * microseconds
 * @param seed state of the random numbers
 */
gb_time succession_delay(
    const struct succession *, gb_time store_read_time, uint64_t *seed);

#endif
