/**
 * @file backlog.c
 * Measures how long a congested link will need for the accepted work that it
 * has not started, so that no more is accepted than it can start.
 *
 * What a start costs the link can't be computed: beside the order itself it
 * takes advice, tickets that expire on the way, retries, reports and writes. So
 * the rate is measured at the other end, by the tasks that are done, and
 * applies only to work that waits for the link: what the free workers can't
 * take waits for capacity.
 */
#include "state.h"

/** The link is congested from this share of the bandwidth in use on, in either
 * direction, until less than the second share is in use in both. */
#define BACKLOG_CONGESTED_SHARE 0.8
#define BACKLOG_FREE_SHARE 0.65
/** Share of the bandwidth that starts are expected to get before the rate was
 * measured, and the smallest one that is expected. */
#define BACKLOG_STARTS_SHARE 0.25
#define BACKLOG_STARTS_SHARE_MIN 0.01
/** The backlog waits for the link, and not for capacity, if the free workers
 * could take this share of it. */
#define BACKLOG_TAKEABLE_SHARE 0.5
/** Interval at which the rate is measured. */
#define BACKLOG_RATE_INTERVAL GB_SEC
/** Weight of the last interval in the moving average of the rate.  Gangs begin
 * and end as a whole, so that single intervals say little. */
#define BACKLOG_RATE_WEIGHT 0.2

void
pool_backlog_flow_accepted(struct gb_pool *pool, const struct pool_flow *flow)
{
	uint32_t i;

	for (i = 0; i < flow->step_count; i++)
		pool->backlog.bytes += pool_pace_start_bytes(
		    &flow->spec, flow->steps[i].spec->count);
}

void
pool_backlog_count(struct gb_pool *pool)
{
	const struct pool_flow *flow;
	const struct pool_step *step;
	uint32_t tasks;
	uint32_t i;

	pool->backlog.bytes = 0;
	pool->backlog.cpu = 0;
	pool->backlog.overdue = false;
	TAILQ_FOREACH(flow, &pool->open, open_next)
	{
		for (i = 0; i < flow->step_count; i++) {
			step = &flow->steps[i];
			tasks = pool_flow_unstarted_count(flow, step);
			pool->backlog.bytes +=
			    pool_pace_start_bytes(&flow->spec, tasks);
			pool->backlog.cpu +=
			    (double)tasks * step->spec->res.cpu;
		}
	}
}

void
pool_backlog_task_done(
    struct gb_pool *pool, const struct pool_flow *flow, uint32_t tasks)
{
	pool->backlog.done_bytes += pool_pace_start_bytes(&flow->spec, tasks);
}

/** Share of the backlog that the free workers could take. */
static double
backlog_takeable_share(const struct gb_pool *pool)
{
	if (pool->free_cpu >= pool->backlog.cpu)
		return 1;
	return pool->free_cpu <= 0 ? 0 : pool->free_cpu / pool->backlog.cpu;
}

static void
backlog_update_congested(
    struct pool_backlog *backlog, const struct gb_pool_link *link)
{
	if (link->use >= BACKLOG_CONGESTED_SHARE ||
	    link->use_received >= BACKLOG_CONGESTED_SHARE)
		backlog->congested = true;
	else if (link->use < BACKLOG_FREE_SHARE &&
		 link->use_received < BACKLOG_FREE_SHARE)
		backlog->congested = false;
}

void
pool_backlog_measure(struct gb_pool *pool)
{
	struct pool_backlog *backlog = &pool->backlog;
	struct gb_pool_link link = pool_pace_link(pool);
	double expected = (double)link.bytes_per_s * BACKLOG_STARTS_SHARE;
	double least = (double)link.bytes_per_s * BACKLOG_STARTS_SHARE_MIN;
	gb_time passed = pool->now - backlog->measured_at;
	double measured = expected;

	backlog_update_congested(backlog, &link);
	if (passed < BACKLOG_RATE_INTERVAL)
		return;
	/* Otherwise the rate shows what was asked for, not what the link
	 * carries. */
	if (backlog->congested && backlog->bytes > 0 &&
	    backlog_takeable_share(pool) == 1)
		measured =
		    (double)backlog->done_bytes * GB_SEC / (double)passed;
	if (backlog->bytes_per_s == 0)
		backlog->bytes_per_s = expected;
	backlog->bytes_per_s +=
	    BACKLOG_RATE_WEIGHT * (measured - backlog->bytes_per_s);
	if (backlog->bytes_per_s < least)
		backlog->bytes_per_s = least;
	backlog->done_bytes = 0;
	backlog->measured_at = pool->now;
}

bool
pool_backlog_waits_for_link(const struct gb_pool *pool)
{
	return pool->backlog.congested &&
	       backlog_takeable_share(pool) >= BACKLOG_TAKEABLE_SHARE;
}

bool
gb_pool_link_congested(const struct gb_pool *pool)
{
	return pool->backlog.congested;
}

gb_time
pool_backlog_wait(const struct gb_pool *pool)
{
	if (!pool->backlog.congested || pool->backlog.bytes_per_s == 0)
		return 0;
	return (gb_time)((double)pool->backlog.bytes *
			 backlog_takeable_share(pool) * GB_SEC /
			 pool->backlog.bytes_per_s);
}
