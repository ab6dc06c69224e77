/**
 * @file emulator.c
 * gooseberry-emulator: the users' platform on loopback.  Tables, workers and
 * the advice service have the platform's HTTP API.  A control address accepts
 * faults and reports what the workers have observed.
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "emulator.h"

#define BODY_MAX_BYTES (2 * 1024 * 1024)
/** Ticks between two updates of the list of workers. */
#define LIST_EVERY_TICKS 20
#define RACK_WORKERS 8
#define WORKER_MEMORY_MB 65536
/** Capacity left to a worker that has shrunk. */
#define SHRUNK_PERCENT 25
/** Time until the owner knows of a worker's lower capacity: the platform's
 * bound while no fault affects the store, plus one heartbeat. */
#define SHRINK_GRACE (4500 * GB_MSEC)
/** Time until a lower quota is in force at the owner, even if the store is
 * unavailable for some seconds of it. */
#define QUOTA_GRACE (8 * GB_SEC)

struct emulator emulator = {
    .approved_percent = 60, .ticket_valid = 2 * GB_SEC, .decide_ms = 20};

static struct {
	const char *store;
	const char *advice;
	const char *control;
	unsigned int workers;
	unsigned int worker_port;
	unsigned int cpu;
} options = {.workers = 12, .cpu = 16000};

gb_time
emu_now(const struct emulator *emu)
{
	return gb_clock_boot() - emu->began;
}

bool
emu_chance(struct emulator *emu, unsigned int percent)
{
	return percent > 0 && gb_random_next(&emu->seed) % 100 < percent;
}

void
emu_answer(struct http_call *call, unsigned int status, json_t *message)
{
	size_t len;
	char *text = plat_json_text(message, &len);

	http_call_answer(call, status, "application/json", text, len);
	free(text);
}

struct later {
	uv_timer_t timer;
	void (*run)(void *);
	void *data;
};

static void
on_later(uv_timer_t *timer)
{
	struct later *later = timer->data;

	later->run(later->data);
	uv_close((uv_handle_t *)timer, (uv_close_cb)free);
}

void
emu_later(
    struct emulator *emu, unsigned int ms, void (*run)(void *), void *data)
{
	struct later *later = gb_calloc(1, sizeof(*later));

	later->run = run;
	later->data = data;
	uv_timer_init(emu->loop, &later->timer);
	later->timer.data = later;
	uv_timer_start(&later->timer, on_later, ms, 0);
}

struct late_answer {
	struct http_call *call;
	unsigned int status;
	json_t *message;
};

static void
answer_late(void *data)
{
	struct late_answer *answer = data;

	emu_answer(answer->call, answer->status, answer->message);
	free(answer);
}

void
emu_answer_later(struct emulator *emu, struct http_call *call,
    unsigned int status, json_t *message, unsigned int ms)
{
	struct late_answer *answer;

	if (ms == 0) {
		emu_answer(call, status, message);
		return;
	}
	answer = gb_calloc(1, sizeof(*answer));
	answer->call = call;
	answer->status = status;
	answer->message = message;
	emu_later(emu, ms, answer_late, answer);
}

void
emu_query(
    const struct http_call *call, const char *name, char *out, size_t size)
{
	const char *at = call->query;
	size_t len = strlen(name);

	out[0] = '\0';
	while (at != NULL && at[0] != '\0') {
		if (strncmp(at, name, len) == 0 && at[len] == '=') {
			snprintf(out, size, "%.*s",
			    (int)strcspn(at + len + 1, "&"), at + len + 1);
			return;
		}
		at = strchr(at, '&');
		at = at == NULL ? NULL : at + 1;
	}
}

/* Control ----------------------------------------------------------------- */

static unsigned int
query_number(const struct http_call *call, const char *name)
{
	char text[32];

	emu_query(call, name, text, sizeof(text));
	return (unsigned int)strtoul(text, NULL, 10);
}

static void
control_store(struct emulator *emu, struct http_call *call)
{
	char mode[16];

	emu_query(call, "mode", mode, sizeof(mode));
	emu->faults.store = strcmp(mode, "busy") == 0	  ? EMU_STORE_BUSY
			    : strcmp(mode, "silent") == 0 ? EMU_STORE_SILENT
							  : EMU_STORE_SERVES;
	emu->faults.store_partitions = query_number(call, "parts");
	emu->faults.store_slow_ms = query_number(call, "slow_ms");
	emu->faults.store_lost = query_number(call, "lost");
	emu->faults.store_late = query_number(call, "late");
	if (query_number(call, "compact") > 0)
		emu_store_compact(emu);
	if (query_number(call, "lapse") > 0)
		emu_worker_entries_expire(emu);
	emu_answer(call, 200, json_object());
}

static void
control_orders(struct emulator *emu, struct http_call *call)
{
	emu->faults.orders_lost = query_number(call, "lost");
	emu->faults.orders_late = query_number(call, "late");
	emu_answer(call, 200, json_object());
}

/** Move the time of day, which workers report as their start time. */
static void
control_clock(struct emulator *emu, struct http_call *call)
{
	char value[32];

	emu_query(call, "step_ms", value, sizeof(value));
	world_clock_step(emu->world, strtoll(value, NULL, 10) * GB_MSEC);
	emu_answer(call, 200, json_object());
}

/** Set the organisations' quotas of a configuration in the oracle. */
static void
control_quotas(struct emulator *emu, const char *text)
{
	struct gb_pool_config *config = plat_config_decode(text, strlen(text));
	size_t i;

	for (i = 0; config != NULL && i < config->org_count; i++)
		world_org_quota(
		    emu->world, config->orgs[i].name, &config->orgs[i].quota);
	gb_pool_config_unref(config);
}

static void
control_config(struct emulator *emu, struct http_call *call)
{
	char *text = gb_calloc(1, call->body_len + 1);

	memcpy(text, call->body, call->body_len);
	emu_store_put(emu, "op", "config", text);
	control_quotas(emu, text);
	free(text);
	emu_answer(call, 200, json_object());
}

/** Set a worker's capacity to a percentage of the full one. */
static void
worker_resize(
    struct emulator *emu, const struct emu_worker *worker, unsigned int percent)
{
	const gb_res capacity = {.cpu = (int)(options.cpu * percent / 100),
	    .mem = (int)(WORKER_MEMORY_MB * percent / 100)};

	world_worker_resize(emu->world, worker->number, &capacity);
}

static void
worker_fault(struct emulator *emu, struct emu_worker *worker, const char *what)
{
	if (strcmp(what, "crash") == 0) {
		world_worker_crash(emu->world, worker->number);
	} else if (strcmp(what, "reborn") == 0) {
		world_worker_replace(emu->world, worker->number);
	} else if (strcmp(what, "restart") == 0) {
		world_worker_restart(emu->world, worker->number);
	} else if (strcmp(what, "drain") == 0) {
		world_worker_drain(emu->world, worker->number);
	} else if (strcmp(what, "shrunk") == 0) {
		worker_resize(emu, worker, SHRUNK_PERCENT);
	} else if (strcmp(what, "whole") == 0) {
		worker_resize(emu, worker, 100);
	} else if (strcmp(what, "spoiled") == 0) {
		worker->entry_error = 1 + worker->number % EMU_ENTRY_ERRORS;
	} else if (strcmp(what, "sound") == 0) {
		worker->entry_error = 0;
	} else {
		world_worker_impair(emu->world, worker->number,
		    strcmp(what, "failing") == 0, strcmp(what, "still") == 0);
	}
}

static void
control_worker(struct emulator *emu, struct http_call *call, const char *rest)
{
	char what[16] = "";
	unsigned int number;

	if (sscanf(rest, "%u/%15s", &number, what) != 2 ||
	    number >= emu->worker_count) {
		emu_answer(call, 400, json_object());
		return;
	}
	worker_fault(emu, &emu->workers[number], what);
	emu_answer(call, 200, json_object());
}

static void
control_flow(struct emulator *emu, struct http_call *call, const char *id)
{
	char org[GB_NAME_MAX + 1];
	struct world_flow_view view;
	struct gb_error err = {0};
	gb_flow flow = {0};

	if (strcmp(call->method, "GET") == 0) {
		if (!world_flow_view(emu->world, id, &view))
			emu_answer(call, 404, json_object());
		else
			emu_answer(call, 200,
			    json_pack("{s:i, s:i, s:b, s:b, s:b}", "starts",
				(int)view.starts, "running", (int)view.running,
				"done", view.done, "failed",
				view.failed || view.crashed, "crashes",
				view.crashes));
		return;
	}
	if (!plat_flow_decode(call->body, call->body_len, &flow, &err)) {
		xdr_free((xdrproc_t)xdr_gb_flow, (char *)&flow);
		emu_answer(call, 400, json_pack("{s:s}", "why", err.text));
		return;
	}
	flow.id = gb_strdup(id);
	flow.queue = gb_strdup("");
	flow.service = gb_strdup("");
	emu_query(call, "org", org, sizeof(org));
	flow.org = gb_strdup(org);
	world_flow_add(emu->world, &flow, query_number(call, "attempts"));
	xdr_free((xdrproc_t)xdr_gb_flow, (char *)&flow);
	emu_answer(call, 200, json_object());
}

static void
control_report(struct emulator *emu, struct http_call *call)
{
	const struct world_violations *violations =
	    world_violations(emu->world);

	emu_answer(call, 200,
	    json_pack("{s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:s}", "twice",
		(int)violations->twice, "limit", (int)violations->limit,
		"order", (int)violations->order, "budget",
		(int)violations->budget, "spread", (int)violations->spread,
		"quota", (int)violations->quota, "alone",
		(int)violations->incomplete, "ticket", (int)violations->ticket,
		"first", violations->text));
}

static void
serve_control(void *data, struct http_call *call)
{
	struct emulator *emu = data;

	if (strncmp(call->path, "/worker/", 8) == 0)
		control_worker(emu, call, call->path + 8);
	else if (strncmp(call->path, "/flow/", 6) == 0)
		control_flow(emu, call, call->path + 6);
	else if (strcmp(call->path, "/store") == 0)
		control_store(emu, call);
	else if (strcmp(call->path, "/orders") == 0)
		control_orders(emu, call);
	else if (strcmp(call->path, "/clock") == 0)
		control_clock(emu, call);
	else if (strcmp(call->path, "/config") == 0)
		control_config(emu, call);
	else if (strcmp(call->path, "/report") == 0)
		control_report(emu, call);
	else
		emu_answer(call, 404, json_object());
}

/* Program ----------------------------------------------------------------- */

/** Update which workers are down.  Workers that a task crashed are replaced by
 * the model. */
static void
workers_poll(struct emulator *emu)
{
	unsigned int i;

	for (i = 0; i < emu->worker_count; i++) {
		struct emu_worker *worker = &emu->workers[i];
		bool down = !world_worker_up(emu->world, i);

		if (down && !worker->down)
			worker->down_at = emu_now(emu);
		worker->down = down;
	}
}

static void
on_tick(uv_timer_t *timer)
{
	static unsigned int ticks;
	struct emulator *emu = timer->data;

	world_tick(emu->world, emu_now(emu));
	workers_poll(emu);
	emu_worker_tick(emu);
	if (ticks++ % LIST_EVERY_TICKS == 0)
		emu_worker_list(emu);
	emu_store_tick(emu);
}

static bool
workers_listen(struct emulator *emu, struct gb_error *err)
{
	const gb_res capacity = {
	    .cpu = (int)options.cpu, .mem = WORKER_MEMORY_MB, .slots = 0};
	char addr[GB_NAME_MAX + 1];
	unsigned int i;

	emu->worker_count = options.workers;
	emu->workers = gb_calloc(emu->worker_count, sizeof(*emu->workers));
	for (i = 0; i < emu->worker_count; i++) {
		emu->workers[i].number = i;
		world_worker_add(emu->world, emu->service, "dc-a",
		    i / RACK_WORKERS, &capacity, 1.0);
		snprintf(addr, sizeof(addr), "worker-%u", i);
		world_worker_set_addr(emu->world, i, addr);
		snprintf(addr, sizeof(addr), "127.0.0.1:%u",
		    options.worker_port + i);
		emu->workers[i].server = http_server_new(emu->loop, addr,
		    BODY_MAX_BYTES, emu_worker_serve, &emu->workers[i], err);
		if (emu->workers[i].server == NULL)
			return false;
	}
	return true;
}

static bool
emulator_start(struct emulator *emu, struct gb_error *err)
{
	emu->loop = uv_default_loop();
	emu->began = gb_clock_boot();
	emu->world = world_new(emu->seed);
	world_shrink_grace_set(emu->world, SHRINK_GRACE);
	world_quota_grace_set(emu->world, QUOTA_GRACE);
	if (!workers_listen(emu, err))
		return false;
	if (http_server_new(emu->loop, options.store, BODY_MAX_BYTES,
		emu_store_serve, emu, err) == NULL ||
	    http_server_new(emu->loop, options.advice, BODY_MAX_BYTES,
		emu_advice_serve, emu, err) == NULL ||
	    http_server_new(emu->loop, options.control, BODY_MAX_BYTES,
		serve_control, emu, err) == NULL)
		return false;
	uv_timer_init(emu->loop, &emu->tick);
	emu->tick.data = emu;
	uv_timer_start(&emu->tick, on_tick, 0, EMU_TICK_MS);
	return true;
}

static const struct argp_option option_table[] = {
    {"store", 's', "ADDR", 0, "Where the tables listen", 0},
    {"advice", 'a', "ADDR", 0, "Where the advice service listens", 0},
    {"control", 'c', "ADDR", 0, "Where faults are taken in", 0},
    {"workers", 'w', "N", 0, "Number of workers (12)", 0},
    {"worker-port", 'p', "PORT", 0, "Port of the first worker", 0},
    {"listed-port", 'l', "PORT", 0,
	"Port of the first worker as it is listed, if there is a proxy", 0},
    {"cpu", 'u', "N", 0, "Thousandths of a core of a worker (16000)", 0},
    {"approved", 'A', "N", 0, "Percent of workers that may run a step (60)", 0},
    {"seed", 'r', "N", 0, "Seed of what is random", 0},
    {0},
};

static error_t
option_parse(int key, char *arg, struct argp_state *state)
{
	switch (key) {
	case 's':
		options.store = arg;
		return 0;
	case 'a':
		options.advice = arg;
		return 0;
	case 'c':
		options.control = arg;
		return 0;
	case 'w':
		options.workers = (unsigned int)strtoul(arg, NULL, 10);
		return 0;
	case 'p':
		options.worker_port = (unsigned int)strtoul(arg, NULL, 10);
		return 0;
	case 'l':
		emulator.listed_port = (unsigned int)strtoul(arg, NULL, 10);
		return 0;
	case 'u':
		options.cpu = (unsigned int)strtoul(arg, NULL, 10);
		return 0;
	case 'A':
		emulator.approved_percent =
		    (unsigned int)strtoul(arg, NULL, 10);
		return 0;
	case 'r':
		emulator.seed = strtoull(arg, NULL, 10);
		return 0;
	case ARGP_KEY_END:
		if (options.store == NULL || options.advice == NULL ||
		    options.control == NULL || options.worker_port == 0)
			argp_usage(state);
		if (emulator.listed_port == 0)
			emulator.listed_port = options.worker_port;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
main(int argc, char **argv)
{
	static const struct argp argp = {option_table, option_parse, NULL,
	    "The users' platform on loopback, for tests.", NULL, NULL, NULL};
	struct gb_error err = {0};

	signal(SIGPIPE, SIG_IGN);
	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	snprintf(emulator.service, sizeof(emulator.service), "pool");
	if (!emulator_start(&emulator, &err)) {
		fprintf(stderr, "gooseberry-emulator: %s\n", err.text);
		return EXIT_FAILURE;
	}
	puts("listening");
	fflush(stdout);
	uv_run(emulator.loop, UV_RUN_DEFAULT);
	return EXIT_SUCCESS;
}
