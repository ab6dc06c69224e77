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
 * heartbeats to workers are sent less often.  What the link can't start of the
 * accepted flows is measured in backlog.c.
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
/** From this share of the bandwidth in use on, starts wait for the link. */
#define PACE_FULL_SHARE 0.8
/** Share of the bandwidth that starts get beside heartbeats and store calls. */
#define PACE_STARTS_SHARE 0.5

struct gb_pool_link
pool_pace_link(const struct gb_pool *pool)
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
	return pool_pace_link(pool).bytes_per_s;
}

bool
pool_pace_may_send_starts(const struct gb_pool *pool)
{
	return pool_pace_link(pool).queued <= PACE_STARTS_QUEUED_MAX;
}

bool
pool_pace_may_ask_advice(const struct gb_pool *pool)
{
	struct gb_pool_link link = pool_pace_link(pool);
	uint64_t most = link.bytes_per_s * PACE_ADVICE_LINK_TIME / GB_SEC /
			PACE_ADVICE_BYTES;

	if (link.queued > PACE_ADVICE_QUEUED_MAX)
		return false;
	return link.bytes_per_s == 0 || pool->advice_in_flight <= most;
}

bool
pool_pace_may_send_heartbeat(const struct gb_pool *pool)
{
	return pool_pace_link(pool).queued <= PACE_HEARTBEATS_QUEUED_MAX;
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
	return pause +
	       PACE_HEARTBEATS_DELAY_FACTOR * pool_pace_link(pool).queued;
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
	return pool_pace_link(pool).queued;
}

gb_time
pool_pace_answer_delay(const struct gb_pool *pool)
{
	return pool_pace_link(pool).answer_delay;
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
pool_pace_snapshot_link(struct gb_pool *pool)
{
	pool->link = pool_pace_link(pool);
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
	struct gb_pool_link link = pool_pace_link(pool);
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

gb_time
pool_pace_starts_wait(const struct gb_pool *pool)
{
	struct gb_pool_link link = pool_pace_link(pool);

	if (link.bytes_per_s == 0 || link.use < PACE_FULL_SHARE)
		return 0;
	return (gb_time)((double)pool->waiting_bytes * GB_SEC /
			 ((double)link.bytes_per_s * PACE_STARTS_SHARE));
}
