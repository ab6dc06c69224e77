/**
 * @file owner.c
 * Ownership of the pool: taking it, loading what is stored, losing it.
 *
 * The owner's row names its epoch; taking it is a compare-and-set.  The epoch
 * is the fencing token of the workers and every write is bound to the row.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "state.h"

/** Rows read at once; the store returns at most 500. */
#define OWNER_PAGE 500
/** Every lease that an earlier owner gave is over this much after its longest
 * length on the slowest clock: it learns of its loss with its next write or
 * the next answer of a worker, half a second at the most. */
#define OWNER_SETTLE_MARGIN (900 * GB_MSEC)
/** The slowest clock of a worker, in thousandths of true time. */
#define CLOCK_SLOWEST 980
/** The owner's row is written this often when nothing else is, so that an
 * owner that has lost it, or the store, learns so. */
#define OWNER_RENEW (600 * GB_MSEC)
/** Writes that are pending at a stop are given this long. */
#define OWNER_RELEASE (1500 * GB_MSEC)
/** Flows stored without the owner are looked for this often, and sooner after
 * some were found: the most urgent have three quarters of a second to spare. */
#define OWNER_INBOX (GB_SEC)
#define OWNER_INBOX_SOON (250 * GB_MSEC)

static void
owner_phase(struct gb_pool *pool, enum pool_owner_phase phase)
{
	pool->phase = phase;
}

static void
owner_read(struct gb_pool *pool, enum pool_call_kind kind, uint32_t part,
    enum gb_pool_table table, const char *from, const char *to, uint32_t limit)
{
	struct pool_call *call = pool_call_new(pool, kind);
	const struct gb_pool_read read = {part, table, from, to, limit};

	call->part = part;
	pool->reads_out++;
	pool->stats.reads++;
	pool->ops.read(pool->ops.data, call->id, &read);
}

static void
owner_forget(struct gb_pool *pool)
{
	struct pool_flow *flow;
	struct pool_flow *next;

	HASH_ITER(hh, pool->flows, flow, next)
	{
		pool_flow_free(pool, flow);
	}
	pool_advice_reset(pool);
	pool_workers_reset(pool);
	pool_writer_reset(pool);
	pool->reads_out = 0;
	pool->set_changed = 0;
	pool->set_sent = 0;
	pool->settled = false;
}

static void
owner_give_up(struct gb_pool *pool, const char *why)
{
	gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "takeover_failed",
	    "{s:s, s:I}", "why", why, "epoch", (json_int_t)pool->epoch);
	owner_phase(pool, POOL_OWNER_NONE);
	pool->term++;
	owner_forget(pool);
}

void
pool_owner_lose(struct gb_pool *pool, const char *why, uint64_t epoch)
{
	bool owned = pool->phase == POOL_OWNER_ACTIVE ||
		     pool->phase == POOL_OWNER_RELEASING;

	if (pool->phase == POOL_OWNER_NONE)
		return;
	gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "ownership_lost",
	    "{s:s, s:I, s:I}", "why", why, "epoch", (json_int_t)pool->epoch,
	    "newer", (json_int_t)epoch);
	owner_phase(pool, POOL_OWNER_NONE);
	pool->term++;
	if (epoch > pool->epoch)
		pool->epoch = epoch;
	owner_forget(pool);
	if (owned) {
		pool->stats.losses++;
		pool->ops.owner(pool->ops.data, false, pool->epoch);
	}
}

void
pool_owner_take(struct gb_pool *pool, uint64_t after)
{
	uint32_t i;

	if (pool->phase != POOL_OWNER_NONE)
		return;
	pool->term++;
	owner_forget(pool);
	owner_phase(pool, POOL_OWNER_READING);
	pool->taken_at = pool->now;
	pool->claim_failed = false;
	pool->claim_after = after;
	pool->claim_epoch = pool->epoch + 1;
	gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "takeover_begun", "{s:I}",
	    "known_epoch", (json_int_t)pool->epoch);
	for (i = 0; i < GB_POOL_PARTS; i++)
		owner_read(pool, POOL_CALL_OWNER_READ, i, GB_POOL_OWNERS,
		    GB_POOL_OWNER_KEY, GB_POOL_OWNER_KEY "0", 1);
}

static void
owner_claim(struct gb_pool *pool)
{
	struct gb_pool_row cond = {0};
	struct gb_pool_row put = {0};
	struct gb_pool_txn txn = {0};
	struct pool_call *call;
	uint32_t i;

	owner_phase(pool, POOL_OWNER_CLAIMING);
	for (i = 0; i < GB_POOL_PARTS; i++) {
		cond.table = put.table = GB_POOL_OWNERS;
		cond.key = put.key = GB_POOL_OWNER_KEY;
		cond.vers = pool->claim_vers[i];
		if (!pool_writer_owner_body(
			pool, pool->claim_epoch, 1, false, &put.value))
			abort(); /* names were checked with the settings */
		txn.part = i;
		txn.conds = &cond;
		txn.cond_count = 1;
		txn.puts = &put;
		txn.put_count = 1;
		call = pool_call_new(pool, POOL_CALL_OWNER_TXN);
		call->part = i;
		pool->reads_out++;
		pool->ops.txn(pool->ops.data, call->id, &txn);
		free(put.value.gb_body_val);
	}
}

static void
owner_row_read(
    struct gb_pool *pool, uint32_t part, const struct gb_pool_read_res *res)
{
	gb_owner_row row = {0};

	pool->claim_vers[part] = 0;
	if (res->row_count == 0)
		return;
	pool->claim_vers[part] = res->rows[0].vers;
	if (!gb_xdr_decode(
		(xdrproc_t)xdr_gb_owner_row, &res->rows[0].value, &row)) {
		pool->claim_failed = true;
		return;
	}
	if (row.epoch >= pool->claim_epoch)
		pool->claim_epoch = row.epoch + 1;
	if (row.epoch > pool->claim_after && row.addr[0] != '\0')
		pool->claim_failed = true;
	xdr_free((xdrproc_t)xdr_gb_owner_row, (char *)&row);
}

void
pool_owner_txn_done(struct gb_pool *pool, const struct pool_call *call,
    const struct gb_pool_txn_res *res)
{
	uint32_t i;

	pool->reads_out--;
	if (res->status != GB_STORE_OK)
		pool->claim_failed = true;
	else
		pool->parts[call->part].owner_vers = res->vers;
	if (pool->reads_out > 0)
		return;
	if (pool->claim_failed) {
		owner_give_up(
		    pool, "another node was first, or no answer came");
		return;
	}
	pool->epoch = pool->claim_epoch;
	pool->confirmed = call->sent;
	owner_phase(pool, POOL_OWNER_LOADING);
	gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "ownership_claimed",
	    "{s:I}", "epoch", (json_int_t)pool->epoch);
	for (i = 0; i < GB_POOL_PARTS; i++) {
		pool->parts[i].serial = 1;
		owner_read(pool, POOL_CALL_LOAD_STATES, i, GB_POOL_STATES, "",
		    "", OWNER_PAGE);
	}
	owner_read(pool, POOL_CALL_LOAD_WORKERS, 0, GB_POOL_OWNERS,
	    GB_POOL_WORKERS_KEY, GB_POOL_WORKERS_KEY "~", POOL_SET_ROWS);
}

/* Loading ----------------------------------------------------------------- */

/** A flow whose state is read before what was submitted: holds the state. */
static void
load_state(struct gb_pool *pool, const struct gb_pool_row *row)
{
	gb_flow_state state = {0};
	struct pool_flow *flow;
	gb_flow spec = {0};

	if (!gb_xdr_decode((xdrproc_t)xdr_gb_flow_state, &row->value, &state)) {
		gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "row_unreadable",
		    "{s:s, s:s}", "table", "states", "key", row->key);
		return;
	}
	spec.id = gb_strdup(row->key);
	spec.queue = gb_strdup("");
	spec.service = gb_strdup("");
	spec.spec = gb_strdup("");
	spec.submitted_us = pool->wall;
	flow = pool_flow_new(pool, &spec);
	flow->created = true;
	flow->status = state.status;
	flow->cancelled = state.cancelled;
	flow->stored = flow->change;
	flow->ended = pool->now;
	flow->loading = gb_calloc(1, sizeof(*flow->loading));
	*flow->loading = state;
}

static void
load_flow(struct gb_pool *pool, const struct gb_pool_row *row)
{
	struct pool_flow *stub = pool_flow_find(pool, row->key);
	gb_flow_state *state;
	struct pool_flow *flow;
	gb_flow spec = {0};

	if (stub == NULL || stub->loading == NULL)
		return;
	if (!gb_xdr_decode((xdrproc_t)xdr_gb_flow, &row->value, &spec)) {
		gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "row_unreadable",
		    "{s:s, s:s}", "table", "flows", "key", row->key);
		return;
	}
	state = stub->loading;
	stub->loading = NULL;
	pool_flow_free(pool, stub);
	flow = pool_flow_new(pool, &spec);
	if (!pool_flow_load(pool, flow, state))
		gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "row_unreadable",
		    "{s:s, s:s}", "table", "states", "key", row->key);
	flow->ended = pool->now;
	pool_flow_state_clear(state);
	free(state);
}

/** Flows whose submission was not read are over: only their state is kept. */
static void
load_finish(struct gb_pool *pool)
{
	struct pool_flow *flow;
	struct pool_flow *next;

	HASH_ITER(hh, pool->flows, flow, next)
	{
		if (flow->loading == NULL)
			continue;
		pool_flow_state_clear(flow->loading);
		free(flow->loading);
		flow->loading = NULL;
		flow->closed = true;
		flow->queue = NULL;
		TAILQ_REMOVE(&pool->open, flow, open_next);
		pool->open_count--;
	}
}

static void
owner_active(struct gb_pool *pool)
{
	gb_time lease = pool_worker_lease_most(pool);

	load_finish(pool);
	owner_phase(pool, POOL_OWNER_ACTIVE);
	pool->settle_at =
	    pool->now + lease * 1000 / CLOCK_SLOWEST + OWNER_SETTLE_MARGIN;
	/* The first owner of all has nobody before it. */
	pool->settled = pool->epoch == 1;
	pool->inbox_at = pool->now;
	pool->work_changed = true;
	pool->stats.takeovers++;
	gb_histogram_add(&pool->stats.takeover_us, pool->now - pool->taken_at);
	gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "ownership_gained",
	    "{s:I, s:I, s:I, s:I}", "epoch", (json_int_t)pool->epoch,
	    "open_flows", (json_int_t)pool->open_count, "workers",
	    (json_int_t)pool->worker_count, "took_ms",
	    (json_int_t)((pool->now - pool->taken_at) / GB_MSEC));
	pool->ops.owner(pool->ops.data, true, pool->epoch);
}

/** Whoever the owner before may have sent runs to is asked, whether the list of
 * workers names it or not: entries lapse while the store is away. */
static void
load_worker_row(struct gb_pool *pool, const struct gb_pool_row *row)
{
	gb_worker_set set = {0};
	u_int i;

	if (!gb_xdr_decode((xdrproc_t)xdr_gb_worker_set, &row->value, &set)) {
		gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "row_unreadable",
		    "{s:s, s:s}", "table", "owners", "key", row->key);
		return;
	}
	for (i = 0; i < set.list.list_len; i++)
		pool_worker_recorded(pool, &set.list.list_val[i]);
	xdr_free((xdrproc_t)xdr_gb_worker_set, (char *)&set);
	pool_worker_set_read(pool, row->key);
}

static void
load_workers(struct gb_pool *pool, const struct gb_pool_read_res *res)
{
	size_t i;

	for (i = 0; i < res->row_count; i++)
		load_worker_row(pool, &res->rows[i]);
	if (pool->reads_out == 0)
		owner_active(pool);
}

/** Read the next page, or go on to the next table. */
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
		owner_read(
		    pool, call->kind, call->part, table, from, "", OWNER_PAGE);
	} else if (call->kind == POOL_CALL_LOAD_STATES) {
		owner_read(pool, POOL_CALL_LOAD_FLOWS, call->part,
		    GB_POOL_FLOWS, "", "", OWNER_PAGE);
	} else if (pool->reads_out == 0) {
		owner_active(pool);
	}
}

/* Inbox ------------------------------------------------------------------- */

void
pool_owner_inbox(struct gb_pool *pool, uint32_t part)
{
	if (pool->phase == POOL_OWNER_ACTIVE)
		owner_read(pool, POOL_CALL_INBOX_LIST, part, GB_POOL_INBOX, "",
		    "", OWNER_PAGE);
}

static void
inbox_listed(
    struct gb_pool *pool, uint32_t part, const struct gb_pool_read_res *res)
{
	char to[GB_KEY_MAX + 1];
	struct pool_flow *flow;
	size_t i;

	if (res->row_count > 0)
		pool->inbox_at = pool->now + OWNER_INBOX_SOON;
	for (i = 0; i < res->row_count; i++) {
		flow = pool_flow_find(pool, res->rows[i].key);
		if (flow != NULL) {
			flow->in_inbox = true;
			pool_writer_dirty(pool, flow);
			continue;
		}
		snprintf(to, sizeof(to), "%.200s0", res->rows[i].key);
		owner_read(pool, POOL_CALL_INBOX_FLOW, part, GB_POOL_FLOWS,
		    res->rows[i].key, to, 1);
	}
}

static void
inbox_flow(struct gb_pool *pool, const struct gb_pool_read_res *res)
{
	gb_flow spec = {0};
	struct pool_flow *flow;

	if (res->row_count == 0 || pool_flow_find(pool, res->rows[0].key))
		return;
	if (!gb_xdr_decode(
		(xdrproc_t)xdr_gb_flow, &res->rows[0].value, &spec)) {
		gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "row_unreadable",
		    "{s:s, s:s}", "table", "flows", "key", res->rows[0].key);
		return;
	}
	flow = pool_flow_new(pool, &spec);
	flow->created = true;
	flow->fresh = true;
	flow->stored = flow->change;
	flow->in_inbox = true;
	pool_writer_dirty(pool, flow);
	pool->work_changed = true;
	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "flow_adopted", "{s:s}",
	    "flow", flow->spec.id);
}

void
pool_owner_read_done(struct gb_pool *pool, const struct pool_call *call,
    const struct gb_pool_read_res *res)
{
	size_t i;

	if (call->kind == POOL_CALL_PROBE) {
		pool_writer_probed(pool, call, res);
		return;
	}
	pool->reads_out--;
	if (res->status != GB_STORE_OK) {
		if (call->kind == POOL_CALL_OWNER_READ ||
		    call->kind == POOL_CALL_LOAD_STATES ||
		    call->kind == POOL_CALL_LOAD_FLOWS ||
		    call->kind == POOL_CALL_LOAD_WORKERS)
			owner_give_up(pool, "the store did not answer");
		return;
	}
	pool->confirmed = call->sent;
	switch (call->kind) {
	case POOL_CALL_OWNER_READ:
		owner_row_read(pool, call->part, res);
		if (pool->reads_out == 0 && !pool->claim_failed)
			owner_claim(pool);
		else if (pool->reads_out == 0)
			owner_give_up(pool, "another node was first, or the "
					    "owner's row is unreadable");
		break;
	case POOL_CALL_LOAD_STATES:
		for (i = 0; i < res->row_count; i++)
			load_state(pool, &res->rows[i]);
		load_next(pool, call, res);
		break;
	case POOL_CALL_LOAD_FLOWS:
		for (i = 0; i < res->row_count; i++)
			load_flow(pool, &res->rows[i]);
		load_next(pool, call, res);
		break;
	case POOL_CALL_LOAD_WORKERS:
		load_workers(pool, res);
		break;
	case POOL_CALL_INBOX_LIST:
		inbox_listed(pool, call->part, res);
		break;
	default:
		inbox_flow(pool, res);
		break;
	}
}

/* Going on ---------------------------------------------------------------- */

/** Whether every worker that may run something has answered this owner. */
static bool
owner_all_fenced(const struct gb_pool *pool)
{
	uint32_t i;

	if (!pool->listed || pool->worker_count == 0)
		return false;
	for (i = 0; i < pool->worker_count; i++) {
		if (!pool->workers[i]->over && !pool->workers[i]->fenced)
			return false;
	}
	return true;
}

static void
owner_settle(struct gb_pool *pool)
{
	if (pool->settled ||
	    (!owner_all_fenced(pool) && pool->now < pool->settle_at))
		return;
	pool->settled = true;
	pool->work_changed = true;
	gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "takeover_settled",
	    "{s:I, s:I, s:b}", "epoch", (json_int_t)pool->epoch, "took_ms",
	    (json_int_t)((pool->now - pool->taken_at) / GB_MSEC), "all_workers",
	    owner_all_fenced(pool));
}

static void
owner_renew(struct gb_pool *pool)
{
	uint32_t i;

	for (i = 0; i < GB_POOL_PARTS; i++) {
		if (pool->now - pool->parts[i].sent > OWNER_RENEW)
			pool->parts[i].renew = true;
	}
}

void
pool_owner_tick(struct gb_pool *pool)
{
	uint32_t i;

	if (pool->phase == POOL_OWNER_RELEASING &&
	    (pool_writer_idle(pool) || pool->now > pool->release_by)) {
		pool_owner_lose(pool, "released", 0);
		return;
	}
	if (pool->phase != POOL_OWNER_ACTIVE)
		return;
	owner_settle(pool);
	owner_renew(pool);
	if (pool->inbox_at > pool->now)
		return;
	pool->inbox_at = pool->now + OWNER_INBOX;
	for (i = 0; i < GB_POOL_PARTS; i++)
		pool_owner_inbox(pool, i);
}

void
pool_owner_release(struct gb_pool *pool)
{
	uint32_t i;

	if (pool->phase != POOL_OWNER_ACTIVE) {
		if (pool->phase != POOL_OWNER_RELEASING)
			pool_owner_lose(pool, "stopping", 0);
		return;
	}
	owner_phase(pool, POOL_OWNER_RELEASING);
	pool->release_by = pool->now + OWNER_RELEASE;
	for (i = 0; i < GB_POOL_PARTS; i++)
		pool->parts[i].renew = true;
}
