/**
 * @file test_share.c
 * Guards against an organisation that is served late although it stays within
 * its share.  This comes about when another organisation submits far more than
 * the pool can run and is not put behind it, or when a new owner does not know
 * which flows are beyond their organisation's share.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pool_cell.h"

/** Time within which an import of 1 s should finish: 4 times its work and 3 s,
 * as configured for the queue import. */
#define OBJECTIVE (7 * GB_SEC)
/** Number of rounds of submissions, 0.1 s apart. */
#define ROUNDS 60

/** Runs a pool for 6 s at twice the load that it can carry: the organisation
 * `hot` submits five imports each 0.1 s, and `other` one each 0.2 s.  Returns
 * how many imports of `other` finish within the objective.
 * @param disabled_features bitmask of features that are disabled
 * @param takeover whether the owner is replaced after half of the rounds
 */
static unsigned int
overload_run(uint32_t disabled_features, bool takeover)
{
	struct pool_cell_setup setup = {
	    7, 12, {16000, 64000, 0, 0, 0}, 0, 0, 0, 0, 0, disabled_features};
	struct pool_cell *cell = pool_cell_begin(&setup);
	unsigned int count = 0;
	size_t i;
	int n;

	pool_cell_quota(cell, "hot", 0, 0);
	pool_cell_quota(cell, "other", 0, 0);
	for (n = 0; n < ROUNDS; n++) {
		for (i = 0; i < 5; i++) {
			snprintf(cell->org, sizeof(cell->org), "hot");
			pool_cell_step_add(cell, 8, 2000, GB_SEC, 0, -1);
			pool_cell_submit(cell, "import", "ms=1000");
		}
		if (n % 2 == 0) {
			snprintf(cell->org, sizeof(cell->org), "other");
			pool_cell_step_add(cell, 8, 2000, GB_SEC, 0, -1);
			pool_cell_submit(cell, "import", "ms=1000");
		}
		pool_cell_run(cell, 100 * GB_MSEC);
		if (takeover && n == ROUNDS / 2)
			pool_cell_replace_owner(cell, 1);
	}
	pool_cell_run(cell, 60 * GB_SEC);
	for (i = 0; i < cell->flow_count; i++) {
		const struct pool_cell_flow *flow = &cell->flows[i];

		if (flow->accepted)
			assert_int_equal(flow->status, GB_FLOW_SUCCEEDED);
		if (strcmp(flow->spec.org, "other") == 0)
			count +=
			    flow->finished_at != 0 &&
			    flow->finished_at - flow->submitted <= OBJECTIVE;
	}
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
	return count;
}

/** The organisation that stays within its share is served in time, and in the
 * end all accepted flows succeed. */
static void
test_overload_does_not_delay_others(void **state)
{
	unsigned int with = overload_run(0, false);
	unsigned int without =
	    overload_run(UINT32_C(1) << GB_FEATURE_SHARE_ORDER, false);

	(void)state;
	print_message("in time: %u with shares, %u without, of %d\n", with,
	    without, ROUNDS / 2);
	assert_true(with >= ROUNDS / 2 - 2);
	assert_true(with > without);
}

/** A new owner knows which flows are beyond their organisation's share. */
static void
test_shares_outlast_a_takeover(void **state)
{
	unsigned int count = overload_run(0, true);

	(void)state;
	print_message("in time: %u of %d\n", count, ROUNDS / 2);
	assert_true(count >= ROUNDS / 2 - 6);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_overload_does_not_delay_others),
	    cmocka_unit_test(test_shares_outlast_a_takeover),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
