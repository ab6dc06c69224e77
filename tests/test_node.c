/**
 * @file test_node.c
 * Nodes as they meet over their peer ports: who takes callers' flows when the
 * owner can't store them, and how an owner that stops hands the pool over.
 * The tables are the model of the platform; calls end with the next round of
 * the loop.
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
#include "world.h"

#define NODES 3
/** One for each test, and some more. */
#define CELLS_MOST 32
/** Rounds of the loop that a test goes on for at the most, 1 ms each. */
#define ROUNDS_MOST 20000
/** Length of a line of the log, and of a counter. */
#define LINE_MOST 1024

struct cell;

/** A call of a node to the tables. */
struct table_call {
	TAILQ_ENTRY(table_call) next;
	unsigned int node;
	uint64_t id;
	bool write;
	struct gb_pool_txn_res txn;
	struct gb_pool_read_res read;
};

TAILQ_HEAD(table_calls, table_call);

/** What a node's operations are handed. */
struct seat {
	struct cell *cell;
	unsigned int number;
};

struct cell {
	uv_loop_t loop;
	uv_timer_t round;
	struct world *world;
	struct gb_node *nodes[NODES];
	struct seat seats[NODES];
	const struct gb_env *env;
	bool store_refuses[NODES]; /**< turned away by the tables */
	struct table_calls calls;
	unsigned int writes[NODES];
	FILE *log; /**< lines of all nodes */
	bool answered;
	gb_flow_answer answer;
};

static const struct gb_env env = {NULL, NULL, NULL, NULL};
/** Nodes end with their process: their cells stay, each with its addresses. */
static struct cell *cells[CELLS_MOST];
static unsigned int cell_count;

static struct table_call *
table_call_add(struct seat *seat, uint64_t id, bool write)
{
	struct table_call *call = gb_calloc(1, sizeof(*call));

	call->node = seat->number;
	call->id = id;
	call->write = write;
	TAILQ_INSERT_TAIL(&seat->cell->calls, call, next);
	return call;
}

static void
op_txn(void *data, uint64_t id, const struct gb_pool_txn *txn)
{
	struct seat *seat = data;
	struct table_call *call = table_call_add(seat, id, true);

	if (seat->cell->store_refuses[seat->number]) {
		call->txn.status = GB_STORE_REFUSED;
		return;
	}
	seat->cell->writes[seat->number]++;
	world_txn(seat->cell->world, txn, &call->txn);
}

static void
op_read(void *data, uint64_t id, const struct gb_pool_read *read)
{
	struct seat *seat = data;
	struct table_call *call = table_call_add(seat, id, false);

	if (seat->cell->store_refuses[seat->number])
		call->read.status = GB_STORE_REFUSED;
	else
		world_read(seat->cell->world, read, &call->read);
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

/** Versions can't be read, as by a program that is too old for them. */
static bool config_unreadable;

static struct gb_pool_config *
config_decode(const char *text, size_t len)
{
	struct gb_pool_config *config;

	if (config_unreadable)
		return NULL;
	config = gb_pool_config_new(1, 0);
	/* The text is the version; a word behind it names organisations. */
	config->version = strtoull(text, NULL, 10);
	if (memchr(text, ' ', len) != NULL)
		gb_pool_config_orgs(config, 0);
	snprintf(config->queues[0].name, GB_NAME_MAX, "lookup");
	snprintf(config->queues[0].service, GB_NAME_MAX, "svc");
	config->queues[0].max_attempts = 3;
	config->queues[0].stretch = 2;
	config->queues[0].target_us = GB_SEC;
	gb_pool_config_seal(config);
	return config;
}

static void
on_round(uv_timer_t *timer)
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
	    op_heartbeat, op_advise, op_txn, op_read, op_follow, config_decode,
	    &cell->seats[number]};
	struct gb_node_settings settings = {0};
	struct gb_error err = {0};
	struct gb_node *node;

	snprintf(settings.name, sizeof(settings.name), "node-%u", number);
	/* Each process of the test suite has addresses of its own. */
	snprintf(settings.listen, sizeof(settings.listen), "127.%d.%d.%u:7300",
	    1 + (int)getpid() / 250 % 250, 1 + (int)getpid() % 250,
	    cell_count * NODES + number + 1);
	snprintf(settings.addr, sizeof(settings.addr), "%s", settings.listen);
	snprintf(settings.metrics, sizeof(settings.metrics), "127.0.0.1:0");
	snprintf(settings.cpu_share, sizeof(settings.cpu_share), "1");
	settings.lease_ms = 3000;
	settings.stop_ms = 200;
	settings.keep_s = 60;
	settings.grace_s = 6;
	node = gb_node_new(&cell->loop, cell->env, &settings, &platform,
	    gb_events_new(&cell->loop, fileno(cell->log), UINT32_MAX, "node"),
	    &err);
	if (node == NULL)
		fail_msg("node %u: %s", number, err.text);
	gb_node_config_seen(node, "1", 1);
	return node;
}

static struct cell *
cell_begin_in(const struct gb_env *of)
{
	struct cell *cell = gb_calloc(1, sizeof(*cell));
	unsigned int i;

	cell->env = of;
	uv_loop_init(&cell->loop);
	TAILQ_INIT(&cell->calls);
	cell->world = world_new(1);
	cell->log = tmpfile();
	assert_non_null(cell->log);
	for (i = 0; i < NODES; i++) {
		cell->seats[i].cell = cell;
		cell->seats[i].number = i;
		cell->nodes[i] = node_start(cell, i);
	}
	uv_timer_init(&cell->loop, &cell->round);
	cell->round.data = cell;
	uv_timer_start(&cell->round, on_round, 1, 1);
	assert_true(cell_count < CELLS_MOST);
	cells[cell_count++] = cell;
	return cell;
}

static struct cell *
cell_begin(void)
{
	return cell_begin_in(&env);
}

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

/** Whether an owner knows the two others and has told them their places. */
static bool
cell_settled(const struct cell *cell)
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
cell_settle(struct cell *cell)
{
	int i;

	for (i = 0; i < ROUNDS_MOST && !cell_settled(cell); i++)
		uv_run(&cell->loop, UV_RUN_ONCE);
	assert_true(cell_settled(cell));
}

/** Go on for some time. */
static void
cell_run(struct cell *cell, gb_time how_long)
{
	gb_time until = gb_clock_boot() + how_long;

	while (gb_clock_boot() < until)
		uv_run(&cell->loop, UV_RUN_ONCE);
}

/** Lines of an event so far, and in last the newest of them. */
static unsigned int
cell_lines(struct cell *cell, const char *event, char last[LINE_MOST])
{
	char line[LINE_MOST];
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
		snprintf(last, LINE_MOST, "%s", line);
	}
	fseek(cell->log, 0, SEEK_END);
	return count;
}

/** The newest line of an event has this field. */
static void
assert_line(struct cell *cell, const char *event, const char *field)
{
	char line[LINE_MOST];

	if (cell_lines(cell, event, line) == 0)
		fail_msg("no line %s", event);
	if (strstr(line, field) == NULL)
		fail_msg("%s is not in %s", field, line);
}

/** A counter of a node stands at this value. */
static void
assert_counter(struct gb_node *node, const char *name, uint64_t value)
{
	struct gb_text text = {0};
	char line[LINE_MOST];

	gb_node_metrics(node, &text);
	snprintf(
	    line, sizeof(line), "\n%s %llu\n", name, (unsigned long long)value);
	if (strstr(text.data, line) == NULL)
		fail_msg("not %s", line);
	gb_text_free(&text);
}

static void
on_answer(void *data, const gb_flow_answer *answer)
{
	struct cell *cell = data;

	cell->answered = true;
	cell->answer = *answer;
}

static void
cell_submit(struct cell *cell, unsigned int node, const char *id)
{
	gb_flow_submit submit = {0};
	gb_step step = {0};
	char none[] = "";
	int i;

	step.count = 1;
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
	for (i = 0; i < ROUNDS_MOST && !cell->answered; i++)
		uv_run(&cell->loop, UV_RUN_ONCE);
	assert_true(cell->answered);
}

/** A version that is older than one seen changes nothing, whoever sends it, and
 * one without organisations does not open the queues. */
static void
test_versions_only_rise(void **state)
{
	struct cell *cell = cell_begin();
	struct gb_node *node = cell->nodes[1];

	(void)state;
	gb_node_config_seen(node, "3 orgs", 6);
	assert_int_equal(gb_node_config(node)->version, 3);
	assert_true(gb_node_config(node)->keyed);
	gb_node_config_seen(node, "2", 1);
	assert_int_equal(gb_node_config(node)->version, 3);
	gb_node_config_seen(node, "4", 1);
	assert_int_equal(gb_node_config(node)->version, 4);
	assert_true(gb_node_config(node)->keyed);
}

/** A member that the operator's table does not reach knows within a hello that
 * there is a newer version: it must not deny routes by the older one. */
static void
test_member_knows_that_it_is_behind(void **state)
{
	struct cell *cell = cell_begin();
	struct gb_node *member;
	gb_time until;
	int round;

	(void)state;
	cell_settle(cell);
	member = cell->nodes[(cell_owner(cell) + 1) % NODES];
	assert_false(gb_node_config_behind(member));
	until = gb_clock_boot() + 400 * GB_MSEC;
	gb_node_config_seen(cell->nodes[cell_owner(cell)], "5", 1);
	while (gb_clock_boot() < until && !gb_node_config_behind(member))
		uv_run(&cell->loop, UV_RUN_ONCE);
	assert_int_equal(gb_node_config(member)->version, 1);
	assert_true(gb_node_config_behind(member));
	for (round = 0;
	     round < ROUNDS_MOST && gb_node_config(member)->version < 5;
	     round++)
		uv_run(&cell->loop, UV_RUN_ONCE);
	assert_int_equal(gb_node_config(member)->version, 5);
	assert_false(gb_node_config_behind(member));
}

/** All but the owner are told a newer version. */
static void
members_configure(struct cell *cell, const struct gb_node *owner)
{
	unsigned int i;

	for (i = 0; i < NODES; i++) {
		if (cell->nodes[i] != owner)
			gb_node_config_seen(cell->nodes[i], "5 orgs", 6);
	}
}

/** Load: an owner is cut from the operator's table, or reads an old copy of it,
 * while the others are told a new version.  Flows of callers who were judged by
 * that version wait until the owner has it: a member sends it over. */
static void
test_owner_learns_a_version_from_a_member(void **state)
{
	struct cell *cell = cell_begin();
	struct gb_node *owner;
	int round;

	(void)state;
	cell_settle(cell);
	owner = cell->nodes[cell_owner(cell)];
	members_configure(cell, owner);
	for (round = 0;
	     round < ROUNDS_MOST && gb_node_config(owner)->version < 5; round++)
		uv_run(&cell->loop, UV_RUN_ONCE);
	assert_int_equal(gb_node_config(owner)->version, 5);
	assert_true(gb_node_config(owner)->keyed);
	assert_ptr_equal(owner, cell->nodes[cell_owner(cell)]);
}

/** Load: an owner can't take the version that members have, since its program
 * is older.  Each member sends it once and then leaves it for seconds: 43
 * members that try again each second would fill a thin link with it. */
static void
test_owner_is_not_told_again_and_again(void **state)
{
	struct cell *cell = cell_begin();
	struct gb_node *owner;
	gb_time until;

	(void)state;
	cell_settle(cell);
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

/** Version that a node stored with a flow, for the owner that finds it. */
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

/** Load: the store turns the owner away and serves the others.  A flow that
 * reaches another node is stored by that one, until the pool is taken over. */
static void
test_node_stores_what_the_owner_cannot(void **state)
{
	struct cell *cell = cell_begin();
	unsigned int owner;
	unsigned int other;
	unsigned int rows;

	(void)state;
	cell_settle(cell);
	owner = cell_owner(cell);
	other = (owner + 1) % NODES;
	cell->store_refuses[owner] = true;
	rows = world_row_count(cell->world, GB_POOL_FLOWS);
	cell_submit(cell, other, "00000000000000a1");
	assert_int_equal(cell->answer.verdict, GB_FLOW_ACCEPTED);
	assert_int_equal(world_row_count(cell->world, GB_POOL_FLOWS), rows + 1);
	assert_int_equal(stored_version(cell, "00000000000000a1"), 1);
}

/** A node learns that the owner has read what is stored for a second, while the
 * store is as quick as usual. */
static void
owner_reads(struct gb_node *node, gb_time unserved)
{
	gb_time now = gb_clock_boot();

	node->watch.owner_confirmed_at = now - unserved;
	node->watch.acquiring_since = now - GB_SEC;
	node->watch.store_read_at = now;
	node->watch.store_took = GB_MSEC;
}

/** A node that has known for a while that the new owner reads what is stored
 * does not send it flows again and again, which its link carries meanwhile. */
static void
test_flows_are_kept_from_an_owner_that_reads(void **state)
{
	struct cell *cell = cell_begin();
	unsigned int other;
	unsigned int writes;

	(void)state;
	cell_settle(cell);
	other = (cell_owner(cell) + 1) % NODES;
	writes = cell->writes[other];
	owner_reads(cell->nodes[other], 0);
	cell_submit(cell, other, "00000000000000a5");
	assert_int_equal(cell->answer.verdict, GB_FLOW_ACCEPTED);
	assert_int_equal(cell->writes[other], writes + 1);
}

/** Nobody has served for long: what is stored for an owner is bounded by what a
 * link like this one carries, and the rest is refused at once. */
static void
test_thin_link_bounds_what_is_stored_without_an_owner(void **state)
{
	static struct gb_env thin_env;
	struct cell *cell;
	struct gb_node *other;
	unsigned int accepted = 0;
	unsigned int i;

	(void)state;
	thin_env.link = gb_link_new(2000);
	cell = cell_begin_in(&thin_env);
	cell_settle(cell);
	other = cell->nodes[(cell_owner(cell) + 1) % NODES];
	for (i = 0; i < 5; i++) {
		gb_time began = gb_clock_boot();
		char id[32];

		snprintf(id, sizeof(id), "00000000000000b%u", i);
		owner_reads(other, 10 * GB_SEC);
		cell_submit(cell, (cell_owner(cell) + 1) % NODES, id);
		accepted += cell->answer.verdict == GB_FLOW_ACCEPTED;
		if (cell->answer.verdict == GB_FLOW_ACCEPTED)
			continue;
		assert_int_equal(cell->answer.verdict, GB_FLOW_REFUSED);
		assert_true(cell->answer.retry_after_us > 0);
		assert_true(gb_clock_boot() - began < 100 * GB_MSEC);
	}
	assert_int_equal(accepted, 1);
}

/** A node that owned the pool itself has not been without an owner. */
static void
test_former_owner_was_served(void **state)
{
	struct cell *cell = cell_begin();
	struct gb_node *owner;

	(void)state;
	cell_settle(cell);
	owner = cell->nodes[cell_owner(cell)];
	owner->watch.owner_confirmed_at = 0;
	cell_run(cell, 100 * GB_MSEC);
	assert_true(
	    watch_time_without_owner(&owner->watch, gb_clock_boot()) < GB_SEC);
}

/** What the owner's link has no room for is refused by the members, at once,
 * before it is sent; what the owner may have got already is not. */
static void
test_members_refuse_what_the_owner_has_no_room_for(void **state)
{
	struct cell *cell = cell_begin();
	unsigned int owner;
	unsigned int other;
	unsigned int refused = 0;
	unsigned int i;

	(void)state;
	cell_settle(cell);
	owner = cell_owner(cell);
	other = (owner + 1) % NODES;
	/* The owner's own account, which counts only with a link. */
	cell->nodes[other]->shed_told = 100;
	cell_submit(cell, other, "00000000000000c0");
	assert_int_equal(cell->answer.verdict, GB_FLOW_REFUSED);
	assert_true(cell->answer.retry_after_us > 0);
	assert_int_equal(cell->nodes[other]->sheds, 1);
	/* The next hello tells that there is room. */
	cell_run(cell, GB_SEC);
	for (i = 1; i < 5; i++) {
		char id[32];

		snprintf(id, sizeof(id), "00000000000000c%u", i);
		cell_submit(cell, other, id);
		refused += cell->answer.verdict == GB_FLOW_REFUSED;
	}
	assert_int_equal(refused, 0);
}

/** Answers to hellos of programs before this field are read. */
static void
test_older_answers_to_hellos_are_read(void **state)
{
	const struct gb_rpc_method *method = &gb_rpc_methods[GB_PROC_HELLO];
	char none[] = "";
	gb_hello_res written = {.owner_addr = none, .epoch = 7, .shed = 40};
	gb_hello_res read = {0};
	gb_body body;

	(void)state;
	assert_true(gb_xdr_encode(method->res, &written, &body));
	assert_true(gb_xdr_decode(method->res, &body, &read));
	assert_int_equal(read.shed, 40);
	xdr_free(method->res, (char *)&read);
	memset(&read, 0, sizeof(read));
	body.gb_body_len -= BYTES_PER_XDR_UNIT;
	assert_true(gb_xdr_decode(method->res, &body, &read));
	assert_int_equal(read.epoch, 7);
	assert_int_equal(read.shed, 0);
	xdr_free(method->res, (char *)&read);
	free(body.gb_body_val);
}

/** When the store turns all away, a flow is refused, with a time to come back,
 * and never with an answer that leaves open whether it was taken. */
static void
test_nobody_can_store(void **state)
{
	struct cell *cell = cell_begin();
	unsigned int i;

	(void)state;
	cell_settle(cell);
	for (i = 0; i < NODES; i++)
		cell->store_refuses[i] = true;
	cell_submit(cell, (cell_owner(cell) + 1) % NODES, "00000000000000a2");
	assert_int_equal(cell->answer.verdict, GB_FLOW_REFUSED);
	assert_true(cell->answer.retry_after_us > 0);
}

/** Load: the instances are stopped in turn.  The owner stays the owner until a
 * member of its choice has claimed the pool, in every round of the loop. */
static void
test_leaving_owner_serves_until_it_is_succeeded(void **state)
{
	struct cell *cell = cell_begin();
	unsigned int owner;
	int i;

	(void)state;
	cell_settle(cell);
	owner = cell_owner(cell);
	gb_node_leave(cell->nodes[owner]);
	assert_true(cell->nodes[owner]->handover.under_way);
	for (i = 0; i < ROUNDS_MOST && !gb_node_left(cell->nodes[owner]); i++) {
		assert_true(gb_pool_owns(cell->nodes[owner]->pool));
		uv_run(&cell->loop, UV_RUN_ONCE);
	}
	assert_true(gb_node_left(cell->nodes[owner]));
	assert_false(cell->nodes[owner]->released);
	for (i = 0; i < ROUNDS_MOST && cell_owner(cell) == NODES; i++)
		uv_run(&cell->loop, UV_RUN_ONCE);
	assert_int_not_equal(cell_owner(cell), NODES);
	assert_int_not_equal(cell_owner(cell), owner);
	assert_string_equal(cell->nodes[owner]->watch.owner,
	    cell->nodes[cell_owner(cell)]->settings.addr);
}

/** A hello that the owner before had not answered held up the first one to the
 * next owner, and its end counted for that one. */
static void
test_hello_to_the_owner_before_says_nothing_of_the_next(void **state)
{
	struct cell *cell = cell_begin();
	struct gb_node *node;
	struct gb_node *next;
	int i;

	(void)state;
	cell_settle(cell);
	node = cell->nodes[(cell_owner(cell) + 1) % NODES];
	next = cell->nodes[(cell_owner(cell) + 2) % NODES];
	for (i = 0; i < ROUNDS_MOST && !node->watch.hello_in_flight; i++)
		uv_run(&cell->loop, UV_RUN_ONCE);
	watch_handed(&node->watch, node_now(), next->settings.addr,
	    node->watch.epoch + 1);
	assert_int_equal(watch_next(&node->watch, node_now()), WATCH_HELLO);
	gb_rpc_pool_free(node->peers);
	node->peers = gb_rpc_pool_new(&cell->loop, &env);
	assert_int_equal(node->watch.missed, 0);
	assert_int_equal(node->watch.refused, 0);
}

/** An address at which connections neither come about nor are refused: the
 * queue of those that nobody takes is full. */
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

/** Packets that a cut swallows counted as a process that nobody listens at, and
 * the pool was taken without a question to anybody. */
static void
test_connection_that_hangs_is_not_refused(void **state)
{
	struct cell *cell = cell_begin();
	char addr[GB_NAME_MAX + 1];
	struct gb_node *node;
	int i;

	(void)state;
	cell_settle(cell);
	node = cell->nodes[(cell_owner(cell) + 1) % NODES];
	/* It would learn of the owner from the row. */
	cell->store_refuses[(cell_owner(cell) + 1) % NODES] = true;
	hanging_address(addr);
	watch_handed(&node->watch, node_now(), addr, node->watch.epoch + 1);
	for (i = 0; i < ROUNDS_MOST && node->watch.missed == 0; i++)
		uv_run(&cell->loop, UV_RUN_ONCE);
	assert_int_equal(node->watch.missed, 1);
	assert_int_equal(node->watch.refused, 0);
}

/** A former owner knew no members, asked nobody, and took the pool back from an
 * owner that all the others heard. */
static void
test_former_owner_knows_the_members(void **state)
{
	struct cell *cell = cell_begin();
	struct gb_node *owner;
	int i;

	(void)state;
	cell_settle(cell);
	owner = cell->nodes[cell_owner(cell)];
	gb_pool_epoch_seen(
	    owner->pool, node_now(), gb_pool_epoch(owner->pool) + 1);
	assert_false(gb_pool_owns(owner->pool));
	assert_int_equal(owner->known_count, NODES - 1);
	assert_int_equal(owner->watch.place.members, NODES - 1);
	for (i = 0; i < ROUNDS_MOST && cell_owner(cell) == NODES; i++)
		uv_run(&cell->loop, UV_RUN_ONCE);
	assert_int_not_equal(cell_owner(cell), NODES);
}

/** Load: 97 nodes say hello five times a second each.  The list of members goes
 * to those alone that have not got it, and again when a member has come. */
static void
test_list_of_members_is_sent_once(void **state)
{
	struct cell *cell = cell_begin();
	gb_hello_res res = {0};
	gb_hello late = {0};
	const struct node_member *member;
	struct gb_node *owner;
	struct gb_node *other;
	int i;

	(void)state;
	cell_settle(cell);
	owner = cell->nodes[cell_owner(cell)];
	other = cell->nodes[(cell_owner(cell) + 1) % NODES];
	for (i = 0; i < ROUNDS_MOST && other->known_vers != owner->members_vers;
	     i++)
		uv_run(&cell->loop, UV_RUN_ONCE);
	assert_int_equal(other->known_vers, owner->members_vers);
	assert_int_equal(other->known_count, NODES - 2);
	node_members_fill(owner, owner->members, other->known_vers, &res);
	assert_int_equal(res.members.members_len, 0);
	assert_in_range(res.rank, 0, NODES - 2);
	assert_int_equal(res.ranked, NODES - 1);
	late.name = late.addr = late.dc = (char *)"127.0.0.1:1";
	member = node_member_hello_received(owner, &late);
	node_members_fill(owner, member, other->known_vers, &res);
	assert_int_equal(res.members.members_len, NODES);
	assert_int_equal(res.rank, SUCCESSION_UNRANKED);
	free(res.members.members_val);
}

/** Say hello to an owner as a member whose process has this age. */
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

static const char *
first_successor(struct gb_node *owner)
{
	struct succession_member order[NODES + 2];

	assert_true(node_members_order(owner, order) > 0);
	return order[0].addr;
}

/** Load: 15 equal nodes that started at nearly the same time.  Hellos take a
 * few milliseconds more or less, and ranks that change by that would make no
 * successor look long enough whether the store serves it. */
static void
test_ranks_do_not_change_with_the_way_of_hellos(void **state)
{
	struct cell *cell = cell_begin();
	char a[] = "127.0.0.1:1";
	char b[] = "127.0.0.1:2";
	struct gb_node *owner;

	(void)state;
	cell_settle(cell);
	owner = cell->nodes[cell_owner(cell)];
	member_hello(owner, a, 1, 5000 * GB_MSEC);
	member_hello(owner, b, 2, 5010 * GB_MSEC);
	assert_string_equal(first_successor(owner), a);
	member_hello(owner, b, 2, 4980 * GB_MSEC);
	assert_string_equal(first_successor(owner), a);
	/* A process that was started anew will stay longest. */
	member_hello(owner, b, 3, 1000 * GB_MSEC);
	assert_string_equal(first_successor(owner), b);
}

/** The log of a takeover did not say what had led to it. */
static void
test_log_says_why_the_pool_was_taken(void **state)
{
	struct cell *cell = cell_begin();
	struct gb_node *owner;
	unsigned int i;

	(void)state;
	cell_settle(cell);
	assert_line(cell, "takeover_decided", "\"cause\":\"no_row\"");
	owner = cell->nodes[cell_owner(cell)];
	assert_counter(
	    owner, "gooseberry_takeovers_decided{cause=\"no_row\"}", 1);
	owner->disabled_features |= UINT32_C(1) << GB_FEATURE_HANDOVER;
	gb_node_leave(owner);
	for (i = 0;
	     i < ROUNDS_MOST && (cell_owner(cell) == NODES ||
				    cell->nodes[cell_owner(cell)] == owner);
	     i++)
		uv_run(&cell->loop, UV_RUN_ONCE);
	assert_line(cell, "takeover_decided", "\"cause\":\"vacating\"");
	assert_line(cell, "takeover_decided", "\"owner\":\"127.");
	assert_line(cell, "takeover_decided", "\"hearing\":0");
	assert_line(cell, "takeover_decided", "\"row\":\"unknown\"");
	assert_counter(cell->nodes[cell_owner(cell)],
	    "gooseberry_takeovers_decided{cause=\"vacating\"}", 1);
	assert_line(cell, "ownership_ended", "\"members\":2");
	assert_line(cell, "ownership_ended", "\"hello_ms_ago\":");
}

/** A silent owner left no line until the members were asked about it, and then
 * none when it was heard again. */
static void
test_silence_of_the_owner_is_told_once(void **state)
{
	struct cell *cell = cell_begin();
	char line[LINE_MOST];
	struct gb_node *node;

	(void)state;
	cell_settle(cell);
	node = cell->nodes[(cell_owner(cell) + 1) % NODES];
	owner_monitor_hello_lost(node);
	owner_monitor_hello_lost(node);
	assert_int_equal(cell_lines(cell, "owner_unheard", line), 1);
	assert_line(cell, "owner_unheard", node->watch.owner);
	owner_monitor_hello_answered(node);
	assert_int_equal(cell_lines(cell, "owner_heard_again", line), 0);
	owner_monitor_hello_lost(node);
	node->owner_monitor.answered -= GB_SEC;
	owner_monitor_hello_answered(node);
	assert_int_equal(cell_lines(cell, "owner_unheard", line), 2);
	assert_int_equal(cell_lines(cell, "owner_heard_again", line), 1);
	assert_line(cell, "owner_heard_again", "\"silent_ms\":1");
	assert_counter(node, "gooseberry_owner_silences", 2);
}

/** A node that had taken the pool over was said to hear the owner before the
 * last again, after all the time for which it had owned the pool itself. */
static void
test_owner_hears_no_owner(void **state)
{
	struct cell *cell = cell_begin();
	char line[LINE_MOST];
	struct gb_node *node;
	unsigned int before;

	(void)state;
	cell_settle(cell);
	node = cell->nodes[(cell_owner(cell) + 1) % NODES];
	owner_monitor_hello_lost(node);
	before = cell_lines(cell, "owner_unheard", line);
	owner_monitor_owner_changed(node, true, 2);
	node->owner_monitor.answered -= 10 * GB_SEC;
	owner_monitor_hello_lost(node);
	owner_monitor_hello_answered(node);
	assert_int_equal(cell_lines(cell, "owner_unheard", line), before);
	assert_int_equal(cell_lines(cell, "owner_heard_again", line), 0);
}

/** Nobody listens at the address of the owner that a node was told of. */
static void
test_refused_hellos_are_told(void **state)
{
	struct cell *cell = cell_begin();
	char line[LINE_MOST];
	struct gb_node *node;

	(void)state;
	cell_settle(cell);
	node = cell->nodes[(cell_owner(cell) + 1) % NODES];
	watch_handed(
	    &node->watch, node_now(), "127.0.0.1:1", node->watch.epoch);
	cell_run(cell, GB_SEC);
	assert_int_equal(cell_lines(cell, "owner_unheard", line), 1);
	assert_line(cell, "owner_unheard", "\"owner\":\"127.0.0.1:1\"");
	assert_line(cell, "owner_unheard", "\"refused\":1");
	assert_false(node->owner_monitor.silent);
}

/** A process that stood still could not be told from one that was cut off. */
static void
test_stall_of_the_loop_is_told(void **state)
{
	struct cell *cell = cell_begin();
	char line[LINE_MOST];
	unsigned int before;

	(void)state;
	cell_settle(cell);
	before = cell_lines(cell, "loop_stalled", line);
	usleep(400 * 1000);
	cell_run(cell, 100 * GB_MSEC);
	assert_true(cell_lines(cell, "loop_stalled", line) >= before + NODES);
	assert_true(cell->nodes[0]->owner_monitor.stalls > 0);
	assert_true(cell->nodes[0]->owner_monitor.stalled >= 400 * GB_MSEC);
	assert_counter(cell->nodes[0], "gooseberry_loop_stalls",
	    cell->nodes[0]->owner_monitor.stalls);
}

/** How a line gives an epoch. */
static void
epoch_field(char out[LINE_MOST], const char *name, uint64_t epoch)
{
	snprintf(
	    out, LINE_MOST, "\"%s\":%llu,", name, (unsigned long long)epoch);
}

/** A claim that another node had been faster than did not say which. */
static void
test_failed_claim_names_the_winner(void **state)
{
	struct cell *cell = cell_begin();
	struct gb_node *owner;
	struct gb_node *other;
	char line[LINE_MOST];
	char epoch[LINE_MOST];
	uint64_t failed;
	unsigned int before;
	int i;

	(void)state;
	cell_settle(cell);
	owner = cell->nodes[cell_owner(cell)];
	other = cell->nodes[(cell_owner(cell) + 1) % NODES];
	epoch_field(epoch, "winner_epoch", gb_pool_epoch(owner->pool));
	failed = gb_pool_stats(other->pool)->takeovers_failed;
	before = cell_lines(cell, "takeover_failed", line);
	gb_pool_take(other->pool, node_now(), 0, TAKEOVER_SILENT_OWNER);
	for (i = 0; i < ROUNDS_MOST && gb_pool_acquiring(other->pool); i++)
		uv_run(&cell->loop, UV_RUN_ONCE);
	assert_int_equal(cell_lines(cell, "takeover_failed", line), before + 1);
	assert_line(cell, "takeover_failed", "another node was first");
	assert_line(cell, "takeover_failed", owner->settings.addr);
	assert_line(cell, "takeover_failed", epoch);
	assert_counter(other, "gooseberry_takeovers_failed", failed + 1);
	assert_ptr_equal(owner, cell->nodes[cell_owner(cell)]);
}

/** The same for an owner that another node has taken the pool from. */
static void
test_lost_pool_names_the_winner(void **state)
{
	struct cell *cell = cell_begin();
	struct gb_node *owner;
	struct gb_node *other;
	char epoch[LINE_MOST];
	int i;

	(void)state;
	cell_settle(cell);
	owner = cell->nodes[cell_owner(cell)];
	other = cell->nodes[(cell_owner(cell) + 1) % NODES];
	epoch_field(epoch, "winner_epoch", gb_pool_epoch(owner->pool) + 1);
	gb_pool_take(other->pool, node_now(), gb_pool_epoch(owner->pool),
	    TAKEOVER_SILENT_OWNER);
	for (i = 0; i < ROUNDS_MOST && gb_pool_owns(owner->pool); i++)
		uv_run(&cell->loop, UV_RUN_ONCE);
	assert_line(cell, "ownership_lost", "another node owns the pool");
	assert_line(cell, "ownership_lost", other->settings.addr);
	assert_line(cell, "ownership_lost", epoch);
	assert_line(cell, "ownership_ended", "\"held_ms\":");
	assert_counter(owner, "gooseberry_ownership_losses", 1);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_versions_only_rise),
	    cmocka_unit_test(test_member_knows_that_it_is_behind),
	    cmocka_unit_test(test_owner_learns_a_version_from_a_member),
	    cmocka_unit_test(test_owner_is_not_told_again_and_again),
	    cmocka_unit_test(test_node_stores_what_the_owner_cannot),
	    cmocka_unit_test(test_flows_are_kept_from_an_owner_that_reads),
	    cmocka_unit_test(
		test_thin_link_bounds_what_is_stored_without_an_owner),
	    cmocka_unit_test(test_former_owner_was_served),
	    cmocka_unit_test(
		test_members_refuse_what_the_owner_has_no_room_for),
	    cmocka_unit_test(test_older_answers_to_hellos_are_read),
	    cmocka_unit_test(test_nobody_can_store),
	    cmocka_unit_test(test_leaving_owner_serves_until_it_is_succeeded),
	    cmocka_unit_test(
		test_hello_to_the_owner_before_says_nothing_of_the_next),
	    cmocka_unit_test(test_connection_that_hangs_is_not_refused),
	    cmocka_unit_test(test_former_owner_knows_the_members),
	    cmocka_unit_test(test_list_of_members_is_sent_once),
	    cmocka_unit_test(test_ranks_do_not_change_with_the_way_of_hellos),
	    cmocka_unit_test(test_log_says_why_the_pool_was_taken),
	    cmocka_unit_test(test_silence_of_the_owner_is_told_once),
	    cmocka_unit_test(test_owner_hears_no_owner),
	    cmocka_unit_test(test_refused_hellos_are_told),
	    cmocka_unit_test(test_stall_of_the_loop_is_told),
	    cmocka_unit_test(test_failed_claim_names_the_winner),
	    cmocka_unit_test(test_lost_pool_names_the_winner),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
