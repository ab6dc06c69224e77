/**
 * @file test_quota.c
 * Guards against organisations that get more than their quota, or see flows of
 * others. A quota is exceeded when an owner starts tasks although it does not
 * know yet, after a takeover or a lost call, what runs for the organisation.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pool_cell.h"

#define QUOTA_LARGE_CPU_MILLI 40000
#define QUOTA_SMALL_CPU_MILLI 6000
/** Number of seeds that the test with random faults runs with by default. */
#define SEED_COUNT 60

/** 16 workers with 16 processors and 64 GB each, without advice service. */
static const struct pool_cell_setup plain = {
    1, 16, {16000, 64000, 0, 0, 0}, 0, 0, 0, 0, 0, 0};

/** Selects the organisation that submits the next flows. */
static void
org_select(struct pool_cell *cell, const char *org)
{
	snprintf(cell->org, sizeof(cell->org), "%s", org);
}

/** Submits ten flows that need eight times the quota together. */
static void
submit_imports(struct pool_cell *cell, uint32_t flags)
{
	int i;

	for (i = 0; i < 10; i++) {
		pool_cell_step_add(cell, 16, 2000, GB_SEC, flags, -1);
		pool_cell_submit(cell, "import", "ms=1000");
	}
}

/** Removes the organisation that was added last, with its key and its quota. */
static void
org_remove(struct pool_cell *cell, const char *name)
{
	static const struct gb_pool_amount none;

	cell->org_count--;
	assert_string_equal(cell->orgs[cell->org_count].name, name);
	world_org_quota(cell->world, name, &none);
	pool_cell_configure(cell);
}

static void
assert_all_succeeded(const struct pool_cell *cell)
{
	size_t i;

	for (i = 0; i < cell->flow_count; i++)
		assert_int_equal(cell->flows[i].status, GB_FLOW_SUCCEEDED);
	pool_cell_assert_no_violation(cell);
}

/** The quota is used up and never exceeded, and another organisation is not
 * delayed. */
static void
test_quota_is_used_and_kept(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&plain);
	size_t other;

	(void)state;
	pool_cell_quota(cell, "large", QUOTA_LARGE_CPU_MILLI, 0);
	pool_cell_quota(cell, "small", 0, 0);
	org_select(cell, "large");
	submit_imports(cell, 0);
	pool_cell_run(cell, 500 * GB_MSEC);
	assert_int_equal(
	    world_org_cpu(cell->world, "large"), QUOTA_LARGE_CPU_MILLI);
	org_select(cell, "small");
	other = pool_cell_submit_lookup(cell);
	pool_cell_run(cell, 1500 * GB_MSEC);
	assert_int_equal(cell->flows[other].status, GB_FLOW_SUCCEEDED);
	pool_cell_run(cell, 15 * GB_SEC);
	assert_all_succeeded(cell);
	pool_cell_free(cell);
}

/** A gang starts as a whole within the quota, or waits. */
static void
test_gangs_wait_for_quota(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&plain);

	(void)state;
	pool_cell_quota(cell, "large", QUOTA_LARGE_CPU_MILLI, 0);
	org_select(cell, "large");
	submit_imports(cell, GB_STEP_GANG);
	pool_cell_run(cell, 25 * GB_SEC);
	assert_all_succeeded(cell);
	pool_cell_free(cell);
}

/** Memory is limited like processors. */
static void
test_memory_quota(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&plain);
	int i;

	(void)state;
	pool_cell_quota(cell, "large", 0, 20000);
	org_select(cell, "large");
	for (i = 0; i < 10; i++) {
		pool_cell_step_add(cell, 4, 500, GB_SEC, 0, -1);
		cell->flows[cell->flow_count].spec.steps.steps_val[0].res.mem =
		    4000;
		pool_cell_submit(cell, "import", "ms=1000");
	}
	pool_cell_run(cell, 15 * GB_SEC);
	assert_all_succeeded(cell);
	pool_cell_free(cell);
}

/** A quota that is lowered far below what runs stops nothing and prevents
 * further starts; once it is raised, starts resume. */
static void
test_lowered_quota_stops_nothing(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&plain);
	unsigned int starts;

	(void)state;
	pool_cell_quota(cell, "large", QUOTA_LARGE_CPU_MILLI, 0);
	org_select(cell, "large");
	submit_imports(cell, 0);
	pool_cell_run(cell, 300 * GB_MSEC);
	starts = cell->starts;
	pool_cell_quota(cell, "large", 2000, 0);
	pool_cell_run(cell, 300 * GB_MSEC);
	assert_int_equal(cell->starts, starts);
	assert_int_equal(
	    world_org_cpu(cell->world, "large"), QUOTA_LARGE_CPU_MILLI);
	pool_cell_run(cell, 4 * GB_SEC);
	assert_true(world_org_cpu(cell->world, "large") <= 2000);
	assert_true(cell->starts > starts);
	pool_cell_quota(cell, "large", 0, 0);
	pool_cell_run(cell, 8 * GB_SEC);
	assert_all_succeeded(cell);
	pool_cell_free(cell);
}

/** A gang larger than the quota is rejected at once. */
static void
test_gang_over_quota_is_rejected(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&plain);
	size_t flow;

	(void)state;
	pool_cell_quota(cell, "large", QUOTA_LARGE_CPU_MILLI, 0);
	org_select(cell, "large");
	pool_cell_step_add(cell, 21, 2000, GB_SEC, GB_STEP_GANG, -1);
	flow = pool_cell_submit(cell, "import", "ms=1000");
	assert_true(cell->flows[flow].answered);
	assert_int_equal(cell->flows[flow].answer.verdict, GB_FLOW_REFUSED);
	assert_true(cell->flows[flow].answer.retry_after_us > 0);
	/* The same tasks without a gang run in turns. */
	pool_cell_step_add(cell, 21, 2000, GB_SEC, 0, -1);
	flow = pool_cell_submit(cell, "import", "ms=1000");
	pool_cell_run(cell, 5 * GB_SEC);
	assert_int_equal(cell->flows[flow].status, GB_FLOW_SUCCEEDED);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

/** Runs one random round: load, a cancelled flow, changes of quotas and keys, a
 * lost worker and a takeover. */
static void
run_random_round(struct pool_cell *cell, int round)
{
	unsigned int number;

	org_select(cell, "large");
	submit_imports(cell, round % 2 == 0 ? 0 : GB_STEP_GANG);
	org_select(cell, "small");
	pool_cell_submit_lookup(cell);
	pool_cell_run(
	    cell, (gb_time)(gb_random_next(&cell->seed) % 900) * GB_MSEC);
	pool_cell_cancel(cell, gb_random_next(&cell->seed) % cell->flow_count);
	pool_cell_run(cell, 100 * GB_MSEC);
	if (round % 2 == 0)
		org_remove(cell, "small");
	else
		pool_cell_quota(cell, "small", QUOTA_SMALL_CPU_MILLI, 0);
	number = (unsigned int)(gb_random_next(&cell->seed) % CELL_NODES);
	world_worker_crash(cell->world, number);
	if (round == 2)
		pool_cell_quota(cell, "large", QUOTA_LARGE_CPU_MILLI / 2, 0);
	pool_cell_replace_owner(cell, number);
}

/** Runs random rounds with faults that the seed selects. */
static void
run_seed(uint64_t seed)
{
	struct pool_cell_setup setup = plain;
	struct pool_cell *cell;
	int i;

	setup.seed = seed;
	cell = pool_cell_begin(&setup);
	pool_cell_quota(cell, "large", QUOTA_LARGE_CPU_MILLI, 0);
	pool_cell_quota(cell, "small", QUOTA_SMALL_CPU_MILLI, 0);
	cell->faults.order_lost = (unsigned int)(seed % 3) * 20;
	cell->faults.order_late = (unsigned int)(seed % 2) * 20;
	cell->faults.order_dropped = (unsigned int)(seed % 5) * 10;
	cell->faults.heartbeat_lost = (unsigned int)(seed % 4) * 10;
	for (i = 0; i < 5; i++)
		run_random_round(cell, i);
	pool_cell_run(cell, 2 * GB_SEC);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

/** An organisation is at its quota while orders and heartbeats are lost or
 * late, workers crash, owners are killed, a quota is lowered, and keys are
 * removed and added. The environment variables GB_POOL_SEED and GB_POOL_RUNS
 * select the first seed and the number of seeds. */
static void
test_quota_with_faults_and_takeovers(void **state)
{
	const char *from = getenv("GB_POOL_SEED");
	const char *runs = getenv("GB_POOL_RUNS");
	uint64_t seed = from == NULL ? 1 : strtoull(from, NULL, 10);
	uint64_t last =
	    seed + (runs == NULL ? SEED_COUNT : strtoull(runs, NULL, 10));

	(void)state;
	for (; seed < last; seed++)
		run_seed(seed);
}

/** 60% of the heartbeats of a new owner are lost at first. Runs on workers that
 * have not answered yet count against the quota, although the owner does not
 * know to which organisation they belong. */
static void
test_unknown_runs_count(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= 10; seed++) {
		struct pool_cell_setup setup = plain;
		struct pool_cell *cell;

		setup.seed = seed;
		cell = pool_cell_begin(&setup);
		pool_cell_quota(cell, "large", QUOTA_LARGE_CPU_MILLI, 0);
		org_select(cell, "large");
		pool_cell_step_add(cell, 20, 2000, 3 * GB_SEC, 0, -1);
		pool_cell_submit(cell, "import", "ms=3000");
		pool_cell_run(cell, 500 * GB_MSEC);
		cell->faults.heartbeat_lost = 60;
		pool_cell_replace_owner(cell, 1);
		while (pool_cell_owner(cell) != 1)
			pool_cell_run(cell, 5 * GB_MSEC);
		submit_imports(cell, 0);
		pool_cell_run(cell, 800 * GB_MSEC);
		cell->faults.heartbeat_lost = 0;
		pool_cell_run(cell, 20 * GB_SEC);
		assert_all_succeeded(cell);
		pool_cell_free(cell);
	}
}

/** The orders to stop a cancelled flow are late. The flow counts against the
 * quota until its runs have ended. */
static void
test_runs_being_stopped_count(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&plain);
	size_t flow;

	(void)state;
	pool_cell_quota(cell, "large", QUOTA_LARGE_CPU_MILLI, 0);
	org_select(cell, "large");
	pool_cell_step_add(cell, 20, 2000, 3 * GB_SEC, 0, -1);
	flow = pool_cell_submit(cell, "import", "ms=3000");
	pool_cell_run(cell, 500 * GB_MSEC);
	cell->faults.order_late = 100;
	pool_cell_cancel(cell, flow);
	pool_cell_run(cell, 100 * GB_MSEC);
	cell->faults.order_late = 0;
	submit_imports(cell, 0);
	pool_cell_run(cell, 15 * GB_SEC);
	assert_int_equal(cell->flows[flow].status, GB_FLOW_CANCELLED);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

/* Ownership of flows ------------------------------------------------------ */

/** Asks about a flow as a caller with the key of an organisation, through a
 * node with the given version of the configuration. */
static gb_flow_answer
ask_as(struct pool_cell *cell, size_t number, gb_flow_op op, const char *org,
    uint64_t config)
{
	const struct pool_cell_flow *flow = &cell->flows[number];
	struct gb_pool_key_digest digest;
	gb_flow_ask ask = {0};

	gb_pool_key_digest(org, &digest);
	ask.op = op;
	ask.caller.config = config;
	ask.caller.org = (char *)org;
	ask.caller.key.key_len = sizeof(digest.bytes);
	ask.caller.key.key_val = (char *)digest.bytes;
	pool_cell_ask(cell, number, &ask, 200 * GB_MSEC);
	assert_true(flow->answered);
	return flow->answer;
}

/** Other organisations can neither see nor cancel a flow, even after it has
 * finished and after a takeover that loaded it from the store. */
static void
test_flow_is_hidden_from_other_orgs(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&plain);
	uint64_t version;
	size_t flow;
	int i;

	(void)state;
	pool_cell_quota(cell, "large", 0, 0);
	pool_cell_quota(cell, "small", 0, 0);
	version = cell->config->version;
	org_select(cell, "large");
	pool_cell_step_add(cell, 2, 1000, 3 * GB_SEC, 0, -1);
	flow = pool_cell_submit(cell, "import", "ms=3000");
	pool_cell_run(cell, 300 * GB_MSEC);
	for (i = 0; i < 3; i++) {
		assert_int_equal(
		    ask_as(cell, flow, GB_FLOW_OP_CANCEL, "small", version)
			.status,
		    GB_FLOW_UNKNOWN);
		assert_int_equal(
		    ask_as(cell, flow, GB_FLOW_OP_STATE, "small", version)
			.status,
		    GB_FLOW_UNKNOWN);
		assert_int_not_equal(
		    ask_as(cell, flow, GB_FLOW_OP_STATE, "large", version)
			.status,
		    GB_FLOW_UNKNOWN);
		if (i == 0)
			pool_cell_run(cell, 4 * GB_SEC);
		else
			pool_cell_replace_owner(cell, 1);
		pool_cell_run(cell, 2 * GB_SEC);
	}
	assert_int_equal(
	    ask_as(cell, flow, GB_FLOW_OP_STATE, "large", version).status,
	    GB_FLOW_SUCCEEDED);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

/** The owner checks keys by the newer of its own version and that of the
 * sender. A flow that was accepted before its key was removed continues. */
static void
test_newer_version_decides(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&plain);
	struct gb_pool_config *older;
	uint64_t version;
	size_t flow;

	(void)state;
	pool_cell_quota(cell, "large", 0, 0);
	pool_cell_quota(cell, "small", 0, 0);
	older = gb_pool_config_ref(cell->config);
	version = older->version;
	org_select(cell, "small");
	flow = pool_cell_submit_lookup(cell);
	org_remove(cell, "small");
	assert_int_equal(
	    ask_as(cell, flow, GB_FLOW_OP_STATE, "small", version).verdict,
	    GB_FLOW_DENIED);
	assert_int_equal(
	    ask_as(cell, flow, GB_FLOW_OP_CANCEL, "small", version).verdict,
	    GB_FLOW_DENIED);
	/* An older version that arrives late changes nothing. */
	gb_pool_configure(cell->nodes[0], cell->now, older);
	assert_int_equal(
	    ask_as(cell, flow, GB_FLOW_OP_STATE, "small", version).verdict,
	    GB_FLOW_DENIED);
	gb_pool_config_unref(older);
	pool_cell_run(cell, 2 * GB_SEC);
	assert_int_equal(cell->flows[flow].status, GB_FLOW_SUCCEEDED);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

/** Flows stored by older versions belong to no organisation; shorter rows are
 * rejected. */
static void
test_older_flow_rows_are_read(void **state)
{
	char none[] = "";
	char name[] = "x";
	unsigned int missing;
	gb_flow_row written = {
	    .flow = {.id = name, .queue = name, .service = name, .spec = none}};
	gb_flow_row read;
	gb_body row;

	(void)state;
	written.flow.org = none;
	assert_true(gb_xdr_encode((xdrproc_t)xdr_gb_flow_row, &written, &row));
	for (missing = 0; missing <= 4; missing++) {
		assert_true(gb_flow_decode(&row, &read));
		assert_string_equal(read.flow.id, "x");
		assert_string_equal(read.flow.org, "");
		assert_false(read.flow.over_share);
		assert_int_equal(read.config, 0);
		xdr_free((xdrproc_t)xdr_gb_flow_row, (char *)&read);
		row.gb_body_len -= BYTES_PER_XDR_UNIT;
	}
	assert_false(gb_flow_decode(&row, &read));
	free(row.gb_body_val);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_quota_is_used_and_kept),
	    cmocka_unit_test(test_gangs_wait_for_quota),
	    cmocka_unit_test(test_memory_quota),
	    cmocka_unit_test(test_lowered_quota_stops_nothing),
	    cmocka_unit_test(test_gang_over_quota_is_rejected),
	    cmocka_unit_test(test_quota_with_faults_and_takeovers),
	    cmocka_unit_test(test_unknown_runs_count),
	    cmocka_unit_test(test_runs_being_stopped_count),
	    cmocka_unit_test(test_flow_is_hidden_from_other_orgs),
	    cmocka_unit_test(test_newer_version_decides),
	    cmocka_unit_test(test_older_flow_rows_are_read),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
