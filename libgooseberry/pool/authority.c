/**
 * @file authority.c
 * Until when an owner may act, and from when its successor may.
 *
 * An owner that is cut off hears neither of its successor nor that its row was
 * taken.  It must therefore end by time alone, and a successor starts what may
 * still run on a worker that it doesn't reach only after that time and the
 * leases given until then.  Both sides use the constants of this file.
 *
 * An owner may act as long as one of two things shows that there was no
 * successor a moment ago.  Both count from when a call was sent, not from when
 * its answer arrived.
 *
 * - The store: a write that required the owner's row, in most partitions.  A
 *   successor claims most partitions, so one of these before that.
 * - The workers: an answer of more than two thirds of them to a heartbeat with
 *   this owner's token.  A successor that has reached more than half of them
 *   has reached one of these, which refuses the older token from then on.  Two
 *   thirds, because the two may know lists that differ.  While the store
 *   doesn't answer anyone, work goes on by that.
 *
 * A successor that reaches fewer workers can't rely on the second and waits
 * until it has ended, so it is limited in time.
 */
#include <string.h>

#include <jansson.h>

#include "state.h"

/** An owner may act for this long after it was confirmed by the store or by the
 * workers.  Its row is written each 0.5 s, and workers with runs are asked as
 * often. */
#define AUTHORITY_TIME (1200 * GB_MSEC)
/** An owner that only the workers confirm may act for this long after the store
 * has confirmed it.  Outages of the store last up to 9 s. */
#define AUTHORITY_WITHOUT_STORE_MAX (15 * GB_SEC)
/** Time after which the store's confirmation is about to expire, and idle
 * workers are asked more often.  That takes a part of the link, which starts
 * need if it is the link that delays the writes. */
#define AUTHORITY_DOUBT_TIME (900 * GB_MSEC)
/** Interval at which the answers of workers are counted, and for which the
 * result is valid. */
#define AUTHORITY_COUNT_INTERVAL (100 * GB_MSEC)

/** Whether a worker counts for a majority.  One whose entry can't be used and
 * that no owner recorded runs nothing, and perhaps nothing listens at its
 * address. */
static bool
worker_counts(const struct pool_worker *worker)
{
	return !worker->ended &&
	       (pool_worker_offered(worker) || worker->fenced ||
		   worker->in_stored_sets != 0);
}

/** Counts the workers, and those that answered a heartbeat sent at this time or
 * later. */
static uint32_t
workers_count(const struct gb_pool *pool, gb_time since, uint32_t *answered)
{
	uint32_t count = 0;
	uint32_t i;

	*answered = 0;
	for (i = 0; i < pool->worker_count; i++) {
		const struct pool_worker *worker = pool->workers[i];

		if (!worker_counts(worker))
			continue;
		count++;
		*answered += worker->fenced && worker->report_sent_at >= since;
	}
	return count;
}

/** Latest time at which most partitions are known to have had this owner's
 * row. */
static gb_time
store_confirmed_at(const struct gb_pool *pool)
{
	gb_time latest = 0;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < GB_POOL_PARTITIONS; i++) {
		gb_time at = pool->partitions[i].confirmed;
		uint32_t count = 0;

		for (j = 0; j < GB_POOL_PARTITIONS; j++)
			count += pool->partitions[j].confirmed >= at;
		if (count >= GB_POOL_PARTITIONS_RENEWED && at > latest)
			latest = at;
	}
	return latest;
}

/** Extends the authority if enough workers answered this owner recently. */
static void
authority_count_workers(struct gb_pool *pool, gb_time store_confirmed)
{
	gb_time until = pool->now + AUTHORITY_COUNT_INTERVAL;
	uint32_t answered;
	uint32_t count;

	if (pool->now < pool->authority_counted_at + AUTHORITY_COUNT_INTERVAL)
		return;
	pool->authority_counted_at = pool->now;
	count = workers_count(pool, until - AUTHORITY_TIME, &answered);
	if (answered * 3 <= count * 2)
		return;
	if (until > store_confirmed + AUTHORITY_WITHOUT_STORE_MAX)
		until = store_confirmed + AUTHORITY_WITHOUT_STORE_MAX;
	if (until > pool->authority_until)
		pool->authority_until = until;
}

/** Logs that the authority has ended or is back. */
static void
authority_event(struct gb_pool *pool, gb_time store_confirmed)
{
	bool held = pool_authority_held(pool);
	uint32_t answered;
	uint32_t count;

	if (held == !pool->authority_lapsed)
		return;
	pool->authority_lapsed = !held;
	pool->stats.authority_lapses += !held;
	pool->work_changed = pool->work_changed || held;
	count = workers_count(pool, pool->now - AUTHORITY_TIME, &answered);
	gb_event(pool->cfg.events, GB_EVENT_ALWAYS,
	    held ? "authority_restored" : "authority_lapsed",
	    "{s:I, s:I, s:I, s:I}", "epoch", (json_int_t)pool->epoch,
	    "store_ms_ago",
	    (json_int_t)((pool->now - store_confirmed) / GB_MSEC), "workers",
	    (json_int_t)count, "answered", (json_int_t)answered);
}

void
pool_authority_tick(struct gb_pool *pool)
{
	gb_time store_confirmed = store_confirmed_at(pool);

	if (store_confirmed + AUTHORITY_TIME > pool->authority_until)
		pool->authority_until = store_confirmed + AUTHORITY_TIME;
	pool->authority_in_doubt =
	    pool->now > store_confirmed + AUTHORITY_DOUBT_TIME;
	if (pool->authority_in_doubt)
		authority_count_workers(pool, store_confirmed);
	authority_event(pool, store_confirmed);
}

void
pool_authority_reset(struct gb_pool *pool)
{
	pool->authority_until = 0;
	pool->authority_counted_at = 0;
	pool->authority_in_doubt = false;
	pool->authority_lapsed = false;
	pool->majority_fenced_at = 0;
}

bool
pool_authority_held(const struct gb_pool *pool)
{
	return pool->now < pool->authority_until;
}

bool
pool_authority_in_doubt(const struct gb_pool *pool)
{
	return pool->authority_in_doubt;
}

void
pool_authority_count_fenced(struct gb_pool *pool)
{
	uint32_t fenced;
	uint32_t count;

	if (pool->majority_fenced_at != 0 || !pool->listed)
		return;
	count = workers_count(pool, 0, &fenced);
	if (fenced * 2 > count)
		pool->majority_fenced_at = pool->now;
}

gb_time
pool_authority_leases_expired_at(const struct gb_pool *pool, gb_time claimed)
{
	gb_time lease = pool_incarnation_lease_max(pool);
	gb_time granted_until = claimed + AUTHORITY_WITHOUT_STORE_MAX;

	if (pool->majority_fenced_at != 0)
		granted_until = (pool->majority_fenced_at > claimed
					? pool->majority_fenced_at
					: claimed) +
				AUTHORITY_TIME;
	return claimed +
	       (granted_until - claimed + lease) * 1000 / POOL_CLOCK_RATE_MIN +
	       POOL_LEASE_MARGIN;
}
