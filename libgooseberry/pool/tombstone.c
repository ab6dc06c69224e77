/**
 * @file tombstone.c
 * Cancels of flows that don't exist.
 *
 * A submission may be held up for seconds, by a node that is frozen or cut off,
 * and be cancelled before it arrives.  The cancel leaves a tombstone: a stored
 * state without a flow, which rejects submissions of its id.  The caller is
 * answered once it is stored, so that later owners have it too.
 *
 * Meanwhile a node may store the flow without the owner.  Both writes require
 * that the id has no state, so that only one of them succeeds.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "state.h"

/** Largest number of tombstones.  Each is a row that a new owner loads before
 * it works. */
#define TOMBSTONES_MAX 4096
/** Largest number of those of one organisation, so that its callers don't keep
 * others from cancelling. */
#define TOMBSTONES_ORG_MAX (TOMBSTONES_MAX / 4)

bool
gb_flow_state_is_tombstone(const gb_flow_state *state)
{
	return state->status == GB_FLOW_UNKNOWN;
}

void
pool_tombstone_add(struct gb_pool *pool, struct pool_flow *flow)
{
	flow->tombstone = true;
	TAILQ_INSERT_TAIL(&pool->tombstones, flow, tombstone_next);
	pool->stats.tombstones++;
	if (flow->org != NULL)
		flow->org->tombstones++;
}

void
pool_tombstone_remove(struct gb_pool *pool, struct pool_flow *flow)
{
	TAILQ_REMOVE(&pool->tombstones, flow, tombstone_next);
	pool->stats.tombstones--;
	if (flow->org != NULL)
		flow->org->tombstones--;
}

static struct pool_flow *
tombstone_new(struct gb_pool *pool, const gb_flow_ask *ask)
{
	struct pool_flow *flow;
	gb_flow spec = {0};

	spec.id = gb_strdup(ask->id);
	spec.queue = gb_strdup("");
	spec.service = gb_strdup("");
	spec.spec = gb_strdup("");
	spec.org = gb_strdup(ask->caller.org);
	spec.submitted_us = pool->wall;
	flow = pool_flow_new(pool, &spec);
	flow->status = GB_FLOW_UNKNOWN;
	flow->cancelled = true;
	flow->ended = pool->now;
	pool_flow_close_loaded(pool, flow);
	pool_tombstone_add(pool, flow);
	pool_writer_mark_dirty(pool, flow, true);
	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "cancel_recorded",
	    "{s:s, s:s, s:I}", "flow", flow->spec.id, "org", flow->spec.org,
	    "tombstones", (json_int_t)pool->stats.tombstones);
	return flow;
}

/** Returns the oldest tombstone, of an organisation unless that is null; null
 * if there is none. */
static const struct pool_flow *
tombstone_oldest(const struct gb_pool *pool, const struct pool_org *org)
{
	const struct pool_flow *flow;

	TAILQ_FOREACH(flow, &pool->tombstones, tombstone_next)
	{
		if (org == NULL || flow->org == org)
			break;
	}
	return flow;
}

/** Returns the tombstone that must be removed before another one is added for
 * the organisation, or null. */
static const struct pool_flow *
tombstone_limit(const struct gb_pool *pool, const struct pool_org *org)
{
	if (org != NULL && org->tombstones >= TOMBSTONES_ORG_MAX)
		return tombstone_oldest(pool, org);
	if (pool->stats.tombstones >= TOMBSTONES_MAX)
		return tombstone_oldest(pool, NULL);
	return NULL;
}

/** Time until a tombstone is removed. */
static gb_time
tombstone_time_left(const struct gb_pool *pool, const struct pool_flow *flow)
{
	gb_time left = pool_flow_expires_at(pool, flow) - pool->now;

	return left > GB_SEC ? left : GB_SEC;
}

/** Answers that a cancel can't be recorded now. */
static void
cancel_refuse(struct gb_pool *pool, uint64_t token, const gb_flow_ask *ask,
    gb_flow_verdict verdict, gb_time retry_after)
{
	pool->stats.cancels_refused++;
	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "cancel_refused",
	    "{s:s, s:s, s:I, s:b, s:I}", "flow", ask->id, "org",
	    ask->caller.org, "tombstones", (json_int_t)pool->stats.tombstones,
	    "store_unavailable", verdict == GB_FLOW_CANT_STORE,
	    "retry_after_ms", (json_int_t)(retry_after / GB_MSEC));
	pool_answer(pool, token, verdict, retry_after);
}

/** Restarts the time for which a tombstone is kept, since its cancel is
 * acknowledged again. */
static void
tombstone_renew(struct gb_pool *pool, struct pool_flow *flow)
{
	flow->ended = pool->now;
	TAILQ_REMOVE(&pool->tombstones, flow, tombstone_next);
	TAILQ_INSERT_TAIL(&pool->tombstones, flow, tombstone_next);
}

void
pool_tombstone_cancel(struct gb_pool *pool, struct pool_flow *flow,
    uint64_t token, const gb_flow_ask *ask)
{
	const struct pool_flow *limit;

	if (flow != NULL && flow->remove_pending) {
		/* Another one can be added once this one is removed. */
		pool_answer(pool, token, GB_FLOW_NOT_OWNER, 0);
		return;
	}
	if (flow != NULL) {
		tombstone_renew(pool, flow);
		pool_flow_wait(pool, flow, token, 1, flow->status);
		return;
	}
	if (pool_writer_unavailable(pool, gb_pool_partition(ask->id))) {
		cancel_refuse(pool, token, ask, GB_FLOW_CANT_STORE, GB_SEC);
		return;
	}
	limit = tombstone_limit(pool, pool_org_get(pool, ask->caller.org));
	if (limit != NULL) {
		cancel_refuse(pool, token, ask, GB_FLOW_REFUSED,
		    tombstone_time_left(pool, limit));
		return;
	}
	flow = tombstone_new(pool, ask);
	pool_flow_wait(pool, flow, token, 1, flow->status);
}

void
pool_tombstone_submitted(
    struct gb_pool *pool, const struct pool_flow *flow, uint64_t token)
{
	gb_time left;

	/* The store may still have a flow of this id, which then stays. */
	if (flow->stored == 0) {
		pool_answer(pool, token, GB_FLOW_NOT_OWNER, 0);
		return;
	}
	left = tombstone_time_left(pool, flow);
	pool->stats.refused++;
	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "flow_refused",
	    "{s:s, s:s, s:I}", "flow", flow->spec.id, "why",
	    "it was cancelled before it arrived", "retry_after_ms",
	    (json_int_t)(left / GB_MSEC));
	pool_answer(pool, token, GB_FLOW_REFUSED, left);
}

void
pool_tombstone_conflict(struct gb_pool *pool, const struct gb_pool_row *row)
{
	struct pool_flow *flow = pool_flow_find(pool, row->key);
	gb_flow_state state = {0};
	bool tombstone;

	if (flow == NULL || !flow->tombstone || flow->created)
		return;
	tombstone = gb_flow_state_decode(&row->value, &state) &&
		    gb_flow_state_is_tombstone(&state);
	pool_flow_state_clear(&state);
	if (tombstone) {
		/* An earlier write without answer was carried out. */
		flow->created = true;
		return;
	}
	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "cancel_found_flow",
	    "{s:s}", "flow", flow->spec.id);
	pool->inbox_read_at = pool->now;
	pool_flow_free(pool, flow);
}
