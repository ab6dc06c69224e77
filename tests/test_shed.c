/**
 * @file test_shed.c
 * Guards against members that send an owner more flows than its link carries,
 * and against members that reject flows while the link has capacity.  Either
 * comes about when the percentage of flows that members reject does not follow
 * the bytes that the owner receives.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#include "node/shed.h"

/** Bandwidth of a link of 0.5 Mbit/s. */
#define LINK_BYTES_PER_SEC 62500
/** Interval of calls of shed_tick(). */
#define TICK (50 * GB_MSEC)

/** Simulates an owner's link.  It carries the flows that members do not reject
 * and all other messages, up to its bandwidth.  Returns the largest percentage
 * of rejected flows.  Time and received bytes continue from the previous call.
 * @param rate bandwidth in bytes a second, 0: unlimited
 * @param offered bytes a second of all flows that members receive
 * @param fixed bytes a second of other messages
 */
static uint32_t
link_run(struct shed *shed, uint64_t rate, uint64_t offered, uint64_t fixed,
    gb_time duration)
{
	static uint64_t bytes = 1000;
	static gb_time now = GB_SEC;
	gb_time until = now + duration;
	uint32_t largest = 0;

	for (; now < until; now += TICK) {
		uint64_t in = fixed + offered * (100 - shed->percent) / 100;

		if (rate > 0 && in > rate)
			in = rate;
		bytes += in * TICK / GB_SEC;
		shed_tick(shed, now, bytes, rate);
		if (shed->percent > largest)
			largest = shed->percent;
	}
	return largest;
}

static void
test_free_link_sheds_nothing(void **state)
{
	struct shed shed = {0};

	(void)state;
	assert_int_equal(
	    link_run(&shed, LINK_BYTES_PER_SEC, LINK_BYTES_PER_SEC / 2,
		LINK_BYTES_PER_SEC / 4, 20 * GB_SEC),
	    0);
	assert_int_equal(
	    link_run(&shed, 0, 100 * LINK_BYTES_PER_SEC, 0, 20 * GB_SEC), 0);
}

static void
test_full_link_sheds_until_it_is_free(void **state)
{
	struct shed shed = {0};
	uint32_t percent;

	(void)state;
	/* Flows are three times the free capacity of the link. */
	link_run(&shed, LINK_BYTES_PER_SEC, LINK_BYTES_PER_SEC * 3 / 2,
	    LINK_BYTES_PER_SEC / 2, 10 * GB_SEC);
	percent = shed.percent;
	assert_in_range(percent, 55, 80);
	/* No flow is rejected any more once callers send fewer. */
	link_run(&shed, LINK_BYTES_PER_SEC, LINK_BYTES_PER_SEC / 10,
	    LINK_BYTES_PER_SEC / 4, 10 * GB_SEC);
	assert_int_equal(shed.percent, 0);
}

/** However many flows are offered, some are accepted, and each of these is
 * accepted at a smaller percentage of rejected flows as well. */
static void
test_some_flows_are_always_accepted(void **state)
{
	struct shed shed = {0};
	unsigned int accepted = 0;
	char id[32];
	unsigned int i;

	(void)state;
	link_run(&shed, LINK_BYTES_PER_SEC, LINK_BYTES_PER_SEC * 100,
	    LINK_BYTES_PER_SEC, 30 * GB_SEC);
	for (i = 0; i < 1000; i++) {
		snprintf(id, sizeof(id), "%016x", i);
		accepted += !shed_rejects(shed.percent, id);
		if (!shed_rejects(shed.percent, id))
			assert_false(shed_rejects(shed.percent / 2, id));
		assert_false(shed_rejects(0, id));
	}
	assert_in_range(accepted, 20, 100);
}

/** Callers have retried during a takeover, and a slow link is busy with asking
 * all workers just after it: most flows are rejected then, and fewer and fewer
 * once the link has capacity. */
static void
test_takeover_over_slow_link_rejects_most(void **state)
{
	struct shed shed;
	uint32_t before;
	gb_time now = 100 * GB_SEC;

	(void)state;
	shed_begin(&shed, false);
	assert_int_equal(shed.percent, 0);
	shed_begin(&shed, true);
	before = shed.percent;
	assert_true(before >= 50);
	shed_tick(&shed, now, 0, 62500);
	shed_tick(&shed, now + GB_SEC, 100, 62500);
	assert_true(shed.percent < before);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_free_link_sheds_nothing),
	    cmocka_unit_test(test_full_link_sheds_until_it_is_free),
	    cmocka_unit_test(test_some_flows_are_always_accepted),
	    cmocka_unit_test(test_takeover_over_slow_link_rejects_most),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
