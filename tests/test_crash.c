/**
 * @file test_crash.c
 * Guards against a task that crashes every worker that starts it and is started
 * again without limit, each time ending the other runs of the worker. This
 * comes about when only ends that workers report count as failed attempts, as a
 * crashed worker reports none.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pool_cell.h"

/** Largest number of starts of a task that crashes its workers: after three
 * workers have crashed under it, only two more starts are allowed. */
#define STARTS_MAX 5

/** 24 workers with 16 processors and 64 GB each, without advice service. */
static const struct pool_cell_setup pool24 = {
    11, 24, {16000, 64000, 0, 0, 0}, 0, 0, 0, 0, 0, 0};
/** 48 workers, of which the advice service approves 40%. */
static const struct pool_cell_setup advised48 = {12, 48,
    {32000, 128000, 0, 0, 0}, 40, 20 * GB_MSEC, 2500 * GB_MSEC, 200, 0, 0};

static struct world_flow_view
flow_view(const struct pool_cell *cell, size_t flow)
{
	struct world_flow_view view;

	assert_true(
	    world_flow_view(cell->world, cell->flows[flow].spec.id, &view));
	return view;
}

/** Submits load that the pool has capacity for, during a number of tenths of
 * a second: a small flow every 0.2 s, a wide one every 1 s and a gang every
 * 2 s. */
static void
run_with_load(struct pool_cell *cell, unsigned int tenths)
{
	unsigned int i;

	for (i = 0; i < tenths; i++) {
		if (i % 2 == 0) {
			pool_cell_step_add(cell, 2, 1400, GB_SEC, 0, -1);
			pool_cell_submit(cell, "lookup", "ms=800");
		}
		if (i % 10 == 3) {
			pool_cell_step_add(cell, 8, 2000, 3 * GB_SEC, 0, -1);
			pool_cell_submit(cell, "import", "ms=3000");
		}
		if (i % 20 == 7) {
			pool_cell_step_add(
			    cell, 6, 4000, 3 * GB_SEC, GB_STEP_GANG, -1);
			pool_cell_submit(cell, "rebuild", "ms=3000");
		}
		pool_cell_run(cell, 100 * GB_MSEC);
	}
}

/** Asserts that every accepted flow has succeeded, or has failed after two
 * workers crashed under one of its tasks. */
static void
assert_failures_have_cause(struct pool_cell *cell)
{
	size_t i;

	for (i = 0; i < cell->flow_count; i++) {
		if (!cell->flows[i].accepted)
			continue;
		assert_true(cell->flows[i].status == GB_FLOW_SUCCEEDED ||
			    (cell->flows[i].status == GB_FLOW_FAILED &&
				flow_view(cell, i).crashed));
	}
	pool_cell_assert_no_violation(cell);
}

/** Asserts that flows with a task that crashes its workers have failed, and
 * that all other accepted flows have succeeded. */
static void
assert_only_crashers_fail(struct pool_cell *cell)
{
	size_t i;

	for (i = 0; i < cell->flow_count; i++) {
		struct world_flow_view view = flow_view(cell, i);

		if (!cell->flows[i].accepted)
			continue;
		if (cell->flows[i].status !=
		    (view.crashes ? GB_FLOW_FAILED : GB_FLOW_SUCCEEDED))
			print_message("flow %zu: %u starts, crashes %d, "
				      "crashed %d\n",
			    i, view.starts, view.crashes, view.crashed);
		assert_int_equal(cell->flows[i].status,
		    view.crashes ? GB_FLOW_FAILED : GB_FLOW_SUCCEEDED);
		assert_true(!view.crashes || view.crashed);
	}
	pool_cell_assert_no_violation(cell);
}

/** Submits a flow of one task, which `spec` can make crash its workers. */
static size_t
submit_crasher(struct pool_cell *cell, const char *spec)
{
	pool_cell_step_add(cell, 1, 4000, GB_SEC, 0, -1);
	return pool_cell_submit(cell, "import", spec);
}

/** Two flows that crash their workers, on a pool with other load. */
static void
test_task_that_crashes_workers_fails(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&advised48);
	size_t first;
	size_t second;

	(void)state;
	run_with_load(cell, 20);
	first = submit_crasher(cell, "ms=2000 crash=0");
	run_with_load(cell, 7);
	second = submit_crasher(cell, "ms=2000 crash=0");
	run_with_load(cell, 300);
	pool_cell_run(cell, 20 * GB_SEC);
	assert_true(flow_view(cell, first).starts <= STARTS_MAX);
	assert_true(flow_view(cell, second).starts <= STARTS_MAX);
	assert_only_crashers_fail(cell);
	pool_cell_free(cell);
}

/** Crashed workers come back before their leases would have lapsed, soon after
 * that, or much later. */
static void
test_crashed_workers_return(void **state)
{
	static const char *const specs[] = {"crash=0 back=300",
	    "crash=0 back=2500", "crash=0 back=4000", "crash=0 back=7000",
	    "crash=0 back=15000"};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(specs) / sizeof(specs[0]); i++) {
		struct pool_cell *cell = pool_cell_begin(&pool24);
		size_t flow;

		run_with_load(cell, 10);
		flow = submit_crasher(cell, specs[i]);
		run_with_load(cell, 300);
		pool_cell_run(cell, 90 * GB_SEC);
		assert_true(flow_view(cell, flow).starts <= STARTS_MAX);
		assert_only_crashers_fail(cell);
		pool_cell_free(cell);
	}
}

/** Crashed workers never come back. Each counts as crashed after a while, and
 * the task is not started again before that. */
static void
test_crashed_workers_never_return(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&pool24);
	size_t flow;

	(void)state;
	run_with_load(cell, 10);
	flow = submit_crasher(cell, "crash=0 back=300000");
	run_with_load(cell, 600);
	pool_cell_run(cell, 60 * GB_SEC);
	assert_int_equal(cell->flows[flow].status, GB_FLOW_FAILED);
	assert_in_range(flow_view(cell, flow).starts, 3, STARTS_MAX - 1);
	assert_only_crashers_fail(cell);
	pool_cell_free(cell);
}

/** One member of a gang crashes its workers. The whole gang, and that member
 * with it, is started again each time. */
static void
test_gang_with_crashing_member_fails(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&pool24);
	size_t flow;

	(void)state;
	run_with_load(cell, 10);
	pool_cell_step_add(cell, 12, 4000, 3 * GB_SEC, GB_STEP_GANG, -1);
	flow = pool_cell_submit(cell, "rebuild", "ms=3000 crash=5");
	run_with_load(cell, 200);
	pool_cell_run(cell, 30 * GB_SEC);
	assert_int_equal(cell->flows[flow].status, GB_FLOW_FAILED);
	assert_true(flow_view(cell, flow).starts <= 12 * STARTS_MAX);
	assert_only_crashers_fail(cell);
	pool_cell_free(cell);
}

/** Crashes of speculative copies count like those of other runs of the task. */
static void
test_speculative_copies_count(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&pool24);
	size_t flow;

	(void)state;
	run_with_load(cell, 10);
	pool_cell_step_add(cell, 4, 2000, GB_SEC, GB_STEP_SPECULATIVE, -1);
	flow = pool_cell_submit(cell, "import", "ms=1000 crash=2");
	run_with_load(cell, 200);
	pool_cell_run(cell, 30 * GB_SEC);
	assert_int_equal(cell->flows[flow].status, GB_FLOW_FAILED);
	assert_only_crashers_fail(cell);
	pool_cell_free(cell);
}

/** Owners are killed at various times while a task crashes its workers. Their
 * successors know of the earlier crashes. */
static void
test_owners_killed_during_crashes(void **state)
{
	unsigned int delay;

	(void)state;
	for (delay = 1; delay <= 40; delay += 3) {
		struct pool_cell *cell = pool_cell_begin(&pool24);
		unsigned int round;
		size_t flow;

		flow = submit_crasher(cell, "ms=2000 crash=0");
		for (round = 1; round <= 3; round++) {
			run_with_load(cell, delay);
			pool_cell_replace_owner(cell, round % CELL_NODES);
			pool_cell_run(cell, 500 * GB_MSEC);
		}
		run_with_load(cell, 200);
		pool_cell_run(cell, 60 * GB_SEC);
		assert_int_equal(cell->flows[flow].status, GB_FLOW_FAILED);
		pool_cell_assert_no_violation(cell);
		pool_cell_free(cell);
	}
}

/** Reads the stored record of crashes under the first task of a flow. */
static gb_task_crashes
stored_crashes(struct pool_cell *cell, size_t flow)
{
	const char *id = cell->flows[flow].spec.id;
	struct gb_pool_read_res res = {0};
	gb_task_crashes crashes;
	gb_flow_state state = {0};
	char to[GB_KEY_MAX];
	const struct gb_pool_read read = {
	    gb_pool_partition(id), GB_POOL_STATES, id, to, 1, 0};

	snprintf(to, sizeof(to), "%s0", id);
	world_read(cell->world, &read, &res);
	assert_int_equal(res.row_count, 1);
	assert_true(gb_flow_state_decode(&res.rows[0].value, &state));
	assert_int_equal(state.crashes.crashes_len, 1);
	crashes = state.crashes.crashes_val[0];
	assert_int_equal(crashes.unreachable.unreachable_len, 0);
	memset(&crashes.unreachable, 0, sizeof(crashes.unreachable));
	xdr_free((xdrproc_t)xdr_gb_flow_state, (char *)&state);
	world_read_free(&res);
	return crashes;
}

/** Three flows are started together on the only worker, which one of them
 * crashes. Each is a suspect, none of them the sole one. */
static void
test_neighbours_not_sole_suspects(void **state)
{
	struct pool_cell_setup setup = pool24;
	struct pool_cell *cell;
	size_t i;

	(void)state;
	setup.workers = 1;
	cell = pool_cell_begin(&setup);
	for (i = 0; i < 3; i++)
		submit_crasher(
		    cell, i == 1 ? "ms=900 crash=0 back=300" : "ms=900");
	pool_cell_run(cell, 600 * GB_MSEC);
	for (i = 0; i < 3; i++) {
		gb_task_crashes crashes = stored_crashes(cell, i);

		assert_int_equal(crashes.workers, 1);
		assert_int_equal(crashes.attributed, 1);
		assert_false(crashes.sole_suspect);
	}
	pool_cell_run(cell, 30 * GB_SEC);
	assert_only_crashers_fail(cell);
	pool_cell_free(cell);
}

/** A whole rack is lost several times. Tasks that ran there must not be taken
 * for the cause. */
static void
test_lost_racks_fail_no_flow(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&pool24);
	unsigned int round;
	unsigned int i;

	(void)state;
	run_with_load(cell, 20);
	for (round = 0; round < 6; round++) {
		for (i = 0; i < 8; i++)
			world_worker_crash(cell->world, round % 3 * 8 + i);
		run_with_load(cell, 15);
		for (i = 0; i < 8; i++)
			world_worker_replace(cell->world, round % 3 * 8 + i);
		run_with_load(cell, 15);
	}
	pool_cell_run(cell, 60 * GB_SEC);
	assert_only_crashers_fail(cell);
	pool_cell_free(cell);
}

/** Two workers in each of three data centres are lost at the same moment, among
 * them the one that runs a task, which must not be taken for the cause. */
static void
test_multi_dc_losses_fail_no_flow(void **state)
{
	static const char *const dcs[] = {"dc-a", "dc-b", "dc-c"};
	unsigned int after;
	unsigned int round;
	unsigned int i;

	(void)state;
	for (after = 0; after <= 8; after += 2) {
		struct pool_cell *cell = pool_cell_begin(&pool24);
		size_t flow;

		for (i = 0; i < 24; i++)
			world_worker_set_dc(cell->world, i, dcs[i / 8]);
		run_with_load(cell, 20);
		pool_cell_step_add(cell, 1, 4000, GB_SEC, 0, -1);
		flow = pool_cell_submit(cell, "import", "ms=4000");
		for (round = 0; round < 3; round++) {
			const char *id = cell->flows[flow].spec.id;
			unsigned int at;

			for (i = 0; i < 100 &&
				    world_flow_worker(cell->world, id) == 24;
			     i++)
				run_with_load(cell, 1);
			run_with_load(cell, after);
			at = world_flow_worker(cell->world, id) % 8 / 2 * 2;
			for (i = 0; i < 6; i++)
				world_worker_crash(
				    cell->world, i / 2 * 8 + at + i % 2);
			run_with_load(cell, 15);
			for (i = 0; i < 6; i++)
				world_worker_replace(
				    cell->world, i / 2 * 8 + at + i % 2);
		}
		pool_cell_run(cell, 60 * GB_SEC);
		assert_only_crashers_fail(cell);
		pool_cell_free(cell);
	}
}

/** Workers that are down answer nothing, which the owner notices after up to
 * 0.6 s. Tasks sent to them meanwhile never ran there and must not be taken for
 * the cause. */
static void
test_dead_workers_fail_no_flow(void **state)
{
	struct pool_cell_setup setup = pool24;
	struct pool_cell *cell;
	unsigned int round;
	unsigned int i;

	(void)state;
	setup.workers = 6;
	cell = pool_cell_begin(&setup);
	cell->faults.down_workers_silent = true;
	for (round = 0; round < 12; round++) {
		unsigned int first = round % 3 * 2;

		for (i = first; i < first + 2; i++)
			world_worker_crash(cell->world, i);
		for (i = 0; i < 8; i++)
			pool_cell_submit_lookup(cell);
		pool_cell_run(cell, 2500 * GB_MSEC);
		for (i = first; i < first + 2; i++)
			world_worker_replace(cell->world, i);
		pool_cell_run(cell, 500 * GB_MSEC);
	}
	pool_cell_run(cell, 60 * GB_SEC);
	assert_failures_have_cause(cell);
	pool_cell_free(cell);
}

/** Workers answer nothing and come back after their leases have expired, and
 * owners are killed meanwhile. Their successors know which workers are
 * unreachable. */
static void
test_owners_killed_workers_unreachable(void **state)
{
	unsigned int delay;

	(void)state;
	for (delay = 10; delay <= 70; delay += 5) {
		struct pool_cell *cell = pool_cell_begin(&pool24);
		unsigned int round;

		cell->faults.down_workers_silent = true;
		submit_crasher(cell, "ms=2000 crash=0 back=6000");
		for (round = 1; round <= 4; round++) {
			pool_cell_run(cell, delay * 100 * GB_MSEC);
			pool_cell_replace_owner(cell, round % CELL_NODES);
			pool_cell_run(cell, GB_SEC);
		}
		pool_cell_run(cell, 90 * GB_SEC);
		assert_only_crashers_fail(cell);
		pool_cell_free(cell);
	}
}

/** All workers are lost and come back at once, and the owner notices it first
 * for the busy ones. What it starts on the others goes to incarnations that
 * have ended, and must not be taken for a cause of crashes. */
static void
test_ended_incarnations_fail_no_flow(void **state)
{
	struct pool_cell *cell;
	uint64_t seed;
	unsigned int i;

	(void)state;
	for (seed = 1; seed <= 20; seed++) {
		struct pool_cell_setup setup = pool24;

		setup.seed = seed;
		setup.workers = 12;
		cell = pool_cell_begin(&setup);
		cell->faults.down_workers_silent = true;
		for (i = 0; i < 3; i++)
			submit_crasher(cell, "ms=4000");
		pool_cell_run(cell, (1000 + 25 * (gb_time)seed) * GB_MSEC);
		/* The list of workers is unavailable for 3 s. */
		cell->listed_at = cell->now + 3 * GB_SEC;
		for (i = 0; i < setup.workers; i++)
			world_worker_crash(cell->world, i);
		pool_cell_run(cell, 200 * GB_MSEC);
		for (i = 0; i < setup.workers; i++)
			world_worker_replace(cell->world, i);
		pool_cell_run(cell, 30 * GB_SEC);
		assert_only_crashers_fail(cell);
		pool_cell_free(cell);
	}
}

/** Rows written by older versions lack the list of announced starts, the list
 * of late starts, the lists of worker incarnations, the organisation or the
 * list of crashes at their end.  Shorter rows are rejected. */
static void
test_older_state_rows_are_read(void **state)
{
	char none[] = "";
	gb_flow_state written = {.org = none};
	gb_flow_state read;
	gb_body row;
	unsigned int missing;

	(void)state;
	written.status = GB_FLOW_RUNNING;
	written.owned = TRUE;
	assert_true(
	    gb_xdr_encode((xdrproc_t)xdr_gb_flow_state, &written, &row));
	for (missing = 0; missing <= 5; missing++) {
		assert_true(gb_flow_state_decode(&row, &read));
		assert_int_equal(read.status, GB_FLOW_RUNNING);
		assert_true(read.owned);
		assert_int_equal(read.crashes.crashes_len, 0);
		assert_int_equal(read.late_starts.late_starts_len, 0);
		assert_int_equal(read.announced.announced_len, 0);
		assert_string_equal(read.org, "");
		xdr_free((xdrproc_t)xdr_gb_flow_state, (char *)&read);
		row.gb_body_len -= BYTES_PER_XDR_UNIT;
	}
	assert_false(gb_flow_state_decode(&row, &read));
	free(row.gb_body_val);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_task_that_crashes_workers_fails),
	    cmocka_unit_test(test_crashed_workers_return),
	    cmocka_unit_test(test_crashed_workers_never_return),
	    cmocka_unit_test(test_gang_with_crashing_member_fails),
	    cmocka_unit_test(test_speculative_copies_count),
	    cmocka_unit_test(test_owners_killed_during_crashes),
	    cmocka_unit_test(test_neighbours_not_sole_suspects),
	    cmocka_unit_test(test_lost_racks_fail_no_flow),
	    cmocka_unit_test(test_multi_dc_losses_fail_no_flow),
	    cmocka_unit_test(test_dead_workers_fail_no_flow),
	    cmocka_unit_test(test_owners_killed_workers_unreachable),
	    cmocka_unit_test(test_ended_incarnations_fail_no_flow),
	    cmocka_unit_test(test_older_state_rows_are_read),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
