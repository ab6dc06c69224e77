/**
 * @file relay.c
 * A caller's request or command on its way through an entry: tries at other
 * shards when that is allowed, a second try beside one that takes long, and
 * one whole answer.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "process/entry.h"

#define TRIES_MOST 4
#define RELAY_GRACE (100 * GB_MSEC)
#define AGAIN_BASE (20 * GB_MSEC)
#define AGAIN_MOST (400 * GB_MSEC)

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
		http_call_add(call, "retry-after", seconds);
	}
	gb_text_add(&body, "}\n");
	http_call_add(call, "gooseberry-verdict", gb_verdict_name(verdict));
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

static void
relay_end(struct relay *relay, const gb_answer *answer)
{
	struct gb_entry *entry = relay->entry;
	gb_time now = gb_clock_boot();
	gb_verdict verdict = answer->verdict;
	char etag[32];

	relay->ended = true;
	if (verdict == GB_NOT_RUN && relay->maybe)
		verdict = GB_MAYBE_RUN;
	gb_trace_span(&entry->env, relay->own, relay->parent, "entry",
	    relay->started, now, gb_verdict_name(verdict));
	if (relay->proc == GB_PROC_REQUEST)
		gb_histogram_add(&entry->request_us, now - relay->started);
	http_call_add(relay->call, "traceparent", relay->own);
	if (verdict != GB_RUN || answer->reason[0] != '\0') {
		entry->refused++;
		relay_problem(relay->call, answer->status, verdict,
		    answer->retry_after_ms, answer->reason);
	} else {
		http_call_add(relay->call, "gooseberry-verdict", "ran");
		if (answer->vers > 0) {
			snprintf(etag, sizeof(etag), "\"%" PRIu64 "\"",
			    answer->vers);
			http_call_add(relay->call, "etag", etag);
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

/** Call a function of the relay later, unless it has ended by then. */
static void
relay_later(struct relay *relay, uint64_t ms, uv_timer_cb fire)
{
	uv_timer_t *timer = gb_calloc(1, sizeof(*timer));

	uv_timer_init(relay->entry->loop, timer);
	timer->data = relay;
	relay->refs++;
	uv_timer_start(timer, fire, ms, 0);
}

static void
again_fire(uv_timer_t *timer)
{
	struct relay *relay = timer->data;

	uv_close((uv_handle_t *)timer, timer_closed);
	if (!relay->ended)
		relay_send(relay);
	relay_unref(relay);
}

static void
relay_again(struct relay *relay)
{
	struct gb_entry *entry = relay->entry;
	gb_time wait =
	    gb_retry_delay(&entry->retry, relay->tries, AGAIN_BASE, AGAIN_MOST);

	entry->retries++;
	relay_later(relay, (uint64_t)(wait / GB_MSEC) + 1, again_fire);
}

/** Whether another try may help and is allowed. */
static bool
relay_may_retry(struct relay *relay, gb_verdict verdict, unsigned int status)
{
	if (relay->tries >= TRIES_MOST ||
	    gb_clock_boot() + AGAIN_BASE >= relay->deadline)
		return false;
	if (verdict == GB_MAYBE_RUN) {
		/* The scheduler lets only idempotent requests in again.  A
		 * job's name makes its commands idempotent; a document's
		 * version does not tell whose change it was. */
		return status == 0 &&
		       (relay->proc == GB_PROC_REQUEST ||
			   relay->arg.command.verb != GB_VERB_APPLY) &&
		       gb_retry_spend(&relay->entry->retry);
	}
	return verdict == GB_NOT_RUN && (status == 0 || status == 503) &&
	       gb_retry_spend(&relay->entry->retry);
}

/** Join the parts of a list: {"jobs": [a]} and {"jobs": [b]}. */
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

static void
gather_next(struct relay *relay, const gb_answer *answer)
{
	gb_answer whole = {.verdict = GB_RUN, .status = 200, .reason = ""};

	gather_add(relay, answer);
	relay->shard++;
	relay->tries = 0;
	if (relay->shard < gb_route_shards(relay->entry->route)) {
		relay_send(relay);
		return;
	}
	gb_text_add(&relay->list, "]}");
	whole.body.gb_body_val = relay->list.data;
	whole.body.gb_body_len = (u_int)relay->list.len;
	relay_end(relay, &whole);
}

/** One try that is out. */
struct
try {
	struct relay *relay;
	uint32_t shard;
};

static struct try *
try_new(struct relay *relay, uint32_t shard)
{
	struct try *try = gb_calloc(1, sizeof(*try));

	try->relay = relay;
	try->shard = shard;
	relay->refs++;
	if (relay->proc == GB_PROC_REQUEST)
		gb_route_sent(relay->entry->route, shard);
	return try;
}

static void
try_free(struct try *try)
{
	struct relay *relay = try->relay;

	if (relay->proc == GB_PROC_REQUEST)
		gb_route_ended(relay->entry->route, try->shard);
	free(try);
	relay_unref(relay);
}

/** What to do after the end of a try, other than a second one beside it. */
static void
relay_next(struct relay *relay, gb_verdict verdict, const gb_answer *answer)
{
	unsigned int status = answer == NULL ? 0 : answer->status;

	if (verdict == GB_RUN && relay->gather && status == 200) {
		gather_next(relay, answer);
		return;
	}
	if (answer == NULL && verdict == GB_MAYBE_RUN)
		relay->maybe = true;
	if (verdict != GB_RUN && relay_may_retry(relay, verdict, status))
		relay_again(relay);
	else if (answer != NULL)
		relay_end(relay, answer);
	else
		relay_refuse(relay, verdict,
		    verdict == GB_MAYBE_RUN ? 502 : 503, RETRY_AFTER_MS,
		    "the scheduler did not answer");
}

static void
relay_done(void *data, gb_verdict verdict, void *res)
{
	struct try *try = data;
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
		relay_next(relay, verdict, answer);
	try_free(try);
}

/* A second try beside one that takes long: its shard lets it in only if it is
 * idempotent or has a key, and only a whole answer counts. */

static void
hedge_done(void *data, gb_verdict verdict, void *res)
{
	struct try *try = data;
	const gb_answer *answer = res;

	if (!try->relay->ended && answer != NULL && answer->verdict == GB_RUN &&
	    verdict == GB_RUN)
		relay_end(try->relay, answer);
	try_free(try);
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
		    GB_PROC_REQUEST, &req, remaining + RELAY_GRACE, hedge_done,
		    try_new(relay, shard));
	}
	relay_unref(relay);
}

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
	if (!relay->any_shard) {
		relay->arg.command.shard = relay->shard;
		return gb_route_owner(entry->route, relay->shard);
	}
	if (gb_route_member(entry->route, relay->tries, &addr))
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
		relay_next(relay, GB_NOT_RUN, NULL);
		return;
	}
	if (relay->proc == GB_PROC_REQUEST) {
		relay->arg.request.remaining_us = remaining;
		relay->arg.request.repeated = relay->maybe;
	} else {
		relay->arg.command.remaining_us = remaining;
	}
	gb_rpc_client_call(gb_rpc_pool_get(entry->pool, addr), relay->proc,
	    &relay->arg, remaining + RELAY_GRACE, relay_done,
	    try_new(relay, relay->shard));
}

void
relay_start(struct relay *relay)
{
	struct gb_entry *entry = relay->entry;

	if (relay->proc == GB_PROC_REQUEST && entry->settings.hedge_ms > 0)
		relay_later(
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
