/**
 * @file large_gang.c
 * Runs a large gang beside a stream of small ones.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "large_gang.h"
#include "pool_cell.h"

/** Time within which a gang of 3 s should finish: 2.2 times its work and 1 s,
 * as configured for the queue rebuild. */
#define OBJECTIVE (7600 * GB_MSEC)

void
large_gang_assert_finishes(int tenths)
{
	struct pool_cell_setup setup = {
	    5, 24, {16000, 64000, 0, 0, 0}, 0, 0, 0, 0, 0, 0};
	struct pool_cell *cell = pool_cell_begin(&setup);
	size_t large = 0;
	int i;

	for (i = 0; i < 300; i++) {
		if (i == 40) {
			pool_cell_step_add(
			    cell, 60, 4000, 3 * GB_SEC, GB_STEP_GANG, -1);
			large = pool_cell_submit(cell, "rebuild", "ms=3000");
		}
		if (i % tenths == 0) {
			pool_cell_step_add(
			    cell, 8, 4000, 3 * GB_SEC, GB_STEP_GANG, -1);
			pool_cell_submit(cell, "rebuild", "ms=3000");
		}
		pool_cell_run(cell, 100 * GB_MSEC);
	}
	assert_int_equal(cell->flows[large].status, GB_FLOW_SUCCEEDED);
	assert_true(
	    cell->flows[large].finished_at - cell->flows[large].submitted <=
	    3 * OBJECTIVE);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}
