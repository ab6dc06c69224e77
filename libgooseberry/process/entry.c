/**
 * @file entry.c
 * The entry's process: checks who calls, picks the shard, relays the whole
 * answer.  It keeps nothing that must last.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <uv.h>

#include "connection/http.h"
#include "gooseberry.h"
#include "process/core.h"

#define TRIES_MOST 4
#define VIEW_TIMEOUT GB_SEC
#define RELAY_GRACE (100 * GB_MSEC)
#define AGAIN_BASE (20 * GB_MSEC)
#define AGAIN_MOST (400 * GB_MSEC)
#define RETRY_AFTER_MS 200
#define PATH_PARTS 8
#define STOP_POLL_MS 20

struct gb_entry {
	uv_loop_t *loop;
	uv_timer_t view_timer;
	uv_timer_t stop_timer;
	struct gb_env env;
	struct gb_entry_settings settings;
	struct http_server *http;
	struct gb_rpc_pool *pool;
	struct gb_route *route;
	struct gb_retry retry;
	uint64_t seed;
	unsigned int view_at; /**< which scheduler is asked next */
	bool viewing;
	gb_time viewed;
	gb_time close_at; /**< a leaving entry accepts until then */
	void (*stopped)(void *);
	void *stopped_data;
	uint64_t requests, commands, refused, retries, unauthorized;
	struct gb_histogram request_us;
};

/** A path split at its slashes. */
struct path {
	char text[512];
	const char *part[PATH_PARTS];
	unsigned int count;
};

/** A caller's request or command on its way through. */
struct relay {
	struct gb_entry *entry;
	struct http_call *call;
	uint32_t proc;
	union {
		gb_request request;
		gb_command command;
	} arg;
	uint32_t shard;
	bool any_shard; /**< a command that every scheduler can serve */
	bool gather;	/**< a list that every shard has a part of */
	struct gb_text list;
	unsigned int tries;
	bool maybe; /**< an earlier try may have run */
	gb_time started;
	gb_time deadline;
	uv_timer_t *timer;
	char parent[GB_TRACE_MAX];
	char own[GB_TRACE_MAX];
};

/* Answers */

static void
answer_problem(struct http_call *call, unsigned int status, gb_verdict verdict,
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
relay_free(struct relay *relay)
{
	xdrproc_t code = relay->proc == GB_PROC_REQUEST
			     ? (xdrproc_t)xdr_gb_request
			     : (xdrproc_t)xdr_gb_command;

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

	if (verdict == GB_NOT_RUN && relay->maybe)
		verdict = GB_MAYBE_RUN;
	gb_trace_span(&entry->env, relay->own, relay->parent, "entry",
	    relay->started, now, gb_verdict_name(verdict));
	if (relay->proc == GB_PROC_REQUEST)
		gb_histogram_add(&entry->request_us, now - relay->started);
	http_call_add(relay->call, "traceparent", relay->own);
	if (verdict != GB_RUN || answer->reason[0] != '\0') {
		entry->refused++;
		answer_problem(relay->call, answer->status, verdict,
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
	relay_free(relay);
}

static void
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
again_closed(uv_handle_t *handle)
{
	free(handle);
}

static void
again_fire(uv_timer_t *timer)
{
	struct relay *relay = timer->data;

	uv_close((uv_handle_t *)timer, again_closed);
	relay->timer = NULL;
	relay_send(relay);
}

static void
relay_again(struct relay *relay)
{
	struct gb_entry *entry = relay->entry;
	gb_time wait =
	    gb_retry_delay(&entry->retry, relay->tries, AGAIN_BASE, AGAIN_MOST);

	relay->timer = gb_calloc(1, sizeof(*relay->timer));
	uv_timer_init(entry->loop, relay->timer);
	relay->timer->data = relay;
	entry->retries++;
	uv_timer_start(
	    relay->timer, again_fire, (uint64_t)(wait / GB_MSEC) + 1, 0);
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

static void
relay_done(void *data, gb_verdict verdict, void *res)
{
	struct relay *relay = data;
	struct gb_entry *entry = relay->entry;
	gb_answer *answer = res;
	unsigned int status = answer == NULL ? 0 : answer->status;

	if (relay->proc == GB_PROC_REQUEST)
		gb_route_ended(entry->route, relay->shard);
	if (answer != NULL)
		verdict = answer->verdict;
	if (answer == NULL || (verdict == GB_NOT_RUN && status == 503))
		gb_route_failed(entry->route, gb_clock_boot(), relay->shard);
	if (verdict == GB_RUN && relay->gather && status == 200) {
		gather_next(relay, answer);
		return;
	}
	if (answer == NULL && verdict == GB_MAYBE_RUN)
		relay->maybe = true;
	if (verdict != GB_RUN && relay_may_retry(relay, verdict, status)) {
		relay_again(relay);
		return;
	}
	if (answer != NULL)
		relay_end(relay, answer);
	else
		relay_refuse(relay, verdict,
		    verdict == GB_MAYBE_RUN ? 502 : 503, RETRY_AFTER_MS,
		    "the scheduler did not answer");
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
		relay_done(relay, GB_NOT_RUN, NULL);
		return;
	}
	if (relay->proc == GB_PROC_REQUEST) {
		relay->arg.request.remaining_us = remaining;
		relay->arg.request.repeated = relay->maybe;
		gb_route_sent(entry->route, relay->shard);
	} else {
		relay->arg.command.remaining_us = remaining;
	}
	gb_rpc_client_call(gb_rpc_pool_get(entry->pool, addr), relay->proc,
	    &relay->arg, remaining + RELAY_GRACE, relay_done, relay);
}

/* From HTTP */

static void
path_split(struct path *path, const char *text)
{
	char *at;
	char *save = NULL;

	snprintf(path->text, sizeof(path->text), "%s", text);
	path->count = 0;
	for (at = strtok_r(path->text, "/", &save);
	     at != NULL && path->count < PATH_PARTS;
	     at = strtok_r(NULL, "/", &save))
		path->part[path->count++] = at;
}

/** Equal in a time that does not depend on where they differ. */
static bool
token_equal(const char *a, const char *b)
{
	unsigned char differ = (unsigned char)(strlen(a) != strlen(b));
	size_t len = strlen(b);
	size_t i;

	for (i = 0; i < len; i++)
		differ |= (unsigned char)(b[i] ^ a[i % (strlen(a) + 1)]);
	return differ == 0;
}

/** Whether the caller's token lets it act for a team; "*" for operators. */
static bool
authorized(
    struct gb_entry *entry, const struct http_call *call, const char *team)
{
	char header[256];
	const char *value =
	    http_call_header(call, "authorization", header, sizeof(header));
	bool ok = false;
	unsigned int i;

	if (value == NULL || strncmp(value, "Bearer ", 7) != 0)
		return false;
	for (i = 0; i < entry->settings.tokens.count; i++) {
		const struct gb_token *t = &entry->settings.tokens.item[i];

		if (token_equal(t->token, value + 7) &&
		    (strcmp(t->team, "*") == 0 || strcmp(t->team, team) == 0))
			ok = true;
	}
	return ok;
}

/** Name the caller goes by in the history: its token's team. */
static const char *
caller_name(
    struct gb_entry *entry, const struct http_call *call, const char *team)
{
	char header[256];
	const char *value =
	    http_call_header(call, "authorization", header, sizeof(header));
	unsigned int i;

	for (i = 0; value != NULL && i < entry->settings.tokens.count; i++) {
		const struct gb_token *t = &entry->settings.tokens.item[i];

		if (token_equal(t->token, value + 7))
			return strcmp(t->team, "*") == 0 ? "operator" : t->team;
	}
	return team;
}

static struct relay *
relay_new(struct gb_entry *entry, struct http_call *call, uint32_t proc)
{
	struct relay *relay = gb_calloc(1, sizeof(*relay));
	char text[GB_KEY_MAX + 1];
	const char *value;
	gb_time limit = entry->settings.timeout_ms * GB_MSEC;

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

static void
body_copy(const struct http_call *call, gb_body *out)
{
	out->gb_body_len = (u_int)call->body_len;
	out->gb_body_val = gb_calloc(1, call->body_len);
	memcpy(out->gb_body_val, call->body, call->body_len);
}

static void
serve_request(struct gb_entry *entry, struct http_call *call, const char *team,
    const char *service)
{
	struct relay *relay = relay_new(entry, call, GB_PROC_REQUEST);
	gb_request *req = &relay->arg.request;
	char key[GB_KEY_MAX + 1];
	const char *value =
	    http_call_header(call, "idempotency-key", key, sizeof(key));

	entry->requests++;
	req->team = gb_strdup(team);
	req->service = gb_strdup(service);
	req->key = gb_strdup(value == NULL ? "" : value);
	req->trace = gb_strdup(relay->own);
	body_copy(call, &req->body);
	if (value != NULL && !name_valid(value)) {
		relay_refuse(relay, GB_NOT_RUN, 400, 0,
		    "Idempotency-Key: must be 1 to 63 letters, digits, '-', "
		    "'_' or '.'");
		return;
	}
	relay_send(relay);
}

/** Version that an If-Match header or a query names. */
static bool
version_read(const struct http_call *call, uint64_t *out)
{
	char text[64];
	const char *value =
	    http_call_header(call, "if-match", text, sizeof(text));

	*out = 0;
	if (value != NULL)
		return sscanf(value, "\"%" SCNu64 "\"", out) == 1;
	value = http_call_header(call, "if-none-match", text, sizeof(text));
	if (value != NULL)
		return strcmp(value, "*") == 0;
	return sscanf(call->query, "version=%" SCNu64, out) == 1;
}

static struct relay *
command_new(struct gb_entry *entry, struct http_call *call, gb_verb verb,
    const char *team, const char *name)
{
	struct relay *relay = relay_new(entry, call, GB_PROC_COMMAND);
	gb_command *cmd = &relay->arg.command;

	entry->commands++;
	relay->any_shard = true;
	cmd->verb = verb;
	cmd->team = gb_strdup(team);
	cmd->name = gb_strdup(name);
	cmd->author = gb_strdup(caller_name(entry, call, team));
	body_copy(call, &cmd->body);
	return relay;
}

static void
serve_document(
    struct gb_entry *entry, struct http_call *call, const struct path *path)
{
	bool put = strcmp(call->method, "PUT") == 0;
	bool history = path->count == 6;
	const char *service = path->count >= 5 ? path->part[4] : "";
	struct relay *relay;
	uint64_t vers;
	bool named = version_read(call, &vers);

	if (put && !named) {
		answer_problem(call, 428, GB_NOT_RUN, 0,
		    "If-Match: name the version to replace, or "
		    "If-None-Match: * for a new document");
		return;
	}
	relay = command_new(entry, call,
	    put		       ? GB_VERB_APPLY
	    : history	       ? GB_VERB_HISTORY
	    : path->count == 4 ? GB_VERB_DOCS
			       : GB_VERB_GET,
	    path->part[2], service);
	relay->arg.command.vers = vers;
	relay_send(relay);
}

static void
serve_job(
    struct gb_entry *entry, struct http_call *call, const struct path *path)
{
	const char *team = path->part[2];
	bool list = path->count == 4;
	char made[GB_NAME_MAX + 1];
	const char *name = list ? "" : path->part[4];
	struct relay *relay;
	gb_verb verb = list ? GB_VERB_JOBS : GB_VERB_JOB;

	if (strcmp(call->method, "POST") == 0 && list) {
		snprintf(made, sizeof(made), "job-%016" PRIx64,
		    gb_random_next(&entry->seed));
		name = made;
		verb = GB_VERB_SUBMIT;
	} else if (strcmp(call->method, "PUT") == 0) {
		verb = GB_VERB_SUBMIT;
	} else if (strcmp(call->method, "DELETE") == 0) {
		verb = GB_VERB_CANCEL;
	}
	if (verb == GB_VERB_SUBMIT || verb == GB_VERB_CANCEL)
		http_call_add(call, "gooseberry-job", name);
	relay = command_new(entry, call, verb, team, name);
	relay->any_shard = false;
	relay->gather = verb == GB_VERB_JOBS;
	relay->shard =
	    relay->gather
		? 0
		: gb_shard_of_job(gb_route_shards(entry->route), team, name);
	relay_send(relay);
}

static void
serve_team(
    struct gb_entry *entry, struct http_call *call, const struct path *path)
{
	const char *what = path->count > 3 ? path->part[3] : "";

	if (!name_valid(path->part[2]) ||
	    (path->count > 4 && !name_valid(path->part[4]))) {
		answer_problem(call, 400, GB_NOT_RUN, 0,
		    "names are 1 to 63 letters, digits, '-', '_' or '.'");
	} else if (!authorized(entry, call, path->part[2])) {
		entry->unauthorized++;
		answer_problem(call, 401, GB_NOT_RUN, 0,
		    "the bearer token does not open this team");
	} else if (strcmp(what, "services") == 0 && path->count == 6 &&
		   strcmp(path->part[5], "requests") == 0 &&
		   strcmp(call->method, "POST") == 0) {
		serve_request(entry, call, path->part[2], path->part[4]);
	} else if (strcmp(what, "documents") == 0 && path->count <= 6) {
		serve_document(entry, call, path);
	} else if (strcmp(what, "jobs") == 0 && path->count <= 6) {
		serve_job(entry, call, path);
	} else {
		answer_problem(call, 404, GB_NOT_RUN, 0, "no such path");
	}
}

static void
entry_metrics(struct gb_entry *entry, struct http_call *call)
{
	struct gb_text out = {0};
	const struct gb_counter counters[] = {
	    {"gooseberry_entry_requests_total", "Requests received.",
		entry->requests},
	    {"gooseberry_entry_commands_total", "Commands received.",
		entry->commands},
	    {"gooseberry_entry_refused_total", "Answers with a problem.",
		entry->refused},
	    {"gooseberry_entry_retries_total", "Tries after the first.",
		entry->retries},
	    {"gooseberry_entry_unauthorized_total", "Calls without a token.",
		entry->unauthorized},
	    {"gooseberry_entry_in_flight", "Calls in hand.",
		http_server_in_flight(entry->http)},
	    {"gooseberry_entry_view_age_ms", "Age of the view of the cell.",
		(uint64_t)((gb_clock_boot() - entry->viewed) / GB_MSEC)},
	    {"gooseberry_entry_rpc_bytes_total", "Bytes to schedulers.",
		gb_rpc_pool_bytes(entry->pool)},
	};

	gb_counter_print(
	    &out, counters, sizeof(counters) / sizeof(counters[0]));
	gb_histogram_print(&out, "gooseberry_entry_request_us",
	    "Time of requests in the entry.", &entry->request_us);
	http_call_answer(
	    call, 200, "text/plain; version=0.0.4", out.data, out.len);
	gb_text_free(&out);
}

static void
serve_operator(
    struct gb_entry *entry, struct http_call *call, const struct path *path)
{
	struct relay *relay = NULL;
	const char *what = path->part[1];

	if (!authorized(entry, call, "*")) {
		entry->unauthorized++;
		answer_problem(call, 401, GB_NOT_RUN, 0,
		    "the bearer token is not an operator's");
		return;
	}
	if (strcmp(what, "status") == 0) {
		relay = command_new(entry, call, GB_VERB_STATUS, "", "");
	} else if (strcmp(what, "metrics") == 0) {
		relay = command_new(entry, call, GB_VERB_METRICS, "", "");
	} else if (strcmp(what, "workers") == 0 && path->count == 2) {
		relay = command_new(entry, call, GB_VERB_WORKERS, "", "");
		relay->any_shard = false;
		relay->gather = true;
	} else if (strcmp(what, "workers") == 0 && path->count == 4 &&
		   strcmp(call->method, "POST") == 0) {
		relay = command_new(entry, call,
		    strcmp(path->part[3], "drain") == 0 ? GB_VERB_DRAIN
							: GB_VERB_UNDRAIN,
		    "", path->part[2]);
	}
	if (relay == NULL)
		answer_problem(call, 404, GB_NOT_RUN, 0, "no such path");
	else
		relay_send(relay);
}

static void
entry_handle(void *data, struct http_call *call)
{
	struct gb_entry *entry = data;
	struct path path;

	path_split(&path, call->path);
	if (path.count == 1 && strcmp(path.part[0], "healthz") == 0) {
		bool leaving = entry->stopped != NULL;

		http_call_answer(call, leaving ? 503 : 200, "text/plain",
		    leaving ? "leaving\n" : "ok\n", leaving ? 8 : 3);
	} else if (path.count == 1 && strcmp(path.part[0], "metrics") == 0) {
		entry_metrics(entry, call);
	} else if (path.count < 2 || strcmp(path.part[0], "v1") != 0) {
		answer_problem(call, 404, GB_NOT_RUN, 0, "no such path");
	} else if (http_server_in_flight(entry->http) >
		   (unsigned int)entry->settings.in_flight_limit) {
		entry->refused++;
		answer_problem(call, 503, GB_NOT_RUN, RETRY_AFTER_MS,
		    "too many requests in hand");
	} else if (strcmp(path.part[1], "teams") == 0 && path.count >= 4) {
		serve_team(entry, call, &path);
	} else {
		serve_operator(entry, call, &path);
	}
}

/* View of the cell */

static void
view_done(void *data, gb_verdict verdict, void *res)
{
	struct gb_entry *entry = data;

	entry->viewing = false;
	if (verdict != GB_RUN) {
		entry->view_at++;
		return;
	}
	entry->viewed = gb_clock_boot();
	gb_route_view(entry->route, entry->viewed, res);
}

static void
entry_view_tick(uv_timer_t *timer)
{
	struct gb_entry *entry = timer->data;
	const struct gb_list *scheds = &entry->settings.scheds;
	const char *addr = scheds->item[0];
	gb_beat who = {.member = "", .addr = "", .dc = ""};

	if (entry->viewing)
		return;
	if (entry->view_at % (scheds->count + 1) < scheds->count)
		addr = scheds->item[entry->view_at % (scheds->count + 1)];
	else if (!gb_route_member(
		     entry->route, entry->view_at / (scheds->count + 1), &addr))
		addr = scheds->item[0];
	entry->viewing = true;
	gb_rpc_client_call(gb_rpc_pool_get(entry->pool, addr), GB_PROC_VIEW,
	    &who, VIEW_TIMEOUT, view_done, entry);
}

/* Life */

struct gb_entry *
gb_entry_new(struct uv_loop_s *loop, const struct gb_env *env,
    const struct gb_entry_settings *settings, struct gb_error *err)
{
	struct gb_entry *entry = gb_calloc(1, sizeof(*entry));
	struct gb_dcs dcs;
	unsigned int i;

	entry->loop = loop;
	entry->env = *env;
	entry->settings = *settings;
	if (uv_random(NULL, NULL, &entry->seed, sizeof(entry->seed), 0, NULL) !=
	    0)
		entry->seed = (uint64_t)gb_clock_wall();
	gb_retry_init(&entry->retry, 100, 20000, entry->seed ^ 1);
	dcs.count = settings->dcs.count;
	for (i = 0; i < dcs.count; i++)
		memcpy(dcs.name[i], settings->dcs.item[i], sizeof(dcs.name[i]));
	entry->route = gb_route_new(
	    settings->dc, &dcs, (uint32_t)settings->shards_per_dc, entry->seed);
	entry->pool = gb_rpc_pool_new(loop, &entry->env);
	entry->http = http_server_new(loop, settings->listen,
	    (size_t)settings->body_limit, entry_handle, entry, err);
	if (entry->http == NULL)
		return NULL;
	uv_timer_init(loop, &entry->view_timer);
	entry->view_timer.data = entry;
	uv_timer_start(&entry->view_timer, entry_view_tick, 0,
	    (uint64_t)settings->view_ms);
	return entry;
}

int
gb_entry_port(const struct gb_entry *entry)
{
	return http_server_port(entry->http);
}

void
gb_entry_reload(
    struct gb_entry *entry, const struct gb_entry_settings *settings)
{
	entry->settings.tokens = settings->tokens;
	entry->settings.timeout_ms = settings->timeout_ms;
	entry->settings.in_flight_limit = settings->in_flight_limit;
	entry->settings.trace_per_mille = settings->trace_per_mille;
	entry->settings.log_level = settings->log_level;
}

static void
stop_poll(uv_timer_t *timer)
{
	struct gb_entry *entry = timer->data;

	if (gb_clock_boot() < entry->close_at)
		return;
	http_server_close(entry->http);
	if (http_server_in_flight(entry->http) > 0)
		return;
	uv_timer_stop(timer);
	entry->stopped(entry->stopped_data);
}

void
gb_entry_stop(struct gb_entry *entry, void (*done)(void *), void *data)
{
	entry->stopped = done;
	entry->stopped_data = data;
	entry->close_at =
	    gb_clock_boot() + entry->settings.leave_ms * GB_MSEC;
	http_server_leave(entry->http);
	uv_timer_init(entry->loop, &entry->stop_timer);
	entry->stop_timer.data = entry;
	uv_timer_start(&entry->stop_timer, stop_poll, STOP_POLL_MS,
	    STOP_POLL_MS);
}
