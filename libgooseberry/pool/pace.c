/**
 * @file pace.c
 * What an owner sends while its link fills.
 *
 * Load: starts, looks at workers, advice and store calls come to more than the
 * link carries (91 starts a second of 0.9 KB each, over 2 Mbit/s).  Whatever
 * is sent waits behind what was sent before; once renewals of leases and
 * answers wait for seconds, leases lapse and work is done twice.  So what keeps
 * promises (leases, stops, ends, answers) is always sent, and finds a short
 * queue: starts wait while the link is busy for longer than a moment, questions
 * for advice while it is busy at all, and looks at workers are spaced out. What
 * can't be started in time for want of the link is not taken in.
 */
#include <string.h>

#include "state.h"

/** Starts wait while the link is busy for longer than this: a renewal that is
 * sent behind them still comes well before its lease ends, also behind one gang
 * that is sent whole (0.3 s at 2 Mbit/s). */
#define PACE_STARTS (40 * GB_MSEC)
/** The same for questions for advice, which are of use only when the start
 * that follows can be sent. */
#define PACE_ADVICE (80 * GB_MSEC)
/** Looks at workers wait while the link is busy for longer than this: a new
 * owner asks all workers at once, and what members ask it meanwhile must be
 * answered well before its silence is suspected (0.9 s). */
#define PACE_HEARTBEATS_MOST (200 * GB_MSEC)
/** A look at a worker is put off by this many times as long as the link is
 * busy: ends are told in fewer, longer answers. */
#define PACE_HEARTBEATS 2
/** Answers to first looks take the link for this long, each with a connection
 * and a few runs. */
#define PACE_FIRST_TIME (150 * GB_MSEC)
#define PACE_FIRST_BYTES 700
/** Bytes of a start beside its specification: names, lease, ticket, headers. */
#define PACE_START_BYTES 520
/** A link that is used less than this is not what starts wait for. */
#define PACE_FULL 0.8
/** Share of the link that starts can have, beside looks and the store. */
#define PACE_STARTS_SHARE 0.5

static struct gb_pool_link
pace_link(const struct gb_pool *pool)
{
	struct gb_pool_link link = {0};

	if (pool->ops.link != NULL && POOL_USES(pool, GB_FEATURE_PACING))
		pool->ops.link(pool->ops.data, &link);
	return link;
}

uint64_t
pool_pace_rate(const struct gb_pool *pool)
{
	return pace_link(pool).bytes_per_s;
}

bool
pool_pace_starts(const struct gb_pool *pool)
{
	return pace_link(pool).queued <= PACE_STARTS;
}

bool
pool_pace_advice(const struct gb_pool *pool)
{
	return pace_link(pool).queued <= PACE_ADVICE;
}

bool
pool_pace_may_send_heartbeat(const struct gb_pool *pool)
{
	return pace_link(pool).queued <= PACE_HEARTBEATS_MOST;
}

uint32_t
pool_pace_first_heartbeats(const struct gb_pool *pool)
{
	uint64_t rate = pool_pace_rate(pool);
	uint64_t most = rate * PACE_FIRST_TIME / GB_SEC / PACE_FIRST_BYTES;

	if (rate == 0 || most > UINT32_MAX)
		return UINT32_MAX;
	return most == 0 ? 1 : (uint32_t)most;
}

gb_time
pool_pace_heartbeat_delay(const struct gb_pool *pool, gb_time pause)
{
	return pause + PACE_HEARTBEATS * pace_link(pool).queued;
}

uint64_t
pool_pace_bytes(const struct pool_flow *flow, uint32_t tasks)
{
	return (uint64_t)tasks * (PACE_START_BYTES + strlen(flow->spec.spec));
}

gb_time
pool_pace_wait(const struct gb_pool *pool)
{
	struct gb_pool_link link = pace_link(pool);

	if (link.bytes_per_s == 0 || link.use < PACE_FULL)
		return 0;
	return (gb_time)((double)pool->waiting_bytes * GB_SEC /
			 ((double)link.bytes_per_s * PACE_STARTS_SHARE));
}
