/**
 * @file test_crash_takeover.c
 * Owners are killed again and again, each soon after it has started a task that
 * crashes its workers, and before it has missed the worker.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pool_cell.h"

static const struct pool_cell_setup pool24 = {
    11, 24, {16000, 64000, 0, 0, 0}, 0, 0, 0, 0, 0, 0};

/** A step of so many tasks, the first of which crashes its workers, while each
 * owner is killed soon after it has started them.  After three workers have
 * crashed under the task, it is started only twice more. */
static void
owners_go_right_after_starts(uint32_t tasks, uint32_t flags)
{
	struct pool_cell *cell = pool_cell_begin(&pool24);
	struct world_flow_view view = {0};
	unsigned int starts = 0;
	unsigned int tenth;
	size_t flow;

	cell->faults.down_workers_silent = true;
	pool_cell_step(cell, tasks, 4000, GB_SEC, flags, -1);
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
	pool_cell_assert_unharmed(cell);
	pool_cell_free(cell);
}

static void
test_owners_go_right_after_starts(void **state)
{
	(void)state;
	owners_go_right_after_starts(1, 0);
}

static void
test_owners_go_right_after_starts_of_a_gang(void **state)
{
	(void)state;
	owners_go_right_after_starts(4, GB_STEP_GANG);
}

/** The worker that has a number is lost with the owner, and comes back 0.3 s
 * later. */
static void
lose_worker_and_owner(struct pool_cell *cell, unsigned int worker)
{
	pool_cell_run(cell, 300 * GB_MSEC);
	world_worker_crash(cell->world, worker);
	pool_cell_replace_owner(cell, 1);
	pool_cell_run(cell, 300 * GB_MSEC);
	world_worker_reborn(cell->world, worker);
}

/** Load: an owner and a worker are lost together, while a step waits of which
 * one task may run on each worker.  All of it is done, and no worker is given
 * two. */
static void
test_spread_steps_after_a_takeover(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&pool24);
	size_t flow;

	(void)state;
	pool_cell_step(cell, 60, 1000, GB_SEC, 0, -1);
	cell->flows[cell->flow_count].spec.steps.steps_val[0].per_worker = 1;
	flow = pool_cell_submit(cell, "import", "ms=1000");
	lose_worker_and_owner(cell, 3);
	pool_cell_run(cell, 12 * GB_SEC);
	assert_int_equal(cell->flows[flow].status, GB_FLOW_SUCCEEDED);
	pool_cell_assert_unharmed(cell);
	pool_cell_free(cell);
}

/** Load: the only worker is lost with its owner, and has room for one task at a
 * time.  All that was begun there is done. */
static void
test_one_place_after_a_takeover(void **state)
{
	struct pool_cell_setup setup = pool24;
	struct pool_cell *cell;
	size_t flow;

	(void)state;
	setup.workers = 1;
	cell = pool_cell_begin(&setup);
	pool_cell_step(cell, 3, 16000, GB_SEC, 0, -1);
	flow = pool_cell_submit(cell, "import", "ms=1000");
	lose_worker_and_owner(cell, 0);
	pool_cell_run(cell, 20 * GB_SEC);
	assert_int_equal(cell->flows[flow].status, GB_FLOW_SUCCEEDED);
	pool_cell_assert_unharmed(cell);
	pool_cell_free(cell);
}

/** A pool of twice as many workers. */
static const struct pool_cell_setup pool48 = {
    12, 48, {32000, 128000, 0, 0, 0}, 0, 0, 0, 0, 0, 0};

/** Small flows and wider ones, and now and then one that crashes its workers.
 */
static void
submit_with_crashers(struct pool_cell *cell, unsigned int tenth)
{
	pool_cell_step(cell, 2, 1400, GB_SEC, 0, -1);
	pool_cell_submit(cell, "lookup", "ms=800");
	if (tenth % 6 == 1) {
		pool_cell_step(cell, 8, 2000, 3 * GB_SEC, 0, -1);
		pool_cell_submit(cell, "import", "ms=3000");
	}
	if (tenth % 9 == 4) {
		pool_cell_step(cell, 6, 2000, 3 * GB_SEC, 0, -1);
		pool_cell_submit(cell, "import", "ms=3000 crash=0 back=3200");
	}
}

/** Load: for ten seconds one flow after the other crashes its workers, some
 * two or three in a second, beside others that do not, while owners are killed
 * each so many tenths of a second. */
static void
crashers_with_lost_owners(unsigned int tenths, uint64_t seed, bool dark)
{
	struct pool_cell_setup setup = pool48;
	struct world_flow_view view;
	struct pool_cell *cell;
	unsigned int tenth;
	size_t i;

	setup.seed = seed;
	cell = pool_cell_begin(&setup);
	cell->faults.down_workers_silent = dark;
	for (tenth = 0; tenth < 100; tenth++) {
		submit_with_crashers(cell, tenth);
		pool_cell_run(cell, 100 * GB_MSEC);
		if (tenth % tenths == tenths - 1)
			pool_cell_replace_owner(cell, tenth % CELL_NODES);
	}
	pool_cell_run(cell, 90 * GB_SEC);
	pool_cell_assert_unharmed(cell);
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
test_series_of_crashers_with_lost_owners(void **state)
{
	unsigned int tenths;

	(void)state;
	for (tenths = 13; tenths <= 53; tenths += 8) {
		crashers_with_lost_owners(tenths, tenths, false);
		crashers_with_lost_owners(tenths, tenths, true);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_owners_go_right_after_starts),
	    cmocka_unit_test(test_owners_go_right_after_starts_of_a_gang),
	    cmocka_unit_test(test_spread_steps_after_a_takeover),
	    cmocka_unit_test(test_one_place_after_a_takeover),
	    cmocka_unit_test(test_series_of_crashers_with_lost_owners),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
