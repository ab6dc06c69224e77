/**
 * @file admit.c
 * Admission: what is refused at once, and when to come back.
 *
 * Load: bursts of twice the usual.  A flow that waits costs memory and its
 * caller's patience, so the number that has not begun is bounded; what is
 * refused has not run and never will.
 */
#include "state.h"

/** Flows that are not over; about 4 KiB each, so that they stay under a
 * quarter of the smallest node's memory (160 MB). */
#define ADMIT_FLOWS_MOST 8000
/** Time to come back after a refusal: as long as a burst drains for the
 * queues that wait least. */
#define ADMIT_RETRY_US (2 * GB_SEC)

bool
pool_admit(struct gb_pool *pool, const gb_flow *flow, gb_time *retry_after,
    const char **why)
{
	(void)flow;
	*retry_after = ADMIT_RETRY_US;
	if (pool->open_count >= ADMIT_FLOWS_MOST) {
		*why = "too many flows are open";
		return false;
	}
	return true;
}
