/**
 * @file test_link.c
 * Guards against an owner behind a link of low bandwidth (a thin link) that
 * accepts flows it can't run, loses or repeats them, or never finishes loading
 * the tables.  This comes about when it disregards the time for which messages
 * queue on the link.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pool_cell.h"

/** Bandwidth of a link of 2 Mbit/s. */
#define THIN_LINK_BYTES_PER_SEC 250000
/** Share of such a link that traffic besides that of the core takes. */
#define BUSY_PERCENT 50
/** Size of a message to start a run. */
#define MESSAGE_BYTES 920

static void
test_sent_messages_queue(void **state)
{
	struct gb_link *link = gb_link_new(THIN_LINK_BYTES_PER_SEC);
	gb_time now = GB_SEC;
	int i;

	(void)state;
	assert_int_equal(gb_link_backlog(link, now), 0);
	for (i = 0; i < 100; i++)
		gb_link_count_sent(link, now, GB_TRAFFIC_START, MESSAGE_BYTES);
	assert_in_range(
	    gb_link_backlog(link, now), 400 * GB_MSEC, 420 * GB_MSEC);
	assert_in_range(gb_link_backlog(link, now + 300 * GB_MSEC),
	    100 * GB_MSEC, 120 * GB_MSEC);
	assert_int_equal(gb_link_backlog(link, now + GB_SEC), 0);
	assert_int_equal(gb_link_traffic(link, GB_TRAFFIC_START)->sent, 100);
	assert_int_equal(
	    gb_link_traffic(link, GB_TRAFFIC_START)->out, 100 * MESSAGE_BYTES);
	free(link);
}

static void
test_unlimited_link_has_no_queue(void **state)
{
	struct gb_link *link = gb_link_new(0);

	(void)state;
	gb_link_count_sent(link, GB_SEC, GB_TRAFFIC_START, 1u << 30);
	assert_int_equal(gb_link_backlog(link, GB_SEC), 0);
	free(link);
}

/* 85 workers over a link of 2 Mbit/s -------------------------------------- */

/** Largest size of a specification, without the end of the string. */
#define SPEC_BYTES_MAX 1300

/** Returns a specification of the given size that begins with `work`; it is
 * valid until the next call. */
static const char *
spec_of(const char *work, size_t bytes)
{
	static char spec[SPEC_BYTES_MAX + 1];

	memset(spec, '.', sizeof(spec));
	memcpy(spec, work, strlen(work));
	spec[strlen(work)] = ' ';
	spec[bytes] = '\0';
	return spec;
}

/** Submits the flows of one tenth of a second.
 * @param tenth number of this tenth
 */
static void
submit_tenth(struct pool_cell *cell, unsigned int tenth)
{
	unsigned int i;

	for (i = 0; i < 1 + tenth % 2; i++) {
		pool_cell_step_add(cell, 3, 3900, GB_SEC, 0, -1);
		pool_cell_submit(cell, "lookup", spec_of("ms=1000", 600));
	}
	if (tenth % 10 == 3) {
		pool_cell_step_add(
		    cell, 20, 4500, 6 * GB_SEC, GB_STEP_GANG, -1);
		pool_cell_submit(cell, "rebuild", spec_of("ms=6000", 1200));
	}
	if (tenth % 5 == 1) {
		pool_cell_step_add(cell, 22, 2800, 3400 * GB_MSEC, 0, -1);
		pool_cell_submit(cell, "import", spec_of("ms=3400", 600));
	}
}

/** Submits flows for 20 s.  Asserts that no lease lapses, that no run counts
 * as lost with a crashed worker and that no guarantee is violated.
 * @param in_time receives the percentage of flows that succeeded within their
 * objective
 * @param refused receives the percentage of flows that were rejected
 */
static void
thin_link_run(const struct pool_cell_setup *setup, unsigned int *in_time,
    unsigned int *refused)
{
	/* Of the queues lookup, rebuild and import, as pool_cell.c configures
	 * them for the durations in submit_tenth(). */
	static const gb_time objectives[] = {
	    1750 * GB_MSEC, 14200 * GB_MSEC, 16600 * GB_MSEC};
	struct pool_cell *cell = pool_cell_begin(setup);
	unsigned int tenth;
	size_t i;

	*in_time = *refused = 0;
	for (tenth = 0; tenth < 200; tenth++) {
		submit_tenth(cell, tenth);
		pool_cell_run(cell, 100 * GB_MSEC);
	}
	pool_cell_run(cell, 40 * GB_SEC);
	for (i = 0; i < cell->flow_count; i++) {
		const struct pool_cell_flow *flow = &cell->flows[i];
		int queue = flow->spec.queue[0] == 'l'	 ? 0
			    : flow->spec.queue[0] == 'r' ? 1
							 : 2;

		*refused += flow->answer.verdict == GB_FLOW_REFUSED;
		*in_time +=
		    flow->finished_at != 0 &&
		    flow->status == GB_FLOW_SUCCEEDED &&
		    flow->finished_at - flow->submitted <= objectives[queue];
	}
	print_message("in time %u, refused %u of %zu; lapsed %llu\n", *in_time,
	    *refused, cell->flow_count,
	    (unsigned long long)gb_pool_stats(cell->nodes[0])->lapsed);
	*in_time = (unsigned int)(*in_time * 100 / cell->flow_count);
	*refused = (unsigned int)(*refused * 100 / cell->flow_count);
	assert_int_equal(gb_pool_stats(cell->nodes[0])->lapsed, 0);
	assert_int_equal(gb_pool_stats(cell->nodes[0])->crashed, 0);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

/** 85 workers, of which the advice service approves half. */
static const struct pool_cell_setup thin = {3, 85, {16000, 64000, 0, 0, 0}, 50,
    30 * GB_MSEC, 1500 * GB_MSEC, 400, THIN_LINK_BYTES_PER_SEC, 0};

static void
test_thin_link_serves_most_in_time(void **state)
{
	unsigned int in_time;
	unsigned int refused;

	(void)state;
	thin_link_run(&thin, &in_time, &refused);
	assert_true(in_time >= 60);
}

/** At a quarter of that bandwidth many flows must be rejected, and no accepted
 * flow is lost or run twice. */
static void
test_very_thin_link_loses_no_flow(void **state)
{
	struct pool_cell_setup setup = thin;
	unsigned int in_time;
	unsigned int refused;

	(void)state;
	setup.link = THIN_LINK_BYTES_PER_SEC / 4;
	thin_link_run(&setup, &in_time, &refused);
	assert_true(refused >= 40);
}

/** Time after the last submission by which an accepted flow must have finished
 * or have a task running. */
#define FINISH_TIME (14 * GB_SEC)

/** Most of the link is taken by traffic that the owner can't reduce: hellos of
 * members, the list of workers.  Guards against accepting what the rest of the
 * link can't start: such flows are overtaken by newer ones and never begin. */
static void
test_busy_thin_link_finishes_accepted_flows(void **state)
{
	struct pool_cell_setup setup = thin;
	struct pool_cell *cell;
	unsigned int tenth;

	(void)state;
	setup.link = THIN_LINK_BYTES_PER_SEC / 4;
	cell = pool_cell_begin(&setup);
	for (tenth = 0; tenth < 200; tenth++) {
		submit_tenth(cell, tenth);
		gb_link_count_sent(cell->links[0], cell->now, GB_TRAFFIC_FEED,
		    setup.link / 10 * BUSY_PERCENT / 100);
		pool_cell_run(cell, 100 * GB_MSEC);
	}
	for (tenth = 0; tenth < FINISH_TIME / (100 * GB_MSEC); tenth++) {
		gb_link_count_sent(cell->links[0], cell->now, GB_TRAFFIC_FEED,
		    setup.link / 10 * BUSY_PERCENT / 100);
		pool_cell_run(cell, 100 * GB_MSEC);
	}
	assert_int_equal(pool_cell_idle_count(cell), 0);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

/** Time for which the starts of one step may keep the link busy: answers to
 * hellos wait behind them, and members wait for these for 0.6 s. */
#define STEP_QUEUE_MAX (600 * GB_MSEC)

/** A step of 80 tasks on a thin link.  Guards against starts that are all
 * queued at once: what is sent after them waits for more than a second, and the
 * tickets of the last ones expire on the way. */
static void
test_large_step_leaves_room_on_thin_link(void **state)
{
	struct pool_cell_setup setup = thin;
	struct pool_cell *cell;
	gb_time longest = 0;
	unsigned int tick;

	(void)state;
	setup.link = THIN_LINK_BYTES_PER_SEC / 4;
	cell = pool_cell_begin(&setup);
	pool_cell_step_add(cell, 80, 2800, GB_SEC, 0, -1);
	pool_cell_submit(cell, "import", spec_of("ms=1000", 600));
	for (tick = 0; tick < 400; tick++) {
		gb_time queued;

		pool_cell_run(cell, 10 * GB_MSEC);
		queued = gb_link_backlog(cell->links[0], cell->now);
		if (queued > longest)
			longest = queued;
	}
	assert_true(longest <= STEP_QUEUE_MAX);
	pool_cell_run(cell, 10 * GB_SEC);
	assert_int_equal(cell->flows[0].status, GB_FLOW_SUCCEEDED);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

/** The starts of a gang take longer on the link than its tickets last.  Guards
 * against accepting it: it would ask for tickets forever and never begin. */
static void
test_gang_too_large_for_link_is_refused(void **state)
{
	struct pool_cell_setup setup = thin;
	struct pool_cell *cell;
	size_t small;
	size_t large;

	(void)state;
	setup.link = THIN_LINK_BYTES_PER_SEC / 4;
	cell = pool_cell_begin(&setup);
	pool_cell_step_add(cell, 60, 1150, GB_SEC, GB_STEP_GANG, -1);
	large = pool_cell_submit(cell, "rebuild", spec_of("ms=1000", 1200));
	pool_cell_step_add(cell, 6, 1150, GB_SEC, GB_STEP_GANG, -1);
	small = pool_cell_submit(cell, "rebuild", spec_of("ms=1000", 1200));
	pool_cell_run(cell, 10 * GB_SEC);
	assert_int_equal(cell->flows[large].answer.verdict, GB_FLOW_REFUSED);
	assert_true(cell->flows[large].answer.retry_after_us > 0);
	assert_int_equal(cell->flows[small].status, GB_FLOW_SUCCEEDED);
	pool_cell_free(cell);
}

/** A node behind a link of 0.5 Mbit/s takes over a pool with 150 unfinished
 * flows, which take seconds to read.  Guards against reads that are all in
 * flight at once, time out and are retried forever. */
static void
test_successor_behind_thin_link_loads(void **state)
{
	struct pool_cell_setup setup = thin;
	struct pool_cell *cell;
	unsigned int i;

	(void)state;
	setup.link = 0;
	setup.approved_percent = 0;
	cell = pool_cell_begin(&setup);
	for (i = 0; i < 150; i++) {
		pool_cell_step_add(cell, 3, 3900, 20 * GB_SEC, 0, -1);
		pool_cell_submit(cell, "import", spec_of("ms=20000", 600));
	}
	pool_cell_run(cell, 3 * GB_SEC);
	cell->setup.link = THIN_LINK_BYTES_PER_SEC / 4;
	cell->inbound_limited = true;
	pool_cell_kill(cell, 1);
	pool_cell_kill(cell, 0);
	pool_cell_take_over(cell, 1);
	pool_cell_run(cell, 6 * GB_SEC);
	assert_int_equal(pool_cell_owner(cell), 1);
	pool_cell_run(cell, 60 * GB_SEC);
	for (i = 0; i < 150; i++)
		assert_int_equal(cell->flows[i].status, GB_FLOW_SUCCEEDED);
	pool_cell_assert_no_violation(cell);
	pool_cell_free(cell);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_sent_messages_queue),
	    cmocka_unit_test(test_unlimited_link_has_no_queue),
	    cmocka_unit_test(test_thin_link_serves_most_in_time),
	    cmocka_unit_test(test_very_thin_link_loses_no_flow),
	    cmocka_unit_test(test_busy_thin_link_finishes_accepted_flows),
	    cmocka_unit_test(test_large_step_leaves_room_on_thin_link),
	    cmocka_unit_test(test_gang_too_large_for_link_is_refused),
	    cmocka_unit_test(test_successor_behind_thin_link_loads),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
