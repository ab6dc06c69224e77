/**
 * @file test_shed.c
 * The share of flows that members keep from an owner whose link is full.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#include "node/shed.h"

/** A link of 0.5 Mbit/s. */
#define RATE 62500
#define TICK (50 * GB_MSEC)

/** Load: what members are not told to keep back comes in, up to what the link
 * carries, beside what always comes.  Returns the largest share. */
static uint32_t
play(struct shed *shed, uint64_t rate, uint64_t offered, uint64_t fixed,
    gb_time how_long)
{
	static uint64_t bytes = 1000;
	static gb_time now = GB_SEC;
	gb_time until = now + how_long;
	uint32_t most = 0;

	for (; now < until; now += TICK) {
		uint64_t in = fixed + offered * (100 - shed->percent) / 100;

		if (rate > 0 && in > rate)
			in = rate;
		bytes += in * TICK / GB_SEC;
		shed_tick(shed, now, bytes, rate);
		if (shed->percent > most)
			most = shed->percent;
	}
	return most;
}

static void
test_a_link_with_room_sheds_nothing(void **state)
{
	struct shed shed = {0};

	(void)state;
	assert_int_equal(play(&shed, RATE, RATE / 2, RATE / 4, 20 * GB_SEC), 0);
	assert_int_equal(play(&shed, 0, 100 * RATE, 0, 20 * GB_SEC), 0);
}

static void
test_a_full_link_sheds_until_there_is_room(void **state)
{
	struct shed shed = {0};
	uint32_t share;

	(void)state;
	/* Three times what there is room for. */
	play(&shed, RATE, RATE * 3 / 2, RATE / 2, 10 * GB_SEC);
	share = shed.percent;
	assert_in_range(share, 55, 80);
	/* It goes back when callers do. */
	play(&shed, RATE, RATE / 10, RATE / 4, 10 * GB_SEC);
	assert_int_equal(shed.percent, 0);
}

/** Whatever is offered, some flows get through, and the same ones go on to. */
static void
test_some_flows_always_get_through(void **state)
{
	struct shed shed = {0};
	unsigned int taken = 0;
	char id[32];
	unsigned int i;

	(void)state;
	play(&shed, RATE, RATE * 100, RATE, 30 * GB_SEC);
	for (i = 0; i < 1000; i++) {
		snprintf(id, sizeof(id), "%016x", i);
		taken += !shed_refuses(shed.percent, id);
		if (!shed_refuses(shed.percent, id))
			assert_false(shed_refuses(shed.percent / 2, id));
		assert_false(shed_refuses(0, id));
	}
	assert_in_range(taken, 20, 100);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_a_link_with_room_sheds_nothing),
	    cmocka_unit_test(test_a_full_link_sheds_until_there_is_room),
	    cmocka_unit_test(test_some_flows_always_get_through),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
