/**
 * @file test_gang.c
 * Guards against gangs that are late on a full pool although there is free
 * capacity for them.  This comes about when the advice service was asked about
 * so few workers that a gang has to wait until most of these are free.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pool/gang.h"
#include "pool_cell.h"

/** Duration of the load, in tenths of a second. */
#define TENTHS 250

static void
test_slots_grow_as_the_pool_fills(void **state)
{
	(void)state;
	assert_float_equal(step_slots_wanted(20), 60, 0.01);
	assert_float_equal(gang_slots_wanted(20, 5600, 5600), 60, 0.01);
	assert_float_equal(gang_slots_wanted(20, 5600, 560), 200, 0.01);
	assert_float_equal(gang_slots_wanted(20, 5600, 0), 320, 0.01);
	assert_float_equal(gang_slots_wanted(20, 0, 0), 320, 0.01);
	assert_float_equal(gang_slots_wanted(20, 5600, -5), 320, 0.01);
}

static void
submit(struct pool_cell *cell, const char *queue, uint32_t count, int cpu,
    int work_ms, uint32_t flags)
{
	char spec[GB_NAME_MAX + 1];

	snprintf(spec, sizeof(spec), "ms=%d", work_ms);
	pool_cell_step_add(cell, count, cpu, work_ms * GB_MSEC, flags, -1);
	pool_cell_submit(cell, queue, spec);
}

/** Submits gangs, imports and lookups to 120 workers of 16 processors for 25 s,
 * a tenth more than these can run.  Returns the mean time that a gang takes. */
static gb_time
gang_time_mean(uint32_t disabled_features)
{
	struct pool_cell_setup setup = {11, 120, {16000, 64000, 0, 0, 0}, 25,
	    40 * GB_MSEC, 1500 * GB_MSEC, GB_MSEC, 0, disabled_features};
	struct pool_cell *cell = pool_cell_begin(&setup);
	gb_time time = 0;
	int gangs = 0;
	size_t i;
	int n;

	for (n = 0; n < TENTHS; n++) {
		if (n % 3 == 0)
			submit(cell, "rebuild", 16 + (unsigned int)n % 12, 4500,
			    5000, GB_STEP_GANG);
		if (n % 2 == 0)
			submit(
			    cell, "import", 25, 1700, 2200, GB_STEP_CHECKPOINT);
		if (n % 5 == 0)
			submit(cell, "lookup", 12, 2500, 1000, 0);
		pool_cell_run(cell, 100 * GB_MSEC);
	}
	pool_cell_run(cell, 60 * GB_SEC);
	for (i = 0; i < cell->flow_count; i++) {
		const struct pool_cell_flow *flow = &cell->flows[i];

		assert_int_equal(flow->status, GB_FLOW_SUCCEEDED);
		if (strcmp(flow->spec.queue, "rebuild") != 0)
			continue;
		time += flow->finished_at - flow->submitted;
		gangs++;
	}
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
	return time / gangs;
}

static void
test_gangs_start_sooner(void **state)
{
	gb_time with = gang_time_mean(0);
	gb_time without =
	    gang_time_mean(UINT32_C(1) << GB_FEATURE_GANG_WORKERS);

	(void)state;
	print_message("mean time of a gang: %d ms with, %d ms without\n",
	    (int)(with / GB_MSEC), (int)(without / GB_MSEC));
	assert_true(with < without);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_slots_grow_as_the_pool_fills),
	    cmocka_unit_test(test_gangs_start_sooner),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
