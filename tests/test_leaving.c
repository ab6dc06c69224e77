/**
 * @file test_leaving.c
 * Guards against tasks that run again although they were done, because their
 * worker terminated in the moment in which they ended: the answer that reports
 * the end is lost with it, and the owner takes the run for lost when the lease
 * has lapsed.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pool_cell.h"

/** 2 workers with 16 processors and 64 GB each, without advice service. */
static const struct pool_cell_setup plain = {
    1, 2, {16000, 64000, 0, 0, 0}, 0, 0, 0, 0, 0, 0};

/** Time between the notice of a worker and its end. */
#define NOTICE_TIME (2 * GB_SEC)
/** Time before the end of a worker in which nothing may run there any more: an
 * answer takes 1 ms, and a hold may be sent up to 60 ms after the last one. */
#define QUIET_TIME (100 * GB_MSEC)
/** Time before the end of a worker from which on its orders are late. */
#define LATE_BEFORE_END (1200 * GB_MSEC)
/** Longest time for which a task may rest after its worker was stopped. */
#define RESTART_TIME (500 * GB_MSEC)

/** Starts a flow of one task and drains its worker. */
static struct pool_cell *
cell_with_leaving_worker(const char *spec, uint32_t flags)
{
	struct pool_cell *cell = pool_cell_begin(&plain);

	pool_cell_run(cell, GB_SEC);
	pool_cell_step_add(cell, 1, 1400, 4 * GB_SEC, flags, -1);
	pool_cell_submit(cell, "import", spec);
	pool_cell_run(cell, 500 * GB_MSEC);
	world_worker_leave(cell->world,
	    world_flow_worker(cell->world, cell->flows[0].spec.id),
	    NOTICE_TIME);
	return cell;
}

/** A task that can't end before its worker terminates is stopped in time, and
 * started elsewhere without waiting for the lease of the worker. */
static void
test_runs_are_stopped_before_their_worker_leaves(void **state)
{
	struct pool_cell *cell = cell_with_leaving_worker("ms=4000", 0);
	const char *id = cell->flows[0].spec.id;
	unsigned int worker = world_flow_worker(cell->world, id);

	(void)state;
	pool_cell_run(cell, NOTICE_TIME - QUIET_TIME);
	assert_int_not_equal(world_flow_worker(cell->world, id), worker);
	pool_cell_run(cell, QUIET_TIME);
	world_worker_crash(cell->world, worker);
	pool_cell_run(cell, RESTART_TIME);
	assert_int_equal(world_flow_worker(cell->world, id), 1 - worker);
	pool_cell_run(cell, 6 * GB_SEC);
	assert_int_equal(cell->flows[0].status, GB_FLOW_SUCCEEDED);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

/** A task that is known to need twice the time that its worker has left is
 * started elsewhere at once, and not when the worker terminates. */
static void
test_runs_that_cant_end_are_stopped_at_once(void **state)
{
	struct pool_cell *cell = cell_with_leaving_worker("ms=4000", 0);
	const char *id = cell->flows[0].spec.id;
	unsigned int worker = world_flow_worker(cell->world, id);

	(void)state;
	pool_cell_run(cell, NOTICE_TIME / 2);
	assert_int_equal(world_flow_worker(cell->world, id), 1 - worker);
	pool_cell_run(cell, 6 * GB_SEC);
	assert_int_equal(cell->flows[0].status, GB_FLOW_SUCCEEDED);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

/** The same for a task with checkpoints: it works on as long as it can. */
static void
test_runs_with_checkpoints_work_on(void **state)
{
	struct pool_cell *cell =
	    cell_with_leaving_worker("ms=4000", GB_STEP_CHECKPOINT);
	const char *id = cell->flows[0].spec.id;
	unsigned int worker = world_flow_worker(cell->world, id);

	(void)state;
	pool_cell_run(cell, NOTICE_TIME / 2);
	assert_int_equal(world_flow_worker(cell->world, id), worker);
	pool_cell_run(cell, 6 * GB_SEC);
	assert_int_equal(cell->flows[0].status, GB_FLOW_SUCCEEDED);
	pool_cell_free(cell);
}

/** A task that ends before its worker terminates is not stopped. */
static void
test_short_runs_end_on_a_leaving_worker(void **state)
{
	struct pool_cell *cell = cell_with_leaving_worker("ms=1500", 0);
	struct world_flow_view view;

	(void)state;
	pool_cell_run(cell, NOTICE_TIME);
	assert_int_equal(cell->flows[0].status, GB_FLOW_SUCCEEDED);
	assert_true(
	    world_flow_view(cell->world, cell->flows[0].spec.id, &view));
	assert_int_equal(view.starts, 1);
	pool_cell_free(cell);
}

/** Runs end at each time around the end of their worker, whose stops are late
 * or whose last answers are lost.  No end that the worker has listed may be
 * unknown to the owner, or the task would run again although it was done. Steps
 * with checkpoints are stopped only just before their worker terminates. */
static void
run_to_the_end(gb_time work, bool orders_late)
{
	struct pool_cell *cell = pool_cell_begin(&plain);
	unsigned int worker;
	char spec[32];

	world_listed_ends_count(cell->world);
	pool_cell_run(cell, GB_SEC);
	snprintf(spec, sizeof(spec), "ms=%lld", (long long)(work / GB_MSEC));
	pool_cell_step_add(cell, 1, 1400, 2 * GB_SEC, GB_STEP_CHECKPOINT, -1);
	pool_cell_submit(cell, "import", spec);
	pool_cell_run(cell, 100 * GB_MSEC);
	worker = world_flow_worker(cell->world, cell->flows[0].spec.id);
	assert_in_range(worker, 0, plain.workers - 1);
	world_worker_leave(cell->world, worker, NOTICE_TIME);
	pool_cell_run(cell, NOTICE_TIME - LATE_BEFORE_END);
	cell->faults.order_late = orders_late ? 100 : 0;
	pool_cell_run(cell, LATE_BEFORE_END - QUIET_TIME * 2);
	cell->faults.heartbeat_silent = orders_late ? 0 : 100;
	pool_cell_run(cell, QUIET_TIME * 2);
	world_worker_crash(cell->world, worker);
	cell->faults.order_late = 0;
	cell->faults.heartbeat_silent = 0;
	pool_cell_run(cell, 10 * GB_SEC);
	assert_int_equal(cell->flows[0].status, GB_FLOW_SUCCEEDED);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

static void
test_listed_ends_are_known(void **state)
{
	gb_time work;

	(void)state;
	/* The workers of the model differ in speed. */
	for (work = NOTICE_TIME / 2; work <= NOTICE_TIME + 300 * GB_MSEC;
	     work += 5 * GB_MSEC) {
		run_to_the_end(work, true);
		run_to_the_end(work, false);
	}
}

/** A worker that goes on after all is given work again. */
static void
test_worker_that_stays_is_used_again(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&plain);
	unsigned int i;

	(void)state;
	pool_cell_run(cell, GB_SEC);
	for (i = 0; i < plain.workers; i++)
		world_worker_leave(cell->world, i, NOTICE_TIME);
	pool_cell_run(cell, GB_SEC);
	for (i = 0; i < plain.workers; i++)
		world_worker_stay(cell->world, i);
	pool_cell_run(cell, 2 * GB_SEC);
	pool_cell_submit_lookup(cell);
	pool_cell_run(cell, 3 * GB_SEC);
	assert_int_equal(cell->flows[0].status, GB_FLOW_SUCCEEDED);
	pool_cell_free(cell);
}

/** Longer than a name, for which a checkpoint has no limit. */
#define LONG_CHECKPOINT 80

/** A task is stopped on a worker that leaves, and continues elsewhere with the
 * whole checkpoint, however long that is. */
static void
test_long_checkpoint_is_passed_on(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&plain);

	(void)state;
	world_checkpoints_resize(cell->world, LONG_CHECKPOINT);
	pool_cell_run(cell, GB_SEC);
	pool_cell_step_add(cell, 1, 1400, 8 * GB_SEC, GB_STEP_CHECKPOINT, -1);
	pool_cell_submit(cell, "import", "ms=8000");
	pool_cell_run(cell, 4 * GB_SEC);
	world_worker_leave(cell->world,
	    world_flow_worker(cell->world, cell->flows[0].spec.id),
	    NOTICE_TIME);
	pool_cell_run(cell, 10 * GB_SEC);
	assert_int_equal(cell->checkpoint_bytes, LONG_CHECKPOINT);
	assert_int_equal(cell->flows[0].status, GB_FLOW_SUCCEEDED);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

/** The row of a flow takes no long checkpoint: after a change of owner the task
 * starts over, and not from a part of the checkpoint. */
static void
test_long_checkpoint_is_not_cut_by_the_store(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&plain);
	unsigned int i;

	(void)state;
	world_checkpoints_resize(cell->world, LONG_CHECKPOINT);
	pool_cell_run(cell, GB_SEC);
	pool_cell_step_add(cell, 1, 1400, 8 * GB_SEC, GB_STEP_CHECKPOINT, -1);
	pool_cell_submit(cell, "import", "ms=8000");
	pool_cell_run(cell, 4 * GB_SEC);
	for (i = 0; i < 2; i++)
		world_worker_leave(cell->world, i, NOTICE_TIME);
	pool_cell_run(cell, NOTICE_TIME);
	pool_cell_replace_owner(cell, 1);
	for (i = 0; i < 2; i++)
		world_worker_stay(cell->world, i);
	pool_cell_run(cell, 30 * GB_SEC);
	assert_int_equal(cell->checkpoint_bytes, 0);
	assert_int_equal(cell->flows[0].status, GB_FLOW_SUCCEEDED);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_long_checkpoint_is_passed_on),
	    cmocka_unit_test(test_long_checkpoint_is_not_cut_by_the_store),
	    cmocka_unit_test(test_runs_are_stopped_before_their_worker_leaves),
	    cmocka_unit_test(test_runs_that_cant_end_are_stopped_at_once),
	    cmocka_unit_test(test_runs_with_checkpoints_work_on),
	    cmocka_unit_test(test_short_runs_end_on_a_leaving_worker),
	    cmocka_unit_test(test_listed_ends_are_known),
	    cmocka_unit_test(test_worker_that_stays_is_used_again),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
