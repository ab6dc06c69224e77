/**
 * @file request.c
 * Requests of callers: admission, a bounded queue with deadlines, retries that
 * depend on the verdict, idempotency keys, and exactly one final answer for
 * each request.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "process/core.h"

/** Maximum number of execs for one request, including the first. */
#define TRIES_MAX 4
/** Bounds of the delay after which a caller may retry a request that did not
 * fit into the queue. */
#define RETRY_AFTER_MIN_MS 50
#define RETRY_AFTER_MAX_MS 5000
/** Delay after which a caller may retry while the table service is
 * unavailable. */
#define STORE_RETRY_MS 1000
/** Delay after which a caller may retry while the shard has no usable owner or
 * worker. */
#define OWNER_RETRY_MS 200
/** Largest answer that is stored under an idempotency key, in bytes. */
#define KEPT_ANSWER_MAX 65536
#define TIMEOUT_MAX (600 * GB_SEC)
/** An exec may begin at most this long after its caller's deadline. */
#define EXEC_MARGIN (50 * GB_MSEC)
/** A dispatch stops after this many waiting requests that fit no worker. */
#define DISPATCH_BLOCKED_MAX 8

static struct request *
request_find(struct gb_core *core, uint64_t id)
{
	struct request *r;

	HASH_FIND(hh, core->requests, &id, sizeof(id), r);
	return r;
}

static void
request_free(struct gb_core *core, struct request *r)
{
	if (r->state == REQUEST_WAITING) {
		TAILQ_REMOVE(&r->shard->waiting, r, next);
		r->shard->waiting_count--;
	}
	HASH_DEL(core->requests, r);
	xdr_free((xdrproc_t)xdr_gb_request, (char *)&r->spec);
	free(r);
}

void
requests_free(struct gb_core *core)
{
	struct request *r;
	struct request *next;
	struct exec *e;
	struct exec *next_exec;

	HASH_ITER(hh, core->requests, r, next)
	{
		request_free(core, r);
	}
	HASH_ITER(hh, core->execs, e, next_exec)
	{
		HASH_DEL(core->execs, e);
		free(e);
	}
}

/** Delay after which a caller may retry: the time in which the queue is worked
 * off. */
static unsigned int
retry_after_ms(const struct shard *shard)
{
	uint64_t ms = RETRY_AFTER_MIN_MS;

	if (shard->answer_rate > 0)
		ms = ((uint64_t)shard->waiting_count + 1) * 1000 /
		     shard->answer_rate;
	if (ms < RETRY_AFTER_MIN_MS)
		ms = RETRY_AFTER_MIN_MS;
	return (
	    unsigned int)(ms > RETRY_AFTER_MAX_MS ? RETRY_AFTER_MAX_MS : ms);
}

/* Idempotency keys */

static void
key_name(const struct request *r, char *out, size_t size)
{
	snprintf(out, size, KEY_PREFIX "%s/%s", r->spec.team, r->spec.key);
}

/** Ignores the result of the write that removes or finishes a key: the caller
 * already has its answer. */
static void
key_updated(struct gb_core *core, const struct store_op *op,
    const struct store_result *result)
{
	(void)core;
	(void)op;
	(void)result;
}

/** Remove the key of a request that was not run, so that the caller may retry
 * it under the same key. */
static void
key_remove(struct gb_core *core, const struct request *r)
{
	char key[GB_KEY_MAX + 1];
	gb_txn txn;

	if (!r->key_written)
		return;
	memset(&txn, 0, sizeof(txn));
	key_name(r, key, sizeof(key));
	store_txn_cond(&txn, key, r->key_vers);
	store_txn_remove(&txn, key);
	store_op_txn(core, &txn, key_updated, GB_NONE, 0);
}

/** Encode the row of a key, with the answer when the request is done. */
static bool
key_encode(
    const struct request *r, bool done, const gb_exec_res *res, gb_body *out)
{
	gb_key_row row;

	memset(&row, 0, sizeof(row));
	row.fingerprint = r->fingerprint;
	row.nonce = r->key_nonce;
	row.done = done;
	if (done) {
		row.status = res->status;
		row.body = res->body;
	}
	return gb_xdr_encode((xdrproc_t)xdr_gb_key_row, &row, out);
}

/** Store the answer under the key, for later requests with the same key. */
static void
key_finish(
    struct gb_core *core, const struct request *r, const gb_exec_res *res)
{
	char key[GB_KEY_MAX + 1];
	gb_body body;
	gb_txn txn;

	if (!r->key_written || res->body.gb_body_len > KEPT_ANSWER_MAX ||
	    !key_encode(r, true, res, &body))
		return;
	memset(&txn, 0, sizeof(txn));
	key_name(r, key, sizeof(key));
	store_txn_cond(&txn, key, r->key_vers);
	store_txn_put(&txn, key, body);
	store_op_txn(core, &txn, key_updated, GB_NONE, 0);
}

/* Final answers */

/** End a request with an error. */
static void
request_fail(struct gb_core *core, struct request *r, gb_verdict verdict,
    unsigned status, unsigned retry_ms, const char *reason)
{
	if (verdict == GB_NOT_RUN && r->may_have_run)
		verdict = GB_MAYBE_RUN;
	if (verdict == GB_NOT_RUN)
		key_remove(core, r);
	core->stats.answers++;
	core_answer(core, r->id, verdict, status, retry_ms, reason);
	request_free(core, r);
}

/** End a request with the answer of the worker. */
static void
request_answer(struct gb_core *core, struct request *r, const gb_exec_res *res)
{
	struct gb_action *action = core_action_add(core, GB_ACT_ANSWER);

	key_finish(core, r, res);
	action->id = r->id;
	action->u.answer.verdict = GB_RUN;
	action->u.answer.status = res->status;
	action->u.answer.reason = gb_strdup("");
	gb_xdr_copy((xdrproc_t)xdr_gb_body, &res->body, &action->u.answer.body,
	    sizeof(res->body));
	core->stats.answers++;
	request_free(core, r);
}

/** Put a request at the end of its shard's queue. */
static void
request_enqueue(struct request *r)
{
	/* A late answer to an earlier try is ignored. */
	r->rid = 0;
	r->state = REQUEST_WAITING;
	TAILQ_INSERT_TAIL(&r->shard->waiting, r, next);
	r->shard->waiting_count++;
}

/* Write of the key, before the first exec */

static void key_write(struct gb_core *, struct request *);

/** Continue a request whose key exists already: written by this request, or by
 * an earlier one. */
static void
key_found(struct gb_core *core, struct request *r, const gb_row *stored)
{
	gb_body body = stored->value;
	gb_key_row row;
	gb_exec_res res;

	memset(&row, 0, sizeof(row));
	memset(&res, 0, sizeof(res));
	if (!gb_xdr_decode((xdrproc_t)xdr_gb_key_row, &body, &row)) {
		request_fail(core, r, GB_MAYBE_RUN, 409, 0,
		    "the key's record cannot be read");
		return;
	}
	if (row.nonce == r->key_nonce) {
		r->key_written = true;
		r->key_vers = stored->vers;
		request_enqueue(r);
		request_dispatch(core, r->shard);
	} else if (row.fingerprint != r->fingerprint) {
		request_fail(core, r, GB_NOT_RUN, 422, 0,
		    "the key belongs to another request");
	} else if (row.done) {
		res.verdict = GB_RUN;
		res.status = row.status;
		res.body = row.body;
		request_answer(core, r, &res);
	} else {
		request_fail(core, r, GB_MAYBE_RUN, 409, 0,
		    "a request with this key may have run");
	}
	xdr_free((xdrproc_t)xdr_gb_key_row, (char *)&row);
}

static void
key_read(struct gb_core *core, const struct store_op *op,
    const struct store_result *result)
{
	struct request *r = request_find(core, op->ref);

	if (r == NULL)
		return;
	if (result->status != GB_STORE_OK)
		request_fail(core, r, GB_NOT_RUN, 503, STORE_RETRY_MS,
		    "the table service is unavailable");
	else if (result->count == 0)
		key_write(core, r);
	else
		key_found(core, r, &result->rows[0]);
}

static void
key_written(struct gb_core *core, const struct store_op *op,
    const struct store_result *result)
{
	struct request *r = request_find(core, op->ref);
	char key[GB_KEY_MAX + 1];

	if (r == NULL)
		return;
	switch (result->status) {
	case GB_STORE_OK:
		r->key_written = true;
		r->key_vers = result->vers;
		request_enqueue(r);
		request_dispatch(core, r->shard);
		break;
	case GB_STORE_INVALID:
	case GB_STORE_REFUSED:
		request_fail(core, r, GB_NOT_RUN, 503, STORE_RETRY_MS,
		    "the table service is unavailable");
		break;
	case GB_STORE_CONFLICT:
	case GB_STORE_UNKNOWN:
		key_name(r, key, sizeof(key));
		store_op_scan(core, key, "", 1, key_read, GB_NONE, r->id);
		break;
	}
}

static void
key_write(struct gb_core *core, struct request *r)
{
	char key[GB_KEY_MAX + 1];
	gb_body body;
	gb_txn txn;

	if (!key_encode(r, false, NULL, &body))
		return;
	memset(&txn, 0, sizeof(txn));
	key_name(r, key, sizeof(key));
	store_txn_cond(&txn, key, 0);
	store_txn_put(&txn, key, body);
	store_op_txn(core, &txn, key_written, GB_NONE, r->id);
}

/* Admission */

/** Answer a request that is not admitted. */
static void
request_reject(struct gb_core *core, uint64_t id, unsigned status,
    unsigned retry_ms, const char *reason)
{
	core->stats.answers++;
	core_answer(core, id, GB_NOT_RUN, status, retry_ms, reason);
}

/** Check a request against the state of the shard and its document.  Returns
 * null when it is rejected. */
static const struct gb_doc *
request_admit(struct gb_core *core, uint64_t id, const gb_request *req,
    struct shard *shard)
{
	struct doc *doc;

	if (shard == NULL || shard->state != SHARD_ACTIVE || core->leaving) {
		request_reject(core, id, 503, OWNER_RETRY_MS,
		    "this instance does not own the shard");
		return NULL;
	}
	if (!gb_core_fresh(core, core->now)) {
		request_reject(core, id, 503, OWNER_RETRY_MS,
		    "this instance cannot confirm its view");
		return NULL;
	}
	doc = config_doc(core, req->team, req->service);
	if (doc == NULL || !doc->valid ||
	    (doc->now.kind != GB_KIND_LOOKUP &&
		doc->now.kind != GB_KIND_REQUEST)) {
		request_reject(
		    core, id, 404, 0, "no such service takes requests");
		return NULL;
	}
	if (req->repeated && !doc->now.idempotent && req->key[0] == '\0') {
		core->stats.answers++;
		core_answer(core, id, GB_MAYBE_RUN, 502, 0,
		    "the first try may have run");
		return NULL;
	}
	if (req->remaining_us < 0) {
		request_reject(core, id, 504, 0, "the deadline has passed");
		return NULL;
	}
	if (shard->usable == 0) {
		request_reject(core, id, 503, OWNER_RETRY_MS,
		    "the shard has no worker to give");
		return NULL;
	}
	if (shard->waiting_count >= doc->now.queue_limit) {
		request_reject(
		    core, id, 503, retry_after_ms(shard), "the queue is full");
		return NULL;
	}
	return &doc->now;
}

void
gb_core_request(
    struct gb_core *core, gb_time now, uint64_t id, const gb_request *req)
{
	struct shard *shard = shard_get(core, req->shard);
	const struct gb_doc *doc;
	struct request *r;
	gb_request bodyless = *req;
	gb_time timeout = req->remaining_us;

	core->now = now;
	core->stats.requests++;
	doc = request_admit(core, id, req, shard);
	if (doc == NULL)
		return;
	r = gb_calloc(1, sizeof(*r));
	r->id = id;
	r->shard = shard;
	bodyless.body.gb_body_len = 0;
	bodyless.body.gb_body_val = NULL;
	gb_xdr_copy(
	    (xdrproc_t)xdr_gb_request, &bodyless, &r->spec, sizeof(r->spec));
	if (timeout == 0)
		timeout = doc->timeout_us;
	if (timeout > TIMEOUT_MAX)
		timeout = TIMEOUT_MAX;
	r->deadline = now + timeout;
	r->started = now;
	r->need = doc->res;
	r->idempotent = doc->idempotent;
	r->may_have_run = req->repeated;
	r->avoid = GB_NONE;
	r->worker = GB_NONE;
	snprintf(r->pool, sizeof(r->pool), "%s", doc->pool);
	HASH_ADD(hh, core->requests, id, sizeof(r->id), r);
	gb_retry_earn(&core->retry);
	if (!r->idempotent && req->key[0] != '\0') {
		r->state = REQUEST_WRITING_KEY;
		r->key_nonce = gb_random_next(&core->seed);
		r->fingerprint =
		    gb_hash(req->body.gb_body_val, req->body.gb_body_len) ^
		    gb_hash_pair(req->team, req->service);
		key_write(core, r);
		return;
	}
	request_enqueue(r);
	request_dispatch(core, shard);
}

void
gb_core_request_abandon(struct gb_core *core, uint64_t id)
{
	struct request *r = request_find(core, id);

	/* A request that was sent to a worker is not stopped. */
	if (r != NULL && r->state == REQUEST_WAITING)
		request_fail(
		    core, r, GB_NOT_RUN, 499, 0, "the caller has gone");
}

/* Dispatch */

/** Context of the filter that restricts the workers for a request. */
struct request_filter {
	struct gb_core *core;
	const struct request *request;
};

/** Whether a worker of the shard is in the request's pool, and not the one
 * whose try failed. */
static bool
request_filter_allows(void *data, uint32_t position)
{
	const struct request_filter *context = data;
	const struct worker *w =
	    worker_at(context->core, context->request->shard, position);

	if (w->handle == context->request->avoid)
		return false;
	return context->request->pool[0] == '\0' ||
	       strcmp(context->request->pool, w->pool) == 0;
}

/** Send a waiting request to a worker as an exec. */
static void
request_send(struct gb_core *core, struct request *r, struct worker *w)
{
	struct gb_action *action = core_action_add(core, GB_ACT_EXEC);
	struct exec *e = gb_calloc(1, sizeof(*e));
	gb_exec *exec = &action->u.exec;

	TAILQ_REMOVE(&r->shard->waiting, r, next);
	r->shard->waiting_count--;
	r->shard->sent_count++;
	r->state = REQUEST_SENT;
	r->worker = w->handle;
	r->rid = core->next_rid++;
	r->serial = r->shard->serial;
	r->tries++;
	exec->epoch = r->shard->epoch;
	exec->incarnation = w->incarnation;
	exec->anchor = w->anchor;
	exec->lease_us = core->now - w->anchor_received_at +
			 (r->deadline - core->now) + EXEC_MARGIN;
	exec->rid = r->rid;
	exec->owner = core->cfg.incarnation;
	exec->remaining_us = r->deadline - core->now;
	exec->team = gb_strdup(r->spec.team);
	exec->service = gb_strdup(r->spec.service);
	exec->idempotent = r->idempotent;
	exec->key = gb_strdup(r->spec.key);
	exec->trace = gb_strdup(r->spec.trace);
	action->id = r->id;
	action->worker = w->handle;
	snprintf(action->addr, sizeof(action->addr), "%s", w->addr);
	e->rid = r->rid;
	e->request = r->id;
	e->worker = w->handle;
	e->serial = r->shard->serial;
	e->need = r->need;
	e->expires = w->anchor + exec->lease_us;
	HASH_ADD(hh, core->execs, rid, sizeof(e->rid), e);
	w->requests++;
	gb_res_add(&w->used, &r->need);
	worker_index(core, w);
}

void
request_dispatch(struct gb_core *core, struct shard *shard)
{
	struct request *r;
	struct request *next;
	unsigned int blocked = 0;

	if (core_list_stale(core))
		return;
	for (r = TAILQ_FIRST(&shard->waiting);
	     r != NULL && blocked < DISPATCH_BLOCKED_MAX; r = next) {
		struct request_filter context = {core, r};
		struct gb_filter filter = {
		    request_filter_allows, NULL, &context};
		struct worker *w;

		next = TAILQ_NEXT(r, next);
		w = worker_at(core, shard,
		    gb_index_find(
			shard->index, &r->need, &gb_scorer_spread, &filter));
		if (w == NULL)
			blocked++;
		else
			request_send(core, r, w);
	}
}

/* Answers of workers */

/** Drop an exec, and free its capacity unless the shard has been lost since it
 * was sent. */
static void
exec_release(struct gb_core *core, struct exec *e)
{
	struct worker *w = worker_get(core, e->worker);

	if (w->shard->serial == e->serial) {
		w->requests--;
		if (e->given_up)
			w->given_up--;
		gb_res_sub(&w->used, &e->need);
		worker_index(core, w);
		w->shard->dirty = true;
	}
	HASH_DEL(core->execs, e);
	free(e);
}

/** Stop waiting for an exec without an answer.  Its capacity stays in use
 * until a report of the worker shows that it has ended. */
static void
exec_give_up(struct gb_core *core, uint64_t rid)
{
	struct exec *e;
	struct worker *w;

	HASH_FIND(hh, core->execs, &rid, sizeof(rid), e);
	if (e == NULL || e->given_up)
		return;
	w = worker_get(core, e->worker);
	if (w->shard->serial != e->serial)
		return;
	e->given_up = true;
	w->given_up++;
}

/** Count an answered request; updates the shard's answer rate about once a
 * second. */
static void
answer_rate_update(struct gb_core *core, struct shard *shard)
{
	gb_time span = core->now - shard->rate_from;

	shard->answered++;
	if (span < GB_SEC)
		return;
	shard->answer_rate =
	    (uint32_t)((shard->answer_rate +
			   shard->answered * GB_SEC / (uint64_t)span) /
			   2 +
		       1);
	shard->answered = 0;
	shard->rate_from = core->now;
}

/** A try failed: retry on another worker if that is allowed, else fail. */
static void
request_try_failed(struct gb_core *core, struct request *r, gb_verdict verdict)
{
	bool own = r->shard->state == SHARD_ACTIVE && !core->leaving;

	r->may_have_run = r->may_have_run || verdict == GB_MAYBE_RUN;
	if (own && gb_verdict_retryable(verdict, r->idempotent) &&
	    r->tries < TRIES_MAX && core->now < r->deadline &&
	    gb_core_fresh(core, core->now) && gb_retry_spend(&core->retry)) {
		core->stats.retries++;
		r->avoid = r->worker;
		request_enqueue(r);
		request_dispatch(core, r->shard);
		return;
	}
	request_fail(core, r, verdict, verdict == GB_NOT_RUN ? 503 : 502,
	    retry_after_ms(r->shard),
	    verdict == GB_NOT_RUN ? "no worker took the request"
				  : "the worker did not answer");
}

void
gb_core_exec_done(
    struct gb_core *core, gb_time now, uint64_t rid, const gb_exec_res *res)
{
	struct request *r;
	struct exec *e;
	struct worker *w;

	core->now = now;
	HASH_FIND(hh, core->execs, &rid, sizeof(rid), e);
	if (e == NULL)
		return;
	r = request_find(core, e->request);
	if (r != NULL && r->rid != rid)
		r = NULL;
	w = worker_get(core, e->worker);
	if (r != NULL && r->serial == r->shard->serial)
		r->shard->sent_count--;
	if (res->verdict == GB_MAYBE_RUN && w->shard->serial == e->serial)
		exec_give_up(core, rid);
	else
		exec_release(core, e);
	if (r == NULL)
		return;
	answer_rate_update(core, r->shard);
	if (res->verdict == GB_RUN)
		request_answer(core, r, res);
	else
		request_try_failed(core, r, res->verdict);
	if (w->shard->state == SHARD_ACTIVE)
		request_dispatch(core, w->shard);
}

uint32_t
request_count_unknown(
    struct gb_core *core, const struct worker *w, const gb_sync_res *res)
{
	uint32_t unknown = 0;
	u_int i;

	for (i = 0; i < res->own.own_len; i++) {
		struct exec *e;

		HASH_FIND(
		    hh, core->execs, &res->own.own_val[i], sizeof(e->rid), e);
		if (e == NULL || e->serial != w->shard->serial)
			unknown++;
	}
	return unknown;
}

void
request_apply_report(
    struct gb_core *core, struct worker *w, const gb_sync_res *res)
{
	struct exec *e;
	struct exec *next;
	u_int i;

	if (w->given_up == 0)
		return;
	HASH_ITER(hh, core->execs, e, next)
	{
		if (e->worker != w->handle || !e->given_up ||
		    e->serial != w->shard->serial || res->clock <= e->expires)
			continue;
		for (i = 0; i < res->own.own_len; i++) {
			if (res->own.own_val[i] == e->rid)
				break;
		}
		if (i == res->own.own_len)
			exec_release(core, e);
	}
}

void
request_worker_ended(struct gb_core *core, struct worker *w)
{
	struct exec *e;
	struct exec *next;

	if (w->given_up == 0)
		return;
	HASH_ITER(hh, core->execs, e, next)
	{
		if (e->worker == w->handle && e->given_up &&
		    e->serial == w->shard->serial)
			exec_release(core, e);
	}
}

/* Deadlines and lost shards */

void
request_tick(struct gb_core *core)
{
	struct request *r;
	struct request *next;

	HASH_ITER(hh, core->requests, r, next)
	{
		if (core->now < r->deadline)
			continue;
		if (r->state == REQUEST_SENT) {
			if (r->serial == r->shard->serial)
				r->shard->sent_count--;
			exec_give_up(core, r->rid);
			request_fail(core, r, GB_MAYBE_RUN, 504, 0,
			    "the deadline passed while it ran");
		} else {
			request_fail(core, r, GB_NOT_RUN, 504,
			    retry_after_ms(r->shard),
			    "the deadline passed before it could start");
		}
	}
}

void
request_shard_lost(struct gb_core *core, struct shard *shard)
{
	struct request *r;
	struct request *next;
	struct exec *e;
	struct exec *next_exec;

	HASH_ITER(hh, core->requests, r, next)
	{
		if (r->shard == shard && r->state != REQUEST_SENT)
			request_fail(core, r, GB_NOT_RUN, 503, OWNER_RETRY_MS,
			    "the shard changed its owner");
	}
	HASH_ITER(hh, core->execs, e, next_exec)
	{
		/* The others still end with an answer or a timeout. */
		if (!e->given_up || worker_get(core, e->worker)->shard != shard)
			continue;
		HASH_DEL(core->execs, e);
		free(e);
	}
	shard->sent_count = 0;
}
