/**
 * @file test_crowd_peers.c
 * Guards against connections to a node's own port that end it or keep others
 * from it: large records of which the end is missing, connections that send
 * nothing, and calls whose answers are not read.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "crowd.h"

/** Settings of the nodes of these tests. */
#define SETTINGS ", \"peers\": 64, \"peers_mb\": 8"

/** Play a crowd against one of two nodes.  Both must answer, so the other one
 * must find its owner through the port. */
static void
play(unsigned int count, unsigned int rounds, crowd_send send, void *data)
{
	struct crowd_cell cell;
	struct crowd crowd;
	unsigned int owner;
	unsigned int i;

	crowd_cell_start(&cell, 2, SETTINGS, CROWD_MEMORY_MB, CROWD_FILES);
	owner = crowd_cell_owner(&cell);
	crowd_open(&crowd, cell.peers[owner], count, send, data);
	for (i = 1; i < rounds; i++)
		crowd_reopen(&crowd);
	assert_true(crowd_rpc_answered(cell.peers[owner]));
	crowd_cell_check(&cell);
	crowd_close(&crowd);
	crowd_cell_check(&cell);
}

static void
test_unfinished_records(void **state)
{
	unsigned int mib = CROWD_RECORD_MAX_MB;

	(void)state;
	play(12, 2, crowd_send_record, &mib);
}

static void
test_unfinished_small_records(void **state)
{
	unsigned int mib = 1;

	(void)state;
	play(120, 2, crowd_send_record, &mib);
}

static void
test_silent_connections(void **state)
{
	(void)state;
	play(600, 3, NULL, NULL);
}

static void
test_unread_answers(void **state)
{
	(void)state;
	play(2, 1, crowd_send_calls, NULL);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_teardown(test_unfinished_records, crowd_teardown),
	    cmocka_unit_test_teardown(
		test_unfinished_small_records, crowd_teardown),
	    cmocka_unit_test_teardown(test_silent_connections, crowd_teardown),
	    cmocka_unit_test_teardown(test_unread_answers, crowd_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
