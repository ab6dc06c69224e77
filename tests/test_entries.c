/**
 * @file test_entries.c
 * Guards against flows that wait for workers which do not exist, runs that are
 * given up or started twice, and takeovers that are delayed.  They come about
 * when entries of the list of workers are invalid or wrong because something
 * other than the worker wrote them.
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

/** A worker whose entry becomes invalid gets no new runs.  What it runs keeps
 * its lease and ends as usual.  It is used again when its entry is valid. */
static void
test_invalid_entry_gets_no_new_runs(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&one_worker);
	size_t running;
	size_t waiting;

	(void)state;
	pool_cell_step_add(cell, 1, 1000, 6 * GB_SEC, 0, -1);
	running = pool_cell_submit(cell, "import", "ms=6000");
	pool_cell_run(cell, GB_SEC);
	cell->invalid_entries = 1;
	pool_cell_run(cell, GB_SEC);
	waiting = pool_cell_submit_lookup(cell);
	pool_cell_run(cell, 7 * GB_SEC);
	assert_int_equal(cell->flows[running].status, GB_FLOW_SUCCEEDED);
	assert_int_equal(cell->starts, 1);
	cell->invalid_entries = 0;
	pool_cell_run(cell, 3 * GB_SEC);
	assert_int_equal(cell->flows[waiting].status, GB_FLOW_SUCCEEDED);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

/** A worker that never had a valid entry is not used. */
static void
test_invalid_entry_adds_no_worker(void **state)
{
	struct pool_cell *cell = pool_cell_new(&plain);

	(void)state;
	cell->invalid_entries = 15;
	pool_cell_take_over(cell, 0);
	pool_cell_run(cell, GB_SEC);
	pool_cell_step_add(cell, 32, 1000, GB_SEC, 0, -1);
	pool_cell_submit(cell, "import", "ms=1000");
	pool_cell_run(cell, 500 * GB_MSEC);
	assert_int_equal(cell->starts, 16);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

/** Entries name a service that does not exist and addresses where no worker
 * answers.  After a takeover a waiting flow starts as soon as the workers have
 * reported their runs to the new owner, not only when every lease that an
 * unknown worker might have has expired. */
static void
test_unknown_workers_delay_no_takeover(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&one_worker);
	size_t waiting;

	(void)state;
	cell->unknown_workers = 20;
	pool_cell_step_add(cell, 1, 16000, GB_SEC, 0, -1);
	pool_cell_submit(cell, "import", "ms=1000");
	pool_cell_run(cell, 500 * GB_MSEC);
	pool_cell_step_add(cell, 1, 16000, GB_SEC, 0, -1);
	waiting = pool_cell_submit(cell, "import", "ms=1000");
	pool_cell_run(cell, 300 * GB_MSEC);
	pool_cell_kill(cell, 0);
	pool_cell_take_over(cell, 1);
	pool_cell_run(cell, 2500 * GB_MSEC);
	assert_int_equal(cell->flows[waiting].status, GB_FLOW_SUCCEEDED);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

/** Entries name the address of another worker.  The runs of a worker that has
 * answered at its own address must not be given up as those of an ended
 * incarnation and started a second time. */
static void
test_wrong_address_ends_no_run(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&plain);
	size_t flow;

	(void)state;
	pool_cell_step_add(cell, 16, 8000, 6 * GB_SEC, 0, -1);
	flow = pool_cell_submit(cell, "import", "ms=6000");
	pool_cell_run(cell, GB_SEC);
	cell->wrong_addresses = true;
	pool_cell_run(cell, 8 * GB_SEC);
	assert_int_equal(cell->flows[flow].status, GB_FLOW_SUCCEEDED);
	assert_int_equal(cell->starts, 16);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_invalid_entry_gets_no_new_runs),
	    cmocka_unit_test(test_invalid_entry_adds_no_worker),
	    cmocka_unit_test(test_unknown_workers_delay_no_takeover),
	    cmocka_unit_test(test_wrong_address_ends_no_run),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
