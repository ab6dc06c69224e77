/**
 * @file test_crowd_health.c
 * Guards against connections to the ports of health checks and of metrics that
 * end a node or keep the balancer from it: bodies of which the end is missing,
 * and connections that send nothing.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "crowd.h"

/** Settings of the node of these tests. */
#define SETTINGS ""
#define READY "/gooseberrycart/ready"

/** A body of the largest size, without its last byte. */
static void
send_body(int fd, unsigned int number, void *data)
{
	static const char head[] = "GET " READY " HTTP/1.1\r\nHost: a\r\n"
				   "Content-Length: 262144\r\n\r\n";
	static char body[CROWD_BODY_MAX];

	(void)number;
	(void)data;
	if (crowd_write(fd, head, sizeof(head) - 1))
		crowd_write(fd, body, sizeof(body) - 1);
}

static void
check(struct crowd_cell *cell)
{
	assert_int_equal(
	    crowd_request(cell->ready[0], "GET", READY, "", "", NULL, 0), 200);
	assert_int_equal(
	    crowd_request(cell->metrics[0], "GET", "/metrics", "", "", NULL, 0),
	    200);
	crowd_cell_check(cell);
}

static void
play(bool metrics, unsigned int count, crowd_send send)
{
	struct crowd_cell cell;
	struct crowd crowd;

	crowd_cell_start(&cell, 1, SETTINGS, CROWD_MEMORY_MB, CROWD_FILES);
	crowd_open(&crowd, metrics ? cell.metrics[0] : cell.ready[0], count,
	    send, NULL);
	crowd_reopen(&crowd);
	check(&cell);
	crowd_close(&crowd);
	check(&cell);
}

static void
test_bodies_of_health_checks(void **state)
{
	(void)state;
	play(false, 400, send_body);
}

static void
test_silent_health_checks(void **state)
{
	(void)state;
	play(false, 600, NULL);
}

static void
test_silent_readers_of_metrics(void **state)
{
	(void)state;
	play(true, 600, NULL);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_teardown(
		test_bodies_of_health_checks, crowd_teardown),
	    cmocka_unit_test_teardown(
		test_silent_health_checks, crowd_teardown),
	    cmocka_unit_test_teardown(
		test_silent_readers_of_metrics, crowd_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
