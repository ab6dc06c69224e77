/**
 * @file test_world.c
 * Guards against an oracle that miscounts the failures of a gang: it would
 * report a correct owner, or miss one that starts a gang too often.  The cases
 * are members that fail in turn, failures that are lost with their worker, and
 * failures that a worker reports more than once.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "world.h"

#define MEMBERS 4
#define ATTEMPTS_MAX 4
/** Run time of a task, as the flow's specification says. */
#define RUN_TIME (500 * GB_MSEC)
/** End of the workers' leases, later than every run. */
#define LEASE_END_MS 1000000000

struct gang_fixture {
	struct world *world;
	gb_time now;
	gb_flow flow;
	gb_step step;
};

/** Make a world with a worker for each member, and submit a gang. */
static void
gang_fixture_init(struct gang_fixture *gang)
{
	const gb_res capacity = {16000, 64000, 0, 0, 0};
	unsigned int i;

	memset(gang, 0, sizeof(*gang));
	gang->world = world_new(1);
	for (i = 0; i < MEMBERS; i++)
		world_worker_add(gang->world, "svc", "dc1", i, &capacity, 1.0);
	gang->step.count = MEMBERS;
	gang->step.res.cpu = 1000;
	gang->step.flags = GB_STEP_GANG;
	gang->step.label = "";
	gang->step.rack = "";
	gang->flow.id = "gang";
	gang->flow.queue = "q";
	gang->flow.service = "svc";
	gang->flow.org = "";
	gang->flow.spec = "ms=500";
	gang->flow.steps.steps_len = 1;
	gang->flow.steps.steps_val = &gang->step;
	world_flow_add(gang->world, &gang->flow, ATTEMPTS_MAX);
	world_tick(gang->world, gang->now);
}

static struct world_flow_view
gang_view(const struct gang_fixture *gang)
{
	struct world_flow_view view;

	assert_true(world_flow_view(gang->world, gang->flow.id, &view));
	return view;
}

/** Start a run of the gang, with one member on each worker. */
static void
gang_start(struct gang_fixture *gang, uint64_t run)
{
	struct gb_pool_order order = {0};
	struct gb_pool_order_res res = {0};
	struct gb_pool_entry entry;
	uint32_t i;

	order.id.flow = gang->flow.id;
	order.id.run = run;
	order.spec = gang->flow.spec;
	order.token = 1;
	order.lease_end_ms = LEASE_END_MS;
	for (i = 0; i < MEMBERS; i++) {
		world_worker_entry(gang->world, i, &entry);
		order.worker = entry.id;
		order.addr = entry.addr;
		order.id.index = i;
		world_start(gang->world, &order, &res);
		assert_int_equal(res.status, GB_POOL_ORDER_DONE);
	}
}

/** Run the gang once with a member that fails, which ends the others too. */
static void
gang_fail(struct gang_fixture *gang, uint64_t run, unsigned int member)
{
	gb_time end = gang->now + RUN_TIME;

	world_worker_impair(gang->world, member, true, false);
	gang_start(gang, run);
	while (gang->now < end) {
		gang->now += 10 * GB_MSEC;
		world_tick(gang->world, gang->now);
	}
	world_worker_impair(gang->world, member, false, false);
	assert_int_equal(gang_view(gang).running, 0);
}

/** Let members fail in turn until the gang has no attempt left; returns the
 * number of the next run. */
static uint64_t
gang_attempts_use_up(struct gang_fixture *gang)
{
	uint64_t run;

	for (run = 1; run <= ATTEMPTS_MAX; run++)
		gang_fail(gang, run, (unsigned int)run % MEMBERS);
	return run;
}

/** The failures of all members count together: the gang has failed after as
 * many runs as it has attempts, whichever members failed. */
static void
test_gang_failures_count_together(void **state)
{
	struct gang_fixture gang;
	uint64_t run;

	(void)state;
	gang_fixture_init(&gang);
	for (run = 1; run <= ATTEMPTS_MAX; run++) {
		assert_false(gang_view(&gang).failed);
		gang_fail(&gang, run, (unsigned int)run % MEMBERS);
	}
	assert_true(gang_view(&gang).failed);
	assert_int_equal(world_violations(gang.world)->budget, 0);
	world_free(gang.world);
}

/** A run after the last attempt is a violation by each member that starts,
 * whichever members failed before. */
static void
test_run_after_last_attempt_is_a_violation(void **state)
{
	struct gang_fixture gang;

	(void)state;
	gang_fixture_init(&gang);
	gang_start(&gang, gang_attempts_use_up(&gang));
	assert_int_equal(world_violations(gang.world)->budget, MEMBERS);
	world_free(gang.world);
}

/** A failure can be lost with its worker before the owner receives it.  An
 * owner that has not received it may start the gang again; one that has may
 * report the gang as failed. */
static void
test_failure_lost_with_its_worker(void **state)
{
	struct gang_fixture gang;
	uint64_t run;

	(void)state;
	gang_fixture_init(&gang);
	run = gang_attempts_use_up(&gang);
	world_worker_crash(gang.world, 1);
	world_worker_replace(gang.world, 1);
	assert_true(gang_view(&gang).failed);
	gang_start(&gang, run);
	assert_int_equal(world_violations(gang.world)->budget, 0);
	world_free(gang.world);
}

/** An end that a worker reports again is no further failure. */
static void
test_end_reported_twice_counts_once(void **state)
{
	struct gang_fixture gang;
	struct gb_pool_heartbeat heartbeat = {0};
	struct gb_pool_report report;
	struct gb_pool_entry entry;
	unsigned int i;

	(void)state;
	gang_fixture_init(&gang);
	gang_fail(&gang, 1, 0);
	world_worker_entry(gang.world, 0, &entry);
	heartbeat.worker = entry.id;
	heartbeat.addr = entry.addr;
	heartbeat.token = 1;
	for (i = 0; i < ATTEMPTS_MAX; i++) {
		world_heartbeat(gang.world, &heartbeat, &report);
		assert_int_equal(report.ended_count, 1);
		world_report_free(&report);
	}
	assert_false(gang_view(&gang).failed);
	world_free(gang.world);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_gang_failures_count_together),
	    cmocka_unit_test(test_run_after_last_attempt_is_a_violation),
	    cmocka_unit_test(test_failure_lost_with_its_worker),
	    cmocka_unit_test(test_end_reported_twice_counts_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
