/**
 * @file test_watch.c
 * Guards against takeovers from an owner that works, and against a pool that is
 * not taken over from an owner that has ended or can't write.  Either comes
 * about when a node misjudges missing answers to hellos, votes of members or
 * reads of the owner's row.  Runs in virtual time.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "node/watch.h"

#define OWNER "10.0.0.1:70"
#define SELF "10.0.0.2:70"
/** Processor of each node, in thousandths. */
#define NODE_CPU_MILLI 250
/** Interval of calls of watch_next(). */
#define STEP (25 * GB_MSEC)

/** Virtual time. */
static gb_time now;
/** Duration of a read of the owner's row. */
static gb_time read_duration;
/** Address and epoch in the owner's row, as the store has them. */
static const char *row_addr;
static uint64_t row_epoch;

/** Delivers the owner's answer to a hello.  The node under test is the first of
 * five successors.
 * @param vacating the owner stops
 * @param store_silent time since the store last answered the owner
 */
static void
answer_hello(struct watch *w, bool vacating, gb_time store_silent)
{
	struct watch_owner_status status = {0};

	status.vacating = vacating;
	status.store_silent = store_silent;
	status.largest_milli = w->largest_milli;
	status.place = (struct succession){0, 5, 5};
	watch_hello_answered(w, now, &status);
}

/** Delivers an answer to a hello in which the owner reports that the store
 * rejects its writes, to a node of the given rank in the order of
 * succession. */
static void
answer_store_unavailable(struct watch *w, uint32_t rank)
{
	struct watch_owner_status status = {0};

	status.store_unavailable = true;
	status.largest_milli = w->largest_milli;
	status.place = (struct succession){rank, 5, 5};
	watch_hello_answered(w, now, &status);
}

/** Delivers an owner's row whose serial never grows, as no owner renews it. */
static void
deliver_row(struct watch *w, const char *addr, uint64_t epoch)
{
	const struct watch_row row = {addr, epoch, 1, 0};

	watch_row(w, now, &row);
}

/** Sets up a watch whose owner has just answered a hello. */
static void
setup(struct watch *w)
{
	now = 100 * GB_SEC;
	read_duration = 5 * GB_MSEC;
	row_addr = OWNER;
	row_epoch = 1;
	watch_init(w, SELF, NODE_CPU_MILLI, now, 1);
	deliver_row(w, OWNER, 1);
	w->largest_milli = NODE_CPU_MILLI;
	answer_hello(w, false, 0);
}

/** Reads the owner's row; time passes as long as the read takes. */
static void
read_row(struct watch *w)
{
	watch_read_sent(w, now);
	now += read_duration;
	deliver_row(w, row_addr, row_epoch);
}

/** Advances time until the watch asks for a poll or a takeover, and returns
 * that action, or WATCH_NOTHING after `limit`.  Hellos get no answer, reads of
 * the row do. */
static enum watch_action
next_action(struct watch *w, gb_time limit)
{
	gb_time until = now + limit;
	enum watch_action action;

	for (; now < until; now += STEP) {
		action = watch_next(w, now);
		if (action == WATCH_HELLO)
			watch_hello_failed(w, now, false);
		else if (action == WATCH_READ_ROW)
			read_row(w);
		else if (action != WATCH_NOTHING)
			return action;
	}
	return WATCH_NOTHING;
}

static void
test_answering_owner_keeps_the_pool(void **state)
{
	struct watch w;
	int i;

	(void)state;
	setup(&w);
	for (i = 0; i < 400; i++) {
		now += STEP;
		assert_int_not_equal(watch_next(&w, now), WATCH_TAKE_OVER);
		if (watch_next(&w, now) == WATCH_HELLO)
			answer_hello(&w, false, 0);
	}
}

/** Guards against members that are never polled, so that no node takes over
 * from an owner that answers nothing. */
static void
test_silent_owner_is_succeeded(void **state)
{
	struct watch w;

	(void)state;
	setup(&w);
	assert_int_equal(next_action(&w, 2 * GB_SEC), WATCH_POLL);
	watch_poll_begun(&w, now, 2);
	watch_add_vote(&w, WATCH_VOTE_UNREACHABLE);
	watch_add_vote(&w, WATCH_VOTE_UNREACHABLE);
	assert_int_equal(next_action(&w, GB_SEC), WATCH_TAKE_OVER);
	assert_true(now - w.last_heard < 2 * GB_SEC);
}

/** A vote that the owner is reachable must not count as an answer of the owner:
 * members that don't reach it would keep each other from taking over. */
static void
test_vote_is_no_answer_of_the_owner(void **state)
{
	struct watch w;
	gb_time last_heard;

	(void)state;
	setup(&w);
	last_heard = w.last_heard;
	assert_int_equal(next_action(&w, 2 * GB_SEC), WATCH_POLL);
	watch_poll_begun(&w, now, 2);
	watch_add_vote(&w, WATCH_VOTE_REACHABLE);
	watch_add_vote(&w, WATCH_VOTE_UNREACHABLE);
	assert_int_equal(next_action(&w, 300 * GB_MSEC), WATCH_NOTHING);
	assert_int_equal(w.last_heard, last_heard);
	assert_int_equal(next_action(&w, 2 * GB_SEC), WATCH_POLL);
}

/** A node whose polls get no answer either is probably cut off itself, so it
 * waits longer before it takes over. */
static void
test_isolated_node_waits_longer(void **state)
{
	struct watch w;
	gb_time began;

	(void)state;
	setup(&w);
	began = now;
	while (next_action(&w, 10 * GB_SEC) == WATCH_POLL) {
		watch_poll_begun(&w, now, 2);
		watch_add_vote(&w, WATCH_VOTE_NONE);
		watch_add_vote(&w, WATCH_VOTE_NONE);
	}
	assert_true(now - began > 3 * GB_SEC);
	assert_true(now - began < 6 * GB_SEC);
}

/** Time for which messages wait on a link of 0.5 Mbit/s. */
#define SLOW_LINK_DELAY (500 * GB_MSEC)

/** The owner answers a hello that its link is full and that it last heard the
 * store some time ago. */
static void
answer_hello_on_full_link(struct watch *w, gb_time store_silent)
{
	struct watch_owner_status status = {0};

	status.epoch = 1;
	status.link_full = true;
	status.store_silent = store_silent;
	status.largest_milli = NODE_CPU_MILLI;
	status.place.members = 3;
	watch_hello_answered(w, now, &status);
}

/** An owner behind a full link answers late and goes on renewing its row.
 * Guards against members that depose it one after the other while each of its
 * successors loads and asks all workers over such a link. */
static void
test_owner_with_full_link_gets_more_time(void **state)
{
	const struct watch_row row = {OWNER, 1, 0, 0};
	struct watch_row renewed = row;
	struct watch w;
	gb_time until;
	enum watch_action action = WATCH_NOTHING;

	(void)state;
	setup(&w);
	w.link_delay = SLOW_LINK_DELAY;
	answer_hello_on_full_link(&w, 0);
	until = now + 3 * GB_SEC;
	for (; now < until && action != WATCH_POLL; now += STEP) {
		action = watch_next(&w, now);
		if (action == WATCH_HELLO)
			watch_hello_failed(&w, now, false);
		if (action != WATCH_READ_ROW)
			continue;
		watch_read_sent(&w, now);
		renewed.serial++;
		watch_row(&w, now, &renewed);
	}
	assert_int_not_equal(action, WATCH_POLL);
}

/** On a full link the owner's writes to the store take seconds, though the
 * store takes them.  Guards against members that take the store for lost to an
 * owner that has just answered them. */
static void
test_store_calls_on_full_link_are_not_lost(void **state)
{
	struct watch w;

	(void)state;
	setup(&w);
	w.link_delay = SLOW_LINK_DELAY;
	answer_hello_on_full_link(&w, 0);
	answer_hello_on_full_link(&w, 2 * GB_SEC);
	assert_false(w.owner_lacks_store);
	answer_hello_on_full_link(&w, 5 * GB_SEC);
	assert_true(w.owner_lacks_store);
}

static void
test_leaving_owner_is_succeeded_at_once(void **state)
{
	struct watch w;
	gb_time began;

	(void)state;
	setup(&w);
	answer_hello(&w, true, 0);
	began = now;
	assert_int_equal(next_action(&w, GB_SEC), WATCH_TAKE_OVER);
	assert_true(now - began < 200 * GB_MSEC);
}

/** A small node waits, so that a larger one can claim the pool first. */
static void
test_small_node_defers(void **state)
{
	struct watch w;
	gb_time began;

	(void)state;
	setup(&w);
	w.largest_milli = 500;
	answer_hello(&w, true, 0);
	began = now;
	assert_int_equal(next_action(&w, GB_SEC), WATCH_TAKE_OVER);
	assert_true(now - began >= 300 * GB_MSEC);
}

static void
test_owner_without_store_is_succeeded(void **state)
{
	struct watch w;

	(void)state;
	setup(&w);
	answer_hello(&w, false, 3 * GB_SEC);
	assert_int_equal(next_action(&w, GB_SEC), WATCH_TAKE_OVER);
}

/** What an owner reported about its store must not count against its successor,
 * or each new owner is succeeded at once as well. */
static void
test_new_owner_starts_without_doubt(void **state)
{
	struct watch w;

	(void)state;
	setup(&w);
	answer_hello(&w, false, 3 * GB_SEC);
	assert_int_equal(watch_next(&w, now + GB_SEC), WATCH_READ_ROW);
	now += GB_SEC;
	watch_read_sent(&w, now);
	deliver_row(&w, "10.0.0.3:70", 2);
	assert_int_equal(watch_next(&w, now), WATCH_HELLO);
	answer_hello(&w, false, 0);
	assert_int_equal(next_action(&w, 150 * GB_MSEC), WATCH_NOTHING);
}

/** A store that is slow for this node too is no reason to take over. */
static void
test_slow_store_causes_no_takeover(void **state)
{
	struct watch w;

	(void)state;
	setup(&w);
	read_duration = 300 * GB_MSEC;
	answer_hello(&w, false, 3 * GB_SEC);
	assert_int_equal(next_action(&w, 500 * GB_MSEC), WATCH_NOTHING);
	assert_false(w.vacant);
}

/** The store rejects the owner's writes and serves the other nodes.  The first
 * successors read the row to check that the store serves them, and one takes
 * over well before the owner has had no answer from the store for 1.3 s, after
 * which it counts as cut off from the store. */
static void
test_rejected_owner_is_succeeded_soon(void **state)
{
	struct watch w;
	gb_time began;
	enum watch_action action = WATCH_NOTHING;

	(void)state;
	setup(&w);
	began = now;
	while (action != WATCH_TAKE_OVER && now - began < 3 * GB_SEC) {
		action = watch_next(&w, now);
		if (action == WATCH_HELLO)
			answer_store_unavailable(&w, 0);
		else if (action == WATCH_READ_ROW)
			read_row(&w);
		now += STEP;
	}
	assert_int_equal(action, WATCH_TAKE_OVER);
	assert_true(now - began < 500 * GB_MSEC);
}

/** Delivers one kind of answer to a hello. */
typedef void (*answer_fn)(struct watch *);

static void
answer_store_rejects(struct watch *w)
{
	answer_store_unavailable(w, 0);
}

static void
answer_store_silent(struct watch *w)
{
	answer_hello(w, false, 4 * GB_SEC);
}

static void
answer_working(struct watch *w)
{
	answer_hello(w, false, 0);
}

/** Advances time while each hello and each read of the row is answered; the
 * watch must not ask for a takeover. */
static void
assert_no_takeover(struct watch *w, gb_time duration, answer_fn answer)
{
	gb_time began;

	for (began = now; now - began < duration; now += STEP) {
		enum watch_action action = watch_next(w, now);

		assert_int_not_equal(action, WATCH_TAKE_OVER);
		if (action == WATCH_HELLO)
			answer(w);
		else if (action == WATCH_READ_ROW)
			read_row(w);
	}
}

/** The whole store is back after an outage, and answers a successor up to
 * 0.15 s before the owner retries.  The owner keeps the pool. */
static void
test_owner_keeps_the_pool_when_the_store_is_back(void **state)
{
	struct watch w;

	(void)state;
	setup(&w);
	assert_no_takeover(&w, 200 * GB_MSEC, answer_store_rejects);
	assert_no_takeover(&w, GB_SEC, answer_working);
}

/** The whole store was unavailable for 4 s and answers a successor before the
 * owner retries.  Guards against a takeover at the end of each outage because
 * only the owner seems to be cut off from the store. */
static void
test_store_outage_causes_no_takeover(void **state)
{
	struct watch w;

	(void)state;
	setup(&w);
	assert_no_takeover(&w, 200 * GB_MSEC, answer_store_silent);
	assert_no_takeover(&w, GB_SEC, answer_working);
}

/** 35 nodes learn that the store rejects the owner.  Only the first successors
 * read the row to check the store; the others would only add to its load. */
static void
test_only_first_successors_read_row(void **state)
{
	struct watch w;
	gb_time began;

	(void)state;
	setup(&w);
	for (began = now; now - began < GB_SEC; now += STEP) {
		enum watch_action action = watch_next(&w, now);

		assert_int_not_equal(action, WATCH_TAKE_OVER);
		assert_int_not_equal(action, WATCH_READ_ROW);
		if (action == WATCH_HELLO)
			answer_store_unavailable(&w, 12);
	}
}

/** A node that waits for its turn to claim the pool keeps reading the row, and
 * so learns of a node that claimed it first. */
static void
test_waiting_node_learns_of_new_owner(void **state)
{
	struct watch w;
	struct watch_owner_status status = {0};

	(void)state;
	setup(&w);
	status.vacating = true;
	status.largest_milli = NODE_CPU_MILLI;
	status.place = (struct succession){15, 16, 34};
	watch_hello_answered(&w, now, &status);
	now += 200 * GB_MSEC;
	assert_int_equal(watch_next(&w, now), WATCH_READ_ROW);
	watch_read_sent(&w, now);
	deliver_row(&w, "10.0.0.3:70", 2);
	assert_int_equal(watch_next(&w, now), WATCH_HELLO);
}

/** The owner has terminated while the store is 35 times slower than usual, and
 * 35 nodes have callers.  Nodes store flows themselves only while the store is
 * as quick as usual; otherwise their writes delay the next owner's claim. */
static void
test_nodes_write_only_while_the_store_is_quick(void **state)
{
	struct watch w;

	(void)state;
	setup(&w);
	now += GB_SEC;
	assert_false(watch_store_is_fast(&w, now));
	assert_true(w.next_read <= now);
	read_row(&w);
	assert_true(watch_store_is_fast(&w, now));
	now += 500 * GB_MSEC;
	assert_false(watch_store_is_fast(&w, now));
	read_duration = 140 * GB_MSEC;
	read_row(&w);
	assert_false(watch_store_is_fast(&w, now));
}

/** A restarted node that the owner's row still names takes over at once. */
static void
test_restarted_owner_takes_pool_again(void **state)
{
	struct watch w;

	(void)state;
	now = 100 * GB_SEC;
	row_addr = SELF;
	row_epoch = 4;
	watch_init(&w, SELF, NODE_CPU_MILLI, now, 1);
	deliver_row(&w, row_addr, row_epoch);
	assert_int_equal(watch_next(&w, now), WATCH_TAKE_OVER);
	assert_int_equal(w.epoch, 4);
}

/** Guards against takeovers whose cause is missing from the log. */
static void
test_takeover_has_a_cause(void **state)
{
	struct watch w;

	(void)state;
	setup(&w);
	assert_int_equal(w.cause, WATCH_CAUSE_NONE);
	answer_hello(&w, true, 0);
	assert_int_equal(w.cause, WATCH_CAUSE_VACATING);
	setup(&w);
	answer_hello(&w, false, 3 * GB_SEC);
	assert_int_equal(next_action(&w, GB_SEC), WATCH_TAKE_OVER);
	assert_int_equal(w.cause, WATCH_CAUSE_STORE);
	setup(&w);
	deliver_row(&w, SELF, 2);
	assert_int_equal(w.cause, WATCH_CAUSE_OWN_ROW);
	setup(&w);
	deliver_row(&w, NULL, 0);
	assert_int_equal(w.cause, WATCH_CAUSE_NO_ROW);
	setup(&w);
	deliver_row(&w, "", 2);
	assert_int_equal(w.cause, WATCH_CAUSE_NO_ROW);
}

/** Causes of takeovers from an owner that does not answer. */
static void
test_silence_has_a_cause(void **state)
{
	struct watch w;

	(void)state;
	setup(&w);
	w.place.members = 1;
	assert_int_equal(next_action(&w, 2 * GB_SEC), WATCH_TAKE_OVER);
	assert_int_equal(w.cause, WATCH_CAUSE_NO_MEMBERS);
	setup(&w);
	watch_hello_failed(&w, now, true);
	watch_hello_failed(&w, now, true);
	assert_int_equal(next_action(&w, GB_SEC), WATCH_TAKE_OVER);
	assert_int_equal(w.cause, WATCH_CAUSE_REFUSED);
	setup(&w);
	assert_int_equal(next_action(&w, 2 * GB_SEC), WATCH_POLL);
	watch_poll_begun(&w, now, 2);
	watch_add_vote(&w, WATCH_VOTE_UNREACHABLE);
	watch_add_vote(&w, WATCH_VOTE_NONE);
	assert_int_equal(next_action(&w, GB_SEC), WATCH_TAKE_OVER);
	assert_int_equal(w.cause, WATCH_CAUSE_SILENT);
	assert_int_equal(w.asked, 2);
	setup(&w);
	while (next_action(&w, 10 * GB_SEC) == WATCH_POLL)
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

/** A member names an owner.  It is followed if its epoch is newer, or if this
 * node knows no owner of that epoch; one of an earlier epoch is not. */
static void
test_named_owner_is_followed_if_newer(void **state)
{
	struct watch w;

	(void)state;
	setup(&w);
	watch_owner_named(&w, now, "10.0.0.7:70", 1);
	assert_string_equal(w.owner, OWNER);
	watch_owner_named(&w, now, "10.0.0.7:70", 2);
	assert_string_equal(w.owner, "10.0.0.7:70");
	watch_owner_named(&w, now, OWNER, 1);
	assert_string_equal(w.owner, "10.0.0.7:70");
	watch_owner_named(&w, now, "", 3);
	watch_owner_named(&w, now, SELF, 3);
	assert_string_equal(w.owner, "10.0.0.7:70");
	watch_pool_lost(&w, now, 0);
	watch_owner_named(&w, now, "10.0.0.7:70", 2);
	assert_string_equal(w.owner, "10.0.0.7:70");
}

/** A released row names no owner.  A member that still names the former one
 * doesn't keep this node from taking the pool over. */
static void
test_named_owner_does_not_end_a_vacancy(void **state)
{
	struct watch w;

	(void)state;
	setup(&w);
	deliver_row(&w, "", 2);
	assert_true(w.vacant);
	watch_pool_lost(&w, now, 0);
	deliver_row(&w, "", 2);
	watch_owner_named(&w, now, OWNER, 2);
	assert_true(w.vacant);
}

/** Members are asked for the owner only while neither the owner nor the store
 * answers, and then at intervals. */
static void
test_members_are_asked_without_owner_and_store(void **state)
{
	struct watch w;

	(void)state;
	setup(&w);
	assert_false(watch_inquiry_due(&w, now));
	watch_read_sent(&w, now);
	watch_read_failed(&w, now);
	assert_false(watch_inquiry_due(&w, now));
	watch_hello_failed(&w, now, false);
	assert_true(watch_inquiry_due(&w, now));
	assert_false(watch_inquiry_due(&w, now));
	now += 250 * GB_MSEC;
	assert_true(watch_inquiry_due(&w, now));
	now += 250 * GB_MSEC;
	deliver_row(&w, OWNER, 1);
	assert_false(watch_inquiry_due(&w, now));
	/* A read that takes long counts as one without an answer. */
	watch_read_sent(&w, now);
	assert_false(watch_inquiry_due(&w, now));
	now += 250 * GB_MSEC;
	assert_true(watch_inquiry_due(&w, now));
}

/** A hello names a newer epoch than that of the owner that is followed: its
 * sender is asked, but not again at once. */
static void
test_sender_of_a_newer_epoch_is_asked(void **state)
{
	struct watch w;

	(void)state;
	setup(&w);
	assert_false(watch_epoch_heard(&w, now, 1));
	assert_true(watch_epoch_heard(&w, now, 2));
	assert_false(watch_epoch_heard(&w, now, 2));
	now += 250 * GB_MSEC;
	assert_true(watch_epoch_heard(&w, now, 2));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_answering_owner_keeps_the_pool),
	    cmocka_unit_test(test_silent_owner_is_succeeded),
	    cmocka_unit_test(test_vote_is_no_answer_of_the_owner),
	    cmocka_unit_test(test_isolated_node_waits_longer),
	    cmocka_unit_test(test_owner_with_full_link_gets_more_time),
	    cmocka_unit_test(test_store_calls_on_full_link_are_not_lost),
	    cmocka_unit_test(test_leaving_owner_is_succeeded_at_once),
	    cmocka_unit_test(test_small_node_defers),
	    cmocka_unit_test(test_owner_without_store_is_succeeded),
	    cmocka_unit_test(test_new_owner_starts_without_doubt),
	    cmocka_unit_test(test_slow_store_causes_no_takeover),
	    cmocka_unit_test(test_rejected_owner_is_succeeded_soon),
	    cmocka_unit_test(test_owner_keeps_the_pool_when_the_store_is_back),
	    cmocka_unit_test(test_store_outage_causes_no_takeover),
	    cmocka_unit_test(test_only_first_successors_read_row),
	    cmocka_unit_test(test_waiting_node_learns_of_new_owner),
	    cmocka_unit_test(test_nodes_write_only_while_the_store_is_quick),
	    cmocka_unit_test(test_restarted_owner_takes_pool_again),
	    cmocka_unit_test(test_takeover_has_a_cause),
	    cmocka_unit_test(test_silence_has_a_cause),
	    cmocka_unit_test(test_causes_have_names),
	    cmocka_unit_test(test_named_owner_is_followed_if_newer),
	    cmocka_unit_test(test_named_owner_does_not_end_a_vacancy),
	    cmocka_unit_test(test_members_are_asked_without_owner_and_store),
	    cmocka_unit_test(test_sender_of_a_newer_epoch_is_asked),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
