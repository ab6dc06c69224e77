/**
 * @file test_watch.c
 * When a node takes the pool over, in virtual time.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "node/watch.h"

#define OWNER "10.0.0.1:70"
#define SELF "10.0.0.2:70"
#define STEP (25 * GB_MSEC)

static gb_time now;
/** Time that a read of the owner's row takes. */
static gb_time read_takes;

static void
begin(struct watch *w)
{
	now = 100 * GB_SEC;
	read_takes = 5 * GB_MSEC;
	watch_init(w, SELF, 250, now, 1);
	watch_row(w, now, OWNER, 1);
	watch_heard(w, now, false, 0, 5);
	w->largest_milli = 250;
}

static void
read_row(struct watch *w)
{
	watch_reading(w, now);
	now += read_takes;
	watch_row(w, now, OWNER, 1);
}

/** Let time pass until the watch wants something but hellos, which nobody
 * answers; returns what, or nothing after the given time. */
static enum watch_action
wanted(struct watch *w, gb_time how_long)
{
	gb_time until = now + how_long;
	enum watch_action action;

	for (; now < until; now += STEP) {
		action = watch_next(w, now);
		if (action == WATCH_HELLO)
			watch_unheard(w, now, false);
		else if (action == WATCH_READ)
			read_row(w);
		else if (action != WATCH_NOTHING)
			return action;
	}
	return WATCH_NOTHING;
}

static void
test_heard_owner_is_left_alone(void **state)
{
	struct watch w;
	int i;

	(void)state;
	begin(&w);
	for (i = 0; i < 400; i++) {
		now += STEP;
		assert_int_not_equal(watch_next(&w, now), WATCH_TAKE);
		if (watch_next(&w, now) == WATCH_HELLO)
			watch_heard(&w, now, false, 0, 5);
	}
}

/** The members were never asked: nobody took over from a dark owner
 * (byggepas trouble-3). */
static void
test_silent_owner_is_succeeded(void **state)
{
	struct watch w;

	(void)state;
	begin(&w);
	assert_int_equal(wanted(&w, 2 * GB_SEC), WATCH_POLL);
	watch_poll_begun(&w, now, 2);
	watch_polled(&w, WATCH_HEARS_NOT);
	watch_polled(&w, WATCH_HEARS_NOT);
	assert_int_equal(wanted(&w, GB_SEC), WATCH_TAKE);
	assert_true(now - w.heard < 2 * GB_SEC);
}

/** A member that does not hear the owner must not tell others that it did:
 * each reassured the other for ever (first score, trouble-3). */
static void
test_reassurance_does_not_count_as_hearing(void **state)
{
	struct watch w;
	gb_time heard;

	(void)state;
	begin(&w);
	heard = w.heard;
	assert_int_equal(wanted(&w, 2 * GB_SEC), WATCH_POLL);
	watch_poll_begun(&w, now, 2);
	watch_polled(&w, WATCH_HEARS);
	watch_polled(&w, WATCH_HEARS_NOT);
	assert_int_equal(wanted(&w, 300 * GB_MSEC), WATCH_NOTHING);
	assert_int_equal(w.heard, heard);
	assert_int_equal(wanted(&w, 2 * GB_SEC), WATCH_POLL);
}

/** A node that reaches nobody is more likely cut off itself. */
static void
test_node_that_reaches_nobody_waits_longer(void **state)
{
	struct watch w;
	gb_time began;

	(void)state;
	begin(&w);
	began = now;
	while (wanted(&w, 10 * GB_SEC) == WATCH_POLL) {
		watch_poll_begun(&w, now, 2);
		watch_polled(&w, WATCH_NO_WORD);
		watch_polled(&w, WATCH_NO_WORD);
	}
	assert_true(now - began > 3 * GB_SEC);
	assert_true(now - began < 6 * GB_SEC);
}

static void
test_leaving_owner_is_succeeded_at_once(void **state)
{
	struct watch w;
	gb_time began;

	(void)state;
	begin(&w);
	watch_heard(&w, now, true, 0, 5);
	began = now;
	assert_int_equal(wanted(&w, GB_SEC), WATCH_TAKE);
	assert_true(now - began < 200 * GB_MSEC);
}

/** Small nodes leave the pool to a larger one. */
static void
test_small_node_defers(void **state)
{
	struct watch w;
	gb_time began;

	(void)state;
	begin(&w);
	w.largest_milli = 500;
	watch_heard(&w, now, true, 0, 5);
	began = now;
	assert_int_equal(wanted(&w, GB_SEC), WATCH_TAKE);
	assert_true(now - began >= 300 * GB_MSEC);
}

static void
test_owner_without_store_is_succeeded(void **state)
{
	struct watch w;

	(void)state;
	begin(&w);
	watch_heard(&w, now, false, 3 * GB_SEC, 5);
	assert_int_equal(wanted(&w, GB_SEC), WATCH_TAKE);
}

/** The doubt was of an owner that has been succeeded meanwhile: each node took
 * the pool from the one before it (acdi trouble-1, three takeovers in 0.5 s).
 */
static void
test_successor_is_not_doubted(void **state)
{
	struct watch w;

	(void)state;
	begin(&w);
	watch_heard(&w, now, false, 3 * GB_SEC, 5);
	assert_int_equal(watch_next(&w, now + GB_SEC), WATCH_READ);
	now += GB_SEC;
	watch_reading(&w, now);
	watch_row(&w, now, "10.0.0.3:70", 2);
	assert_int_equal(watch_next(&w, now), WATCH_HELLO);
	watch_heard(&w, now, false, 0, 5);
	assert_int_equal(wanted(&w, 150 * GB_MSEC), WATCH_NOTHING);
}

/** A store that is slow for everybody is no reason to take over. */
static void
test_slow_store_is_no_reason(void **state)
{
	struct watch w;

	(void)state;
	begin(&w);
	read_takes = 300 * GB_MSEC;
	watch_heard(&w, now, false, 3 * GB_SEC, 5);
	assert_int_equal(wanted(&w, 500 * GB_MSEC), WATCH_NOTHING);
	assert_false(w.vacant);
}

static void
test_own_old_row_is_taken_up(void **state)
{
	struct watch w;

	(void)state;
	now = 100 * GB_SEC;
	watch_init(&w, SELF, 250, now, 1);
	watch_row(&w, now, SELF, 4);
	assert_int_equal(wanted(&w, GB_SEC), WATCH_TAKE);
	assert_int_equal(w.epoch, 4);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_heard_owner_is_left_alone),
	    cmocka_unit_test(test_silent_owner_is_succeeded),
	    cmocka_unit_test(test_reassurance_does_not_count_as_hearing),
	    cmocka_unit_test(test_node_that_reaches_nobody_waits_longer),
	    cmocka_unit_test(test_leaving_owner_is_succeeded_at_once),
	    cmocka_unit_test(test_small_node_defers),
	    cmocka_unit_test(test_owner_without_store_is_succeeded),
	    cmocka_unit_test(test_successor_is_not_doubted),
	    cmocka_unit_test(test_slow_store_is_no_reason),
	    cmocka_unit_test(test_own_old_row_is_taken_up),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
