/**
 * @file shed.c
 * Load: callers send more than the owner's link takes in.  What members ask and
 * what workers and the store answer then waits behind flows that are refused in
 * the end, leases lapse, and the owner is taken for one that is gone.  So
 * members turn a share of the flows away before they are sent: it grows quickly
 * while the link is full, and shrinks slowly, as callers that were turned away
 * come back.
 */
#include <string.h>

#include "shed.h"

#define SHED_INTERVAL (250 * GB_MSEC)
/** Shares of the link, in percent, above which more is turned away, and below
 * which less is. */
#define SHED_USE_HIGH 97
#define SHED_USE_LOW 88
/** What is still taken is cut to this, in percent. */
#define SHED_CUT_PERCENT 75
#define SHED_RECOVERY_STEP 4
#define SHED_PERCENT_MAX 95

void
shed_tick(struct shed *shed, gb_time now, uint64_t bytes, uint64_t rate)
{
	gb_time passed = now - shed->at;
	uint64_t use;

	if (rate == 0 || passed < SHED_INTERVAL)
		return;
	use = (bytes - shed->bytes) * 100 * GB_SEC / rate / (uint64_t)passed;
	if (shed->at == 0 || bytes < shed->bytes)
		use = 0;
	shed->at = now;
	shed->bytes = bytes;
	if (use > SHED_USE_HIGH)
		shed->percent =
		    100 - (100 - shed->percent) * SHED_CUT_PERCENT / 100;
	else if (use < SHED_USE_LOW)
		shed->percent -= shed->percent < SHED_RECOVERY_STEP
				     ? shed->percent
				     : SHED_RECOVERY_STEP;
	if (shed->percent > SHED_PERCENT_MAX)
		shed->percent = SHED_PERCENT_MAX;
}

bool
shed_refuses(uint32_t percent, const char *id)
{
	return gb_hash(id, strlen(id)) % 100 < percent;
}
