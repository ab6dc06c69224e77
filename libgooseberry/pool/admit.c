/**
 * @file admit.c
 * Admission: what is refused at once, and when to come back.
 *
 * Load: bursts of twice the usual.  A flow that waits costs memory and its
 * caller's patience, so the number that has not begun is bounded; what is
 * refused has not run and never will.
 *
 * Load: the owner's link is too thin for the starts that are asked for.  A flow
 * whose starts would wait behind others until its objective has passed is
 * refused at once, with the time until what waits has been sent.
 */
#include "state.h"

/** Flows that are not over; about 4 KiB each, so that they stay under a
 * quarter of the smallest node's memory (160 MB). */
#define ADMIT_FLOWS_MOST 8000
/** Time to come back after a refusal: as long as a burst drains for the
 * queues that wait least. */
#define ADMIT_RETRY_US (2 * GB_SEC)
/** The same of what no quota admits: until the operator raises it. */
#define ADMIT_RETRY_QUOTA (30 * GB_SEC)
/** Starts that wait for the link for less than this hold nobody up. */
#define ADMIT_LINK_LEAST (500 * GB_MSEC)

/** Time in which a flow earns in full, by what its caller declared. */
static gb_time
admit_objective(const struct gb_pool *pool, const gb_flow *flow)
{
	const struct gb_pool_queue *queue =
	    gb_pool_config_queue(pool->config, flow->queue);
	gb_time work = 0;
	u_int i;

	if (queue == NULL)
		return 0;
	for (i = 0; i < flow->steps.steps_len; i++)
		work += flow->steps.steps_val[i].estimate_us;
	return queue->target_us + (gb_time)(queue->stretch * (double)work);
}

/** Whether a step asks for more at one moment than its organisation may ever
 * have. */
static bool
admit_over_quota(const struct gb_pool *pool, const gb_flow *flow)
{
	const struct gb_pool_org *org =
	    gb_pool_config_org(pool->config, flow->org);
	u_int i;

	for (i = 0; org != NULL && i < flow->steps.steps_len; i++) {
		const gb_step *step = &flow->steps.steps_val[i];
		bool gang = (step->flags & GB_STEP_GANG) != 0;

		if (!pool_quota_admits(
			&org->quota, &step->res, gang ? step->count : 1))
			return true;
	}
	return false;
}

bool
pool_admit(struct gb_pool *pool, const gb_flow *flow, gb_time *retry_after,
    const char **why)
{
	gb_time wait = pool_pace_wait(pool);

	*retry_after = ADMIT_RETRY_US;
	if (admit_over_quota(pool, flow)) {
		*why = "a step needs more than its organisation may have";
		*retry_after = ADMIT_RETRY_QUOTA;
		return false;
	}
	if (pool->open_count >= ADMIT_FLOWS_MOST) {
		*why = "too many flows are open";
		return false;
	}
	if (wait > ADMIT_LINK_LEAST && wait > admit_objective(pool, flow)) {
		*why = "the link takes too long to start what waits";
		*retry_after = wait;
		return false;
	}
	return true;
}
