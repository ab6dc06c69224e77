/**
 * @file test_entries.c
 * The pool core and entries of the list of workers that others than the workers
 * wrote: they name no worker to use, and the others hold.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pool_cell.h"

static const struct pool_cell_setup plain = {
    1, 16, {16000, 64000, 0, 0, 0}, 0, 0, 0, 0, 0, 0};
static const struct pool_cell_setup one_worker = {
    1, 1, {16000, 64000, 0, 0, 0}, 0, 0, 0, 0, 0, 0};

/** A worker whose entry turns bad gets nothing new; what it runs keeps its
 * lease and ends as it should; a sound entry brings the worker back. */
static void
test_bad_entry_gets_no_new_work(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&one_worker);
	size_t running;
	size_t waiting;

	(void)state;
	pool_cell_step(cell, 1, 1000, 6 * GB_SEC, 0, -1);
	running = pool_cell_submit(cell, "import", "ms=6000");
	pool_cell_run(cell, GB_SEC);
	cell->spoiled = 1;
	pool_cell_run(cell, GB_SEC);
	waiting = pool_cell_submit_lookup(cell);
	pool_cell_run(cell, 7 * GB_SEC);
	assert_int_equal(cell->flows[running].status, GB_FLOW_SUCCEEDED);
	assert_int_equal(cell->starts, 1);
	cell->spoiled = 0;
	pool_cell_run(cell, 3 * GB_SEC);
	assert_int_equal(cell->flows[waiting].status, GB_FLOW_SUCCEEDED);
	pool_cell_assert_unharmed(cell);
	pool_cell_free(cell);
}

/** A worker that was never known by a sound entry is none. */
static void
test_bad_entry_names_no_worker(void **state)
{
	struct pool_cell *cell = pool_cell_new(&plain);

	(void)state;
	cell->spoiled = 15;
	pool_cell_take(cell, 0);
	pool_cell_run(cell, GB_SEC);
	pool_cell_step(cell, 32, 1000, GB_SEC, 0, -1);
	pool_cell_submit(cell, "import", "ms=1000");
	pool_cell_run(cell, 500 * GB_MSEC);
	assert_int_equal(cell->starts, 16);
	pool_cell_assert_unharmed(cell);
	pool_cell_free(cell);
}

/** Entries of a service that there is not, at addresses where nobody answers:
 * what waits goes on as soon as the workers have told a new owner what they
 * run, and not only when every lease that might be out is over. */
static void
test_strangers_hold_no_takeover_up(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&one_worker);
	size_t waiting;

	(void)state;
	cell->strangers = 20;
	pool_cell_step(cell, 1, 16000, GB_SEC, 0, -1);
	pool_cell_submit(cell, "import", "ms=1000");
	pool_cell_run(cell, 500 * GB_MSEC);
	pool_cell_step(cell, 1, 16000, GB_SEC, 0, -1);
	waiting = pool_cell_submit(cell, "import", "ms=1000");
	pool_cell_run(cell, 300 * GB_MSEC);
	pool_cell_kill(cell, 0);
	pool_cell_take(cell, 1);
	pool_cell_run(cell, 2500 * GB_MSEC);
	assert_int_equal(cell->flows[waiting].status, GB_FLOW_SUCCEEDED);
	pool_cell_assert_unharmed(cell);
	pool_cell_free(cell);
}

/** Entries that name the address of another worker: what runs on a worker that
 * has answered at its own is not given up as the work of a lifetime that is
 * over, and started a second time. */
static void
test_moved_entry_is_not_believed(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&plain);
	size_t flow;

	(void)state;
	pool_cell_step(cell, 16, 8000, 6 * GB_SEC, 0, -1);
	flow = pool_cell_submit(cell, "import", "ms=6000");
	pool_cell_run(cell, GB_SEC);
	cell->moved = true;
	pool_cell_run(cell, 8 * GB_SEC);
	assert_int_equal(cell->flows[flow].status, GB_FLOW_SUCCEEDED);
	assert_int_equal(cell->starts, 16);
	pool_cell_assert_unharmed(cell);
	pool_cell_free(cell);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_bad_entry_gets_no_new_work),
	    cmocka_unit_test(test_bad_entry_names_no_worker),
	    cmocka_unit_test(test_strangers_hold_no_takeover_up),
	    cmocka_unit_test(test_moved_entry_is_not_believed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
