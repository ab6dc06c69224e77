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
/** A heartbeat is delayed by this many times the time that the queue takes to
 * send, so that ends are reported in fewer, longer answers. */
#define PACE_HEARTBEATS_DELAY_FACTOR 2
/** Time for which the answers to first heartbeats may keep the link busy. */
#define PACE_FIRST_LINK_TIME (150 * GB_MSEC)
/** Bytes of such an answer, with opening the connection and a few runs. */
#define PACE_FIRST_BYTES 700
/** Bytes of a start order besides its specification: names, lease, ticket,
 * headers. */
#define PACE_START_BYTES 520
/** While less than this share of the bandwidth is in use, waiting starts don't
 * wait for the link but for something else. */
#define PACE_FULL_SHARE 0.8
/** Share of the bandwidth that is available to starts, besides heartbeats and
 * store calls. */
#define PACE_STARTS_SHARE 0.5

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
	return pace_link(pool).queued <= PACE_ADVICE_QUEUED_MAX;
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
pool_pace_start_bytes(const struct pool_flow *flow, uint32_t tasks)
{
	return (uint64_t)tasks * (PACE_START_BYTES + strlen(flow->spec.spec));
}

gb_time
pool_pace_starts_wait(const struct gb_pool *pool)
{
	struct gb_pool_link link = pace_link(pool);

	if (link.bytes_per_s == 0 || link.use < PACE_FULL_SHARE)
		return 0;
	return (gb_time)((double)pool->waiting_bytes * GB_SEC /
			 ((double)link.bytes_per_s * PACE_STARTS_SHARE));
}
