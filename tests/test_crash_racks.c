/**
 * @file test_crash_racks.c
 * Guards against a task that counts as failed because several racks it ran on
 * were lost one after the other. To the owner, which sees only that workers are
 * lost, this looks like several tasks that crash their workers at the same
 * time.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pool_cell.h"

#define RACK_WORKERS 8

/** 24 workers with 16 processors and 64 GB each, without advice service. */
static const struct pool_cell_setup pool24 = {
    11, 24, {16000, 64000, 0, 0, 0}, 0, 0, 0, 0, 0, 0};

/** Runs the cell for a number of tenths of a second, with a lookup every 0.2
 * s. */
static void
run_with_load(struct pool_cell *cell, unsigned int tenths)
{
	unsigned int i;

	for (i = 0; i < tenths; i++) {
		if (i % 2 == 0)
			pool_cell_submit_lookup(cell);
		pool_cell_run(cell, 100 * GB_MSEC);
	}
}

/** Waits until a flow runs and for a number of tenths of a second more, crashes
 * the rack that it runs on, and brings the rack back 1.5 s later. */
static void
lose_rack_of(struct pool_cell *cell, size_t flow, unsigned int tenths)
{
	const char *id = cell->flows[flow].spec.id;
	unsigned int first;
	unsigned int i;

	for (i = 0; i < 100 && world_flow_worker(cell->world, id) ==
				   world_worker_count(cell->world);
	     i++)
		run_with_load(cell, 1);
	run_with_load(cell, tenths);
	first =
	    world_flow_worker(cell->world, id) / RACK_WORKERS * RACK_WORKERS;
	assert_true(first < world_worker_count(cell->world));
	for (i = first; i < first + RACK_WORKERS; i++)
		world_worker_crash(cell->world, i);
	run_with_load(cell, 15);
	for (i = first; i < first + RACK_WORKERS; i++)
		world_worker_replace(cell->world, i);
}

/** Loses four racks in a row under a task, then six; the task must succeed. */
static void
run_lost_racks(unsigned int tenths)
{
	static const unsigned int racks[] = {4, 6};
	unsigned int round;
	size_t flow;
	size_t i;

	for (i = 0; i < 2; i++) {
		struct pool_cell *cell = pool_cell_begin(&pool24);

		run_with_load(cell, 20);
		pool_cell_step_add(cell, 1, 4000, GB_SEC, 0, -1);
		flow = pool_cell_submit(cell, "import", "ms=4000");
		for (round = 0; round < racks[i]; round++)
			lose_rack_of(cell, flow, tenths);
		pool_cell_run(cell, 60 * GB_SEC);
		assert_int_equal(cell->flows[flow].status, GB_FLOW_SUCCEEDED);
		pool_cell_assert_no_violation(cell);
		pool_cell_free(cell);
	}
}

/** The task has been running for a while when its rack is lost. */
static void
test_task_survives_lost_racks(void **state)
{
	unsigned int tenths;

	(void)state;
	for (tenths = 1; tenths <= 20; tenths++)
		run_lost_racks(tenths);
}

/** The task has only just been started when its rack is lost. */
static void
test_new_task_survives_lost_racks(void **state)
{
	(void)state;
	run_lost_racks(0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_task_survives_lost_racks),
	    cmocka_unit_test(test_new_task_survives_lost_racks),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
