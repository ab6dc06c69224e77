/**
 * @file test_crash_takeover.c
 * Guards against a task that crashes its workers and is started without limit
 * because each owner is killed before it notices the loss of the worker. A
 * successor that does not know of the start cannot count the crash.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pool_cell.h"

/** 24 workers with 16 processors and 64 GB each, without advice service. */
static const struct pool_cell_setup pool24 = {
    11, 24, {16000, 64000, 0, 0, 0}, 0, 0, 0, 0, 0, 0};

/** Submits a step of `tasks` tasks, the first of which crashes its workers, and
 * kills each owner soon after it has started them. Once three workers have
 * crashed under the task, it may be started only twice more. */
static void
kill_owners_after_starts(uint32_t tasks, uint32_t flags)
{
	struct pool_cell *cell = pool_cell_begin(&pool24);
	struct world_flow_view view = {0};
	unsigned int starts = 0;
	unsigned int tenth;
	size_t flow;

	cell->faults.down_workers_silent = true;
	pool_cell_step_add(cell, tasks, 4000, GB_SEC, flags, -1);
	flow = pool_cell_submit(cell, "import", "ms=2000 crash=0 back=1500");
	for (tenth = 0; tenth < 900; tenth++) {
		pool_cell_run(cell, 100 * GB_MSEC);
		assert_true(world_flow_view(
		    cell->world, cell->flows[flow].spec.id, &view));
		if (view.starts == starts)
			continue;
		starts = view.starts;
		pool_cell_run(cell, 300 * GB_MSEC);
		pool_cell_replace_owner(cell, starts % CELL_NODES);
	}
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

static void
test_owners_killed_after_starts(void **state)
{
	(void)state;
	kill_owners_after_starts(1, 0);
}

static void
test_owners_killed_after_gang_starts(void **state)
{
	(void)state;
	kill_owners_after_starts(4, GB_STEP_GANG);
}

/** Crashes a worker together with the owner, and brings the worker back 0.3 s
 * later. */
static void
lose_worker_and_owner(struct pool_cell *cell, unsigned int worker)
{
	pool_cell_run(cell, 300 * GB_MSEC);
	world_worker_crash(cell->world, worker);
	pool_cell_replace_owner(cell, 1);
	pool_cell_run(cell, 300 * GB_MSEC);
	world_worker_replace(cell->world, worker);
}

/** An owner and a worker are lost together while a step waits that allows one
 * task per worker. All tasks finish, and no worker gets two at a time. */
static void
test_per_worker_limit_over_takeover(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&pool24);
	size_t flow;

	(void)state;
	pool_cell_step_add(cell, 60, 1000, GB_SEC, 0, -1);
	cell->flows[cell->flow_count].spec.steps.steps_val[0].per_worker = 1;
	flow = pool_cell_submit(cell, "import", "ms=1000");
	lose_worker_and_owner(cell, 3);
	pool_cell_run(cell, 12 * GB_SEC);
	assert_int_equal(cell->flows[flow].status, GB_FLOW_SUCCEEDED);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

/** The only worker is lost with its owner, and has capacity for one task at a
 * time. All tasks of the flow finish. */
static void
test_single_slot_over_takeover(void **state)
{
	struct pool_cell_setup setup = pool24;
	struct pool_cell *cell;
	size_t flow;

	(void)state;
	setup.workers = 1;
	cell = pool_cell_begin(&setup);
	pool_cell_step_add(cell, 3, 16000, GB_SEC, 0, -1);
	flow = pool_cell_submit(cell, "import", "ms=1000");
	lose_worker_and_owner(cell, 0);
	pool_cell_run(cell, 20 * GB_SEC);
	assert_int_equal(cell->flows[flow].status, GB_FLOW_SUCCEEDED);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

/** 48 workers with twice the capacity of those of pool24. */
static const struct pool_cell_setup pool48 = {
    12, 48, {32000, 128000, 0, 0, 0}, 0, 0, 0, 0, 0, 0};

/** Submits a small flow, and every few tenths of a second a wider one and one
 * that crashes its workers. */
static void
submit_with_crashers(struct pool_cell *cell, unsigned int tenth)
{
	pool_cell_step_add(cell, 2, 1400, GB_SEC, 0, -1);
	pool_cell_submit(cell, "lookup", "ms=800");
	if (tenth % 6 == 1) {
		pool_cell_step_add(cell, 8, 2000, 3 * GB_SEC, 0, -1);
		pool_cell_submit(cell, "import", "ms=3000");
	}
	if (tenth % 9 == 4) {
		pool_cell_step_add(cell, 6, 2000, 3 * GB_SEC, 0, -1);
		pool_cell_submit(cell, "import", "ms=3000 crash=0 back=3200");
	}
}

/** For 10 s, flows that crash their workers are submitted beside others that do
 * not, so that two or three workers crash per second, while the owner is killed
 * every `tenths` tenths of a second. */
static void
run_crashers_and_kill_owners(
    unsigned int tenths, uint64_t seed, bool workers_silent)
{
	struct pool_cell_setup setup = pool48;
	struct world_flow_view view;
	struct pool_cell *cell;
	unsigned int tenth;
	size_t i;

	setup.seed = seed;
	cell = pool_cell_begin(&setup);
	cell->faults.down_workers_silent = workers_silent;
	for (tenth = 0; tenth < 100; tenth++) {
		submit_with_crashers(cell, tenth);
		pool_cell_run(cell, 100 * GB_MSEC);
		if (tenth % tenths == tenths - 1)
			pool_cell_replace_owner(cell, tenth % CELL_NODES);
	}
	pool_cell_run(cell, 90 * GB_SEC);
	pool_cell_assert_no_violation(cell);
	for (i = 0; i < cell->flow_count; i++) {
		if (!cell->flows[i].accepted)
			continue;
		assert_true(world_flow_view(
		    cell->world, cell->flows[i].spec.id, &view));
		assert_int_equal(cell->flows[i].status,
		    view.crashes ? GB_FLOW_FAILED : GB_FLOW_SUCCEEDED);
	}
	pool_cell_free(cell);
}

static void
test_crashers_while_owners_are_killed(void **state)
{
	unsigned int tenths;

	(void)state;
	for (tenths = 13; tenths <= 53; tenths += 8) {
		run_crashers_and_kill_owners(tenths, tenths, false);
		run_crashers_and_kill_owners(tenths, tenths, true);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_owners_killed_after_starts),
	    cmocka_unit_test(test_owners_killed_after_gang_starts),
	    cmocka_unit_test(test_per_worker_limit_over_takeover),
	    cmocka_unit_test(test_single_slot_over_takeover),
	    cmocka_unit_test(test_crashers_while_owners_are_killed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
