/**
 * @file test_advice.c
 * Guards against gangs that never start after a call of the advice service has
 * failed.  This comes about when other calls for the same step are in flight:
 * the workers of the failed call were then never asked about again, although
 * those of the other calls are too few.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pool_cell.h"

#define GANGS 12
/** Time by which accepted work has to have run on an idle pool. */
#define FINISH_TIME (14 * GB_SEC)

/** Submits gangs one after the other to an idle pool of 48 workers, each of
 * which takes two of their tasks, while every second advice call fails. */
static void
gangs_run(unsigned int approved_percent, uint32_t tasks,
    gb_advice_status failure, gb_time fails_after)
{
	struct pool_cell_setup setup = {5, 48, {16000, 64000, 0, 0, 0},
	    approved_percent, 510 * GB_MSEC, 1500 * GB_MSEC, 7200, 0, 0};
	struct pool_cell *cell = pool_cell_begin(&setup);
	unsigned int finished = 0;
	size_t flow;
	int i;

	cell->extra_members = 5;
	cell->faults.advice_fails_every = 2;
	cell->faults.advice_failure = failure;
	cell->faults.advice_fails_after = fails_after;
	pool_cell_run(cell, GB_SEC);
	for (i = 0; i < GANGS; i++) {
		pool_cell_step_add(cell, tasks, 7600, GB_SEC, GB_STEP_GANG, -1);
		flow = pool_cell_submit(cell, "rebuild", "ms=1000");
		pool_cell_run(cell, FINISH_TIME);
		finished += cell->flows[flow].status == GB_FLOW_SUCCEEDED;
	}
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
	assert_int_equal(finished, GANGS);
}

/** The node that asks for the owner is killed. */
static void
test_call_is_lost_beside_another(void **state)
{
	(void)state;
	gangs_run(40, 24, GB_ADVICE_LOST, 2 * GB_MSEC);
}

/** The node that asks for the owner is paused or cut off. */
static void
test_call_times_out_beside_another(void **state)
{
	(void)state;
	gangs_run(40, 24, GB_ADVICE_LOST, 3 * GB_SEC);
}

static void
test_call_is_rejected_beside_another(void **state)
{
	(void)state;
	gangs_run(40, 24, GB_ADVICE_BUSY, 2 * GB_MSEC);
}

/** Few workers are approved, so that the answered call often names none. */
static void
test_call_is_lost_beside_one_without_approval(void **state)
{
	(void)state;
	gangs_run(12, 2, GB_ADVICE_LOST, 2 * GB_MSEC);
	gangs_run(12, 2, GB_ADVICE_LOST, 3 * GB_SEC);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_call_is_lost_beside_another),
	    cmocka_unit_test(test_call_times_out_beside_another),
	    cmocka_unit_test(test_call_is_rejected_beside_another),
	    cmocka_unit_test(test_call_is_lost_beside_one_without_approval),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
