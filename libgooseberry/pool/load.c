/**
 * @file load.c
 * Reading what is stored of a part: its states, its flows, the workers that may
 * run something of them, and flows that were stored without an owner.
 *
 * Load: a link that takes seconds for what is stored.  The pages that are asked
 * for at once are as many and as large as it takes in a moment, so that no
 * answer comes too late to count, and what members ask meanwhile is answered.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "state.h"

/** Rows read at once; the store returns at most 500. */
#define LOAD_PAGE 500
/** The pages that are out take the link for this long, and each is waited for
 * ten times that, since its rows may be larger than those before. */
#define LOAD_TIME (150 * GB_MSEC)
#define LOAD_PATIENCE (10 * LOAD_TIME)
/** A page that got no answer is asked for so often, where the link is what it
 * waits for. */
#define LOAD_TRIES 4
/** Pages that are out at once, two for each part, and rows of each, so that few
 * bytes are spent beside them. */
#define LOAD_PAGES_MOST (2 * GB_POOL_PARTS)
#define LOAD_ROWS_LEAST 4
/** Bytes of a row before any was read, and those beside its value, which is
 * sent in base64. */
#define LOAD_ROW 1500
#define LOAD_ROW_HEAD 80
/** Units of the stored set of workers that older programs did not write. */
#define SET_FIELDS_LATER 1
/** More were found in the inbox: look again after this. */
#define INBOX_SOON (250 * GB_MSEC)

/* Pages ------------------------------------------------------------------- */

/** A page that is to be read. */
struct pool_page {
	TAILQ_ENTRY(pool_page) next;
	uint64_t call; /**< that is out for it */
	enum pool_call_kind kind;
	uint32_t part;
	uint32_t round; /**< of reading the part */
	enum gb_pool_table table;
	char from[GB_KEY_MAX + 1];
	char to[GB_KEY_MAX + 1];
	unsigned int tries;
};

static bool
page_of_inbox(const struct pool_page *page)
{
	return page->kind == POOL_CALL_INBOX_LIST ||
	       page->kind == POOL_CALL_INBOX_FLOW;
}

static void
page_free(struct gb_pool *pool, struct pool_page *page)
{
	if (page != NULL && page_of_inbox(page))
		pool->parts[page->part].inbox_out--;
	free(page);
}

/** Bytes that the link takes in a moment, 0: it does not matter. */
static uint64_t
pages_bytes(const struct gb_pool *pool)
{
	return pool_pace_rate(pool) * LOAD_TIME / GB_SEC;
}

static uint32_t
row_bytes(const struct gb_pool *pool, enum gb_pool_table table)
{
	return pool->row_bytes[table] > 0 ? pool->row_bytes[table] : LOAD_ROW;
}

/** Pages that may be out at once: as many as the link takes with a few rows
 * each, and no more than all parts ask for. */
static uint32_t
pages_most(const struct gb_pool *pool)
{
	uint64_t least =
	    (uint64_t)LOAD_ROWS_LEAST * row_bytes(pool, GB_POOL_FLOWS);
	uint64_t most = pages_bytes(pool) / least;

	if (most > LOAD_PAGES_MOST)
		return LOAD_PAGES_MOST;
	return most == 0 ? 1 : (uint32_t)most;
}

/** Whether reading is what fills the link: it does not take the first rows of
 * all parts at once. */
static bool
pages_paced(const struct gb_pool *pool)
{
	return pages_bytes(pool) > 0 && pages_most(pool) < LOAD_PAGES_MOST;
}

static uint32_t
page_rows(const struct gb_pool *pool, enum gb_pool_table table)
{
	uint64_t rows =
	    pages_bytes(pool) / pages_most(pool) / row_bytes(pool, table);

	if (!pages_paced(pool) || rows > LOAD_PAGE)
		return LOAD_PAGE;
	return rows == 0 ? 1 : (uint32_t)rows;
}

static void
page_send(struct gb_pool *pool, struct pool_page *page)
{
	struct pool_call *call = pool_call_new(pool, page->kind);
	struct gb_pool_read read = {
	    page->part, page->table, page->from, page->to, 0, 0};

	read.limit = page->kind == POOL_CALL_LOAD_WORKERS ? POOL_SET_ROWS
		     : page->kind == POOL_CALL_INBOX_FLOW
			 ? 1
			 : page_rows(pool, page->table);
	if (pages_paced(pool))
		read.patience = LOAD_PATIENCE;
	call->part = page->part;
	call->round = page->round;
	page->call = call->id;
	page->tries++;
	TAILQ_INSERT_TAIL(&pool->pages_sent, page, next);
	pool->pages_out++;
	pool->stats.reads++;
	pool->ops.read(pool->ops.data, call->id, &read);
}

/** Send what the link takes. */
static void
pages_next(struct gb_pool *pool)
{
	struct pool_page *page;

	while ((page = TAILQ_FIRST(&pool->pages)) != NULL &&
	       (!pages_paced(pool) || pool->pages_out < pages_most(pool))) {
		TAILQ_REMOVE(&pool->pages, page, next);
		if (page->round == pool->parts[page->part].round)
			page_send(pool, page);
		else
			page_free(pool, page);
	}
}

static void
page_add(struct gb_pool *pool, enum pool_call_kind kind, uint32_t part,
    enum gb_pool_table table, const char *from, const char *to)
{
	struct pool_page *page = gb_calloc(1, sizeof(*page));

	page->kind = kind;
	page->part = part;
	page->round = pool->parts[part].round;
	page->table = table;
	snprintf(page->from, sizeof(page->from), "%s", from);
	snprintf(page->to, sizeof(page->to), "%s", to);
	if (page_of_inbox(page))
		pool->parts[part].inbox_out++;
	TAILQ_INSERT_TAIL(&pool->pages, page, next);
}

/** Take the page of an answer out of those that were sent. */
static struct pool_page *
page_answered(struct gb_pool *pool, const struct pool_call *call)
{
	struct pool_page *page;

	TAILQ_FOREACH(page, &pool->pages_sent, next)
	{
		if (page->call == call->id)
			break;
	}
	if (page == NULL)
		return NULL;
	TAILQ_REMOVE(&pool->pages_sent, page, next);
	pool->pages_out--;
	return page;
}

/** Whether a page without an answer may just have been too large. */
static bool
page_again(const struct gb_pool *pool, const struct pool_page *page,
    const struct gb_pool_read_res *res)
{
	return res->status == GB_STORE_UNKNOWN && pages_paced(pool) &&
	       page->tries < LOAD_TRIES;
}

/** Learn how large rows are. */
static void
page_learn(struct gb_pool *pool, enum gb_pool_table table,
    const struct gb_pool_read_res *res)
{
	uint64_t bytes = 0;
	size_t i;

	if (res->row_count == 0)
		return;
	for (i = 0; i < res->row_count; i++)
		bytes += LOAD_ROW_HEAD + res->rows[i].value.gb_body_len * 4 / 3;
	pool->row_bytes[table] = (uint32_t)(bytes / res->row_count);
}

static void
pages_free(struct gb_pool *pool, struct pool_pages *pages)
{
	struct pool_page *page;

	while ((page = TAILQ_FIRST(pages)) != NULL) {
		TAILQ_REMOVE(pages, page, next);
		page_free(pool, page);
	}
}

void
pool_load_reset(struct gb_pool *pool)
{
	pages_free(pool, &pool->pages);
	pages_free(pool, &pool->pages_sent);
	pool->pages_out = 0;
}

static void
row_unreadable(
    struct gb_pool *pool, const char *table, const struct gb_pool_row *row)
{
	gb_event(pool->cfg.events, GB_EVENT_ALWAYS, "row_unreadable",
	    "{s:s, s:s}", "table", table, "key", row->key);
}

/* Flows ------------------------------------------------------------------- */

/** A flow whose state is read before what was submitted: holds the state. */
static void
load_state(struct gb_pool *pool, const struct gb_pool_row *row)
{
	gb_flow_state state = {0};
	struct pool_flow *flow;
	gb_flow spec = {0};

	if (!gb_flow_state_decode(&row->value, &state)) {
		row_unreadable(pool, "states", row);
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
}

static void
load_flow(struct gb_pool *pool, const struct gb_pool_row *row)
{
	struct pool_flow *stub = pool_flow_find(pool, row->key);
	gb_flow_state *state;
	gb_flow_row stored = {0};
	struct pool_flow *flow;

	if (stub == NULL || stub->loading == NULL)
		return;
	if (!gb_flow_decode(&row->value, &stored)) {
		row_unreadable(pool, "flows", row);
		return;
	}
	state = stub->loading;
	stub->loading = NULL; /* outlives its stub */
	pool_flow_free(pool, stub);
	flow = pool_flow_new(pool, &stored.flow);
	flow->config = stored.config;
	if (!pool_flow_load(pool, flow, state))
		row_unreadable(pool, "states", row);
	else if (!flow->owned && flow->status < GB_FLOW_SUCCEEDED)
		pool_writer_dirty(pool, flow, true);
	flow->ended = pool->now;
	pool_flow_state_clear(state);
	free(state);
}

/** Flows whose submission was not read are over: only their state is kept. */
static void
load_finish(struct gb_pool *pool, uint32_t part)
{
	struct pool_flow *flow;
	struct pool_flow *next;

	HASH_ITER(hh, pool->flows, flow, next)
	{
		if (flow->loading == NULL || flow->part != part)
			continue;
		pool_flow_loading_free(flow);
		flow->closed = true;
		flow->removed = true;
		flow->queue = NULL;
		TAILQ_REMOVE(&pool->open, flow, open_next);
		pool->open_count--;
	}
}

void
pool_load_drop(struct gb_pool *pool, uint32_t part)
{
	struct pool_flow *flow;
	struct pool_flow *next;

	HASH_ITER(hh, pool->flows, flow, next)
	{
		if (flow->part == part)
			pool_flow_free(pool, flow);
	}
}

/* Workers ----------------------------------------------------------------- */

/** Whoever the owner before may have sent runs to is asked, whether the list of
 * workers names it or not: entries lapse while the store is away. */
static void
load_workers(struct gb_pool *pool, uint32_t part, const struct gb_pool_row *row)
{
	gb_worker_set set = {0};
	u_int i;

	if (!gb_xdr_decode_older((xdrproc_t)xdr_gb_worker_set, &row->value,
		&set, sizeof(set), SET_FIELDS_LATER)) {
		row_unreadable(pool, "owners", row);
		return;
	}
	for (i = 0; i < set.list.list_len; i++)
		pool_worker_recorded(pool, part, &set.list.list_val[i],
		    i < set.lives.lives_len ? set.lives.lives_val[i] : 0);
	xdr_free((xdrproc_t)xdr_gb_worker_set, (char *)&set);
	pool_worker_set_read(pool, part, row->key);
}

/* Course ------------------------------------------------------------------ */

void
pool_load_begin(struct gb_pool *pool, uint32_t number)
{
	struct pool_part *part = &pool->parts[number];

	part->round++;
	part->loads_out = 2;
	page_add(pool, POOL_CALL_LOAD_STATES, number, GB_POOL_STATES, "", "");
	page_add(pool, POOL_CALL_LOAD_WORKERS, number, GB_POOL_OWNERS,
	    GB_POOL_WORKERS_KEY, GB_POOL_WORKERS_KEY "~");
	pages_next(pool);
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
		page_add(pool, call->kind, call->part, table, from, "");
		pool->parts[call->part].loads_out++;
	} else if (call->kind == POOL_CALL_LOAD_STATES) {
		page_add(pool, POOL_CALL_LOAD_FLOWS, call->part, GB_POOL_FLOWS,
		    "", "");
		pool->parts[call->part].loads_out++;
	}
}

/** Take in a page of a part. */
static enum pool_load
page_take(struct gb_pool *pool, const struct pool_call *call,
    const struct gb_pool_read_res *res)
{
	struct pool_part *part = &pool->parts[call->part];
	size_t i;

	if (res->status != GB_STORE_OK)
		return POOL_LOAD_FAILED;
	for (i = 0; i < res->row_count; i++) {
		if (call->kind == POOL_CALL_LOAD_STATES)
			load_state(pool, &res->rows[i]);
		else if (call->kind == POOL_CALL_LOAD_FLOWS)
			load_flow(pool, &res->rows[i]);
		else
			load_workers(pool, call->part, &res->rows[i]);
	}
	if (call->kind != POOL_CALL_LOAD_WORKERS) {
		page_learn(pool,
		    call->kind == POOL_CALL_LOAD_STATES ? GB_POOL_STATES
							: GB_POOL_FLOWS,
		    res);
		load_next(pool, call, res);
	}
	if (--part->loads_out > 0)
		return POOL_LOAD_GOES_ON;
	load_finish(pool, call->part);
	return POOL_LOAD_DONE;
}

enum pool_load
pool_load_done(struct gb_pool *pool, const struct pool_call *call,
    const struct gb_pool_read_res *res)
{
	const struct pool_part *part = &pool->parts[call->part];
	struct pool_page *page = page_answered(pool, call);
	enum pool_load course = POOL_LOAD_GOES_ON;

	if (call->round == part->round && part->attach == POOL_ATTACH_LOADING) {
		if (page != NULL && page_again(pool, page, res)) {
			pool->row_bytes[page->table] =
			    2 * row_bytes(pool, page->table);
			page_send(pool, page);
			return POOL_LOAD_GOES_ON;
		}
		course = page_take(pool, call, res);
	}
	page_free(pool, page);
	pages_next(pool);
	return course;
}

/* Inbox ------------------------------------------------------------------- */

void
pool_load_inbox(struct gb_pool *pool, uint32_t part)
{
	if (!pool_part_attached(pool, part) || pool->parts[part].inbox_out > 0)
		return;
	page_add(pool, POOL_CALL_INBOX_LIST, part, GB_POOL_INBOX, "", "");
	pages_next(pool);
}

static void
inbox_listed(
    struct gb_pool *pool, uint32_t part, const struct gb_pool_read_res *res)
{
	char to[GB_KEY_MAX + 1];
	struct pool_flow *flow;
	size_t i;

	if (res->row_count > 0)
		pool->inbox_at = pool->now + INBOX_SOON;
	for (i = 0; i < res->row_count; i++) {
		flow = pool_flow_find(pool, res->rows[i].key);
		if (flow != NULL) {
			flow->in_inbox = true;
			pool_writer_dirty(pool, flow, false);
			continue;
		}
		snprintf(to, sizeof(to), "%.200s0", res->rows[i].key);
		page_add(pool, POOL_CALL_INBOX_FLOW, part, GB_POOL_FLOWS,
		    res->rows[i].key, to);
	}
}

static void
inbox_flow(struct gb_pool *pool, const struct gb_pool_read_res *res)
{
	gb_flow_row stored = {0};
	struct pool_flow *flow;

	if (res->row_count == 0 || pool_flow_find(pool, res->rows[0].key))
		return;
	if (!gb_flow_decode(&res->rows[0].value, &stored)) {
		row_unreadable(pool, "flows", &res->rows[0]);
		return;
	}
	flow = pool_flow_new(pool, &stored.flow);
	flow->config = stored.config;
	flow->created = true;
	flow->fresh = true;
	flow->stored = flow->change;
	flow->in_inbox = true;
	pool_writer_dirty(pool, flow, true);
	pool->work_changed = true;
	gb_event(pool->cfg.events, GB_EVENT_NORMAL, "flow_adopted", "{s:s}",
	    "flow", flow->spec.id);
}

void
pool_load_inbox_done(struct gb_pool *pool, const struct pool_call *call,
    const struct gb_pool_read_res *res)
{
	bool wanted =
	    res->status == GB_STORE_OK && pool_part_attached(pool, call->part);

	if (wanted && call->kind == POOL_CALL_INBOX_LIST) {
		page_learn(pool, GB_POOL_INBOX, res);
		inbox_listed(pool, call->part, res);
	} else if (wanted) {
		inbox_flow(pool, res);
	}
	page_free(pool, page_answered(pool, call));
	pages_next(pool);
}
