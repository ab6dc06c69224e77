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
/** The owner's row, as it stands in the store. */
static const char *row_addr;
static uint64_t row_epoch;

/** The owner answers a hello: whether it stops, and how long the store has not
 * answered it.  This node is the first in the order of succession. */
static void
heard(struct watch *w, bool vacating, gb_time store_silent)
{
	struct watch_owner_status news = {0};

	news.vacating = vacating;
	news.store_silent = store_silent;
	news.largest_milli = w->largest_milli;
	news.place = (struct succession){0, 5, 5};
	watch_hello_answered(w, now, &news);
}

/** The owner says that the store does not take its writes. */
static void
heard_store_unavailable(struct watch *w, uint32_t rank)
{
	struct watch_owner_status news = {0};

	news.store_unavailable = true;
	news.largest_milli = w->largest_milli;
	news.place = (struct succession){rank, 5, 5};
	watch_hello_answered(w, now, &news);
}

/** A row that nobody renews. */
static void
told_row(struct watch *w, const char *addr, uint64_t epoch)
{
	const struct watch_row row = {addr, epoch, 1, 0};

	watch_row(w, now, &row);
}

static void
begin(struct watch *w)
{
	now = 100 * GB_SEC;
	read_takes = 5 * GB_MSEC;
	row_addr = OWNER;
	row_epoch = 1;
	watch_init(w, SELF, 250, now, 1);
	told_row(w, OWNER, 1);
	w->largest_milli = 250;
	heard(w, false, 0);
}

static void
read_row(struct watch *w)
{
	watch_reading(w, now);
	now += read_takes;
	told_row(w, row_addr, row_epoch);
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
			watch_hello_failed(w, now, false);
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
		assert_int_not_equal(watch_next(&w, now), WATCH_TAKE_OVER);
		if (watch_next(&w, now) == WATCH_HELLO)
			heard(&w, false, 0);
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
	watch_polled(&w, WATCH_VOTE_UNREACHABLE);
	watch_polled(&w, WATCH_VOTE_UNREACHABLE);
	assert_int_equal(wanted(&w, GB_SEC), WATCH_TAKE_OVER);
	assert_true(now - w.last_heard < 2 * GB_SEC);
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
	heard = w.last_heard;
	assert_int_equal(wanted(&w, 2 * GB_SEC), WATCH_POLL);
	watch_poll_begun(&w, now, 2);
	watch_polled(&w, WATCH_VOTE_REACHABLE);
	watch_polled(&w, WATCH_VOTE_UNREACHABLE);
	assert_int_equal(wanted(&w, 300 * GB_MSEC), WATCH_NOTHING);
	assert_int_equal(w.last_heard, heard);
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
		watch_polled(&w, WATCH_VOTE_NONE);
		watch_polled(&w, WATCH_VOTE_NONE);
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
	heard(&w, true, 0);
	began = now;
	assert_int_equal(wanted(&w, GB_SEC), WATCH_TAKE_OVER);
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
	heard(&w, true, 0);
	began = now;
	assert_int_equal(wanted(&w, GB_SEC), WATCH_TAKE_OVER);
	assert_true(now - began >= 300 * GB_MSEC);
}

static void
test_owner_without_store_is_succeeded(void **state)
{
	struct watch w;

	(void)state;
	begin(&w);
	heard(&w, false, 3 * GB_SEC);
	assert_int_equal(wanted(&w, GB_SEC), WATCH_TAKE_OVER);
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
	heard(&w, false, 3 * GB_SEC);
	assert_int_equal(watch_next(&w, now + GB_SEC), WATCH_READ);
	now += GB_SEC;
	watch_reading(&w, now);
	told_row(&w, "10.0.0.3:70", 2);
	assert_int_equal(watch_next(&w, now), WATCH_HELLO);
	heard(&w, false, 0);
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
	heard(&w, false, 3 * GB_SEC);
	assert_int_equal(wanted(&w, 500 * GB_MSEC), WATCH_NOTHING);
	assert_false(w.vacant);
}

/** Load: the store turns the owner away and serves the others.  The first
 * successors look whether they have it, and one takes over in well under the
 * 1.3 s after which the owner counts as silent to the store. */
static void
test_owner_that_is_turned_away_is_succeeded_soon(void **state)
{
	struct watch w;
	gb_time began;
	enum watch_action action = WATCH_NOTHING;

	(void)state;
	begin(&w);
	began = now;
	while (action != WATCH_TAKE_OVER && now - began < 3 * GB_SEC) {
		action = watch_next(&w, now);
		if (action == WATCH_HELLO)
			heard_store_unavailable(&w, 0);
		else if (action == WATCH_READ)
			read_row(&w);
		now += STEP;
	}
	assert_int_equal(action, WATCH_TAKE_OVER);
	assert_true(now - began < 500 * GB_MSEC);
}

/** What an owner says of itself in its answer to a hello. */
typedef void (*owner_says)(struct watch *);

static void
says_store_unavailable(struct watch *w)
{
	heard_store_unavailable(w, 0);
}

static void
says_long_silent(struct watch *w)
{
	heard(w, false, 4 * GB_SEC);
}

static void
says_all_is_well(struct watch *w)
{
	heard(w, false, 0);
}

/** Let time pass with an owner that answers and a store that does; the pool
 * must not be taken over. */
static void
assert_left_alone(struct watch *w, gb_time how_long, owner_says says)
{
	gb_time began;

	for (began = now; now - began < how_long; now += STEP) {
		enum watch_action action = watch_next(w, now);

		assert_int_not_equal(action, WATCH_TAKE_OVER);
		if (action == WATCH_HELLO)
			says(w);
		else if (action == WATCH_READ)
			read_row(w);
	}
}

/** Load: an outage of the whole store is over, and the owner's next try comes
 * 0.15 s after a successor was served: it keeps the pool. */
static void
test_owner_keeps_the_pool_when_the_store_is_back(void **state)
{
	struct watch w;

	(void)state;
	begin(&w);
	assert_left_alone(&w, 200 * GB_MSEC, says_store_unavailable);
	assert_left_alone(&w, GB_SEC, says_all_is_well);
}

/** Load: the whole store was away for 4 s, and answers a successor before it
 * answers the owner's next try: its silence was no fault of the owner's
 * (hibikiya, incident 3b07: a takeover in each outage, just when it was over).
 */
static void
test_long_outage_of_all_is_no_reason(void **state)
{
	struct watch w;

	(void)state;
	begin(&w);
	assert_left_alone(&w, 200 * GB_MSEC, says_long_silent);
	assert_left_alone(&w, GB_SEC, says_all_is_well);
}

/** Load: 35 nodes hear that the owner misses the store; all but the first
 * successors leave it alone, so that the store is not asked by all. */
static void
test_only_the_first_successors_look(void **state)
{
	struct watch w;
	gb_time began;

	(void)state;
	begin(&w);
	for (began = now; now - began < GB_SEC; now += STEP) {
		enum watch_action action = watch_next(&w, now);

		assert_int_not_equal(action, WATCH_TAKE_OVER);
		assert_int_not_equal(action, WATCH_READ);
		if (action == WATCH_HELLO)
			heard_store_unavailable(&w, 12);
	}
}

/** A node that waits for its turn goes on looking at the row, and learns of the
 * owner that was faster. */
static void
test_waiting_successor_learns_of_the_owner(void **state)
{
	struct watch w;
	struct watch_owner_status news = {0};

	(void)state;
	begin(&w);
	news.vacating = true;
	news.largest_milli = 250;
	news.place = (struct succession){15, 16, 34};
	watch_hello_answered(&w, now, &news);
	now += 200 * GB_MSEC;
	assert_int_equal(watch_next(&w, now), WATCH_READ);
	watch_reading(&w, now);
	told_row(&w, "10.0.0.3:70", 2);
	assert_int_equal(watch_next(&w, now), WATCH_HELLO);
}

/** Load: the owner is gone while the store is 35 times slower; 35 nodes have
 * callers.  They write for themselves only while the store is as quick as
 * usual: otherwise their writes hold up the claim of the next owner. */
static void
test_nodes_write_only_while_the_store_is_quick(void **state)
{
	struct watch w;

	(void)state;
	begin(&w);
	now += GB_SEC;
	assert_false(watch_store_quick(&w, now));
	assert_true(w.next_read <= now);
	read_row(&w);
	assert_true(watch_store_quick(&w, now));
	now += 500 * GB_MSEC;
	assert_false(watch_store_quick(&w, now));
	read_takes = 140 * GB_MSEC;
	read_row(&w);
	assert_false(watch_store_quick(&w, now));
}

static void
test_own_old_row_is_taken_up(void **state)
{
	struct watch w;

	(void)state;
	now = 100 * GB_SEC;
	row_addr = SELF;
	row_epoch = 4;
	watch_init(&w, SELF, 250, now, 1);
	told_row(&w, row_addr, row_epoch);
	assert_int_equal(watch_next(&w, now), WATCH_TAKE_OVER);
	assert_int_equal(w.epoch, 4);
}

/** Nobody could tell from the log which way had led to a takeover. */
static void
test_takeover_has_a_cause(void **state)
{
	struct watch w;

	(void)state;
	begin(&w);
	assert_int_equal(w.cause, WATCH_CAUSE_NONE);
	heard(&w, true, 0);
	assert_int_equal(w.cause, WATCH_CAUSE_VACATING);
	begin(&w);
	heard(&w, false, 3 * GB_SEC);
	assert_int_equal(wanted(&w, GB_SEC), WATCH_TAKE_OVER);
	assert_int_equal(w.cause, WATCH_CAUSE_STORE);
	begin(&w);
	told_row(&w, SELF, 2);
	assert_int_equal(w.cause, WATCH_CAUSE_OWN_ROW);
	begin(&w);
	told_row(&w, NULL, 0);
	assert_int_equal(w.cause, WATCH_CAUSE_NO_ROW);
	begin(&w);
	told_row(&w, "", 2);
	assert_int_equal(w.cause, WATCH_CAUSE_NO_ROW);
}

/** The same for an owner that gives no answer. */
static void
test_silence_has_a_cause(void **state)
{
	struct watch w;

	(void)state;
	begin(&w);
	w.place.members = 1;
	assert_int_equal(wanted(&w, 2 * GB_SEC), WATCH_TAKE_OVER);
	assert_int_equal(w.cause, WATCH_CAUSE_NO_MEMBERS);
	begin(&w);
	watch_hello_failed(&w, now, true);
	watch_hello_failed(&w, now, true);
	assert_int_equal(wanted(&w, GB_SEC), WATCH_TAKE_OVER);
	assert_int_equal(w.cause, WATCH_CAUSE_REFUSED);
	begin(&w);
	assert_int_equal(wanted(&w, 2 * GB_SEC), WATCH_POLL);
	watch_poll_begun(&w, now, 2);
	watch_polled(&w, WATCH_VOTE_UNREACHABLE);
	watch_polled(&w, WATCH_VOTE_NONE);
	assert_int_equal(wanted(&w, GB_SEC), WATCH_TAKE_OVER);
	assert_int_equal(w.cause, WATCH_CAUSE_SILENT);
	assert_int_equal(w.asked, 2);
	begin(&w);
	while (wanted(&w, 10 * GB_SEC) == WATCH_POLL)
		watch_poll_begun(&w, now, 0);
	assert_int_equal(w.cause, WATCH_CAUSE_NO_ANSWER);
	assert_int_equal(w.asked, 0);
}

static void
test_causes_have_names(void **state)
{
	unsigned int i;
	unsigned int j;

	(void)state;
	for (i = 0; i < WATCH_CAUSES; i++) {
		assert_non_null(watch_cause_name(i));
		for (j = 0; j < i; j++)
			assert_string_not_equal(
			    watch_cause_name(i), watch_cause_name(j));
	}
	assert_string_equal(
	    watch_cause_name(WATCH_CAUSE_NO_MEMBERS), "no_members");
	assert_string_equal(watch_cause_name(WATCH_CAUSE_NO_ROW), "no_row");
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
	    cmocka_unit_test(test_owner_that_is_turned_away_is_succeeded_soon),
	    cmocka_unit_test(test_owner_keeps_the_pool_when_the_store_is_back),
	    cmocka_unit_test(test_long_outage_of_all_is_no_reason),
	    cmocka_unit_test(test_only_the_first_successors_look),
	    cmocka_unit_test(test_waiting_successor_learns_of_the_owner),
	    cmocka_unit_test(test_nodes_write_only_while_the_store_is_quick),
	    cmocka_unit_test(test_own_old_row_is_taken_up),
	    cmocka_unit_test(test_takeover_has_a_cause),
	    cmocka_unit_test(test_silence_has_a_cause),
	    cmocka_unit_test(test_causes_have_names),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
