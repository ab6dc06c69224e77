/**
 * @file test_world.c
 * The model of the platform and its oracle: what they count as a failure, and
 * what they report as a broken promise.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "world.h"

#define MEMBERS 4
#define ATTEMPTS 4
#define RUN_WORK (500 * GB_MSEC)
#define LEASE_END_MS 1000000000

struct gang_world {
	struct world *world;
	gb_time now;
	gb_flow flow;
	gb_step step;
};

/** One worker for each member, and a gang that was submitted. */
static void
gang_world_init(struct gang_world *gang)
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
	world_submitted(gang->world, &gang->flow, ATTEMPTS);
	world_tick(gang->world, gang->now);
}

static struct world_flow_view
gang_view(const struct gang_world *gang)
{
	struct world_flow_view view;

	assert_true(world_flow_view(gang->world, gang->flow.id, &view));
	return view;
}

/** Start all members, one on each worker. */
static void
gang_start(struct gang_world *gang, uint64_t run)
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

/** Run the gang once; the member that fails takes the others with it. */
static void
gang_fail(struct gang_world *gang, uint64_t run, unsigned int member)
{
	gb_time end = gang->now + RUN_WORK;

	world_worker_sick(gang->world, member, true, false);
	gang_start(gang, run);
	while (gang->now < end) {
		gang->now += 10 * GB_MSEC;
		world_tick(gang->world, gang->now);
	}
	world_worker_sick(gang->world, member, false, false);
	assert_int_equal(gang_view(gang).running, 0);
}

/** Members fail in turn, as often as their gang may; returns the next run. */
static uint64_t
gang_use_up(struct gang_world *gang)
{
	uint64_t run;

	for (run = 1; run <= ATTEMPTS; run++)
		gang_fail(gang, run, (unsigned int)run % MEMBERS);
	return run;
}

/** Members that fail in turn make one count: a gang that is shown as failed
 * after as many runs as it may have has failed with cause. */
static void
test_failures_of_a_gang_count_together(void **state)
{
	struct gang_world gang;
	uint64_t run;

	(void)state;
	gang_world_init(&gang);
	for (run = 1; run <= ATTEMPTS; run++) {
		assert_false(gang_view(&gang).failed);
		gang_fail(&gang, run, (unsigned int)run % MEMBERS);
	}
	assert_true(gang_view(&gang).failed);
	assert_int_equal(world_faults(gang.world)->budget, 0);
	world_free(gang.world);
}

/** One run more than that is a broken promise, whoever failed. */
static void
test_a_gang_has_one_budget(void **state)
{
	struct gang_world gang;

	(void)state;
	gang_world_init(&gang);
	gang_start(&gang, gang_use_up(&gang));
	assert_int_equal(world_faults(gang.world)->budget, MEMBERS);
	world_free(gang.world);
}

/** An end that was lost with its worker can't be counted by an owner, which
 * may start the gang again, but an owner that has seen it may count it. */
static void
test_an_end_lost_with_its_worker(void **state)
{
	struct gang_world gang;
	uint64_t run;

	(void)state;
	gang_world_init(&gang);
	run = gang_use_up(&gang);
	world_worker_crash(gang.world, 1);
	world_worker_reborn(gang.world, 1);
	assert_true(gang_view(&gang).failed);
	gang_start(&gang, run);
	assert_int_equal(world_faults(gang.world)->budget, 0);
	world_free(gang.world);
}

/** Ends that are listed again are no further failures. */
static void
test_an_end_listed_twice_counts_once(void **state)
{
	struct gang_world gang;
	struct gb_pool_heartbeat heartbeat = {0};
	struct gb_pool_report report;
	struct gb_pool_entry entry;
	unsigned int i;

	(void)state;
	gang_world_init(&gang);
	gang_fail(&gang, 1, 0);
	world_worker_entry(gang.world, 0, &entry);
	heartbeat.worker = entry.id;
	heartbeat.addr = entry.addr;
	heartbeat.token = 1;
	for (i = 0; i < ATTEMPTS; i++) {
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
	    cmocka_unit_test(test_failures_of_a_gang_count_together),
	    cmocka_unit_test(test_a_gang_has_one_budget),
	    cmocka_unit_test(test_an_end_lost_with_its_worker),
	    cmocka_unit_test(test_an_end_listed_twice_counts_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
