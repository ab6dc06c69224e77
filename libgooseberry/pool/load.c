/**
 * @file load.c
 * Loads what is stored in a partition: the states of its flows, the submitted
 * flows, and the workers that may run tasks of them.  Later reads the inbox,
 * which has the ids of flows that nodes stored without the owner.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "state.h"

/** Number of XDR units at the end of the stored worker set that older programs
 * don't write. */
#define SET_UNITS_ADDED 1
/** Pause before the inbox is read again after flows were found in it. */
#define INBOX_NEXT_PAUSE (250 * GB_MSEC)

static void
row_log_unreadable(
    struct gb_pool *pool, const char *table, const struct gb_pool_row *row)
{
	gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "row_unreadable",
	    "{s:s, s:s}", "table", table, "key", row->key);
}

/* Flows ------------------------------------------------------------------- */

/** Creates a placeholder flow that holds the state until the submitted flow is
 * read: all states are read first. */
static void
load_state(struct gb_pool *pool, const struct gb_pool_row *row)
{
	gb_flow_state state = {0};
	struct pool_flow *flow;
	gb_flow spec = {0};

	if (!gb_flow_state_decode(&row->value, &state)) {
		row_log_unreadable(pool, "states", row);
		return;
	}
	spec.id = gb_strdup(row->key);
	spec.queue = gb_strdup("");
	spec.service = gb_strdup("");
	spec.spec = gb_strdup("");
	spec.org = gb_strdup(state.org);
	spec.submitted_us = pool->wall;
	flow = pool_flow_new(pool, &spec);
	flow->created = true;
	flow->status = state.status;
	flow->cancelled = state.cancelled;
	flow->stored = flow->change;
	flow->ended = pool->now;
	flow->loading = gb_calloc(1, sizeof(*flow->loading));
	*flow->loading = state;
	if (gb_flow_state_is_tombstone(&state))
		pool_tombstone_add(pool, flow);
}

/** Replaces the placeholder by the submitted flow with its state. */
static void
load_flow(struct gb_pool *pool, const struct gb_pool_row *row)
{
	struct pool_flow *placeholder = pool_flow_find(pool, row->key);
	gb_flow_state *state;
	gb_flow_row stored = {0};
	struct pool_flow *flow;

	if (placeholder == NULL || placeholder->loading == NULL)
		return;
	if (!gb_flow_decode(&row->value, &stored)) {
		row_log_unreadable(pool, "flows", row);
		return;
	}
	state = placeholder->loading;
	placeholder->loading = NULL; /* owned by this function now */
	pool_flow_free(pool, placeholder);
	flow = pool_flow_new(pool, &stored.flow);
	flow->config = stored.config;
	if (!pool_flow_load(pool, flow, state))
		row_log_unreadable(pool, "states", row);
	else if (!flow->owned && flow->status < GB_FLOW_SUCCEEDED)
		pool_writer_mark_dirty(pool, flow, true);
	if (flow->late_until > pool->now)
		gb_event(pool->cfg.events, GB_EVENT_NORMAL, "starts_held",
		    "{s:s, s:I, s:I}", "flow", flow->spec.id, "late_starts",
		    (json_int_t)state->late_starts.late_starts_len, "announced",
		    (json_int_t)state->announced.announced_len);
	flow->ended = pool->now;
	pool_flow_state_clear(state);
	free(state);
}

/** Closes the flows whose submission was not found: they have finished, and
 * only their state is kept. */
static void
load_close_flows(struct gb_pool *pool, uint32_t partition)
{
	struct pool_flow *flow;
	struct pool_flow *next;

	HASH_ITER(hh, pool->flows, flow, next)
	{
		if (flow->loading == NULL || flow->partition != partition)
			continue;
		pool_flow_loading_free(flow);
		pool_flow_close_loaded(pool, flow);
	}
}

void
pool_load_drop(struct gb_pool *pool, uint32_t partition)
{
	struct pool_flow *flow;
	struct pool_flow *next;

	HASH_ITER(hh, pool->flows, flow, next)
	{
		if (flow->partition == partition)
			pool_flow_free(pool, flow);
	}
}

/* Workers ----------------------------------------------------------------- */

/** Applies a row of the stored worker set.  All workers to which an earlier
 * owner may have sent runs are asked, also those that the platform doesn't
 * list: entries expire while the store is unavailable. */
static void
load_workers(
    struct gb_pool *pool, uint32_t partition, const struct gb_pool_row *row)
{
	gb_worker_set set = {0};
	u_int i;

	if (!gb_xdr_decode_older((xdrproc_t)xdr_gb_worker_set, &row->value,
		&set, sizeof(set), SET_UNITS_ADDED)) {
		row_log_unreadable(pool, "owners", row);
		return;
	}
	for (i = 0; i < set.list.list_len; i++)
		pool_worker_recorded(pool, partition, &set.list.list_val[i],
		    i < set.incarnations.incarnations_len
			? set.incarnations.incarnations_val[i]
			: 0);
	xdr_free((xdrproc_t)xdr_gb_worker_set, (char *)&set);
	pool_worker_set_mark_row(pool, partition, row->key);
}

/* Loading a partition ---------------------------------------------------- */

void
pool_load_begin(struct gb_pool *pool, uint32_t number)
{
	struct pool_partition *partition = &pool->partitions[number];

	partition->round++;
	partition->loads_in_flight = 2;
	pool_page_add(
	    pool, POOL_CALL_LOAD_STATES, number, GB_POOL_STATES, "", "");
	pool_page_add(pool, POOL_CALL_LOAD_WORKERS, number, GB_POOL_OWNERS,
	    GB_POOL_WORKERS_KEY, GB_POOL_WORKERS_KEY "~");
	pool_pages_send(pool);
}

/** Requests the next page of a table, or after the states the first page of the
 * submitted flows. */
static void
load_next(struct gb_pool *pool, const struct pool_call *call,
    const struct gb_pool_read_res *res)
{
	enum gb_pool_table table = call->kind == POOL_CALL_LOAD_STATES
				       ? GB_POOL_STATES
				       : GB_POOL_FLOWS;
	char from[GB_KEY_MAX + 1];

	if (res->more && res->row_count > 0) {
		snprintf(from, sizeof(from), "%.200s0",
		    res->rows[res->row_count - 1].key);
		pool_page_add(
		    pool, call->kind, call->partition, table, from, "");
		pool->partitions[call->partition].loads_in_flight++;
	} else if (call->kind == POOL_CALL_LOAD_STATES) {
		pool_page_add(pool, POOL_CALL_LOAD_FLOWS, call->partition,
		    GB_POOL_FLOWS, "", "");
		pool->partitions[call->partition].loads_in_flight++;
	}
}

/** Applies the page of an answer. */
static enum pool_load_result
page_apply(struct gb_pool *pool, const struct pool_call *call,
    const struct gb_pool_read_res *res)
{
	struct pool_partition *partition = &pool->partitions[call->partition];
	size_t i;

	if (res->status != GB_STORE_OK)
		return POOL_LOAD_FAILED;
	for (i = 0; i < res->row_count; i++) {
		if (call->kind == POOL_CALL_LOAD_STATES)
			load_state(pool, &res->rows[i]);
		else if (call->kind == POOL_CALL_LOAD_FLOWS)
			load_flow(pool, &res->rows[i]);
		else
			load_workers(pool, call->partition, &res->rows[i]);
	}
	if (call->kind != POOL_CALL_LOAD_WORKERS) {
		pool_page_update_row_size(pool,
		    call->kind == POOL_CALL_LOAD_STATES ? GB_POOL_STATES
							: GB_POOL_FLOWS,
		    res);
		load_next(pool, call, res);
	}
	if (--partition->loads_in_flight > 0)
		return POOL_LOAD_CONTINUES;
	load_close_flows(pool, call->partition);
	return POOL_LOAD_DONE;
}

enum pool_load_result
pool_load_done(struct gb_pool *pool, const struct pool_call *call,
    const struct gb_pool_read_res *res)
{
	const struct pool_partition *partition =
	    &pool->partitions[call->partition];
	struct pool_page *page = pool_page_remove_sent(pool, call);
	enum pool_load_result result = POOL_LOAD_CONTINUES;

	if (call->round == partition->round &&
	    partition->attach == POOL_ATTACH_LOADING) {
		if (page != NULL && pool_page_retry(pool, page, res))
			return POOL_LOAD_CONTINUES;
		result = page_apply(pool, call, res);
	}
	pool_page_free(pool, page);
	pool_pages_send(pool);
	return result;
}

/* Inbox ------------------------------------------------------------------- */

void
pool_load_inbox(struct gb_pool *pool, uint32_t partition)
{
	if (!pool_partition_attached(pool, partition) ||
	    pool->partitions[partition].inbox_in_flight > 0)
		return;
	pool_page_add(
	    pool, POOL_CALL_INBOX_LIST, partition, GB_POOL_INBOX, "", "");
	pool_pages_send(pool);
}

/** Requests the flows that the inbox names, except those known already, whose
 * rows of the inbox are removed with their next write. */
static void
inbox_list_apply(struct gb_pool *pool, uint32_t partition,
    const struct gb_pool_read_res *res)
{
	char to[GB_KEY_MAX + 1];
	struct pool_flow *flow;
	size_t i;

	if (res->row_count > 0)
		pool->inbox_read_at = pool->now + INBOX_NEXT_PAUSE;
	for (i = 0; i < res->row_count; i++) {
		flow = pool_flow_find(pool, res->rows[i].key);
		if (flow != NULL) {
			flow->in_inbox = true;
			pool_writer_mark_dirty(pool, flow, false);
			continue;
		}
		snprintf(to, sizeof(to), "%.200s0", res->rows[i].key);
		pool_page_add(pool, POOL_CALL_INBOX_FLOW, partition,
		    GB_POOL_FLOWS, res->rows[i].key, to);
	}
}

/** Adds a flow that a node stored without the owner. */
static void
inbox_flow_apply(struct gb_pool *pool, const struct gb_pool_read_res *res)
{
	gb_flow_row stored = {0};
	struct pool_flow *flow;

	if (res->row_count == 0 || pool_flow_find(pool, res->rows[0].key))
		return;
	if (!gb_flow_decode(&res->rows[0].value, &stored)) {
		row_log_unreadable(pool, "flows", &res->rows[0]);
		return;
	}
	flow = pool_flow_new(pool, &stored.flow);
	flow->config = stored.config;
	flow->created = true;
	flow->not_started_before = true;
	flow->stored = flow->change;
	flow->in_inbox = true;
	pool_writer_mark_dirty(pool, flow, true);
	pool->work_changed = true;
	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "flow_adopted", "{s:s}",
	    "flow", flow->spec.id);
}

void
pool_load_inbox_done(struct gb_pool *pool, const struct pool_call *call,
    const struct gb_pool_read_res *res)
{
	bool wanted = res->status == GB_STORE_OK &&
		      pool_partition_attached(pool, call->partition);

	if (wanted && call->kind == POOL_CALL_INBOX_LIST) {
		pool_page_update_row_size(pool, GB_POOL_INBOX, res);
		inbox_list_apply(pool, call->partition, res);
	} else if (wanted) {
		inbox_flow_apply(pool, res);
	}
	pool_page_free(pool, pool_page_remove_sent(pool, call));
	pool_pages_send(pool);
}
