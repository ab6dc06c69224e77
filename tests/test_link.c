/**
 * @file test_link.c
 * The link of a node: what waits on it, and what an owner does as it fills.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "pool_cell.h"

/** A link of 2 Mbit/s. */
#define THIN 250000
#define MESSAGE 920

static void
test_what_is_sent_waits(void **state)
{
	struct gb_link *link = gb_link_new(THIN);
	gb_time now = GB_SEC;
	int i;

	(void)state;
	assert_int_equal(gb_link_queued(link, now), 0);
	for (i = 0; i < 100; i++)
		gb_link_out(link, now, GB_TRAFFIC_START, MESSAGE);
	assert_in_range(
	    gb_link_queued(link, now), 400 * GB_MSEC, 420 * GB_MSEC);
	assert_in_range(gb_link_queued(link, now + 300 * GB_MSEC),
	    100 * GB_MSEC, 120 * GB_MSEC);
	assert_int_equal(gb_link_queued(link, now + GB_SEC), 0);
	assert_int_equal(gb_link_traffic(link, GB_TRAFFIC_START)->sent, 100);
	assert_int_equal(
	    gb_link_traffic(link, GB_TRAFFIC_START)->out, 100 * MESSAGE);
	free(link);
}

static void
test_a_wide_link_never_waits(void **state)
{
	struct gb_link *link = gb_link_new(0);

	(void)state;
	gb_link_out(link, GB_SEC, GB_TRAFFIC_START, 1u << 30);
	assert_int_equal(gb_link_queued(link, GB_SEC), 0);
	free(link);
}

/* Load: 85 workers over 2 Mbit/s ------------------------------------------ */

#define SPEC_MOST 1300

/** A specification of about so many bytes. */
static const char *
spec_of(const char *work, size_t bytes)
{
	static char spec[SPEC_MOST + 1];

	memset(spec, '.', sizeof(spec));
	memcpy(spec, work, strlen(work));
	spec[strlen(work)] = ' ';
	spec[bytes] = '\0';
	return spec;
}

static void
submit_second(struct pool_cell *cell, unsigned int tenth)
{
	unsigned int i;

	for (i = 0; i < 1 + tenth % 2; i++) {
		pool_cell_step(cell, 3, 3900, GB_SEC, 0, -1);
		pool_cell_submit(cell, "lookup", spec_of("ms=1000", 600));
	}
	if (tenth % 10 == 3) {
		pool_cell_step(cell, 20, 4500, 6 * GB_SEC, GB_STEP_GANG, -1);
		pool_cell_submit(cell, "rebuild", spec_of("ms=6000", 1200));
	}
	if (tenth % 5 == 1) {
		pool_cell_step(cell, 22, 2800, 3400 * GB_MSEC, 0, -1);
		pool_cell_submit(cell, "import", spec_of("ms=3400", 600));
	}
}

/** Share of the flows that were taken in and met their objective, and of those
 * that were refused, in percent; each that was taken in must end. */
static void
thin_link_play(const struct pool_cell_setup *setup, unsigned int *in_time,
    unsigned int *refused)
{
	static const gb_time objectives[] = {
	    1750 * GB_MSEC, 14200 * GB_MSEC, 16600 * GB_MSEC};
	struct pool_cell *cell = pool_cell_begin(setup);
	unsigned int tenth;
	size_t i;

	*in_time = *refused = 0;
	for (tenth = 0; tenth < 200; tenth++) {
		submit_second(cell, tenth);
		pool_cell_run(cell, 100 * GB_MSEC);
	}
	pool_cell_run(cell, 40 * GB_SEC);
	for (i = 0; i < cell->flow_count; i++) {
		const struct pool_cell_flow *flow = &cell->flows[i];
		int kind = flow->spec.queue[0] == 'l'	? 0
			   : flow->spec.queue[0] == 'r' ? 1
							: 2;

		*refused += flow->answer.verdict == GB_FLOW_REFUSED;
		*in_time += flow->over != 0 &&
			    flow->status == GB_FLOW_SUCCEEDED &&
			    flow->over - flow->submitted <= objectives[kind];
	}
	print_message("in time %u, refused %u of %zu; lapsed %llu\n", *in_time,
	    *refused, cell->flow_count,
	    (unsigned long long)gb_pool_stats(cell->nodes[0])->lapsed);
	*in_time = (unsigned int)(*in_time * 100 / cell->flow_count);
	*refused = (unsigned int)(*refused * 100 / cell->flow_count);
	assert_int_equal(gb_pool_stats(cell->nodes[0])->lapsed, 0);
	assert_int_equal(gb_pool_stats(cell->nodes[0])->crashed, 0);
	pool_cell_assert_unharmed(cell);
	pool_cell_free(cell);
}

static const struct pool_cell_setup thin = {3, 85, {16000, 64000, 0, 0, 0}, 50,
    30 * GB_MSEC, 1500 * GB_MSEC, 400, THIN, 0};

static void
test_thin_link_serves_most_in_time(void **state)
{
	unsigned int in_time;
	unsigned int refused;

	(void)state;
	thin_link_play(&thin, &in_time, &refused);
	assert_true(in_time >= 60);
}

/** At a quarter of that most must be refused, and nothing that was taken in is
 * lost or done twice. */
static void
test_very_thin_link_keeps_promises(void **state)
{
	struct pool_cell_setup setup = thin;
	unsigned int in_time;
	unsigned int refused;

	(void)state;
	setup.link = THIN / 4;
	thin_link_play(&setup, &in_time, &refused);
	assert_true(refused >= 40);
}

/** Load: a pool with 150 open flows is taken over by a node behind 0.5 Mbit/s,
 * where what is stored takes seconds to read.  Reads that were all out at once
 * were given up, and begun anew, for ever. */
static void
test_successor_behind_a_thin_link_reads_what_is_stored(void **state)
{
	struct pool_cell_setup setup = thin;
	struct pool_cell *cell;
	unsigned int i;

	(void)state;
	setup.link = 0;
	setup.approved_percent = 0;
	cell = pool_cell_begin(&setup);
	for (i = 0; i < 150; i++) {
		pool_cell_step(cell, 3, 3900, 20 * GB_SEC, 0, -1);
		pool_cell_submit(cell, "import", spec_of("ms=20000", 600));
	}
	pool_cell_run(cell, 3 * GB_SEC);
	cell->setup.link = THIN / 4;
	cell->link_in = true;
	pool_cell_kill(cell, 1);
	pool_cell_kill(cell, 0);
	pool_cell_take(cell, 1);
	pool_cell_run(cell, 6 * GB_SEC);
	assert_int_equal(pool_cell_owner(cell), 1);
	pool_cell_run(cell, 60 * GB_SEC);
	for (i = 0; i < 150; i++)
		assert_int_equal(cell->flows[i].status, GB_FLOW_SUCCEEDED);
	pool_cell_assert_unharmed(cell);
	pool_cell_free(cell);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_what_is_sent_waits),
	    cmocka_unit_test(test_a_wide_link_never_waits),
	    cmocka_unit_test(test_thin_link_serves_most_in_time),
	    cmocka_unit_test(test_very_thin_link_keeps_promises),
	    cmocka_unit_test(
		test_successor_behind_a_thin_link_reads_what_is_stored),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
