/**
 * @file test_crowd_flows.c
 * Guards against valid submissions whose number and size end the owner, and
 * after it each successor that loads them: they are accepted, and what was
 * accepted must be kept.
 */
#include <poll.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include <cmocka.h>

#include "crowd.h"

/** Settings of the nodes of these tests. */
#define SETTINGS ", \"flows_mb\": 16"

#define STEPS 64
/** Connections at once. */
#define AT_ONCE 100
#define ANSWER_MS 60000
/** Cancels of a test: more than are kept at once. */
#define CANCELS 5000
/** Most submissions of a test. */
#define FLOWS_MAX 3000

/** Submissions of a crowd. */
struct flows {
	char body[32768]; /**< the same for all */
	size_t len;
	unsigned int first; /**< id of the first one of this round */
	bool accepted[FLOWS_MAX];
};

static struct flows flows;

/** Build a submission of steps with so many tasks each.  No worker has the
 * label, so that it stays open.
 * @param after how many of the earlier steps each step waits for, at most
 */
static void
flow_build(unsigned int tasks, unsigned int after)
{
	unsigned int i;
	unsigned int j;
	char *at = flows.body;

	memset(&flows, 0, sizeof(flows));
	at += sprintf(at, "{\"Spec\":\"x\",\"Steps\":[");
	for (i = 0; i < STEPS; i++) {
		at += sprintf(at,
		    "%s{\"Count\":%u,\"Cpu\":1,\"MemMb\":1,"
		    "\"RequiredLabel\":\"none\",\"After\":[",
		    i == 0 ? "" : ",", tasks);
		for (j = 0; j < i && j < after; j++)
			at += sprintf(at, "%s%u", j == 0 ? "" : ",", j);
		at += sprintf(at, "]}");
	}
	at += sprintf(at, "]}");
	flows.len = (size_t)(at - flows.body);
}

static void
send_flow(int fd, unsigned int number, void *data)
{
	char head[256];
	int len = snprintf(head, sizeof(head),
	    "POST " CROWD_QUEUE "%016x HTTP/1.1\r\nHost: 127.0.0.1\r\n"
	    "X-Gooseberrycart-Timeout-Ms: 30000\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    flows.first + number, flows.len);

	(void)data;
	if (crowd_write(fd, head, (size_t)len))
		crowd_write(fd, flows.body, flows.len);
}

/** Take note of the answers of a round. */
static void
answers_read(struct crowd *crowd, unsigned int first)
{
	char text[64];
	unsigned int i;

	for (i = 0; i < crowd->count; i++) {
		struct pollfd poller = {crowd->fds[i], POLLIN, 0};

		memset(text, 0, sizeof(text));
		if (crowd->fds[i] >= 0 && poll(&poller, 1, ANSWER_MS) == 1 &&
		    recv(crowd->fds[i], text, sizeof(text) - 1, 0) > 0)
			flows.accepted[first + i] =
			    strncmp(text, "HTTP/1.1 200", 12) == 0;
	}
}

static void
flows_submit(struct crowd_cell *cell, unsigned int count)
{
	struct crowd crowd;

	for (flows.first = 0; flows.first < count; flows.first += AT_ONCE) {
		crowd_open(&crowd,
		    cell->front[flows.first / AT_ONCE % cell->count],
		    count - flows.first < AT_ONCE ? count - flows.first
						  : AT_ONCE,
		    send_flow, NULL);
		answers_read(&crowd, flows.first);
		crowd_close(&crowd);
	}
}

/** Check that all accepted submissions are known. */
static void
flows_check(unsigned int port)
{
	unsigned int accepted = 0;
	char path[64];
	unsigned int i;

	for (i = 0; i < FLOWS_MAX; i++) {
		if (!flows.accepted[i])
			continue;
		snprintf(path, sizeof(path), CROWD_QUEUE "%016x", i);
		assert_int_equal(
		    crowd_request(port, "GET", path,
			"X-Gooseberrycart-Timeout-Ms: 30000\r\n", "", NULL, 0),
		    200);
		accepted++;
	}
	print_message("%u accepted\n", accepted);
	assert_in_range(accepted, 1, FLOWS_MAX);
}

/** Submit to both nodes, then kill the owner. */
static void
play(unsigned int count)
{
	struct crowd_cell cell;
	unsigned int owner;

	crowd_cell_start(&cell, 2, SETTINGS, CROWD_MEMORY_MB, CROWD_FILES);
	flows_submit(&cell, count);
	crowd_cell_check(&cell);
	owner = crowd_cell_owner(&cell);
	crowd_process_kill(&cell.nodes[owner]);
	owner = crowd_cell_owner(&cell);
	crowd_cell_check(&cell);
	flows_check(cell.front[owner]);
	crowd_cell_check(&cell);
}

static void
test_large_submissions(void **state)
{
	(void)state;
	flow_build(1, 60);
	play(FLOWS_MAX);
}

static void
test_submissions_of_many_tasks(void **state)
{
	(void)state;
	flow_build(2000, 1);
	play(12);
}

static void
send_cancel(int fd, unsigned int number, void *data)
{
	const unsigned int *first = data;
	char head[256];
	int len = snprintf(head, sizeof(head),
	    "DELETE " CROWD_QUEUE "%016x HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n",
	    *first + number);

	crowd_write(fd, head, (size_t)len);
}

/** Cancels of flows that nobody has submitted are kept, as the flow may come
 * later.  They must not keep others from submitting and cancelling. */
static void
test_cancels_of_unknown_flows(void **state)
{
	struct crowd_cell cell;
	struct crowd crowd;
	unsigned int first;

	(void)state;
	flow_build(1, 1);
	crowd_cell_start(&cell, 1, SETTINGS, CROWD_MEMORY_MB, CROWD_FILES);
	for (first = 0x10000; first < 0x10000 + CANCELS; first += AT_ONCE) {
		crowd_open(&crowd, cell.front[0], AT_ONCE, send_cancel, &first);
		answers_read(&crowd, 0);
		crowd_close(&crowd);
	}
	crowd_cell_check(&cell);
	assert_int_equal(
	    crowd_request(cell.front[0], "POST", CROWD_QUEUE "00000000000000aa",
		"", flows.body, NULL, 0),
	    200);
	assert_int_equal(crowd_request(cell.front[0], "DELETE",
			     CROWD_QUEUE "00000000000000aa", "", "", NULL, 0),
	    200);
	crowd_cell_check(&cell);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_teardown(test_large_submissions, crowd_teardown),
	    cmocka_unit_test_teardown(
		test_submissions_of_many_tasks, crowd_teardown),
	    cmocka_unit_test_teardown(
		test_cancels_of_unknown_flows, crowd_teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
