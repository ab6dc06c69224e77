/**
 * @file share.c
 * Shares of organisations when the pool is full.
 *
 * Overload: one organisation sends four to five times its usual load, so that
 * for 8 s at a time more is submitted than the pool can run.  An organisation's
 * weight is the number of submissions it may send per second.  What it sends
 * beyond that waits behind what others sent within their weight, and uses only
 * capacity that they leave.
 */
#include "state.h"

/** An organisation may save its unused share of this time, since callers send
 * in bursts; of a longer one if it has used little of the pool (usage.c). */
#define SHARE_ACCUMULATE_MAX GB_SEC

bool
pool_share_charge(struct gb_pool *pool, struct pool_org *org)
{
	double limit;

	if (org == NULL || org->weight == 0)
		return false;
	limit = (double)org->weight *
		(double)pool_usage_burst(pool, org, SHARE_ACCUMULATE_MAX) /
		GB_SEC;
	org->share_left +=
	    (double)(pool->now - org->share_at) / GB_SEC * (double)org->weight;
	org->share_at = pool->now;
	if (org->share_left > limit)
		org->share_left = limit;
	if (org->share_left < 1)
		return true;
	org->share_left--;
	return false;
}
