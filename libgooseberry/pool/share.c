/**
 * @file share.c
 * Shares of organisations when all is full.
 *
 * Load: one organisation sends four to five times its usual, so that the pool
 * is asked for more than it has for 8 s at a time.  An organisation's weight is
 * what it may send a second; what it sends beyond that waits behind what others
 * sent within theirs, and uses only room that they leave.
 */
#include "org.h"

/** A pause of an organisation saves up its share for so long: callers come in
 * bunches. */
#define SHARE_SAVED GB_SEC

bool
pool_share_take(struct pool_org *org, gb_time now)
{
	double most;

	if (org == NULL || org->weight == 0)
		return false;
	most = (double)org->weight * SHARE_SAVED / GB_SEC;
	org->share_left +=
	    (double)(now - org->share_at) / GB_SEC * (double)org->weight;
	org->share_at = now;
	if (org->share_left > most)
		org->share_left = most;
	if (org->share_left < 1)
		return true;
	org->share_left--;
	return false;
}
