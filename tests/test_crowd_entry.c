/**
 * @file test_crowd_entry.c
 * Guards against callers that end gooseberry-entry or gooseberry-sched, or keep
 * them from answering others: many large bodies or records of which the end is
 * missing, connections that send nothing, and answers that are not read.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "crowd.h"

/** Settings of the programs of these tests, JSON that begins with a comma. */
#define ENTRY_SETTINGS ", \"callers\": 64, \"callers_mb\": 16"
#define SCHED_SETTINGS ", \"peers\": 64, \"peers_mb\": 20"

#define BODY_BYTES (1024 * 1024)
#define WAIT_S 60
#define AUTH "Authorization: Bearer operator-token\r\n"

enum { PORT_STORE, PORT_SCHED, PORT_ENTRY };

static struct crowd_process store = {.name = "store"};
static struct crowd_process sched = {.name = "sched"};
static struct crowd_process entry = {.name = "entry"};

static void
check(void)
{
	crowd_process_check(&entry);
	crowd_process_check(&sched);
	assert_true(crowd_rpc_answered(crowd_port(PORT_SCHED)));
	assert_int_equal(crowd_request(crowd_port(PORT_ENTRY), "GET",
			     "/v1/status", AUTH, "", NULL, 0),
	    200);
	crowd_process_check(&entry);
	crowd_process_check(&sched);
}

static void
start(void)
{
	char addr[32];
	const char *args[] = {"-l", addr, NULL};
	unsigned int waited = 0;

	snprintf(addr, sizeof(addr), "127.0.0.1:%u", crowd_port(PORT_STORE));
	crowd_process_start(&store, "gooseberry-standin-store", args, 0, 0);
	args[0] = crowd_settings("sched",
	    "{\"member\": \"i0\", \"dc\": \"a\", \"dcs\": [\"a\"], "
	    "\"listen\": \"127.0.0.1:%u\", \"store\": \"%s\"%s}",
	    crowd_port(PORT_SCHED), addr, SCHED_SETTINGS);
	args[1] = NULL;
	crowd_process_start(
	    &sched, "gooseberry-sched", args, CROWD_MEMORY_MB, CROWD_FILES);
	args[0] = crowd_settings("entry",
	    "{\"member\": \"i0\", \"dc\": \"a\", \"dcs\": [\"a\"], "
	    "\"listen\": \"127.0.0.1:%u\", \"scheds\": [\"127.0.0.1:%u\"], "
	    "\"tokens\": {\"*\": \"operator-token\"}%s}",
	    crowd_port(PORT_ENTRY), crowd_port(PORT_SCHED), ENTRY_SETTINGS);
	crowd_process_start(
	    &entry, "gooseberry-entry", args, CROWD_MEMORY_MB, CROWD_FILES);
	while (crowd_request(crowd_port(PORT_ENTRY), "GET", "/v1/status", AUTH,
		   "", NULL, 0) != 200) {
		assert_in_range(waited, 0, WAIT_S);
		sleep(1);
		waited++;
	}
}

static void
play(unsigned int port, unsigned int count, crowd_send send, void *data)
{
	struct crowd crowd;

	start();
	crowd_open(&crowd, crowd_port(port), count, send, data);
	crowd_reopen(&crowd);
	check();
	crowd_close(&crowd);
	check();
}

/** A body of the largest size, without its last byte. */
static void
send_body(int fd, unsigned int number, void *data)
{
	static const char head[] =
	    "POST /v1/teams/a/services/b/requests HTTP/1.1\r\nHost: a\r\n"
	    "Content-Length: 1048576\r\n\r\n";
	static char body[BODY_BYTES];

	(void)number;
	(void)data;
	if (crowd_write(fd, head, sizeof(head) - 1))
		crowd_write(fd, body, sizeof(body) - 1);
}

static void
test_bodies(void **state)
{
	(void)state;
	play(PORT_ENTRY, 150, send_body, NULL);
}

static void
test_silent_callers(void **state)
{
	(void)state;
	play(PORT_ENTRY, 600, NULL, NULL);
}

static void
test_records(void **state)
{
	unsigned int mib = CROWD_RECORD_MAX_MB;

	(void)state;
	play(PORT_SCHED, 12, crowd_send_record, &mib);
}

static void
test_silent_peers(void **state)
{
	(void)state;
	play(PORT_SCHED, 600, NULL, NULL);
}

static void
test_unread_answers(void **state)
{
	(void)state;
	play(PORT_SCHED, 2, crowd_send_calls, NULL);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_teardown(test_bodies, crowd_teardown),
	    cmocka_unit_test_teardown(test_silent_callers, crowd_teardown),
	    cmocka_unit_test_teardown(test_records, crowd_teardown),
	    cmocka_unit_test_teardown(test_silent_peers, crowd_teardown),
	    cmocka_unit_test_teardown(test_unread_answers, crowd_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
