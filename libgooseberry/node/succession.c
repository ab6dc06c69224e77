/**
 * @file succession.c
 * Order of succession.
 *
 * When the pool becomes vacant, 35 nodes find out within 0.2 s.  A claim writes
 * a row in each of five partitions.  A partition carries out writes one after
 * another and rejects calls when more than one second of them is queued.  With
 * a store that is 35 times slower a write takes 0.3 s, so the claims of all
 * nodes would take seconds, although only one claim is needed.  Therefore the
 * owner sends each member its rank, and a member waits for the claims of those
 * before it, whose duration it estimates from its last read of the store.
 *
 * In a rolling restart the nodes are stopped and started in turn, two seconds
 * apart.  The node that started last will stay the longest, so it is preferred.
 */
#include <stdlib.h>
#include <string.h>

#include "succession.h"

/** Silence after which a member is no successor.  Hellos come every 0.2 s: when
 * three are missing, the member may have terminated. */
#define SUCCESSION_SILENCE_MAX (600 * GB_MSEC)
/** Age of a process from which it can be a successor.  A younger one does not
 * know workers and members yet. */
#define SUCCESSION_UPTIME_MIN (500 * GB_MSEC)
/** Shortest time to wait for a claim until others can see it.  With a fast
 * store its read and its write take 16 ms. */
#define SUCCESSION_CLAIM_MIN (40 * GB_MSEC)
/** Duration of a claim in reads: it reads once, and a write takes as long as
 * two reads. */
#define SUCCESSION_CLAIM_READS 3
/** Longest time to wait for one claim.  With a store that is a hundred times
 * slower a read takes 0.4 s. */
#define SUCCESSION_CLAIM_MAX (1200 * GB_MSEC)
/** Nodes without a rank wait a random time, which is at most one claim for each
 * such node, or this number of claims if that is more. */
#define SUCCESSION_UNRANKED_CLAIMS 2

/** Whether a member can own the pool. */
static bool
member_eligible(const struct succession_member *m)
{
	return !m->leaving && m->current &&
	       m->silent <= SUCCESSION_SILENCE_MAX &&
	       m->up >= SUCCESSION_UPTIME_MIN;
}

/** Compare two members for qsort.  The one with the larger processor comes
 * first, since the owner's work takes 0.2 cores with 350 workers; among equal
 * ones, the one that started last. */
static int
member_compare(const void *a, const void *b)
{
	const struct succession_member *x = a;
	const struct succession_member *y = b;

	if (x->cpu_milli != y->cpu_milli)
		return x->cpu_milli > y->cpu_milli ? -1 : 1;
	if (x->up != y->up)
		return x->up < y->up ? -1 : 1;
	return strcmp(x->addr, y->addr);
}

size_t
succession_order(struct succession_member *members, size_t count)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < count; i++) {
		if (member_eligible(&members[i]))
			members[kept++] = members[i];
	}
	if (kept > 1)
		qsort(members, kept, sizeof(*members), member_compare);
	return kept;
}

gb_time
succession_delay(
    const struct succession *order, gb_time store_read_time, uint64_t *seed)
{
	gb_time claim = SUCCESSION_CLAIM_READS * store_read_time;
	unsigned int claims = SUCCESSION_UNRANKED_CLAIMS;

	if (claim < SUCCESSION_CLAIM_MIN)
		claim = SUCCESSION_CLAIM_MIN;
	if (claim > SUCCESSION_CLAIM_MAX)
		claim = SUCCESSION_CLAIM_MAX;
	if (order->rank != SUCCESSION_UNRANKED)
		return claim * order->rank;
	if (order->members > order->ranked + claims)
		claims = order->members - order->ranked;
	return claim * order->ranked +
	       (gb_time)(gb_random_next(seed) % (uint64_t)(claim * claims));
}
