/**
 * @file succession.c
 * Order of succession.
 *
 * Load: 35 nodes learn within a fifth of a second that the pool is vacant.  A
 * claim writes a row in each of five parts, and a part carries out one write
 * after another and turns calls away beyond one second of them; while the store
 * is 35 times slower a write takes 0.3 s, so that the claims of all nodes are
 * seconds of work, of which one claim is needed.  The owner therefore tells all
 * members in which order they are to claim, and each waits for those before it
 * as long as their claims take by what it has seen of the store.
 *
 * Load: every node is stopped and started in turn, two seconds apart.  The node
 * that started last is the one that will stay longest.
 */
#include <stdlib.h>
#include <string.h>

#include "succession.h"

/** Hellos come each 0.2 s: a member that missed three may be gone. */
#define SUCCESSION_SILENCE_MAX (600 * GB_MSEC)
/** A process that has just started has yet to learn of workers and members. */
#define SUCCESSION_UPTIME_MIN (500 * GB_MSEC)
/** A claim until others can see it: a read and a write take 16 ms when all is
 * calm, and a write takes twice a read. */
#define SUCCESSION_CLAIM_MIN (40 * GB_MSEC)
#define SUCCESSION_CLAIM_READS 3
/** Most that is waited for one claim; reads of a store that is a hundred times
 * slower take 0.4 s. */
#define SUCCESSION_CLAIM_MAX (1200 * GB_MSEC)
/** Nodes without a rank wait a random time of up to one claim for each of them,
 * and of so many at the least. */
#define SUCCESSION_UNRANKED_CLAIMS 2

static bool
member_can(const struct succession_member *m)
{
	return !m->leaving && m->current &&
	       m->silent <= SUCCESSION_SILENCE_MAX &&
	       m->up >= SUCCESSION_UPTIME_MIN;
}

/** The larger first: the owner's work takes a fifth of a core at 350 workers.
 * Of equal ones the one that started last. */
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
		if (member_can(&members[i]))
			members[kept++] = members[i];
	}
	if (kept > 1)
		qsort(members, kept, sizeof(*members), member_compare);
	return kept;
}

gb_time
succession_delay(
    const struct succession *order, gb_time store_took, uint64_t *seed)
{
	gb_time claim = SUCCESSION_CLAIM_READS * store_took;
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
