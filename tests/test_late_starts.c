/**
 * @file test_late_starts.c
 * Guards against tasks that run twice because a start order without an answer
 * is carried out seconds later, by the next incarnation of its worker.  That
 * one has seen no fencing token, stop or end, and takes the order until the
 * first one of the owner reaches it.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pool_cell.h"

/** 2 workers with 16 processors and 64 GB each, without advice service. */
static const struct pool_cell_setup plain = {
    1, 2, {16000, 64000, 0, 0, 0}, 0, 0, 0, 0, 0, 0};

/** Time after its sending at which the model carries out a late order. */
#define LATE_TIME (2 * GB_SEC)
/** Restarts are tried from this long before that time on, in steps of the
 * second value. */
#define RESTART_BEFORE (60 * GB_MSEC)
#define RESTART_AFTER (GB_SEC)
#define RESTART_STEP (5 * GB_MSEC)
/** Time after which no late order can come any more, with the run of a task. */
#define SETTLE_TIME (20 * GB_SEC)

/** A flow of one task, whose first orders are late. */
struct late_case {
	gb_time late_for;     /**< orders sent in this time are late */
	gb_time killed_after; /**< the owner is killed then, 0: never */
	const char *spec;
};

/** Plays a case in which one worker restarts some time after the first order.
 */
static void
late_case_run(
    const struct late_case *c, unsigned int worker, gb_time restart_after)
{
	struct pool_cell *cell = pool_cell_begin(&plain);
	gb_time began;
	size_t flow;

	pool_cell_run(cell, GB_SEC);
	/* Fills the first worker for a second, so that the task is sent to the
	 * other one, and goes to the first one if it is started again. */
	pool_cell_step_add(cell, 1, 15000, GB_SEC, 0, -1);
	pool_cell_submit(cell, "import", "ms=1000");
	pool_cell_run(cell, 100 * GB_MSEC);
	cell->faults.order_late = 100;
	pool_cell_step_add(cell, 1, 1400, GB_SEC, 0, -1);
	flow = pool_cell_submit(cell, "lookup", c->spec);
	while (cell->starts == 1)
		pool_cell_run(cell, 5 * GB_MSEC);
	began = cell->now;
	pool_cell_run(cell, c->late_for);
	cell->faults.order_late = 0;
	if (c->killed_after > 0) {
		pool_cell_run(cell, began + c->killed_after - cell->now);
		pool_cell_replace_owner(cell, 1);
	}
	pool_cell_run(cell, began + restart_after - cell->now);
	world_worker_restart(cell->world, worker);
	pool_cell_run(cell, SETTLE_TIME);
	pool_cell_assert_no_violation(cell);
	assert_int_equal(pool_cell_state(cell, flow), GB_FLOW_SUCCEEDED);
	pool_cell_free(cell);
}

static void
late_case_run_all(const struct late_case *c)
{
	gb_time after;
	unsigned int worker;

	for (worker = 0; worker < plain.workers; worker++) {
		for (after = LATE_TIME - RESTART_BEFORE;
		     after <= LATE_TIME + RESTART_AFTER; after += RESTART_STEP)
			late_case_run(c, worker, after);
	}
}

/** The start is sent again, the task ends, and its end is reported.  It must
 * not be acknowledged before the first copy can't come any more. */
static void
test_late_copy_of_task_that_is_done(void **state)
{
	const struct late_case c = {20 * GB_MSEC, 0, "ms=300"};

	(void)state;
	late_case_run_all(&c);
}

/** All start orders are late, the run is stopped and given up.  The task must
 * not be started elsewhere before the orders can't come any more. */
static void
test_late_copy_of_run_that_was_given_up(void **state)
{
	const struct late_case c = {1300 * GB_MSEC, 0, "ms=3000"};

	(void)state;
	late_case_run_all(&c);
}

/** The owner is killed after its start got no answer.  Its successor learns of
 * that from the stored state. */
static void
test_late_copy_outlives_its_owner(void **state)
{
	const struct late_case c = {1300 * GB_MSEC, 1400 * GB_MSEC, "ms=3000"};

	(void)state;
	late_case_run_all(&c);
}

/** Steps of a flow whose first orders are late. */
struct first_order_case {
	uint32_t count;	  /**< tasks of the step */
	uint32_t flags;	  /**< of the step, GB_STEP_* */
	bool second_step; /**< the step begins once another one is done */
	bool waits;	  /**< the step waits for capacity before */
	bool two_owners;  /**< the successor is killed too, 0.4 s later */
};

/** Times after the order at which its owner is killed: all before the order has
 * timed out, so that the owner can't record that it got no answer. */
#define KILL_FIRST GB_MSEC
#define KILL_LAST (300 * GB_MSEC)
#define KILL_STEP (40 * GB_MSEC)
#define NEXT_KILL (400 * GB_MSEC)
/** Restarts of the worker are tried from this long before the copy on. */
#define COPY_BEFORE (30 * GB_MSEC)
#define COPY_AFTER (10 * GB_MSEC)

/** Occupies a worker for a time, so that a task goes to the other one, or to
 * none if both are occupied. */
static void
occupy(struct pool_cell *cell, const char *spec)
{
	pool_cell_step_add(cell, 1, 15000, GB_SEC, 0, -1);
	pool_cell_submit(cell, "import", spec);
}

/** Submits the flow of a case and runs until the orders of the step are sent,
 * which are late. */
static size_t
first_order_send(struct pool_cell *cell, const struct first_order_case *c)
{
	unsigned int before;
	size_t flow;

	occupy(cell, "ms=100");
	if (c->waits)
		occupy(cell, "ms=300");
	pool_cell_run(cell, 60 * GB_MSEC);
	before = cell->starts;
	if (c->second_step)
		pool_cell_step_add(cell, 1, 1400, GB_SEC, 0, -1);
	pool_cell_step_add(
	    cell, c->count, 1400, GB_SEC, c->flags, c->second_step ? 0 : -1);
	flow = pool_cell_submit(cell, "lookup", "ms=3000");
	if (c->second_step) {
		while (cell->starts == before)
			pool_cell_run(cell, 5 * GB_MSEC);
		pool_cell_run(cell, 2800 * GB_MSEC);
		occupy(cell, "ms=300");
		pool_cell_run(cell, 100 * GB_MSEC);
		before = cell->starts;
	}
	cell->faults.order_late = 100;
	while (cell->starts == before)
		pool_cell_run(cell, 5 * GB_MSEC);
	cell->faults.order_late = 0;
	return flow;
}

static void
first_order_run(const struct first_order_case *c, unsigned int worker,
    gb_time killed_after, gb_time restart_after)
{
	struct pool_cell *cell = pool_cell_begin(&plain);
	gb_time sent;
	size_t flow;

	pool_cell_run(cell, GB_SEC);
	flow = first_order_send(cell, c);
	sent = cell->now;
	pool_cell_run(cell, killed_after);
	pool_cell_replace_owner(cell, 1);
	if (c->two_owners) {
		pool_cell_run(cell, NEXT_KILL);
		pool_cell_replace_owner(cell, 2);
	}
	pool_cell_run(cell, sent + restart_after - cell->now);
	world_worker_restart(cell->world, worker);
	pool_cell_run(cell, SETTLE_TIME);
	pool_cell_assert_no_violation(cell);
	assert_int_equal(pool_cell_state(cell, flow), GB_FLOW_SUCCEEDED);
	pool_cell_free(cell);
}

/** The owner is killed before its first order has timed out, so that it can't
 * record that the order got no answer.  Its successor must not start the task
 * elsewhere before a copy can't come any more. */
static void
test_first_order_outlives_its_owner(void **state)
{
	static const struct first_order_case cases[] = {
	    {1, 0, false, false, false},
	    {3, 0, false, false, false},
	    {2, GB_STEP_GANG, false, false, false},
	    {3, 0, true, false, false},
	    {3, 0, false, true, false},
	    {2, GB_STEP_GANG, false, true, false},
	    {3, 0, false, false, true},
	};
	gb_time killed;
	gb_time after;
	unsigned int worker;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		for (worker = 0; worker < plain.workers; worker++) {
			for (killed = KILL_FIRST; killed < KILL_LAST;
			     killed += KILL_STEP) {
				for (after = LATE_TIME - COPY_BEFORE;
				     after <= LATE_TIME + COPY_AFTER;
				     after += RESTART_STEP)
					first_order_run(
					    &cases[i], worker, killed, after);
			}
		}
	}
}

/** Tasks that found no capacity were not sent, and a worker that lists a run
 * has carried out its only order.  A successor starts and acknowledges these at
 * once. */
static void
test_successor_waits_for_lost_orders_only(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&plain);
	size_t waiting;

	(void)state;
	pool_cell_run(cell, GB_SEC);
	occupy(cell, "ms=1000");
	occupy(cell, "ms=1000");
	pool_cell_run(cell, 500 * GB_MSEC);
	occupy(cell, "ms=1000");
	waiting = cell->flow_count - 1;
	pool_cell_run(cell, 300 * GB_MSEC);
	pool_cell_replace_owner(cell, 1);
	pool_cell_run(cell, 2500 * GB_MSEC);
	assert_int_equal(cell->flows[0].status, GB_FLOW_SUCCEEDED);
	assert_int_equal(cell->flows[waiting].status, GB_FLOW_SUCCEEDED);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

/** Only what may run twice has to wait: tasks whose orders were answered are
 * acknowledged and their successors start at once. */
static void
test_answered_starts_do_not_wait(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&plain);
	unsigned int i;

	(void)state;
	pool_cell_run(cell, GB_SEC);
	for (i = 0; i < 10; i++) {
		pool_cell_step_add(cell, 2, 1400, GB_SEC, 0, -1);
		pool_cell_step_add(cell, 2, 1400, GB_SEC, 0, 0);
		pool_cell_submit(cell, "import", "ms=300");
	}
	pool_cell_run(cell, 3 * GB_SEC);
	for (i = 0; i < 10; i++)
		assert_int_equal(cell->flows[i].status, GB_FLOW_SUCCEEDED);
	pool_cell_free(cell);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_late_copy_of_task_that_is_done),
	    cmocka_unit_test(test_late_copy_of_run_that_was_given_up),
	    cmocka_unit_test(test_late_copy_outlives_its_owner),
	    cmocka_unit_test(test_first_order_outlives_its_owner),
	    cmocka_unit_test(test_successor_waits_for_lost_orders_only),
	    cmocka_unit_test(test_answered_starts_do_not_wait),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
