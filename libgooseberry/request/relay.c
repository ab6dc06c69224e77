/**
 * @file relay.c
 * Relays a caller's request or command from an entry to a scheduler: retries
 * it at other shards when that is allowed, sends a hedged request when the
 * first try takes long, and gives exactly one answer.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "process/entry.h"

/** Maximum number of tries of a call, including the first. */
#define TRIES_MAX 4
/** A scheduler's answer is awaited this long after the deadline. */
#define ANSWER_GRACE (100 * GB_MSEC)
#define RETRY_DELAY_BASE (20 * GB_MSEC)
#define RETRY_DELAY_MAX (400 * GB_MSEC)

/* Answers */

void
relay_problem(struct http_call *call, unsigned int status, gb_verdict verdict,
    unsigned int retry_ms, const char *detail)
{
	struct gb_text body = {0};
	char seconds[32];
	size_t i;

	gb_text_add(&body,
	    "{\"type\": \"about:blank\", \"status\": %u, "
	    "\"verdict\": \"%s\", \"detail\": \"",
	    status, gb_verdict_name(verdict));
	for (i = 0; detail[i] != '\0'; i++) {
		if (detail[i] == '"' || detail[i] == '\\')
			gb_text_add(&body, "\\");
		if ((unsigned char)detail[i] >= ' ')
			gb_text_add(&body, "%c", detail[i]);
	}
	gb_text_add(&body, "\"");
	if (retry_ms > 0) {
		gb_text_add(&body, ", \"retry_after_ms\": %u", retry_ms);
		snprintf(
		    seconds, sizeof(seconds), "%u", (retry_ms + 999) / 1000);
		http_call_add_header(call, "retry-after", seconds);
	}
	gb_text_add(&body, "}\n");
	http_call_add_header(
	    call, "gooseberry-verdict", gb_verdict_name(verdict));
	http_call_answer(
	    call, status, "application/problem+json", body.data, body.len);
	gb_text_free(&body);
}

static void
relay_unref(struct relay *relay)
{
	xdrproc_t code = relay->proc == GB_PROC_REQUEST
			     ? (xdrproc_t)xdr_gb_request
			     : (xdrproc_t)xdr_gb_command;

	if (--relay->refs > 0)
		return;
	xdr_free(code, (char *)&relay->arg);
	gb_text_free(&relay->list);
	free(relay);
}

/** Send the caller the final answer and release the relay. */
static void
relay_end(struct relay *relay, const gb_answer *answer)
{
	struct gb_entry *entry = relay->entry;
	gb_time now = gb_clock_boot();
	gb_verdict verdict = answer->verdict;
	char etag[32];

	relay->ended = true;
	if (verdict == GB_NOT_RUN && relay->may_have_run)
		verdict = GB_MAYBE_RUN;
	gb_trace_span(&entry->env, relay->own, relay->parent, "entry",
	    relay->started, now, gb_verdict_name(verdict));
	if (relay->proc == GB_PROC_REQUEST)
		gb_histogram_add(&entry->request_us, now - relay->started);
	http_call_add_header(relay->call, "traceparent", relay->own);
	if (verdict != GB_RUN || answer->reason[0] != '\0') {
		entry->refused++;
		relay_problem(relay->call, answer->status, verdict,
		    answer->retry_after_ms, answer->reason);
	} else {
		http_call_add_header(relay->call, "gooseberry-verdict", "ran");
		if (answer->vers > 0) {
			snprintf(etag, sizeof(etag), "\"%" PRIu64 "\"",
			    answer->vers);
			http_call_add_header(relay->call, "etag", etag);
		}
		http_call_answer(relay->call, answer->status,
		    relay->proc == GB_PROC_REQUEST ? "application/octet-stream"
						   : "application/json",
		    answer->body.gb_body_val, answer->body.gb_body_len);
	}
	relay_unref(relay);
}

void
relay_refuse(struct relay *relay, gb_verdict verdict, unsigned int status,
    unsigned int retry_ms, const char *reason)
{
	gb_answer answer = {.verdict = verdict,
	    .status = status,
	    .retry_after_ms = retry_ms,
	    .reason = (char *)(uintptr_t)reason};

	relay_end(relay, &answer);
}

/* Tries */

static void relay_send(struct relay *);

static void
timer_closed(uv_handle_t *handle)
{
	free(handle);
}

/** Call fire after a delay.  It closes the timer and releases the reference to
 * the relay that the timer holds. */
static void
relay_timer_start(struct relay *relay, uint64_t ms, uv_timer_cb fire)
{
	uv_timer_t *timer = gb_calloc(1, sizeof(*timer));

	uv_timer_init(relay->entry->loop, timer);
	timer->data = relay;
	relay->refs++;
	uv_timer_start(timer, fire, ms, 0);
}

static void
retry_fire(uv_timer_t *timer)
{
	struct relay *relay = timer->data;

	uv_close((uv_handle_t *)timer, timer_closed);
	if (!relay->ended)
		relay_send(relay);
	relay_unref(relay);
}

/** Send the next try after a backoff. */
static void
relay_retry_later(struct relay *relay)
{
	struct gb_entry *entry = relay->entry;
	gb_time wait = gb_retry_delay(
	    &entry->retry, relay->tries, RETRY_DELAY_BASE, RETRY_DELAY_MAX);

	entry->retries++;
	relay_timer_start(relay, (uint64_t)(wait / GB_MSEC) + 1, retry_fire);
}

/** Whether another try may succeed and is allowed; takes its credit from the
 * retry budget.  Status 0: no answer. */
static bool
relay_retry_allowed(
    struct relay *relay, gb_verdict verdict, unsigned int status)
{
	if (relay->tries >= TRIES_MAX ||
	    gb_clock_boot() + RETRY_DELAY_BASE >= relay->deadline)
		return false;
	if (verdict == GB_MAYBE_RUN) {
		/* The scheduler admits a repeated request only if it is
		 * idempotent or has a key.  Commands on a job are idempotent
		 * by its name.  An apply is not repeated: the version of a
		 * document does not show whose change it was. */
		return status == 0 &&
		       (relay->proc == GB_PROC_REQUEST ||
			   relay->arg.command.verb != GB_VERB_APPLY) &&
		       gb_retry_spend(&relay->entry->retry);
	}
	return verdict == GB_NOT_RUN && (status == 0 || status == 503) &&
	       gb_retry_spend(&relay->entry->retry);
}

/** Append a shard's part of a list: {"jobs": [a]} and {"jobs": [b]} give
 * {"jobs": [a, b]}. */
static void
gather_add(struct relay *relay, const gb_answer *answer)
{
	const char *text = answer->body.gb_body_val;
	size_t len = answer->body.gb_body_len;
	const char *open = memchr(text, '[', len);
	size_t head;
	size_t items;

	if (open == NULL || len < 2)
		return;
	head = (size_t)(open - text) + 1;
	items = len - head - 2;
	if (relay->list.len == 0)
		gb_text_add(&relay->list, "%.*s", (int)head, text);
	else if (items > 0 && relay->list.data[relay->list.len - 1] != '[')
		gb_text_add(&relay->list, ", ");
	gb_text_add(&relay->list, "%.*s", (int)items, open + 1);
}

/** Add a shard's part of a list, then ask the next shard, or answer. */
static void
gather_next(struct relay *relay, const gb_answer *answer)
{
	gb_answer whole = {.verdict = GB_RUN, .status = 200, .reason = ""};

	gather_add(relay, answer);
	relay->shard++;
	relay->tries = 0;
	if (relay->shard < gb_route_shard_count(relay->entry->route)) {
		relay_send(relay);
		return;
	}
	gb_text_add(&relay->list, "]}");
	whole.body.gb_body_val = relay->list.data;
	whole.body.gb_body_len = (u_int)relay->list.len;
	relay_end(relay, &whole);
}

/** One try in flight. */
struct relay_try {
	struct relay *relay;
	uint32_t shard;
};

static struct relay_try *
relay_try_new(struct relay *relay, uint32_t shard)
{
	struct relay_try *try = gb_calloc(1, sizeof(*try));

	try->relay = relay;
	try->shard = shard;
	relay->refs++;
	if (relay->proc == GB_PROC_REQUEST)
		gb_route_sent(relay->entry->route, shard);
	return try;
}

static void
relay_try_free(struct relay_try *try)
{
	struct relay *relay = try->relay;

	if (relay->proc == GB_PROC_REQUEST)
		gb_route_ended(relay->entry->route, try->shard);
	free(try);
	relay_unref(relay);
}

/** Handle the end of a try, other than a hedged one: answer, or retry.  The
 * answer is null when none came. */
static void
relay_try_ended(
    struct relay *relay, gb_verdict verdict, const gb_answer *answer)
{
	unsigned int status = answer == NULL ? 0 : answer->status;

	if (verdict == GB_RUN && relay->gather && status == 200) {
		gather_next(relay, answer);
		return;
	}
	if (answer == NULL && verdict == GB_MAYBE_RUN)
		relay->may_have_run = true;
	if (verdict != GB_RUN && relay_retry_allowed(relay, verdict, status))
		relay_retry_later(relay);
	else if (answer != NULL)
		relay_end(relay, answer);
	else
		relay_refuse(relay, verdict,
		    verdict == GB_MAYBE_RUN ? 502 : 503, RETRY_AFTER_MS,
		    "the scheduler did not answer");
}

static void
relay_try_done(void *data, gb_verdict verdict, void *res)
{
	struct relay_try *try = data;
	struct relay *relay = try->relay;
	const gb_answer *answer = res;

	if (answer != NULL)
		verdict = answer->verdict;
	if (relay->proc == GB_PROC_REQUEST &&
	    (answer == NULL ||
		(verdict == GB_NOT_RUN && answer->status == 503)))
		gb_route_failed(
		    relay->entry->route, gb_clock_boot(), try->shard);
	if (!relay->ended)
		relay_try_ended(relay, verdict, answer);
	relay_try_free(try);
}

/* Hedged request: a second try while the first is in flight.  Its shard admits
 * it only if it is idempotent or has a key.  Only its success is used, errors
 * are ignored. */

static void
hedge_done(void *data, gb_verdict verdict, void *res)
{
	struct relay_try *try = data;
	const gb_answer *answer = res;

	if (!try->relay->ended && answer != NULL && answer->verdict == GB_RUN &&
	    verdict == GB_RUN)
		relay_end(try->relay, answer);
	relay_try_free(try);
}

static void
hedge_fire(uv_timer_t *timer)
{
	struct relay *relay = timer->data;
	struct gb_entry *entry = relay->entry;
	uint32_t shard = gb_route_pick(entry->route, relay->shard);
	const char *addr = gb_route_owner(entry->route, shard);
	gb_time remaining = relay->deadline - gb_clock_boot();
	gb_request req = relay->arg.request;

	uv_close((uv_handle_t *)timer, timer_closed);
	if (!relay->ended && addr != NULL && remaining > 0 &&
	    gb_retry_spend(&entry->retry)) {
		entry->hedges++;
		req.shard = shard;
		req.remaining_us = remaining;
		req.repeated = TRUE;
		gb_rpc_client_call(gb_rpc_pool_get(entry->pool, addr),
		    GB_PROC_REQUEST, &req, remaining + ANSWER_GRACE, hedge_done,
		    relay_try_new(relay, shard));
	}
	relay_unref(relay);
}

/** Address of the scheduler for the next try, or null; sets its shard. */
static const char *
relay_addr(struct relay *relay)
{
	struct gb_entry *entry = relay->entry;
	const char *addr = NULL;

	if (relay->proc == GB_PROC_REQUEST) {
		relay->shard = gb_route_pick(
		    entry->route, relay->tries == 0 ? GB_NONE : relay->shard);
		relay->arg.request.shard = relay->shard;
		return gb_route_owner(entry->route, relay->shard);
	}
	if (!relay->any_sched) {
		relay->arg.command.shard = relay->shard;
		return gb_route_owner(entry->route, relay->shard);
	}
	if (gb_route_member_addr(entry->route, relay->tries, &addr))
		return addr;
	return entry->settings.scheds
	    .item[relay->tries % entry->settings.scheds.count];
}

static void
relay_send(struct relay *relay)
{
	struct gb_entry *entry = relay->entry;
	gb_time remaining = relay->deadline - gb_clock_boot();
	const char *addr = relay_addr(relay);

	if (remaining <= 0) {
		relay_refuse(relay, GB_NOT_RUN, 504, RETRY_AFTER_MS,
		    "the deadline has passed");
		return;
	}
	relay->tries++;
	if (addr == NULL) {
		relay_try_ended(relay, GB_NOT_RUN, NULL);
		return;
	}
	if (relay->proc == GB_PROC_REQUEST) {
		relay->arg.request.remaining_us = remaining;
		relay->arg.request.repeated = relay->may_have_run;
	} else {
		relay->arg.command.remaining_us = remaining;
	}
	gb_rpc_client_call(gb_rpc_pool_get(entry->pool, addr), relay->proc,
	    &relay->arg, remaining + ANSWER_GRACE, relay_try_done,
	    relay_try_new(relay, relay->shard));
}

void
relay_start(struct relay *relay)
{
	struct gb_entry *entry = relay->entry;

	if (relay->proc == GB_PROC_REQUEST && entry->settings.hedge_ms > 0)
		relay_timer_start(
		    relay, (uint64_t)entry->settings.hedge_ms, hedge_fire);
	relay_send(relay);
}

struct relay *
relay_new(struct gb_entry *entry, struct http_call *call, uint32_t proc)
{
	struct relay *relay = gb_calloc(1, sizeof(*relay));
	char text[GB_KEY_MAX + 1];
	const char *value;
	gb_time limit = entry->settings.timeout_ms * GB_MSEC;

	relay->refs = 1;
	relay->entry = entry;
	relay->call = call;
	relay->proc = proc;
	relay->started = gb_clock_boot();
	value = http_call_header(call, "deadline-ms", text, sizeof(text));
	if (value != NULL && atoll(value) > 0)
		limit = atoll(value) * GB_MSEC;
	relay->deadline = relay->started + limit;
	value = http_call_header(call, "traceparent", text, sizeof(text));
	if (value != NULL)
		snprintf(relay->parent, sizeof(relay->parent), "%s", value);
	gb_trace_child(relay->own, relay->parent, &entry->seed,
	    entry->settings.trace_per_mille);
	gb_retry_earn(&entry->retry);
	return relay;
}
