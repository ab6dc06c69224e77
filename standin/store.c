/**
 * @file store.c
 * gooseberry-standin-store: stands in for the platform's table service and list
 * of instances in tests and the demo.
 */
#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "standin.h"
#include "store_model.h"

#define INSTANCES_MAX 4096

static struct {
	uv_loop_t loop;
	struct store_model *model;
	gb_instance instances[INSTANCES_MAX];
	u_int instance_count;
	const char *listen;
	int down;    /**< refuse every operation */
	int hang;    /**< neither carry out nor answer operations */
	int slow_ms; /**< delay of every answer */
	int lose;    /**< number of writes to apply without an answer */
	uint64_t reads;
} store = {.listen = "127.0.0.1:0"};

static void
reply(struct gb_rpc_call *call, uint32_t proc, void *res)
{
	standin_reply_later(
	    &store.loop, call, proc, res, (uint64_t)store.slow_ms, NULL, NULL);
}

static void
serve_txn(struct gb_rpc_call *call, const gb_txn *txn)
{
	gb_txn_res *res = gb_calloc(1, sizeof(*res));

	if (store.down)
		res->status = GB_STORE_REFUSED;
	else
		store_model_txn(store.model, txn, res);
	if (store.lose > 0 && !store.down) {
		store.lose--;
		free(res);
		return;
	}
	reply(call, GB_PROC_TXN, res);
}

static void
serve_scan(struct gb_rpc_call *call, const gb_scan *scan)
{
	gb_scan_res *res = gb_calloc(1, sizeof(*res));

	store.reads++;
	if (store.down)
		res->status = GB_STORE_REFUSED;
	else
		store_model_scan(store.model, scan, res);
	reply(call, GB_PROC_SCAN, res);
}

static void
serve_instances(struct gb_rpc_call *call)
{
	gb_instance_list list;

	list.list.list_len = store.instance_count;
	list.list.list_val = store.instances;
	gb_rpc_call_reply(call, &list);
}

static gb_instance *
instance_get(const char *name)
{
	gb_instance *in;
	u_int i;

	for (i = 0; i < store.instance_count; i++) {
		if (strcmp(store.instances[i].name, name) == 0)
			return &store.instances[i];
	}
	if (store.instance_count == INSTANCES_MAX)
		return NULL;
	in = &store.instances[store.instance_count++];
	in->name = gb_strdup(name);
	in->addr = gb_strdup("");
	in->dc = gb_strdup("");
	in->rack = gb_strdup("");
	in->pool = gb_strdup("");
	return in;
}

static void
set_string(char **out, const json_t *object, const char *key)
{
	const char *value = json_string_value(json_object_get(object, key));

	if (value == NULL)
		return;
	free(*out);
	*out = gb_strdup(value);
}

static void
set_int(int *out, const json_t *object, const char *key)
{
	const json_t *value = json_object_get(object, key);

	if (json_is_integer(value))
		*out = (int)json_integer_value(value);
}

static void
instance_set(const json_t *object)
{
	const char *name = json_string_value(json_object_get(object, "name"));
	gb_instance *in = name == NULL ? NULL : instance_get(name);
	int state;

	if (in == NULL)
		return;
	set_string(&in->addr, object, "addr");
	set_string(&in->dc, object, "dc");
	set_string(&in->rack, object, "rack");
	set_string(&in->pool, object, "pool");
	set_int(&in->capacity.cpu, object, "cpu");
	set_int(&in->capacity.mem, object, "mem");
	set_int(&in->capacity.accel, object, "accel");
	set_int(&in->capacity.slots, object, "slots");
	set_int(&in->capacity.conns, object, "conns");
	state = (int)in->state;
	set_int(&state, object, "state");
	in->state = (gb_instance_state)state;
}

static void
serve_fault(struct gb_rpc_call *call, const gb_command *cmd)
{
	struct gb_text text = {0};
	json_t *root =
	    json_loadb(cmd->body.gb_body_val, cmd->body.gb_body_len, 0, NULL);
	json_t *instance = json_object_get(root, "instance");

	set_int(&store.down, root, "down");
	set_int(&store.hang, root, "hang");
	set_int(&store.slow_ms, root, "slow_ms");
	set_int(&store.lose, root, "lose");
	if (instance != NULL)
		instance_set(instance);
	json_decref(root);
	gb_text_add(&text,
	    "{\"writes\": %" PRIu64 ", \"reads\": %" PRIu64
	    ", \"rows\": %" PRIu64 "}\n",
	    store_model_txns(store.model), store.reads,
	    store_model_rows(store.model));
	standin_answer(call, 200, &text);
}

static void
serve(void *data, struct gb_rpc_call *call, uint32_t proc, void *arg)
{
	(void)data;
	switch (proc) {
	case GB_PROC_TXN:
		if (!store.hang)
			serve_txn(call, arg);
		break;
	case GB_PROC_SCAN:
		if (!store.hang)
			serve_scan(call, arg);
		break;
	case GB_PROC_INSTANCES:
		serve_instances(call);
		break;
	case GB_PROC_FAULT:
		serve_fault(call, arg);
		break;
	default:
		gb_rpc_call_refuse(call);
		break;
	}
}

static error_t
option_parse(int key, char *arg, struct argp_state *state)
{
	(void)state;
	if (key != 'l')
		return ARGP_ERR_UNKNOWN;
	store.listen = arg;
	return 0;
}

int
main(int argc, char **argv)
{
	static const struct argp_option options[] = {
	    {"listen", 'l', "IP:PORT", 0, "Where to listen", 0}, {0}};
	static const struct argp argp = {options, option_parse, NULL,
	    "Stands in for the platform's table service.", NULL, NULL, NULL};
	static const struct gb_env env = {gb_logger_line, NULL, NULL, NULL};
	struct gb_error err = {0};
	struct gb_rpc_server *server;

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	uv_loop_init(&store.loop);
	store.model = store_model_new();
	server = gb_rpc_server_new(
	    &store.loop, &env, store.listen, serve, NULL, &err);
	if (server == NULL) {
		fprintf(stderr, "%s\n", err.text);
		return EXIT_FAILURE;
	}
	printf("listening %d\n", gb_rpc_server_port(server));
	fflush(stdout);
	return uv_run(&store.loop, UV_RUN_DEFAULT);
}
