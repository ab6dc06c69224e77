/**
 * @file pool.c
 * Entry points of the pool core: passes each event to the module that handles
 * it.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "state.h"

/** Minimum interval between dispatches.  A dispatch goes through all waiting
 * flows, which takes about 0.3 us each, and events come in bursts. */
#define DISPATCH_INTERVAL_MIN (4 * GB_MSEC)
/** Added to the interval for each open flow, in microseconds, so that a backlog
 * doesn't use up the processor. */
#define DISPATCH_INTERVAL_FLOW_US 20
/** Maximum interval between dispatches: flows become late and tickets expire
 * without any event. */
#define DISPATCH_INTERVAL_MAX (100 * GB_MSEC)
/** Interval at which finished flows are released. */
#define SWEEP_INTERVAL (500 * GB_MSEC)

struct gb_pool *
gb_pool_new(const struct gb_pool_settings *settings,
    const struct gb_pool_ops *ops, gb_time now)
{
	struct gb_pool *pool = gb_calloc(1, sizeof(*pool));

	pool->refs = 1;
	pool->cfg = *settings;
	pool->name = gb_strdup(settings->name);
	pool->addr = gb_strdup(settings->addr);
	pool->ops = *ops;
	pool->now = now;
	pool->seed = settings->seed;
	TAILQ_INIT(&pool->open);
	TAILQ_INIT(&pool->tombstones);
	TAILQ_INIT(&pool->pages);
	TAILQ_INIT(&pool->pages_sent);
	pool_writer_reset(pool);
	return pool;
}

struct gb_pool *
gb_pool_ref(struct gb_pool *pool)
{
	pool->refs++;
	return pool;
}

void
gb_pool_unref(struct gb_pool *pool)
{
	struct pool_queue_stat *stat;
	struct pool_queue_stat *next_stat;
	struct pool_flow *flow;
	struct pool_flow *next_flow;
	struct pool_call *call;
	struct pool_call *next_call;

	if (pool == NULL || --pool->refs > 0)
		return;
	HASH_ITER(hh, pool->flows, flow, next_flow)
	{
		pool_flow_free(pool, flow);
	}
	pool_pages_reset(pool);
	pool_advice_reset(pool);
	pool_writer_reset(pool);
	pool_workers_free(pool);
	HASH_ITER(hh, pool->calls, call, next_call)
	{
		HASH_DEL(pool->calls, call);
		free(call);
	}
	HASH_ITER(hh, pool->queues, stat, next_stat)
	{
		HASH_DEL(pool->queues, stat);
		free(stat);
	}
	pool_orgs_free(pool);
	gb_pool_config_unref(pool->config);
	free(pool->channels);
	free(pool->candidates);
	free(pool->slots);
	free(pool->name);
	free(pool->addr);
	free(pool);
}

static bool
pool_active(const struct gb_pool *pool)
{
	return pool->phase == POOL_OWNER_ACTIVE;
}

void
gb_pool_tick(struct gb_pool *pool, gb_time now, gb_time wall)
{
	gb_time interval;

	pool->now = now;
	pool->wall = wall;
	pool_owner_tick(pool);
	if (pool->phase == POOL_OWNER_RELEASING)
		pool_writer_tick(pool);
	if (!pool_active(pool))
		return;
	pool_workers_tick(pool);
	if (!pool_active(pool))
		return;
	pool_backlog_measure(pool);
	interval = DISPATCH_INTERVAL_MIN +
		   DISPATCH_INTERVAL_FLOW_US * (gb_time)pool->open_count;
	if (pool_authority_held(pool) &&
	    ((pool->work_changed && now - pool->dispatch_at >= interval) ||
		now - pool->dispatch_at >= DISPATCH_INTERVAL_MAX)) {
		pool->work_changed = false;
		pool->dispatch_at = now;
		pool_dispatch(pool);
	}
	if (now - pool->sweep_at >= SWEEP_INTERVAL) {
		pool->sweep_at = now;
		pool_flow_sweep(pool);
	}
	pool_writer_tick(pool);
}

/* Ownership --------------------------------------------------------------- */

void
gb_pool_acquire(struct gb_pool *pool, gb_time now, uint64_t after,
    enum takeover_cause cause)
{
	pool->now = now;
	pool_owner_acquire(pool, after, cause);
}

void
gb_pool_handed_over(struct gb_pool *pool)
{
	contention_release(&pool->contention);
}

void
gb_pool_process_alive(struct gb_pool *pool, gb_time now, uint64_t incarnation)
{
	pool->now = now;
	pool_owner_process_alive(pool, incarnation);
}

void
gb_pool_release(struct gb_pool *pool, gb_time now)
{
	pool->now = now;
	pool_owner_release(pool);
}

void
gb_pool_epoch_found(struct gb_pool *pool, gb_time now, uint64_t epoch)
{
	pool->now = now;
	if (epoch <= pool->epoch)
		return;
	if (pool->phase >= POOL_OWNER_LOADING)
		pool_owner_lose(pool, "a newer owner was heard of", epoch);
	pool->epoch = epoch;
}

bool
gb_pool_owns(const struct gb_pool *pool)
{
	return pool_active(pool);
}

bool
gb_pool_acquiring(const struct gb_pool *pool)
{
	return pool->phase != POOL_OWNER_NONE && !pool_active(pool);
}

bool
gb_pool_loading(const struct gb_pool *pool)
{
	/* A claim that has won the partition which decides between rival claims
	 * will get the other partitions too; that takes a second when the store
	 * is slow. */
	return pool->phase == POOL_OWNER_LOADING ||
	       (pool->phase == POOL_OWNER_CLAIMING &&
		   pool->partitions[pool->claim_deciding_partition].attach >=
		       POOL_ATTACH_LOADING);
}

uint64_t
gb_pool_epoch(const struct gb_pool *pool)
{
	return pool->epoch;
}

gb_time
gb_pool_store_silent(const struct gb_pool *pool, gb_time now)
{
	return now - pool->confirmed;
}

/* Configuration, workers and members -------------------------------------- */

void
gb_pool_limit_connections(struct gb_pool *pool, uint32_t max)
{
	pool->cfg.limits.connections = max;
}

void
gb_pool_configure(
    struct gb_pool *pool, gb_time now, struct gb_pool_config *config)
{
	struct pool_flow *flow;

	pool->now = now;
	if (pool->config != NULL && config->version <= pool->config->version)
		return;
	gb_pool_config_unref(pool->config);
	pool->config = gb_pool_config_ref(config);
	TAILQ_FOREACH(flow, &pool->open, open_next)
	{
		pool_flow_configure(pool, flow);
	}
	pool_orgs_configure(pool);
	pool_workers_check_services(pool);
	pool->work_changed = true;
}

void
gb_pool_workers_update(struct gb_pool *pool, gb_time now,
    const struct gb_pool_entry *entries, size_t count, bool whole)
{
	size_t i;

	pool->now = now;
	if (whole) {
		pool->listed = true;
		for (i = 0; i < pool->worker_count; i++)
			pool->workers[i]->listed = false;
	}
	for (i = 0; i < count; i++)
		pool_worker_apply_entry(pool, &entries[i]);
}

void
gb_pool_member_update(
    struct gb_pool *pool, gb_time now, const char *addr, bool usable)
{
	pool->now = now;
	pool_advice_channel_update(pool, addr, usable);
}

/* Callers ----------------------------------------------------------------- */

void
pool_answer(struct gb_pool *pool, uint64_t token, gb_flow_verdict verdict,
    gb_time retry_after)
{
	gb_flow_answer answer = {0};

	answer.verdict = verdict;
	answer.retry_after_us = retry_after;
	pool->ops.answer(pool->ops.data, token, &answer);
}

/** Whether the partition of a flow is attached, so that this owner knows
 * whether the flow exists; if not, answers the caller that it should retry. */
static bool
pool_partition_ready(struct gb_pool *pool, uint64_t token, const char *id)
{
	uint32_t partition = gb_pool_partition(id);

	if (pool_partition_attached(pool, partition))
		return true;
	if (pool_partition_attach_likely(pool, partition)) {
		pool_answer(pool, token, GB_FLOW_NOT_OWNER, 0);
		return false;
	}
	pool->stats.refused++;
	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "flow_refused",
	    "{s:s, s:s, s:I}", "flow", id, "why",
	    "its part of the store is out", "part", (json_int_t)partition);
	pool_answer(pool, token, GB_FLOW_REFUSED, GB_SEC);
	return false;
}

/** Accepts a submission; the caller is answered once the flow is stored. */
static void
pool_accept(struct gb_pool *pool, uint64_t token, const gb_flow_submit *submit)
{
	struct pool_flow *flow;
	gb_flow copy = {0};

	if (!gb_xdr_copy(
		(xdrproc_t)xdr_gb_flow, &submit->flow, &copy, sizeof(copy))) {
		pool_answer(pool, token, GB_FLOW_REFUSED, 0);
		return;
	}
	flow = pool_flow_new(pool, &copy);
	flow->config = submit->caller.config;
	flow->not_started_before = true;
	flow->spec.over_share = pool_share_charge(pool, flow->org);
	pool->stats.accepted++;
	pool_org_count_accepted(flow->org, flow->spec.over_share);
	pool_writer_mark_dirty(pool, flow, true);
	pool_flow_wait(pool, flow, token, flow->change, GB_FLOW_QUEUED);
	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "flow_accepted",
	    "{s:s, s:s, s:s, s:b, s:I, s:I}", "flow", flow->spec.id, "queue",
	    flow->spec.queue, "org", flow->spec.org, "over_share",
	    flow->spec.over_share, "steps", (json_int_t)flow->step_count,
	    "open_flows", (json_int_t)pool->open_count);
}

void
gb_pool_submit(struct gb_pool *pool, gb_time now, uint64_t token,
    const gb_flow_submit *submit)
{
	gb_flow_verdict verdict;
	struct pool_flow *flow;
	gb_time retry_after = 0;
	const char *why = "";

	pool->now = now;
	pool->stats.submitted++;
	if (!pool_active(pool)) {
		pool_answer(pool, token, GB_FLOW_NOT_OWNER, 0);
		return;
	}
	verdict = pool_org_authorise(pool, &submit->caller);
	flow = pool_flow_find(pool, submit->flow.id);
	if (flow != NULL && !gb_flow_visible(flow->spec.org, submit->flow.org))
		verdict = GB_FLOW_REFUSED;
	if (verdict != GB_FLOW_ACCEPTED) {
		pool_answer(pool, token, verdict, GB_SEC);
		return;
	}
	if (flow != NULL && flow->tombstone) {
		pool_tombstone_submitted(pool, flow, token);
		return;
	}
	if (flow != NULL) {
		pool->stats.repeated++;
		pool_flow_wait(
		    pool, flow, token, 1, pool_flow_visible_status(flow));
		return;
	}
	if (!pool_partition_ready(pool, token, submit->flow.id))
		return;
	if (pool_writer_unavailable(pool, gb_pool_partition(submit->flow.id))) {
		pool->stats.refused++;
		pool_answer(pool, token, GB_FLOW_CANT_STORE, GB_SEC);
		return;
	}
	if (!pool_admit(pool, &submit->flow, &retry_after, &why)) {
		pool->stats.refused++;
		pool_org_count_refused(pool, submit->flow.org);
		gb_event(pool->cfg.events, GB_EVENT_NORMAL, "flow_refused",
		    "{s:s, s:s, s:s, s:I, s:I, s:I}", "flow", submit->flow.id,
		    "queue", submit->flow.queue, "why", why, "open_flows",
		    (json_int_t)pool->open_count, "open_bytes",
		    (json_int_t)pool->open_bytes, "retry_after_ms",
		    (json_int_t)(retry_after / GB_MSEC));
		pool_answer(pool, token, GB_FLOW_REFUSED, retry_after);
		return;
	}
	pool_accept(pool, token, submit);
}

/** Number of flows of a queue that wait for their first start. */
static uint32_t
pool_pending(struct gb_pool *pool, const char *queue)
{
	struct pool_flow *flow;
	uint32_t count = 0;

	TAILQ_FOREACH(flow, &pool->open, open_next)
	{
		if (!flow->begun && flow->status < GB_FLOW_SUCCEEDED &&
		    strcmp(flow->spec.queue, queue) == 0)
			count++;
	}
	return count;
}

void
gb_pool_ask(
    struct gb_pool *pool, gb_time now, uint64_t token, const gb_flow_ask *ask)
{
	gb_flow_answer answer = {0};
	gb_flow_verdict verdict = pool_org_authorise(pool, &ask->caller);
	struct pool_flow *flow;

	pool->now = now;
	if (!pool_active(pool)) {
		pool_answer(pool, token, GB_FLOW_NOT_OWNER, 0);
		return;
	}
	/* With GB_FLOW_CONFIG_OLDER, the caller's node has authorised the
	 * caller by a newer configuration. */
	if (verdict != GB_FLOW_ACCEPTED && verdict != GB_FLOW_CONFIG_OLDER) {
		pool_answer(pool, token, verdict, GB_SEC);
		return;
	}
	if (ask->op != GB_FLOW_OP_PENDING &&
	    !pool_partition_ready(pool, token, ask->id))
		return;
	flow = pool_flow_find(pool, ask->id);
	if (ask->op == GB_FLOW_OP_CANCEL && (flow == NULL || flow->tombstone)) {
		pool_tombstone_cancel(pool, flow, token, ask);
		return;
	}
	/* Other organisations don't learn that the flow exists. */
	if (flow != NULL && !gb_flow_visible(flow->spec.org, ask->caller.org))
		flow = NULL;
	answer.verdict = GB_FLOW_ACCEPTED;
	if (ask->op == GB_FLOW_OP_PENDING) {
		answer.pending = pool_pending(pool, ask->id);
	} else if (flow == NULL ||
		   (flow->stored == 0 && ask->op == GB_FLOW_OP_STATE)) {
		/* A flow is accepted only once it is stored. */
		answer.status = GB_FLOW_UNKNOWN;
	} else if (ask->op == GB_FLOW_OP_CANCEL) {
		pool_flow_cancel(pool, flow);
		pool_flow_wait(pool, flow, token, flow->change, flow->status);
		return;
	} else {
		pool_flow_query(pool, flow, token);
		return;
	}
	pool->ops.answer(pool->ops.data, token, &answer);
}

/* Results of calls -------------------------------------------------------- */

void
gb_pool_start_done(struct gb_pool *pool, gb_time now, uint64_t id,
    const struct gb_pool_order_res *res)
{
	struct pool_call *call = pool_call_remove(pool, id);

	pool->now = now;
	if (call == NULL)
		return;
	pool_run_start_done(pool, call, res);
	free(call);
}

void
gb_pool_stop_done(struct gb_pool *pool, gb_time now, uint64_t id,
    const struct gb_pool_order_res *res)
{
	struct pool_call *call = pool_call_remove(pool, id);

	pool->now = now;
	if (call == NULL)
		return;
	pool_run_stop_done(pool, call, res);
	free(call);
}

void
gb_pool_heartbeat_done(struct gb_pool *pool, gb_time now, uint64_t id,
    const struct gb_pool_report *report)
{
	struct pool_call *call = pool_call_remove(pool, id);

	pool->now = now;
	if (call == NULL)
		return;
	pool_worker_heartbeat_done(pool, call, report);
	free(call);
}

void
gb_pool_advise_done(
    struct gb_pool *pool, gb_time now, uint64_t id, const gb_advice_res *res)
{
	struct pool_flow *flow;
	uint32_t step;

	pool->now = now;
	flow = pool_advice_done(pool, id, res, &step);
	if (flow != NULL && pool_active(pool) && pool_authority_held(pool))
		pool_dispatch_step(pool, flow, step);
}

void
gb_pool_txn_done(struct gb_pool *pool, gb_time now, uint64_t id,
    const struct gb_pool_txn_res *res)
{
	struct pool_call *call = pool_call_remove(pool, id);

	pool->now = now;
	if (call == NULL)
		return;
	if (call->kind == POOL_CALL_OWNER_TXN)
		pool_owner_txn_done(pool, call, res);
	else
		pool_writer_done(pool, call, res);
	free(call);
}

void
gb_pool_read_done(struct gb_pool *pool, gb_time now, uint64_t id,
    const struct gb_pool_read_res *res)
{
	struct pool_call *call = pool_call_remove(pool, id);

	pool->now = now;
	if (call == NULL)
		return;
	pool_owner_read_done(pool, call, res);
	free(call);
}

const struct gb_pool_stats *
gb_pool_stats(struct gb_pool *pool)
{
	pool->stats.flows = pool->open_count;
	pool->stats.flow_bytes = pool->open_bytes;
	pool->stats.workers = pool->worker_count;
	return &pool->stats;
}
