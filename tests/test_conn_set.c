/**
 * @file test_conn_set.c
 * Guards against limits that close the connection of an ordinary caller, of a
 * request that was read, or none at all.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "connection/conn_set.h"

#define CONNECTIONS 4

static struct conn conns[CONNECTIONS];

/** Fill a set to its limit with connections that come one a second. */
static void
fill(struct conn_set *set, size_t bytes)
{
	unsigned int i;

	*set = (struct conn_set){0};
	conn_set_init(set);
	set->limits.connections = CONNECTIONS;
	set->limits.bytes = bytes;
	for (i = 0; i < CONNECTIONS; i++)
		conn_set_add(set, &conns[i], i * GB_SEC);
}

static void
test_longest_wait_is_closed_for_new(void **state)
{
	struct conn_set set;

	(void)state;
	fill(&set, 0);
	assert_false(conn_set_has_room(&set));
	conn_set_begin(&set, &conns[0], 5 * GB_SEC);
	assert_ptr_equal(conn_set_close_for_new(&set, 5 * GB_SEC), &conns[1]);
	/* It counts until it is removed. */
	assert_false(conn_set_has_room(&set));
	conn_set_remove(&set, &conns[1]);
	assert_true(conn_set_has_room(&set));
	conn_set_end(&set, &conns[0], 6 * GB_SEC);
	assert_ptr_equal(conn_set_close_for_new(&set, 7 * GB_SEC), &conns[2]);
}

static void
test_new_connection_has_time_for_its_request(void **state)
{
	struct conn_set set;
	unsigned int i;

	(void)state;
	fill(&set, 0);
	for (i = 0; i < CONNECTIONS; i++)
		conn_set_end(&set, &conns[i], 10 * GB_SEC);
	assert_null(conn_set_close_for_new(&set, 10 * GB_SEC + GB_MSEC));
	assert_non_null(conn_set_close_for_new(&set, 11 * GB_SEC));
}

static void
test_requests_that_were_read_are_kept(void **state)
{
	struct conn_set set;
	unsigned int i;

	(void)state;
	fill(&set, 100000);
	for (i = 0; i < CONNECTIONS; i++) {
		conn_set_begin(&set, &conns[i], 10 * GB_SEC);
		conn_set_hold(&set, &conns[i], 50000);
	}
	assert_null(conn_set_close_for_new(&set, 60 * GB_SEC));
	assert_null(conn_set_close_for_bytes(&set));
	assert_true(conn_set_is_full(&set));
	for (i = 0; i < CONNECTIONS; i++)
		conn_set_end(&set, &conns[i], 20 * GB_SEC);
	assert_false(conn_set_is_full(&set));
}

static void
test_longest_wait_is_closed_for_bytes(void **state)
{
	struct conn_set set;

	(void)state;
	fill(&set, 100000);
	/* The first one waits longest, but holds nothing that matters. */
	conn_set_hold(&set, &conns[0], 4096);
	conn_set_hold(&set, &conns[1], 60000);
	conn_set_hold(&set, &conns[2], 30000);
	assert_null(conn_set_close_for_bytes(&set));
	conn_set_hold(&set, &conns[3], 30000);
	assert_ptr_equal(conn_set_close_for_bytes(&set), &conns[1]);
	assert_null(conn_set_close_for_bytes(&set));
	assert_int_equal(set.bytes, 64096);
	/* What it holds until it is removed doesn't count again. */
	conn_set_hold(&set, &conns[1], 70000);
	assert_int_equal(set.bytes, 64096);
}

static void
test_reports_are_rare_and_complete(void **state)
{
	struct conn_counts counts;
	struct conn_set set;

	(void)state;
	fill(&set, 0);
	assert_false(conn_set_report(&set, 9 * GB_SEC, &counts));
	conn_set_close_for_new(&set, 10 * GB_SEC);
	assert_true(conn_set_report(&set, 10 * GB_SEC, &counts));
	assert_int_equal(counts.closed_for_new, 1);
	set.counts.refused += 2;
	assert_false(
	    conn_set_report(&set, 10 * GB_SEC + 500 * GB_MSEC, &counts));
	set.counts.refused++;
	assert_true(conn_set_report(&set, 12 * GB_SEC, &counts));
	assert_int_equal(counts.refused, 3);
	assert_int_equal(counts.closed_for_new, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_longest_wait_is_closed_for_new),
	    cmocka_unit_test(test_new_connection_has_time_for_its_request),
	    cmocka_unit_test(test_requests_that_were_read_are_kept),
	    cmocka_unit_test(test_longest_wait_is_closed_for_bytes),
	    cmocka_unit_test(test_reports_are_rare_and_complete),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
