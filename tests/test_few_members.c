/**
 * @file test_few_members.c
 * Guards against flows that are accepted and never start while few members are
 * left: the advice service handles one call at a time for each of them, newer
 * flows go first, and more is accepted than the service can be asked about.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "pool_cell.h"

/** Time by which accepted work has to have run on an idle pool. */
#define FINISH_TIME (14 * GB_SEC)

/** One node is left to call the advice service through, which can be asked
 * about a third of what is submitted. */
static void
test_accepted_flows_do_not_wait_for_advice(void **state)
{
	struct pool_cell_setup setup = {6, 48, {16000, 64000, 0, 0, 0}, 70,
	    100 * GB_MSEC, 1500 * GB_MSEC, 2 * GB_MSEC, 0, 0};
	struct pool_cell *cell = pool_cell_begin(&setup);
	int tenth;

	(void)state;
	cell->members_gone = true;
	for (tenth = 0; tenth < 250; tenth++) {
		pool_cell_submit_lookup(cell);
		if (tenth % 5 == 0) {
			pool_cell_step_add(cell, 10, 1000, 3 * GB_SEC, 0, -1);
			pool_cell_submit(cell, "import", "ms=3000");
		}
		pool_cell_run(cell, 100 * GB_MSEC);
	}
	pool_cell_run(cell, FINISH_TIME);
	assert_int_equal(pool_cell_idle_count(cell), 0);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_accepted_flows_do_not_wait_for_advice),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
