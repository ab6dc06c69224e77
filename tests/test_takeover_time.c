/**
 * @file test_takeover_time.c
 * Guards against lookups that are late because the pool changes hands slowly.
 * It comes about when an owner needs long to notice that the store does not
 * answer it any more, so that no successor checks the store, or when a new
 * owner sends its first heartbeats to all workers at once and handles nothing
 * else before the last one is sent.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "pool_cell.h"

/** The owner reports a silent store to its successors within this time.  A
 * lookup has 0.75 s to spare, of which a successor needs 0.25 s to check the
 * store and 0.1 s to take over. */
#define REPORT_MAX (400 * GB_MSEC)
/** Interval at which the owner is called. */
#define TICK (5 * GB_MSEC)
/** Far longer than any call may take: the store doesn't answer. */
#define NO_ANSWER (100 * GB_SEC)

static const struct pool_cell_setup small = {
    31, 24, {16000, 64000, 0, 0, 0}, 0, 0, 0, 0, 0, 0};
static const struct pool_cell_setup large = {
    32, 500, {16000, 64000, 0, 0, 0}, 0, 0, 0, 0, 0, 0};

/** Submits 40 lookups a second. */
static void
run_lookups(struct pool_cell *cell, gb_time duration)
{
	gb_time at;

	for (at = 0; at < duration; at += 25 * GB_MSEC) {
		pool_cell_submit_lookup(cell);
		pool_cell_run(cell, 25 * GB_MSEC);
	}
}

/** Time until the owner reports that the store does not take its writes. */
static gb_time
time_to_report(struct pool_cell *cell)
{
	const struct gb_pool *owner = cell->nodes[0];
	gb_time began = cell->now;

	while (!gb_pool_store_unavailable(owner) &&
	       cell->now - began < 3 * GB_SEC) {
		pool_cell_submit_lookup(cell);
		pool_cell_run(cell, TICK);
	}
	return cell->now - began;
}

/** The store answers nothing any more, and resets no connection. */
static void
test_silent_store_is_reported_soon(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&small);

	(void)state;
	run_lookups(cell, GB_SEC);
	assert_false(gb_pool_store_unavailable(cell->nodes[0]));
	cell->faults.store_delay = NO_ANSWER;
	assert_true(time_to_report(cell) < REPORT_MAX);
	pool_cell_free(cell);
}

/** The store loses every call for 0.6 s and then answers again.  The owner
 * notices that before a successor that checks the store for 0.25 s could claim
 * the pool. */
static void
test_return_of_the_store_is_noticed_soon(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&small);

	(void)state;
	run_lookups(cell, GB_SEC);
	cell->faults.store_delay = NO_ANSWER;
	run_lookups(cell, 600 * GB_MSEC);
	assert_true(gb_pool_store_unavailable(cell->nodes[0]));
	cell->faults.store_delay = 0;
	pool_cell_run(cell, 200 * GB_MSEC);
	assert_false(gb_pool_store_unavailable(cell->nodes[0]));
	pool_cell_free(cell);
}

/** Reads take 0.14 s and writes 0.28 s, which successors consider a working
 * store: the owner must not report it as unavailable. */
static void
test_slow_store_is_not_reported(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&small);
	unsigned int i;

	(void)state;
	cell->faults.store_delay = 140 * GB_MSEC;
	for (i = 0; i < 400; i++) {
		pool_cell_submit_lookup(cell);
		pool_cell_run(cell, TICK);
		assert_false(gb_pool_store_unavailable(cell->nodes[0]));
	}
	pool_cell_free(cell);
}

/** Heartbeats that a node has sent. */
static uint64_t
heartbeats(const struct pool_cell *cell, unsigned int node)
{
	return gb_pool_stats(cell->nodes[node])->heartbeats;
}

/** A successor takes over a pool of 500 workers.  In its first tick it asks no
 * more than a fifth of them for their runs, so that it can handle their answers
 * and start work there before it asks the last ones.  They follow within 0.3 s,
 * also while it reads the list of workers. */
static void
test_first_heartbeats_are_spread(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&large);
	unsigned int ticks = 0;

	(void)state;
	run_lookups(cell, 200 * GB_MSEC);
	pool_cell_replace_owner(cell, 1);
	while (heartbeats(cell, 1) == 0 && ticks++ < 1000)
		pool_cell_run(cell, TICK);
	assert_true(gb_pool_owns(cell->nodes[1]));
	assert_true(heartbeats(cell, 1) <= large.workers / 5);
	pool_cell_run(cell, 300 * GB_MSEC);
	assert_true(heartbeats(cell, 1) >= large.workers);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_silent_store_is_reported_soon),
	    cmocka_unit_test(test_return_of_the_store_is_noticed_soon),
	    cmocka_unit_test(test_slow_store_is_not_reported),
	    cmocka_unit_test(test_first_heartbeats_are_spread),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
