/**
 * @file test_pending.c
 * Guards against a number of waiting flows that is too low, and against flows
 * that are shown as running although nothing of them was started.  It comes
 * about when start orders don't arrive, or are refused.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "pool_cell.h"

#define WORKERS 8
#define FLOWS 10
/** By then the flows have ended: a task is held for up to 13 s after an order
 * without an answer, also by the next owner, and may then run for 20 s. */
#define END_TIME (60 * GB_SEC)

static const struct pool_cell_setup setup = {
    81, WORKERS, {16000, 64000, 0, 0, 0}, 0, 0, 0, 0, 0, 0};

static void
submit_lookups(struct pool_cell *cell)
{
	unsigned int i;

	for (i = 0; i < FLOWS; i++) {
		pool_cell_step_add(cell, 1, 1000, GB_SEC, 0, -1);
		pool_cell_submit(cell, "lookup", "ms=1000");
	}
}

/** Number of waiting flows in the queue of lookups, as callers see it. */
static uint32_t
pending(struct pool_cell *cell)
{
	struct pool_cell_flow *flow = &cell->flows[0];
	char queue[] = "lookup";
	gb_flow_ask ask = {0};

	ask.op = GB_FLOW_OP_PENDING;
	ask.id = queue;
	ask.caller.config = cell->config->version;
	ask.caller.org = cell->org;
	flow->token = ++cell->next_token;
	flow->answered = false;
	gb_pool_ask(
	    cell->nodes[pool_cell_owner(cell)], cell->now, flow->token, &ask);
	assert_true(flow->answered);
	assert_int_equal(flow->answer.verdict, GB_FLOW_ACCEPTED);
	return flow->answer.pending;
}

/** Checks that all flows are still waiting. */
static void
assert_waiting(struct pool_cell *cell)
{
	size_t i;

	assert_int_equal(pending(cell), FLOWS);
	for (i = 0; i < cell->flow_count; i++)
		assert_int_equal(pool_cell_state(cell, i), GB_FLOW_QUEUED);
}

/** Checks that the flows run once orders arrive again. */
static void
assert_flows_run(struct pool_cell *cell)
{
	size_t i;

	pool_cell_run(cell, END_TIME);
	assert_int_equal(pending(cell), 0);
	for (i = 0; i < cell->flow_count; i++)
		assert_int_equal(cell->flows[i].status, GB_FLOW_SUCCEEDED);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

/** Workers get no orders for some seconds. */
static void
test_lost_orders_begin_no_flow(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&setup);

	(void)state;
	cell->faults.order_dropped = 100;
	submit_lookups(cell);
	pool_cell_run(cell, 3 * GB_SEC);
	assert_true(cell->starts > 0);
	assert_waiting(cell);
	cell->faults.order_dropped = 0;
	assert_flows_run(cell);
}

/** The owner is lost meanwhile.  Its successor knows only that orders may have
 * been sent. */
static void
test_lost_orders_of_an_earlier_owner(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&setup);

	(void)state;
	cell->faults.order_dropped = 100;
	submit_lookups(cell);
	pool_cell_run(cell, GB_SEC);
	assert_true(cell->starts > 0);
	pool_cell_replace_owner(cell, 1);
	pool_cell_run(cell, 2 * GB_SEC);
	assert_waiting(cell);
	cell->faults.order_dropped = 0;
	assert_flows_run(cell);
}

/** Flows whose tasks run don't wait, also if the answers to their orders were
 * lost, or their owner was. */
static void
test_running_flows_dont_wait(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&setup);
	size_t i;

	(void)state;
	cell->faults.order_lost = 50;
	for (i = 0; i < FLOWS; i++) {
		pool_cell_step_add(cell, 1, 1000, 20 * GB_SEC, 0, -1);
		pool_cell_submit(cell, "lookup", "ms=20000");
	}
	pool_cell_run(cell, 2 * GB_SEC);
	assert_int_equal(pending(cell), 0);
	cell->faults.order_lost = 0;
	pool_cell_replace_owner(cell, 1);
	pool_cell_run(cell, GB_SEC);
	assert_int_equal(pending(cell), 0);
	for (i = 0; i < FLOWS; i++)
		assert_int_equal(pool_cell_state(cell, i), GB_FLOW_RUNNING);
	assert_flows_run(cell);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_lost_orders_begin_no_flow),
	    cmocka_unit_test(test_lost_orders_of_an_earlier_owner),
	    cmocka_unit_test(test_running_flows_dont_wait),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
