/**
 * @file entry.c
 * The entry process: authorizes HTTP calls, picks a shard and relays the call
 * to its owner and the answer back.  It has no durable state.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "process/core.h"
#include "process/entry.h"

#define VIEW_TIMEOUT GB_SEC
/** Segments of a path that are parsed; further ones are ignored. */
#define PATH_SEGMENTS 8
#define STOP_POLL_MS 20
/** Retry budget of an entry: one retry for ten first tries, and at most twenty
 * at once.  In thousandths of a retry. */
#define RETRY_CREDIT_PER_TRY 100
#define RETRY_CREDIT_MAX 20000

/** Segments of an HTTP path. */
struct path {
	char text[512];
	const char *segment[PATH_SEGMENTS];
	unsigned int count;
};

/* HTTP calls */

static void
path_split(struct path *path, const char *text)
{
	char *at;
	char *save = NULL;

	snprintf(path->text, sizeof(path->text), "%s", text);
	path->count = 0;
	for (at = strtok_r(path->text, "/", &save);
	     at != NULL && path->count < PATH_SEGMENTS;
	     at = strtok_r(NULL, "/", &save))
		path->segment[path->count++] = at;
}

/** Compare in a time that does not depend on where the strings differ. */
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

/** Whether the caller's bearer token is valid for a team, or is an operator's;
 * team "*" asks for an operator's. */
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

/** Name of the caller in the history of documents: the team of its token, or
 * "operator". */
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
	relay_start(relay);
}

/** Read the version that an If-Match header or the query names; 0 for
 * If-None-Match: *.  Returns false if there is none. */
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

/** Relay of a command, at first one that every scheduler can serve. */
static struct relay *
command_new(struct gb_entry *entry, struct http_call *call, gb_verb verb,
    const char *team, const char *name)
{
	struct relay *relay = relay_new(entry, call, GB_PROC_COMMAND);
	gb_command *cmd = &relay->arg.command;

	entry->commands++;
	relay->any_sched = true;
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
	const char *service = path->count >= 5 ? path->segment[4] : "";
	struct relay *relay;
	uint64_t vers;
	bool has_version = version_read(call, &vers);

	if (put && !has_version) {
		relay_problem(call, 428, GB_NOT_RUN, 0,
		    "If-Match: name the version to replace, or "
		    "If-None-Match: * for a new document");
		return;
	}
	relay = command_new(entry, call,
	    put		       ? GB_VERB_APPLY
	    : history	       ? GB_VERB_HISTORY
	    : path->count == 4 ? GB_VERB_DOCS
			       : GB_VERB_GET,
	    path->segment[2], service);
	relay->arg.command.vers = vers;
	relay_start(relay);
}

static void
serve_job(
    struct gb_entry *entry, struct http_call *call, const struct path *path)
{
	const char *team = path->segment[2];
	bool list = path->count == 4;
	char generated[GB_NAME_MAX + 1];
	const char *name = list ? "" : path->segment[4];
	struct relay *relay;
	gb_verb verb = list ? GB_VERB_JOBS : GB_VERB_JOB;

	if (strcmp(call->method, "POST") == 0 && list) {
		snprintf(generated, sizeof(generated), "job-%016" PRIx64,
		    gb_random_next(&entry->seed));
		name = generated;
		verb = GB_VERB_SUBMIT;
	} else if (strcmp(call->method, "PUT") == 0) {
		verb = GB_VERB_SUBMIT;
	} else if (strcmp(call->method, "DELETE") == 0) {
		verb = GB_VERB_CANCEL;
	}
	if (verb == GB_VERB_SUBMIT || verb == GB_VERB_CANCEL)
		http_call_add_header(call, "gooseberry-job", name);
	relay = command_new(entry, call, verb, team, name);
	relay->any_sched = false;
	relay->gather = verb == GB_VERB_JOBS;
	relay->shard = relay->gather
			   ? 0
			   : gb_shard_of_job(gb_route_shard_count(entry->route),
				 team, name);
	relay_start(relay);
}

static void
serve_team(
    struct gb_entry *entry, struct http_call *call, const struct path *path)
{
	const char *what = path->count > 3 ? path->segment[3] : "";

	if (!name_valid(path->segment[2]) ||
	    (path->count > 4 && !name_valid(path->segment[4]))) {
		relay_problem(call, 400, GB_NOT_RUN, 0,
		    "names are 1 to 63 letters, digits, '-', '_' or '.'");
	} else if (!authorized(entry, call, path->segment[2])) {
		entry->unauthorized++;
		relay_problem(call, 401, GB_NOT_RUN, 0,
		    "the bearer token does not open this team");
	} else if (strcmp(what, "services") == 0 && path->count == 6 &&
		   strcmp(path->segment[5], "requests") == 0 &&
		   strcmp(call->method, "POST") == 0) {
		serve_request(entry, call, path->segment[2], path->segment[4]);
	} else if (strcmp(what, "documents") == 0 && path->count <= 6) {
		serve_document(entry, call, path);
	} else if (strcmp(what, "jobs") == 0 && path->count <= 6) {
		serve_job(entry, call, path);
	} else {
		relay_problem(call, 404, GB_NOT_RUN, 0, "no such path");
	}
}

static void
entry_metrics(struct gb_entry *entry, struct http_call *call)
{
	struct gb_text out = {0};
	const struct gb_usage used = gb_usage_read();
	const struct conn_counts *limited = http_server_counts(entry->http);
	const struct gb_counter counters[] = {
	    {"gooseberry_entry_requests_total", "Requests received.",
		entry->requests},
	    {"gooseberry_entry_commands_total", "Commands received.",
		entry->commands},
	    {"gooseberry_entry_refused_total", "Answers with a problem.",
		entry->refused},
	    {"gooseberry_entry_retries_total", "Tries after the first.",
		entry->retries},
	    {"gooseberry_entry_hedges_total",
		"Second tries beside one that took long.", entry->hedges},
	    {"gooseberry_entry_unauthorized_total", "Calls without a token.",
		entry->unauthorized},
	    {"gooseberry_entry_closed_for_new_total",
		"Connections closed for newer ones.", limited->closed_for_new},
	    {"gooseberry_entry_closed_for_memory_total",
		"Connections closed as requests held too much memory.",
		limited->closed_for_bytes},
	    {"gooseberry_entry_in_flight", "Calls in hand.",
		http_server_in_flight(entry->http)},
	    {"gooseberry_entry_view_age_ms", "Age of the view of the cell.",
		(uint64_t)((gb_clock_boot() - entry->view_received) / GB_MSEC)},
	    {"gooseberry_process_cpu_us_total",
		"Processor time of the process.", used.cpu_us},
	    {"gooseberry_process_memory_bytes",
		"Resident memory of the process.", used.memory},
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
	const char *what = path->segment[1];

	if (!authorized(entry, call, "*")) {
		entry->unauthorized++;
		relay_problem(call, 401, GB_NOT_RUN, 0,
		    "the bearer token is not an operator's");
		return;
	}
	if (strcmp(what, "status") == 0) {
		relay = command_new(entry, call, GB_VERB_STATUS, "", "");
	} else if (strcmp(what, "metrics") == 0) {
		relay = command_new(entry, call, GB_VERB_METRICS, "", "");
	} else if (strcmp(what, "workers") == 0 && path->count == 2) {
		relay = command_new(entry, call, GB_VERB_WORKERS, "", "");
		relay->any_sched = false;
		relay->gather = true;
	} else if (strcmp(what, "workers") == 0 && path->count == 4 &&
		   strcmp(call->method, "POST") == 0) {
		relay = command_new(entry, call,
		    strcmp(path->segment[3], "drain") == 0 ? GB_VERB_DRAIN
							   : GB_VERB_UNDRAIN,
		    "", path->segment[2]);
	}
	if (relay == NULL)
		relay_problem(call, 404, GB_NOT_RUN, 0, "no such path");
	else
		relay_start(relay);
}

static void
entry_handle(void *data, struct http_call *call)
{
	struct gb_entry *entry = data;
	struct path path;

	path_split(&path, call->path);
	if (path.count == 1 && strcmp(path.segment[0], "healthz") == 0) {
		bool leaving = entry->stopped != NULL;

		http_call_answer(call, leaving ? 503 : 200, "text/plain",
		    leaving ? "leaving\n" : "ok\n", leaving ? 8 : 3);
	} else if (path.count == 1 && strcmp(path.segment[0], "metrics") == 0) {
		entry_metrics(entry, call);
	} else if (path.count < 2 || strcmp(path.segment[0], "v1") != 0) {
		relay_problem(call, 404, GB_NOT_RUN, 0, "no such path");
	} else if (call->over_limit ||
		   http_server_in_flight(entry->http) >
		       (unsigned int)entry->settings.in_flight_limit) {
		entry->refused++;
		relay_problem(call, 503, GB_NOT_RUN, RETRY_AFTER_MS,
		    "too many requests in hand");
	} else if (strcmp(path.segment[1], "teams") == 0 && path.count >= 4) {
		serve_team(entry, call, &path);
	} else {
		serve_operator(entry, call, &path);
	}
}

/* View of the cell */

/** End of a call for a view.  If it failed, the next call asks another
 * scheduler. */
static void
view_done(void *data, gb_verdict verdict, void *res)
{
	struct gb_entry *entry = data;

	entry->view_pending = false;
	if (verdict != GB_RUN) {
		entry->view_next++;
		return;
	}
	entry->view_received = gb_clock_boot();
	gb_route_apply_view(entry->route, entry->view_received, res);
}

/** Ask a scheduler for its view: one of the settings, or after each round of
 * them one that an earlier view named. */
static void
entry_view_tick(uv_timer_t *timer)
{
	struct gb_entry *entry = timer->data;
	const struct gb_list *scheds = &entry->settings.scheds;
	const char *addr = scheds->item[0];
	gb_beat arg = {.member = "", .addr = "", .dc = ""};

	if (entry->view_pending)
		return;
	if (entry->view_next % (scheds->count + 1) < scheds->count)
		addr = scheds->item[entry->view_next % (scheds->count + 1)];
	else if (!gb_route_member_addr(entry->route,
		     entry->view_next / (scheds->count + 1), &addr))
		addr = scheds->item[0];
	entry->view_pending = true;
	gb_rpc_client_call(gb_rpc_pool_get(entry->pool, addr), GB_PROC_VIEW,
	    &arg, VIEW_TIMEOUT, view_done, entry);
}

/* Start and stop */

static void
entry_limited(void *data, const struct conn_counts *counts)
{
	struct gb_entry *entry = data;

	gb_env_log(&entry->env, GB_LOG_WARNING, "entry",
	    "Closed %llu connections for newer ones and %llu for memory, "
	    "refused %llu requests.",
	    (unsigned long long)counts->closed_for_new,
	    (unsigned long long)counts->closed_for_bytes,
	    (unsigned long long)counts->refused);
}

struct gb_entry *
gb_entry_new(struct uv_loop_s *loop, const struct gb_env *env,
    const struct gb_entry_settings *settings, struct gb_error *err)
{
	const struct conn_limits limits = {(unsigned int)settings->callers,
	    (size_t)settings->callers_mb * 1024 * 1024};
	struct gb_entry *entry = gb_calloc(1, sizeof(*entry));
	struct gb_dcs dcs;
	unsigned int i;

	entry->loop = loop;
	entry->env = *env;
	entry->settings = *settings;
	if (uv_random(NULL, NULL, &entry->seed, sizeof(entry->seed), 0, NULL) !=
	    0)
		entry->seed = (uint64_t)gb_clock_wall();
	gb_retry_init(&entry->retry, RETRY_CREDIT_PER_TRY, RETRY_CREDIT_MAX,
	    entry->seed ^ 1);
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
	http_server_set_limits(entry->http, &limits, entry_limited, entry);
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

/** Close a leaving entry once leave_ms have passed, and call stopped when its
 * last call has been answered. */
static void
stop_poll(uv_timer_t *timer)
{
	struct gb_entry *entry = timer->data;

	if (gb_clock_boot() < entry->accept_until)
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
	entry->accept_until =
	    gb_clock_boot() + entry->settings.leave_ms * GB_MSEC;
	http_server_leave(entry->http);
	uv_timer_init(entry->loop, &entry->stop_timer);
	entry->stop_timer.data = entry;
	uv_timer_start(
	    &entry->stop_timer, stop_poll, STOP_POLL_MS, STOP_POLL_MS);
}
