/**
 * @file test_urgent.c
 * Guards against lookups that are lost in an overload although they need little
 * of the pool.  This comes about when imports and gangs with time to spare fill
 * the pool until all of them have to start at once: lookups that are late then
 * wait behind everything that is on time.  The same happens to the lookups that
 * an organisation sends beyond its weight.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pool_cell.h"

/** Time within which a lookup should finish, and within which it earns
 * anything: 1.5 times its work and 0.25 s, as configured for the queue lookup,
 * and three times that. */
#define LOOKUP_OBJECTIVE (1750 * GB_MSEC)
#define LOOKUP_LATE (3 * LOOKUP_OBJECTIVE)
/** The same for an import of 1 s. */
#define IMPORT_OBJECTIVE (7 * GB_SEC)
/** Number of rounds of submissions, and their interval. */
#define ROUNDS 140
#define SHARE_ROUNDS 80
#define ROUND_INTERVAL (100 * GB_MSEC)
/** Lookups in a round of an organisation whose weight is 6 a second. */
#define LOOKUPS_OVER_SHARE 3

static struct pool_cell *
cell_of_12_workers(uint32_t disabled_features)
{
	const struct pool_cell_setup setup = {
	    7, 12, {16000, 64000, 0, 0, 0}, 0, 0, 0, 0, 0, disabled_features};

	struct pool_cell *cell = pool_cell_begin(&setup);

	cell->priorities = true;
	pool_cell_configure(cell);
	return cell;
}

static void
submit_lookups(struct pool_cell *cell, unsigned int count)
{
	while (count-- > 0)
		pool_cell_submit_lookup(cell);
}

static void
submit_imports(struct pool_cell *cell, unsigned int count)
{
	while (count-- > 0) {
		pool_cell_step_add(cell, 8, 2000, GB_SEC, 0, -1);
		pool_cell_submit(cell, "import", "ms=1000");
	}
}

/** Number of flows of a queue and an organisation that have finished within a
 * time. */
static unsigned int
count_within(const struct pool_cell *cell, const char *queue, const char *org,
    gb_time limit)
{
	unsigned int count = 0;
	size_t i;

	for (i = 0; i < cell->flow_count; i++) {
		const struct pool_cell_flow *flow = &cell->flows[i];

		count += strcmp(flow->spec.queue, queue) == 0 &&
			 strcmp(flow->spec.org, org) == 0 &&
			 flow->finished_at != 0 &&
			 flow->finished_at - flow->submitted <= limit;
	}
	return count;
}

static void
assert_all_succeed(struct pool_cell *cell)
{
	size_t i;

	pool_cell_run(cell, 60 * GB_SEC);
	for (i = 0; i < cell->flow_count; i++) {
		if (cell->flows[i].accepted)
			assert_int_equal(
			    cell->flows[i].status, GB_FLOW_SUCCEEDED);
	}
	pool_cell_assert_no_violation(cell);
}

/** Submits twice what the pool can run for 14 s, of which lookups need a tenth
 * of the pool; returns how many lookups finish within their objective. */
static unsigned int
lookups_in_overload(uint32_t disabled_features)
{
	struct pool_cell *cell = cell_of_12_workers(disabled_features);
	unsigned int count;
	int n;

	for (n = 0; n < ROUNDS; n++) {
		submit_imports(cell, 2);
		submit_lookups(cell, 1);
		pool_cell_run(cell, ROUND_INTERVAL);
	}
	assert_all_succeed(cell);
	count = count_within(cell, "lookup", "", LOOKUP_OBJECTIVE);
	pool_cell_free(cell);
	return count;
}

/** Lookups finish in time while imports wait. Placement by speed alone brings
 * them there too, so that the effect of the priority shows without it. */
static void
test_lookups_go_before_a_backlog(void **state)
{
	const uint32_t speeds = UINT32_C(1) << GB_FEATURE_FAST_WORKERS;
	const uint32_t priorities = UINT32_C(1) << GB_FEATURE_PRIORITY_ORDER;
	unsigned int all = lookups_in_overload(0);
	unsigned int with = lookups_in_overload(speeds);
	unsigned int without = lookups_in_overload(speeds | priorities);

	(void)state;
	print_message(
	    "in time: %u, without speeds %u by priority, %u by time alone, "
	    "of %d\n",
	    all, with, without, ROUNDS);
	assert_true(all >= ROUNDS * 95 / 100);
	assert_true(with >= ROUNDS * 95 / 100);
	assert_true(without < ROUNDS * 95 / 100);
}

/** An organisation sends five times the lookups of its weight to a pool that is
 * nearly full with imports of two others, which stay within theirs.  Asserts
 * that no import is late for it, and returns how many lookups earn something.
 */
static unsigned int
lookups_over_share(uint32_t disabled_features)
{
	struct pool_cell *cell = cell_of_12_workers(disabled_features);
	unsigned int count;
	int n;

	pool_cell_quota(cell, "hot", 0, 0);
	pool_cell_quota(cell, "other", 0, 0);
	pool_cell_quota(cell, "third", 0, 0);
	for (n = 0; n < SHARE_ROUNDS; n++) {
		snprintf(cell->org, sizeof(cell->org), "hot");
		submit_lookups(cell, LOOKUPS_OVER_SHARE);
		snprintf(cell->org, sizeof(cell->org),
		    n % 2 == 0 ? "other" : "third");
		submit_imports(cell, 1);
		pool_cell_run(cell, ROUND_INTERVAL);
	}
	assert_all_succeed(cell);
	count = count_within(cell, "import", "other", IMPORT_OBJECTIVE) +
		count_within(cell, "import", "third", IMPORT_OBJECTIVE);
	assert_int_equal(count, SHARE_ROUNDS);
	count = count_within(cell, "lookup", "hot", LOOKUP_LATE);
	pool_cell_free(cell);
	return count;
}

/** Lookups beyond the weight of their organisation use the time that imports
 * have to spare. */
static void
test_lookups_over_share_are_served(void **state)
{
	unsigned int with = lookups_over_share(0);
	unsigned int without =
	    lookups_over_share(UINT32_C(1) << GB_FEATURE_PRIORITY_ORDER);

	(void)state;
	print_message("served: %u by priority, %u by time alone, of %d\n", with,
	    without, SHARE_ROUNDS * LOOKUPS_OVER_SHARE);
	assert_true(with >= SHARE_ROUNDS * LOOKUPS_OVER_SHARE * 9 / 10);
	assert_true(without < SHARE_ROUNDS * LOOKUPS_OVER_SHARE * 9 / 10);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_lookups_go_before_a_backlog),
	    cmocka_unit_test(test_lookups_over_share_are_served),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
