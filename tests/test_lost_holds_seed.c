/**
 * @file test_lost_holds_seed.c
 * Guards, with a single seed, against flows that finish late because answers to
 * heartbeats are lost. The owner learns of the ended runs that such an answer
 * listed only from a later heartbeat.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pool_cell.h"

/** 16 workers with 16 processors and 64 GB each, without advice service. */
static const struct pool_cell_setup plain = {
    1, 16, {16000, 64000, 0, 0, 0}, 0, 0, 0, 0, 0, 0};

/** One in five answers to heartbeats is lost while lookups of 1 s are
 * submitted. Four of five must still finish within the objective of a lookup,
 * 1.75 s. */
static void
test_lost_heartbeats_delay_few_flows(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&plain);
	unsigned int late = 0;
	size_t i;

	(void)state;
	cell->faults.heartbeat_silent = 20;
	for (i = 0; i < 100; i++) {
		pool_cell_submit_lookup(cell);
		pool_cell_run(cell, 40 * GB_MSEC);
	}
	pool_cell_run(cell, 4 * GB_SEC);
	for (i = 0; i < 100; i++) {
		assert_int_equal(cell->flows[i].status, GB_FLOW_SUCCEEDED);
		late += cell->flows[i].finished_at - cell->flows[i].submitted >
			1750 * GB_MSEC;
	}
	print_message("late: %u of 100\n", late);
	assert_true(late <= 20);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_lost_heartbeats_delay_few_flows),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
