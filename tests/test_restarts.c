/**
 * @file test_restarts.c
 * Workers that start again under their id: nothing of one life holds for
 * another.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pool_random.h"

static const struct pool_cell_setup plain = {
    1, 6, {16000, 64000, 0, 0, 0}, 0, 0, 0, 0, 0, 0};

/** Load: lookups of 0.3 s, one each 40 ms. */
static void
lookups(struct pool_cell *cell, unsigned int count)
{
	unsigned int i;

	for (i = 0; i < count; i++) {
		pool_cell_step(cell, 2, 1400, GB_SEC, 0, -1);
		pool_cell_submit(cell, "lookup", "ms=300");
		pool_cell_run(cell, 40 * GB_MSEC);
	}
}

/** Every flow has succeeded, each task with one run that was done. */
static void
assert_done_once(struct pool_cell *cell)
{
	struct world_flow_view view;
	size_t i;

	for (i = 0; i < cell->flow_count; i++) {
		assert_int_equal(cell->flows[i].status, GB_FLOW_SUCCEEDED);
		assert_true(world_flow_view(
		    cell->world, cell->flows[i].spec.id, &view));
		assert_true(view.done);
	}
	pool_cell_assert_unharmed(cell);
}

/** TWICE: the ends of a worker's new life, whose numbers begin anew, were taken
 * for those that were acknowledged before, and their tasks ran again. */
static void
test_ends_of_a_restarted_worker_are_taken_in(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&plain);
	unsigned int i;

	(void)state;
	lookups(cell, 60);
	pool_cell_run(cell, GB_SEC);
	for (i = 0; i < 3; i++)
		world_worker_restart(cell->world, i);
	pool_cell_run(cell, GB_SEC);
	lookups(cell, 60);
	pool_cell_run(cell, 4 * GB_SEC);
	assert_done_once(cell);
	pool_cell_free(cell);
}

/** LOST: a step whose end was not seen is started for ever, and the one that
 * comes after it never. */
static void
test_later_step_starts_on_restarted_workers(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&plain);
	unsigned int i;
	size_t flow;

	(void)state;
	lookups(cell, 120);
	pool_cell_run(cell, GB_SEC);
	for (i = 0; i < plain.workers; i++)
		world_worker_restart(cell->world, i);
	pool_cell_run(cell, GB_SEC);
	pool_cell_step(cell, 4, 1400, GB_SEC, 0, -1);
	pool_cell_step(cell, 4, 1400, GB_SEC, GB_STEP_GANG, 0);
	flow = pool_cell_submit(cell, "import", "ms=300");
	pool_cell_run(cell, 4 * GB_SEC);
	assert_int_equal(cell->flows[flow].status, GB_FLOW_SUCCEEDED);
	assert_done_once(cell);
	pool_cell_free(cell);
}

/** Two starts may fall on the same time of day, once that has jumped. */
static void
test_two_starts_at_the_same_time_of_day(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&plain);

	(void)state;
	lookups(cell, 60);
	world_clock_step(cell->world, 100 * GB_SEC - cell->now);
	world_worker_restart(cell->world, 0);
	lookups(cell, 60);
	pool_cell_run(cell, 4 * GB_SEC);
	assert_done_once(cell);
	pool_cell_free(cell);
}

/** A later life may tell an earlier start; what ran on the one before is lost
 * with it, and started again at once. */
static void
test_a_restart_ends_what_ran(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&plain);
	unsigned int worker;
	size_t flow;

	(void)state;
	pool_cell_step(cell, 1, 1400, GB_SEC, 0, -1);
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
	assert_done_once(cell);
	pool_cell_free(cell);
}

/** The room and the kind of a worker are not those of the life before: nothing
 * is started there before its entry is known. */
static void
test_entry_of_an_earlier_life_tells_nothing(void **state)
{
	static const gb_res small = {2000, 8000, 0, 0, 0};
	struct pool_cell_setup one = plain;
	struct pool_cell *cell;

	(void)state;
	one.workers = 1;
	cell = pool_cell_begin(&one);
	lookups(cell, 10);
	pool_cell_run(cell, 2 * GB_SEC);
	/* The list names the life before for a while. */
	cell->listed_at = cell->now + GB_SEC;
	world_worker_resize(cell->world, 0, &small);
	world_shrunk_known(cell->world, 0);
	world_worker_restart(cell->world, 0);
	pool_cell_run(cell, 100 * GB_MSEC);
	lookups(cell, 10);
	pool_cell_run(cell, 10 * GB_SEC);
	assert_done_once(cell);
	pool_cell_free(cell);
}

/** Load: calls without an answer are carried out 2 s later, many of them by the
 * life that has come meanwhile and has been asked by then. */
static void
late_calls(unsigned int orders, unsigned int holds)
{
	struct pool_cell *cell = pool_cell_begin(&plain);
	unsigned int i;

	lookups(cell, 60);
	for (i = 0; i < 20; i++) {
		cell->faults.order_late = orders;
		cell->faults.heartbeat_late = holds;
		lookups(cell, 20);
		cell->faults.order_late = 0;
		cell->faults.heartbeat_late = 0;
		pool_cell_run(cell, GB_SEC);
		world_worker_restart(cell->world, i % plain.workers);
		lookups(cell, 12);
	}
	pool_cell_run(cell, 10 * GB_SEC);
	assert_done_once(cell);
	pool_cell_free(cell);
}

static void
test_late_orders_meet_the_next_life(void **state)
{
	(void)state;
	late_calls(30, 0);
}

static void
test_late_holds_meet_the_next_life(void **state)
{
	(void)state;
	late_calls(0, 20);
}

/** A task that crashes its workers is given up also where these come back under
 * their ids, and each owner is killed before it has missed the worker. */
static void
test_crashes_are_counted_over_restarts_and_owners(void **state)
{
	struct world_flow_view view;
	unsigned int round;
	unsigned int worker;
	struct pool_cell *cell;
	size_t flow;

	(void)state;
	cell = pool_cell_begin(&plain);
	pool_cell_step(cell, 1, 4000, GB_SEC, 0, -1);
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
	pool_cell_assert_unharmed(cell);
	pool_cell_free(cell);
}

/** An address where another worker answered, and the id is used again. */
static void
test_an_id_that_was_over_is_used_again(void **state)
{
	struct pool_cell_setup one = plain;
	struct pool_cell *cell;

	(void)state;
	one.workers = 1;
	cell = pool_cell_begin(&one);
	lookups(cell, 10);
	pool_cell_run(cell, 2 * GB_SEC);
	world_worker_reborn(cell->world, 0);
	pool_cell_run(cell, GB_SEC);
	lookups(cell, 10);
	pool_cell_run(cell, 2 * GB_SEC);
	world_worker_rename(cell->world, 0, "w-0-0");
	pool_cell_run(cell, GB_SEC);
	lookups(cell, 10);
	pool_cell_run(cell, 4 * GB_SEC);
	assert_done_once(cell);
	pool_cell_free(cell);
}

/** Workers of an older kind don't tell their start, and have a new id after
 * each. */
static void
test_workers_that_do_not_tell_their_start(void **state)
{
	struct pool_cell *cell;
	unsigned int i;

	(void)state;
	cell = pool_cell_begin(&plain);
	world_incarnations_unknown(cell->world, true, true);
	for (i = 0; i < 4; i++) {
		lookups(cell, 30);
		world_worker_reborn(cell->world, i);
	}
	pool_cell_run(cell, 6 * GB_SEC);
	assert_done_once(cell);
	pool_cell_free(cell);
}

/** Where reports don't tell a worker's start, its entry does, a little later.
 */
static void
test_entries_alone_tell_of_a_restart(void **state)
{
	struct pool_cell *cell = pool_cell_new(&plain);
	unsigned int i;

	(void)state;
	world_incarnations_unknown(cell->world, true, false);
	pool_cell_take(cell, 0);
	pool_cell_run(cell, GB_SEC);
	lookups(cell, 60);
	pool_cell_run(cell, 2 * GB_SEC);
	for (i = 0; i < 4; i++)
		world_worker_restart(cell->world, i);
	pool_cell_run(cell, GB_SEC);
	lookups(cell, 60);
	pool_cell_run(cell, 4 * GB_SEC);
	assert_done_once(cell);
	pool_cell_free(cell);
}

/** Leases are renewed and ends acknowledged also where no connection to a
 * worker stands for two calls, and the owner has little processor. */
static void
test_connections_that_end_with_each_call(void **state)
{
	struct pool_cell *cell = pool_cell_new(&plain);
	unsigned int i;

	(void)state;
	cell->connection_per_call = true;
	pool_cell_take(cell, 0);
	pool_cell_run(cell, GB_SEC);
	for (i = 0; i < 10; i++) {
		pool_cell_step(cell, 4, 1400, 8 * GB_SEC, 0, -1);
		pool_cell_submit(cell, "import", "ms=8000");
	}
	pool_cell_run(cell, 14 * GB_SEC);
	assert_done_once(cell);
	assert_int_equal(gb_pool_stats(cell->nodes[0])->lapsed, 0);
	pool_cell_free(cell);
}

/** Workers start again under their ids while orders and holds are lost, come
 * late, owners die and the time of day jumps. */
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
	    cmocka_unit_test(test_ends_of_a_restarted_worker_are_taken_in),
	    cmocka_unit_test(test_later_step_starts_on_restarted_workers),
	    cmocka_unit_test(test_two_starts_at_the_same_time_of_day),
	    cmocka_unit_test(test_a_restart_ends_what_ran),
	    cmocka_unit_test(test_entry_of_an_earlier_life_tells_nothing),
	    cmocka_unit_test(test_late_orders_meet_the_next_life),
	    cmocka_unit_test(test_late_holds_meet_the_next_life),
	    cmocka_unit_test(test_crashes_are_counted_over_restarts_and_owners),
	    cmocka_unit_test(test_an_id_that_was_over_is_used_again),
	    cmocka_unit_test(test_workers_that_do_not_tell_their_start),
	    cmocka_unit_test(test_entries_alone_tell_of_a_restart),
	    cmocka_unit_test(test_connections_that_end_with_each_call),
	    cmocka_unit_test(test_random_faults_and_restarts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
