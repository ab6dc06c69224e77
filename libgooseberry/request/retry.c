/**
 * @file retry.c
 * Retry budget and backoff with jitter.
 */
#include "gooseberry.h"

/** Credit of one retry. */
#define RETRY_COST 1000
/** Largest exponent of the backoff, so that the shift does not overflow. */
#define BACKOFF_STEPS_MAX 16

void
gb_retry_init(
    struct gb_retry *retry, int64_t per_try, int64_t limit, uint64_t seed)
{
	retry->credit = limit;
	retry->per_try = per_try;
	retry->limit = limit;
	retry->seed = seed;
}

void
gb_retry_earn(struct gb_retry *retry)
{
	retry->credit += retry->per_try;
	if (retry->credit > retry->limit)
		retry->credit = retry->limit;
}

bool
gb_retry_spend(struct gb_retry *retry)
{
	if (retry->credit < RETRY_COST)
		return false;
	retry->credit -= RETRY_COST;
	return true;
}

gb_time
gb_retry_delay(
    struct gb_retry *retry, unsigned int try, gb_time base, gb_time max)
{
	gb_time ceiling;

	if (try > BACKOFF_STEPS_MAX)
		try = BACKOFF_STEPS_MAX;
	ceiling = base << try;
	if (ceiling > max)
		ceiling = max;
	return 1 + (gb_time)(gb_random_next(&retry->seed) % (uint64_t)ceiling);
}
