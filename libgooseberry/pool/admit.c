/**
 * @file admit.c
 * Admission: which submissions are refused at once, and when their callers
 * should retry.
 *
 * Bursts of twice the usual load: a flow that waits costs memory and its
 * caller's time, so the number of open flows is bounded.  What is refused has
 * not run and never will.
 *
 * Large submissions: what was accepted must be kept by this owner and by each
 * successor, whatever its size, so the memory of open flows is bounded as well.
 *
 * A slow link: the owner's link can't carry all starts.  A flow whose starts
 * would wait behind others until its objective has passed is refused at once;
 * its caller is told the time until the accepted work has been started.  While
 * an accepted flow that could start can't earn anything any more, the link is
 * left to what was accepted: newer flows would go first and keep it waiting.
 */
#include "state.h"

/** Maximum number of open flows: unfinished ones, and finished ones until their
 * runs have ended and their state is stored. */
#define ADMIT_FLOWS_MAX 8000
/** Time after which a refused caller should retry: by then a burst is
 * over for the queues with the shortest waits. */
#define ADMIT_RETRY (2 * GB_SEC)
/** The same for a flow that its organisation's quota or the owner's link can
 * never allow; the operator may raise the quota, and another node may own the
 * pool. */
#define ADMIT_RETRY_LIMIT (30 * GB_SEC)
/** Time that a ticket takes to reach the owner and, with an order, the worker,
 * besides that of the link. */
#define ADMIT_TICKET_TIME (100 * GB_MSEC)
/** Flows are not refused while the waiting starts keep the link busy for less
 * than this. */
#define ADMIT_LINK_WAIT_MIN (500 * GB_MSEC)

/** Objective of a flow, by the declared run times of all its steps; 0 for an
 * unknown queue. */
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
	return queue->objective_base_us +
	       (gb_time)(queue->objective_factor * (double)work);
}

/** Whether a step needs more at once than the quota of its organisation
 * allows. */
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

/** Whether the link can't send the starts of a gang before its first ticket
 * expires, so that the gang would never begin. */
static bool
admit_gang_too_large(const struct gb_pool *pool, const gb_flow *flow)
{
	const struct gb_pool_queue *queue =
	    gb_pool_config_queue(pool->config, flow->queue);
	struct gb_pool_link link = pool_pace_link(pool);
	gb_time sent;
	u_int i;

	if (link.bytes_per_s == 0 || queue == NULL || !queue->advice.needed)
		return false;
	for (i = 0; i < flow->steps.steps_len; i++) {
		const gb_step *step = &flow->steps.steps_val[i];

		if ((step->flags & GB_STEP_GANG) == 0)
			continue;
		sent = (gb_time)(pool_pace_start_bytes(flow, step->count) *
				 GB_SEC / link.bytes_per_s);
		if (sent + link.answer_delay + ADMIT_TICKET_TIME >
		    queue->advice.valid_us)
			return true;
	}
	return false;
}

/** Whether the open flows would take too much memory with another one. */
static bool
admit_over_memory(const struct gb_pool *pool, const gb_flow *flow)
{
	size_t max = pool->cfg.limits.flow_bytes;

	return max > 0 && pool->open_bytes + gb_flow_bytes(flow) > max;
}

/** Bytes of the starts of all tasks of a flow. */
static uint64_t
admit_start_bytes(const gb_flow *flow)
{
	uint64_t bytes = 0;
	u_int i;

	for (i = 0; i < flow->steps.steps_len; i++)
		bytes +=
		    pool_pace_start_bytes(flow, flow->steps.steps_val[i].count);
	return bytes;
}

bool
pool_admit(struct gb_pool *pool, const gb_flow *flow, gb_time *retry_after,
    const char **why)
{
	gb_time wait = pool_pace_starts_wait(pool);
	gb_time backlog = pool_backlog_wait(pool);

	*retry_after = ADMIT_RETRY;
	if (admit_over_quota(pool, flow)) {
		*why = "a step needs more than its organisation may have";
		*retry_after = ADMIT_RETRY_LIMIT;
		return false;
	}
	if (admit_gang_too_large(pool, flow)) {
		*why = "the link can't start a gang while its tickets last";
		*retry_after = ADMIT_RETRY_LIMIT;
		return false;
	}
	if (pool->open_count >= ADMIT_FLOWS_MAX) {
		*why = "too many flows are open";
		return false;
	}
	if (admit_over_memory(pool, flow)) {
		*why = "the open flows take too much memory";
		pool->stats.refused_for_memory++;
		return false;
	}
	if (backlog > ADMIT_LINK_WAIT_MIN && pool->backlog.overdue &&
	    pool_backlog_waits_for_link(pool)) {
		*why = "accepted flows wait too long for the link";
		*retry_after = backlog > ADMIT_RETRY ? backlog : ADMIT_RETRY;
		return false;
	}
	if (wait > ADMIT_LINK_WAIT_MIN && wait > admit_objective(pool, flow)) {
		*why = "the link takes too long to start what waits";
		*retry_after = wait;
		return false;
	}
	if (backlog > admit_objective(pool, flow) * POOL_LATE_FACTOR) {
		*why = "the link takes too long to do what was accepted";
		*retry_after = backlog;
		return false;
	}
	if (!pool_pace_accepts(pool, admit_start_bytes(flow))) {
		*why = "too many starts were accepted for the link";
		return false;
	}
	return true;
}
