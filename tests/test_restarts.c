/**
 * @file test_restarts.c
 * Guards against tasks that are lost or run twice because a worker restarts
 * under the same id. This comes about when the owner applies what it knows of
 * one worker incarnation (the numbers of ended runs, start time, capacity,
 * orders in flight) to another.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pool_random.h"

/** 6 workers with 16 processors and 64 GB each, without advice service. */
static const struct pool_cell_setup plain = {
    1, 6, {16000, 64000, 0, 0, 0}, 0, 0, 0, 0, 0, 0};

/** Submits lookups of 0.3 s, one every 40 ms. */
static void
submit_lookups(struct pool_cell *cell, unsigned int count)
{
	unsigned int i;

	for (i = 0; i < count; i++) {
		pool_cell_step_add(cell, 2, 1400, GB_SEC, 0, -1);
		pool_cell_submit(cell, "lookup", "ms=300");
		pool_cell_run(cell, 40 * GB_MSEC);
	}
}

/** Asserts that every flow has succeeded, and that no task ran again after it
 * had ended. */
static void
assert_succeeded_once(struct pool_cell *cell)
{
	struct world_flow_view view;
	size_t i;

	for (i = 0; i < cell->flow_count; i++) {
		assert_int_equal(cell->flows[i].status, GB_FLOW_SUCCEEDED);
		assert_true(world_flow_view(
		    cell->world, cell->flows[i].spec.id, &view));
		assert_true(view.done);
	}
	pool_cell_assert_no_violation(cell);
}

/** A restarted worker numbers the ends of its runs from 1 again. They must not
 * be taken for acknowledged ends of the previous incarnation, or their tasks
 * run twice. */
static void
test_ends_after_restart_are_applied(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&plain);
	unsigned int i;

	(void)state;
	submit_lookups(cell, 60);
	pool_cell_run(cell, GB_SEC);
	for (i = 0; i < 3; i++)
		world_worker_restart(cell->world, i);
	pool_cell_run(cell, GB_SEC);
	submit_lookups(cell, 60);
	pool_cell_run(cell, 4 * GB_SEC);
	assert_succeeded_once(cell);
	pool_cell_free(cell);
}

/** The ends of a step's runs on restarted workers must be applied; otherwise
 * the step is started again without limit, and the next step never. */
static void
test_next_step_starts_after_restarts(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&plain);
	unsigned int i;
	size_t flow;

	(void)state;
	submit_lookups(cell, 120);
	pool_cell_run(cell, GB_SEC);
	for (i = 0; i < plain.workers; i++)
		world_worker_restart(cell->world, i);
	pool_cell_run(cell, GB_SEC);
	pool_cell_step_add(cell, 4, 1400, GB_SEC, 0, -1);
	pool_cell_step_add(cell, 4, 1400, GB_SEC, GB_STEP_GANG, 0);
	flow = pool_cell_submit(cell, "import", "ms=300");
	pool_cell_run(cell, 4 * GB_SEC);
	assert_int_equal(cell->flows[flow].status, GB_FLOW_SUCCEEDED);
	assert_succeeded_once(cell);
	pool_cell_free(cell);
}

/** Two incarnations may report the same start time, as the time of day may
 * jump. */
static void
test_restart_at_same_time_of_day(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&plain);

	(void)state;
	submit_lookups(cell, 60);
	/* Back to the time of day at which the workers started. */
	world_clock_step(cell->world, 100 * GB_SEC - cell->now);
	world_worker_restart(cell->world, 0);
	submit_lookups(cell, 60);
	pool_cell_run(cell, 4 * GB_SEC);
	assert_succeeded_once(cell);
	pool_cell_free(cell);
}

/** A later incarnation may report an earlier start time. What ran on the
 * previous one is lost with it and started again at once. */
static void
test_restart_ends_runs(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&plain);
	unsigned int worker;
	size_t flow;

	(void)state;
	pool_cell_step_add(cell, 1, 1400, GB_SEC, 0, -1);
	flow = pool_cell_submit(cell, "lookup", "ms=1000");
	pool_cell_run(cell, 500 * GB_MSEC);
	worker = world_flow_worker(cell->world, cell->flows[flow].spec.id);
	assert_true(worker < plain.workers);
	world_clock_step(cell->world, -3600 * GB_SEC);
	world_worker_restart(cell->world, worker);
	pool_cell_run(cell, 200 * GB_MSEC);
	assert_true(world_flow_worker(cell->world, cell->flows[flow].spec.id) <
		    plain.workers);
	pool_cell_run(cell, 1500 * GB_MSEC);
	assert_succeeded_once(cell);
	pool_cell_free(cell);
}

/** The capacity and service of one worker incarnation are not assumed for the
 * next: nothing is started there before its own entry is known. */
static void
test_entry_of_earlier_incarnation(void **state)
{
	static const gb_res small = {2000, 8000, 0, 0, 0};
	struct pool_cell_setup one = plain;
	struct pool_cell *cell;

	(void)state;
	one.workers = 1;
	cell = pool_cell_begin(&one);
	submit_lookups(cell, 10);
	pool_cell_run(cell, 2 * GB_SEC);
	/* For 1 s the list still names the previous incarnation. */
	cell->listed_at = cell->now + GB_SEC;
	world_worker_resize(cell->world, 0, &small);
	world_shrink_grace_set(cell->world, 0);
	world_worker_restart(cell->world, 0);
	pool_cell_run(cell, 100 * GB_MSEC);
	submit_lookups(cell, 10);
	pool_cell_run(cell, 10 * GB_SEC);
	assert_succeeded_once(cell);
	pool_cell_free(cell);
}

/** Calls without an answer are carried out 2 s later, many of them by the next
 * incarnation, which has received a heartbeat of its own by then.
 * @param orders percentage of orders that are late
 * @param heartbeats percentage of heartbeats that are late
 */
static void
run_late_calls(unsigned int orders, unsigned int heartbeats)
{
	struct pool_cell *cell = pool_cell_begin(&plain);
	unsigned int i;

	submit_lookups(cell, 60);
	for (i = 0; i < 20; i++) {
		cell->faults.order_late = orders;
		cell->faults.heartbeat_late = heartbeats;
		submit_lookups(cell, 20);
		cell->faults.order_late = 0;
		cell->faults.heartbeat_late = 0;
		pool_cell_run(cell, GB_SEC);
		world_worker_restart(cell->world, i % plain.workers);
		submit_lookups(cell, 12);
	}
	pool_cell_run(cell, 10 * GB_SEC);
	assert_succeeded_once(cell);
	pool_cell_free(cell);
}

static void
test_late_orders_after_restart(void **state)
{
	(void)state;
	run_late_calls(30, 0);
}

static void
test_late_heartbeats_after_restart(void **state)
{
	(void)state;
	run_late_calls(0, 20);
}

/** Longest lease that workers accept, as the cell's owners know it. */
#define LEASE_MAX (6 * GB_SEC)
/** Workers that are cut off: those that may start the first task. */
#define CUT_WORKERS 2

static void
workers_resize(
    struct pool_cell *cell, unsigned int from, unsigned int to, int cpu)
{
	const gb_res capacity = {cpu, 64000, 0, 0, 0};
	unsigned int i;

	for (i = from; i < to; i++)
		world_worker_resize(cell->world, i, &capacity);
}

/** Starts a long task on one of the first workers.  It restarts before the
 * order arrives, so that the next incarnation gets a lease whose end was meant
 * for the clock of the previous one: the longest that it accepts. */
static struct pool_cell *
cell_with_long_lease(void)
{
	struct pool_cell *cell = pool_cell_new(&plain);
	unsigned int starts;
	unsigned int i;

	world_lease_max_set(cell->world, LEASE_MAX);
	pool_cell_take_over(cell, 0);
	pool_cell_run(cell, GB_SEC);
	workers_resize(cell, CUT_WORKERS, plain.workers, 100);
	pool_cell_run(cell, GB_SEC);
	starts = cell->starts;
	pool_cell_step_add(cell, 1, 4000, 60 * GB_SEC, 0, -1);
	pool_cell_submit(cell, "import", "ms=60000");
	for (i = 0; i < 200 && cell->starts == starts; i++)
		pool_cell_run(cell, 5 * GB_MSEC);
	assert_int_equal(cell->starts, starts + 1);
	for (i = 0; i < CUT_WORKERS; i++)
		world_worker_restart(cell->world, i);
	workers_resize(cell, CUT_WORKERS, plain.workers, 16000);
	return cell;
}

/** Cuts the first workers off from all nodes, and checks that the task does not
 * run elsewhere as long as it runs there. */
static void
cut_and_check(struct pool_cell *cell)
{
	struct world_flow_view view;

	cell->cut = CUT_BOTH_WAYS;
	cell->cut_nodes = 0;
	cell->cut_workers = CUT_WORKERS;
	pool_cell_run(cell, 5 * LEASE_MAX);
	assert_true(
	    world_flow_view(cell->world, cell->flows[0].spec.id, &view));
	assert_int_equal(view.running, 1);
	assert_true(cell->starts >= 2);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

/** The owner that has started the task is killed, and its successor never
 * reaches the worker. */
static void
test_lease_of_restarted_worker_that_is_cut_off(void **state)
{
	gb_time before;

	(void)state;
	for (before = 100 * GB_MSEC; before <= 1500 * GB_MSEC;
	     before += 200 * GB_MSEC) {
		struct pool_cell *cell = cell_with_long_lease();

		pool_cell_run(cell, before);
		cell->cut = CUT_BOTH_WAYS;
		cell->cut_workers = CUT_WORKERS;
		pool_cell_replace_owner(cell, 1);
		cut_and_check(cell);
	}
}

/** The successor reaches the worker once, before it is cut off. */
static void
test_lease_of_restarted_worker_after_takeover(void **state)
{
	gb_time before;

	(void)state;
	for (before = 10 * GB_MSEC; before <= 500 * GB_MSEC;
	     before += 70 * GB_MSEC) {
		struct pool_cell *cell = cell_with_long_lease();

		pool_cell_run(cell, before);
		pool_cell_replace_owner(cell, 1);
		pool_cell_run(cell, 500 * GB_MSEC);
		cut_and_check(cell);
	}
}

/** The owner that has started the task notices the restart, and then the worker
 * is cut off. */
static void
test_lease_of_restarted_worker_with_its_owner(void **state)
{
	gb_time before;

	(void)state;
	for (before = 10 * GB_MSEC; before <= 500 * GB_MSEC;
	     before += 70 * GB_MSEC) {
		struct pool_cell *cell = cell_with_long_lease();

		pool_cell_run(cell, before);
		cut_and_check(cell);
	}
}

/** A task that crashes its workers fails even if these restart under their ids
 * and owners are killed before they notice the loss of a worker. */
static void
test_crashes_count_over_restarts(void **state)
{
	struct world_flow_view view;
	unsigned int round;
	unsigned int worker;
	struct pool_cell *cell;
	size_t flow;

	(void)state;
	cell = pool_cell_begin(&plain);
	pool_cell_step_add(cell, 1, 4000, GB_SEC, 0, -1);
	flow = pool_cell_submit(cell, "import", "ms=2000 crash=0 back=600000");
	for (round = 0; round < 12; round++) {
		pool_cell_run(cell, 400 * GB_MSEC);
		for (worker = 0; worker < plain.workers; worker++) {
			if (!world_worker_up(cell->world, worker))
				world_worker_restart(cell->world, worker);
		}
		if (round % 2 == 1)
			pool_cell_replace_owner(cell, round % CELL_NODES);
		pool_cell_run(cell, 3 * GB_SEC);
	}
	assert_true(
	    world_flow_view(cell->world, cell->flows[flow].spec.id, &view));
	print_message("starts: %u\n", view.starts);
	assert_int_equal(cell->flows[flow].status, GB_FLOW_FAILED);
	assert_true(view.starts <= 5);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

/** Another worker answers at the address of a worker that has ended, and later
 * the ended worker's id is used again there. */
static void
test_ended_id_is_used_again(void **state)
{
	struct pool_cell_setup one = plain;
	struct pool_cell *cell;

	(void)state;
	one.workers = 1;
	cell = pool_cell_begin(&one);
	submit_lookups(cell, 10);
	pool_cell_run(cell, 2 * GB_SEC);
	world_worker_replace(cell->world, 0);
	pool_cell_run(cell, GB_SEC);
	submit_lookups(cell, 10);
	pool_cell_run(cell, 2 * GB_SEC);
	world_worker_rename(cell->world, 0, "w-0-0");
	pool_cell_run(cell, GB_SEC);
	submit_lookups(cell, 10);
	pool_cell_run(cell, 4 * GB_SEC);
	assert_succeeded_once(cell);
	pool_cell_free(cell);
}

/** Workers of an older version do not report when they started, and get a new
 * id at each start. */
static void
test_unreported_start_times(void **state)
{
	struct pool_cell *cell;
	unsigned int i;

	(void)state;
	cell = pool_cell_begin(&plain);
	world_start_times_omit(cell->world, true, true);
	for (i = 0; i < 4; i++) {
		submit_lookups(cell, 30);
		world_worker_replace(cell->world, i);
	}
	pool_cell_run(cell, 6 * GB_SEC);
	assert_succeeded_once(cell);
	pool_cell_free(cell);
}

/** If reports do not contain the start time of a worker, its entry does, a
 * little later. */
static void
test_restarts_known_from_entries_only(void **state)
{
	struct pool_cell *cell = pool_cell_new(&plain);
	unsigned int i;

	(void)state;
	world_start_times_omit(cell->world, true, false);
	pool_cell_take_over(cell, 0);
	pool_cell_run(cell, GB_SEC);
	submit_lookups(cell, 60);
	pool_cell_run(cell, 2 * GB_SEC);
	for (i = 0; i < 4; i++)
		world_worker_restart(cell->world, i);
	pool_cell_run(cell, GB_SEC);
	submit_lookups(cell, 60);
	pool_cell_run(cell, 4 * GB_SEC);
	assert_succeeded_once(cell);
	pool_cell_free(cell);
}

/** Leases are renewed and ends acknowledged although each call needs a new
 * connection to the worker and the owner ticks only every 0.1 s. */
static void
test_connection_for_each_call(void **state)
{
	struct pool_cell *cell = pool_cell_new(&plain);
	unsigned int i;

	(void)state;
	cell->connection_per_call = true;
	pool_cell_take_over(cell, 0);
	pool_cell_run(cell, GB_SEC);
	for (i = 0; i < 10; i++) {
		pool_cell_step_add(cell, 4, 1400, 8 * GB_SEC, 0, -1);
		pool_cell_submit(cell, "import", "ms=8000");
	}
	pool_cell_run(cell, 14 * GB_SEC);
	assert_succeeded_once(cell);
	assert_int_equal(gb_pool_stats(cell->nodes[0])->lapsed, 0);
	pool_cell_free(cell);
}

/** Workers restart under their ids while orders and heartbeats are lost or
 * late, owners are killed and the time of day jumps. */
static void
test_random_faults_and_restarts(void **state)
{
	(void)state;
	pool_random_runs(true);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_ends_after_restart_are_applied),
	    cmocka_unit_test(test_next_step_starts_after_restarts),
	    cmocka_unit_test(test_restart_at_same_time_of_day),
	    cmocka_unit_test(test_restart_ends_runs),
	    cmocka_unit_test(test_entry_of_earlier_incarnation),
	    cmocka_unit_test(test_late_orders_after_restart),
	    cmocka_unit_test(test_late_heartbeats_after_restart),
	    cmocka_unit_test(test_lease_of_restarted_worker_that_is_cut_off),
	    cmocka_unit_test(test_lease_of_restarted_worker_after_takeover),
	    cmocka_unit_test(test_lease_of_restarted_worker_with_its_owner),
	    cmocka_unit_test(test_crashes_count_over_restarts),
	    cmocka_unit_test(test_ended_id_is_used_again),
	    cmocka_unit_test(test_unreported_start_times),
	    cmocka_unit_test(test_restarts_known_from_entries_only),
	    cmocka_unit_test(test_connection_for_each_call),
	    cmocka_unit_test(test_random_faults_and_restarts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
