/**
 * @file test_tombstone.c
 * Guards against flows that run although their cancel was acknowledged.  It
 * comes about when a submission is held up, on a node that is frozen or cut off
 * or in a write without answer, and arrives after the cancel, which has found
 * no such flow.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pool_cell.h"

#define WORKERS 8
/** Time for which the cell keeps the state of a flow that has ended, with the
 * time until the next sweep. */
#define KEEP_TIME (152 * GB_SEC)
/** Cancels of the test of their limit, more than an owner may keep. */
#define CANCELS 6000

/** Time for a claim of the pool to succeed or fail, and how often it is
 * repeated. */
#define CLAIM_TIME (5 * GB_SEC)
#define CLAIMS_MAX 60

static const struct pool_cell_setup setup = {
    71, WORKERS, {16000, 64000, 0, 0, 0}, 0, 0, 0, 0, 0, 0};

/** Makes a flow of one task, which isn't sent yet. */
static size_t
flow_prepare(struct pool_cell *cell)
{
	pool_cell_step_add(cell, 1, 1000, GB_SEC, 0, -1);
	return pool_cell_prepare(cell, "lookup", "ms=1000");
}

/** Cancels a flow as its caller does, again and again until it is acknowledged;
 * returns the state in the acknowledgement. */
static gb_flow_status
flow_cancel(struct pool_cell *cell, size_t number)
{
	const struct pool_cell_flow *flow = &cell->flows[number];
	int tries = 0;

	do {
		pool_cell_cancel(cell, number);
		pool_cell_run(cell, 500 * GB_MSEC);
		tries++;
	} while (tries < 20 &&
		 (!flow->answered || flow->answer.verdict != GB_FLOW_ACCEPTED));
	assert_true(flow->answered);
	assert_int_equal(flow->answer.verdict, GB_FLOW_ACCEPTED);
	return flow->answer.status;
}

/** Delivers a submission that was held up, and checks that it is rejected and
 * that nothing of it runs or is shown. */
static void
assert_submission_rejected(struct pool_cell *cell, size_t number)
{
	const struct pool_cell_flow *flow = &cell->flows[number];
	unsigned int starts = cell->starts;

	pool_cell_resubmit(cell, number);
	pool_cell_run(cell, 3 * GB_SEC);
	assert_int_equal(cell->starts, starts);
	assert_true(flow->answered);
	assert_int_equal(flow->answer.verdict, GB_FLOW_REFUSED);
	assert_true(flow->answer.retry_after_us > 0);
	assert_int_equal(pool_cell_state(cell, number), GB_FLOW_UNKNOWN);
	pool_cell_assert_no_violation(cell);
}

/** Stores a flow as a node does while the pool has no owner; returns whether
 * the store has carried it out. */
static bool
node_store(struct pool_cell *cell, size_t number)
{
	gb_flow_row row = {cell->flows[number].spec, cell->config->version};
	const char *id = row.flow.id;
	gb_flow_state state = {0};
	struct gb_pool_row cond = {0};
	struct gb_pool_row puts[3] = {0};
	const struct gb_pool_txn txn = {
	    gb_pool_partition(id), &cond, 1, puts, 3};
	struct gb_pool_txn_res res;

	state.org = row.flow.org;
	cond.table = puts[0].table = GB_POOL_STATES;
	puts[1].table = GB_POOL_FLOWS;
	puts[2].table = GB_POOL_INBOX;
	cond.key = puts[0].key = puts[1].key = puts[2].key = id;
	assert_true(gb_xdr_encode(
	    (xdrproc_t)xdr_gb_flow_state, &state, &puts[0].value));
	assert_true(
	    gb_xdr_encode((xdrproc_t)xdr_gb_flow_row, &row, &puts[1].value));
	world_txn(cell->world, &txn, &res);
	world_txn_free(&res);
	free(puts[0].value.gb_body_val);
	free(puts[1].value.gb_body_val);
	return res.status == GB_STORE_OK;
}

/** A submission arrives after its cancel, twice: its node was frozen, and its
 * caller or a proxy has sent it again. */
static void
test_late_submission_is_rejected(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&setup);
	size_t flow = flow_prepare(cell);

	(void)state;
	assert_int_equal(flow_cancel(cell, flow), GB_FLOW_UNKNOWN);
	assert_submission_rejected(cell, flow);
	assert_submission_rejected(cell, flow);
	assert_int_equal(flow_cancel(cell, flow), GB_FLOW_UNKNOWN);
	pool_cell_free(cell);
}

/** The owner that has acknowledged the cancel is killed at once. */
static void
test_next_owner_rejects_it(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&setup);
	size_t flow = flow_prepare(cell);
	int i;

	(void)state;
	pool_cell_cancel(cell, flow);
	for (i = 0; i < 100 && !cell->flows[flow].answered; i++)
		pool_cell_run(cell, 5 * GB_MSEC);
	assert_true(cell->flows[flow].answered);
	pool_cell_replace_owner(cell, 1);
	pool_cell_run(cell, 2 * GB_SEC);
	assert_submission_rejected(cell, flow);
	pool_cell_free(cell);
}

/** The submission arrives while the cancel is being stored. */
static void
test_submission_during_cancel(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&setup);
	size_t flow = flow_prepare(cell);

	(void)state;
	pool_cell_cancel(cell, flow);
	pool_cell_resubmit(cell, flow);
	assert_false(cell->flows[flow].accepted);
	assert_int_equal(flow_cancel(cell, flow), GB_FLOW_UNKNOWN);
	assert_submission_rejected(cell, flow);
	pool_cell_free(cell);
}

/** A write of a node without an owner is carried out after the cancel. */
static void
test_late_write_of_a_node_fails(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&setup);
	size_t flow = flow_prepare(cell);

	(void)state;
	assert_int_equal(flow_cancel(cell, flow), GB_FLOW_UNKNOWN);
	assert_false(node_store(cell, flow));
	pool_cell_run(cell, 3 * GB_SEC);
	assert_submission_rejected(cell, flow);
	pool_cell_free(cell);
}

/** The cancel comes just before the owner finds a flow that a node has
 * stored. */
static void
test_stored_flow_is_cancelled(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&setup);
	size_t other = flow_prepare(cell);
	size_t flow = flow_prepare(cell);
	unsigned int starts;

	(void)state;
	assert_true(node_store(cell, flow));
	pool_cell_resubmit(cell, other);
	assert_int_equal(flow_cancel(cell, flow), GB_FLOW_CANCELLED);
	pool_cell_run(cell, GB_SEC);
	starts = cell->starts;
	pool_cell_resubmit(cell, flow);
	pool_cell_run(cell, 3 * GB_SEC);
	assert_int_equal(cell->starts, starts);
	assert_int_equal(pool_cell_state(cell, flow), GB_FLOW_CANCELLED);
	assert_int_equal(pool_cell_state(cell, other), GB_FLOW_SUCCEEDED);
	assert_int_equal(pool_cell_owner(cell), 0);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

/** Kills the owner.  Nodes claim the pool in turn until one owns it: claims
 * fail when answers of the store are lost. */
static void
owner_lose(struct pool_cell *cell)
{
	unsigned int i;

	pool_cell_kill(cell, pool_cell_owner(cell));
	for (i = 0; i < CLAIMS_MAX && pool_cell_owner(cell) == CELL_NODES;
	     i++) {
		pool_cell_take_over(cell, i % CELL_NODES);
		pool_cell_run(cell, CLAIM_TIME);
	}
	assert_true(pool_cell_owner(cell) < CELL_NODES);
}

/** Answers of the store are lost, or its writes are carried out late, also
 * while the pool changes hands. */
static void
test_lost_answers_of_the_store(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&setup);
	size_t flow;
	int i;

	(void)state;
	for (i = 0; i < 20; i++) {
		cell->faults.txn_lost = i % 2 == 0 ? 60 : 0;
		cell->faults.txn_late = i % 2 == 0 ? 0 : 60;
		flow = flow_prepare(cell);
		assert_int_equal(flow_cancel(cell, flow), GB_FLOW_UNKNOWN);
		if (i % 4 == 3)
			owner_lose(cell);
		assert_submission_rejected(cell, flow);
	}
	pool_cell_free(cell);
}

/** While the store takes no writes, a cancel that can't be recorded isn't
 * acknowledged. */
static void
test_cancel_without_store_is_refused(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&setup);
	size_t flow = flow_prepare(cell);

	(void)state;
	cell->faults.store_down = true;
	pool_cell_run(cell, 2 * GB_SEC);
	pool_cell_cancel(cell, flow);
	pool_cell_run(cell, 100 * GB_MSEC);
	assert_true(cell->flows[flow].answered);
	assert_int_equal(cell->flows[flow].answer.verdict, GB_FLOW_CANT_STORE);
	cell->faults.store_down = false;
	pool_cell_run(cell, 2 * GB_SEC);
	assert_int_equal(flow_cancel(cell, flow), GB_FLOW_UNKNOWN);
	assert_submission_rejected(cell, flow);
	pool_cell_free(cell);
}

/** Sends the cancel of an id that nobody has submitted. */
static void
cancel_send(struct pool_cell *cell, size_t answers, unsigned int number,
    const char *org)
{
	unsigned int owner = pool_cell_owner(cell);
	gb_flow_ask ask = {0};
	char id[32];

	snprintf(id, sizeof(id), "c%015x", number);
	ask.op = GB_FLOW_OP_CANCEL;
	ask.id = id;
	ask.caller.config = cell->config->version;
	ask.caller.org = (char *)org;
	cell->flows[answers].token = ++cell->next_token;
	cell->flows[answers].answered = false;
	gb_pool_ask(
	    cell->nodes[owner], cell->now, cell->flows[answers].token, &ask);
}

/** Callers of one organisation cancel thousands of ids that nobody has
 * submitted.  What is kept of them is limited in number and time, and does not
 * keep the callers of others from cancelling. */
static void
test_cancels_of_unknown_flows_are_limited(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&setup);
	size_t answers = flow_prepare(cell);
	size_t rows = world_row_count(cell->world, GB_POOL_STATES);
	size_t flow;
	unsigned int i;

	(void)state;
	for (i = 0; i < CANCELS; i++) {
		cancel_send(cell, answers, i, "one");
		if (i % 20 == 0)
			pool_cell_run(cell, 5 * GB_MSEC);
	}
	assert_true(cell->flows[answers].answered);
	assert_int_equal(cell->flows[answers].answer.verdict, GB_FLOW_REFUSED);
	assert_true(cell->flows[answers].answer.retry_after_us > 0);
	assert_true(cell->flows[answers].answer.retry_after_us <= KEEP_TIME);
	pool_cell_run(cell, 2 * GB_SEC);
	assert_true(
	    world_row_count(cell->world, GB_POOL_STATES) - rows < CANCELS / 2);
	snprintf(cell->org, sizeof(cell->org), "two");
	flow = flow_prepare(cell);
	assert_int_equal(flow_cancel(cell, flow), GB_FLOW_UNKNOWN);
	assert_submission_rejected(cell, flow);
	pool_cell_run(cell, KEEP_TIME);
	assert_int_equal(world_row_count(cell->world, GB_POOL_STATES), rows);
	cancel_send(cell, answers, CANCELS, "one");
	pool_cell_run(cell, GB_SEC);
	assert_true(cell->flows[answers].answered);
	assert_int_equal(cell->flows[answers].answer.verdict, GB_FLOW_ACCEPTED);
	pool_cell_free(cell);
}

/** The next owner counts what it has loaded towards the same limit. */
static void
test_next_owner_keeps_the_limit(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&setup);
	size_t answers = flow_prepare(cell);
	unsigned int i;

	(void)state;
	for (i = 0; i < 2 * CANCELS; i++) {
		cancel_send(cell, answers, i, "one");
		if (i % 20 == 0)
			pool_cell_run(cell, 5 * GB_MSEC);
		if (i == CANCELS) {
			pool_cell_run(cell, GB_SEC);
			pool_cell_replace_owner(cell, 1);
			pool_cell_run(cell, 2 * GB_SEC);
		}
	}
	assert_int_equal(cell->flows[answers].answer.verdict, GB_FLOW_REFUSED);
	pool_cell_run(cell, GB_SEC);
	assert_true(world_row_count(cell->world, GB_POOL_STATES) < CANCELS / 2);
	pool_cell_free(cell);
}

/** Callers of another organisation can't tell a cancelled id from one that was
 * never used, and neither shortens what the first one was promised. */
static void
test_other_organisations_learn_nothing(void **state)
{
	struct pool_cell *cell = pool_cell_begin(&setup);
	char other[] = "two";
	gb_flow_ask ask = {0};
	size_t flow;

	(void)state;
	snprintf(cell->org, sizeof(cell->org), "one");
	flow = flow_prepare(cell);
	assert_int_equal(flow_cancel(cell, flow), GB_FLOW_UNKNOWN);
	ask.caller.config = cell->config->version;
	ask.caller.org = other;
	ask.op = GB_FLOW_OP_STATE;
	pool_cell_ask(cell, flow, &ask, 100 * GB_MSEC);
	assert_int_equal(cell->flows[flow].answer.status, GB_FLOW_UNKNOWN);
	ask.op = GB_FLOW_OP_CANCEL;
	pool_cell_ask(cell, flow, &ask, 100 * GB_MSEC);
	assert_int_equal(cell->flows[flow].answer.status, GB_FLOW_UNKNOWN);
	assert_submission_rejected(cell, flow);
	pool_cell_free(cell);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_late_submission_is_rejected),
	    cmocka_unit_test(test_next_owner_rejects_it),
	    cmocka_unit_test(test_submission_during_cancel),
	    cmocka_unit_test(test_late_write_of_a_node_fails),
	    cmocka_unit_test(test_stored_flow_is_cancelled),
	    cmocka_unit_test(test_lost_answers_of_the_store),
	    cmocka_unit_test(test_cancel_without_store_is_refused),
	    cmocka_unit_test(test_cancels_of_unknown_flows_are_limited),
	    cmocka_unit_test(test_next_owner_keeps_the_limit),
	    cmocka_unit_test(test_other_organisations_learn_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
