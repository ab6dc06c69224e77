/**
 * @file test_rows.c
 * Guards against flows that are accepted and never run, since they wait behind a
 * row of another flow that the store does not take.  It comes about when a row is
 * too large.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pool_cell.h"

/** Time by which accepted work has to have run on an idle pool. */
#define FINISH_TIME (14 * GB_SEC)

static const struct pool_cell_setup setup = {
    61, 48, {16000, 64000, 0, 0, 0}, 0, 0, 0, 0, 0, 0};

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

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_invalid_row_stops_no_other),
	    cmocka_unit_test(test_accepted_flow_waits_alone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
