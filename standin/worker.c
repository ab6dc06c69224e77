/**
 * @file worker.c
 * gooseberry-standin-worker: stands in for a worker of the platform in tests
 * and the demo.  It logs what it runs in a ledger file that the demo reads.
 */
#include <argp.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "standin.h"
#include "worker_model.h"

/** Interval of checks for tasks that end. */
#define TICK_MS 5

static struct {
	uv_loop_t loop;
	uv_timer_t tick;
	struct worker_model *model;
	struct gb_rpc_pool *pool;
	FILE *ledger;
	const char *listen;
	const char *store;
	const char *name;
	const char *dc;
	const char *rack;
	const char *pool_name;
	gb_res capacity;
	int service_ms; /**< duration of each request */
	char addr[GB_NAME_MAX + 1];
} worker = {.listen = "127.0.0.1:0",
    .dc = "dc",
    .rack = "rack",
    .pool_name = "",
    .capacity = {16000, 65536, 0, 8, 60}};

static void
ledger_write(void *data, enum worker_event event, const gb_task_id *id,
    const gb_exec *exec)
{
	static const char *const names[] = {"start", "end", "stop", "exec"};

	(void)data;
	if (worker.ledger == NULL)
		return;
	if (exec != NULL) {
		fprintf(worker.ledger, "exec %s/%s %d %.*s\n", exec->team,
		    exec->service, exec->idempotent,
		    (int)(exec->body.gb_body_len < 64 ? exec->body.gb_body_len
						      : 64),
		    exec->body.gb_body_val);
	} else {
		fprintf(worker.ledger,
		    "%s %016" PRIx64 " %" PRIu32 " %" PRIu32 "\n", names[event],
		    id->job, id->index, id->attempt);
	}
	fflush(worker.ledger);
}

static void
exec_end(struct standin_reply *reply)
{
	worker_model_exec_end(worker.model, reply->owner, reply->rid);
}

static void
serve_exec(struct gb_rpc_call *call, const gb_exec *exec)
{
	gb_exec_res *res = gb_calloc(1, sizeof(*res));
	struct standin_reply *reply;

	if (!worker_model_exec(worker.model, gb_clock_boot(), exec)) {
		res->verdict = GB_NOT_RUN;
		standin_reply_later(
		    &worker.loop, call, GB_PROC_EXEC, res, 0, NULL, NULL);
		return;
	}
	res->verdict = GB_RUN;
	res->status = 200;
	gb_xdr_copy(
	    (xdrproc_t)xdr_gb_body, &exec->body, &res->body, sizeof(res->body));
	reply = standin_reply_later(&worker.loop, call, GB_PROC_EXEC, res,
	    (uint64_t)worker.service_ms, exec_end, NULL);
	reply->owner = exec->owner;
	reply->rid = exec->rid;
}

static void
serve_fault(struct gb_rpc_call *call, const gb_command *cmd)
{
	struct gb_text text = {0};
	json_t *root =
	    json_loadb(cmd->body.gb_body_val, cmd->body.gb_body_len, 0, NULL);
	json_t *fail = json_object_get(root, "fail_all");
	gb_res load = worker_model_load(worker.model);

	if (json_is_integer(fail))
		worker_model_fail_all(
		    worker.model, json_integer_value(fail) != 0);
	json_decref(root);
	gb_text_add(
	    &text, "{\"slots\": %d, \"cpu\": %d}\n", load.slots, load.cpu);
	standin_answer(call, 200, &text);
}

static void
serve(void *data, struct gb_rpc_call *call, uint32_t proc, void *arg)
{
	gb_sync_res res;

	(void)data;
	switch (proc) {
	case GB_PROC_SYNC:
		worker_model_sync(worker.model, gb_clock_boot(), arg, &res);
		gb_rpc_call_reply(call, &res);
		xdr_free((xdrproc_t)xdr_gb_sync_res, (char *)&res);
		break;
	case GB_PROC_EXEC:
		serve_exec(call, arg);
		break;
	case GB_PROC_FAULT:
		serve_fault(call, arg);
		break;
	default:
		gb_rpc_call_refuse(call);
		break;
	}
}

static void
tick(uv_timer_t *timer)
{
	(void)timer;
	worker_model_tick(worker.model, gb_clock_boot());
}

static void
registered(void *data, gb_verdict verdict, void *res)
{
	(void)data;
	(void)res;
	if (verdict != GB_RUN)
		fprintf(stderr, "%s: cannot register\n", worker.name);
}

/** Add this worker to the store's list of instances. */
static void
worker_register(void)
{
	struct gb_text text = {0};
	gb_command cmd = {.team = "", .name = "", .author = ""};

	gb_text_add(&text,
	    "{\"instance\": {\"name\": \"%s\", \"addr\": \"%s\", "
	    "\"dc\": \"%s\", \"rack\": \"%s\", \"pool\": \"%s\", "
	    "\"cpu\": %d, \"mem\": %d, \"accel\": %d, \"slots\": %d, "
	    "\"conns\": %d, \"state\": 0}}",
	    worker.name, worker.addr, worker.dc, worker.rack, worker.pool_name,
	    worker.capacity.cpu, worker.capacity.mem, worker.capacity.accel,
	    worker.capacity.slots, worker.capacity.conns);
	cmd.verb = GB_VERB_STATUS;
	cmd.body.gb_body_val = text.data;
	cmd.body.gb_body_len = (u_int)text.len;
	gb_rpc_client_call(gb_rpc_pool_get(worker.pool, worker.store),
	    GB_PROC_FAULT, &cmd, GB_SEC, registered, NULL);
	gb_text_free(&text);
}

static error_t
option_parse(int key, char *arg, struct argp_state *state)
{
	switch (key) {
	case 'l':
		worker.listen = arg;
		return 0;
	case 's':
		worker.store = arg;
		return 0;
	case 'n':
		worker.name = arg;
		return 0;
	case 'd':
		worker.dc = arg;
		return 0;
	case 'r':
		worker.rack = arg;
		return 0;
	case 'p':
		worker.pool_name = arg;
		return 0;
	case 'm':
		worker.service_ms = atoi(arg);
		return 0;
	case 'L':
		worker.ledger = fopen(arg, "a");
		return 0;
	case ARGP_KEY_END:
		if (worker.name == NULL || worker.store == NULL)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
main(int argc, char **argv)
{
	static const struct argp_option options[] = {
	    {"listen", 'l', "IP:PORT", 0, "Where to listen", 0},
	    {"store", 's', "IP:PORT", 0, "The stand-in store", 0},
	    {"name", 'n', "NAME", 0, "Name of this worker", 0},
	    {"dc", 'd', "DC", 0, "Its data centre", 0},
	    {"rack", 'r', "RACK", 0, "Its rack", 0},
	    {"pool", 'p', "POOL", 0, "Its pool", 0},
	    {"service-ms", 'm', "MS", 0, "Time a request takes", 0},
	    {"ledger", 'L', "FILE", 0, "What it runs goes here", 0}, {0}};
	static const struct argp argp = {options, option_parse, NULL,
	    "Stands in for a worker of the platform.", NULL, NULL, NULL};
	static const struct gb_env env = {gb_logger_line, NULL, NULL, NULL};
	struct gb_error err = {0};
	struct gb_rpc_server *server;
	uint64_t incarnation = 0;

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	signal(SIGPIPE, SIG_IGN);
	uv_loop_init(&worker.loop);
	uv_random(NULL, NULL, &incarnation, sizeof(incarnation), 0, NULL);
	worker.model = worker_model_new(
	    incarnation | 1, &worker.capacity, ledger_write, NULL);
	server = gb_rpc_server_new(
	    &worker.loop, &env, worker.listen, serve, NULL, &err);
	if (server == NULL) {
		fprintf(stderr, "%s\n", err.text);
		return EXIT_FAILURE;
	}
	snprintf(worker.addr, sizeof(worker.addr), "%.*s:%d",
	    (int)(strrchr(worker.listen, ':') - worker.listen), worker.listen,
	    gb_rpc_server_port(server));
	printf("listening %d\n", gb_rpc_server_port(server));
	fflush(stdout);
	worker.pool = gb_rpc_pool_new(&worker.loop, &env);
	worker_register();
	uv_timer_init(&worker.loop, &worker.tick);
	uv_timer_start(&worker.tick, tick, TICK_MS, TICK_MS);
	return uv_run(&worker.loop, UV_RUN_DEFAULT);
}
