/**
 * @file test_rows.c
 * Guards against accepted flows that never run because the store takes no row
 * of their size, and against flows of others that wait behind such a row.  It
 * comes about when many tasks of one flow have failures, checkpoints, planned
 * or late starts, all of which are in its state.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pool_cell.h"

#define WORKERS 48
/** Time by which accepted work has to have run on an idle pool. */
#define FINISH_TIME (14 * GB_SEC)

static const struct pool_cell_setup setup = {
    61, WORKERS, {16000, 64000, 0, 0, 0}, 0, 0, 0, 0, 0, 0};

/** Runs the cell until the first flows have finished; returns whether they have
 * in time. */
static bool
flows_finish(struct pool_cell *cell, size_t count, gb_time time)
{
	gb_time until = cell->now + time;
	size_t i = 0;

	while (cell->now < until && i < count) {
		pool_cell_run(cell, 100 * GB_MSEC);
		for (i = 0; i < count; i++) {
			if (cell->flows[i].status != GB_FLOW_SUCCEEDED)
				break;
		}
	}
	return i == count;
}

static void
cell_check(struct pool_cell *cell)
{
	assert_int_equal(cell->large_rows, 0);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

/** The owner and a worker are lost while the step before a large one runs: the
 * next owner plans the starts of the large one. */
static void
test_planned_starts_fit_a_row(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&setup);
	size_t i;

	(void)state;
	pool_cell_step_add(cell, 1, 300, 5 * GB_SEC, 0, -1);
	pool_cell_step_add(cell, 1000, 300, 5 * GB_SEC, 0, 0);
	pool_cell_submit(cell, "import", "ms=5000");
	pool_cell_run(cell, 500 * GB_MSEC);
	world_worker_crash(cell->world, 7);
	pool_cell_replace_owner(cell, 1);
	pool_cell_run(cell, 8 * GB_SEC);
	for (i = 0; i < 20; i++)
		pool_cell_submit_lookup(cell);
	assert_true(flows_finish(cell, 21, 2 * FINISH_TIME));
	cell_check(cell);
}

/** Most workers crash under a large step, and one of them is lost with the
 * owner. */
static void
test_crash_suspects_fit_a_row(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&setup);
	size_t i;

	(void)state;
	pool_cell_step_add(cell, 2000, 300, 5 * GB_SEC, 0, -1);
	pool_cell_submit(cell, "import", "ms=5000");
	pool_cell_run(cell, 3 * GB_SEC);
	for (i = 0; i < WORKERS - 4; i++)
		world_worker_crash(cell->world, (unsigned int)i);
	pool_cell_run(cell, 2 * GB_SEC);
	for (i = 0; i < WORKERS - 4; i++)
		world_worker_restart(cell->world, (unsigned int)i);
	pool_cell_replace_owner(cell, 1);
	assert_true(flows_finish(cell, 1, 5 * FINISH_TIME));
	cell_check(cell);
}

/** Every task has a checkpoint of its own when most workers drain. */
static void
test_checkpoints_fit_a_row(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&setup);
	size_t i;

	(void)state;
	pool_cell_step_add(
	    cell, 2000, 250, 20 * GB_SEC, GB_STEP_CHECKPOINT, -1);
	pool_cell_step_add(
	    cell, 2000, 250, 20 * GB_SEC, GB_STEP_CHECKPOINT, -1);
	pool_cell_submit(cell, "import", "ms=20000");
	pool_cell_run(cell, 6 * GB_SEC);
	for (i = 0; i < WORKERS - 4; i++) {
		world_worker_drain(cell->world, (unsigned int)i);
		world_worker_leave(cell->world, (unsigned int)i, 3 * GB_SEC);
	}
	pool_cell_run(cell, 4 * GB_SEC);
	for (i = 0; i < WORKERS - 4; i++)
		world_worker_restart(cell->world, (unsigned int)i);
	assert_true(flows_finish(cell, 1, 10 * FINISH_TIME));
	cell_check(cell);
}

/** All tasks that run fail once, at the same time. */
static void
test_failures_fit_a_row(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&setup);
	size_t i;

	(void)state;
	for (i = 0; i < WORKERS; i++)
		world_worker_impair(cell->world, (unsigned int)i, true, false);
	pool_cell_step_add(cell, 2000, 300, GB_SEC, 0, -1);
	pool_cell_step_add(cell, 2000, 300, GB_SEC, 0, -1);
	pool_cell_submit(cell, "import", "ms=1000");
	pool_cell_run(cell, 800 * GB_MSEC);
	for (i = 0; i < WORKERS; i++)
		world_worker_impair(cell->world, (unsigned int)i, false, false);
	assert_true(flows_finish(cell, 1, 4 * FINISH_TIME));
	assert_true(gb_pool_stats(cell->nodes[0])->failed > 500);
	cell_check(cell);
}

/** The store takes no row of one flow: its caller is told, and flows of others
 * in the same partition are accepted and run. */
static void
test_invalid_row_stops_no_other(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&setup);
	size_t i;

	(void)state;
	cell->faults.invalid_flow = "0000000000000003";
	for (i = 0; i < 60; i++)
		pool_cell_submit_lookup(cell);
	pool_cell_run(cell, FINISH_TIME);
	for (i = 0; i < 60; i++) {
		if (i == 2) {
			assert_true(cell->flows[i].answered);
			assert_false(cell->flows[i].accepted);
			continue;
		}
		assert_int_equal(cell->flows[i].status, GB_FLOW_SUCCEEDED);
	}
	cell_check(cell);
}

/** The store stops taking the rows of a flow that is accepted, for a while: the
 * others go on, and it ends once the store takes them. */
static void
test_accepted_flow_waits_alone(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&setup);
	size_t i;

	(void)state;
	for (i = 0; i < 20; i++)
		pool_cell_submit_lookup(cell);
	pool_cell_run(cell, 300 * GB_MSEC);
	cell->faults.invalid_flow = "0000000000000003";
	for (i = 0; i < 40; i++)
		pool_cell_submit_lookup(cell);
	pool_cell_run(cell, 5 * GB_SEC);
	for (i = 0; i < 60; i++)
		assert_true(
		    (cell->flows[i].status == GB_FLOW_SUCCEEDED) == (i != 2));
	cell->faults.invalid_flow = NULL;
	assert_true(flows_finish(cell, 60, FINISH_TIME));
	cell_check(cell);
}

static bool
shape_is_valid(uint32_t steps, uint32_t count, uint32_t flags)
{
	gb_step *list = gb_calloc(steps, sizeof(*list));
	gb_flow flow = {0};
	struct gb_error err = {0};
	bool valid;
	uint32_t i;

	flow.steps.steps_len = steps;
	flow.steps.steps_val = list;
	for (i = 0; i < steps; i++) {
		list[i].count = count;
		list[i].flags = flags;
	}
	valid = gb_flow_check(&flow, &err);
	free(list);
	return valid;
}

/** What could not be stored in a later state is refused when it is submitted.
 */
static void
test_shapes_that_do_not_fit(void **state)
{
	(void)state;
	assert_true(shape_is_valid(1, 2000, 0));
	assert_true(shape_is_valid(64, 2000, 0));
	assert_true(shape_is_valid(1, 1000, GB_STEP_GANG));
	assert_false(shape_is_valid(4, 1000, GB_STEP_GANG));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_planned_starts_fit_a_row),
	    cmocka_unit_test(test_crash_suspects_fit_a_row),
	    cmocka_unit_test(test_checkpoints_fit_a_row),
	    cmocka_unit_test(test_failures_fit_a_row),
	    cmocka_unit_test(test_invalid_row_stops_no_other),
	    cmocka_unit_test(test_accepted_flow_waits_alone),
	    cmocka_unit_test(test_shapes_that_do_not_fit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
