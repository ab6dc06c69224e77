/**
 * @file shed.c
 * Load shedding for the owner's link.
 *
 * When callers send more than the owner's link can carry, hellos of members and
 * answers of workers and of the store wait behind flows that are refused in the
 * end.  Leases lapse, and the owner seems to have terminated.  Therefore
 * members reject a percentage of the flows before they send them.  It grows
 * quickly while the link is full and shrinks slowly, since rejected callers
 * retry.
 */
#include <string.h>

#include "shed.h"

/** Interval at which the percentage is updated. */
#define SHED_INTERVAL (250 * GB_MSEC)
/** Use of the link, in percent, above which more flows are rejected, and below
 * which fewer are. */
#define SHED_USE_HIGH 97
#define SHED_USE_LOW 88
/** Each increase reduces the percentage of accepted flows to this percentage of
 * its value. */
#define SHED_KEEP_PERCENT 75
/** Each decrease subtracts this from the percentage of rejected flows. */
#define SHED_RECOVERY_STEP 4
/** Percentage of flows that are rejected after a takeover over a slow link:
 * callers have retried meanwhile, all workers are asked what they run, and the
 * inbox is read. */
#define SHED_PERCENT_TAKEOVER 80
/** Largest percentage of flows that are rejected. */
#define SHED_PERCENT_MAX 95

void
shed_begin(struct shed *shed, bool slow_link)
{
	memset(shed, 0, sizeof(*shed));
	if (slow_link)
		shed->percent = SHED_PERCENT_TAKEOVER;
}

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
		    100 - (100 - shed->percent) * SHED_KEEP_PERCENT / 100;
	else if (use < SHED_USE_LOW)
		shed->percent -= shed->percent < SHED_RECOVERY_STEP
				     ? shed->percent
				     : SHED_RECOVERY_STEP;
	if (shed->percent > SHED_PERCENT_MAX)
		shed->percent = SHED_PERCENT_MAX;
}

bool
shed_rejects(uint32_t percent, const char *id)
{
	return gb_hash(id, strlen(id)) % 100 < percent;
}
