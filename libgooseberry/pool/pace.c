/**
 * @file pace.c
 * Decides what an owner sends while its link is congested.
 *
 * Overload: starts, heartbeats to workers, advice and store calls are more than
 * the link carries (91 starts a second of 0.9 KB each on 2 Mbit/s).  Everything
 * sent waits behind what was sent before; once renewals of leases and answers
 * wait for seconds, leases expire and work is done twice.
 *
 * So messages that guarantees depend on (leases, stops, ends, answers) are
 * always sent, and what can wait keeps the queue of the link short: starts and
 * advice calls wait while the queue takes longer than a short time to send, and
 * heartbeats to workers are sent less often.  Flows that the link doesn't allow
 * to start in time are not accepted.
 */
#include <string.h>

#include "state.h"

/** Starts wait while the queue of the link takes longer than this to send.  A
 * lease renewal sent behind them then arrives well before the lease ends, also
 * behind a gang that is sent as a whole (0.3 s at 2 Mbit/s). */
#define PACE_STARTS_QUEUED_MAX (40 * GB_MSEC)
/** The same for advice calls, which are useful only when the start that follows
 * can be sent. */
#define PACE_ADVICE_QUEUED_MAX (80 * GB_MSEC)
/** The same for heartbeats to workers: a new owner sends one to all workers at
 * once, and must answer members well before they suspect it (0.9 s without
 * answer). */
#define PACE_HEARTBEATS_QUEUED_MAX (200 * GB_MSEC)
/** Time for which the answers to advice calls may keep the link busy. */
#define PACE_ADVICE_LINK_TIME (150 * GB_MSEC)
/** Bytes of such an answer, with a ticket for each worker of a large call. */
#define PACE_ADVICE_BYTES 4000
/** A heartbeat is delayed by this many times the time that the queue takes to
 * send, so that ends are reported in fewer, longer answers. */
#define PACE_HEARTBEATS_DELAY_FACTOR 2
/** Time for which the answers to first heartbeats may keep the link busy. */
#define PACE_FIRST_LINK_TIME (150 * GB_MSEC)
/** Bytes of such an answer, with opening the connection and a few runs. */
#define PACE_FIRST_BYTES 700
/** Share of the bandwidth for which starts are accepted while the link is not
 * congested, which shows only a second after too much was accepted, and the
 * time for which an unused share accumulates. */
#define PACE_ACCEPT_SHARE 0.5
#define PACE_ACCEPT_TIME GB_SEC
/** Time for which one write to the store may keep the link busy, without the
 * owner's row: members depose an owner that does not renew its row. */
#define PACE_WRITE_LINK_TIME (150 * GB_MSEC)
/** Share of the bandwidth that is available to the stored worker sets, which
 * are written again each time that a worker joins, leaves or restarts. */
#define PACE_SETS_SHARE 0.25
/** Bytes that base64 makes of three. */
#define PACE_BASE64_BYTES 4
/** Bytes of a start order besides its specification: names, lease, ticket,
 * headers. */
#define PACE_START_BYTES 520
/** The link is congested from this share of the bandwidth in use on, in either
 * direction, until less than the second share is in use in both.  Otherwise
 * waiting starts don't wait for the link but for something else. */
#define PACE_CONGESTED_SHARE 0.8
#define PACE_FREE_SHARE 0.65
/** Share of the bandwidth that is expected to be available to starts, besides
 * heartbeats, store calls and advice, before any were sent. */
#define PACE_STARTS_SHARE 0.25
/** Largest share that starts get while other messages wait. */
#define PACE_STARTS_SHARE_MAX 0.5
/** Accepted work waits for the link, and not for capacity, if the free workers
 * could take this share of it. */
#define PACE_TAKEABLE_SHARE 0.5
/** Smallest share of the bandwidth that is expected. */
#define PACE_STARTS_SHARE_MIN 0.01
/** Interval at which the rate of starts is measured. */
#define PACE_RATE_INTERVAL GB_SEC
/** Weight of the last interval in the moving average of that rate.  Gangs begin
 * and end as a whole, so that single intervals say little. */
#define PACE_RATE_WEIGHT 0.2

static struct gb_pool_link
pace_link(const struct gb_pool *pool)
{
	struct gb_pool_link link = {0};

	if (pool->ops.link != NULL &&
	    POOL_FEATURE_ENABLED(pool, GB_FEATURE_PACING))
		pool->ops.link(pool->ops.data, &link);
	return link;
}

uint64_t
pool_pace_bandwidth(const struct gb_pool *pool)
{
	return pace_link(pool).bytes_per_s;
}

bool
pool_pace_may_send_starts(const struct gb_pool *pool)
{
	return pace_link(pool).queued <= PACE_STARTS_QUEUED_MAX;
}

bool
pool_pace_may_ask_advice(const struct gb_pool *pool)
{
	struct gb_pool_link link = pace_link(pool);
	uint64_t most = link.bytes_per_s * PACE_ADVICE_LINK_TIME / GB_SEC /
			PACE_ADVICE_BYTES;

	if (link.queued > PACE_ADVICE_QUEUED_MAX)
		return false;
	return link.bytes_per_s == 0 || pool->advice_in_flight <= most;
}

bool
pool_pace_may_send_heartbeat(const struct gb_pool *pool)
{
	return pace_link(pool).queued <= PACE_HEARTBEATS_QUEUED_MAX;
}

uint32_t
pool_pace_first_heartbeats(const struct gb_pool *pool)
{
	uint64_t rate = pool_pace_bandwidth(pool);
	uint64_t count =
	    rate * PACE_FIRST_LINK_TIME / GB_SEC / PACE_FIRST_BYTES;

	if (rate == 0 || count > UINT32_MAX)
		return UINT32_MAX;
	return count == 0 ? 1 : (uint32_t)count;
}

gb_time
pool_pace_heartbeat_delay(const struct gb_pool *pool, gb_time pause)
{
	return pause + PACE_HEARTBEATS_DELAY_FACTOR * pace_link(pool).queued;
}

uint64_t
pool_pace_start_bytes(const gb_flow *flow, uint32_t tasks)
{
	return (uint64_t)tasks * (PACE_START_BYTES + strlen(flow->spec));
}

bool
pool_pace_accepts(struct gb_pool *pool, uint64_t bytes)
{
	double rate = (double)pool_pace_bandwidth(pool) * PACE_ACCEPT_SHARE;
	double most = rate * PACE_ACCEPT_TIME / GB_SEC;
	double gained = rate * (double)(pool->now - pool->accept_at) / GB_SEC;

	if (rate == 0)
		return true;
	pool->accept_at = pool->now;
	pool->accept_bytes += gained;
	if (pool->accept_bytes > most)
		pool->accept_bytes = most;
	if (pool->accept_bytes <= 0)
		return false;
	pool->accept_bytes -= (double)bytes;
	return true;
}

gb_time
pool_pace_queued(const struct gb_pool *pool)
{
	return pace_link(pool).queued;
}

gb_time
pool_pace_answer_delay(const struct gb_pool *pool)
{
	return pace_link(pool).answer_delay;
}

size_t
pool_pace_write_bytes(const struct gb_pool *pool, size_t max)
{
	uint64_t rate = pool_pace_bandwidth(pool);
	uint64_t bytes =
	    rate * PACE_WRITE_LINK_TIME / GB_SEC * 3 / PACE_BASE64_BYTES;

	return rate == 0 || bytes > max ? max : (size_t)bytes;
}

gb_time
pool_pace_set_pause(const struct gb_pool *pool, size_t bytes)
{
	double rate = (double)pool_pace_bandwidth(pool) * PACE_SETS_SHARE;
	double total =
	    (double)bytes * PACE_BASE64_BYTES / 3 * GB_POOL_PARTITIONS;

	return rate == 0 ? 0 : (gb_time)(total * GB_SEC / rate);
}

void
pool_pace_look(struct gb_pool *pool)
{
	pool->link = pace_link(pool);
}

gb_time
pool_pace_send_time(
    const struct gb_pool *pool, const gb_flow *flow, uint32_t tasks)
{
	if (pool->link.bytes_per_s == 0)
		return 0;
	return pool->link.queued +
	       (gb_time)(pool_pace_start_bytes(flow, tasks) * GB_SEC /
			 pool->link.bytes_per_s);
}

uint32_t
pool_pace_starts_max(const struct gb_pool *pool, const gb_flow *flow)
{
	struct gb_pool_link link = pace_link(pool);
	gb_time left = PACE_STARTS_QUEUED_MAX - link.queued;
	uint64_t count;

	if (link.bytes_per_s == 0)
		return UINT32_MAX;
	if (left <= 0)
		return 1;
	count = link.bytes_per_s * (uint64_t)left / GB_SEC /
		pool_pace_start_bytes(flow, 1);
	return count == 0 ? 1 : (uint32_t)count;
}

void
pool_pace_task_done(
    struct gb_pool *pool, const struct pool_flow *flow, uint32_t tasks)
{
	pool->starts_rate.done_bytes +=
	    pool_pace_start_bytes(&flow->spec, tasks);
}

/** Share of the accepted work that the free workers could take.  What they
 * can't take waits for capacity, not for the link. */
static double
pace_takeable_share(const struct gb_pool *pool)
{
	if (pool->free_cpu >= pool->unstarted_cpu)
		return 1;
	return pool->free_cpu <= 0 ? 0 : pool->free_cpu / pool->unstarted_cpu;
}

void
pool_pace_measure(struct gb_pool *pool)
{
	struct pool_starts_rate *rate = &pool->starts_rate;
	struct gb_pool_link link = pace_link(pool);
	double expected = (double)link.bytes_per_s * PACE_STARTS_SHARE;
	double least = (double)link.bytes_per_s * PACE_STARTS_SHARE_MIN;
	gb_time passed = pool->now - rate->measured_at;
	double measured = expected;

	if (link.use >= PACE_CONGESTED_SHARE ||
	    link.use_received >= PACE_CONGESTED_SHARE)
		rate->congested = true;
	else if (link.use < PACE_FREE_SHARE &&
		 link.use_received < PACE_FREE_SHARE)
		rate->congested = false;
	if (passed < PACE_RATE_INTERVAL)
		return;
	if (rate->congested && pool->unstarted_bytes > 0 &&
	    pace_takeable_share(pool) == 1)
		measured = (double)rate->done_bytes * GB_SEC / (double)passed;
	if (rate->bytes_per_s == 0)
		rate->bytes_per_s = expected;
	rate->bytes_per_s += PACE_RATE_WEIGHT * (measured - rate->bytes_per_s);
	if (rate->bytes_per_s < least)
		rate->bytes_per_s = least;
	rate->done_bytes = 0;
	rate->measured_at = pool->now;
}

bool
pool_pace_limits_starts(const struct gb_pool *pool)
{
	return pool->starts_rate.congested &&
	       pace_takeable_share(pool) >= PACE_TAKEABLE_SHARE;
}

bool
gb_pool_link_congested(const struct gb_pool *pool)
{
	return pool->starts_rate.congested;
}

gb_time
pool_pace_starts_wait(const struct gb_pool *pool)
{
	struct gb_pool_link link = pace_link(pool);

	if (link.bytes_per_s == 0 || link.use < PACE_CONGESTED_SHARE)
		return 0;
	return (gb_time)((double)pool->waiting_bytes * GB_SEC /
			 ((double)link.bytes_per_s * PACE_STARTS_SHARE_MAX));
}

gb_time
pool_pace_backlog(const struct gb_pool *pool)
{
	if (!pool->starts_rate.congested || pool->starts_rate.bytes_per_s == 0)
		return 0;
	return (gb_time)((double)pool->unstarted_bytes *
			 pace_takeable_share(pool) * GB_SEC /
			 pool->starts_rate.bytes_per_s);
}
