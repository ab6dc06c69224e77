/**
 * @file probe.c
 * Probes of the store while the answer to a write is overdue.
 *
 * A write without an answer may have been lost, or the store may be slow, or it
 * may answer nothing.  A quick answer to a probe, the read of a small row,
 * shows that the write's answer was lost; a slow one that the store is slow;
 * none that it is unavailable to this owner.
 */
#include "state.h"

/** Time without an answer after which a write is overdue.  Writes take 12 ms,
 * or 0.8 s when the store is a hundred times slower; reads 4 ms, or 0.4 s. */
#define PROBE_WRITE_OVERDUE (130 * GB_MSEC)
/** Longest time of a quick answer to a probe. */
#define PROBE_QUICK (80 * GB_MSEC)
/** Interval of further probes while none is answered.  A probe that was lost
 * doesn't hide that the store answers again. */
#define PROBE_INTERVAL (150 * GB_MSEC)
/** Time without an answer to probes after which the owner reports the store as
 * unavailable, so that successors check it.  Successors don't take over because
 * of a store that needs 0.15 s for a read of theirs. */
#define PROBE_OVERDUE (200 * GB_MSEC)
/** Time without an answer to probes after which the partition counts as
 * unavailable and callers are refused.  Reads take 0.4 s when the store is a
 * hundred times slower. */
#define PROBE_TIMEOUT (700 * GB_MSEC)

bool
pool_probe_overdue(const struct gb_pool *pool, uint32_t number)
{
	const struct pool_partition *partition = &pool->partitions[number];

	return partition->probing_since != 0 &&
	       pool->now - partition->probing_since >
		   PROBE_OVERDUE + pool_pace_answer_delay(pool);
}

/** Whether a probe is to be sent: the answer to a write is overdue, and so is
 * that to the last probe. */
static bool
probe_due(const struct gb_pool *pool, const struct pool_partition *partition)
{
	gb_time delay = pool_pace_answer_delay(pool);

	if (partition->call == 0 || partition->probe_answered ||
	    pool->now - partition->left_at < PROBE_WRITE_OVERDUE + delay)
		return false;
	return partition->probing_since == 0 ||
	       pool->now - partition->probed >= PROBE_INTERVAL + delay;
}

void
pool_probe_tick(struct gb_pool *pool, uint32_t number)
{
	struct pool_partition *partition = &pool->partitions[number];
	/* With a shorter timeout a slow store would look unavailable. */
	const struct gb_pool_read read = {number, GB_POOL_OWNERS,
	    GB_POOL_OWNER_KEY, GB_POOL_OWNER_KEY "0", 1, PROBE_TIMEOUT};
	struct pool_call *call;

	if (partition->probing_since != 0 &&
	    pool->now - partition->probing_since >
		PROBE_TIMEOUT + pool_pace_answer_delay(pool))
		partition->silent = true;
	if (!probe_due(pool, partition))
		return;
	call = pool_call_new(pool, POOL_CALL_PROBE);
	call->partition = number;
	partition->probed = pool->now;
	if (partition->probing_since == 0)
		partition->probing_since = pool->now;
	pool->stats.reads++;
	pool->ops.read(pool->ops.data, call->id, &read);
}

void
pool_probe_done(struct gb_pool *pool, const struct pool_call *call,
    const struct gb_pool_read_res *res)
{
	struct pool_partition *partition = &pool->partitions[call->partition];

	if (partition->probing_since == 0)
		return;
	if (res->status != GB_STORE_OK) {
		/* An older probe says nothing if a later one was answered. */
		if (call->sent >= partition->probe_answered_at)
			partition->silent = true;
		return;
	}
	partition->silent = false;
	partition->probing_since = 0;
	partition->probe_answered_at = pool->now;
	partition->probe_answered = true;
	partition->refused = 0;
	partition->lost = 0;
	if (partition->call == 0 || partition->left_at > call->sent ||
	    pool->now - call->sent > PROBE_QUICK + pool_pace_answer_delay(pool))
		return;
	/* The store is quick, so the answer to the write is lost. */
	pool_writer_answer_lost(pool, call->partition);
}
