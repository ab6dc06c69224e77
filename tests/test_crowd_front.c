/**
 * @file test_crowd_front.c
 * Guards against callers that end a node, or keep it from answering others:
 * many large bodies at once of which the end is missing, connections that send
 * nothing or stay in the middle of a head, answers that are not read, requests
 * that wait while the store does not answer, and refusals that cost their
 * callers the connection.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "crowd.h"

/** Settings of the node of these tests. */
#define SETTINGS ", \"callers\": 64, \"callers_mb\": 8"

#define CHUNK_BYTES 4000
#define PIPELINED 5000
#define HEAD_BYTES 7000
/** Frames of HTTP/2: types, flags and sizes. */
#define H2_HEADERS 1
#define H2_DATA 0
#define H2_SETTINGS 4
#define H2_END_HEADERS 4
#define H2_FRAME_MAX 16384
#define H2_BODY_BYTES 65535
#define H2_STREAMS 100

static char zeros[CROWD_BODY_MAX];
static char filler[CROWD_BODY_MAX]; /**< printable */

static int
post_head(char *out, size_t size, unsigned int number, const char *headers)
{
	return snprintf(out, size,
	    "POST " CROWD_QUEUE "%016x HTTP/1.1\r\nHost: 127.0.0.1\r\n%s\r\n",
	    number, headers);
}

/** A body of the largest size, without its last byte. */
static void
send_length(int fd, unsigned int number, void *data)
{
	char head[512];
	char headers[128];
	int len;

	snprintf(headers, sizeof(headers), "%sContent-Length: %d\r\n",
	    (const char *)data, CROWD_BODY_MAX);
	len = post_head(head, sizeof(head), number, headers);
	if (crowd_write(fd, head, (size_t)len))
		crowd_write(fd, zeros, CROWD_BODY_MAX - 1);
}

/** The same in chunks, without the last one. */
static void
send_chunks(int fd, unsigned int number, void *data)
{
	char chunk[CHUNK_BYTES + 16];
	char head[512];
	int len = post_head(
	    head, sizeof(head), number, "Transfer-Encoding: chunked\r\n");
	bool ok = crowd_write(fd, head, (size_t)len);
	unsigned int sent;

	(void)data;
	len = snprintf(chunk, sizeof(chunk), "%x\r\n", CHUNK_BYTES);
	memset(chunk + len, ' ', CHUNK_BYTES);
	chunk[len + CHUNK_BYTES] = '\r';
	chunk[len + CHUNK_BYTES + 1] = '\n';
	for (sent = 0; ok && sent + CHUNK_BYTES < CROWD_BODY_MAX;
	     sent += CHUNK_BYTES)
		ok = crowd_write(fd, chunk, (size_t)len + CHUNK_BYTES + 2);
}

/** The same whole, of JSON that is no submission.  The answer is not read. */
static void
send_whole(int fd, unsigned int number, void *data)
{
	char head[512];
	char headers[128];
	char *body = malloc(CROWD_BODY_MAX);
	size_t i;
	int len;

	(void)data;
	assert_non_null(body);
	for (i = 0; i < CROWD_BODY_MAX; i++)
		body[i] = "[],"[i % 3];
	snprintf(headers, sizeof(headers), "Content-Length: %d\r\n",
	    CROWD_BODY_MAX - 8);
	len = post_head(head, sizeof(head), number, headers);
	if (crowd_write(fd, head, (size_t)len))
		crowd_write(fd, body, CROWD_BODY_MAX - 8);
	free(body);
}

/** A head that does not end. */
static void
send_head(int fd, unsigned int number, void *data)
{
	static const char start[] =
	    "GET " CROWD_QUEUE " HTTP/1.1\r\nHost: 127.0.0.1\r\nX: ";

	(void)number;
	(void)data;
	if (crowd_write(fd, start, sizeof(start) - 1))
		crowd_write(fd, filler, HEAD_BYTES);
}

/** Many requests at once, whose answers are not read. */
static void
send_pipelined(int fd, unsigned int number, void *data)
{
	static const char request[] =
	    "GET " CROWD_QUEUE " HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n";
	size_t len = sizeof(request) - 1;
	char *all = malloc(PIPELINED * len);
	unsigned int i;

	(void)number;
	(void)data;
	assert_non_null(all);
	for (i = 0; i < PIPELINED; i++)
		memcpy(all + i * len, request, len);
	crowd_write(fd, all, PIPELINED * len);
	free(all);
}

/** A submission that waits for as long as it may. */
static void
send_waiting(int fd, unsigned int number, void *data)
{
	static const char steps[] =
	    "{\"Steps\":[{\"Count\":1,\"Cpu\":1,\"MemMb\":1}],\"Spec\":\"";
	char head[512];
	char headers[128];
	size_t spec = CROWD_BODY_MAX / 16;
	int len;

	(void)data;
	snprintf(headers, sizeof(headers),
	    "X-Gooseberrycart-Timeout-Ms: 2000000000\r\n"
	    "Content-Length: %zu\r\n",
	    sizeof(steps) - 1 + spec + 2);
	len = post_head(head, sizeof(head), number, headers);
	if (crowd_write(fd, head, (size_t)len) &&
	    crowd_write(fd, steps, sizeof(steps) - 1) &&
	    crowd_write(fd, filler, spec))
		crowd_write(fd, "\"}", 2);
}

static bool
h2_frame(int fd, unsigned int type, unsigned int flags, unsigned int stream,
    const char *data, size_t len)
{
	const unsigned char head[9] = {(unsigned char)(len >> 16),
	    (unsigned char)(len >> 8), (unsigned char)len, (unsigned char)type,
	    (unsigned char)flags, (unsigned char)(stream >> 24),
	    (unsigned char)(stream >> 16), (unsigned char)(stream >> 8),
	    (unsigned char)stream};

	return crowd_write(fd, head, sizeof(head)) &&
	       (len == 0 || crowd_write(fd, data, len));
}

/** Bodies on all streams of a connection of HTTP/2 by prior knowledge, without
 * their ends. */
static void
send_h2(int fd, unsigned int number, void *data)
{
	/* POST, http, path and authority as literals without index. */
	static const char headers[] = "\x83\x86\x04\x07/queue/"
				      "\x01\x09"
				      "127.0.0.1";
	static const char preface[] = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
	bool ok = crowd_write(fd, preface, sizeof(preface) - 1) &&
		  h2_frame(fd, H2_SETTINGS, 0, 0, NULL, 0);
	unsigned int i;
	size_t sent;

	(void)number;
	(void)data;
	for (i = 0; ok && i < H2_STREAMS; i++) {
		ok = h2_frame(fd, H2_HEADERS, H2_END_HEADERS, 2 * i + 1,
		    headers, sizeof(headers) - 1);
		for (sent = 0; ok && sent < H2_BODY_BYTES;
		     sent += H2_FRAME_MAX - 1)
			ok = h2_frame(fd, H2_DATA, 0, 2 * i + 1, zeros,
			    sent + H2_FRAME_MAX - 1 < H2_BODY_BYTES
				? H2_FRAME_MAX - 1
				: H2_BODY_BYTES - sent);
	}
}

/** Play a crowd against a node, with closed connections opened again, and check
 * the node while the crowd is there and after it has gone. */
static void
play_on(struct crowd_cell *cell, unsigned int port, unsigned int count,
    unsigned int rounds, crowd_send send, void *data)
{
	struct crowd crowd;
	unsigned int i;

	crowd_open(&crowd, port, count, send, data);
	for (i = 1; i < rounds; i++)
		crowd_reopen(&crowd);
	crowd_cell_check(cell);
	crowd_close(&crowd);
	crowd_cell_check(cell);
}

static void
play(unsigned int count, unsigned int rounds, crowd_send send, void *data)
{
	struct crowd_cell cell;

	crowd_cell_start(&cell, 1, SETTINGS, CROWD_MEMORY_MB, CROWD_FILES);
	play_on(&cell, cell.front[0], count, rounds, send, data);
}

static void
test_bodies(void **state)
{
	(void)state;
	play(400, 3, send_length, "");
}

static void
test_bodies_in_chunks(void **state)
{
	(void)state;
	play(400, 3, send_chunks, "");
}

static void
test_bodies_with_expect(void **state)
{
	(void)state;
	play(400, 3, send_length, "Expect: 100-continue\r\n");
}

static void
test_whole_bodies(void **state)
{
	(void)state;
	play(400, 3, send_whole, NULL);
}

static void
test_http2(void **state)
{
	(void)state;
	play(20, 2, send_h2, NULL);
}

static void
test_silent_connections(void **state)
{
	(void)state;
	play(600, 3, NULL, NULL);
}

static void
test_unfinished_heads(void **state)
{
	(void)state;
	play(600, 3, send_head, NULL);
}

static void
test_unread_answers(void **state)
{
	(void)state;
	play(600, 2, send_pipelined, NULL);
}

/** The store answers nobody, so that submissions wait, and their callers close
 * the connections at once. */
static void
test_waiting_submissions(void **state)
{
	struct crowd_cell cell;
	struct crowd crowd;
	unsigned int i;

	(void)state;
	crowd_cell_start(&cell, 1, SETTINGS, CROWD_MEMORY_MB, CROWD_FILES);
	crowd_cell_control("/store?mode=silent", "");
	for (i = 0; i < 40; i++) {
		crowd_open(&crowd, cell.front[0], 200, send_waiting, NULL);
		crowd_close(&crowd);
	}
	crowd_process_check(&cell.nodes[0]);
	crowd_cell_control("/store?mode=serves", "");
	crowd_cell_owner(&cell);
	crowd_cell_wait(&cell);
	crowd_cell_check(&cell);
}

/** The default limits suit the smallest instance. */
static void
test_bodies_at_default_limits(void **state)
{
	struct crowd_cell cell;

	(void)state;
	crowd_cell_start(
	    &cell, 1, "", CROWD_MEMORY_SMALLEST_MB, CROWD_FILES_SMALLEST);
	play_on(&cell, cell.front[0], 2300, 2, send_length, "");
}

static void
test_silent_connections_at_default_limits(void **state)
{
	struct crowd_cell cell;

	(void)state;
	crowd_cell_start(
	    &cell, 1, "", CROWD_MEMORY_SMALLEST_MB, CROWD_FILES_SMALLEST);
	play_on(&cell, cell.front[0], 4500, 2, NULL, NULL);
}

/** The memory of one crowd is free for the next one of another kind. */
static void
test_crowds_in_turn(void **state)
{
	struct crowd_cell cell;

	(void)state;
	crowd_cell_start(&cell, 1, SETTINGS, CROWD_MEMORY_MB, CROWD_FILES);
	play_on(&cell, cell.front[0], 400, 2, send_length, "");
	play_on(&cell, cell.front[0], 400, 2, send_chunks, "");
	play_on(&cell, cell.front[0], 400, 2, send_head, NULL);
	play_on(&cell, cell.front[0], 20, 2, send_h2, NULL);
}

/** The owner is killed beside crowds at two nodes: the other one takes over. */
static void
test_takeover_beside_a_crowd(void **state)
{
	struct crowd_cell cell;
	struct crowd crowds[2];
	unsigned int owner;
	unsigned int i;

	(void)state;
	crowd_cell_start(&cell, 2, SETTINGS, CROWD_MEMORY_MB, CROWD_FILES);
	owner = crowd_cell_owner(&cell);
	for (i = 0; i < 2; i++)
		crowd_open(&crowds[i], cell.front[i], 400, send_length, "");
	crowd_cell_check(&cell);
	crowd_process_kill(&cell.nodes[owner]);
	crowd_reopen(&crowds[1 - owner]);
	owner = crowd_cell_owner(&cell);
	crowd_reopen(&crowds[owner]);
	crowd_cell_check(&cell);
	for (i = 0; i < 2; i++)
		crowd_close(&crowds[i]);
	crowd_cell_check(&cell);
}

/** A timeout that no clock can count ends no process. */
static void
test_endless_timeout(void **state)
{
	struct crowd_cell cell;

	(void)state;
	crowd_cell_start(&cell, 1, SETTINGS, CROWD_MEMORY_MB, CROWD_FILES);
	assert_int_equal(
	    crowd_request(cell.front[0], "GET", CROWD_QUEUE,
		"X-Gooseberrycart-Timeout-Ms: 9223372036854775807\r\n", "",
		NULL, 0),
	    200);
	crowd_cell_check(&cell);
}

/** A connection stays open after an answer that refuses. */
static void
test_refused_callers_stay_connected(void **state)
{
	static const char request[] =
	    "GET " CROWD_QUEUE "00000000000000ff HTTP/1.1\r\n"
	    "Host: 127.0.0.1\r\n\r\n";
	struct crowd_cell cell;

	(void)state;
	crowd_cell_start(&cell, 1, SETTINGS, CROWD_MEMORY_MB, CROWD_FILES);
	assert_int_equal(
	    crowd_request_twice(cell.front[0], request, sizeof(request) - 1),
	    410);
}

/** A node that is asked to stop beside a crowd ends. */
static void
test_stop_beside_a_crowd(void **state)
{
	struct crowd_cell cell;
	struct crowd crowd;

	(void)state;
	crowd_cell_start(&cell, 1, SETTINGS, CROWD_MEMORY_MB, CROWD_FILES);
	crowd_open(&crowd, cell.front[0], 200, send_length, "");
	crowd_process_check(&cell.nodes[0]);
	crowd_process_stop(&cell.nodes[0]);
	crowd_close(&crowd);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_teardown(test_bodies, crowd_teardown),
	    cmocka_unit_test_teardown(test_bodies_in_chunks, crowd_teardown),
	    cmocka_unit_test_teardown(test_bodies_with_expect, crowd_teardown),
	    cmocka_unit_test_teardown(test_whole_bodies, crowd_teardown),
	    cmocka_unit_test_teardown(test_http2, crowd_teardown),
	    cmocka_unit_test_teardown(test_silent_connections, crowd_teardown),
	    cmocka_unit_test_teardown(test_unfinished_heads, crowd_teardown),
	    cmocka_unit_test_teardown(test_unread_answers, crowd_teardown),
	    cmocka_unit_test_teardown(test_waiting_submissions, crowd_teardown),
	    cmocka_unit_test_teardown(
		test_bodies_at_default_limits, crowd_teardown),
	    cmocka_unit_test_teardown(
		test_silent_connections_at_default_limits, crowd_teardown),
	    cmocka_unit_test_teardown(test_crowds_in_turn, crowd_teardown),
	    cmocka_unit_test_teardown(
		test_takeover_beside_a_crowd, crowd_teardown),
	    cmocka_unit_test_teardown(test_endless_timeout, crowd_teardown),
	    cmocka_unit_test_teardown(
		test_refused_callers_stay_connected, crowd_teardown),
	    cmocka_unit_test_teardown(test_stop_beside_a_crowd, crowd_teardown),
	};

	memset(filler, 'x', sizeof(filler));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
