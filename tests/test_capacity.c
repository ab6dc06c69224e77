/**
 * @file test_capacity.c
 * Guards against starts beyond the capacity of workers that shrink and grow
 * while they run. They come about when an owner still uses capacity that it has
 * reserved before, retries lost orders, or has just taken over.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pool_cell.h"

/** 16 workers with 16 processors and 64 GB each, without advice service. */
static const struct pool_cell_setup plain = {
    21, 16, {16000, 64000, 0, 0, 0}, 0, 0, 0, 0, 0, 0};
/** 24 workers, of which the advice service approves half. */
static const struct pool_cell_setup advised = {22, 24, {16000, 64000, 0, 0, 0},
    50, 100 * GB_MSEC, 1500 * GB_MSEC, 200, 0, 0};

/** Submits the flows of one tenth of a second: small ones, wide steps and
 * gangs, together more than the pool can run at once. */
static void
submit_tenth(struct pool_cell *cell, unsigned int tenth)
{
	pool_cell_step_add(cell, 2, 1400, GB_SEC, 0, -1);
	pool_cell_submit(cell, "lookup", "ms=800");
	if (tenth % 4 == 1) {
		pool_cell_step_add(cell, 8, 2000, 3 * GB_SEC,
		    tenth % 8 == 1 ? GB_STEP_CHECKPOINT : 0, -1);
		pool_cell_submit(cell, "import", "ms=3000");
	}
	if (tenth % 9 == 2) {
		pool_cell_step_add(
		    cell, 12, 4500, 3 * GB_SEC, GB_STEP_GANG, -1);
		pool_cell_submit(cell, "rebuild", "ms=3000");
	}
}

/** Gives one random worker between none and all of its capacity, in
 * quarters. */
static void
resize_one(struct pool_cell *cell)
{
	uint64_t n = gb_random_next(&cell->seed);
	gb_res capacity = cell->setup.capacity;

	capacity.cpu = (int)(capacity.cpu * (int)(n % 5) / 4);
	capacity.mem = (int)(capacity.mem * (int)(n % 5) / 4);
	world_worker_resize(cell->world,
	    (unsigned int)(n / 64 % world_worker_count(cell->world)),
	    &capacity);
}

static void
resize_all(struct pool_cell *cell, const gb_res *capacity)
{
	unsigned int i;

	for (i = 0; i < world_worker_count(cell->world); i++)
		world_worker_resize(cell->world, i, capacity);
}

/** Submits flows for 20 s while workers are resized, and asserts that accepted
 * flows succeed.
 * @param dropped percentage of orders that are dropped
 * @param takeovers replaces the owner every 2.5 s
 */
static void
run_resizes(
    const struct pool_cell_setup *setup, unsigned int dropped, bool takeovers)
{
	struct pool_cell *cell = pool_cell_begin(setup);
	unsigned int tenth;
	size_t i;

	cell->faults.order_dropped = dropped;
	for (tenth = 0; tenth < 200; tenth++) {
		submit_tenth(cell, tenth);
		if (tenth % 3 == 0)
			resize_one(cell);
		if (takeovers && tenth % 25 == 24) {
			pool_cell_replace_owner(cell, tenth % CELL_NODES);
		}
		pool_cell_run(cell, 100 * GB_MSEC);
	}
	cell->faults.order_dropped = 0;
	resize_all(cell, &cell->setup.capacity);
	pool_cell_run(cell, 90 * GB_SEC);
	pool_cell_assert_no_violation(cell);
	for (i = 0; i < cell->flow_count; i++) {
		if (cell->flows[i].accepted)
			assert_int_equal(
			    cell->flows[i].status, GB_FLOW_SUCCEEDED);
	}
	pool_cell_free(cell);
}

static void
test_no_start_beyond_capacity(void **state)
{
	(void)state;
	run_resizes(&plain, 0, false);
}

/** Gangs reserve capacity while they wait for tickets, and it shrinks
 * meanwhile. */
static void
test_reserved_capacity_shrinks(void **state)
{
	(void)state;
	run_resizes(&advised, 0, false);
}

/** A lost order is retried, but not beyond the capacity that is left by
 * then. */
static void
test_retries_keep_to_capacity(void **state)
{
	(void)state;
	run_resizes(&plain, 30, false);
	run_resizes(&advised, 30, false);
}

static void
test_owners_killed_during_resizes(void **state)
{
	(void)state;
	run_resizes(&plain, 10, true);
	run_resizes(&advised, 10, true);
}

/** A gang whose tasks fit only workers of full capacity waits until there are
 * some. */
static void
test_gang_waits_for_capacity(void **state)
{
	static const gb_res half = {8000, 32000, 0, 0, 0};
	struct pool_cell *cell = pool_cell_begin(&plain);
	size_t flow;

	(void)state;
	resize_all(cell, &half);
	pool_cell_run(cell, GB_SEC);
	pool_cell_step_add(cell, 4, 12000, GB_SEC, GB_STEP_GANG, -1);
	flow = pool_cell_submit(cell, "rebuild", "ms=1000");
	pool_cell_run(cell, 5 * GB_SEC);
	assert_true(cell->flows[flow].status < GB_FLOW_SUCCEEDED);
	resize_all(cell, &plain.capacity);
	pool_cell_run(cell, 5 * GB_SEC);
	assert_int_equal(cell->flows[flow].status, GB_FLOW_SUCCEEDED);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

/** Gives every fourth worker a share of its capacity, in percent. */
static void
resize_quarter(struct pool_cell *cell, int percent)
{
	gb_res capacity = cell->setup.capacity;
	unsigned int i;

	capacity.cpu = capacity.cpu * percent / 100;
	capacity.mem = capacity.mem * percent / 100;
	for (i = 0; i < world_worker_count(cell->world); i += 4)
		world_worker_resize(cell->world, i, &capacity);
}

/** Asserts that all accepted flows of a queue have succeeded, nine tenths of
 * them within `duration_max`. */
static void
assert_done_in_time(
    const struct pool_cell *cell, const char *queue, gb_time duration_max)
{
	unsigned int all = 0;
	unsigned int in_time = 0;
	size_t i;

	for (i = 0; i < cell->flow_count; i++) {
		const struct pool_cell_flow *flow = &cell->flows[i];

		if (!flow->accepted || strcmp(flow->spec.queue, queue) != 0)
			continue;
		assert_int_equal(flow->status, GB_FLOW_SUCCEEDED);
		all++;
		in_time += flow->finished_at - flow->submitted <= duration_max;
	}
	assert_true(in_time * 10 >= all * 9);
}

/** The capacity of a quarter of the workers shrinks to a percentage for 14 s,
 * below what they run, and submissions grow by half for 6 s of these. The
 * capacity that is left must be used and not exceeded. */
static void
run_shrunk_with_burst(int percent, bool takeover)
{
	struct pool_cell *cell = pool_cell_begin(&plain);
	unsigned int sent = 0;
	unsigned int slot;

	for (slot = 0; slot < 600; slot++) {
		bool burst = slot >= 220 && slot < 340;

		if (slot % (burst ? 2 : 3) == 0)
			submit_tenth(cell, sent++);
		if (slot == 120)
			resize_quarter(cell, percent);
		if (slot == 260 && takeover)
			pool_cell_replace_owner(cell, 1);
		if (slot == 400)
			resize_quarter(cell, 100);
		pool_cell_run(cell, 50 * GB_MSEC);
	}
	pool_cell_run(cell, 60 * GB_SEC);
	pool_cell_assert_no_violation(cell);
	assert_done_in_time(cell, "lookup", 2 * GB_SEC);
	assert_done_in_time(cell, "import", 10 * GB_SEC);
	assert_done_in_time(cell, "rebuild", 10 * GB_SEC);
	pool_cell_free(cell);
}

static void
test_capacity_shrinks_during_burst(void **state)
{
	static const int percentages[] = {30, 55, 80};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(percentages) / sizeof(percentages[0]); i++) {
		run_shrunk_with_burst(percentages[i], false);
		run_shrunk_with_burst(percentages[i], true);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_no_start_beyond_capacity),
	    cmocka_unit_test(test_reserved_capacity_shrinks),
	    cmocka_unit_test(test_retries_keep_to_capacity),
	    cmocka_unit_test(test_owners_killed_during_resizes),
	    cmocka_unit_test(test_gang_waits_for_capacity),
	    cmocka_unit_test(test_capacity_shrinks_during_burst),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
