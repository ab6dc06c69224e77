/**
 * @file test_node.c
 * Guards against flows that are lost or rejected while the owner can't store
 * them, handovers that leave the pool without an owner, nodes that keep an old
 * configuration, and missing log lines.  They come about when a node misreads
 * answers of other nodes or of the store.  Runs three nodes, connected over
 * their peer ports, with the model of the platform as the store.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <uv.h>

#include "node/node_state.h"
#include "relay.h"
#include "world.h"

#define NODES 3
/** At least one for each test. */
#define CELLS_MAX 40
/** Largest number of iterations of the event loop that a test waits for; the
 * timer of a cell ends one each millisecond. */
#define ITERATIONS_MAX 20000
/** Size of a buffer for a line of the log or of the metrics. */
#define LINE_BYTES 1024

struct cell;

/** A call of a node to the store whose answer is not delivered yet. */
struct table_call {
	TAILQ_ENTRY(table_call) next;
	unsigned int node; /**< number of the node */
	uint64_t id;
	bool write;
	struct gb_pool_txn_res txn;
	struct gb_pool_read_res read;
};

TAILQ_HEAD(table_calls, table_call);

/** Context of a node's platform operations. */
struct node_context {
	struct cell *cell;
	unsigned int number; /**< of the node */
	bool relaxed;	     /**< the node is told of new configurations */
};

struct cell {
	uv_loop_t loop;
	uv_timer_t timer; /**< delivers the answers of the store */
	struct world *world;
	struct gb_node *nodes[NODES];
	struct node_context contexts[NODES];
	const struct gb_env *env;
	/** Bandwidth of each node's link to the others, 0: not limited. */
	uint64_t bytes_per_s;
	bool store_refuses[NODES]; /**< the store rejects this node's calls */
	struct table_calls calls;
	unsigned int writes[NODES]; /**< writes that the store carried out */
	FILE *log;		    /**< structured log lines of all nodes */
	bool answered;		    /**< the submission that is pending */
	gb_flow_answer answer;
};

/** An environment without a limit on the link. */
static const struct gb_env env = {NULL, NULL, NULL, NULL};
/** A node can't be freed before the process ends, so cells stay allocated; each
 * has addresses of its own. */
static struct cell *cells[CELLS_MAX];
static unsigned int cell_count;

/** Adds a call whose answer the next iteration of the loop delivers. */
static struct table_call *
table_call_add(struct node_context *context, uint64_t id, bool write)
{
	struct table_call *call = gb_calloc(1, sizeof(*call));

	call->node = context->number;
	call->id = id;
	call->write = write;
	TAILQ_INSERT_TAIL(&context->cell->calls, call, next);
	return call;
}

static void
op_txn(void *data, uint64_t id, const struct gb_pool_txn *txn)
{
	struct node_context *context = data;
	struct table_call *call = table_call_add(context, id, true);

	if (context->cell->store_refuses[context->number]) {
		call->txn.status = GB_STORE_REFUSED;
		return;
	}
	context->cell->writes[context->number]++;
	world_txn(context->cell->world, txn, &call->txn);
}

static void
op_read(void *data, uint64_t id, const struct gb_pool_read *read)
{
	struct node_context *context = data;
	struct table_call *call = table_call_add(context, id, false);

	if (context->cell->store_refuses[context->number])
		call->read.status = GB_STORE_REFUSED;
	else
		world_read(context->cell->world, read, &call->read);
}

static void
op_order(void *data, uint64_t id, const struct gb_pool_order *order)
{
	(void)data;
	(void)id;
	(void)order;
	fail_msg("there are no workers");
}

static void
op_heartbeat(void *data, uint64_t id, const struct gb_pool_heartbeat *heartbeat)
{
	(void)data;
	(void)id;
	(void)heartbeat;
	fail_msg("there are no workers");
}

static void
op_advise(void *data, uint64_t id, const gb_advice_ask *ask)
{
	(void)data;
	(void)id;
	(void)ask;
	fail_msg("there are no workers");
}

static void
op_follow(void *data, bool on)
{
	(void)data;
	(void)on;
}

static void
op_limit(void *data, uint32_t max)
{
	(void)data;
	(void)max;
}

static void
op_relax(void *data, bool relaxed)
{
	struct node_context *context = data;

	context->relaxed = relaxed;
}

/** Set: configurations can't be decoded, as by a program that is too old for
 * them. */
static bool config_unreadable;

static struct gb_pool_config *
config_decode(const char *text, size_t len)
{
	struct gb_pool_config *config;

	if (config_unreadable)
		return NULL;
	config = gb_pool_config_new(1, 0);
	/* The text is the version; if a space follows, the configuration has
	 * organisations. */
	config->version = strtoull(text, NULL, 10);
	if (memchr(text, ' ', len) != NULL)
		gb_pool_config_orgs_alloc(config, 0);
	snprintf(config->queues[0].name, GB_NAME_MAX, "lookup");
	snprintf(config->queues[0].service, GB_NAME_MAX, "svc");
	config->queues[0].max_attempts = 3;
	config->queues[0].objective_factor = 2;
	config->queues[0].objective_base_us = GB_SEC;
	gb_pool_config_seal(config);
	return config;
}

/** Delivers the answers to all calls to the store. */
static void
on_timer(uv_timer_t *timer)
{
	struct cell *cell = timer->data;
	struct table_call *call;

	while ((call = TAILQ_FIRST(&cell->calls)) != NULL) {
		TAILQ_REMOVE(&cell->calls, call, next);
		if (call->write)
			gb_node_txn_done(
			    cell->nodes[call->node], call->id, &call->txn);
		else
			gb_node_read_done(
			    cell->nodes[call->node], call->id, &call->read);
		world_txn_free(&call->txn);
		world_read_free(&call->read);
		free(call);
	}
}

static struct gb_node *
node_start(struct cell *cell, unsigned int number)
{
	const struct gb_node_platform platform = {op_order, op_order,
	    op_heartbeat, op_advise, op_txn, op_read, op_follow, op_limit,
	    op_relax, config_decode, &cell->contexts[number]};
	struct gb_node_settings settings = {0};
	struct gb_error err = {0};
	struct gb_node *node;

	snprintf(settings.name, sizeof(settings.name), "node-%u", number);
	/* Tests that run at the same time have different addresses, made from
	 * the process id. */
	snprintf(settings.listen, sizeof(settings.listen), "127.%d.%d.%u:7300",
	    1 + (int)getpid() / 250 % 250, 1 + (int)getpid() % 250,
	    cell_count * NODES + number + 1);
	snprintf(settings.addr, sizeof(settings.addr), "%s", settings.listen);
	if (cell->bytes_per_s > 0) {
		settings.addr[strlen(settings.addr) - 1] = '1';
		relay_new(&cell->loop, settings.addr, settings.listen,
		    cell->bytes_per_s);
	}
	snprintf(settings.metrics, sizeof(settings.metrics), "127.0.0.1:0");
	snprintf(settings.cpu_share, sizeof(settings.cpu_share), "1");
	settings.lease_ms = 3000;
	settings.stop_ms = 200;
	settings.keep_s = 60;
	settings.grace_s = 6;
	settings.flows_mb = 1;
	node = gb_node_new(&cell->loop, cell->env, &settings, &platform,
	    gb_events_new(&cell->loop, fileno(cell->log), UINT32_MAX, "node"),
	    &err);
	if (node == NULL)
		fail_msg("node %u: %s", number, err.text);
	gb_node_config_received(node, "1", 1);
	return node;
}

/** Starts a cell of three nodes in the given environment, which reach each
 * other over links of the given bandwidth. */
static struct cell *
cell_start_with(const struct gb_env *node_env, uint64_t bytes_per_s)
{
	struct cell *cell = gb_calloc(1, sizeof(*cell));
	unsigned int i;

	cell->env = node_env;
	cell->bytes_per_s = bytes_per_s;
	uv_loop_init(&cell->loop);
	TAILQ_INIT(&cell->calls);
	cell->world = world_new(1);
	cell->log = tmpfile();
	assert_non_null(cell->log);
	for (i = 0; i < NODES; i++) {
		cell->contexts[i].cell = cell;
		cell->contexts[i].number = i;
		cell->nodes[i] = node_start(cell, i);
	}
	uv_timer_init(&cell->loop, &cell->timer);
	cell->timer.data = cell;
	uv_timer_start(&cell->timer, on_timer, 1, 1);
	assert_true(cell_count < CELLS_MAX);
	cells[cell_count++] = cell;
	return cell;
}

static struct cell *
cell_start_in(const struct gb_env *node_env)
{
	return cell_start_with(node_env, 0);
}

static struct cell *
cell_start(void)
{
	return cell_start_in(&env);
}

/** Number of the node that owns the pool, NODES if none does. */
static unsigned int
cell_owner(const struct cell *cell)
{
	unsigned int i;

	for (i = 0; i < NODES; i++) {
		if (gb_pool_owns(cell->nodes[i]->pool))
			break;
	}
	return i;
}

/** Whether there is an owner, and both other nodes have received their ranks in
 * the order of succession from it. */
static bool
cell_ready(const struct cell *cell)
{
	unsigned int owner = cell_owner(cell);
	unsigned int i;

	for (i = 0; i < NODES && owner < NODES; i++) {
		if (i != owner && cell->nodes[i]->watch.place.ranked < 2)
			return false;
	}
	return owner < NODES;
}

static void
cell_wait_ready(struct cell *cell)
{
	int i;

	for (i = 0; i < ITERATIONS_MAX && !cell_ready(cell); i++)
		uv_run(&cell->loop, UV_RUN_ONCE);
	assert_true(cell_ready(cell));
}

/** Runs the loop for a duration of real time. */
static void
cell_run(struct cell *cell, gb_time duration)
{
	gb_time until = gb_clock_boot() + duration;

	while (gb_clock_boot() < until)
		uv_run(&cell->loop, UV_RUN_ONCE);
}

/** Counts the log lines of an event so far; `last` receives the newest, or an
 * empty text. */
static unsigned int
cell_event_lines(struct cell *cell, const char *event, char last[LINE_BYTES])
{
	char line[LINE_BYTES];
	char name[GB_NAME_MAX + 1];
	unsigned int count = 0;

	last[0] = '\0';
	snprintf(name, sizeof(name), "\"event\":\"%s\"", event);
	rewind(cell->log);
	while (fgets(line, sizeof(line), cell->log) != NULL) {
		assert_null(strstr(line, "the line's fields are bad"));
		if (strstr(line, name) == NULL)
			continue;
		count++;
		snprintf(last, LINE_BYTES, "%s", line);
	}
	fseek(cell->log, 0, SEEK_END);
	return count;
}

/** Checks that the newest log line of an event contains a text, such as a
 * field. */
static void
assert_event_line(struct cell *cell, const char *event, const char *field)
{
	char line[LINE_BYTES];

	if (cell_event_lines(cell, event, line) == 0)
		fail_msg("no log line of the event %s", event);
	if (strstr(line, field) == NULL)
		fail_msg("%s is not in %s", field, line);
}

/** Checks the value of a counter of a node. */
static void
assert_counter(struct gb_node *node, const char *name, uint64_t value)
{
	struct gb_text text = {0};
	char line[LINE_BYTES];

	gb_node_metrics(node, &text);
	snprintf(
	    line, sizeof(line), "\n%s %llu\n", name, (unsigned long long)value);
	if (strstr(text.data, line) == NULL)
		fail_msg("no line of the metrics is %s", line);
	gb_text_free(&text);
}

static void
on_answer(void *data, const gb_flow_answer *answer)
{
	struct cell *cell = data;

	cell->answered = true;
	cell->answer = *answer;
}

/** Submits a flow of so many tasks at a node and runs the loop until it is
 * answered. */
static void
cell_submit_tasks(
    struct cell *cell, unsigned int node, const char *id, uint32_t tasks)
{
	gb_flow_submit submit = {0};
	gb_step step = {0};
	char none[] = "";
	int i;

	step.count = tasks;
	step.label = step.rack = none;
	submit.caller.config = 1;
	submit.caller.org = none;
	submit.flow.org = none;
	submit.flow.id = (char *)id;
	submit.flow.queue = (char *)"lookup";
	submit.flow.service = (char *)"svc";
	submit.flow.spec = (char *)"ms=100";
	submit.flow.max_attempts = 3;
	submit.flow.submitted_us = gb_clock_wall();
	submit.flow.steps.steps_len = 1;
	submit.flow.steps.steps_val = &step;
	cell->answered = false;
	gb_node_submit(
	    cell->nodes[node], &submit, 20 * GB_SEC, on_answer, cell);
	for (i = 0; i < ITERATIONS_MAX && !cell->answered; i++)
		uv_run(&cell->loop, UV_RUN_ONCE);
	assert_true(cell->answered);
}

static void
cell_submit(struct cell *cell, unsigned int node, const char *id)
{
	cell_submit_tasks(cell, node, id, 1);
}

/** A version that is older than the newest one received is ignored, whoever
 * sends it.  A newer one without organisations does not let callers without a
 * key into the queues. */
static void
test_older_version_is_ignored(void **state)
{
	struct cell *cell = cell_start();
	struct gb_node *node = cell->nodes[1];

	(void)state;
	gb_node_config_received(node, "3 orgs", 6);
	assert_int_equal(gb_node_config(node)->version, 3);
	assert_true(gb_node_config(node)->keyed);
	gb_node_config_received(node, "2", 1);
	assert_int_equal(gb_node_config(node)->version, 3);
	gb_node_config_received(node, "4", 1);
	assert_int_equal(gb_node_config(node)->version, 4);
	assert_true(gb_node_config(node)->keyed);
}

/** A member that can't read the operator's table learns from a hello that there
 * is a newer version.  Until it has that version it must not deny routes by the
 * older one. */
static void
test_member_knows_of_newer_version(void **state)
{
	struct cell *cell = cell_start();
	struct gb_node *member;
	gb_time until;
	int i;

	(void)state;
	cell_wait_ready(cell);
	member = cell->nodes[(cell_owner(cell) + 1) % NODES];
	assert_false(gb_node_config_behind(member));
	until = gb_clock_boot() + 400 * GB_MSEC;
	gb_node_config_received(cell->nodes[cell_owner(cell)], "5", 1);
	while (gb_clock_boot() < until && !gb_node_config_behind(member))
		uv_run(&cell->loop, UV_RUN_ONCE);
	assert_int_equal(gb_node_config(member)->version, 1);
	assert_true(gb_node_config_behind(member));
	for (i = 0; i < ITERATIONS_MAX && gb_node_config(member)->version < 5;
	     i++)
		uv_run(&cell->loop, UV_RUN_ONCE);
	assert_int_equal(gb_node_config(member)->version, 5);
	assert_false(gb_node_config_behind(member));
}

/** Gives all nodes but the owner a newer version. */
static void
members_configure(struct cell *cell, const struct gb_node *owner)
{
	unsigned int i;

	for (i = 0; i < NODES; i++) {
		if (cell->nodes[i] != owner)
			gb_node_config_received(cell->nodes[i], "5 orgs", 6);
	}
}

/** An owner can't reach the operator's table, or reads an old copy of it, while
 * the others receive a new version.  Flows of callers who were accepted by that
 * version wait until the owner has it, so a member sends it to the owner. */
static void
test_owner_learns_a_version_from_a_member(void **state)
{
	struct cell *cell = cell_start();
	struct gb_node *owner;
	int i;

	(void)state;
	cell_wait_ready(cell);
	owner = cell->nodes[cell_owner(cell)];
	members_configure(cell, owner);
	for (i = 0; i < ITERATIONS_MAX && gb_node_config(owner)->version < 5;
	     i++)
		uv_run(&cell->loop, UV_RUN_ONCE);
	assert_int_equal(gb_node_config(owner)->version, 5);
	assert_true(gb_node_config(owner)->keyed);
	assert_ptr_equal(owner, cell->nodes[cell_owner(cell)]);
}

/** An owner can't decode the version that members have, since its program is
 * older.  Each member sends it once and retries only after seconds: 43 members
 * that retry each second would fill a link of low bandwidth. */
static void
test_unreadable_version_is_sent_once(void **state)
{
	struct cell *cell = cell_start();
	struct gb_node *owner;
	gb_time until;

	(void)state;
	cell_wait_ready(cell);
	owner = cell->nodes[cell_owner(cell)];
	members_configure(cell, owner);
	config_unreadable = true;
	until = gb_clock_boot() + 4 * GB_SEC;
	while (gb_clock_boot() < until)
		uv_run(&cell->loop, UV_RUN_ONCE);
	config_unreadable = false;
	assert_int_equal(gb_node_config(owner)->version, 1);
	assert_in_range(owner->configs_unreadable, 1, NODES - 1);
}

/** Time in which a version must be in force on all nodes, in addition to the
 * time that its text takes over a link. */
#define CONFIG_DELAY_MAX (2 * GB_SEC)
/** Bandwidth of a thin link, in bytes per second. */
#define THIN_LINK 400000
/** Length of a large configuration.  A thin link carries it in 2.5 s. */
#define LARGE_CONFIG_BYTES 1000000

/** Text of a large configuration of version 5. */
static char *
large_config(void)
{
	static const char digits[] = "0123456789abcdef";
	char *text = gb_calloc(1, LARGE_CONFIG_BYTES + 1);
	uint64_t random = 1;
	size_t i;

	for (i = 0; i < LARGE_CONFIG_BYTES; i++)
		text[i] = digits[gb_random_next(&random) % 16];
	text[0] = '5';
	text[1] = ';';
	return text;
}

/** Whether all nodes have a version. */
static bool
cell_has_version(const struct cell *cell, uint64_t version)
{
	unsigned int i;

	for (i = 0; i < NODES; i++) {
		if (gb_node_config(cell->nodes[i])->version < version)
			return false;
	}
	return true;
}

/** Runs the loop until all nodes have a version; returns how long that took. */
static gb_time
cell_wait_version(struct cell *cell, uint64_t version, gb_time max)
{
	gb_time began = gb_clock_boot();

	while (
	    !cell_has_version(cell, version) && gb_clock_boot() - began < max)
		uv_run(&cell->loop, UV_RUN_ONCE);
	return gb_clock_boot() - began;
}

/** The links of the nodes carry a configuration in more time than a hello may
 * take.  Members that don't get it from the store get it from other nodes, and
 * their hellos are answered all the while. */
static void
test_large_version_reaches_all_over_thin_links(void **state)
{
	struct cell *cell = cell_start_with(&env, THIN_LINK);
	gb_time max =
	    CONFIG_DELAY_MAX + 2 * GB_SEC * LARGE_CONFIG_BYTES / THIN_LINK;
	char *text = large_config();
	char line[LINE_BYTES];

	(void)state;
	cell_wait_ready(cell);
	cell_run(cell, 500 * GB_MSEC);
	gb_node_config_received(
	    cell->nodes[cell_owner(cell)], text, LARGE_CONFIG_BYTES);
	assert_true(cell_wait_version(cell, 5, max) < max);
	assert_int_equal(cell_event_lines(cell, "owner_unheard", line), 0);
	free(text);
}

/** The store rejects the owner and a member, and serves the other member, which
 * takes the pool over.  The rejected nodes learn of the new owner and of a new
 * version from nodes that they reach. */
static void
test_new_owner_is_known_without_the_store(void **state)
{
	struct cell *cell = cell_start();
	unsigned int former;
	unsigned int served;
	unsigned int rejected;
	gb_time until;

	(void)state;
	cell_wait_ready(cell);
	former = cell_owner(cell);
	served = (former + 1) % NODES;
	rejected = (former + 2) % NODES;
	cell->store_refuses[former] = true;
	cell->store_refuses[rejected] = true;
	until = gb_clock_boot() + 6 * GB_SEC;
	while (
	    !gb_pool_owns(cell->nodes[served]->pool) && gb_clock_boot() < until)
		uv_run(&cell->loop, UV_RUN_ONCE);
	assert_true(gb_pool_owns(cell->nodes[served]->pool));
	gb_node_config_received(cell->nodes[served], "5", 1);
	assert_true(
	    cell_wait_version(cell, 5, CONFIG_DELAY_MAX) < CONFIG_DELAY_MAX);
	assert_false(gb_pool_owns(cell->nodes[former]->pool));
	assert_string_equal(cell->nodes[rejected]->watch.owner,
	    cell->nodes[served]->settings.addr);
	cell_submit(cell, rejected, "00000000000000c1");
	assert_int_equal(cell->answer.verdict, GB_FLOW_ACCEPTED);
	cell_submit(cell, former, "00000000000000c2");
	assert_int_equal(cell->answer.verdict, GB_FLOW_ACCEPTED);
}

/** Configuration version that a node stored with a flow, for the owner that
 * reads the flow later. */
static uint64_t
stored_version(const struct cell *cell, const char *id)
{
	const struct gb_pool_read read = {
	    gb_pool_partition(id), GB_POOL_FLOWS, id, "~", 1, 0};
	struct gb_pool_read_res res = {0};
	gb_flow_row row = {0};
	uint64_t version;

	world_read(cell->world, &read, &res);
	assert_int_equal(res.row_count, 1);
	assert_true(gb_flow_decode(&res.rows[0].value, &row));
	world_read_free(&res);
	version = row.config;
	xdr_free((xdrproc_t)xdr_gb_flow_row, (char *)&row);
	return version;
}

/** The store rejects the owner's calls and serves the other nodes.  Until the
 * pool is taken over, each of these stores the flows that are submitted to it.
 */
static void
test_member_stores_when_owner_cannot(void **state)
{
	struct cell *cell = cell_start();
	unsigned int owner;
	unsigned int other;
	unsigned int rows;

	(void)state;
	cell_wait_ready(cell);
	owner = cell_owner(cell);
	other = (owner + 1) % NODES;
	cell->store_refuses[owner] = true;
	rows = world_row_count(cell->world, GB_POOL_FLOWS);
	cell_submit(cell, other, "00000000000000a1");
	assert_int_equal(cell->answer.verdict, GB_FLOW_ACCEPTED);
	assert_int_equal(world_row_count(cell->world, GB_POOL_FLOWS), rows + 1);
	assert_int_equal(stored_version(cell, "00000000000000a1"), 1);
}

/** Cancels a flow at a node and runs the loop until it is answered. */
static void
cell_cancel(struct cell *cell, unsigned int node, const char *id)
{
	char none[] = "";
	gb_flow_ask ask = {0};
	int i;

	ask.op = GB_FLOW_OP_CANCEL;
	ask.id = (char *)id;
	ask.caller.config = 1;
	ask.caller.org = none;
	cell->answered = false;
	gb_node_ask(cell->nodes[node], &ask, 20 * GB_SEC, on_answer, cell);
	for (i = 0; i < ITERATIONS_MAX && !cell->answered; i++)
		uv_run(&cell->loop, UV_RUN_ONCE);
	assert_true(cell->answered);
}

/** A node that stores flows itself, since the owner can't or since there is
 * none, must not accept one that was cancelled before it arrived. */
static void
test_member_refuses_cancelled_flow(void **state)
{
	struct cell *cell = cell_start();
	unsigned int owner;
	unsigned int other;
	unsigned int rows;

	(void)state;
	cell_wait_ready(cell);
	owner = cell_owner(cell);
	other = (owner + 1) % NODES;
	cell_cancel(cell, other, "00000000000000a3");
	assert_int_equal(cell->answer.verdict, GB_FLOW_ACCEPTED);
	assert_int_equal(cell->answer.status, GB_FLOW_UNKNOWN);
	rows = world_row_count(cell->world, GB_POOL_FLOWS);
	cell_submit(cell, other, "00000000000000a3");
	assert_int_equal(cell->answer.verdict, GB_FLOW_REFUSED);
	cell->store_refuses[owner] = true;
	cell_submit(cell, other, "00000000000000a3");
	assert_int_equal(cell->answer.verdict, GB_FLOW_REFUSED);
	cell->nodes[other]->watch.owner[0] = '\0';
	cell_submit(cell, other, "00000000000000a3");
	assert_int_equal(cell->answer.verdict, GB_FLOW_REFUSED);
	assert_int_equal(world_row_count(cell->world, GB_POOL_FLOWS), rows);
}

/** Makes a node believe that the owner has been loading the tables for a second
 * and that the store is as quick as usual.
 * @param time_without_owner since a node last answered as the owner
 */
static void
assume_owner_loading(struct gb_node *node, gb_time time_without_owner)
{
	gb_time now = gb_clock_boot();

	node->watch.owner_confirmed_at = now - time_without_owner;
	node->watch.acquiring_since = now - GB_SEC;
	node->watch.store_read_at = now;
	node->watch.store_read_time = GB_MSEC;
}

/** A node that has known for a while that the new owner is loading the tables
 * stores flows itself.  Sending them to the owner repeatedly would fill the
 * link over which the owner loads the tables. */
static void
test_flows_are_kept_from_loading_owner(void **state)
{
	struct cell *cell = cell_start();
	unsigned int other;
	unsigned int writes;

	(void)state;
	cell_wait_ready(cell);
	other = (cell_owner(cell) + 1) % NODES;
	writes = cell->writes[other];
	assume_owner_loading(cell->nodes[other], 0);
	cell_submit(cell, other, "00000000000000a5");
	assert_int_equal(cell->answer.verdict, GB_FLOW_ACCEPTED);
	assert_int_equal(cell->writes[other], writes + 1);
}

/** Number of calls of thin_link_accepts(). */
#define THIN_CELLS 3

/** Submits five flows to a node behind a link of 2,000 bytes a second, while
 * the owner has been loading for a time, and returns how many it accepts. */
static unsigned int
thin_link_accepts(gb_time without_owner, bool owner_link_was_full)
{
	/* Nodes of earlier cells keep theirs until the program ends. */
	static struct gb_env thin_envs[THIN_CELLS];
	static unsigned int cells;
	struct gb_env *env = &thin_envs[cells++];
	struct cell *cell;
	struct gb_node *other;
	unsigned int accepted = 0;
	unsigned int i;

	env->link = gb_link_new(2000);
	cell = cell_start_in(env);
	cell_wait_ready(cell);
	other = cell->nodes[(cell_owner(cell) + 1) % NODES];
	for (i = 0; i < 5; i++) {
		gb_time began = gb_clock_boot();
		char id[32];

		snprintf(id, sizeof(id), "00000000000000b%u", i);
		assume_owner_loading(other, without_owner);
		other->owner_link_was_full = owner_link_was_full;
		cell_submit(cell, (cell_owner(cell) + 1) % NODES, id);
		accepted += cell->answer.verdict == GB_FLOW_ACCEPTED;
		if (cell->answer.verdict == GB_FLOW_ACCEPTED)
			continue;
		assert_int_equal(cell->answer.verdict, GB_FLOW_REFUSED);
		assert_true(cell->answer.retry_after_us > 0);
		assert_true(gb_clock_boot() - began < 100 * GB_MSEC);
	}
	return accepted;
}

/** When the pool has been without an owner for long, a node stores only as many
 * flows for the next owner as a link of its own bandwidth carries, and rejects
 * the rest at once. */
static void
test_link_bounds_flows_without_owner(void **state)
{
	(void)state;
	assert_int_equal(thin_link_accepts(10 * GB_SEC, false), 1);
}

/** The same from the first moment without an owner: with a takeover every few
 * seconds, flows that are stored during the first second of each would add up
 * to more than any owner can load. */
static void
test_link_bounds_flows_of_short_takeovers(void **state)
{
	(void)state;
	assert_int_equal(thin_link_accepts(0, false), 1);
}

/** While the owner can't store flows, the other nodes store them unseen by it.
 * All of them together store no more than the next owner may hold in memory. */
static void
test_memory_bounds_flows_without_owner(void **state)
{
	struct cell *cell = cell_start();
	unsigned int owner;
	unsigned int other;
	unsigned int accepted = 0;
	unsigned int i;
	char id[32];

	(void)state;
	cell_wait_ready(cell);
	owner = cell_owner(cell);
	other = (owner + 1) % NODES;
	cell->store_refuses[owner] = true;
	for (i = 0; i < 5; i++) {
		snprintf(id, sizeof(id), "00000000000000c%u", i);
		/* Each takes 0.2 MiB; a part is half of 1 MiB, as two nodes
		 * are left. */
		cell_submit_tasks(cell, other, id, 2000);
		accepted += cell->answer.verdict == GB_FLOW_ACCEPTED;
		if (cell->answer.verdict == GB_FLOW_ACCEPTED)
			continue;
		assert_int_equal(cell->answer.verdict, GB_FLOW_REFUSED);
		assert_true(cell->answer.retry_after_us > 0);
	}
	assert_int_equal(accepted, 2);
}

/** After an owner whose link was full nothing is stored: its successor's link
 * would have to carry that as well. */
static void
test_nothing_is_stored_after_owner_with_full_link(void **state)
{
	(void)state;
	assert_int_equal(thin_link_accepts(0, true), 0);
}

/** The time for which a node owned the pool itself does not count as time
 * without an owner. */
static void
test_owning_is_not_time_without_owner(void **state)
{
	struct cell *cell = cell_start();
	struct gb_node *owner;

	(void)state;
	cell_wait_ready(cell);
	owner = cell->nodes[cell_owner(cell)];
	owner->watch.owner_confirmed_at = 0;
	cell_run(cell, 100 * GB_MSEC);
	assert_true(
	    watch_time_without_owner(&owner->watch, gb_clock_boot()) < GB_SEC);
}

/** Members reject flows that the owner's link has no capacity for, at once and
 * before they send them.  Flows that the owner may have received already are
 * not rejected. */
static void
test_members_shed_for_a_full_owner(void **state)
{
	struct cell *cell = cell_start();
	unsigned int owner;
	unsigned int other;
	unsigned int refused = 0;
	unsigned int i;

	(void)state;
	cell_wait_ready(cell);
	owner = cell_owner(cell);
	other = (owner + 1) % NODES;
	/* Stands for the percentage that an owner reports; this one reports 0,
	 * as it has no bandwidth in its settings. */
	cell->nodes[other]->owner_shed_percent = 100;
	cell_submit(cell, other, "00000000000000c0");
	assert_int_equal(cell->answer.verdict, GB_FLOW_REFUSED);
	assert_true(cell->answer.retry_after_us > 0);
	assert_int_equal(cell->nodes[other]->flows_shed, 1);
	/* The answer to the next hello reports that there is capacity. */
	cell_run(cell, GB_SEC);
	for (i = 1; i < 5; i++) {
		char id[32];

		snprintf(id, sizeof(id), "00000000000000c%u", i);
		cell_submit(cell, other, id);
		refused += cell->answer.verdict == GB_FLOW_REFUSED;
	}
	assert_int_equal(refused, 0);
}

/** Refused flows are not missing in the log while the limit on lines drops
 * events: one line lists those of a second, and says how many it omits. */
static void
test_refusals_are_listed(void **state)
{
	static struct refusals refusals;
	struct cell *cell = cell_start();
	struct gb_node *node;
	unsigned int other;
	char id[32];
	char line[LINE_BYTES];
	int i;

	(void)state;
	cell_wait_ready(cell);
	other = (cell_owner(cell) + 1) % NODES;
	node = cell->nodes[other];
	gb_events_free(node->events);
	node->events = gb_events_new(&cell->loop, fileno(cell->log), 0, "node");
	node->owner_shed_percent = 100;
	cell_submit(cell, other, "00000000000000e0");
	node->owner_shed_percent = 100;
	cell_submit(cell, other, "00000000000000e1");
	cell_run(cell, 1100 * GB_MSEC);
	assert_event_line(cell, "requests_refused",
	    "[\"00000000000000e0\",\"00000000000000e1\"]");
	assert_event_line(
	    cell, "requests_refused", "\"why\":\"link_of_owner\"");
	assert_counter(
	    node, "gooseberry_requests_refused{why=\"link_of_owner\"}", 2);
	assert_counter(node,
	    "gooseberry_requests_refused_unlisted{why=\"link_of_owner\"}", 0);
	cell->store_refuses[other] = true;
	node->watch.refused = 1;
	node->store_failures = 100;
	cell_submit(cell, other, "00000000000000e2");
	assert_int_equal(cell->answer.verdict, GB_FLOW_REFUSED);
	cell_run(cell, 1100 * GB_MSEC);
	assert_event_line(cell, "requests_refused", "00000000000000e2");
	for (i = 0; i < REFUSALS_LINE_FLOWS + 5; i++) {
		snprintf(id, sizeof(id), "f%d", i);
		refusals_add(&refusals, REFUSAL_OWNER, id);
	}
	assert_int_equal(refusals.lists[REFUSAL_OWNER].omitted, 5);
	refusals_log(&refusals, node->events, GB_SEC, false);
	assert_int_equal(refusals.lists[REFUSAL_OWNER].waiting, 0);
	assert_true(cell_event_lines(cell, "requests_refused", line) >= 3);
}

/** Answers to hellos from programs that do not send the last fields, `shed` and
 * `config_source`, are decoded; these are 0 or null then. */
static void
test_older_hello_answers_are_decoded(void **state)
{
	const struct gb_rpc_method *method = &gb_rpc_methods[GB_PROC_HELLO];
	char none[] = "";
	gb_hello_res written = {
	    .owner_addr = none, .epoch = 7, .shed = 40, .config_source = none};
	gb_hello_res read = {0};
	gb_body body;

	(void)state;
	assert_true(gb_xdr_encode(method->res, &written, &body));
	assert_true(gb_xdr_decode(method->res, &body, &read));
	assert_int_equal(read.shed, 40);
	assert_string_equal(read.config_source, "");
	xdr_free(method->res, (char *)&read);
	memset(&read, 0, sizeof(read));
	body.gb_body_len -= BYTES_PER_XDR_UNIT;
	assert_true(gb_xdr_decode(method->res, &body, &read));
	assert_int_equal(read.shed, 40);
	assert_null(read.config_source);
	xdr_free(method->res, (char *)&read);
	memset(&read, 0, sizeof(read));
	body.gb_body_len -= BYTES_PER_XDR_UNIT;
	assert_true(gb_xdr_decode(method->res, &body, &read));
	assert_int_equal(read.epoch, 7);
	assert_int_equal(read.shed, 0);
	xdr_free(method->res, (char *)&read);
	free(body.gb_body_val);
}

/** When the store rejects all nodes, a flow is refused with a time to retry
 * after, never with an answer that leaves open whether it was accepted. */
static void
test_store_rejects_every_node(void **state)
{
	struct cell *cell = cell_start();
	unsigned int i;

	(void)state;
	cell_wait_ready(cell);
	for (i = 0; i < NODES; i++)
		cell->store_refuses[i] = true;
	cell_submit(cell, (cell_owner(cell) + 1) % NODES, "00000000000000a2");
	assert_int_equal(cell->answer.verdict, GB_FLOW_REFUSED);
	assert_true(cell->answer.retry_after_us > 0);
}

/** The store rejects one member only.  A caller asks it for a flow that the
 * owner doesn't know, and that only the store could tell of.  The caller is
 * refused at once, and may ask another node, in place of waiting for its whole
 * timeout. */
static void
test_member_without_store_refuses_at_once(void **state)
{
	struct cell *cell = cell_start();
	gb_time began;
	gb_flow_ask ask = {0};
	char id[] = "00000000000000a4";
	char none[] = "";
	unsigned int other;
	int i;

	(void)state;
	cell_wait_ready(cell);
	other = (cell_owner(cell) + 1) % NODES;
	cell->store_refuses[other] = true;
	ask.id = id;
	ask.op = GB_FLOW_OP_STATE;
	ask.caller.org = none;
	began = gb_clock_boot();
	cell->answered = false;
	gb_node_ask(cell->nodes[other], &ask, 3 * GB_SEC, on_answer, cell);
	for (i = 0; i < ITERATIONS_MAX && !cell->answered; i++)
		uv_run(&cell->loop, UV_RUN_ONCE);
	assert_int_equal(cell->answer.verdict, GB_FLOW_REFUSED);
	assert_true(cell->answer.retry_after_us > 0);
	assert_true(gb_clock_boot() - began < GB_SEC);
}

/** Instances are stopped in turn.  An owner that stops remains the owner, in
 * every iteration of the loop, until the member that it chose has claimed the
 * pool. */
static void
test_leaving_owner_serves_until_claim(void **state)
{
	struct cell *cell = cell_start();
	unsigned int owner;
	int i;

	(void)state;
	cell_wait_ready(cell);
	owner = cell_owner(cell);
	gb_node_leave(cell->nodes[owner]);
	assert_true(cell->nodes[owner]->handover.in_progress);
	for (i = 0; i < ITERATIONS_MAX && !gb_node_left(cell->nodes[owner]);
	     i++) {
		assert_true(gb_pool_owns(cell->nodes[owner]->pool));
		uv_run(&cell->loop, UV_RUN_ONCE);
	}
	assert_true(gb_node_left(cell->nodes[owner]));
	assert_false(cell->nodes[owner]->released);
	for (i = 0; i < ITERATIONS_MAX && cell_owner(cell) == NODES; i++)
		uv_run(&cell->loop, UV_RUN_ONCE);
	assert_int_not_equal(cell_owner(cell), NODES);
	assert_int_not_equal(cell_owner(cell), owner);
	assert_string_equal(cell->nodes[owner]->watch.owner,
	    cell->nodes[cell_owner(cell)]->settings.addr);
}

/** Guards against a hello in flight to the former owner that delays the first
 * hello to the new owner and whose failure counts against the new one. */
static void
test_hello_to_former_owner_is_dropped(void **state)
{
	struct cell *cell = cell_start();
	struct gb_node *node;
	struct gb_node *next;
	int i;

	(void)state;
	cell_wait_ready(cell);
	node = cell->nodes[(cell_owner(cell) + 1) % NODES];
	next = cell->nodes[(cell_owner(cell) + 2) % NODES];
	for (i = 0; i < ITERATIONS_MAX && !node->watch.hello_in_flight; i++)
		uv_run(&cell->loop, UV_RUN_ONCE);
	watch_pool_handed_over(&node->watch, node_now(), next->settings.addr,
	    node->watch.epoch + 1);
	assert_int_equal(watch_next(&node->watch, node_now()), WATCH_HELLO);
	gb_rpc_pool_free(node->peers);
	node->peers = gb_rpc_pool_new(&cell->loop, &env);
	assert_int_equal(node->watch.missed, 0);
	assert_int_equal(node->watch.refused, 0);
}

/** Gives an address at which connections are neither established nor refused,
 * because the listener's backlog is full.  The sockets stay open until the
 * process ends. */
static void
hanging_address(char addr[GB_NAME_MAX + 1])
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	int i;

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(
	    bind(listener, (struct sockaddr *)&sin, sizeof(sin)), 0);
	assert_int_equal(listen(listener, 0), 0);
	assert_int_equal(
	    getsockname(listener, (struct sockaddr *)&sin, &len), 0);
	for (i = 0; i < 4; i++) {
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

		assert_true(
		    connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0 ||
		    errno == EINPROGRESS);
	}
	snprintf(addr, GB_NAME_MAX + 1, "127.0.0.1:%d", ntohs(sin.sin_port));
}

/** Guards against packets lost on a cut path that count as a refused
 * connection, after which a node takes over the pool without polling the
 * members. */
static void
test_hanging_connection_is_not_refused(void **state)
{
	struct cell *cell = cell_start();
	char addr[GB_NAME_MAX + 1];
	struct gb_node *node;
	int i;

	(void)state;
	cell_wait_ready(cell);
	node = cell->nodes[(cell_owner(cell) + 1) % NODES];
	/* Otherwise it learns of the real owner from the owner's row. */
	cell->store_refuses[(cell_owner(cell) + 1) % NODES] = true;
	hanging_address(addr);
	watch_pool_handed_over(
	    &node->watch, node_now(), addr, node->watch.epoch + 1);
	for (i = 0; i < ITERATIONS_MAX && node->watch.missed == 0; i++)
		uv_run(&cell->loop, UV_RUN_ONCE);
	assert_int_equal(node->watch.missed, 1);
	assert_int_equal(node->watch.refused, 0);
}

/** Guards against a former owner that knows no members, so that it polls none
 * and takes the pool back from an owner that all others reach. */
static void
test_former_owner_knows_the_members(void **state)
{
	struct cell *cell = cell_start();
	struct gb_node *owner;
	int i;

	(void)state;
	cell_wait_ready(cell);
	owner = cell->nodes[cell_owner(cell)];
	gb_pool_epoch_found(
	    owner->pool, node_now(), gb_pool_epoch(owner->pool) + 1);
	assert_false(gb_pool_owns(owner->pool));
	assert_int_equal(owner->known_members_count, NODES - 1);
	assert_int_equal(owner->watch.place.members, NODES - 1);
	for (i = 0; i < ITERATIONS_MAX && cell_owner(cell) == NODES; i++)
		uv_run(&cell->loop, UV_RUN_ONCE);
	assert_int_not_equal(cell_owner(cell), NODES);
}

/** Guards against a pool without an owner after all nodes have heard of an
 * epoch that no node has, as when a claim ends before its first write: the rows
 * of the last owner are then older than that epoch in every partition. */
static void
test_heard_epoch_without_owner(void **state)
{
	struct cell *cell = cell_start();
	uint64_t epoch;
	unsigned int n;
	int i;

	(void)state;
	cell_wait_ready(cell);
	epoch = gb_pool_epoch(cell->nodes[cell_owner(cell)]->pool) + 1;
	for (n = 0; n < NODES; n++)
		gb_pool_epoch_found(cell->nodes[n]->pool, node_now(), epoch);
	assert_int_equal(cell_owner(cell), NODES);
	for (i = 0; i < ITERATIONS_MAX && cell_owner(cell) == NODES; i++)
		uv_run(&cell->loop, UV_RUN_ONCE);
	assert_int_not_equal(cell_owner(cell), NODES);
}

/** 97 nodes send five hellos a second each.  The owner sends the list of
 * members only to nodes that do not have its newest version, and to all of them
 * again after a member has joined. */
static void
test_list_of_members_is_sent_once(void **state)
{
	struct cell *cell = cell_start();
	gb_hello_res res = {0};
	gb_hello late = {0};
	const struct node_member *member;
	struct gb_node *owner;
	struct gb_node *other;
	int i;

	(void)state;
	cell_wait_ready(cell);
	owner = cell->nodes[cell_owner(cell)];
	other = cell->nodes[(cell_owner(cell) + 1) % NODES];
	for (i = 0; i < ITERATIONS_MAX &&
		    other->known_members_vers != owner->members_vers;
	     i++)
		uv_run(&cell->loop, UV_RUN_ONCE);
	assert_int_equal(other->known_members_vers, owner->members_vers);
	assert_int_equal(other->known_members_count, NODES - 2);
	node_members_fill(
	    owner, owner->members, other->known_members_vers, &res);
	assert_int_equal(res.members.members_len, 0);
	assert_in_range(res.rank, 0, NODES - 2);
	assert_int_equal(res.ranked, NODES - 1);
	late.name = late.addr = late.dc = (char *)"127.0.0.1:1";
	member = node_member_hello_received(owner, &late);
	node_members_fill(owner, member, other->known_members_vers, &res);
	assert_int_equal(res.members.members_len, NODES);
	assert_int_equal(res.rank, SUCCESSION_UNRANKED);
	free(res.members.members_val);
}

/** Delivers a hello of a member to the owner.
 * @param up time since the member's process started
 */
static void
member_hello(
    struct gb_node *owner, char *addr, uint64_t incarnation, gb_time up)
{
	gb_hello hello = {0};

	hello.name = hello.addr = hello.dc = addr;
	hello.incarnation = incarnation;
	hello.cpu_milli = 4000;
	hello.config = 1;
	hello.up_us = up;
	node_member_hello_received(owner, &hello);
}

/** Returns the address of the first node in the order of succession. */
static const char *
first_successor(struct gb_node *owner)
{
	struct succession_member order[NODES + 2];

	assert_true(node_members_order(owner, order) > 0);
	return order[0].addr;
}

/** 15 equal nodes have started at nearly the same time, and hellos take a few
 * milliseconds more or less.  If that changed the ranks, no node would stay
 * among the first successors long enough to check that the store serves it. */
static void
test_ranks_ignore_latency_of_hellos(void **state)
{
	struct cell *cell = cell_start();
	char a[] = "127.0.0.1:1";
	char b[] = "127.0.0.1:2";
	struct gb_node *owner;

	(void)state;
	cell_wait_ready(cell);
	owner = cell->nodes[cell_owner(cell)];
	member_hello(owner, a, 1, 5000 * GB_MSEC);
	member_hello(owner, b, 2, 5010 * GB_MSEC);
	assert_string_equal(first_successor(owner), a);
	member_hello(owner, b, 2, 4980 * GB_MSEC);
	assert_string_equal(first_successor(owner), a);
	/* The process that started last is expected to run longest, so it is
	 * first. */
	member_hello(owner, b, 3, 1000 * GB_MSEC);
	assert_string_equal(first_successor(owner), b);
}

/** Guards against log lines of a takeover that do not name its cause. */
static void
test_takeover_cause_is_logged(void **state)
{
	struct cell *cell = cell_start();
	struct gb_node *owner;
	unsigned int i;

	(void)state;
	cell_wait_ready(cell);
	assert_event_line(cell, "takeover_decided", "\"cause\":\"no_row\"");
	owner = cell->nodes[cell_owner(cell)];
	assert_counter(
	    owner, "gooseberry_takeovers_decided{cause=\"no_row\"}", 1);
	owner->disabled_features |= UINT32_C(1) << GB_FEATURE_HANDOVER;
	gb_node_leave(owner);
	for (i = 0;
	     i < ITERATIONS_MAX && (cell_owner(cell) == NODES ||
				       cell->nodes[cell_owner(cell)] == owner);
	     i++)
		uv_run(&cell->loop, UV_RUN_ONCE);
	assert_event_line(cell, "takeover_decided", "\"cause\":\"vacating\"");
	assert_event_line(cell, "takeover_decided", "\"owner\":\"127.");
	assert_event_line(cell, "takeover_decided", "\"hearing\":0");
	assert_event_line(cell, "takeover_decided", "\"row\":\"unknown\"");
	assert_counter(cell->nodes[cell_owner(cell)],
	    "gooseberry_takeovers_decided{cause=\"vacating\"}", 1);
	assert_event_line(cell, "ownership_ended", "\"members\":2");
	assert_event_line(cell, "ownership_ended", "\"hello_ms_ago\":");
}

/** Guards against a silent owner that is not logged before the members are
 * polled about it, and whose next answer is not logged at all. */
static void
test_silent_owner_is_logged_once(void **state)
{
	struct cell *cell = cell_start();
	char line[LINE_BYTES];
	struct gb_node *node;

	(void)state;
	cell_wait_ready(cell);
	node = cell->nodes[(cell_owner(cell) + 1) % NODES];
	owner_monitor_hello_lost(node);
	owner_monitor_hello_lost(node);
	assert_int_equal(cell_event_lines(cell, "owner_unheard", line), 1);
	assert_event_line(cell, "owner_unheard", node->watch.owner);
	owner_monitor_hello_answered(node);
	assert_int_equal(cell_event_lines(cell, "owner_heard_again", line), 0);
	owner_monitor_hello_lost(node);
	node->owner_monitor.answered -= GB_SEC;
	owner_monitor_hello_answered(node);
	assert_int_equal(cell_event_lines(cell, "owner_unheard", line), 2);
	assert_int_equal(cell_event_lines(cell, "owner_heard_again", line), 1);
	assert_event_line(cell, "owner_heard_again", "\"silent_ms\":1");
	assert_counter(node, "gooseberry_owner_silences", 2);
}

/** Guards against a node that takes over the pool and later logs an answer of
 * an earlier owner as the end of a silence, which would include the time for
 * which it owned the pool itself. */
static void
test_owner_logs_no_former_owner(void **state)
{
	struct cell *cell = cell_start();
	char line[LINE_BYTES];
	struct gb_node *node;
	unsigned int before;

	(void)state;
	cell_wait_ready(cell);
	node = cell->nodes[(cell_owner(cell) + 1) % NODES];
	owner_monitor_hello_lost(node);
	before = cell_event_lines(cell, "owner_unheard", line);
	owner_monitor_owner_changed(node, true, 2);
	node->owner_monitor.answered -= 10 * GB_SEC;
	owner_monitor_hello_lost(node);
	owner_monitor_hello_answered(node);
	assert_int_equal(cell_event_lines(cell, "owner_unheard", line), before);
	assert_int_equal(cell_event_lines(cell, "owner_heard_again", line), 0);
}

/** No process listens at the address that a node has for the owner. */
static void
test_refused_hellos_are_logged(void **state)
{
	struct cell *cell = cell_start();
	char line[LINE_BYTES];
	struct gb_node *node;

	(void)state;
	cell_wait_ready(cell);
	node = cell->nodes[(cell_owner(cell) + 1) % NODES];
	watch_pool_handed_over(
	    &node->watch, node_now(), "127.0.0.1:1", node->watch.epoch);
	cell_run(cell, GB_SEC);
	assert_int_equal(cell_event_lines(cell, "owner_unheard", line), 1);
	assert_event_line(cell, "owner_unheard", "\"owner\":\"127.0.0.1:1\"");
	assert_event_line(cell, "owner_unheard", "\"refused\":1");
	assert_false(node->owner_monitor.silent);
}

/** Guards against logs in which a process that was paused looks like one that
 * was cut off. */
static void
test_loop_stall_is_logged(void **state)
{
	struct cell *cell = cell_start();
	char line[LINE_BYTES];
	unsigned int before;

	(void)state;
	cell_wait_ready(cell);
	before = cell_event_lines(cell, "loop_stalled", line);
	usleep(400 * 1000);
	cell_run(cell, 100 * GB_MSEC);
	assert_true(
	    cell_event_lines(cell, "loop_stalled", line) >= before + NODES);
	assert_true(cell->nodes[0]->owner_monitor.stalls > 0);
	assert_true(cell->nodes[0]->owner_monitor.stalled >= 400 * GB_MSEC);
	assert_counter(cell->nodes[0], "gooseberry_loop_stalls",
	    cell->nodes[0]->owner_monitor.stalls);
}

/** Formats an epoch as a field of a log line. */
static void
epoch_field(char out[LINE_BYTES], const char *name, uint64_t epoch)
{
	snprintf(
	    out, LINE_BYTES, "\"%s\":%llu,", name, (unsigned long long)epoch);
}

/** Guards against log lines of a failed claim that do not name the node that
 * claimed the pool first. */
static void
test_failed_claim_names_the_winner(void **state)
{
	struct cell *cell = cell_start();
	struct gb_node *owner;
	struct gb_node *other;
	char line[LINE_BYTES];
	char epoch[LINE_BYTES];
	uint64_t failed;
	unsigned int before;
	int i;

	(void)state;
	cell_wait_ready(cell);
	owner = cell->nodes[cell_owner(cell)];
	other = cell->nodes[(cell_owner(cell) + 1) % NODES];
	epoch_field(epoch, "winner_epoch", gb_pool_epoch(owner->pool));
	failed = gb_pool_stats(other->pool)->takeovers_failed;
	before = cell_event_lines(cell, "takeover_failed", line);
	gb_pool_acquire(other->pool, node_now(), 0, TAKEOVER_SILENT_OWNER);
	for (i = 0; i < ITERATIONS_MAX && gb_pool_acquiring(other->pool); i++)
		uv_run(&cell->loop, UV_RUN_ONCE);
	assert_int_equal(
	    cell_event_lines(cell, "takeover_failed", line), before + 1);
	assert_event_line(cell, "takeover_failed", "another node was first");
	assert_event_line(cell, "takeover_failed", owner->settings.addr);
	assert_event_line(cell, "takeover_failed", epoch);
	assert_counter(other, "gooseberry_takeovers_failed", failed + 1);
	assert_ptr_equal(owner, cell->nodes[cell_owner(cell)]);
}

/** Guards against log lines of a deposed owner that do not name the node that
 * took over the pool. */
static void
test_lost_pool_names_the_winner(void **state)
{
	struct cell *cell = cell_start();
	struct gb_node *owner;
	struct gb_node *other;
	char epoch[LINE_BYTES];
	int i;

	(void)state;
	cell_wait_ready(cell);
	owner = cell->nodes[cell_owner(cell)];
	other = cell->nodes[(cell_owner(cell) + 1) % NODES];
	epoch_field(epoch, "winner_epoch", gb_pool_epoch(owner->pool) + 1);
	gb_pool_acquire(other->pool, node_now(), gb_pool_epoch(owner->pool),
	    TAKEOVER_SILENT_OWNER);
	for (i = 0; i < ITERATIONS_MAX && gb_pool_owns(owner->pool); i++)
		uv_run(&cell->loop, UV_RUN_ONCE);
	assert_event_line(cell, "ownership_lost", "another node owns the pool");
	assert_event_line(cell, "ownership_lost", other->settings.addr);
	assert_event_line(cell, "ownership_lost", epoch);
	assert_event_line(cell, "ownership_ended", "\"held_ms\":");
	assert_counter(owner, "gooseberry_ownership_losses", 1);
}

/** Runs a cell for half a second in which a node believes to be far behind in
 * the order of succession, as in a cell of many nodes; returns the share of the
 * time for which it relied on others for news of the configuration. */
static double
relaxed_share(struct cell *cell, unsigned int number)
{
	gb_time until = gb_clock_boot() + 500 * GB_MSEC;
	unsigned int relaxed = 0;
	unsigned int steps = 0;

	while (gb_clock_boot() < until) {
		cell->nodes[number]->watch.place = (struct succession){
		    SUCCESSION_UNRANKED, SUCCESSION_RANKED_MAX, 40};
		uv_run(&cell->loop, UV_RUN_ONCE);
		relaxed += cell->contexts[number].relaxed;
		steps++;
	}
	return (double)relaxed / steps;
}

/** A member behind the first successors relies on the owner for news of the
 * configuration.  It looks for itself while it has not received a version that
 * it was told of, and while there is no owner.  First successors and the owner
 * always do. */
static void
test_member_relies_on_the_owner(void **state)
{
	struct cell *cell = cell_start();
	unsigned int owner;
	unsigned int other;

	(void)state;
	cell_wait_ready(cell);
	owner = cell_owner(cell);
	other = (owner + 1) % NODES;
	cell_run(cell, 300 * GB_MSEC);
	assert_false(cell->contexts[other].relaxed);
	assert_true(relaxed_share(cell, other) > 0.5);
	assert_true(relaxed_share(cell, owner) == 0);
	node_config_announced(cell->nodes[other], 2);
	cell_run(cell, 200 * GB_MSEC);
	assert_true(relaxed_share(cell, other) == 0);
	gb_node_config_received(cell->nodes[other], "2", 1);
	assert_true(relaxed_share(cell, other) > 0.5);
	cell->nodes[other]->watch.vacant = true;
	cell_run(cell, 30 * GB_MSEC);
	assert_false(cell->contexts[other].relaxed);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_older_version_is_ignored),
	    cmocka_unit_test(test_member_knows_of_newer_version),
	    cmocka_unit_test(test_owner_learns_a_version_from_a_member),
	    cmocka_unit_test(test_unreadable_version_is_sent_once),
	    cmocka_unit_test(test_large_version_reaches_all_over_thin_links),
	    cmocka_unit_test(test_new_owner_is_known_without_the_store),
	    cmocka_unit_test(test_member_stores_when_owner_cannot),
	    cmocka_unit_test(test_member_refuses_cancelled_flow),
	    cmocka_unit_test(test_flows_are_kept_from_loading_owner),
	    cmocka_unit_test(test_link_bounds_flows_without_owner),
	    cmocka_unit_test(test_link_bounds_flows_of_short_takeovers),
	    cmocka_unit_test(test_memory_bounds_flows_without_owner),
	    cmocka_unit_test(test_nothing_is_stored_after_owner_with_full_link),
	    cmocka_unit_test(test_owning_is_not_time_without_owner),
	    cmocka_unit_test(test_members_shed_for_a_full_owner),
	    cmocka_unit_test(test_refusals_are_listed),
	    cmocka_unit_test(test_older_hello_answers_are_decoded),
	    cmocka_unit_test(test_store_rejects_every_node),
	    cmocka_unit_test(test_member_without_store_refuses_at_once),
	    cmocka_unit_test(test_leaving_owner_serves_until_claim),
	    cmocka_unit_test(test_hello_to_former_owner_is_dropped),
	    cmocka_unit_test(test_hanging_connection_is_not_refused),
	    cmocka_unit_test(test_former_owner_knows_the_members),
	    cmocka_unit_test(test_heard_epoch_without_owner),
	    cmocka_unit_test(test_list_of_members_is_sent_once),
	    cmocka_unit_test(test_ranks_ignore_latency_of_hellos),
	    cmocka_unit_test(test_takeover_cause_is_logged),
	    cmocka_unit_test(test_silent_owner_is_logged_once),
	    cmocka_unit_test(test_owner_logs_no_former_owner),
	    cmocka_unit_test(test_refused_hellos_are_logged),
	    cmocka_unit_test(test_loop_stall_is_logged),
	    cmocka_unit_test(test_failed_claim_names_the_winner),
	    cmocka_unit_test(test_lost_pool_names_the_winner),
	    cmocka_unit_test(test_member_relies_on_the_owner),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
